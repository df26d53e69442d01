//! Growing pauses between tries.

use std::time::Duration;

use rand::{Rng, rngs::SmallRng};

/// Decorrelated jitter: each pause is drawn between the base and three times the pause before it,
/// so that clients that failed together do not come back together.
#[derive(Clone, Debug)]
pub struct Backoff {
    base: Duration,
    cap: Duration,
    previous: Duration,
}

impl Backoff {
    /// Pauses between `base` and `cap`.
    pub fn new(base: Duration, cap: Duration) -> Self {
        Self { base, cap, previous: base }
    }

    /// The next pause.
    pub fn next_delay(&mut self, rng: &mut SmallRng) -> Duration {
        let high = (self.previous * 3).max(self.base);
        let pause = rng.random_range(self.base..=high).min(self.cap);
        self.previous = pause;
        pause
    }

    /// Starts over after a success.
    pub fn reset(&mut self) {
        self.previous = self.base;
    }
}
