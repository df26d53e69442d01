//! What backend servers' prefix caches are believed to hold.
//!
//! A belief says that one life of a server holds one block. It is only a hint: a wrong one costs
//! time, never correctness. It comes from attempts that were sent, from answers, from cache events
//! and from snapshots, and it is bounded in memory: what neither a request nor an event has touched
//! for longest is forgotten first, half of the bound at a time.

use std::time::Duration;

use shallotlead_base::{hash::Map, id::Incarnation, name, time::Time};

use crate::{
    chain::{BLOCK_TOKENS, Block, Chain},
    input::{Batch, Event, State},
    request::Hint,
};

mod memory;
mod stream;

use memory::{Holder, Memory, Source};
use stream::Stream;

/// Beliefs about the caches of many servers.
#[derive(Debug)]
pub struct Table {
    servers: Vec<Server>,
    index: Map<name::Server, Slot>,
    memory: Memory,
}

/// A server's place in the table.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct Slot(pub(crate) u32);

impl Slot {
    pub(crate) const fn index(self) -> usize {
        self.0 as usize
    }
}

/// What one server is believed to hold of a chain.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Held {
    pub(crate) server: Slot,
    /// Leading blocks believed cached.
    pub(crate) blocks: u32,
    /// Leading blocks weighed by the probability that they are cached.
    pub(crate) expected: f32,
    /// Probability that all of `blocks` are cached.
    pub(crate) confidence: f32,
    /// Age of the belief in the last of `blocks`.
    pub(crate) age: Duration,
    /// Leading blocks that are almost certainly cached.
    pub(crate) certain: u32,
}

#[derive(Debug)]
struct Server {
    name: name::Server,
    incarnation: Incarnation,
    /// Counts the times that the cache was emptied: beliefs of an earlier one are void.
    epoch: u32,
    up: bool,
    stream: Stream,
}

/// Beliefs that are more probable than this count as certain.
const CERTAIN: f32 = 0.9;
/// Beliefs that are less probable than this aren't worth a candidate.
const DOUBTFUL: f32 = 0.05;
/// An attempt that was sent will fill the cache unless it fails first.
const SENT_CONFIDENCE: f32 = 0.95;
/// After this long, neither an answer nor an event has told of it: it may have failed, or the word
/// of it was lost.
const SENT_LIFETIME: Duration = Duration::from_secs(20);
const UNANSWERED_CONFIDENCE: f32 = 0.8;

impl Held {
    /// What a home believes, of a chain of `blocks` blocks.
    pub(crate) fn from_hint(server: Slot, hint: &Hint, blocks: u32) -> Self {
        let blocks = hint.blocks.min(blocks);
        let confidence = hint.confidence.clamp(0.0, 1.0);
        let expected = confidence * blocks as f32;
        let certain = if CERTAIN < confidence { blocks } else { 0 };
        Self { server, blocks, expected, confidence, age: hint.age, certain }
    }
}

impl Table {
    /// An empty table for at most `bound` beliefs, each about 110 bytes.
    pub fn open(bound: usize) -> Self {
        Self { servers: Vec::new(), index: Map::default(), memory: Memory::open(bound) }
    }

    /// Beliefs held.
    pub fn len(&self) -> usize {
        self.memory.len()
    }

    /// Whether nothing is believed.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Takes what is known of a server's life. A new incarnation voids all beliefs of the last.
    pub fn server(&mut self, _now: Time, server: &name::Server, state: State) {
        let slot = self.slot(server);
        if let State::Up(incarnation) = state {
            self.live(slot, incarnation);
        }
        self.servers[slot.index()].up = matches!(state, State::Up(_));
    }

    /// An attempt with this prompt was sent: the server will hold it soon.
    pub fn sent(
        &mut self,
        now: Time,
        chain: &Chain,
        server: &name::Server,
        incarnation: Incarnation,
    ) {
        if self.expect(now, &chain.blocks, server, incarnation) {
            self.memory.link(&chain.blocks);
        }
    }

    /// Another instance sent an attempt whose prompt has these blocks, among others.
    pub fn told(
        &mut self,
        at: Time,
        anchors: &[Block],
        server: &name::Server,
        incarnation: Incarnation,
    ) {
        self.expect(at, anchors, server, incarnation);
    }

    /// The server will hold these blocks. Says whether it still lives this life.
    fn expect(
        &mut self,
        at: Time,
        blocks: &[Block],
        server: &name::Server,
        incarnation: Incarnation,
    ) -> bool {
        let slot = self.slot(server);
        if !self.live(slot, incarnation) {
            return false;
        }
        let epoch = self.servers[slot.index()].epoch;
        let holder = Holder { server: slot, epoch, used: at, source: Source::Sent };
        for block in blocks {
            self.memory.hold(*block, holder);
        }
        true
    }

    /// An attempt with this prompt answered; `cached_tokens` of it came from the server's cache. Now
    /// it holds the whole prompt.
    pub fn answered(
        &mut self,
        now: Time,
        chain: &Chain,
        server: &name::Server,
        incarnation: Incarnation,
        cached_tokens: Option<u32>,
    ) {
        let slot = self.slot(server);
        if !self.live(slot, incarnation) {
            return;
        }
        let row = &mut self.servers[slot.index()];
        let cached = cached_tokens.map(|it| (it / BLOCK_TOKENS) as usize);
        let holder = Holder { server: slot, epoch: row.epoch, used: now, source: Source::Answered };
        let before = Holder { source: Source::Sent, ..holder };
        for (position, block) in chain.blocks.iter().enumerate() {
            let last = self.memory.hold(*block, holder);
            let Some(last) =
                last.filter(|it| it.epoch == before.epoch && it.source != Source::Sent)
            else {
                continue;
            };
            let age = now.since(last.used);
            match cached {
                Some(cached) if position < cached => row.stream.survived(age),
                Some(cached) if position == cached => row.stream.missed(age),
                _ => {}
            }
        }
    }

    /// Takes cache events. Events of an earlier life and events seen before are left out; a batch
    /// that begins with [`Event::Cleared`] is a snapshot and holds whatever came before it.
    pub fn cache(&mut self, now: Time, batch: &Batch) {
        let slot = self.slot(&batch.server);
        if !self.live(slot, batch.incarnation) {
            return;
        }
        let snapshot = matches!(batch.events.first(), Some(Event::Cleared));
        let row = &mut self.servers[slot.index()];
        let seen = row.stream.advance(batch.first, batch.events.len(), snapshot);
        for event in batch.events.iter().skip(seen) {
            self.event(now, slot, *event);
        }
    }

    fn event(&mut self, now: Time, slot: Slot, event: Event) {
        let row = &mut self.servers[slot.index()];
        match event {
            Event::Stored(block) => {
                let epoch = row.epoch;
                let holder = Holder { server: slot, epoch, used: now, source: Source::Event };
                self.memory.store(block, holder);
            }
            Event::Evicted(block) => {
                let Some(last) = self.memory.find(block, slot) else { return };
                let age = now.since(last.used);
                // Guards against a late eviction: the block was computed again before the event came,
                // and dropping the belief would send the next request elsewhere. It shows as a
                // recomputation right after a hit. The engine evicts what it used longest ago, so
                // an event about a block used just now is about an earlier copy.
                if last.epoch == row.epoch && age < row.stream.fresh() {
                    return;
                }
                if last.epoch == row.epoch && last.source != Source::Sent {
                    row.stream.evicted(age);
                }
                self.memory.drop(block, slot);
            }
            Event::Cleared => row.epoch += 1,
        }
    }

    /// What is believed of `chain`, as the prefix's home tells other instances: the likeliest servers
    /// first, at most `max`.
    pub fn hints(&mut self, now: Time, chain: &Chain, max: usize) -> Vec<Hint> {
        let mut held = Vec::new();
        self.held(now, chain, &mut held);
        held.sort_by(|a, b| b.expected.total_cmp(&a.expected).then(a.server.cmp(&b.server)));
        held.truncate(max);
        held.into_iter()
            .map(|it| {
                let row = &self.servers[it.server.index()];
                Hint {
                    server: row.name.clone(),
                    incarnation: row.incarnation,
                    blocks: it.blocks,
                    confidence: it.expected / it.blocks.max(1) as f32,
                    age: it.age,
                }
            })
            .collect()
    }

    /// How many live servers are believed to hold `block`.
    pub(crate) fn replicas(&self, block: Block) -> usize {
        let holds = |it: &&Holder| {
            let row = &self.servers[it.server.index()];
            row.epoch == it.epoch && row.up
        };
        self.memory.holders(block).iter().filter(holds).count()
    }

    /// Collects what each live server is believed to hold of `chain`.
    pub(crate) fn held(&mut self, now: Time, chain: &Chain, out: &mut Vec<Held>) {
        out.clear();
        let mut last: Vec<Time> = Vec::new();
        // Engines drop later blocks of a chain first, so that a block in the cache implies the ones
        // before it, also where an event about those was lost.
        for (position, block) in chain.blocks.iter().enumerate().rev() {
            for holder in self.memory.holders(*block) {
                let row = &self.servers[holder.server.index()];
                if row.epoch != holder.epoch || !row.up {
                    continue;
                }
                let known = out.iter().position(|it| it.server == holder.server);
                if known.is_some_and(|it| holder.used <= last[it]) {
                    continue;
                }
                let confidence = row.confidence(now, holder);
                let blocks = position as u32 + 1;
                let Some(known) = known else {
                    if DOUBTFUL < confidence {
                        let age = now.since(holder.used);
                        let expected = confidence * blocks as f32;
                        let certain = if CERTAIN < confidence { blocks } else { 0 };
                        let server = holder.server;
                        out.push(Held { server, blocks, expected, confidence, age, certain });
                        last.push(holder.used);
                    }
                    continue;
                };
                let it = &mut out[known];
                // All blocks up to here were counted with the smaller probability.
                let so_far = row.confidence(now, &Holder { used: last[known], ..*holder });
                it.expected += (confidence - so_far).max(0.0) * blocks as f32;
                if it.certain == 0 && CERTAIN < confidence {
                    it.certain = blocks;
                }
                last[known] = holder.used;
            }
        }
        for it in out {
            it.expected = it.expected.clamp(0.0, it.blocks as f32);
        }
    }

    /// Places of the blocks of `chain` that begin a new level: the first, and those that follow a
    /// block after which prompts were seen to part. The last level comes first.
    pub(crate) fn levels(&self, chain: &Chain, max: usize) -> Vec<usize> {
        let blocks = &chain.blocks;
        let mut levels: Vec<usize> = (1..blocks.len())
            .rev()
            .filter(|it| self.memory.parts(blocks[it - 1]))
            .take(max)
            .collect();
        if levels.len() < max && !blocks.is_empty() {
            levels.push(0);
        }
        levels
    }

    pub(crate) fn slot(&mut self, server: &name::Server) -> Slot {
        if let Some(slot) = self.index.get(server) {
            return *slot;
        }
        let slot = Slot(self.servers.len() as u32);
        self.servers.push(Server {
            name: server.clone(),
            incarnation: Incarnation::default(),
            epoch: 0,
            up: true,
            stream: Stream::default(),
        });
        self.index.insert(server.clone(), slot);
        slot
    }

    pub(crate) fn find(&self, server: &name::Server) -> Option<Slot> {
        self.index.get(server).copied()
    }

    pub(crate) fn name(&self, slot: Slot) -> &name::Server {
        &self.servers[slot.index()].name
    }

    /// Whether `incarnation` is the server's life; a later one than the known becomes it.
    fn live(&mut self, slot: Slot, incarnation: Incarnation) -> bool {
        let row = &mut self.servers[slot.index()];
        if row.incarnation < incarnation {
            // Guards against trust in a dead engine's cache: after a crash the beliefs still name the
            // server, and requests would wait there for a prefix that is gone. The epoch makes every
            // earlier belief void at once, whichever of health check, event or answer came first.
            row.incarnation = incarnation;
            row.epoch += 1;
            row.stream = Stream::default();
        }
        row.incarnation == incarnation
    }
}

impl Server {
    fn confidence(&self, now: Time, holder: &Holder) -> f32 {
        let age = now.since(holder.used);
        let kept = self.stream.kept(age);
        match holder.source {
            Source::Sent if SENT_LIFETIME < age => UNANSWERED_CONFIDENCE * kept,
            Source::Sent => SENT_CONFIDENCE * kept,
            Source::Answered | Source::Event => kept,
        }
    }
}
