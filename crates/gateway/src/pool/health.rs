//! Whether a backend server works, from its responses and from probes.

use std::time::Duration;

use shallotlead_base::time::Time;

/// Weight of the newest outcome in the failure rate.
const NEWEST_WEIGHT: f64 = 0.25;
/// Failure rate from which on a server is ejected: two failures in a row after many successes.
const EJECT_THRESHOLD: f64 = 0.43;
/// Weight of an error response compared with no response. Some requests end in errors at every
/// server, so that a few errors prove nothing.
const ERROR_WEIGHT: f64 = 0.4;
/// Failure rate at which a server is reinstated: one more failure ejects it again.
const REINSTATED_FAILURES: f64 = 0.3;
/// Failure rate below which a server counts as healthy, so that its next pause is the shortest
/// again.
const HEALTHY_THRESHOLD: f64 = 0.1;
/// How long a server is ejected for at first, and at most.
const MIN_PAUSE: Duration = Duration::from_millis(300);
const MAX_PAUSE: Duration = Duration::from_secs(3);

/// A circuit breaker for one server.
///
/// Guards against a server that fails while its entry says that it is ready: each request sent to
/// it is lost or late. It shows as one server's share of all failures. A high failure rate ejects it
/// for a pause that doubles, and a probe, not a caller's request, tests whether it works again.
#[derive(Clone, Debug, Default)]
pub struct Health {
    failure_rate: f64,
    ejected_until: Option<Time>,
    /// When it was ejected, if it is.
    ejected_since: Option<Time>,
    /// When it was found not to respond at all, if nothing has come from it since.
    unresponsive_since: Option<Time>,
    pause: Duration,
    is_probing: bool,
}

impl Health {
    /// Whether requests may be sent to the server.
    pub fn is_in_rotation(&self) -> bool {
        self.ejected_until.is_none()
    }

    /// For how long the server has been ejected; zero if it is in rotation.
    pub fn ejected_for(&self, now: Time) -> Duration {
        self.ejected_since.map_or(Duration::ZERO, |it| now.since(it))
    }

    /// For how long the server has not responded at all, if it doesn't.
    pub fn unresponsive_for(&self, now: Time) -> Option<Duration> {
        self.unresponsive_since.map(|it| now.since(it))
    }

    /// Records that something has come from the server: one that didn't respond is probed at once.
    pub fn record_sign_of_life(&mut self, now: Time) {
        if self.unresponsive_since.take().is_some() {
            self.end_pause(now);
        }
    }

    /// Records a proper response.
    pub fn record_success(&mut self) {
        self.failure_rate *= 1.0 - NEWEST_WEIGHT;
        if self.failure_rate < HEALTHY_THRESHOLD {
            self.pause = Duration::ZERO;
        }
    }

    /// Records an error response. Returns whether this ejects the server.
    pub fn record_error(&mut self, now: Time) -> bool {
        self.record(now, ERROR_WEIGHT)
    }

    /// Records a failed request. Returns whether this ejects the server.
    pub fn record_failure(&mut self, now: Time) -> bool {
        self.record(now, 1.0)
    }

    /// Ejects a server that doesn't respond at all. Returns whether it was in rotation.
    pub fn mark_unresponsive(&mut self, now: Time) -> bool {
        let was_in_rotation = self.is_in_rotation();
        self.unresponsive_since.get_or_insert(now);
        self.eject(now);
        was_in_rotation
    }

    /// Whether the server should be probed now.
    pub fn is_probe_due(&self, now: Time) -> bool {
        self.ejected_until.is_some_and(|it| it <= now) && !self.is_probing
    }

    /// Ends the pause of an ejected server, so that it is probed next.
    pub fn end_pause(&mut self, now: Time) {
        if let Some(until) = &mut self.ejected_until {
            *until = now.min(*until);
        }
    }

    /// Whether the server should be probed now; if so, a probe counts as running.
    pub fn begin_probe(&mut self, now: Time) -> bool {
        let is_due = self.is_probe_due(now);
        self.is_probing |= is_due;
        is_due
    }

    /// Records the outcome of a probe. Returns whether this reinstates the server.
    pub fn finish_probe(&mut self, now: Time, is_healthy: bool) -> bool {
        self.is_probing = false;
        if !is_healthy {
            self.eject(now);
            return false;
        }
        if self.ejected_until.is_none_or(|it| now < it) {
            return false;
        }
        self.ejected_until = None;
        self.ejected_since = None;
        self.unresponsive_since = None;
        self.failure_rate = self.failure_rate.min(REINSTATED_FAILURES);
        true
    }

    fn record(&mut self, now: Time, weight: f64) -> bool {
        self.failure_rate += NEWEST_WEIGHT * (weight - self.failure_rate);
        if self.failure_rate < EJECT_THRESHOLD || !self.is_in_rotation() {
            return false;
        }
        self.eject(now);
        true
    }

    fn eject(&mut self, now: Time) {
        self.pause = (self.pause * 2).clamp(MIN_PAUSE, MAX_PAUSE);
        self.ejected_until = Some(now + self.pause);
        self.ejected_since.get_or_insert(now);
    }
}
