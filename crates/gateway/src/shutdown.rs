//! The phases of a graceful shutdown. Does no I/O.

use std::time::Duration;

use shallotlead_base::time::Time;

/// Time for which new connections and requests are still accepted, since callers cache the directory's answer for some
/// seconds.
const ACCEPT_TIME: Duration = Duration::from_millis(2_000);
/// Time after which idle connections of callers are closed.
const KEEP_IDLE_TIME: Duration = Duration::from_millis(1_500);
/// Shortest time until the process exits, for callers that still hold open connections.
const MIN_TIME: Duration = Duration::from_millis(3_000);
/// How long before the end of the grace period the process exits by itself.
const EXIT_MARGIN: Duration = Duration::from_millis(400);
/// How long before that the requests that are left are ended, so that their answers reach the callers.
const DELIVERY_TIME: Duration = Duration::from_millis(100);
/// Shares (1/n) of a short grace period that the times above have at most.
const ACCEPT_DIVISOR: u32 = 4;
const KEEP_IDLE_DIVISOR: u32 = 5;
const MIN_DIVISOR: u32 = 2;
const EXIT_MARGIN_DIVISOR: u32 = 10;
const DELIVERY_DIVISOR: u32 = 20;

/// A graceful shutdown that has begun.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Shutdown {
    began: Time,
    grace: Duration,
}

impl Shutdown {
    /// Begins a shutdown; the platform kills the process after `grace`.
    pub fn new(began: Time, grace: Duration) -> Self {
        Self { began, grace }
    }

    /// Whether new connections and requests are still accepted.
    pub fn is_accepting(&self, now: Time) -> bool {
        now < self.began + ACCEPT_TIME.min(self.grace / ACCEPT_DIVISOR)
    }

    /// Whether idle connections of callers are closed.
    pub fn closes_idle(&self, now: Time) -> bool {
        self.began + KEEP_IDLE_TIME.min(self.grace / KEEP_IDLE_DIVISOR) <= now
    }

    /// Whether the process may exit once nothing is left to do.
    pub fn may_exit(&self, now: Time) -> bool {
        self.began + MIN_TIME.min(self.grace / MIN_DIVISOR) <= now
    }

    /// When the requests that are left are ended.
    pub fn ends_requests_at(&self) -> Time {
        self.exits_at() - DELIVERY_TIME.min(self.grace / DELIVERY_DIVISOR)
    }

    /// When the process exits, whatever is left to do.
    pub fn exits_at(&self) -> Time {
        self.began + (self.grace - EXIT_MARGIN.min(self.grace / EXIT_MARGIN_DIVISOR))
    }
}
