//! Circuit breakers of backend servers.

use std::time::Duration;

use shallotlead_base::time::Time;

/// Largest part of a model's servers whose circuits may be open at once.
pub const MAX_OPEN: f64 = 1.0 / 3.0;
/// Failures in a row that open a circuit.
const STREAK: u32 = 5;
/// Part of the recent attempts that must fail to open a circuit.
const FAILED_PART: f64 = 0.5;
/// Recent attempts from which on their failed part counts.
const SAMPLES: f64 = 8.0;
/// Time over which recent attempts are weighed.
const SPAN: Duration = Duration::from_secs(10);
/// How long a circuit stays open at first; doubles with each failed probe.
const OPEN: Duration = Duration::from_secs(2);
/// How long a circuit stays open at most.
const MAX_OPEN_TIME: Duration = Duration::from_secs(30);
/// Probes that must succeed to close a circuit.
const PROBES: u32 = 2;
/// Times its expected time to first token from which on a server counts as slow, when its peers
/// are not.
const SLOW: f64 = 4.0;
/// Times the expected from which on all servers count as slow together: then none is an outlier.
const PEERS_SLOW: f64 = 2.0;
/// Weight of a new latency sample.
const LATENCY_GAIN: f64 = 0.1;
/// Latency samples from which on a server may count as slow.
const LATENCY_SAMPLES: u32 = 10;
/// Least expected time that a measured one is held against: a few milliseconds expected and some
/// hundred measured say nothing of a server.
const LATENCY_FLOOR: Duration = Duration::from_millis(250);

/// How an attempt went, as far as the server is to blame for it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Sample {
    /// It answered.
    Good,
    /// It broke, couldn't be reached, or refused.
    Bad,
}

/// The circuit's state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum State {
    /// Work flows.
    Closed,
    /// Nothing is sent until then.
    Open(Time),
    /// One probe at a time; this many have succeeded.
    HalfOpen {
        /// Probes that succeeded.
        good: u32,
        /// A probe is under way.
        probing: bool,
    },
}

/// One server's circuit.
#[derive(Clone, Debug)]
pub(crate) struct Breaker {
    state: State,
    streak: u32,
    good: f64,
    bad: f64,
    at: Time,
    slowness: f64,
    slow_samples: u32,
    backoff: Duration,
}

impl Default for Breaker {
    fn default() -> Self {
        Self {
            state: State::Closed,
            streak: 0,
            good: 0.0,
            bad: 0.0,
            at: Time::ZERO,
            slowness: 1.0,
            slow_samples: 0,
            backoff: OPEN,
        }
    }
}

impl Breaker {
    /// The state at `now`: an open circuit whose time is up is half open.
    pub(crate) fn state(&self, now: Time) -> State {
        match self.state {
            State::Open(until) if until <= now => State::HalfOpen { good: 0, probing: false },
            state => state,
        }
    }

    /// Whether work flows freely.
    pub(crate) fn closed(&self) -> bool {
        self.state == State::Closed
    }

    /// Whether an attempt may be sent; `probe` if it is fit to be a probe.
    pub(crate) fn allows(&self, now: Time, probe: bool) -> bool {
        match self.state(now) {
            State::Closed => true,
            State::Open(_) => false,
            State::HalfOpen { probing, .. } => probe && !probing,
        }
    }

    /// An attempt was sent.
    pub(crate) fn sent(&mut self, now: Time) {
        if let State::HalfOpen { good, .. } = self.state(now) {
            self.state = State::HalfOpen { good, probing: true };
        }
    }

    /// An attempt ended without telling anything of the server.
    pub(crate) fn void(&mut self) {
        if let State::HalfOpen { good, .. } = self.state {
            self.state = State::HalfOpen { good, probing: false };
        }
    }

    /// A first token that was expected after `expected` came after `measured`.
    pub(crate) fn latency(&mut self, expected: Duration, measured: Duration) {
        let ratio = measured.as_secs_f64() / expected.max(LATENCY_FLOOR).as_secs_f64();
        // A bounded sample: one very slow answer must not open a circuit.
        self.slowness += LATENCY_GAIN * (ratio.min(2.0 * SLOW) - self.slowness);
        self.slow_samples = self.slow_samples.saturating_add(1);
    }

    /// Times its expected time to first token that it takes, averaged.
    pub(crate) fn slowness(&self) -> f64 {
        self.slowness
    }

    /// Takes a sample. True when the circuit should open, which [`Breaker::open`] does if the
    /// server's peers can carry on without it.
    pub(crate) fn sample(&mut self, now: Time, sample: Sample) -> bool {
        self.fade(now);
        match sample {
            Sample::Good => {
                self.good += 1.0;
                self.streak = 0;
            }
            Sample::Bad => {
                self.bad += 1.0;
                self.streak = self.streak.saturating_add(1);
            }
        }
        match (self.state, sample) {
            (State::HalfOpen { good, .. }, Sample::Good) if PROBES <= good + 1 => {
                *self = Self::default();
                false
            }
            (State::HalfOpen { good, .. }, Sample::Good) => {
                self.state = State::HalfOpen { good: good + 1, probing: false };
                false
            }
            (State::HalfOpen { .. }, Sample::Bad) => true,
            (State::Open(_), _) => false,
            (State::Closed, _) => self.failing(),
        }
    }

    /// Whether the server is slow while its peers, whose typical slowness is `peers`, are not.
    pub(crate) fn outlier(&self, peers: f64) -> bool {
        self.state == State::Closed
            && LATENCY_SAMPLES <= self.slow_samples
            && peers < PEERS_SLOW
            && SLOW * peers.max(1.0) < self.slowness
    }

    /// Opens the circuit.
    pub(crate) fn open(&mut self, now: Time) {
        self.state = State::Open(now + self.backoff);
        self.backoff = (self.backoff * 2).min(MAX_OPEN_TIME);
        self.slow_samples = 0;
        self.slowness = 1.0;
        self.streak = 0;
    }

    fn failing(&self) -> bool {
        let all = self.good + self.bad;
        STREAK <= self.streak || (SAMPLES <= all && FAILED_PART * all <= self.bad)
    }

    fn fade(&mut self, now: Time) {
        let part = (-now.since(self.at).as_secs_f64() / SPAN.as_secs_f64()).exp();
        self.good *= part;
        self.bad *= part;
        self.at = now;
    }
}

/// Circuits that may be open at once among `servers` servers of a model: [`MAX_OPEN`] of them, or one
/// of two.
pub(crate) fn most_open(servers: usize) -> usize {
    let part = (servers as f64 * MAX_OPEN) as usize;
    if servers < 2 { 0 } else { part.max(1) }
}
