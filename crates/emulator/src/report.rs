//! The outcome of an emulation.

use std::{fmt, time::Duration};

use shallotlead_gateway::clock::ORIGIN;

use crate::{
    ledger::{Ledger, Violation},
    scenario::Scenario,
};

/// Figures, the log, and promises that didn't hold.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// How much virtual time it took.
    pub length: Duration,
    /// Requests of callers, without their retries.
    pub requests: u64,
    /// Requests that were answered in the end.
    pub answered: u64,
    /// Requests that their callers gave up.
    pub failed: u64,
    /// Attempts that their callers left, as nothing came.
    pub left: u64,
    /// Attempts that were refused as not run.
    pub refusals: u64,
    /// Requests that servers declined.
    pub declined: u64,
    /// Streams that their instances broke off while a server that had run them lived.
    pub broken_off_streams: u64,
    /// Median of the time to the first event of answered prompts.
    pub first_event_p50: Duration,
    /// The 99th percentile of it.
    pub first_event_p99: Duration,
    /// Fraction of the prompts' tokens that were prefilled.
    pub prefilled: f64,
    /// Promises that didn't hold.
    pub violations: Vec<Violation>,
    /// All that happened, in order.
    pub log: Vec<u8>,
}

pub(crate) fn of(scenario: &Scenario, length: Duration, ledger: &Ledger) -> Report {
    let log = ledger.journal.take();
    let records = ledger.records.borrow();
    let mut times = records.first_events.clone();
    times.sort_unstable();
    let percentile = |it: usize| times.get(times.len() * it / 100).copied().unwrap_or_default();
    Report {
        seed: scenario.seed,
        length,
        requests: records.requests,
        answered: records.answered,
        failed: records.failed,
        left: records.left,
        refusals: records.refusals,
        declined: records.declined,
        broken_off_streams: records.broken_off.len() as u64,
        first_event_p50: percentile(50),
        first_event_p99: percentile(99),
        prefilled: records.prefilled_tokens as f64 / records.prompt_tokens.max(1) as f64,
        violations: records.violations.clone(),
        log,
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms = |it: Duration| it.as_secs_f64() * 1e3;
        writeln!(
            f,
            "seed {}: {} requests, {} answered, {} given up; {} attempts refused, {} declined by servers, {} streams broken off",
            self.seed,
            self.requests,
            self.answered,
            self.failed,
            self.refusals,
            self.declined,
            self.broken_off_streams
        )?;
        writeln!(
            f,
            "first event p50 {:.1} ms, p99 {:.1} ms; {:.1} % of the prompts' tokens prefilled",
            ms(self.first_event_p50),
            ms(self.first_event_p99),
            self.prefilled * 100.0
        )?;
        for it in &self.violations {
            writeln!(
                f,
                "broken at {:.3} s: {}: {}",
                it.at.since(ORIGIN).as_secs_f64(),
                it.promise,
                it.seen
            )?;
        }
        Ok(())
    }
}
