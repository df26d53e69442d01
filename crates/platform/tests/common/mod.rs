//! A small fake of the object store, driven in virtual time.

// Each test file uses its part.
#![allow(dead_code)]

use std::{sync::Arc, time::Duration};

use shallotlead_base::{
    id::Version,
    store::{Call, Key, Reply, Store, memory::Memory},
    time::Time,
};
use shallotlead_platform::{
    budget::{Rates, Sharers},
    outcome::Outcome,
    scheduler::{Action, CallId, Scheduler},
};

pub(crate) const ALONE: Sharers = Sharers { instances: 1, watchers: 1 };

/// A store in memory that remembers what was written.
#[derive(Default)]
pub(crate) struct Fake {
    pub(crate) memory: Memory,
    /// Values written, in order.
    pub(crate) written: Vec<Arc<[u8]>>,
}

impl Fake {
    pub(crate) fn apply(&mut self, call: &Call) -> Reply {
        let reply = self.memory.call(call.clone());
        if let (Call::Put { value, .. }, Reply::Done(_)) = (call, &reply) {
            self.written.push(Arc::clone(value));
        }
        reply
    }
}

pub(crate) fn alone() -> Scheduler {
    let mut scheduler = Scheduler::new(Rates::default(), ALONE, 7, Time::ZERO);
    scheduler.tick(Time::ZERO);
    scheduler
}

pub(crate) fn key(name: &str) -> Key {
    Key::new("lease", name)
}

pub(crate) fn put(name: &str, expected: u64, value: &str) -> Call {
    Call::Put { key: key(name), expected: Version(expected), value: Arc::from(value.as_bytes()) }
}

/// Runs ticks until something is to be done.
pub(crate) fn step(scheduler: &mut Scheduler, now: &mut Time) -> Vec<Action> {
    loop {
        let actions = scheduler.tick(*now);
        if !actions.is_empty() {
            return actions;
        }
        let due = scheduler.next_due(*now).expect("something is due");
        *now = due.max(*now + Duration::from_micros(1));
    }
}

/// The one call that goes out next.
pub(crate) fn sent(scheduler: &mut Scheduler, now: &mut Time) -> (CallId, Call) {
    match step(scheduler, now).as_slice() {
        [Action::Send(sent, call)] => (*sent, call.clone()),
        other => panic!("one call expected, not {other:?}"),
    }
}

/// The one answer that comes next.
pub(crate) fn replied(scheduler: &mut Scheduler, now: &mut Time) -> Reply {
    match step(scheduler, now).as_slice() {
        [Action::Reply(_, reply)] => reply.clone(),
        other => panic!("one answer expected, not {other:?}"),
    }
}

/// Carries out what goes out next, and lets its answer arrive.
pub(crate) fn serve(scheduler: &mut Scheduler, fake: &mut Fake, now: &mut Time) -> Call {
    let (sent, call) = sent(scheduler, now);
    let reply = fake.apply(&call);
    scheduler.handle_outcome(sent, Outcome::Answered(reply), *now);
    call
}
