//! Decoding of messages from peers: arbitrary bytes, older and newer versions.

use proptest::{collection::vec, prelude::*, test_runner::RngSeed};
use serde::Serialize;
use shallotlead_base::{
    id::{Incarnation, Version},
    name,
    time::Time,
};
use shallotlead_fleet::{
    config::message as config,
    membership::{
        fact::{Fact, Facts, Status},
        message::{Message as Membership, Piggyback},
        reachability::Age,
    },
    message::{self, Error, MAX_MESSAGE_BYTES, Message, VERSION},
    node::{Action, Input, Node, ServerState},
    view::{Member, State},
};

fn config() -> ProptestConfig {
    // A fixed seed, so that every run has the same verdict.
    ProptestConfig { cases: 500, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() }
}

fn member() -> impl Strategy<Value = Member> {
    ("[a-z0-9-]{1,20}", "[a-z-]{1,12}", any::<(u32, u16, u64)>()).prop_map(
        |(name, location, it)| {
            let address = std::net::SocketAddr::from((it.0.to_be_bytes(), it.1));
            Member {
                name: name.as_str().into(),
                centre: location.as_str().into(),
                region: location.as_str().into(),
                address,
                peer: address,
                incarnation: Incarnation(it.2),
            }
        },
    )
}

fn state() -> impl Strategy<Value = State> {
    prop_oneof![Just(State::Alive), Just(State::Suspect), Just(State::Leaving), Just(State::Dead)]
}

fn fact() -> impl Strategy<Value = Fact> {
    prop_oneof![
        (member(), state()).prop_map(|(member, state)| Fact::Member { member, state }),
        (member(), state()).prop_map(|(it, state)| {
            Fact::State { name: it.name, incarnation: it.incarnation, state }
        }),
        (member(), member()).prop_map(|(it, by)| {
            Fact::Suspect { name: it.name, incarnation: it.incarnation, by: by.name }
        }),
        ("[a-z0-9]{1,30}", any::<(u64, u64)>()).prop_map(|(name, (sequence, it))| {
            let state = ServerState::Up(Incarnation(it));
            Fact::Server { name: name.as_str().into(), sequence, state }
        }),
        (member(), any::<(u64, u32, u64)>()).prop_map(|(it, (sequence, live, version))| {
            let (lowest, highest) = (Version(version / 2), Version(version));
            Fact::Centre(Status { centre: it.centre, sequence, live, lowest, highest })
        }),
    ]
}

fn beat() -> impl Strategy<Value = Piggyback> {
    let age = any::<(u16, u8)>().prop_map(|(tag, quarter_seconds)| Age { tag, quarter_seconds });
    (any::<u64>(), vec(age, 0..4), vec(fact(), 0..6)).prop_map(|(table, ages, facts)| Piggyback {
        table_version: Version(table),
        ages,
        facts: Facts(facts),
    })
}

fn any_message() -> impl Strategy<Value = Message> {
    prop_oneof![
        beat().prop_map(|it| Membership::Heartbeat(it).into()),
        (any::<u32>(), beat()).prop_map(|(number, beat)| Membership::Probe {
            number,
            piggyback: beat
        }
        .into()),
        (any::<u64>(), beat()).prop_map(|(digest, beat)| Membership::Digest {
            digest,
            piggyback: beat
        }
        .into()),
        vec(any::<u32>(), 0..130).prop_map(|it| Membership::BucketDigests { digests: it }.into()),
        member().prop_map(|it| Membership::Join(it).into()),
        any::<u64>()
            .prop_map(|it| config::Message::Request { have: Version(it), want: None }.into()),
        (any::<(u64, u64, u32, u32)>(), vec(any::<u8>(), 0..2_000)).prop_map(|(it, bytes)| {
            let (version, hash, total, offset) = (Version(it.0), it.1, it.2, it.3);
            config::Message::Chunk { version, hash, total, offset, bytes }.into()
        }),
    ]
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn encoded_messages_decode_unchanged(message in any_message()) {
        prop_assert_eq!(message::decode(&message::encode(&message)), Ok(message));
    }

    #[test]
    fn any_bytes_are_decoded_or_rejected(bytes in vec(any::<u8>(), 0..3_000)) {
        let _ = message::decode(&bytes);
    }

    // A faulty link or peer alters or truncates a message; the decoder must not panic, loop or allocate much.
    #[test]
    fn damaged_messages_are_decoded_or_rejected(
        message in any_message(),
        at in any::<prop::sample::Index>(),
        bits in 1u8..,
        cut in any::<prop::sample::Index>(),
    ) {
        let mut bytes = message::encode(&message);
        let at = at.index(bytes.len());
        bytes[at] ^= bits;
        let _ = message::decode(&bytes);
        bytes.truncate(cut.index(bytes.len()));
        let _ = message::decode(&bytes);
    }

    // During a rolling restart a newer instance sends fields that an older one doesn't know.
    #[test]
    fn appended_fields_are_ignored(message in any_message(), appended in vec(any::<u8>(), 1..50)) {
        let mut bytes = message::encode(&message);
        bytes[0] = VERSION + 1;
        bytes.extend(appended);
        prop_assert_eq!(message::decode(&bytes), Ok(message));
    }
}

/// A heartbeat as a newer version may write it.
#[derive(Serialize)]
struct NewerBeat {
    table: Version,
    ages: Vec<Age>,
    facts: Vec<Vec<u8>>,
}

// During a rolling restart, instances of one release take those of the other for unresponsive if one
// fact of an unknown kind makes the whole heartbeat unreadable. Only that fact may be dropped.
#[test]
fn only_the_fact_of_a_newer_kind_is_dropped() {
    let known = Fact::State {
        name: name::Instance::from("a-1"),
        incarnation: Incarnation(7),
        state: State::Leaving,
    };
    let encoded = postcard::to_stdvec(&known).unwrap();
    let unknown = vec![200, 1, 2, 3];
    let facts = vec![encoded.clone(), unknown, encoded];
    let newer = NewerBeat { table: Version(3), ages: Vec::new(), facts };
    // The zeros select the first variants: the membership protocol and its heartbeat.
    let bytes = postcard::to_extend(&newer, vec![VERSION + 1, 0, 0]).unwrap();
    let facts = Facts(vec![known.clone(), known]);
    let beat = Piggyback { table_version: Version(3), ages: Vec::new(), facts };
    assert_eq!(message::decode(&bytes), Ok(Membership::Heartbeat(beat).into()));
}

#[test]
fn message_of_a_newer_kind_is_rejected() {
    assert_eq!(message::decode(&[VERSION + 1, 100, 1, 2]), Err(Error::Malformed));
}

#[test]
fn unsupported_versions_and_sizes_are_rejected() {
    assert_eq!(message::decode(&[]), Err(Error::Malformed));
    assert_eq!(message::decode(&[0, 0, 0]), Err(Error::Version(0)));
    let long = vec![VERSION; MAX_MESSAGE_BYTES + 1];
    assert_eq!(message::decode(&long), Err(Error::TooLarge(MAX_MESSAGE_BYTES + 1)));
}

// A peer announces a list of 2^60 entries. No memory may be reserved for them in advance.
#[test]
fn announced_length_is_not_trusted() {
    let compare =
        postcard::to_stdvec(&Message::from(Membership::BucketDigests { digests: vec![] }));
    let mut bytes = vec![VERSION];
    bytes.extend(compare.unwrap());
    bytes.pop();
    bytes.extend([0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x10]);
    assert_eq!(message::decode(&bytes), Err(Error::Malformed));
}

// A peer of a much newer release sends messages that can't be decoded, and an operator needs to learn
// why the instances don't find each other. The node must report it, at a limited rate.
#[test]
fn undecodable_message_is_reported_at_a_limited_rate() {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    let me = Member {
        name: "a".into(),
        centre: "c".into(),
        region: "r".into(),
        address,
        peer: address,
        incarnation: Incarnation(1),
    };
    let mut node = Node::new(Time::ZERO, me, 1);
    let mut reports = |second: u64| {
        let now = Time::from_millis(second * 1_000);
        let bytes = vec![VERSION + 1, 100].into();
        node.handle(now, Input::Message { from: "b".into(), bytes });
        let mut actions = Vec::new();
        node.tick(now, &mut actions);
        let is_report = |it: &&Action| matches!(it, Action::DecodeFailed { error, .. } if *error == Error::Malformed);
        actions.iter().filter(is_report).count()
    };
    assert_eq!((reports(1), reports(2), reports(12)), (1, 0, 1));
}
