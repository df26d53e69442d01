//! How fast a pool's servers compute prompts, learned from answers.

use std::time::Duration;

/// Weight of one answer in the moving sums.
const GAIN: f64 = 0.02;
/// Tokens ahead at which an answer counts half: the longer the queue, the less it tells.
const DOUBT: f64 = 500.0;
const FIRST_MICROS: f64 = 120.0;
const FIRST_BASE: f64 = 15_000.0;

/// Time to first token as a line over the tokens to compute, fitted by weighted least squares over
/// recent answers.
#[derive(Clone, Debug)]
pub(crate) struct Speed {
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl Default for Speed {
    fn default() -> Self {
        let mut it = Self { weight: 0.0, x: 0.0, y: 0.0, xx: 0.0, xy: 0.0 };
        for tokens in [100.0, 1_000.0, 4_000.0] {
            it.add(tokens, FIRST_BASE + FIRST_MICROS * tokens, 0.2);
        }
        it
    }
}

impl Speed {
    /// An answer's first token came `elapsed` after sending; `ahead` tokens were thought to wait
    /// before it and `uncached` of its own were computed.
    pub(crate) fn observe(&mut self, elapsed: Duration, ahead: f64, uncached: f64) {
        let weight = GAIN / (1.0 + ahead / DOUBT);
        for it in [&mut self.weight, &mut self.x, &mut self.y, &mut self.xx, &mut self.xy] {
            *it *= 1.0 - weight;
        }
        self.add(ahead + uncached, elapsed.as_micros() as f64, weight);
    }

    fn add(&mut self, x: f64, y: f64, weight: f64) {
        self.weight += weight;
        self.x += weight * x;
        self.y += weight * y;
        self.xx += weight * x * x;
        self.xy += weight * x * y;
    }

    /// Microseconds that one more token takes.
    pub(crate) fn token(&self) -> f64 {
        let variance = self.weight * self.xx - self.x * self.x;
        let slope = (self.weight * self.xy - self.x * self.y) / variance.max(1.0);
        slope.clamp(1.0, 10_000.0)
    }

    /// Microseconds of an answer without any token to compute.
    pub(crate) fn base(&self) -> f64 {
        ((self.y - self.token() * self.x) / self.weight).clamp(0.0, 1e6)
    }

    /// Tokens computed a second.
    pub(crate) fn per_second(&self) -> f64 {
        1e6 / self.token()
    }
}
