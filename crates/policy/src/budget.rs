//! Budgets of repeated attempts as fractions of the traffic.

use std::time::Duration;

use shallotlead_base::time::Time;

/// Retries for each first attempt, in the long run.
pub const RETRY_FRACTION: f64 = 0.1;
/// Hedges for each first attempt, in the long run.
pub const HEDGE_FRACTION: f64 = 0.02;
/// Attempts that a budget can save up.
const SAVED: f64 = 20.0;
/// Time after which a budget that had no traffic holds one attempt again, so that a quiet
/// instance can retry too.
const TRICKLE: Duration = Duration::from_secs(2);

/// A budget of extra attempts.
///
/// Guards against a retry storm: when servers slow down, every request fails and is sent again, the
/// load doubles and triples, and nothing recovers. It shows as attempts a second growing while
/// answers a second fall. The budget holds because extra attempts can't exceed a fraction of first
/// ones, however many fail.
#[derive(Clone, Debug)]
pub(crate) struct Budget {
    fraction: f64,
    saved: f64,
    at: Time,
}

impl Budget {
    /// A budget of `fraction` extra attempts for each first one.
    pub(crate) fn open(now: Time, fraction: f64) -> Self {
        Self { fraction, saved: SAVED, at: now }
    }

    /// A first attempt was sent.
    pub(crate) fn deposit(&mut self) {
        self.saved = (self.saved + self.fraction).min(SAVED);
    }

    /// Takes one extra attempt out, if there is one.
    pub(crate) fn withdraw(&mut self, now: Time) -> bool {
        self.trickle(now);
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }

    fn trickle(&mut self, now: Time) {
        let gained = now.since(self.at).as_secs_f64() / TRICKLE.as_secs_f64();
        if self.saved < 1.0 {
            self.saved = (self.saved + gained).min(1.0);
        }
        self.at = now;
    }
}
