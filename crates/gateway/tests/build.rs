//! Which build of a server's software began a stream.

mod support;

use std::{sync::Arc, time::Duration};

use proptest::prelude::*;
use shallotlead_base::id::Version;
use shallotlead_gateway::{
    adapter::ServerEntry,
    build::{Begun, Content, Id, Lifetime, OpenStreams, Record, Schedule, Stream, Streams},
    copies,
    gossip::Datagram,
    placement::{self, Criteria, PrefixIndex, Shortage},
    pool::{Change, Pool},
};
use support::{at, criteria, entry, pool};

const RETENTION: Duration = Duration::from_secs(30);

fn begun(stream: &str, version: &str) -> Begun {
    Begun { stream: Stream::of("open", stream), build: Id::of("pool", version) }
}

/// Adds the server `name` of build `version`.
fn put(pool: &mut Pool, name: &str, number: u8, version: Option<&str>) -> Change {
    let entry = ServerEntry { build: version.map(Arc::from), ..entry(number, "a", 1) };
    pool.put(at(0), &Arc::from(name), 100, entry)
}

// A stream is sent again before its first event, and word of the first sending arrives late.
#[test]
fn latest_sending_of_a_stream_holds() {
    let mut streams = Streams::default();
    streams.record(at(10), begun("r1", "v1"));
    streams.record(at(30), begun("r1", "v2"));
    streams.record(at(20), begun("r1", "v1"));
    assert_eq!(streams.find(Stream::of("open", "r1")), Some(Id::of("pool", "v2")));
    assert_eq!(streams.find(Stream::of("walled", "r1")), None, "another organisation's");
    streams.expire(at(30_020), RETENTION);
    let known = streams.find(Stream::of("open", "r1"));
    assert_eq!(known, Some(Id::of("pool", "v2")), "the later sending is not too old");
    streams.expire(at(30_031), RETENTION);
    assert_eq!(streams.find(Stream::of("open", "r1")), None);
}

// An instance's record says where a stream was sent before the record was last written. What was announced holds, also if it has
// waited in the socket's buffer.
#[test]
fn restored_stream_replaces_no_announcement() {
    let mut streams = Streams::default();
    let find = |it: &Streams| it.find(Stream::of("open", "r1"));
    streams.restore(at(20), begun("r1", "v1"));
    assert_eq!(find(&streams), Some(Id::of("pool", "v1")));
    streams.record(at(10), begun("r1", "v2"));
    streams.restore(at(30), begun("r1", "v1"));
    assert_eq!(find(&streams), Some(Id::of("pool", "v2")));
    streams.expire(at(30_021), RETENTION);
    assert_eq!(find(&streams), None);
}

/// A record with these builds that was read by a call sent at `sent_ms`.
fn record(sent_ms: u64, builds: &[Id]) -> Record {
    let mut record = Record::default();
    record.adopt(at(sent_ms + 4), at(sent_ms), Some((Version(7), Content::of(builds))));
    record
}

// An instance that is cut off or stood still has known one build for long. Only a read that was sent after the stream was
// taken up shows that no other one has begun it.
#[test]
fn only_build_is_known_from_a_read_that_is_younger_than_the_request() {
    let (one, other) = (Id::of("pool", "v1"), Id::of("pool", "v2"));
    assert!(!Record::default().is_read_since(at(0)));
    let mut known = record(100, &[one]);
    known.observe(at(90_000), &[one], RETENTION);
    assert_eq!(known.only(), Some(one));
    assert!(known.is_read_since(at(100)));
    assert!(!known.is_read_since(at(101)));
    assert_eq!(record(100, &[one, other]).only(), None);
    assert_eq!(record(100, &[]).only(), None);
    assert_eq!(record(100, &[Id::UNNAMED]).only(), None, "each is like no other");
}

// A stream is sent to a server of a new build before that is recorded. Once all instances have ended, nobody would know that it
// may have begun streams.
#[test]
fn streams_are_sent_to_recorded_builds_only() {
    let mut pool = pool(2);
    put(&mut pool, "f0", 10, Some("v2"));
    let prefixes = PrefixIndex::default();
    let (one, other) = (Id::of(support::SERVICE, "v1"), Id::of(support::SERVICE, "v2"));
    let chosen = |record: &Record, excluded: &[usize]| {
        let criteria = Criteria { recorded: Some(record), excluded, ..criteria(&[]) };
        placement::choose(&pool, &prefixes, at(0), &criteria, 0).map(|it| it.server)
    };
    let mut known = record(0, &[one]);
    assert!(chosen(&known, &[]).is_ok_and(|it| it < 2));
    assert_eq!(chosen(&Record::default(), &[]), Err(Shortage::NoServer));
    assert_eq!(chosen(&known, &[0, 1]), Err(Shortage::NoneReady));
    known.record_announcement(at(0), other);
    assert_eq!(chosen(&known, &[0, 1]), Ok(2), "another instance has sent streams there");
    known.observe(at(30_000), &[one], RETENTION);
    assert_eq!(chosen(&known, &[0, 1]), Err(Shortage::NoneReady));
}

// The servers of a build have left, and its streams may still be taken up. Later on, the record must not name it any more, or
// streams of the remaining build would be in doubt for ever.
#[test]
fn build_stays_recorded_for_as_long_as_its_streams_may_be_taken_up() {
    let (one, other) = (Id::of("pool", "v1"), Id::of("pool", "v2"));
    let mut known = record(0, &[one]);
    assert_eq!(known.update(at(10), &[one], RETENTION), None);
    assert_eq!(known.update(at(10), &[], RETENTION), None);
    let both = Content::of(&[one, other]);
    assert_eq!(known.update(at(10), &[one, other], RETENTION), Some(both.clone()));
    assert!(!known.contains(other));
    known.adopt(at(20), at(15), Some((Version(8), both)));
    assert!(known.contains(other));
    known.observe(at(1_000), &[one, other], RETENTION);
    known.observe(at(60_999), &[other], RETENTION);
    assert_eq!(known.update(at(60_999), &[other], RETENTION), None);
    let update = known.update(at(61_000), &[other], RETENTION);
    assert_eq!(update, Some(Content::of(&[other])));
}

// Others may have removed a build whose servers were gone for long. If one comes back, the record is read before it is used.
#[test]
fn build_that_returns_is_read_again_before_it_is_used() {
    let (one, other) = (Id::of("pool", "v1"), Id::of("pool", "v2"));
    let mut known = record(0, &[one, other]);
    known.observe(at(30_003), &[other], RETENTION);
    assert!(known.contains(one));
    assert!(!known.needs_read(&[one, other]));
    known.observe(at(30_004), &[other], RETENTION);
    assert!(!known.contains(one));
    assert!(known.needs_read(&[one, other]));
    known.adopt(at(31_000), at(30_990), Some((Version(9), Content::of(&[one, other]))));
    assert!(known.contains(one));
}

// The store is restored from a copy that was made before a build was recorded.
#[test]
fn builds_that_a_restored_store_has_lost_are_recorded_again() {
    let (one, other) = (Id::of("pool", "v1"), Id::of("pool", "v2"));
    let mut known = record(0, &[one, other]);
    known.handle_restore();
    assert!(!known.contains(one));
    assert!(known.needs_read(&[]));
    known.adopt(at(20), at(15), Some((Version(3), Content::of(&[one]))));
    assert_eq!(known.update(at(20), &[], RETENTION), Some(Content::of(&[one, other])));
    known.adopt(at(30), at(25), Some((Version(4), Content::of(&[one, other]))));
    assert_eq!(known.update(at(30), &[one], RETENTION), None);
}

// The store is restored once more before the record was read again: there was nothing to take note of any more, and the
// builds of before the first restore were forgotten.
#[test]
fn builds_that_a_store_has_lost_survive_a_second_restore() {
    let (one, other) = (Id::of("pool", "v1"), Id::of("pool", "v2"));
    let mut known = record(0, &[one, other]);
    known.handle_restore();
    known.handle_restore();
    known.adopt(at(20), at(15), Some((Version(3), Content::of(&[one]))));
    assert_eq!(known.update(at(20), &[], RETENTION), Some(Content::of(&[one, other])));
}

// All instances end while streams are open. What was written must name their builds, and nothing that can't be taken up.
#[test]
fn written_streams_are_those_that_may_be_taken_up() {
    let mut open = OpenStreams::default();
    assert!(!open.is_changed());
    open.record(at(0), begun("r1", "v1"));
    open.record(at(10), begun("r2", "v1"));
    open.record(at(20), begun("r2", "v2"));
    open.record(at(30), begun("r3", "v2"));
    open.finish(begun("r3", "v2").stream);
    let written = open.take_written();
    assert!(!open.is_changed());
    assert_eq!(OpenStreams::parse(written.as_bytes()), [begun("r2", "v2"), begun("r1", "v1")]);
    open.record(at(40), begun("r2", "v2"));
    assert!(!open.is_changed(), "nothing is new");
    open.expire(at(30_001), RETENTION);
    assert_eq!(OpenStreams::parse(open.take_written().as_bytes()), [begun("r2", "v2")]);
}

// The store is away for a minute while streams begin, and each write was made again at the usual interval.
#[test]
fn writes_that_fail_are_made_ever_more_rarely() {
    let (start, interval) = (at(1_000), Duration::from_millis(200));
    let mut schedule = Schedule::default();
    let mut calls = Vec::new();
    while schedule.next_at() < start + Duration::from_secs(60) {
        let now = schedule.next_at().max(start);
        schedule.record_call(now, interval);
        schedule.record_failure(now, interval);
        calls.push(now.since(start).as_millis());
    }
    assert_eq!(calls[..7], [0, 200, 600, 1_400, 3_000, 6_200, 11_200]);
    assert_eq!(calls.len(), 16, "{calls:?}");
    let now = schedule.next_at();
    schedule.record_call(now, interval);
    schedule.record_answer();
    assert_eq!(schedule.next_at(), now + interval);
    schedule.record_failure(now, interval);
    assert_eq!(schedule.next_at(), now + interval, "only failures in a row count");
}

// Attempts of routes with long timeouts follow each other.
#[test]
fn streams_are_remembered_for_longer_than_two_attempts() {
    let mut lifetime = Lifetime::default();
    lifetime.replace(at(0), Duration::from_secs(1));
    assert_eq!(lifetime.retention(at(0)), Duration::from_secs(30));
    lifetime.replace(at(0), Duration::from_secs(60));
    assert_eq!(lifetime.retention(at(0)), Duration::from_secs(120));
}

// A configuration shortens or removes the routes with long timeouts. Streams that began before it live on, and were their
// builds forgotten, they could be joined with events of another build.
#[test]
fn streams_that_began_under_longer_timeouts_are_remembered() {
    let mut lifetime = Lifetime::default();
    lifetime.replace(at(0), Duration::from_secs(60));
    lifetime.replace(at(1_000), Duration::from_secs(20));
    lifetime.replace(at(2_000), Duration::ZERO);
    lifetime.replace(at(3_000), Duration::ZERO);
    assert_eq!(lifetime.retention(at(120_000)), Duration::from_secs(120));
    assert_eq!(lifetime.retention(at(122_000)), Duration::from_secs(30));
    lifetime.replace(at(130_000), Duration::from_secs(90));
    assert_eq!(lifetime.retention(at(130_000)), Duration::from_secs(180));
}

// A server starts again under its name and address as another build, and reports no incarnation.
#[test]
fn server_with_another_build_is_another_incarnation() {
    let mut pool = pool(1);
    assert!(matches!(put(&mut pool, "e0", 0, Some("v2")), Change::Restarted(0, 1)));
    assert_eq!(pool.get(1).build_id, Id::of(support::SERVICE, "v2"));
}

// Servers that name no build could run any: each is like no other.
#[test]
fn servers_without_a_build_are_not_alike() {
    let mut pool = pool(0);
    put(&mut pool, "x", 1, None);
    put(&mut pool, "y", 2, None);
    assert_ne!(pool.get(0).build_id, pool.get(1).build_id);
}

// A stream that has begun is placed at its own build only, even if that has no room, and so is the copy of a run.
#[test]
fn begun_stream_and_copies_stay_at_their_build() {
    let mut pool = pool(2);
    put(&mut pool, "f0", 10, Some("v2"));
    put(&mut pool, "f1", 11, Some("v2"));
    let prefixes = PrefixIndex::default();
    let of =
        |build: &str| Criteria { build: Some(Id::of(support::SERVICE, build)), ..criteria(&[]) };
    for random in 0..50 {
        for (build, servers) in [("v1", 0..2), ("v2", 2..4)] {
            let choice = placement::choose(&pool, &prefixes, at(0), &of(build), random);
            let choice = choice.expect("there are servers of the build");
            assert!(servers.contains(&choice.server), "{build} at {}", choice.server);
            let copy = copies::target(&pool, at(0), &criteria(&[]), &choice);
            assert!(copy.is_some_and(|it| servers.contains(&it) && it != choice.server));
        }
    }
    let missing = placement::choose(&pool, &prefixes, at(0), &of("v3"), 0);
    assert_eq!(missing.err(), Some(Shortage::NoBuild));
}

// Instances of an earlier release send no streams, and read messages that are followed by some.
#[test]
fn streams_follow_messages_without_hiding_them_from_earlier_releases() {
    let datagram = Datagram::Placed(Vec::new(), Vec::new());
    let streams = vec![begun("r1", "v1"), begun("r2", "v2")];
    let bytes = datagram.encode(&streams).expect("it is encoded");
    assert_eq!(postcard::from_bytes::<Datagram>(&bytes), Ok(datagram.clone()));
    assert_eq!(Datagram::decode(&bytes), Ok((datagram.clone(), streams)));
    let earlier = postcard::to_stdvec(&datagram).expect("it is encoded");
    assert_eq!(Datagram::decode(&earlier), Ok((datagram, Vec::new())));
}

proptest! {
    // A damaged message must not end the instance.
    #[test]
    fn any_bytes_are_decoded_or_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = Datagram::decode(&bytes);
        let _ = OpenStreams::parse(&bytes);
    }
}

// A record that others have written was restored whole, and told to all instances in datagrams that no socket sends.
#[test]
fn no_more_streams_are_restored_than_are_written() {
    let written = "0123456789abcdef00000001".repeat(40_000);
    assert_eq!(OpenStreams::parse(written.as_bytes()).len(), 4_096);
    let restored = OpenStreams::parse("f".repeat(24 * 5_000).as_bytes());
    let bytes = Datagram::RestoredStreams(restored).encode(&[]).expect("it can be encoded");
    assert!(bytes.len() <= 65_507, "{} bytes", bytes.len());
}

// A record that others have written had more builds than there are servers. Each read compared all with all, for seconds.
#[test]
fn record_with_more_builds_than_servers_counts_as_unreadable() {
    let written = |count: u32| {
        let builds: Vec<u32> = (1..=count).collect();
        serde_json::json!({ "builds": builds }).to_string().into_bytes()
    };
    let unreadable = Content::of(&[Id::UNNAMED]);
    assert_eq!(Content::parse(&written(3)), Content::of(&[1, 2, 3].map(Id::from_number)));
    for odd in [&written(100_000)[..], b"", b"null", b"{\"builds\":[-1]}", b"{\"builds\":[1e30]}"] {
        assert_eq!(Content::parse(odd), unreadable);
    }
}
