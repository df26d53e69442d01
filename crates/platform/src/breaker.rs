//! Circuit breaker that detects outages of the platform and probes for their end.

use std::time::Duration;

use rand::rngs::SmallRng;
use shallotlead_base::time::Time;

use crate::backoff::Backoff;

/// Consecutive failures that open the circuit.
const FAILURE_THRESHOLD: u32 = 3;
/// Probes per second of all instances together. At this rate, 420 instances each wait at most 5 s
/// between two probes.
const PROBES_PER_SECOND: f64 = 84.0;
/// Shortest delay between two probes, however few instances there are.
const MIN_PROBE_DELAY: Duration = Duration::from_millis(250);
/// Longest delay between two probes.
const MAX_PROBE_DELAY: Duration = Duration::from_secs(5);

/// A circuit breaker: opens after consecutive failures, lets one probe through at a time, and
/// closes on the first response.
#[derive(Clone, Debug)]
pub struct Breaker {
    state: State,
    failures: u32,
    backoff: Backoff,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Closed,
    Open { probe_at: Time },
    Probing,
}

impl Breaker {
    /// Creates a closed circuit breaker for one of `instances` that probe the platform.
    pub fn new(instances: u32) -> Self {
        Self { state: State::Closed, failures: 0, backoff: probe_backoff(instances) }
    }

    /// Adapts the probe rate to the number of instances. Has no effect while the circuit is open.
    pub fn set_instances(&mut self, instances: u32) {
        if !self.is_open() {
            self.backoff = probe_backoff(instances);
        }
    }

    /// Whether calls other than probes are blocked.
    pub fn is_open(&self) -> bool {
        self.state != State::Closed
    }

    /// When the next probe is due, or `None` if the circuit is closed or a probe is in flight.
    pub fn next_probe_at(&self) -> Option<Time> {
        match self.state {
            State::Open { probe_at } => Some(probe_at),
            State::Closed | State::Probing => None,
        }
    }

    /// Returns whether a probe is due; if so, the caller must send it.
    pub fn start_probe_if_due(&mut self, now: Time) -> bool {
        let is_due = self.next_probe_at().is_some_and(|it| it <= now);
        if is_due {
            self.state = State::Probing;
        }
        is_due
    }

    /// The time after which a blocked call may be retried.
    pub fn retry_after(&self, now: Time) -> Duration {
        match self.state {
            State::Closed => Duration::ZERO,
            State::Open { probe_at } => probe_at.since(now),
            State::Probing => MIN_PROBE_DELAY,
        }
    }

    /// Records a response of the platform. Returns whether it ended an outage.
    pub fn record_success(&mut self) -> bool {
        let ends_outage = self.is_open();
        self.state = State::Closed;
        self.failures = 0;
        self.backoff.reset();
        ends_outage
    }

    /// Records a call or probe that failed. The next probe waits for at least `min_delay`, as asked
    /// by the platform. Returns whether an outage began.
    pub fn record_failure(
        &mut self,
        is_probe: bool,
        min_delay: Duration,
        now: Time,
        rng: &mut SmallRng,
    ) -> bool {
        self.failures = self.failures.saturating_add(1);
        let begins_outage = self.state == State::Closed && FAILURE_THRESHOLD <= self.failures;
        if begins_outage || is_probe {
            let delay = self.backoff.next_delay(rng).max(min_delay);
            self.state = State::Open { probe_at: now + delay };
        }
        begins_outage
    }
}

/// A backoff whose longest delay is the one at which all instances together send
/// [`PROBES_PER_SECOND`].
fn probe_backoff(instances: u32) -> Backoff {
    let longest = Duration::from_secs_f64(f64::from(instances.max(1)) / PROBES_PER_SECOND);
    let longest = longest.clamp(MIN_PROBE_DELAY * 2, MAX_PROBE_DELAY);
    Backoff::new((longest / 5).max(MIN_PROBE_DELAY), longest)
}
