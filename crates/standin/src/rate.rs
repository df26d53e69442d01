//! Call rates.

use std::time::{Duration, Instant};

/// Token bucket that refills at a rate and holds one second's worth.
#[derive(Debug)]
pub(crate) struct Bucket {
    per_second: f64,
    tokens: f64,
    filled: Instant,
}

impl Bucket {
    /// A full bucket.
    pub(crate) fn new(per_second: f64) -> Self {
        Self { per_second, tokens: per_second, filled: Instant::now() }
    }

    /// Takes one token while `held` of the rate is spent on calls that wait.
    ///
    /// # Errors
    /// How long to wait for the next token.
    pub(crate) fn take(&mut self, held: f64) -> Result<(), Duration> {
        let rate = (self.per_second - held).max(MIN_RATE);
        let now = Instant::now();
        let passed = now.duration_since(self.filled).as_secs_f64();
        self.filled = now;
        self.tokens = (self.tokens + passed * rate).min(self.per_second);
        if self.tokens < 1.0 {
            return Err(Duration::from_secs_f64((1.0 - self.tokens) / rate));
        }
        self.tokens -= 1.0;
        Ok(())
    }
}

/// Rate that is left when waiting calls hold all of it, a second.
const MIN_RATE: f64 = 0.1;
