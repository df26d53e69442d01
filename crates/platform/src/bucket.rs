//! A token bucket.

use std::time::Duration;

use shallotlead_base::time::Time;

/// A token bucket in virtual time. It holds up to [`BURST`] worth of tokens, and at least one.
#[derive(Clone, Debug)]
pub struct Bucket {
    rate: f64,
    tokens: f64,
    refilled_at: Time,
}

/// How long an idle bucket saves up. A fleet whose buckets are all full can then make at most four
/// thirds of its rate in one second, which the defaults leave room for.
const BURST_WINDOW: Duration = Duration::from_millis(333);
/// Guards against a wait that rounds to just before the token is whole: the caller would wake for
/// nothing and wait again for zero time.
const TOLERANCE: f64 = 1e-9;

impl Bucket {
    /// A bucket that gains `rate` tokens a second and holds `tokens` at `now`.
    pub fn new(rate: f64, tokens: f64, now: Time) -> Self {
        Self { rate, tokens, refilled_at: now }
    }

    /// Takes one token if there is one.
    pub fn try_take(&mut self, now: Time) -> bool {
        self.refill(now);
        if self.tokens + TOLERANCE < 1.0 {
            return false;
        }
        self.tokens = (self.tokens - 1.0).max(0.0);
        true
    }

    /// How long until there is a token.
    pub fn time_to_token(&mut self, now: Time) -> Duration {
        self.refill(now);
        let missing = 1.0 - self.tokens;
        if missing <= TOLERANCE {
            return Duration::ZERO;
        }
        Duration::from_micros((missing / self.rate * 1e6).ceil() as u64)
    }

    /// Changes the rate; what the bucket holds beyond the new capacity is lost.
    pub fn set_rate(&mut self, rate: f64, now: Time) {
        self.refill(now);
        self.rate = rate;
        self.tokens = self.tokens.min(self.capacity());
    }

    /// Leaves `tokens` in the bucket.
    pub fn set_tokens(&mut self, tokens: f64, now: Time) {
        self.tokens = tokens;
        self.refilled_at = now;
    }

    fn refill(&mut self, now: Time) {
        let gained = now.since(self.refilled_at).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + gained).min(self.capacity());
        self.refilled_at = self.refilled_at.max(now);
    }

    fn capacity(&self) -> f64 {
        (self.rate * BURST_WINDOW.as_secs_f64()).max(1.0)
    }
}
