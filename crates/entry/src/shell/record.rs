//! Log lines and metrics of routing decisions. The names are documented in `docs/metrics.md`.

use std::time::Duration;

use log::info;
use shallotlead_base::{
    code::Refusal,
    id::{Attempt, Block},
    name,
};
use shallotlead_policy::{action::Dispatch, explain::Decision, input::Outcome};

const DECISION: &str = "shallotlead::decision";
const ATTEMPT: &str = "shallotlead::attempt";

/// An attempt is sent.
pub(crate) fn sent(dispatch: &Dispatch) {
    let decision = &dispatch.decision;
    let best = decision.candidates.iter().find(|it| it.server == dispatch.server);
    info!(
        target: DECISION,
        attempt:% = dispatch.attempt,
        server:% = dispatch.server,
        incarnation:% = dispatch.incarnation,
        reason = decision.reason,
        table = decision.table,
        candidates = decision.candidates.len(),
        cached_tokens = best.map_or(0, |it| it.cached_tokens),
        score_ms = best.map_or(0.0, |it| it.score),
        queued_ms = millis(decision.queued),
        resume_at = dispatch.resume_at;
        "send"
    );
    metrics::counter!("shallotlead_attempts_total", "reason" => decision.reason).increment(1);
    if 1 < dispatch.attempt.number {
        metrics::counter!("shallotlead_retries_total").increment(1);
    }
    if 0 < dispatch.resume_at {
        metrics::counter!("shallotlead_resumes_total").increment(1);
    }
    metrics::histogram!("shallotlead_queue_seconds").record(decision.queued.as_secs_f64());
}

/// A request is refused or given up.
pub(crate) fn refused(decision: &Decision, refusal: Refusal) {
    info!(
        target: DECISION,
        request:% = decision.request,
        code = refusal.code.number(),
        name = refusal.code.name(),
        reason = decision.reason,
        table = decision.table,
        queued_ms = millis(decision.queued),
        retry_after_ms = refusal.retry_after.map_or(0, millis);
        "refuse"
    );
    metrics::counter!("shallotlead_refusals_total", "code" => refusal.code.name()).increment(1);
}

/// An attempt is cancelled.
pub(crate) fn cancelled(attempt: Attempt, server: &name::Server) {
    info!(target: DECISION, attempt:%, server:%; "cancel");
}

/// A prefix is to be written to the KV store.
pub(crate) fn exported(server: &name::Server, block: Block) {
    info!(target: DECISION, server:%, block = format!("{:016x}", block.0).as_str(); "export");
    metrics::counter!("shallotlead_exports_total").increment(1);
}

/// An attempt ended.
pub(crate) fn ended(attempt: Attempt, server: &name::Server, outcome: Outcome, took: Duration) {
    let kind = kind(outcome);
    info!(
        target: ATTEMPT,
        attempt:% = attempt,
        server:%,
        outcome = kind,
        detail:? = outcome,
        took_ms = millis(took);
        "end"
    );
    metrics::counter!("shallotlead_attempts_ended_total", "outcome" => kind).increment(1);
    metrics::histogram!("shallotlead_attempt_seconds").record(took.as_secs_f64());
    if let Outcome::Complete { tokens } = outcome {
        metrics::counter!("shallotlead_generated_tokens_total").increment(tokens.into());
    }
}

/// A request came.
pub(crate) fn arrived(open: usize) {
    metrics::counter!("shallotlead_requests_total").increment(1);
    requests_open(open);
}

/// The home of a request's prefix gave `count` hints.
pub(crate) fn hinted(count: usize) {
    let result = if count == 0 { "empty" } else { "hints" };
    metrics::counter!("shallotlead_lookups_total", "result" => result).increment(1);
}

/// How many requests are open.
pub(crate) fn requests_open(open: usize) {
    metrics::gauge!("shallotlead_requests_open").set(open as f64);
}

/// The first token of a request came, `waited` after its arrival.
pub(crate) fn first_token(waited: Duration, prompt_tokens: u32, cached_tokens: Option<u32>) {
    metrics::histogram!("shallotlead_first_token_seconds").record(waited.as_secs_f64());
    metrics::counter!("shallotlead_prompt_tokens_total").increment(prompt_tokens.into());
    let cached = cached_tokens.unwrap_or(0);
    metrics::counter!("shallotlead_cached_tokens_total").increment(cached.into());
}

/// A caller went away before its answer was complete.
pub(crate) fn abandoned() {
    metrics::counter!("shallotlead_abandoned_total").increment(1);
}

fn kind(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Complete { .. } => "complete",
        Outcome::NotRun(_) => "not-run",
        Outcome::Broken { .. } => "broken",
        Outcome::Failed(_) => "failed",
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
