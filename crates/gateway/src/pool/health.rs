//! Whether a backend server does what it is asked, from its answers alone.

use std::time::Duration;

use shallotlead_base::time::Time;

/// Failures in a row after which a server is left out.
const THRESHOLD: u32 = 2;
/// Answers that are errors, in a row, after which it is. Some requests end in errors everywhere, so
/// that a few tell nothing.
const ERRORS: u32 = 5;
/// How long a server is left out at first, and at most; each further failure doubles it.
const FIRST_PAUSE: Duration = Duration::from_millis(400);
const LONGEST_PAUSE: Duration = Duration::from_secs(4);

/// A circuit breaker for one server.
///
/// Guards against a server that fails while its entry says that it is ready: each request sent to it
/// is lost or late. It shows as one server's share of all requests failing. It holds since failures
/// in a row take the server out for a pause that grows, and one request at a time tries it again.
#[derive(Clone, Debug, Default)]
pub struct Health {
    failures: u32,
    errors: u32,
    out_until: Time,
    is_trying: bool,
}

impl Health {
    /// Whether a request may be sent.
    pub fn allows(&self, now: Time) -> bool {
        self.failures < THRESHOLD || (self.out_until <= now && !self.is_trying)
    }

    /// A request is sent.
    pub fn sent(&mut self) {
        self.is_trying = THRESHOLD <= self.failures;
    }

    /// A request was answered as it should be.
    pub fn succeeded(&mut self) {
        *self = Self::default();
    }

    /// A request failed. Says whether the server is left out from now on.
    pub fn failed(&mut self, now: Time) -> bool {
        self.failures = self.failures.saturating_add(1);
        self.is_trying = false;
        if self.failures < THRESHOLD {
            return false;
        }
        let doublings = (self.failures - THRESHOLD).min(4);
        self.out_until = now + (FIRST_PAUSE * (1 << doublings)).min(LONGEST_PAUSE);
        true
    }

    /// A request was answered by an error. Says whether the server is left out from now on.
    pub fn erred(&mut self, now: Time) -> bool {
        self.errors = self.errors.saturating_add(1);
        if self.errors < ERRORS {
            self.is_trying = false;
            return false;
        }
        self.failures = self.failures.max(THRESHOLD - 1);
        self.failed(now)
    }

    /// A request ended without telling anything about the server.
    pub fn forget(&mut self) {
        self.is_trying = false;
    }
}
