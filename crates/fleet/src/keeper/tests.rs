//! Tests of the keepers: lost, duplicate and late events, and what is reported to the owners.

use std::collections::BTreeMap;

use proptest::prelude::*;
use shallotlead_base::{
    id::{Block, Incarnation},
    name,
    time::Time,
};

use crate::keeper::{Event, MAX_WATCHED, MIN_RESYNC_INTERVAL, stream::Stream};

const INCARNATION: Incarnation = Incarnation(1);

fn owner() -> name::Instance {
    "e1".into()
}

/// A stream without a gap, after an empty snapshot.
fn synced() -> Stream {
    let mut stream = Stream::default();
    stream.apply_events(INCARNATION, 1, &[]);
    stream.apply_snapshot(INCARNATION, 0, &[]);
    stream
}

fn watch(stream: &mut Stream, blocks: &[u64]) {
    let blocks = blocks.iter().copied().map(Block).collect::<Vec<_>>();
    stream.watch(Time::ZERO, &owner(), INCARNATION, &blocks);
}

/// The changes sent to the owner: each block and whether it is stored.
fn sent(stream: &mut Stream) -> Vec<(u64, bool)> {
    stream.take_updates().changes.iter().map(|it| (it.block.0, it.is_stored)).collect()
}

#[test]
fn only_watched_blocks_are_sent_and_only_once() {
    let mut stream = synced();
    watch(&mut stream, &[1, 2]);
    let events = (0..100).map(|it| Event::Stored(Block(it))).collect::<Vec<_>>();
    stream.apply_events(INCARNATION, 1, &events);
    assert_eq!(sent(&mut stream), [(1, true), (2, true)]);
    stream.apply_events(INCARNATION, 101, &[Event::Stored(Block(1)), Event::Evicted(Block(2))]);
    assert_eq!(sent(&mut stream), [(2, false)]);
}

// Guards against events that come twice when a long poll is interrupted and repeated: an old
// "evicted" after a new "stored" would drop a correct location.
#[test]
fn duplicate_events_are_ignored() {
    let mut stream = synced();
    watch(&mut stream, &[1]);
    stream.apply_events(INCARNATION, 1, &[Event::Stored(Block(1)), Event::Evicted(Block(1))]);
    stream.apply_events(INCARNATION, 3, &[Event::Stored(Block(1))]);
    stream.take_updates();
    stream.apply_events(INCARNATION, 1, &[Event::Stored(Block(1)), Event::Evicted(Block(1))]);
    assert_eq!(sent(&mut stream), []);
    stream.apply_events(
        INCARNATION,
        2,
        &[Event::Evicted(Block(1)), Event::Stored(Block(1)), Event::Evicted(Block(1))],
    );
    assert_eq!(sent(&mut stream), [(1, false)]);
}

// Guards against requests sent to a server that evicted their prefix long ago, when the eviction
// was among lost events: the gap must be detected, reported at once, and closed by a snapshot.
#[test]
fn gap_is_reported_and_closed_by_a_snapshot() {
    let mut stream = synced();
    watch(&mut stream, &[1, 2, 3]);
    stream.apply_events(INCARNATION, 1, &[1, 2, 3].map(|it| Event::Stored(Block(it))));
    stream.take_updates();
    // Events 4 to 9 are lost; block 1 was evicted among them.
    stream.apply_events(INCARNATION, 10, &[Event::Evicted(Block(2))]);
    let updates = stream.take_updates();
    assert!(updates.event_losses.contains(&owner()));
    assert_eq!(updates.changes.len(), 1);
    assert!(stream.start_resync(Time::ZERO));
    assert!(!stream.start_resync(Time::ZERO), "requested twice");
    // A snapshot from within the gap doesn't close it.
    stream.apply_snapshot(INCARNATION, 5, &[Block(1), Block(2), Block(3)]);
    assert!(sent(&mut stream).is_empty());
    assert!(stream.start_resync(Time::ZERO + MIN_RESYNC_INTERVAL));
    // One from before the last event must not restore what was evicted since.
    stream.apply_snapshot(INCARNATION, 9, &[Block(2), Block(3)]);
    let mut sent = sent(&mut stream);
    sent.sort_unstable();
    assert_eq!(sent, [(1, false), (3, true)]);
    assert!(!stream.start_resync(Time::MAX));
}

// Guards against state of an earlier incarnation after an engine crashed and restarted with an
// empty cache: none of it may remain, and late events of that incarnation must change nothing.
#[test]
fn new_incarnation_discards_all_state() {
    let mut stream = synced();
    watch(&mut stream, &[1]);
    stream.apply_events(INCARNATION, 1, &[Event::Stored(Block(1))]);
    stream.take_updates();
    stream.apply_events(Incarnation(2), 1, &[]);
    assert!(stream.take_updates().cleared.contains(&owner()));
    stream.apply_events(INCARNATION, 2, &[Event::Stored(Block(1))]);
    stream.apply_snapshot(INCARNATION, 9, &[Block(1)]);
    assert!(sent(&mut stream).is_empty());
    assert_eq!(stream.incarnation(), Some(Incarnation(2)));
    // An owner that still expects the old incarnation is notified at once.
    watch(&mut stream, &[1]);
    assert!(stream.take_updates().cleared.contains(&owner()));
}

#[test]
fn cleared_cache_is_reported_to_each_owner() {
    let mut stream = synced();
    watch(&mut stream, &[1, 2]);
    stream.apply_events(
        INCARNATION,
        1,
        &[
            Event::Stored(Block(1)),
            Event::Stored(Block(2)),
            Event::Cleared,
            Event::Stored(Block(2)),
        ],
    );
    let updates = stream.take_updates();
    assert!(updates.cleared.contains(&owner()));
    let sent = updates.changes.iter().map(|it| (it.block.0, it.is_stored)).collect::<Vec<_>>();
    assert_eq!(sent, [(2, true)]);
}

// Guards against evictions that are missed between a keeper's crash and the takeover by the next.
// The sequence numbers don't show them to the new keeper, so it must read a snapshot once a block
// is watched.
#[test]
fn new_keeper_reads_a_snapshot_first() {
    let mut stream = Stream::default();
    stream.apply_events(INCARNATION, 500, &[Event::Stored(Block(7))]);
    assert!(!stream.start_resync(Time::ZERO), "nobody watches yet");
    watch(&mut stream, &[1, 2]);
    assert!(stream.start_resync(Time::ZERO));
    stream.apply_snapshot(INCARNATION, 500, &[Block(2)]);
    let mut sent = sent(&mut stream);
    sent.sort_unstable();
    assert_eq!(sent, [(1, false), (2, true)]);
}

// Guards against a location that is dropped right after its prefix was placed and cached: the
// snapshot under way was older than the event that stored the block, and the event was dropped as
// the block wasn't watched yet.
#[test]
fn older_snapshot_is_not_applied_to_a_newly_watched_block() {
    let mut stream = synced();
    stream.apply_events(INCARNATION, 1, &[Event::Stored(Block(4)), Event::Stored(Block(1))]);
    watch(&mut stream, &[1]);
    stream.apply_snapshot(INCARNATION, 1, &[Block(4)]);
    assert_eq!(sent(&mut stream), []);
}

#[test]
fn number_of_watched_blocks_is_bounded() {
    let mut stream = synced();
    for block in 0..3 * MAX_WATCHED as u64 {
        let at = Time::from_millis(block);
        stream.watch(at, &owner(), INCARNATION, &[Block(block)]);
    }
    let last = 3 * MAX_WATCHED as u64 - 1;
    let all = (0..=last).map(|it| Event::Stored(Block(it))).collect::<Vec<_>>();
    stream.apply_events(INCARNATION, 1, &all);
    let sent = sent(&mut stream);
    assert!(sent.len() <= MAX_WATCHED, "{} blocks are watched", sent.len());
    assert!(sent.contains(&(last, true)), "the latest was forgotten");
}

#[derive(Clone, Debug)]
enum Step {
    Store(u64),
    Evict(u64),
    Clear,
    Restart,
    Deliver,
    /// Loses the events that were not delivered.
    Lose,
    /// Repeats the last delivery.
    Redeliver,
    /// Takes a snapshot that is applied after the following steps.
    Snapshot,
    ApplySnapshot,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0u64..6).prop_map(Step::Store),
        5 => (0u64..6).prop_map(Step::Evict),
        1 => Just(Step::Clear),
        1 => Just(Step::Restart),
        6 => Just(Step::Deliver),
        2 => Just(Step::Lose),
        2 => Just(Step::Redeliver),
        2 => Just(Step::Snapshot),
        2 => Just(Step::ApplySnapshot),
    ]
}

/// A model of a server's cache, its events, and what an owner expects by the updates it received.
#[derive(Default)]
struct Model {
    incarnation: u64,
    seq: u64,
    cached: BTreeMap<u64, ()>,
    pending: Vec<Event>,
    expected: BTreeMap<u64, bool>,
}

impl Model {
    fn emit(&mut self, event: Event) {
        self.seq += 1;
        self.pending.push(event);
    }

    fn deliver(&mut self, stream: &mut Stream) -> (u64, u64, Vec<Event>) {
        let events = std::mem::take(&mut self.pending);
        let first = self.seq + 1 - events.len() as u64;
        stream.apply_events(Incarnation(self.incarnation), first, &events);
        (self.incarnation, first, events)
    }

    fn receive(&mut self, stream: &mut Stream) {
        let updates = stream.take_updates();
        if !updates.cleared.is_empty() {
            self.expected.clear();
            let blocks = (0..6).map(Block).collect::<Vec<_>>();
            stream.watch(Time::ZERO, &owner(), Incarnation(self.incarnation), &blocks);
        }
        for change in updates.changes {
            self.expected.insert(change.block.0, change.is_stored);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, ..ProptestConfig::default() })]

    /// Whatever is lost, duplicated or late: after a snapshot and the events since, an owner's
    /// state of each reported block is correct.
    #[test]
    fn owners_converge_to_the_servers_cache(steps in proptest::collection::vec(step(), 1..120)) {
        let mut stream = Stream::default();
        let mut model = Model { incarnation: 1, ..Model::default() };
        let blocks = (0..6).map(Block).collect::<Vec<_>>();
        stream.watch(Time::ZERO, &owner(), INCARNATION, &blocks);
        let mut last = (1, 1, Vec::new());
        let mut snapshot = None;
        for step in steps {
            match step {
                Step::Store(block) => {
                    model.cached.insert(block, ());
                    model.emit(Event::Stored(Block(block)));
                }
                Step::Evict(block) if model.cached.remove(&block).is_some() => {
                    model.emit(Event::Evicted(Block(block)));
                }
                Step::Evict(_) => {}
                Step::Clear => {
                    model.cached.clear();
                    model.emit(Event::Cleared);
                }
                Step::Restart => {
                    model = Model { incarnation: model.incarnation + 1, expected: model.expected, ..Model::default() };
                }
                Step::Deliver => last = model.deliver(&mut stream),
                Step::Lose => model.pending.clear(),
                Step::Redeliver => stream.apply_events(Incarnation(last.0), last.1, &last.2),
                Step::Snapshot => {
                    let blocks = model.cached.keys().copied().map(Block).collect::<Vec<_>>();
                    snapshot = Some((model.incarnation, model.seq, blocks));
                }
                Step::ApplySnapshot => {
                    if let Some((incarnation, seq, blocks)) = snapshot.take() {
                        stream.apply_snapshot(Incarnation(incarnation), seq, &blocks);
                    }
                }
            }
            model.receive(&mut stream);
        }
        // A further event also reveals a gap at the end.
        model.emit(Event::Stored(Block(99)));
        model.deliver(&mut stream);
        model.receive(&mut stream);
        if stream.start_resync(Time::MAX) {
            let blocks = model.cached.keys().copied().map(Block).collect::<Vec<_>>();
            stream.apply_snapshot(Incarnation(model.incarnation), model.seq, &blocks);
            model.receive(&mut stream);
        }
        for (block, stored) in &model.expected {
            prop_assert_eq!(*stored, model.cached.contains_key(block), "block {}", block);
        }
    }
}
