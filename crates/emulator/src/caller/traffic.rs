//! The requests of all callers.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::SmallRng};
use shallotlead_base::time::Time;
use shallotlead_gateway::adapter::Part;

use crate::ledger::Kind;

/// Tokens of the parts that prompts share, and of those that are their own.
const SHARED_TOKENS: u32 = 2_000;
const OWN_TOKENS: u32 = 150;
/// Most events of a stream.
const MAX_EVENTS: u64 = 40;

/// A request of a caller.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) kind: Kind,
    pub(crate) number: u64,
    pub(crate) parts: Vec<Part>,
    /// Events of the whole answer.
    pub(crate) events: u64,
    /// Events that were received, by all attempts.
    pub(crate) received: u64,
    /// The id of the attempt that brought the first event.
    pub(crate) first_id: Option<Box<str>>,
    pub(crate) attempts: u32,
}

/// Draws requests at random times.
#[derive(Debug)]
pub(crate) struct Traffic {
    rng: SmallRng,
    per_s: f64,
    /// Number of different shared parts.
    prefixes: u64,
    next_at: Time,
    end: Time,
    number: u64,
}

impl Traffic {
    pub(crate) fn new(seed: u64, per_s: f64, prefixes: u64, start: Time, end: Time) -> Self {
        let rng = SmallRng::seed_from_u64(seed);
        Self { rng, per_s, prefixes, next_at: start, end, number: 0 }
    }

    /// When the next request is due.
    pub(crate) fn due(&self) -> Option<Time> {
        (self.next_at < self.end).then_some(self.next_at)
    }

    /// Takes the next request, if it is due.
    pub(crate) fn next(&mut self, now: Time) -> Option<Request> {
        self.due().filter(|it| *it <= now)?;
        let pause = -self.rng.random::<f64>().max(1e-9).ln() / self.per_s;
        self.next_at = self.next_at + Duration::from_secs_f64(pause);
        self.number += 1;
        let kind = Kind::ALL[self.rng.random_range(0..Kind::ALL.len())];
        let (parts, events) = match kind.is_stream() {
            true => (self.prompt(), self.rng.random_range(1..=MAX_EVENTS)),
            false => (Vec::new(), 0),
        };
        Some(Request {
            kind,
            number: self.number,
            parts,
            events,
            received: 0,
            first_id: None,
            attempts: 0,
        })
    }

    /// A prompt of a shared part and one of its own. Low numbers of shared parts are the most frequent.
    fn prompt(&mut self) -> Vec<Part> {
        let rank = self.rng.random::<f64>() * self.rng.random::<f64>();
        let shared = (rank * self.prefixes as f64) as u64 + 1;
        let own = (1 << 32) + self.number;
        vec![Part { id: shared, tokens: SHARED_TOKENS }, Part { id: own, tokens: OWN_TOKENS }]
    }
}
