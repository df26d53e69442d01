//! The token bucket that a limit's home holds.

use std::time::Duration;

use shallotlead_base::time::Time;

/// How much of a limit a bucket is in debt when it opens, in seconds of its rate.
///
/// Guards against what a home can't know of: requests that were sent before the limit was heard of, and permits of
/// another home that has just ended or isn't known to have. It shows as more requests than a server takes, right
/// after it names a limit or an instance joins or ends. It holds since what others hand out for so long is made up
/// for before the first permit, and views of who is home agree sooner.
const DEBT_S: f64 = 2.0;
/// Tokens that are kept for later, in seconds of the rate, besides one: unused for a moment, they aren't lost.
const KEPT_S: f64 = 0.25;
/// Least rate, requests a second. A server says only in answers that its limit has ended: one that takes none
/// would never be used again.
const LEAST_RATE: f64 = 0.2;
/// Largest rate that is counted with, requests a second: no server takes as many, and sums stay finite.
const MOST_RATE: f64 = 1e6;
/// Part of the tokens that one answer hands out besides the first, so that high rates take few questions.
const BATCH: f64 = 0.125;
/// Permits that one answer hands out at most.
const MOST_PERMITS: f64 = 64.0;
/// Shortest and longest time for which an instance is told not to ask again: rates change.
const SHORTEST_WAIT: Duration = Duration::from_millis(1);
const LONGEST_WAIT: Duration = Duration::from_secs(2);

/// Tokens at one server, and who may come back when.
#[derive(Clone, Debug)]
pub(super) struct Bucket {
    tokens: f64,
    /// When the tokens were counted, and the rate that held then.
    at: Time,
    rate: f64,
    /// When the instance that was denied last may ask again.
    promised: Time,
}

impl Bucket {
    pub(super) fn open(now: Time, rate: f64) -> Self {
        let rate = counted(rate);
        Self { tokens: -DEBT_S * rate, at: now, rate, promised: now }
    }

    /// Takes one token, or says how long none is to be had.
    pub(super) fn take(&mut self, now: Time, rate: f64) -> Result<(), Duration> {
        self.refill(now, rate);
        if self.tokens < 1.0 {
            return Err(self.deny(now, rate));
        }
        self.tokens -= 1.0;
        Ok(())
    }

    /// Takes as many tokens as one other instance gets at a time.
    pub(super) fn take_some(&mut self, now: Time, rate: f64) -> Result<u16, Duration> {
        self.take(now, rate)?;
        let more = (BATCH * self.tokens).floor().clamp(0.0, MOST_PERMITS - 1.0);
        self.tokens -= more;
        Ok(1 + more as u16)
    }

    /// Counts the tokens that have come since. When the rate changed in between isn't known: the lower one counts.
    fn refill(&mut self, now: Time, rate: f64) {
        let rate = counted(rate);
        let passed = now.since(self.at).as_secs_f64();
        let came = rate.min(std::mem::replace(&mut self.rate, rate)) * passed;
        self.tokens = (self.tokens + came).clamp(-DEBT_S * rate, 1.0 + KEPT_S * rate);
        self.at = self.at.max(now);
    }

    /// Spreads those that are denied over the tokens to come, so that they don't all ask for each of them.
    fn deny(&mut self, now: Time, rate: f64) -> Duration {
        let rate = counted(rate);
        let next = now + Duration::from_secs_f64((1.0 - self.tokens) / rate);
        let behind = self.promised + Duration::from_secs_f64(1.0 / rate);
        self.promised = next.max(behind).min(now + LONGEST_WAIT);
        self.promised.since(now).max(SHORTEST_WAIT)
    }
}

fn counted(rate: f64) -> f64 {
    rate.clamp(LEAST_RATE, MOST_RATE)
}
