//! Bounded memory of which servers hold which blocks.

use shallotlead_base::{hash::Map, time::Time};

use super::Slot;
use crate::chain::Block;

/// Most servers remembered for one block; the one used longest ago goes first.
const MAX_HOLDERS: usize = 24;

/// Where a belief comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Source {
    /// An attempt was sent and hasn't answered yet.
    Sent,
    /// An answer.
    Answered,
    /// A cache event or snapshot.
    Event,
}

/// A server that holds a block.
#[derive(Clone, Copy, Debug)]
pub(super) struct Holder {
    pub(super) server: Slot,
    pub(super) epoch: u32,
    pub(super) used: Time,
    pub(super) source: Source,
}

#[derive(Debug, Default)]
struct Entry {
    holders: Vec<Holder>,
    /// The block seen after this one.
    next: Option<Block>,
    /// Whether different blocks were seen after this one.
    parts: bool,
}

impl Entry {
    /// An entry with room for one holder.
    fn of_one() -> Self {
        Self { holders: Vec::with_capacity(1), ..Self::default() }
    }

    /// An entry without holders still costs its place.
    fn cost(&self) -> usize {
        self.holders.len().max(1)
    }
}

/// Two generations of entries. What is touched moves to the young one; when that has half of the
/// bound, the old one is forgotten and the young one becomes old.
#[derive(Debug)]
pub(super) struct Memory {
    /// Bound of one generation.
    half: usize,
    max_holders: usize,
    young: Map<Block, Entry>,
    old: Map<Block, Entry>,
    young_cost: usize,
    old_cost: usize,
}

impl Memory {
    pub(super) fn open(bound: usize) -> Self {
        let (young, old) = (Map::default(), Map::default());
        let half = (bound / 2).max(4);
        let max_holders = MAX_HOLDERS.min(half / 2);
        Self { half, max_holders, young, old, young_cost: 0, old_cost: 0 }
    }

    pub(super) fn len(&self) -> usize {
        self.young_cost + self.old_cost
    }

    /// Records a holder by a request. Returns what was believed of it before.
    pub(super) fn hold(&mut self, block: Block, holder: Holder) -> Option<Holder> {
        let max_holders = self.max_holders;
        let (entry, cost) = self.touch(block);
        let before = entry.cost();
        let last = match entry.holders.iter_mut().find(|it| it.server == holder.server) {
            Some(it) => {
                // A block already known to be there stays so while the next attempt runs.
                let keep = it.epoch == holder.epoch
                    && holder.source == Source::Sent
                    && it.source != Source::Sent;
                let source = if keep { it.source } else { holder.source };
                Some(std::mem::replace(it, Holder { source, ..holder }))
            }
            None => {
                push(&mut entry.holders, holder, max_holders);
                None
            }
        };
        *cost = *cost + entry.cost() - before;
        last
    }

    /// Records a holder by an event, which tells nothing of the block's use.
    pub(super) fn store(&mut self, block: Block, holder: Holder) {
        let max_holders = self.max_holders;
        let (entry, cost) = self.touch(block);
        let before = entry.cost();
        match entry.holders.iter_mut().find(|it| it.server == holder.server) {
            Some(it) if it.epoch == holder.epoch => it.source = Source::Event,
            Some(it) => *it = holder,
            None => push(&mut entry.holders, holder, max_holders),
        }
        *cost = *cost + entry.cost() - before;
    }

    /// Forgets that `server` holds `block`.
    pub(super) fn drop(&mut self, block: Block, server: Slot) {
        for (map, total) in
            [(&mut self.young, &mut self.young_cost), (&mut self.old, &mut self.old_cost)]
        {
            let Some(entry) = map.get_mut(&block) else { continue };
            let before = entry.cost();
            entry.holders.retain(|it| it.server != server);
            *total = *total + entry.cost() - before;
        }
    }

    pub(super) fn find(&self, block: Block, server: Slot) -> Option<Holder> {
        self.holders(block).iter().find(|it| it.server == server).copied()
    }

    pub(super) fn holders(&self, block: Block) -> &[Holder] {
        self.get(block).map_or(&[], |it| &it.holders)
    }

    /// Records which block follows which, so that levels show.
    pub(super) fn link(&mut self, blocks: &[Block]) {
        for pair in blocks.windows(2) {
            let (entry, _) = self.touch(pair[0]);
            match entry.next {
                None => entry.next = Some(pair[1]),
                Some(next) => entry.parts |= next != pair[1],
            }
        }
    }

    /// Whether prompts part after `block`.
    pub(super) fn parts(&self, block: Block) -> bool {
        self.get(block).is_some_and(|it| it.parts)
    }

    fn get(&self, block: Block) -> Option<&Entry> {
        self.young.get(&block).or_else(|| self.old.get(&block))
    }

    fn touch(&mut self, block: Block) -> (&mut Entry, &mut usize) {
        let moved = match self.young.contains_key(&block) {
            true => 0,
            false => self.old.get(&block).map_or(1, Entry::cost),
        };
        // What is moved comes whole, and then grows by at most one holder.
        if self.half < self.young_cost + moved + 1 {
            self.old = std::mem::take(&mut self.young);
            self.old_cost = std::mem::take(&mut self.young_cost);
        }
        let total = &mut self.young_cost;
        let entry = self.young.entry(block).or_insert_with(|| {
            let moved = self.old.remove(&block);
            self.old_cost -= moved.as_ref().map_or(0, Entry::cost);
            // Most blocks are held by one server; a vector that grows by itself begins with room for
            // four, and costs four times as much.
            let entry = moved.unwrap_or_else(Entry::of_one);
            *total += entry.cost();
            entry
        });
        (entry, total)
    }
}

fn push(holders: &mut Vec<Holder>, holder: Holder, max: usize) {
    if holders.len() < max {
        holders.push(holder);
        return;
    }
    if let Some(oldest) = holders.iter_mut().min_by_key(|it| it.used) {
        *oldest = holder;
    }
}
