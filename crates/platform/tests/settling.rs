//! Tests of conditional writes with a lost response.

mod common;

use std::{sync::Arc, time::Duration};

use proptest::prelude::*;
use shallotlead_base::{
    id::Version,
    store::{Call, Failure, Reply},
    time::Time,
};
use shallotlead_platform::{
    outcome::Outcome,
    scheduler::{Action, CallId, Ticket},
};

use common::{FakeStore, answer_next_call, key, next_call, next_reply, put, single_instance};

// An instance writes a lease, and the connection breaks before the response although the write took
// effect. If the write were sent again without a read-back, it would conflict with itself, and the
// instance would believe that another one holds the lease: no instance would act as its holder
// until it expires.
#[test]
fn lost_write_with_effect_is_done() {
    let (mut scheduler, mut store, mut now) = (single_instance(), FakeStore::default(), Time::ZERO);
    scheduler.submit(Ticket(1), put("loader", 0, "e1 fence 4"), now);
    let (id, call) = next_call(&mut scheduler, &mut now);
    store.apply(&call);
    scheduler.handle_outcome(id, Outcome::Lost, now);

    assert_eq!(answer_next_call(&mut scheduler, &mut store, &mut now), Call::Get(key("loader")));
    assert_eq!(next_reply(&mut scheduler, &mut now), Reply::Done(Version(1)));
    assert_eq!(scheduler.counts().settled_applied, 1);
    assert_eq!(scheduler.counts().writes, 1);
}

// The connection breaks before the write reaches the platform. The write must not fail as unknown:
// the read-back finds the expected version, and the same write is sent again.
#[test]
fn lost_write_without_effect_is_sent_again() {
    let (mut scheduler, mut store, mut now) = (single_instance(), FakeStore::default(), Time::ZERO);
    scheduler.submit(Ticket(1), put("loader", 0, "e1 fence 4"), now);
    let (id, _) = next_call(&mut scheduler, &mut now);
    scheduler.handle_outcome(id, Outcome::Lost, now);

    assert_eq!(answer_next_call(&mut scheduler, &mut store, &mut now), Call::Get(key("loader")));
    assert_eq!(
        answer_next_call(&mut scheduler, &mut store, &mut now),
        put("loader", 0, "e1 fence 4")
    );
    assert_eq!(next_reply(&mut scheduler, &mut now), Reply::Done(Version(1)));
    assert_eq!(scheduler.counts().settled_resent, 1);
}

// A write is only delayed and takes effect between the read-back and the second attempt, which then
// conflicts with the same value. If this were reported as a conflict, a lease's holder would
// believe that it lost the lease.
#[test]
fn second_attempt_recognises_the_first() {
    let (mut scheduler, mut store, mut now) = (single_instance(), FakeStore::default(), Time::ZERO);
    scheduler.submit(Ticket(1), put("loader", 0, "e1 fence 4"), now);
    let (id, delayed) = next_call(&mut scheduler, &mut now);
    scheduler.handle_outcome(id, Outcome::Lost, now);
    answer_next_call(&mut scheduler, &mut store, &mut now);

    store.apply(&delayed);
    answer_next_call(&mut scheduler, &mut store, &mut now);
    assert_eq!(next_reply(&mut scheduler, &mut now), Reply::Done(Version(1)));
    assert_eq!(store.written.len(), 1);
}

// Two instances write the same object, and the response to the first write is lost. The read-back
// finds the second value, which may have replaced the first. Neither "done" nor "conflict" is
// certain, so the reply is "unknown", and the submitter has to read the object.
#[test]
fn other_write_before_the_read_back_leaves_the_effect_unknown() {
    for has_effect in [false, true] {
        let (mut scheduler, mut store, mut now) =
            (single_instance(), FakeStore::default(), Time::ZERO);
        scheduler.submit(Ticket(1), put("loader", 0, "e1 fence 4"), now);
        let (id, call) = next_call(&mut scheduler, &mut now);
        if has_effect {
            store.apply(&call);
        }
        scheduler.handle_outcome(id, Outcome::Lost, now);
        store.apply(&put("loader", store.memory.version.0, "e2 fence 5"));

        answer_next_call(&mut scheduler, &mut store, &mut now);
        assert_eq!(next_reply(&mut scheduler, &mut now), Reply::Failed(Failure::Unknown));
    }
}

// The response to the deletion of a lease is lost. The read-back finds no object, so that the
// deletion is done.
#[test]
fn lost_deletion_is_done_when_the_object_is_gone() {
    let (mut scheduler, mut store, mut now) = (single_instance(), FakeStore::default(), Time::ZERO);
    store.apply(&put("loader", 0, "e1 fence 4"));
    scheduler.submit(Ticket(1), Call::Delete { key: key("loader"), expected: Version(1) }, now);
    let (id, call) = next_call(&mut scheduler, &mut now);
    store.apply(&call);
    scheduler.handle_outcome(id, Outcome::Lost, now);

    answer_next_call(&mut scheduler, &mut store, &mut now);
    assert_eq!(next_reply(&mut scheduler, &mut now), Reply::Done(Version(0)));
}

/// Simulated course of one attempt.
#[derive(Clone, Copy, Debug)]
enum Course {
    Answered,
    Refused,
    Unavailable,
    LostWithoutEffect,
    LostWithEffect,
    /// Lost, but takes effect after this many further attempts.
    Delayed(usize),
}

fn course() -> impl Strategy<Value = Course> {
    prop_oneof![
        4 => Just(Course::Answered),
        1 => Just(Course::Refused),
        1 => Just(Course::Unavailable),
        1 => Just(Course::LostWithoutEffect),
        1 => Just(Course::LostWithEffect),
        1 => (1usize..6).prop_map(Course::Delayed),
    ]
}

proptest! {
    // With any attempts refused, lost or delayed, each submitter gets exactly one reply; "done"
    // means written once, and "conflict" and "not applied" mean never written, not even later.
    #[test]
    fn replies_to_writes_are_correct(
        writes in prop::collection::vec((0u8..3, 0u64..4), 1..12),
        courses in prop::collection::vec(course(), 1..60),
        other_writes in prop::collection::vec((0usize..60, 0u8..3), 0..6),
    ) {
        let (mut scheduler, mut store, mut now) =
            (single_instance(), FakeStore::default(), Time::ZERO);
        for (index, (name, expected)) in writes.iter().enumerate() {
            let call = put(&name.to_string(), *expected, &format!("value {index}"));
            scheduler.submit(Ticket(index as u64), call, now);
        }
        let mut delayed: Vec<(usize, Call)> = Vec::new();
        let mut replies: Vec<(Ticket, Reply)> = Vec::new();
        let mut attempts = 0;
        while replies.len() < writes.len() {
            for action in scheduler.tick(now) {
                let (id, call) = match action {
                    Action::Reply(ticket, reply) => {
                        replies.push((ticket, reply));
                        continue;
                    }
                    Action::Send(id, call) => (id, call),
                };
                for (_, name) in other_writes.iter().filter(|(at, _)| *at == attempts) {
                    let name = name.to_string();
                    let version =
                        store.memory.objects.get(&key(&name)).map_or(0, |it| it.version.0);
                    store.apply(&put(&name, version, &format!("other {attempts}")));
                }
                let course = courses.get(attempts).copied().unwrap_or(Course::Answered);
                attempts += 1;
                let outcome =
                    simulate_attempt(&mut store, &mut delayed, attempts, id, &call, course);
                scheduler.handle_outcome(id, outcome, now);
                let arrived: Vec<(usize, Call)> =
                    delayed.extract_if(.., |it| it.0 <= attempts).collect();
                for (_, call) in arrived {
                    store.apply(&call);
                }
            }
            now = scheduler.next_due(now).unwrap_or(now).max(now + Duration::from_millis(1));
        }
        for (_, call) in delayed {
            store.apply(&call);
        }
        let rest = scheduler.tick(now + Duration::from_secs(60));
        prop_assert!(!rest.iter().any(|it| matches!(it, Action::Reply(..))), "{:?}", rest);
        for (ticket, reply) in &replies {
            let value: Arc<[u8]> = Arc::from(format!("value {}", ticket.0).as_bytes());
            let count = store.written.iter().filter(|it| **it == value).count();
            match reply {
                Reply::Done(_) => prop_assert_eq!(count, 1),
                Reply::Failed(Failure::Unknown) => prop_assert!(count <= 1),
                other => prop_assert_eq!(count, 0, "{:?} {:?}", ticket, other),
            }
        }
    }
}

fn simulate_attempt(
    store: &mut FakeStore,
    delayed: &mut Vec<(usize, Call)>,
    attempts: usize,
    id: CallId,
    call: &Call,
    course: Course,
) -> Outcome {
    // A probe has no effect.
    if id == CallId::Probe {
        return Outcome::Answered(Reply::Got(None));
    }
    match course {
        Course::Answered => Outcome::Answered(store.apply(call)),
        Course::Refused => Outcome::Refused { retry_after: Some(Duration::from_millis(300)) },
        Course::Unavailable => Outcome::Unavailable { retry_after: None },
        Course::LostWithoutEffect => Outcome::Lost,
        Course::LostWithEffect => {
            store.apply(call);
            Outcome::Lost
        }
        Course::Delayed(after) => {
            delayed.push((attempts + after, call.clone()));
            Outcome::Lost
        }
    }
}
