//! What a candidate is worth.

use super::store::{self, Kept};
use crate::{
    belief::{Held, Slot},
    chain::BLOCK_TOKENS,
};

/// A server that is weighed, and what it is thought to hold.
#[derive(Clone, Copy, Debug)]
pub(super) struct Place {
    pub(super) server: Slot,
    pub(super) held: Option<Held>,
    pub(super) guess: Option<Guess>,
}

/// A level that a server may hold because consistent hashing gives it that level.
#[derive(Clone, Copy, Debug)]
pub(super) struct Guess {
    /// Leading blocks before the level.
    pub(super) from: u32,
    /// Leading blocks at its end.
    pub(super) to: u32,
    pub(super) probability: f64,
}

/// A candidate's score and its parts, in microseconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct Score {
    pub(super) place: Place,
    pub(super) total: f64,
    /// Prompt tokens in its queue.
    pub(super) ahead: f64,
    pub(super) wait: f64,
    pub(super) prefill: f64,
    pub(super) price: f64,
    /// Prompt tokens that it is expected to compute.
    pub(super) uncached: f64,
    /// Prefix to import first.
    pub(super) import: Option<Kept>,
}

impl Place {
    /// Tokens that the server is expected to compute of a prompt of `tokens`; at least the last one.
    pub(super) fn uncached(&self, tokens: u32) -> f64 {
        let believed = self.held.map_or(0.0, |it| f64::from(it.expected));
        let guessed = self.guess.map_or(0.0, |it| it.probability * f64::from(it.to - it.from));
        (f64::from(tokens) - (believed + guessed) * f64::from(BLOCK_TOKENS)).max(1.0)
    }
}

impl Place {
    /// The kept prefix, if importing what is missing of it is sooner done than computing it.
    pub(super) fn import(&self, kept: Kept, tokens: u32, token: f64) -> Option<Kept> {
        let saved = self.uncached(tokens) - f64::from(tokens.saturating_sub(kept.tokens));
        (store::import_time(saved) < saved * token && kept.tokens < tokens).then_some(kept)
    }
}

impl Score {
    pub(super) fn server(&self) -> Slot {
        self.place.server
    }
}
