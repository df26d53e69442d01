//! Rows of models: the queue before a model's servers and what is learnt of them together.

use shallotlead_base::{
    hash::{Map, Set},
    name,
    time::Time,
};

use crate::{
    admission::{Meter, Trust},
    breaker,
    budget::{Budget, HEDGE_FRACTION, RETRY_FRACTION},
    queue::{DECODE_WORK, Queue},
};

/// Generated tokens expected of an organisation that nothing is known of.
const OUTPUT: f64 = 256.0;
/// Weight of a new sample of generated tokens.
const OUTPUT_GAIN: f64 = 0.1;
/// Weight of a new sample in the model's typical slowness.
const SLOWNESS_GAIN: f64 = 0.05;
/// Largest sample in the typical slowness, so that one very slow server doesn't make it.
const SLOWNESS_MAX: f64 = 3.0;

/// One model's servers, taken together.
#[derive(Debug)]
pub(crate) struct Pool {
    /// Requests that wait.
    pub(crate) queue: Queue,
    /// How fast they leave.
    pub(crate) meter: Meter,
    /// How far expected times can be trusted.
    pub(crate) trust: Trust,
    /// Retries.
    pub(crate) retries: Budget,
    /// Hedges.
    pub(crate) hedges: Budget,
    /// Servers whose circuit isn't closed.
    pub(crate) ejected: Set<name::Server>,
    /// Its servers in the table.
    pub(crate) servers: Vec<name::Server>,
    /// Something changed that may let a request go.
    pub(crate) dirty: bool,
    /// When requests that can't be on time were last looked for.
    pub(crate) pruned: Time,
    /// When the queue was last tried.
    pub(crate) tried: Time,
    slowness: f64,
    outputs: Map<name::Organisation, f64>,
}

impl Pool {
    /// A pool that knows nothing yet.
    pub(crate) fn open(now: Time) -> Self {
        Self {
            queue: Queue::default(),
            meter: Meter::default(),
            trust: Trust::default(),
            retries: Budget::open(now, RETRY_FRACTION),
            hedges: Budget::open(now, HEDGE_FRACTION),
            ejected: Set::default(),
            servers: Vec::new(),
            dirty: false,
            pruned: Time::ZERO,
            tried: Time::ZERO,
            slowness: 1.0,
            outputs: Map::default(),
        }
    }

    /// Expected work of a request in tokens.
    pub(crate) fn work(
        &self,
        organisation: &name::Organisation,
        uncached_tokens: u32,
        max_tokens: u32,
    ) -> f64 {
        let output = self.outputs.get(organisation).copied().unwrap_or(OUTPUT);
        f64::from(uncached_tokens) + DECODE_WORK * output.min(f64::from(max_tokens)) + 1.0
    }

    /// A request generated `tokens` tokens.
    pub(crate) fn generated(&mut self, organisation: &name::Organisation, tokens: u32) {
        let output = self.outputs.entry(organisation.clone()).or_insert(f64::from(tokens));
        *output += OUTPUT_GAIN * (f64::from(tokens) - *output);
    }

    /// Times the expected time to first token that servers of this model typically take.
    pub(crate) fn slowness(&self) -> f64 {
        self.slowness
    }

    /// A server took `ratio` times the expected time to first token.
    pub(crate) fn learn_slowness(&mut self, ratio: f64) {
        self.slowness += SLOWNESS_GAIN * (ratio.min(SLOWNESS_MAX) - self.slowness);
    }

    /// Whether one more server may be ejected.
    pub(crate) fn may_eject(&self, server: &name::Server) -> bool {
        self.ejected.contains(server) || self.ejected.len() < breaker::most_open(self.servers.len())
    }
}
