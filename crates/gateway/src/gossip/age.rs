//! How long ago something happened at its origin, as instances tell each other.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Step of an age, ms: what is younger than an instance that counts as dead fits into one byte.
const STEP_MS: u128 = 40;

/// How long ago something happened at its origin. It is rounded up: nothing grows younger by being told on.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Age(u32);

impl Age {
    /// An age of `since` at least.
    pub fn of(since: Duration) -> Self {
        Self(u32::try_from(since.as_millis().div_ceil(STEP_MS)).unwrap_or(u32::MAX))
    }

    /// It as a time span.
    pub fn duration(self) -> Duration {
        Duration::from_millis(u64::from(self.0) * STEP_MS as u64)
    }
}
