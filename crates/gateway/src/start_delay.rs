//! Learns how much later than expected prompts begin at the servers of a service. Does no I/O.

use std::time::Duration;

use crate::learning::quantile_step;

/// Delay before any start was seen: longer than most queues that form within an instant, as when other servers crash.
const PRIOR_MS: f64 = 1_300.0;
/// Fraction of the prompts that begin within the delay.
const QUANTILE: f64 = 0.99;
/// How far one start moves the delay: late ones up by nearly this, others down by the rest.
const STEP_MS: f64 = 400.0;
/// The longest delay that is learned. A longer one comes from a server that hangs, and says nothing about queues.
const MAX_MS: f64 = 5_000.0;

/// The delay within which nearly all prompts of a service begin, beyond the expected time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StartDelay {
    ms: f64,
}

impl Default for StartDelay {
    fn default() -> Self {
        Self { ms: PRIOR_MS }
    }
}

impl StartDelay {
    /// The delay.
    pub fn get(&self) -> Duration {
        Duration::from_secs_f64(self.ms / 1e3)
    }

    /// A prompt that was expected to begin after `expected` has begun, or still hadn't, after `took`.
    pub fn observe(&mut self, expected: Duration, took: Duration) {
        let is_late = self.get() < took.saturating_sub(expected);
        self.ms = (self.ms + quantile_step(is_late, STEP_MS, QUANTILE)).clamp(0.0, MAX_MS);
    }
}
