//! What must always hold, checked against what callers saw and what servers ran.

use std::{collections::HashMap, time::Duration};

use shallotlead_base::code::Execution;

use crate::{
    caller::{
        ask::{Ask, Kind},
        outcome::{End, Try, TryEnd},
    },
    demo::{Event, Runs, watcher::Versions},
    load::Record,
};

/// Something that must always hold.
#[derive(Clone, Debug)]
pub struct Invariant {
    /// What must hold.
    pub text: &'static str,
    /// Whether it bounds a time, so that a slow machine can break it.
    pub is_timed: bool,
    /// Cases that were looked at.
    pub checked: u64,
    /// Cases in which it did not hold.
    pub broken: Vec<String>,
}

impl Invariant {
    fn new(text: &'static str) -> Self {
        Self { text, is_timed: false, checked: 0, broken: Vec::new() }
    }

    fn timed(text: &'static str) -> Self {
        Self { is_timed: true, ..Self::new(text) }
    }

    fn check(&mut self, holds: bool, case: impl FnOnce() -> String) {
        self.checked += 1;
        if !holds {
            self.broken.push(case());
        }
    }
}

/// How long a leaving server may still get new work.
const LEAVE_BOUND: Duration = Duration::from_secs(4);
/// How long a restarted instance may take to the first token of an answer, an uncached prompt's
/// computation included.
const RESTART_BOUND: Duration = Duration::from_secs(3);
/// How long an accepted change may take to be in force everywhere.
const CHANGE_BOUND: Duration = Duration::from_secs(4);

/// Checks everything.
pub(crate) fn check(
    records: &[Record],
    runs: &Runs,
    events: &[Event],
    versions: &Versions,
) -> Vec<Invariant> {
    vec![
        cache(runs),
        streams(records),
        restart(events),
        answers(records),
        refusals(records, runs),
        once(records, runs),
        leaving(events, runs),
        shutdown(events, records),
        in_force(events),
        never_reverts(versions),
        nothing_lost(records, events),
    ]
}

fn cache(runs: &Runs) -> Invariant {
    let mut it = Invariant::new("no request relies on another's, a dead engine's or old cache");
    for run in runs.engines.iter().flatten().filter(|it| 0 < it.cached_blocks) {
        it.check(run.foreign_blocks == 0, || {
            format!("{}: {} blocks of another origin", run.attempt, run.foreign_blocks)
        });
    }
    it
}

fn streams(records: &[Record]) -> Invariant {
    let mut it = Invariant::new("every stream arrives complete and in order");
    for record in records.iter().filter(|it| is_stream(&it.ask)) {
        let outcome = &record.outcome;
        let malformed = outcome.tries.iter().find_map(|it| match &it.end {
            TryEnd::Malformed(reason) => Some(reason),
            _ => None,
        });
        let is_short = outcome.end != End::Answered && !outcome.tokens.is_empty();
        it.check(malformed.is_none() && !is_short, || {
            format!("{:?}: {:?} after {} tokens", outcome.request, malformed, outcome.tokens.len())
        });
    }
    it
}

fn restart(events: &[Event]) -> Invariant {
    let mut it = Invariant::timed("a router that restarts serves at once");
    for event in events {
        if let Event::Restarted { served } = event {
            it.check(served.is_some_and(|it| it <= RESTART_BOUND), || format!("{served:?}"));
        }
    }
    it
}

fn answers(records: &[Record]) -> Invariant {
    let mut it = Invariant::new("each caller receives the whole answer to its own request");
    for record in records.iter().filter(|it| it.outcome.end == End::Answered) {
        it.check(record.is_own_answer(), || {
            let Record { ask, outcome, .. } = record;
            format!("{:?} {:?}: got {:?}", outcome.request, ask.kind, outcome.tokens.concat())
        });
    }
    it
}

fn refusals(records: &[Record], runs: &Runs) -> Invariant {
    let mut it = Invariant::new("a refusal that says \"not run\" is true");
    let ran = runs.requests();
    // A resumed stream's request ran before the refusal, so that its log proves nothing.
    for attempt in records.iter().flat_map(|it| &it.outcome.tries).filter(|it| !it.resumed) {
        let TryEnd::Refused(refusal) = &attempt.end else { continue };
        if refusal.execution != Execution::NotRun {
            continue;
        }
        let request = refusal.request.as_deref().or(attempt.request.as_deref());
        it.check(request.is_none_or(|it| !ran.contains(it)), || {
            format!("{request:?} was refused with {} and ran", refusal.code)
        });
    }
    it
}

fn once(records: &[Record], runs: &Runs) -> Invariant {
    let mut it = Invariant::new("a non-idempotent request runs at most once");
    let mut counts: HashMap<&[u8], usize> = HashMap::new();
    for run in runs.services.iter().flatten() {
        *counts.entry(&run.body).or_default() += 1;
    }
    for record in records.iter().filter(|it| it.ask.is_service()) {
        let count = counts.get(record.ask.body.as_bytes()).copied().unwrap_or(0);
        it.check(count <= 1, || format!("{} ran {count} times", record.ask.body));
    }
    it
}

/// Requests that ran more often than once and must not.
pub(crate) fn doubled(records: &[Record], runs: &Runs) -> usize {
    once(records, runs).broken.len()
}

fn leaving(events: &[Event], runs: &Runs) -> Invariant {
    let mut it =
        Invariant::timed("a leaving backend server receives no new work after a few seconds");
    for last in leave_times(events, runs) {
        it.check(last <= LEAVE_BOUND, || format!("new work after {} ms", last.as_millis()));
    }
    it
}

/// For each server that left, the time from its leaving to its last new work.
pub(crate) fn leave_times(events: &[Event], runs: &Runs) -> Vec<Duration> {
    let last = |event: &Event| {
        let Event::Leaving { engine, at } = event else { return None };
        let begun = runs.engines[*engine].iter().map(|it| it.at.saturating_duration_since(*at));
        Some(begun.max().unwrap_or_default())
    };
    events.iter().filter_map(last).collect()
}

fn shutdown(events: &[Event], records: &[Record]) -> Invariant {
    let mut it = Invariant::new("a graceful shutdown cuts no request short");
    let cut = cut_by_shutdown(events, records);
    it.checked = open_at_shutdown(events, records) as u64;
    it.broken = cut;
    it
}

fn open_at_shutdown(events: &[Event], records: &[Record]) -> usize {
    let tries = || records.iter().flat_map(|it| &it.outcome.tries);
    let open = events.iter().map(|event| match event {
        Event::ShutDown { address, from, .. } => {
            let is_open = |it: &&crate::caller::outcome::Try| {
                it.address == *address && it.at <= *from && *from <= it.until
            };
            tries().filter(is_open).count()
        }
        _ => 0,
    });
    open.sum()
}

/// Requests whose connection a graceful shutdown broke.
pub(crate) fn cut_by_shutdown(events: &[Event], records: &[Record]) -> Vec<String> {
    let mut cut = Vec::new();
    for event in events {
        let Event::ShutDown { address, from, until } = event else { continue };
        for record in records {
            let broken = record.outcome.tries.iter().find(|it| {
                let in_time = *from <= it.until && it.at <= *until;
                it.address == *address && in_time && matches!(it.end, TryEnd::Broken)
            });
            if broken.is_some() {
                cut.push(format!("{:?} {:?}", record.outcome.request, record.ask.kind));
            }
        }
    }
    cut
}

fn in_force(events: &[Event]) -> Invariant {
    let mut it =
        Invariant::timed("an accepted configuration is in force everywhere within seconds");
    for event in events {
        if let Event::Changed { in_force } = event {
            it.check(in_force.is_some_and(|it| it <= CHANGE_BOUND), || format!("{in_force:?}"));
        }
    }
    it
}

fn never_reverts(versions: &Versions) -> Invariant {
    let mut it = Invariant::new("an accepted configuration never reverts");
    it.checked = versions.seen;
    it.broken = versions.reverts.clone();
    it
}

fn nothing_lost(records: &[Record], events: &[Event]) -> Invariant {
    let mut it = Invariant::new("every request is answered or truthfully refused");
    for record in records {
        it.check(!is_lost(record, events), || {
            let Record { ask, outcome, .. } = record;
            let tries: Vec<String> =
                outcome.tries.iter().map(|it| format!("{:?}", it.end)).collect();
            format!("{:?} {:?} after {}", ask.kind, outcome.end, tries.join(", "))
        });
    }
    it
}

/// Whether the caller was left without an answer or a truthful word.
pub(super) fn is_lost(record: &Record, events: &[Event]) -> bool {
    record.is_lost() && !is_left_unknown(record, events)
}

/// Whether a call with an idempotency key was under way at an instance that was killed, and every
/// later try was truthfully told that its outcome is unknown: what the dead instance had sent can't
/// be learnt any more, and a second run is what the key forbids.
pub(super) fn is_left_unknown(record: &Record, events: &[Event]) -> bool {
    if record.ask.idempotency_key.is_none() || !record.is_lost() {
        return false;
    }
    let is_killed = |it: &Try| {
        events.iter().any(|event| match event {
            Event::Killed { address, at } => {
                *address == it.address && it.at <= *at && *at <= it.until
            }
            _ => false,
        })
    };
    let tries = &record.outcome.tries;
    let Some(cut) = tries.iter().position(is_killed) else { return false };
    let is_unknown = |it: &Try| match &it.end {
        TryEnd::Refused(it) => it.execution == Execution::Unknown,
        TryEnd::Unreached => true,
        TryEnd::Answered | TryEnd::Broken | TryEnd::Malformed(_) => false,
    };
    let told = tries[cut + 1..].iter().any(|it| matches!(it.end, TryEnd::Refused(_)));
    told && tries[cut + 1..].iter().all(is_unknown)
}

fn is_stream(ask: &Ask) -> bool {
    matches!(ask.kind, Kind::Chat { stream: true } | Kind::Completion { stream: true })
}
