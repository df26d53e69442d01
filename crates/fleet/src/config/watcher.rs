//! The watch on the table's head in the platform's store, held by a few instances.

use std::{mem, sync::Arc, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use shallotlead_base::{
    id::Version,
    store::{self, Call, Failure, Key, Object, Reply},
    time::Time,
};
use shallotlead_table::{
    change::Change,
    layout::{HEAD_KIND, Head},
    snapshot::Snapshot,
};

use crate::{context::Context, membership::status_key, outbox::Outbox};

/// Watchers in each data centre.
const WATCHERS: usize = 2;
/// Range of the time that the platform is asked to hold a watch, in milliseconds.
const WAIT_MILLIS: std::ops::Range<u64> = 4_000..8_000;
/// When the platform has answered no instance for this long, instances other than the regular
/// watchers call it too.
const PLATFORM_SILENCE: Duration = Duration::from_secs(12);
/// Time between the first calls of these others, one after the other.
const STAGGER: Duration = Duration::from_secs(1);
/// Delay after the first failure; it doubles with each further one.
const MIN_BACKOFF: Duration = Duration::from_millis(250);
/// Longest delay after a failure of a regular watcher.
const MAX_BACKOFF: Duration = Duration::from_secs(8);
/// Longest delay after a failure of the others, which are many.
const MAX_BACKOFF_OTHERS: Duration = Duration::from_secs(60);
/// A call without an answer counts as lost after its own wait and this time.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// What the watcher is doing.
#[derive(Debug)]
enum Phase {
    /// Not calling.
    Idle,
    /// Reads the head by listing its kind, of which it is the only object. The list also gives the
    /// version to watch from.
    Head,
    /// Reads the head's segments, one after the other.
    Segments { head: Box<Head>, keys: Vec<Key>, values: Vec<Arc<[u8]>> },
    /// Waits for a change.
    Watch,
}

/// The result of an answer.
#[derive(Debug)]
pub(crate) enum Outcome {
    /// Nothing new.
    Nothing,
    /// Changes that follow the table in force.
    Changes(Vec<Change>),
    /// A whole table, with the head's log.
    Table(Snapshot, Vec<Change>),
}

/// The watch on the head.
#[derive(Debug)]
pub(crate) struct Watcher {
    rng: SmallRng,
    phase: Phase,
    call: Option<(u64, Time)>,
    /// Version of the store to watch from, if the head was read.
    watch_from: Option<Version>,
    due: Time,
    failures: u32,
    /// This instance's rank among those that may watch, if it is one of them.
    rank: Option<usize>,
    /// Generation of the view that the rank was computed from.
    ranked_generation: Option<u64>,
}

impl Watcher {
    pub(crate) fn new(now: Time, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        // Instances that start at the same time don't all call at the same time.
        let due = now + Duration::from_millis(rng.random_range(0..400));
        Self {
            rng,
            phase: Phase::Idle,
            call: None,
            watch_from: None,
            due,
            failures: 0,
            rank: None,
            ranked_generation: None,
        }
    }

    /// Whether this instance is one of the few that always watch.
    pub(crate) fn is_regular(&self) -> bool {
        self.rank.is_some_and(|it| it < WATCHERS)
    }

    pub(crate) fn is_waiting_for(&self, number: u64) -> bool {
        self.call.is_some_and(|(it, _)| it == number)
    }

    /// Calls the platform if it is this instance's turn. Returns when to call `tick` again.
    pub(crate) fn tick(
        &mut self,
        ctx: &Context<'_>,
        last_platform_answer: Time,
        has_table: bool,
        out: &mut Outbox<'_>,
    ) -> Time {
        if let Some((_, until)) = self.call {
            if ctx.now < until {
                return until;
            }
            self.back_off(ctx.now, Duration::ZERO);
        }
        if self.ranked_generation != Some(ctx.view.generation()) {
            self.ranked_generation = Some(ctx.view.generation());
            self.rank = rank(ctx);
        }
        let Some(rank) = self.rank else { return Time::MAX };
        let from = if rank < WATCHERS {
            Time::ZERO
        } else {
            let stagger = STAGGER * (rank - WATCHERS) as u32;
            // Without any table, a second is enough to learn that a peer has one.
            last_platform_answer
                + stagger
                + if has_table { PLATFORM_SILENCE } else { Duration::from_secs(3) }
        };
        let due = self.due.max(from);
        if ctx.now < due {
            return due;
        }
        self.call_platform(ctx.now, out)
    }

    pub(crate) fn handle_reply(
        &mut self,
        now: Time,
        number: u64,
        reply: Reply,
        table: &Arc<Snapshot>,
        out: &mut Outbox<'_>,
    ) -> Outcome {
        if !self.is_waiting_for(number) {
            return Outcome::Nothing;
        }
        self.call = None;
        let phase = mem::replace(&mut self.phase, Phase::Idle);
        if let Reply::Failed(failure) = reply {
            self.handle_failure(now, failure);
            return Outcome::Nothing;
        }
        if !matches!(phase, Phase::Head) {
            self.failures = 0;
        }
        match (phase, reply) {
            (Phase::Head, Reply::Listed { mut objects, version }) => {
                self.watch_from = Some(version);
                match objects.pop() {
                    Some(it) => self.process_head(now, it, table, out),
                    None => Outcome::Nothing,
                }
            }
            (Phase::Watch, Reply::Changed { changes, version }) => {
                self.watch_from = Some(version);
                let head = changes.into_iter().rev().find_map(|it| match it {
                    store::Change::Put(object) => Some(object),
                    store::Change::Delete(..) => None,
                });
                match head {
                    Some(it) => self.process_head(now, it, table, out),
                    None => Outcome::Nothing,
                }
            }
            (Phase::Segments { head, mut keys, mut values }, Reply::Got(Some(object))) => {
                values.push(object.value);
                if let Some(key) = keys.pop() {
                    self.start_call(now, Call::Get(key), Duration::ZERO, out);
                    self.phase = Phase::Segments { head, keys, values };
                    return Outcome::Nothing;
                }
                match head.load(&values) {
                    Ok(it) if table.version < it.version => Outcome::Table(it, head.log),
                    Ok(_) => Outcome::Nothing,
                    Err(_) => {
                        self.restart(now);
                        Outcome::Nothing
                    }
                }
            }
            // A segment is gone, because the head was replaced since; the head is read again.
            _ => {
                self.restart(now);
                Outcome::Nothing
            }
        }
    }

    /// Processes a head: by its log alone if that reaches back to the table in force, else by reading
    /// its segments.
    fn process_head(
        &mut self,
        now: Time,
        object: Object,
        table: &Arc<Snapshot>,
        out: &mut Outbox<'_>,
    ) -> Outcome {
        let Ok(head) = Head::decode(&object.value) else {
            // Written by a newer release: peers that can read it send the table.
            self.back_off(now, Duration::ZERO);
            return Outcome::Nothing;
        };
        if head.version <= table.version {
            return Outcome::Nothing;
        }
        if let Some(changes) = head.since(table.version).filter(|it| !it.is_empty()) {
            return Outcome::Changes(changes.to_vec());
        }
        let mut keys = head.segment_keys().collect::<Vec<_>>();
        keys.reverse();
        let Some(first) = keys.pop() else {
            let table = head.load(&[]);
            return table.map_or(Outcome::Nothing, |it| Outcome::Table(it, head.log));
        };
        self.start_call(now, Call::Get(first), Duration::ZERO, out);
        self.phase = Phase::Segments { head: Box::new(head), keys, values: Vec::new() };
        Outcome::Nothing
    }

    fn call_platform(&mut self, now: Time, out: &mut Outbox<'_>) -> Time {
        match self.watch_from {
            None => {
                self.phase = Phase::Head;
                let kind = HEAD_KIND.into();
                self.start_call(now, Call::List { kind }, Duration::ZERO, out)
            }
            Some(after) => {
                // Random waits spread the watchers' renewals.
                let wait = Duration::from_millis(self.rng.random_range(WAIT_MILLIS));
                self.phase = Phase::Watch;
                let call = Call::Watch { kind: HEAD_KIND.into(), after, wait };
                self.start_call(now, call, wait, out)
            }
        }
    }

    fn start_call(&mut self, now: Time, call: Call, wait: Duration, out: &mut Outbox<'_>) -> Time {
        let until = now + wait + CALL_TIMEOUT;
        self.call = Some((out.call(call), until));
        until
    }

    fn handle_failure(&mut self, now: Time, failure: Failure) {
        match failure {
            Failure::NotApplied { retry_after } => self.back_off(now, retry_after),
            Failure::Unknown => self.back_off(now, Duration::ZERO),
            Failure::Compacted => self.restart(now),
        }
    }

    fn restart(&mut self, now: Time) {
        self.watch_from = None;
        self.back_off(now, Duration::ZERO);
    }

    fn back_off(&mut self, now: Time, min_wait: Duration) {
        self.call = None;
        self.phase = Phase::Idle;
        let max_wait = if self.is_regular() { MAX_BACKOFF } else { MAX_BACKOFF_OTHERS };
        let wait = (MIN_BACKOFF * (1 << self.failures.min(8))).min(max_wait);
        self.failures += 1;
        let wait = wait.mul_f64(self.rng.random_range(0.5..1.0));
        self.due = now + wait.max(min_wait);
    }
}

/// This instance's rank among those of its data centre that may watch.
fn rank(ctx: &Context<'_>) -> Option<usize> {
    let centre = &ctx.view.get(ctx.me)?.member.centre;
    let order = ctx.view.owners_in_centre(centre, status_key(centre), usize::MAX);
    order.into_iter().position(|it| it == ctx.me)
}
