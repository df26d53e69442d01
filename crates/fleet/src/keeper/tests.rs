//! Tests of the keepers: lost, doubled and late events, and what the homes are told.

use std::collections::BTreeMap;

use proptest::prelude::*;
use shallotlead_base::{
    id::{Block, Incarnation},
    name,
    time::Time,
};

use crate::keeper::{Event, MAX_WATCHED, MIN_RESYNC_INTERVAL, stream::Stream};

const LIFE: Incarnation = Incarnation(1);

fn home() -> name::Instance {
    "e1".into()
}

/// A stream that has seen a snapshot of nothing.
fn open() -> Stream {
    let mut stream = Stream::default();
    stream.events(LIFE, 1, &[]);
    stream.snapshot(LIFE, 0, &[]);
    stream
}

fn watch(stream: &mut Stream, blocks: &[u64]) {
    let blocks = blocks.iter().copied().map(Block).collect::<Vec<_>>();
    stream.watch(Time::ZERO, &home(), LIFE, &blocks);
}

/// What the home is told: the block and whether it is stored.
fn told(stream: &mut Stream) -> Vec<(u64, bool)> {
    stream.take().changes.iter().map(|it| (it.block.0, it.stored)).collect()
}

#[test]
fn only_watched_blocks_are_told_and_once() {
    let mut stream = open();
    watch(&mut stream, &[1, 2]);
    let events = (0..100).map(|it| Event::Stored(Block(it))).collect::<Vec<_>>();
    stream.events(LIFE, 1, &events);
    assert_eq!(told(&mut stream), [(1, true), (2, true)]);
    stream.events(LIFE, 101, &[Event::Stored(Block(1)), Event::Evicted(Block(2))]);
    assert_eq!(told(&mut stream), [(2, false)]);
}

// A long poll is cut and asked again, and the same events come twice. An old "evicted" after a new
// "stored" would drop a true belief.
#[test]
fn doubled_events_are_left_out() {
    let mut stream = open();
    watch(&mut stream, &[1]);
    stream.events(LIFE, 1, &[Event::Stored(Block(1)), Event::Evicted(Block(1))]);
    stream.events(LIFE, 3, &[Event::Stored(Block(1))]);
    stream.take();
    stream.events(LIFE, 1, &[Event::Stored(Block(1)), Event::Evicted(Block(1))]);
    assert_eq!(told(&mut stream), []);
    stream.events(
        LIFE,
        2,
        &[Event::Evicted(Block(1)), Event::Stored(Block(1)), Event::Evicted(Block(1))],
    );
    assert_eq!(told(&mut stream), [(1, false)]);
}

// Requests go on to a server that evicted their prefix long ago: the eviction was among events that
// the stream lost. The gap must be noticed, doubted at once, and mended by a snapshot.
#[test]
fn gap_is_doubted_and_mended_by_a_snapshot() {
    let mut stream = open();
    watch(&mut stream, &[1, 2, 3]);
    stream.events(LIFE, 1, &[1, 2, 3].map(|it| Event::Stored(Block(it))));
    stream.take();
    // Events 4 to 9 are lost; block 1 was evicted among them.
    stream.events(LIFE, 10, &[Event::Evicted(Block(2))]);
    let news = stream.take();
    assert!(news.doubtful.contains(&home()));
    assert_eq!(news.changes.len(), 1);
    assert!(stream.resync(Time::ZERO));
    assert!(!stream.resync(Time::ZERO), "asked twice");
    // A snapshot from within the gap mends nothing.
    stream.snapshot(LIFE, 5, &[Block(1), Block(2), Block(3)]);
    assert!(told(&mut stream).is_empty());
    assert!(stream.resync(Time::ZERO + MIN_RESYNC_INTERVAL));
    // One from before the last event must not bring back what was evicted since.
    stream.snapshot(LIFE, 9, &[Block(2), Block(3)]);
    let mut told = told(&mut stream);
    told.sort_unstable();
    assert_eq!(told, [(1, false), (3, true)]);
    assert!(!stream.resync(Time::MAX));
}

// An engine crashes and comes back with an empty cache. Nothing of its life before may hold, and
// late events of that life must change nothing.
#[test]
fn new_life_voids_everything() {
    let mut stream = open();
    watch(&mut stream, &[1]);
    stream.events(LIFE, 1, &[Event::Stored(Block(1))]);
    stream.take();
    stream.events(Incarnation(2), 1, &[]);
    assert!(stream.take().cleared.contains(&home()));
    stream.events(LIFE, 2, &[Event::Stored(Block(1))]);
    stream.snapshot(LIFE, 9, &[Block(1)]);
    assert!(told(&mut stream).is_empty());
    assert_eq!(stream.incarnation(), Some(Incarnation(2)));
    // A home that still believes in the old life is told at once.
    watch(&mut stream, &[1]);
    assert!(stream.take().cleared.contains(&home()));
}

#[test]
fn cleared_cache_is_told_to_each_home() {
    let mut stream = open();
    watch(&mut stream, &[1, 2]);
    stream.events(
        LIFE,
        1,
        &[
            Event::Stored(Block(1)),
            Event::Stored(Block(2)),
            Event::Cleared,
            Event::Stored(Block(2)),
        ],
    );
    let news = stream.take();
    assert!(news.cleared.contains(&home()));
    let told = news.changes.iter().map(|it| (it.block.0, it.stored)).collect::<Vec<_>>();
    assert_eq!(told, [(2, true)]);
}

// A keeper dies, and evictions pass before the next one takes over. Nothing in the numbers tells
// the new one, so it must read a snapshot once somebody watches.
#[test]
fn new_keeper_reads_a_snapshot_first() {
    let mut stream = Stream::default();
    stream.events(LIFE, 500, &[Event::Stored(Block(7))]);
    assert!(!stream.resync(Time::ZERO), "nobody watches yet");
    watch(&mut stream, &[1, 2]);
    assert!(stream.resync(Time::ZERO));
    stream.snapshot(LIFE, 500, &[Block(2)]);
    let mut told = told(&mut stream);
    told.sort_unstable();
    assert_eq!(told, [(1, false), (2, true)]);
}

// A prefix is placed, cached and believed, and the belief is dropped at once. The snapshot under way
// was older than the event that stored the block, which was dropped since nobody watched it then.
#[test]
fn old_snapshot_says_nothing_of_a_newly_watched_block() {
    let mut stream = open();
    stream.events(LIFE, 1, &[Event::Stored(Block(4)), Event::Stored(Block(1))]);
    watch(&mut stream, &[1]);
    stream.snapshot(LIFE, 1, &[Block(4)]);
    assert_eq!(told(&mut stream), []);
}

#[test]
fn watched_blocks_are_bounded() {
    let mut stream = open();
    for block in 0..3 * MAX_WATCHED as u64 {
        let at = Time::from_millis(block);
        stream.watch(at, &home(), LIFE, &[Block(block)]);
    }
    let last = 3 * MAX_WATCHED as u64 - 1;
    let all = (0..=last).map(|it| Event::Stored(Block(it))).collect::<Vec<_>>();
    stream.events(LIFE, 1, &all);
    let told = told(&mut stream);
    assert!(told.len() <= MAX_WATCHED, "{} blocks are watched", told.len());
    assert!(told.contains(&(last, true)), "the latest was forgotten");
}

#[derive(Clone, Debug)]
enum Step {
    Store(u64),
    Evict(u64),
    Clear,
    Restart,
    Deliver,
    /// Loses what was not delivered.
    Lose,
    /// Delivers the last delivery again.
    Again,
    /// Takes a snapshot and hands it over after the steps that follow.
    Snapshot,
    HandOver,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0u64..6).prop_map(Step::Store),
        5 => (0u64..6).prop_map(Step::Evict),
        1 => Just(Step::Clear),
        1 => Just(Step::Restart),
        6 => Just(Step::Deliver),
        2 => Just(Step::Lose),
        2 => Just(Step::Again),
        2 => Just(Step::Snapshot),
        2 => Just(Step::HandOver),
    ]
}

/// A server's cache, its events, and what a home believes by what it is told.
#[derive(Default)]
struct World {
    life: u64,
    seq: u64,
    cached: BTreeMap<u64, ()>,
    pending: Vec<Event>,
    believed: BTreeMap<u64, bool>,
}

impl World {
    fn emit(&mut self, event: Event) {
        self.seq += 1;
        self.pending.push(event);
    }

    fn deliver(&mut self, stream: &mut Stream) -> (u64, u64, Vec<Event>) {
        let events = std::mem::take(&mut self.pending);
        let first = self.seq + 1 - events.len() as u64;
        stream.events(Incarnation(self.life), first, &events);
        (self.life, first, events)
    }

    fn learn(&mut self, stream: &mut Stream) {
        let news = stream.take();
        if !news.cleared.is_empty() {
            self.believed.clear();
            let blocks = (0..6).map(Block).collect::<Vec<_>>();
            stream.watch(Time::ZERO, &home(), Incarnation(self.life), &blocks);
        }
        for change in news.changes {
            self.believed.insert(change.block.0, change.stored);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, ..ProptestConfig::default() })]

    /// Whatever is lost, doubled or late: after a snapshot and the events since, a home that was told
    /// of a block believes what is true.
    #[test]
    fn homes_come_to_believe_what_is_true(steps in proptest::collection::vec(step(), 1..120)) {
        let mut stream = Stream::default();
        let mut world = World { life: 1, ..World::default() };
        let blocks = (0..6).map(Block).collect::<Vec<_>>();
        stream.watch(Time::ZERO, &home(), LIFE, &blocks);
        let mut last = (1, 1, Vec::new());
        let mut snapshot = None;
        for step in steps {
            match step {
                Step::Store(block) => {
                    world.cached.insert(block, ());
                    world.emit(Event::Stored(Block(block)));
                }
                Step::Evict(block) if world.cached.remove(&block).is_some() => {
                    world.emit(Event::Evicted(Block(block)));
                }
                Step::Evict(_) => {}
                Step::Clear => {
                    world.cached.clear();
                    world.emit(Event::Cleared);
                }
                Step::Restart => {
                    world = World { life: world.life + 1, believed: world.believed, ..World::default() };
                }
                Step::Deliver => last = world.deliver(&mut stream),
                Step::Lose => world.pending.clear(),
                Step::Again => stream.events(Incarnation(last.0), last.1, &last.2),
                Step::Snapshot => {
                    let blocks = world.cached.keys().copied().map(Block).collect::<Vec<_>>();
                    snapshot = Some((world.life, world.seq, blocks));
                }
                Step::HandOver => {
                    if let Some((life, seq, blocks)) = snapshot.take() {
                        stream.snapshot(Incarnation(life), seq, &blocks);
                    }
                }
            }
            world.learn(&mut stream);
        }
        // An event that follows shows a gap at the end, too.
        world.emit(Event::Stored(Block(99)));
        world.deliver(&mut stream);
        world.learn(&mut stream);
        if stream.resync(Time::MAX) {
            let blocks = world.cached.keys().copied().map(Block).collect::<Vec<_>>();
            stream.snapshot(Incarnation(world.life), world.seq, &blocks);
            world.learn(&mut stream);
        }
        for (block, stored) in &world.believed {
            prop_assert_eq!(*stored, world.cached.contains_key(block), "block {}", block);
        }
    }
}
