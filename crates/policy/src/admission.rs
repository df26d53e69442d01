//! Admission: how fast a model's queue drains, and how far expectations can be trusted.

use std::time::Duration;

use shallotlead_base::time::Time;

/// Time over which the drain rate is averaged.
const RATE_SPAN: Duration = Duration::from_secs(2);
/// Work served before the drain rate is trusted, in requests.
const RATE_SAMPLES: u32 = 8;
/// Measured part of the average from which on the drain rate is trusted.
const RATE_MASS: f64 = 0.1;
/// Weight of a new sample in the trust factor.
const TRUST_GAIN: f64 = 0.1;
/// Time after which a trust factor that gets no samples has gone most of its way back to one.
const TRUST_SPAN: Duration = Duration::from_secs(10);
/// Bounds of the trust factor.
const TRUST_MIN: f64 = 0.5;
const TRUST_MAX: f64 = 3.0;

/// Rate at which work leaves a queue, measured only while work waits: an idle queue says nothing of
/// what the servers could do.
#[derive(Clone, Debug, Default)]
pub(crate) struct Meter {
    /// Averaged rate, still to be divided by `mass`.
    sum: f64,
    /// How much of the average is measured yet, 0 to 1.
    mass: f64,
    samples: u32,
    busy_since: Option<Time>,
    served: f64,
}

impl Meter {
    /// `work` tokens left the queue at `now`.
    pub(crate) fn served(&mut self, work: f64) {
        if self.busy_since.is_some() {
            self.served += work;
            self.samples = self.samples.saturating_add(1);
        }
    }

    /// Notes whether work waits at `now`, and folds in what was measured.
    pub(crate) fn observe(&mut self, now: Time, busy: bool) {
        if let Some(since) = self.busy_since {
            let span = now.since(since);
            if RATE_SPAN / 8 <= span || !busy {
                self.fold(span);
                self.busy_since = Some(now);
            }
        }
        match (self.busy_since, busy) {
            (None, true) => self.busy_since = Some(now),
            (Some(_), false) => self.busy_since = None,
            _ => {}
        }
    }

    /// Tokens of work a second, when enough was seen.
    pub(crate) fn rate(&self) -> Option<f64> {
        let known = RATE_SAMPLES <= self.samples && RATE_MASS <= self.mass && 0.0 < self.sum;
        known.then(|| self.sum / self.mass)
    }

    fn fold(&mut self, span: Duration) {
        let secs = span.as_secs_f64();
        if secs <= 0.0 {
            return;
        }
        let gain = 1.0 - (-secs / RATE_SPAN.as_secs_f64()).exp();
        self.sum += gain * (self.served / secs - self.sum);
        self.mass += gain * (1.0 - self.mass);
        self.served = 0.0;
    }
}

/// Ratio of the measured time to first token to the expected one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Trust {
    factor: f64,
    /// How far corrected expectations are off, in seconds, averaged.
    deviation: f64,
    at: Time,
}

impl Default for Trust {
    fn default() -> Self {
        Self { factor: 1.0, deviation: 0.0, at: Time::ZERO }
    }
}

impl Trust {
    /// An attempt whose first token was expected after `expected` got it after `measured`.
    pub(crate) fn learn(&mut self, now: Time, expected: Duration, measured: Duration) {
        let expected = expected.as_secs_f64().max(1e-3);
        let ratio = (measured.as_secs_f64() / expected).clamp(TRUST_MIN, TRUST_MAX);
        let factor = self.factor(now);
        let error = (measured.as_secs_f64() - expected * factor).abs();
        let deviation = self.deviation(now);
        *self = Self {
            factor: factor + TRUST_GAIN * (ratio - factor),
            deviation: deviation + TRUST_GAIN * (error - deviation),
            at: now,
        };
    }

    /// What to multiply an expectation by.
    ///
    /// Guards against refusing for ever: were the factor kept, a spell of slow answers could make
    /// every deadline look out of reach, nothing would be sent, and no sample could correct it. It
    /// shows as refusals on idle servers. Without samples the factor goes back to one.
    pub(crate) fn factor(&self, now: Time) -> f64 {
        1.0 + (self.factor - 1.0) * self.fade(now)
    }

    fn deviation(&self, now: Time) -> f64 {
        self.deviation * self.fade(now)
    }

    fn fade(&self, now: Time) -> f64 {
        (-now.since(self.at).as_secs_f64() / TRUST_SPAN.as_secs_f64()).exp()
    }

    /// `expected` as experience corrects it.
    pub(crate) fn correct(&self, now: Time, expected: Duration) -> Duration {
        expected.mul_f64(self.factor(now))
    }

    /// What `expected` may well become: as for a retransmission timer, the mean and the mean
    /// deviation (Jacobson, "Congestion Avoidance and Control", 1988).
    pub(crate) fn cautious(&self, now: Time, expected: Duration) -> Duration {
        self.correct(now, expected) + Duration::from_secs_f64(self.deviation(now))
    }
}
