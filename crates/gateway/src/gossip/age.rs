//! Ages of events as exchanged between instances.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Unit of an age, so that the ages of members that do not yet count as dead are encoded in one byte.
const UNIT_MS: u128 = 40;

/// Time since an event at its origin, rounded up so that forwarding never makes an event appear younger.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Age(u32);

impl Age {
    /// An age of at least `since`.
    pub fn of(since: Duration) -> Self {
        Self(u32::try_from(since.as_millis().div_ceil(UNIT_MS)).unwrap_or(u32::MAX))
    }

    /// The age as a duration.
    pub fn duration(self) -> Duration {
        Duration::from_millis(u64::from(self.0) * UNIT_MS as u64)
    }
}
