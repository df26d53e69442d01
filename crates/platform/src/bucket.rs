//! A token bucket rate limiter.

use std::time::Duration;

use shallotlead_base::time::Time;

/// A token bucket that takes the time as an argument. Its capacity is what it gains in
/// [`BURST_WINDOW`], but at least one token.
#[derive(Clone, Debug)]
pub struct Bucket {
    rate: f64,
    tokens: f64,
    refilled_at: Time,
}

/// Time in which an empty bucket fills up. A fleet whose buckets are all full can make at most four
/// thirds of its rate of calls in one second, for which the default rates leave room.
const BURST_WINDOW: Duration = Duration::from_millis(333);
/// Part of a token that may be missing when one is taken. Without it, a rounding error could leave
/// the bucket just below one token after the wait: the caller would wake for nothing and be told to
/// wait for zero time.
const TOLERANCE: f64 = 1e-9;

impl Bucket {
    /// Creates a bucket that gains `rate` tokens per second and holds `tokens` at `now`.
    pub fn new(rate: f64, tokens: f64, now: Time) -> Self {
        Self { rate, tokens, refilled_at: now }
    }

    /// Takes one token and returns true, or returns false if the bucket holds less than one.
    pub fn try_take(&mut self, now: Time) -> bool {
        self.refill(now);
        if self.tokens + TOLERANCE < 1.0 {
            return false;
        }
        self.tokens = (self.tokens - 1.0).max(0.0);
        true
    }

    /// Returns the time until a token is available; zero if there is one now.
    pub fn time_to_token(&mut self, now: Time) -> Duration {
        self.refill(now);
        let missing = 1.0 - self.tokens;
        if missing <= TOLERANCE {
            return Duration::ZERO;
        }
        Duration::from_micros((missing / self.rate * 1e6).ceil() as u64)
    }

    /// Changes the rate in tokens per second. Tokens beyond the new capacity are discarded.
    pub fn set_rate(&mut self, rate: f64, now: Time) {
        self.refill(now);
        self.rate = rate;
        self.tokens = self.tokens.min(self.capacity());
    }

    /// Replaces the bucket's content by `tokens`.
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
