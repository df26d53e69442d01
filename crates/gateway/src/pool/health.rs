//! Whether a backend server does what it is asked, from its answers and from probes.

use std::time::Duration;

use shallotlead_base::time::Time;

/// Weight of the newest outcome in the share of failures.
const NEWEST: f64 = 0.25;
/// Share of failures from which on a server is left out: two in a row after many successes.
const THRESHOLD: f64 = 0.43;
/// What an answer that is an error counts, compared with none. Some requests end in errors at every
/// server, so that a few of them tell nothing.
const ERROR: f64 = 0.4;
/// Share of failures that a server comes back with: one more failure takes it out again.
const RETURNED: f64 = 0.3;
/// Share below which a server counts as well, and its next pause is the shortest again.
const WELL: f64 = 0.1;
/// How long a server is left out at first, and at most.
const FIRST_PAUSE: Duration = Duration::from_millis(300);
const LONGEST_PAUSE: Duration = Duration::from_secs(3);

/// A circuit breaker for one server.
///
/// Guards against a server that fails while its entry says that it is ready: each request sent to it
/// is lost or late. It shows as one server's share of all failures. It holds since the share of
/// failures takes the server out for a pause that doubles, and a probe, not a caller's request,
/// tries whether it is back.
#[derive(Clone, Debug, Default)]
pub struct Health {
    failures: f64,
    out_until: Option<Time>,
    pause: Duration,
    is_probed: bool,
}

impl Health {
    /// Whether requests may be sent.
    pub fn is_in_rotation(&self) -> bool {
        self.out_until.is_none()
    }

    /// A request was answered as it should be.
    pub fn record_success(&mut self) {
        self.failures *= 1.0 - NEWEST;
        if self.failures < WELL {
            self.pause = Duration::ZERO;
        }
    }

    /// A request was answered by an error. Says whether the server is left out from now on.
    pub fn record_error(&mut self, now: Time) -> bool {
        self.count(now, ERROR)
    }

    /// A request failed. Says whether the server is left out from now on.
    pub fn record_failure(&mut self, now: Time) -> bool {
        self.count(now, 1.0)
    }

    /// The server doesn't answer at all: it is left out at once. Says whether that is news.
    pub fn mark_unresponsive(&mut self, now: Time) -> bool {
        let was_in = self.is_in_rotation();
        self.leave_out(now);
        was_in
    }

    /// Whether it is time to probe the server.
    pub fn is_probe_due(&self, now: Time) -> bool {
        self.out_until.is_some_and(|it| it <= now) && !self.is_probed
    }

    /// Whether it is time to probe the server; from then on a probe is under way.
    pub fn begin_probe(&mut self, now: Time) -> bool {
        let due = self.is_probe_due(now);
        self.is_probed |= due;
        due
    }

    /// A probe came back. Says whether the server is back.
    pub fn finish_probe(&mut self, now: Time, is_well: bool) -> bool {
        self.is_probed = false;
        if !is_well {
            self.leave_out(now);
            return false;
        }
        if self.out_until.is_none_or(|it| now < it) {
            return false;
        }
        self.out_until = None;
        self.failures = self.failures.min(RETURNED);
        true
    }

    fn count(&mut self, now: Time, weight: f64) -> bool {
        self.failures += NEWEST * (weight - self.failures);
        if self.failures < THRESHOLD || !self.is_in_rotation() {
            return false;
        }
        self.leave_out(now);
        true
    }

    fn leave_out(&mut self, now: Time) {
        self.pause = (self.pause * 2).clamp(FIRST_PAUSE, LONGEST_PAUSE);
        self.out_until = Some(now + self.pause);
    }
}
