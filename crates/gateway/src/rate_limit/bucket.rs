//! The token bucket that a limit's owner holds.

use std::time::Duration;

use shallotlead_base::time::Time;

/// Debt of a new bucket, and the largest debt of any, in seconds of its rate.
///
/// Guards against what an owner can't know: requests that were sent before the limit was known, and
/// permits of another owner that has just ended or isn't known to have ended. Without it a server
/// would get more requests than it accepts right after it advertises a limit or an instance joins
/// or ends. What others hand out during this time is made up for before the first permit, and views
/// of the ownership converge sooner.
const DEBT_S: f64 = 2.0;
/// Unused tokens that are kept for a burst, in seconds of the rate, besides one.
const BURST_S: f64 = 0.25;
/// Lowest rate, requests a second. A server reports only in responses that its limit has ended: one
/// that accepts none would never be used again.
const MIN_RATE: f64 = 0.2;
/// Highest rate, requests a second: no server accepts as many, and sums stay finite.
const MAX_RATE: f64 = 1e6;
/// Fraction of the tokens that one reply hands out besides the first, so that high rates need few
/// permit requests.
const BATCH_FRACTION: f64 = 0.125;
/// Largest number of permits that one reply hands out.
const MAX_BATCH: f64 = 64.0;
/// Bounds of the time after which a denied instance may ask again: rates change.
const MIN_WAIT: Duration = Duration::from_millis(1);
const MAX_WAIT: Duration = Duration::from_secs(2);

/// The tokens for one server, and when a denied instance may ask again.
#[derive(Clone, Debug)]
pub(super) struct Bucket {
    tokens: f64,
    /// When the tokens were last refilled, and the rate at that time.
    refilled_at: Time,
    rate: f64,
    /// When the instance that was denied last may ask again.
    next_grant_at: Time,
}

impl Bucket {
    pub(super) fn new(now: Time, rate: f64) -> Self {
        let rate = clamp_rate(rate);
        Self { tokens: -DEBT_S * rate, refilled_at: now, rate, next_grant_at: now }
    }

    /// Takes one token, or returns how long none will be available.
    pub(super) fn take(&mut self, now: Time, rate: f64) -> Result<(), Duration> {
        self.refill(now, rate);
        if self.tokens < 1.0 {
            return Err(self.denial_wait(now, rate));
        }
        self.tokens -= 1.0;
        Ok(())
    }

    /// Takes as many tokens as another instance gets at a time.
    pub(super) fn take_batch(&mut self, now: Time, rate: f64) -> Result<u16, Duration> {
        self.take(now, rate)?;
        let more = (BATCH_FRACTION * self.tokens).floor().clamp(0.0, MAX_BATCH - 1.0);
        self.tokens -= more;
        Ok(1 + more as u16)
    }

    /// Adds the tokens that have accrued since the last call. When the rate changed in between
    /// isn't known, so that the lower one counts.
    fn refill(&mut self, now: Time, rate: f64) {
        let rate = clamp_rate(rate);
        let elapsed_s = now.since(self.refilled_at).as_secs_f64();
        let added = rate.min(std::mem::replace(&mut self.rate, rate)) * elapsed_s;
        self.tokens = (self.tokens + added).clamp(-DEBT_S * rate, 1.0 + BURST_S * rate);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Spreads denied instances over the tokens to come, so that they don't all ask for each of
    /// them.
    fn denial_wait(&mut self, now: Time, rate: f64) -> Duration {
        let rate = clamp_rate(rate);
        let next = now + Duration::from_secs_f64((1.0 - self.tokens) / rate);
        let after_previous = self.next_grant_at + Duration::from_secs_f64(1.0 / rate);
        self.next_grant_at = next.max(after_previous).min(now + MAX_WAIT);
        self.next_grant_at.since(now).max(MIN_WAIT)
    }
}

fn clamp_rate(rate: f64) -> f64 {
    rate.clamp(MIN_RATE, MAX_RATE)
}
