//! The demo's figures.

use std::{collections::HashSet, time::Duration};

use serde::Serialize;
use shallotlead_standin::engine;

use crate::{
    caller::outcome::End,
    demo::{Event, Runs, invariant},
    load::{
        Record,
        report::{Percentiles, Report},
    },
};

/// Figures of one run.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// Requests sent.
    pub requests: usize,
    /// Answered whole.
    pub answered: usize,
    /// Refused for good, and not run.
    pub refused: usize,
    /// Calls without idempotency key whose outcome their caller can't learn.
    pub unknown: usize,
    /// Left without an answer or a truthful word.
    pub lost: usize,
    /// Ran more often than once and must not.
    pub doubled: usize,
    /// Answered with less than the whole answer, or broken off for good.
    pub truncated: usize,
    /// Broken by a graceful shutdown.
    pub cut_by_shutdown: usize,
    /// Share of prompt tokens that came from an engine's cache.
    pub hit_rate: f64,
    /// Time to first token of answered requests to models.
    pub ttft_ms: Percentiles,
    /// Prompt tokens computed although some engine had computed them before.
    pub wasted_tokens: u64,
    /// Longest time from a change's acceptance until every running instance had it in force.
    pub config_in_force_ms: Option<u64>,
    /// Longest time from a server's leaving until its last new work.
    pub leave_ms: u64,
}

/// Tokens of one block.
const BLOCK_TOKENS: u64 = 64;
/// Counts what became of all requests.
pub(crate) fn summarise(records: &[Record], runs: &Runs, events: &[Event]) -> Summary {
    let load = Report::new(records);
    let left_unknown = records.iter().filter(|it| invariant::is_left_unknown(it, events)).count();
    let changes = events.iter().filter_map(|it| match it {
        Event::Changed { in_force } => Some(*in_force),
        _ => None,
    });
    let slowest: Option<Duration> =
        changes.collect::<Option<Vec<_>>>().and_then(|it| it.into_iter().max());
    let leave = invariant::leave_times(events, runs).into_iter().max().unwrap_or_default();
    Summary {
        requests: load.requests,
        answered: load.answered,
        refused: load.refused,
        unknown: load.unknown + left_unknown,
        lost: load.lost - left_unknown,
        doubled: invariant::doubled(records, runs),
        truncated: records.iter().filter(|it| is_truncated(it)).count(),
        cut_by_shutdown: invariant::cut_by_shutdown(events, records).len(),
        hit_rate: load.hit_rate,
        ttft_ms: load.ttft_ms,
        wasted_tokens: wasted_tokens(runs),
        config_in_force_ms: slowest.map(millis),
        leave_ms: millis(leave),
    }
}

fn is_truncated(record: &Record) -> bool {
    match record.outcome.end {
        End::Answered => !record.is_own_answer(),
        _ => !record.outcome.tokens.is_empty(),
    }
}

/// Tokens of blocks that were computed again.
fn wasted_tokens(runs: &Runs) -> u64 {
    let mut all: Vec<&engine::Run> = runs.engines.iter().flatten().collect();
    all.sort_by_key(|it| it.at);
    let mut known = HashSet::new();
    let mut wasted = 0;
    for run in all {
        let computed = run.chain.iter().skip(run.cached_blocks as usize);
        wasted += computed.filter(|it| !known.insert(**it)).count() as u64;
    }
    wasted * BLOCK_TOKENS
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
