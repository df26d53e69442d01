//! When an instance's open streams are read and written.

use std::time::Duration;

use shallotlead_base::time::Time;

/// Longest delay between two calls that fail.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Times of the calls to the store for an instance's record, which are made one at a time. The delay doubles with each
/// failure in a row.
#[derive(Debug, Default)]
pub struct Schedule {
    next_at: Time,
    /// Number of failures since the last answer.
    failures: u32,
}

impl Schedule {
    /// When the next call may be made.
    pub fn next_at(&self) -> Time {
        self.next_at
    }

    /// A call is made. The next one follows after `interval` at the earliest.
    pub fn record_call(&mut self, now: Time, interval: Duration) {
        self.next_at = now + interval;
    }

    /// The record was read, and may be written at once.
    pub fn record_read(&mut self, now: Time) {
        *self = Self { next_at: now, failures: 0 };
    }

    /// The store has answered a write.
    pub fn record_answer(&mut self) {
        self.failures = 0;
    }

    /// The call has failed, where calls may follow each other after `interval`.
    pub fn record_failure(&mut self, now: Time, interval: Duration) {
        let factor = 2_u32.saturating_pow(self.failures);
        let delay = interval.saturating_mul(factor).min(MAX_RETRY_DELAY);
        self.next_at = self.next_at.max(now + delay);
        self.failures = self.failures.saturating_add(1);
    }
}
