//! The token bucket that the owner of a server's limit, or of an organisation's quota, holds.

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
/// Bounds of the rate of a quota's share, so that waits and sums stay finite.
const MIN_QUOTA_RATE: f64 = 1e-3;
const MAX_QUOTA_RATE: f64 = 1e12;
/// Tokens for rejections, as fractions of those that a server bears in a second: what may be unsettled at a time, and
/// what accrues in a second. Requests reach a server up to 0.6 s after their tokens were taken, so that those of 1.6 s
/// may be rejected within one.
const REJECTION_BURST: f64 = 0.5;
const REJECTION_RATE: f64 = 0.3;
/// The same as [`DEBT_S`] for rejections.
const REJECTION_DEBT_S: f64 = 1.0;
/// Time after which the token of a request that is taken is expected back.
const SETTLING_S: f64 = 0.04;
/// Fraction of the tokens that one reply hands out besides the first, so that high rates need few
/// permit requests.
const BATCH_FRACTION: f64 = 0.125;
/// Largest number of permits that one reply hands out.
const MAX_BATCH: f64 = 64.0;
/// Bounds of the time over which denied instances are spread: rates change.
const MIN_WAIT: Duration = Duration::from_millis(1);
const MAX_WAIT: Duration = Duration::from_secs(2);
const MAX_SETTLING_WAIT: Duration = Duration::from_millis(250);

/// How a bucket fills.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Flow {
    /// Tokens a second.
    rate: f64,
    /// Most unused tokens.
    capacity: f64,
    /// Debt of a new bucket, and the largest of any.
    debt: f64,
    /// Longest time for which a denial holds.
    max_wait: Duration,
    /// Whether the token of a request comes back once its server has taken it.
    is_settled: bool,
}

impl Flow {
    /// For a server that accepts this many requests a second.
    pub(super) fn of_requests(per_second: f64) -> Self {
        let rate = per_second.clamp(MIN_RATE, MAX_RATE);
        Self {
            rate,
            capacity: 1.0 + BURST_S * rate,
            debt: DEBT_S * rate,
            max_wait: MAX_WAIT,
            is_settled: false,
        }
    }

    /// For a quota of this many units a second and at once. Debts are forgiven after `window`.
    pub(crate) fn of_quota(per_second: f64, burst: f64, window: Duration) -> Self {
        let rate = per_second.clamp(MIN_QUOTA_RATE, MAX_QUOTA_RATE);
        let debt = rate * window.as_secs_f64();
        Self { rate, capacity: burst, debt, max_wait: window, is_settled: false }
    }

    /// For a server that bears this many rejections a second.
    pub(super) fn of_rejections(per_second: f64) -> Self {
        let rate = (REJECTION_RATE * per_second).clamp(MIN_RATE, MAX_RATE);
        let capacity = (REJECTION_BURST * per_second).clamp(1.0, MAX_RATE);
        let debt = REJECTION_DEBT_S * rate;
        Self { rate, capacity, debt, max_wait: MAX_SETTLING_WAIT, is_settled: true }
    }
}

/// The tokens for one server, and when a denied instance may ask again.
#[derive(Clone, Debug)]
pub(crate) struct Bucket {
    tokens: f64,
    /// Tokens that may come back.
    ///
    /// They and the unused ones never exceed the capacity, so that tokens that accrue and those that come back don't
    /// add up to a burst.
    unsettled: f64,
    /// When the tokens were last refilled, and how the bucket filled at that time.
    refilled_at: Time,
    flow: Flow,
    /// When the instance that was denied last may ask again.
    next_grant_at: Time,
}

impl Bucket {
    /// A bucket in debt.
    pub(super) fn new(now: Time, flow: Flow) -> Self {
        Self { tokens: -flow.debt, unsettled: 0.0, refilled_at: now, flow, next_grant_at: now }
    }

    pub(super) fn full(now: Time, flow: Flow) -> Self {
        Self { tokens: flow.capacity, ..Self::new(now, flow) }
    }

    pub(crate) fn empty(now: Time, flow: Flow) -> Self {
        Self { tokens: 0.0, ..Self::new(now, flow) }
    }

    /// Unused tokens; negative if it is in debt.
    pub(crate) fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Adds the tokens that have accrued since the last call. When the rate changed in between
    /// isn't known, so that the lower one counts.
    pub(crate) fn refill(&mut self, now: Time, flow: Flow) {
        let elapsed_s = now.since(self.refilled_at).as_secs_f64();
        let added = flow.rate.min(std::mem::replace(&mut self.flow, flow).rate) * elapsed_s;
        self.tokens = (self.tokens + added).clamp(-flow.debt, flow.capacity);
        self.unsettled = (self.unsettled - added).clamp(0.0, flow.capacity - self.tokens);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Whether a token is left.
    pub(super) fn has_token(&self) -> bool {
        1.0 <= self.tokens
    }

    /// How many tokens another instance gets at a time.
    pub(super) fn batch(&self) -> f64 {
        1.0 + (BATCH_FRACTION * (self.tokens - 1.0)).floor().clamp(0.0, MAX_BATCH - 1.0)
    }

    pub(crate) fn take(&mut self, tokens: f64) {
        self.tokens -= tokens;
        if self.flow.is_settled {
            self.unsettled += tokens;
        }
    }

    /// Puts back the tokens of requests that the server has taken.
    pub(super) fn settle(&mut self, tokens: f64) {
        let back = tokens.min(self.unsettled);
        self.unsettled -= back;
        self.tokens += back;
    }

    /// Takes back tokens that were put back by mistake.
    pub(super) fn charge(&mut self, tokens: f64) {
        self.tokens = (self.tokens - tokens).max(-self.flow.debt);
    }

    /// How long an instance that was denied one token waits before it asks again.
    pub(super) fn token_wait(&mut self, now: Time) -> Duration {
        self.denial_wait(now, 1.0 - self.tokens, 1.0)
    }

    /// How long an instance that was denied `tokens`, of which some are `missing`, waits before it asks again:
    /// instances are spread over the tokens to come, so that they don't all ask for each of them.
    pub(crate) fn denial_wait(&mut self, now: Time, missing: f64, tokens: f64) -> Duration {
        // Tokens that come back do so at any time.
        let rate = match self.flow.is_settled && 1.0 <= self.unsettled {
            true => self.flow.capacity / SETTLING_S,
            false => self.flow.rate,
        };
        let max_wait = self.flow.max_wait;
        let time =
            |tokens: f64| Duration::try_from_secs_f64(tokens.max(0.0) / rate).unwrap_or(max_wait);
        let next = now + time(missing).min(max_wait);
        let after_previous = self.next_grant_at + time(tokens).min(max_wait);
        let latest = now + max_wait.min(MAX_WAIT);
        self.next_grant_at = next.max(after_previous.min(latest));
        self.next_grant_at.since(now).max(MIN_WAIT)
    }
}
