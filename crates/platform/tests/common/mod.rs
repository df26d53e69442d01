//! A fake object store and helpers that drive a scheduler in virtual time.

// Each test file uses only some of the items.
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

pub(crate) const SINGLE_INSTANCE: Sharers = Sharers { instances: 1, watchers: 1 };

/// An in-memory object store that records what was written.
#[derive(Default)]
pub(crate) struct FakeStore {
    pub(crate) memory: Memory,
    /// Values written, in order.
    pub(crate) written: Vec<Arc<[u8]>>,
}

impl FakeStore {
    pub(crate) fn apply(&mut self, call: &Call) -> Reply {
        let reply = self.memory.call(call.clone());
        if let (Call::Put { value, .. }, Reply::Done(_)) = (call, &reply) {
            self.written.push(Arc::clone(value));
        }
        reply
    }
}

pub(crate) fn single_instance() -> Scheduler {
    let mut scheduler = Scheduler::new(Rates::default(), SINGLE_INSTANCE, 7, Time::ZERO);
    scheduler.tick(Time::ZERO);
    scheduler
}

pub(crate) fn key(name: &str) -> Key {
    Key::new("lease", name)
}

pub(crate) fn put(name: &str, expected: u64, value: &str) -> Call {
    Call::Put { key: key(name), expected: Version(expected), value: Arc::from(value.as_bytes()) }
}

/// Ticks the scheduler until it returns actions, and advances `now` to that time.
pub(crate) fn next_actions(scheduler: &mut Scheduler, now: &mut Time) -> Vec<Action> {
    loop {
        let actions = scheduler.tick(*now);
        if !actions.is_empty() {
            return actions;
        }
        let due = scheduler.next_due(*now).expect("a tick is due");
        *now = due.max(*now + Duration::from_micros(1));
    }
}

/// Returns the next call to be sent; panics on any other action.
pub(crate) fn next_call(scheduler: &mut Scheduler, now: &mut Time) -> (CallId, Call) {
    match next_actions(scheduler, now).as_slice() {
        [Action::Send(id, call)] => (*id, call.clone()),
        other => panic!("expected one call, got {other:?}"),
    }
}

/// Returns the next reply to a submitter; panics on any other action.
pub(crate) fn next_reply(scheduler: &mut Scheduler, now: &mut Time) -> Reply {
    match next_actions(scheduler, now).as_slice() {
        [Action::Reply(_, reply)] => reply.clone(),
        other => panic!("expected one reply, got {other:?}"),
    }
}

/// Applies the next call to the store, and passes its reply to the scheduler.
pub(crate) fn answer_next_call(
    scheduler: &mut Scheduler,
    store: &mut FakeStore,
    now: &mut Time,
) -> Call {
    let (id, call) = next_call(scheduler, now);
    let reply = store.apply(&call);
    scheduler.handle_outcome(id, Outcome::Answered(reply), *now);
    call
}
