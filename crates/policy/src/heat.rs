//! How often prefixes are asked for.

use std::time::Duration;

use shallotlead_base::{hash::Map, time::Time};

use crate::chain::Block;

/// Prefixes that are counted; the coldest goes first.
const BOUND: usize = 512;
/// Time over which a rate is averaged.
const SPAN: Duration = Duration::from_secs(30);

/// Decaying request rates by first block.
#[derive(Debug, Default)]
pub(crate) struct Heat {
    rates: Map<Block, Rate>,
}

#[derive(Clone, Copy, Debug)]
struct Rate {
    at: Time,
    per_second: f64,
}

impl Rate {
    fn faded(self, now: Time) -> f64 {
        self.per_second * (-now.since(self.at).as_secs_f64() / SPAN.as_secs_f64()).exp()
    }
}

impl Heat {
    /// Counts a request that begins with `block`.
    pub(crate) fn count(&mut self, now: Time, block: Block) {
        if BOUND <= self.rates.len() && !self.rates.contains_key(&block) {
            self.forget(now);
        }
        let rate = self.rates.entry(block).or_insert(Rate { at: now, per_second: 0.0 });
        *rate = Rate { at: now, per_second: rate.faded(now) + 1.0 / SPAN.as_secs_f64() };
    }

    /// The `count` hottest blocks and their rates a second, hottest first.
    pub(crate) fn hottest(&self, now: Time, count: usize) -> Vec<(Block, f64)> {
        let mut rates =
            self.rates.iter().map(|(it, rate)| (*it, rate.faded(now))).collect::<Vec<_>>();
        rates.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        rates.truncate(count);
        rates
    }

    /// Drops the colder half, so that the next such pass is many requests away.
    fn forget(&mut self, now: Time) {
        let keep = self.hottest(now, BOUND / 2).into_iter().map(|it| it.0).collect::<Vec<_>>();
        self.rates.retain(|it, _| keep.contains(it));
    }
}
