//! Lost answers of conditional writes.

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

use common::{Fake, alone, key, put, replied, sent, serve};

// An instance takes a duty's lease, and the connection breaks before the answer. The write had taken
// effect. Sent again blindly, it would meet its own write and be told that somebody else has the
// lease: nobody would do the duty until the lease lapses.
#[test]
fn lost_answer_after_effect_is_done() {
    let (mut client, mut fake, mut now) = (alone(), Fake::default(), Time::ZERO);
    client.submit(Ticket(1), put("loader", 0, "e1 fence 4"), now);
    let (id, call) = sent(&mut client, &mut now);
    fake.apply(&call);
    client.handle_outcome(id, Outcome::Lost, now);

    assert_eq!(serve(&mut client, &mut fake, &mut now), Call::Get(key("loader")));
    assert_eq!(replied(&mut client, &mut now), Reply::Done(Version(1)));
    assert_eq!(client.counts().settled_applied, 1);
    assert_eq!(client.counts().writes, 1);
}

// The connection breaks before the write reaches the platform. The submitter must not be told
// "unknown" for good: the read-back finds the expected version, and the same write goes out again.
#[test]
fn lost_answer_without_effect_is_sent_again() {
    let (mut client, mut fake, mut now) = (alone(), Fake::default(), Time::ZERO);
    client.submit(Ticket(1), put("loader", 0, "e1 fence 4"), now);
    let (id, _) = sent(&mut client, &mut now);
    client.handle_outcome(id, Outcome::Lost, now);

    assert_eq!(serve(&mut client, &mut fake, &mut now), Call::Get(key("loader")));
    assert_eq!(serve(&mut client, &mut fake, &mut now), put("loader", 0, "e1 fence 4"));
    assert_eq!(replied(&mut client, &mut now), Reply::Done(Version(1)));
    assert_eq!(client.counts().settled_resent, 1);
}

// The lost write is only slow: it takes effect between the read-back and the second try, which then
// meets its own value. Reported as a conflict, the holder would think that it lost its lease.
#[test]
fn second_try_meets_the_first() {
    let (mut client, mut fake, mut now) = (alone(), Fake::default(), Time::ZERO);
    client.submit(Ticket(1), put("loader", 0, "e1 fence 4"), now);
    let (id, slow) = sent(&mut client, &mut now);
    client.handle_outcome(id, Outcome::Lost, now);
    serve(&mut client, &mut fake, &mut now);

    fake.apply(&slow);
    serve(&mut client, &mut fake, &mut now);
    assert_eq!(replied(&mut client, &mut now), Reply::Done(Version(1)));
    assert_eq!(fake.written.len(), 1);
}

// Two instances write the same object, and the first one's answer is lost. When it reads back, the
// other's value is in force: its own may have stood before it. Neither "done" nor "conflict" would
// be true, so it hears "unknown" and decides by what it reads.
#[test]
fn conflicting_writer_in_between_leaves_it_unknown() {
    for took_effect in [false, true] {
        let (mut client, mut fake, mut now) = (alone(), Fake::default(), Time::ZERO);
        client.submit(Ticket(1), put("loader", 0, "e1 fence 4"), now);
        let (id, call) = sent(&mut client, &mut now);
        if took_effect {
            fake.apply(&call);
        }
        client.handle_outcome(id, Outcome::Lost, now);
        fake.apply(&put("loader", fake.memory.version.0, "e2 fence 5"));

        serve(&mut client, &mut fake, &mut now);
        assert_eq!(replied(&mut client, &mut now), Reply::Failed(Failure::Unknown));
    }
}

// The answer to giving up a lease is lost. A read-back that finds nothing settles it.
#[test]
fn lost_removal_is_done_when_the_object_is_gone() {
    let (mut client, mut fake, mut now) = (alone(), Fake::default(), Time::ZERO);
    fake.apply(&put("loader", 0, "e1 fence 4"));
    client.submit(Ticket(1), Call::Delete { key: key("loader"), expected: Version(1) }, now);
    let (id, call) = sent(&mut client, &mut now);
    fake.apply(&call);
    client.handle_outcome(id, Outcome::Lost, now);

    serve(&mut client, &mut fake, &mut now);
    assert_eq!(replied(&mut client, &mut now), Reply::Done(Version(0)));
}

/// What happens to one try.
#[derive(Clone, Copy, Debug)]
enum Fate {
    Answered,
    Refused,
    Unavailable,
    LostBefore,
    LostAfter,
    /// Lost, and it reaches the store after this many further tries.
    Late(usize),
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        4 => Just(Fate::Answered),
        1 => Just(Fate::Refused),
        1 => Just(Fate::Unavailable),
        1 => Just(Fate::LostBefore),
        1 => Just(Fate::LostAfter),
        1 => (1usize..6).prop_map(Fate::Late),
    ]
}

proptest! {
    // Whatever is refused, lost or late: each submitter hears exactly one answer, "done" means
    // written once, and "conflict" and "not applied" mean never written, not even later.
    #[test]
    fn answers_of_writes_are_true(
        writes in prop::collection::vec((0u8..3, 0u64..4), 1..12),
        fates in prop::collection::vec(fate(), 1..60),
        others in prop::collection::vec((0usize..60, 0u8..3), 0..6),
    ) {
        let (mut client, mut fake, mut now) = (alone(), Fake::default(), Time::ZERO);
        for (index, (name, expected)) in writes.iter().enumerate() {
            let call = put(&name.to_string(), *expected, &format!("value {index}"));
            client.submit(Ticket(index as u64), call, now);
        }
        let mut late: Vec<(usize, Call)> = Vec::new();
        let mut answers: Vec<(Ticket, Reply)> = Vec::new();
        let mut tries = 0;
        while answers.len() < writes.len() {
            for action in client.tick(now) {
                let (id, call) = match action {
                    Action::Reply(ticket, reply) => {
                        answers.push((ticket, reply));
                        continue;
                    }
                    Action::Send(id, call) => (id, call),
                };
                for (_, name) in others.iter().filter(|(at, _)| *at == tries) {
                    let name = name.to_string();
                    let version = fake.memory.objects.get(&key(&name)).map_or(0, |it| it.version.0);
                    fake.apply(&put(&name, version, &format!("other {tries}")));
                }
                let fate = fates.get(tries).copied().unwrap_or(Fate::Answered);
                tries += 1;
                let outcome = meet(&mut fake, &mut late, tries, id, &call, fate);
                client.handle_outcome(id, outcome, now);
                let arrived: Vec<(usize, Call)> = late.extract_if(.., |it| it.0 <= tries).collect();
                for (_, call) in arrived {
                    fake.apply(&call);
                }
            }
            now = client.next_due(now).unwrap_or(now).max(now + Duration::from_millis(1));
        }
        for (_, call) in late {
            fake.apply(&call);
        }
        let rest = client.tick(now + Duration::from_secs(60));
        prop_assert!(!rest.iter().any(|it| matches!(it, Action::Reply(..))), "{:?}", rest);
        for (ticket, reply) in &answers {
            let value: Arc<[u8]> = Arc::from(format!("value {}", ticket.0).as_bytes());
            let count = fake.written.iter().filter(|it| **it == value).count();
            match reply {
                Reply::Done(_) => prop_assert_eq!(count, 1),
                Reply::Failed(Failure::Unknown) => prop_assert!(count <= 1),
                other => prop_assert_eq!(count, 0, "{:?} {:?}", ticket, other),
            }
        }
    }
}

fn meet(
    fake: &mut Fake,
    late: &mut Vec<(usize, Call)>,
    tries: usize,
    id: CallId,
    call: &Call,
    fate: Fate,
) -> Outcome {
    // A probe carries nothing that could be applied.
    if id == CallId::Probe {
        return Outcome::Answered(Reply::Got(None));
    }
    match fate {
        Fate::Answered => Outcome::Answered(fake.apply(call)),
        Fate::Refused => Outcome::Refused { retry_after: Some(Duration::from_millis(300)) },
        Fate::Unavailable => Outcome::Unavailable { retry_after: None },
        Fate::LostBefore => Outcome::Lost,
        Fate::LostAfter => {
            fake.apply(call);
            Outcome::Lost
        }
        Fate::Late(after) => {
            late.push((tries + after, call.clone()));
            Outcome::Lost
        }
    }
}
