//! The bounded cache of prompt blocks.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

/// A change of the cache, as the event stream tells it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Event {
    Stored(u64),
    Evicted(u64),
    Cleared,
}

/// Who computed a block: the end user, the model and its weights. A hit on a block of another
/// origin is a hit that must never be.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Origin(pub(crate) Arc<str>);

/// Least-recently-used cache of blocks. Blocks that running requests use are pinned, and memory of
/// running requests that isn't shared yet is private.
#[derive(Debug)]
pub(crate) struct Cache {
    capacity: u32,
    entries: HashMap<u64, Entry>,
    /// Blocks that nothing pins, by last use.
    idle: BTreeMap<u64, u64>,
    clock: u64,
    private: u32,
    events: Vec<Event>,
}

#[derive(Debug)]
struct Entry {
    used: u64,
    pins: u32,
    depth: u32,
    origin: Origin,
}

impl Cache {
    /// An empty cache of `capacity` blocks.
    pub(crate) fn new(capacity: u32) -> Self {
        Self {
            capacity,
            entries: HashMap::new(),
            idle: BTreeMap::new(),
            clock: 0,
            private: 0,
            events: Vec::new(),
        }
    }

    /// Blocks that it can hold.
    pub(crate) fn capacity(&self) -> u32 {
        self.capacity
    }

    /// Blocks in use, cached or private.
    pub(crate) fn used(&self) -> u32 {
        self.cached() + self.private
    }

    /// All cached blocks.
    pub(crate) fn blocks(&self) -> impl Iterator<Item = u64> {
        self.entries.keys().copied()
    }

    /// Whether `block` is cached.
    pub(crate) fn holds(&self, block: u64) -> bool {
        self.entries.contains_key(&block)
    }

    /// Blocks of the prefix that ends in `block`, and who computed it.
    pub(crate) fn prefix(&self, block: u64) -> Option<(u32, Origin)> {
        self.entries.get(&block).map(|it| (it.depth, it.origin.clone()))
    }

    /// Leading blocks of `chain` that are cached.
    pub(crate) fn matched(&self, chain: &[u64]) -> usize {
        chain.iter().take_while(|it| self.holds(**it)).count()
    }

    /// Blocks of `chain` that another origin computed.
    pub(crate) fn foreign(&self, chain: &[u64], origin: &Origin) -> usize {
        let entries = chain.iter().filter_map(|it| self.entries.get(it));
        entries.filter(|it| it.origin != *origin).count()
    }

    /// Keeps cached blocks until they are unpinned.
    pub(crate) fn pin(&mut self, chain: &[u64]) {
        for block in chain {
            if let Some(entry) = self.entries.get_mut(block) {
                self.idle.remove(&entry.used);
                entry.pins += 1;
            }
        }
    }

    /// Ends a [`Cache::pin`]. The deepest block counts as used first, so that a prefix is evicted
    /// from its end.
    pub(crate) fn unpin(&mut self, chain: &[u64]) {
        for block in chain.iter().rev() {
            let Some(entry) = self.entries.get_mut(block) else { continue };
            entry.pins = entry.pins.saturating_sub(1);
            self.clock += 1;
            entry.used = self.clock;
            if entry.pins == 0 {
                self.idle.insert(entry.used, *block);
            }
        }
    }

    /// Takes private memory, evicting idle blocks as needed. False when it can't be had.
    pub(crate) fn reserve(&mut self, blocks: u32) -> bool {
        let idle = u32::try_from(self.idle.len()).unwrap_or(u32::MAX);
        if self.capacity < self.used().saturating_sub(idle) + blocks {
            return false;
        }
        while self.capacity < self.used() + blocks {
            let Some((_, block)) = self.idle.pop_first() else { return false };
            self.entries.remove(&block);
            self.events.push(Event::Evicted(block));
        }
        self.private += blocks;
        true
    }

    /// Gives private memory back.
    pub(crate) fn release(&mut self, blocks: u32) {
        self.private = self.private.saturating_sub(blocks);
    }

    /// Turns one private block into a cached, pinned one. False when it was cached meanwhile; it is
    /// pinned then, and the private block stays.
    pub(crate) fn store(&mut self, block: u64, depth: u32, origin: &Origin) -> bool {
        if self.holds(block) {
            self.pin(&[block]);
            return false;
        }
        self.release(1);
        self.clock += 1;
        let entry = Entry { used: self.clock, pins: 1, depth, origin: origin.clone() };
        self.entries.insert(block, entry);
        self.events.push(Event::Stored(block));
        true
    }

    /// Forgets all blocks. Private memory stays.
    pub(crate) fn clear(&mut self) {
        self.entries.clear();
        self.idle.clear();
        self.events.push(Event::Cleared);
    }

    /// Changes since the last call.
    pub(crate) fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    fn cached(&self) -> u32 {
        u32::try_from(self.entries.len()).unwrap_or(u32::MAX)
    }
}
