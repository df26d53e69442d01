//! What the simulation records, and its summary.

use std::time::Duration;

use shallotlead_base::time::Time;

/// Outcome of one request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Record {
    pub(crate) arrived: Time,
    pub(crate) latency_target: Duration,
    pub(crate) is_long: bool,
    pub(crate) first_token: Option<Time>,
    pub(crate) is_refused: bool,
}

/// Everything that is recorded in one run.
#[derive(Debug, Default)]
pub(crate) struct Results {
    pub(crate) records: Vec<Record>,
    /// Shared tokens that were prefilled although an engine had prefilled them with the same
    /// weights in the 10 s before.
    pub(crate) recomputed: u64,
    /// Prompt tokens that were found in an engine's cache.
    pub(crate) cached: u64,
    /// All prompt tokens.
    pub(crate) tokens: u64,
    /// Tokens that were transferred between engines and the store.
    pub(crate) transferred: u64,
}

/// Summary of a run, or the mean of several.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Summary {
    /// Share of requests whose first token came in time: of all, and of those with long prompts.
    pub(crate) in_time: f64,
    pub(crate) long_in_time: f64,
    pub(crate) refused: f64,
    /// Time to the first token, ms.
    pub(crate) p50: f64,
    pub(crate) p99: f64,
    /// Shared tokens that were computed again, and tokens that were transferred, per request.
    pub(crate) recomputed: f64,
    pub(crate) transferred: f64,
    /// Share of the prompt tokens that were found in an engine's cache.
    pub(crate) hit_rate: f64,
}

impl Results {
    pub(crate) fn summary(&self) -> Summary {
        let latencies =
            self.records.iter().filter_map(|it| Some(it.first_token?.since(it.arrived)));
        let mut latencies: Vec<f64> = latencies.map(|it| it.as_secs_f64() * 1e3).collect();
        latencies.sort_by(f64::total_cmp);
        let percentile = |part: f64| {
            let index = (latencies.len() as f64 * part) as usize;
            latencies.get(index).copied().unwrap_or(f64::INFINITY)
        };
        let count = self.records.len().max(1) as f64;
        let count_where = |is_in: &dyn Fn(&Record) -> bool| {
            self.records.iter().filter(|it| is_in(it)).count() as f64
        };
        let is_timely = |it: &Record| {
            it.first_token.is_some_and(|first| first.since(it.arrived) <= it.latency_target)
        };
        Summary {
            in_time: count_where(&is_timely) / count,
            long_in_time: count_where(&|it| it.is_long && is_timely(it))
                / count_where(&|it| it.is_long).max(1.0),
            refused: count_where(&|it| it.is_refused) / count,
            p50: percentile(0.5),
            p99: percentile(0.99),
            recomputed: self.recomputed as f64 / count,
            transferred: self.transferred as f64 / count,
            hit_rate: self.cached as f64 / self.tokens.max(1) as f64,
        }
    }
}
