//! Which prefixes the KV store is thought to keep, and which are worth exporting.
//!
//! Exporting every prefix would write as much as the engines compute, so only hot ones are: those
//! that several answers of this instance took from a cache within a few seconds. An import that
//! turns out to find nothing costs the engine one lookup, and the prefix is forgotten here.

use std::time::Duration;

use shallotlead_base::{hash::Map, time::Time};

use crate::chain::{BLOCK_TOKENS, Block, Chain};

/// Cache hits within [`WINDOW`] from which on a prefix is hot.
const HOT_USES: u32 = 4;
const WINDOW: Duration = Duration::from_secs(10);
/// Shorter prefixes are computed sooner than they are fetched.
const MIN_TOKENS: u32 = 1_024;
/// A kept prefix is exported again after this long, in case the store has dropped it.
const KEPT: Duration = Duration::from_secs(300);
/// Prefixes whose uses are counted; when there are more, those without a recent use are forgotten,
/// or all of them.
const MAX_COUNTED: usize = 4_096;
/// Microseconds of an import: to begin, and for each token.
const BEGIN: f64 = 10_000.0;
const TOKEN: f64 = 20.0;

/// Prefixes by their last block.
#[derive(Debug, Default)]
pub(super) struct Store {
    uses: Map<Block, Use>,
    kept: Map<Block, Time>,
}

#[derive(Debug)]
struct Use {
    since: Time,
    count: u32,
}

/// A prefix that can be imported.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Kept {
    pub(super) block: Block,
    pub(super) tokens: u32,
}

impl Store {
    /// An answer took `cached_tokens` of `chain` from a cache. Returns the prefix's last block when it
    /// should be exported now.
    pub(super) fn hit(&mut self, now: Time, chain: &Chain, cached_tokens: u32) -> Option<Block> {
        if cached_tokens < MIN_TOKENS {
            return None;
        }
        let last = (cached_tokens / BLOCK_TOKENS) as usize - 1;
        let block = *chain.blocks.get(last)?;
        if MAX_COUNTED <= self.uses.len() {
            self.uses.retain(|_, it| now.since(it.since) < WINDOW);
        }
        if MAX_COUNTED <= self.uses.len() {
            self.uses.clear();
        }
        let it = self.uses.entry(block).or_insert(Use { since: now, count: 0 });
        if WINDOW < now.since(it.since) {
            *it = Use { since: now, count: 0 };
        }
        it.count += 1;
        let hot = HOT_USES <= it.count;
        if !hot || self.kept.get(&block).is_some_and(|it| now.since(*it) < KEPT) {
            return None;
        }
        self.kept.retain(|_, it| now.since(*it) < KEPT);
        self.kept.insert(block, now);
        Some(block)
    }

    /// The longest kept prefix of `chain`.
    pub(super) fn find(&self, now: Time, chain: &Chain) -> Option<Kept> {
        if self.kept.is_empty() {
            return None;
        }
        let kept = |it: &Block| self.kept.get(it).is_some_and(|it| now.since(*it) < KEPT);
        let last = chain.blocks.iter().rposition(kept)?;
        Some(Kept { block: chain.blocks[last], tokens: (last as u32 + 1) * BLOCK_TOKENS })
    }

    /// An import of this prefix found nothing.
    pub(super) fn missed(&mut self, block: Block) {
        self.kept.remove(&block);
    }
}

/// Microseconds to import `tokens`.
pub(super) fn import_time(tokens: f64) -> f64 {
    BEGIN + TOKEN * tokens
}
