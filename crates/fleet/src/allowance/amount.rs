//! Amounts of a limit in millionths: integer arithmetic makes shares add up exactly.

use serde::{Deserialize, Serialize};
use shallotlead_base::time::Time;
use shallotlead_table::limit::Limits;

use crate::allowance::{Demand, Scope, Share};

/// Millionths in a whole.
const UNIT: u64 = 1_000_000;
/// Tolerance when an amount of concurrent requests is converted to a whole number. Shares are rounded
/// down, so that their sum may fall short of a whole number by as much as this. With fewer than 1,000
/// shares the whole numbers still can't sum up to more than the limit.
const ROUNDING_TOLERANCE: u64 = UNIT / 1000;

/// An amount of a limit in three dimensions, each in millionths.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Amount {
    /// Requests a second.
    pub requests: u64,
    /// Tokens a minute.
    pub tokens: u64,
    /// Concurrent requests.
    pub concurrency: u64,
}

impl Amount {
    /// The whole limit; zero in dimensions without one.
    pub(crate) fn from_limits(limits: &Limits) -> Self {
        Self {
            requests: limits.requests_per_second.map_or(0, units),
            tokens: limits.tokens_per_minute.map_or(0, units),
            concurrency: limits.concurrency.map_or(0, |it| u64::from(it) * UNIT),
        }
    }

    /// The amount for `demand`, with 25% headroom for growth until the next update.
    pub(crate) fn from_demand(demand: &Demand) -> Self {
        let headroom = |it: u32| u64::from(it) + u64::from(it / 4);
        Self {
            requests: units(demand.requests_per_second * 1.25),
            tokens: units(demand.tokens_per_minute * 1.25),
            concurrency: headroom(demand.concurrency) * UNIT,
        }
    }

    /// The share that the daemon may use until `until`; dimensions without a limit stay `None`.
    pub(crate) fn share(self, scope: Scope, limits: &Limits, until: Time) -> Share {
        let rate = |it: u64| it as f64 / UNIT as f64;
        let whole =
            u32::try_from((self.concurrency + ROUNDING_TOLERANCE) / UNIT).unwrap_or(u32::MAX);
        Share {
            scope,
            requests_per_second: limits.requests_per_second.map(|_| rate(self.requests)),
            tokens_per_minute: limits.tokens_per_minute.map(|_| rate(self.tokens)),
            concurrency: limits.concurrency.map(|_| whole),
            until,
        }
    }

    pub(crate) fn is_zero(self) -> bool {
        self == Self::default()
    }

    pub(crate) fn plus(self, other: Self) -> Self {
        self.combine(other, u64::saturating_add)
    }

    pub(crate) fn minus(self, other: Self) -> Self {
        self.combine(other, u64::saturating_sub)
    }

    pub(crate) fn min(self, other: Self) -> Self {
        self.combine(other, u64::min)
    }

    pub(crate) fn max(self, other: Self) -> Self {
        self.combine(other, u64::max)
    }

    pub(crate) fn divide(self, parts: u64) -> Self {
        self.combine(Self::default(), |it, _| it / parts.max(1))
    }

    pub(crate) fn scale(self, part: f64) -> Self {
        self.combine(Self::default(), |it, _| (it as f64 * part) as u64)
    }

    /// How many times `share` is needed to cover this amount, in the dimension that needs most.
    pub(crate) fn count_shares(self, share: Self) -> usize {
        let shares = |amount: u64, share: u64| match share {
            0 => 0,
            _ => amount.div_ceil(share),
        };
        let most = shares(self.requests, share.requests)
            .max(shares(self.tokens, share.tokens))
            .max(shares(self.concurrency, share.concurrency));
        usize::try_from(most).unwrap_or(usize::MAX)
    }

    /// Combines both amounts with `f`, dimension by dimension.
    pub(crate) fn combine(self, other: Self, f: impl Fn(u64, u64) -> u64) -> Self {
        Self {
            requests: f(self.requests, other.requests),
            tokens: f(self.tokens, other.tokens),
            concurrency: f(self.concurrency, other.concurrency),
        }
    }
}

fn units(value: f64) -> u64 {
    // The conversion saturates and turns NaN into zero.
    (value * UNIT as f64) as u64
}
