//! Notices outages and probes for their end.

use std::time::Duration;

use rand::rngs::SmallRng;
use shallotlead_base::time::Time;

use crate::backoff::Backoff;

/// Failures in a row that open the circuit.
const FAILURE_THRESHOLD: u32 = 3;
/// Probes a second that all instances send together. 420 instances then pause for 5 s at most.
const PROBES_PER_SECOND: f64 = 84.0;
/// Shortest pause between two probes, when few instances share the platform.
const MIN_PROBE_DELAY: Duration = Duration::from_millis(250);
/// Longest pause between two probes.
const MAX_PROBE_DELAY: Duration = Duration::from_secs(5);

/// A circuit breaker: opens after failures in a row, lets one probe through at a time, and closes on
/// the first answer.
#[derive(Clone, Debug)]
pub struct Breaker {
    state: State,
    failures: u32,
    pause: Backoff,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Closed,
    Open { probe_at: Time },
    Probing,
}

impl Breaker {
    /// A closed circuit of one among `instances`, which probe the platform together.
    pub fn new(instances: u32) -> Self {
        Self { state: State::Closed, failures: 0, pause: pause(instances) }
    }

    /// Follows a change of the fleet's size. A pause that has begun isn't changed.
    pub fn set_instances(&mut self, instances: u32) {
        if !self.is_open() {
            self.pause = pause(instances);
        }
    }

    /// Whether calls are held back.
    pub fn is_open(&self) -> bool {
        self.state != State::Closed
    }

    /// When the next probe is due.
    pub fn next_probe_at(&self) -> Option<Time> {
        match self.state {
            State::Open { probe_at } => Some(probe_at),
            State::Closed | State::Probing => None,
        }
    }

    /// Starts a probe if one is due.
    pub fn start_probe_if_due(&mut self, now: Time) -> bool {
        let due = self.next_probe_at().is_some_and(|it| it <= now);
        if due {
            self.state = State::Probing;
        }
        due
    }

    /// How long until asking again can help.
    pub fn retry_after(&self, now: Time) -> Duration {
        match self.state {
            State::Closed => Duration::ZERO,
            State::Open { probe_at } => probe_at.since(now),
            State::Probing => MIN_PROBE_DELAY,
        }
    }

    /// The platform answered. Says whether this ended an outage.
    pub fn record_success(&mut self) -> bool {
        let ended = self.is_open();
        self.state = State::Closed;
        self.failures = 0;
        self.pause.reset();
        ended
    }

    /// A call or probe got no answer; `asked` is the least pause that the platform asked for. Says
    /// whether this began an outage.
    pub fn record_failure(
        &mut self,
        is_probe: bool,
        asked: Duration,
        now: Time,
        rng: &mut SmallRng,
    ) -> bool {
        self.failures = self.failures.saturating_add(1);
        let begins = self.state == State::Closed && FAILURE_THRESHOLD <= self.failures;
        if begins || is_probe {
            let pause = self.pause.next_delay(rng).max(asked);
            self.state = State::Open { probe_at: now + pause };
        }
        begins
    }
}

/// Pauses that double up to the one at which all instances together send [`PROBES`] a second.
fn pause(instances: u32) -> Backoff {
    let longest = Duration::from_secs_f64(f64::from(instances.max(1)) / PROBES_PER_SECOND);
    let longest = longest.clamp(MIN_PROBE_DELAY * 2, MAX_PROBE_DELAY);
    Backoff::new((longest / 5).max(MIN_PROBE_DELAY), longest)
}
