//! Randomized delays between retries.

use std::time::Duration;

use rand::{Rng, rngs::SmallRng};

/// Backoff with decorrelated jitter: each delay is drawn at random between the base and three times
/// the previous delay, so that clients that failed at the same time don't retry at the same time.
#[derive(Clone, Debug)]
pub struct Backoff {
    base: Duration,
    cap: Duration,
    previous: Duration,
}

impl Backoff {
    /// Creates a backoff with delays between `base` and `cap`.
    pub fn new(base: Duration, cap: Duration) -> Self {
        Self { base, cap, previous: base }
    }

    /// Returns the delay before the next retry.
    pub fn next_delay(&mut self, rng: &mut SmallRng) -> Duration {
        let high = (self.previous * 3).max(self.base);
        let delay = rng.random_range(self.base..=high).min(self.cap);
        self.previous = delay;
        delay
    }

    /// Starts again from the base, after a success.
    pub fn reset(&mut self) {
        self.previous = self.base;
    }
}
