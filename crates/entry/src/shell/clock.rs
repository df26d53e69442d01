//! The process's monotonic clock.

use std::time::{Duration, Instant};

use shallotlead_base::time::Time;

/// Reads the monotonic clock as [`Time`] since the clock was made.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    origin: Instant,
}

impl Clock {
    /// A clock that starts an hour after its origin, so that ages can be subtracted from its first
    /// readings.
    pub(crate) fn new() -> Self {
        Self { origin: Instant::now() }
    }

    /// Now.
    pub(crate) fn now(self) -> Time {
        Time::ZERO + HEAD_START + self.origin.elapsed()
    }
}

const HEAD_START: Duration = Duration::from_secs(3_600);
