//! Reuse of idle connections to servers.

use std::time::Duration;

use shallotlead_base::time::Time;

/// Fraction of a server's idle limit for which an idle connection is reused. Later, a request could cross the
/// server's close, and it would be unknown whether it ran.
const REUSED_FRACTION: f64 = 0.6;

/// For how long a connection may be reused once it is idle.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Idle {
    /// The server's idle limit.
    limit: Duration,
    until: Time,
}

impl Idle {
    /// Of a new connection. `limit`: what the server's limit is taken for until it announces one.
    pub(crate) fn new(limit: Duration) -> Self {
        Self { limit, until: Time::ZERO }
    }

    /// Takes the limit that the server announces, if it does.
    pub(crate) fn observe(&mut self, limit: Option<Duration>) {
        self.limit = limit.unwrap_or(self.limit);
    }

    /// Records that the connection is idle from now on.
    pub(crate) fn begin(&mut self, now: Time) {
        self.until = now + self.limit.mul_f64(REUSED_FRACTION);
    }

    /// Until when it may be reused.
    pub(crate) fn until(self) -> Time {
        self.until
    }

    /// Whether it may not be reused any more.
    pub(crate) fn is_over(self, now: Time) -> bool {
        self.until <= now
    }
}
