//! What became of a load's requests.

use std::{fmt, time::Duration};

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::{caller::outcome::End, load::Record};

/// Counts and times.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Requests sent.
    pub requests: usize,
    /// Answered.
    pub answered: usize,
    /// Of these, with another answer than the stand-in engines give.
    pub wrong: usize,
    /// Refused for good, and not run.
    pub refused: usize,
    /// Calls without idempotency key whose outcome their caller can't learn.
    pub unknown: usize,
    /// Left without an answer or a truthful word.
    pub lost: usize,
    /// Tries beyond the first.
    pub retries: usize,
    /// Share of prompt tokens that came from an engine's cache.
    pub hit_rate: f64,
    /// Time to first token of answered requests to models.
    pub ttft_ms: Percentiles,
}

impl Report {
    /// Counts what became of all requests.
    pub fn new(records: &[Record]) -> Self {
        let count = |is: &dyn Fn(&Record) -> bool| records.iter().filter(|it| is(it)).count();
        let answered = || records.iter().filter(|it| it.outcome.end == End::Answered);
        let usages = || answered().filter_map(|it| it.outcome.usage);
        let prompt: u64 = usages().map(|it| u64::from(it.prompt_tokens)).sum();
        let cached: u64 = usages().map(|it| u64::from(it.cached_tokens)).sum();
        let models = answered().filter(|it| !it.ask.is_service());
        Self {
            requests: records.len(),
            answered: answered().count(),
            wrong: answered().filter(|it| !it.is_own_answer()).count(),
            refused: count(&|it| it.outcome.end == End::Refused),
            unknown: count(&|it| it.outcome.end == End::Unknown && !it.is_lost()),
            lost: count(&Record::is_lost),
            retries: records.iter().map(|it| it.outcome.tries.len().saturating_sub(1)).sum(),
            hit_rate: if prompt == 0 { 0.0 } else { cached as f64 / prompt as f64 },
            ttft_ms: Percentiles::new(models.filter_map(|it| it.outcome.first_token)),
        }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{} requests: {} answered ({} wrong), {} refused, {} unknown, {} lost, {} retries",
            self.requests,
            self.answered,
            self.wrong,
            self.refused,
            self.unknown,
            self.lost,
            self.retries
        )?;
        let Percentiles { p50, p95, p99 } = self.ttft_ms;
        writeln!(f, "time to first token: p50 {p50:.0} ms, p95 {p95:.0} ms, p99 {p99:.0} ms")?;
        write!(f, "prefix hit rate: {:.3}", self.hit_rate)
    }
}

/// Percentiles in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Percentiles {
    /// Half are faster.
    pub p50: f64,
    /// 95 in 100 are faster.
    pub p95: f64,
    /// 99 in 100 are faster.
    pub p99: f64,
}

/// Longer times count as this one.
const LONGEST_MICROS: u64 = 3_600_000_000;
const MICROS_PER_MILLI: f64 = 1_000.0;

impl Percentiles {
    /// Percentiles of `times`; zeros when there are none.
    pub fn new(times: impl Iterator<Item = Duration>) -> Self {
        // These bounds always make a histogram.
        let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, LONGEST_MICROS, 3) else {
            return Self::default();
        };
        for time in times {
            histogram.saturating_record(u64::try_from(time.as_micros()).unwrap_or(u64::MAX));
        }
        let millis = |share| histogram.value_at_quantile(share) as f64 / MICROS_PER_MILLI;
        Self { p50: millis(0.50), p95: millis(0.95), p99: millis(0.99) }
    }
}
