//! Decides when to send each call and how to handle its outcome. Does no I/O.

mod entry;
mod settle;

use std::{collections::BTreeMap, mem, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use shallotlead_base::{
    store::{Call, Failure, Key, MAX_VALUE, Reply},
    time::Time,
};

use crate::{
    breaker::Breaker,
    budget::{Budget, Family, Rates, Sharers},
    counts::Counts,
    outcome::Outcome,
    priority::Priority,
};

use entry::{Entry, Stage, State};
use settle::Settlement;

/// Limit of calls that wait or are in flight; further ones fail as not applied.
const MAX_PENDING_CALLS: usize = 4_096;
/// Limit of concurrent calls in flight, without watches.
pub const MAX_IN_FLIGHT: usize = 8;
/// How long the client tries to find out whether a write with a lost response took effect.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Shortest `retry_after` of a call that failed as not applied.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Identifies a submitted call to its submitter.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// Identifies a sent call to the code that carries it out.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum CallId {
    /// A submitted call, or the read-back of a submitted write.
    Entry(Priority, u64),
    /// A probe that checks whether an outage has ended.
    Probe,
}

/// What the code that drives the scheduler has to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send the call once and report the outcome to [`Scheduler::handle_outcome`].
    Send(CallId, Call),
    /// Pass the reply to the submitter.
    Reply(Ticket, Reply),
}

/// The client's state machine. Its inputs are [`Scheduler::submit`], [`Scheduler::handle_outcome`]
/// and [`Scheduler::set_sharers`]; [`Scheduler::tick`] returns the actions to carry out.
#[derive(Debug)]
pub struct Scheduler {
    entries: BTreeMap<Slot, Entry>,
    last_number: u64,
    in_flight: usize,
    budget: Budget,
    breaker: Breaker,
    /// No reads are sent and no watches started before this time, as asked by the platform.
    reads_paused_until: Time,
    /// No writes are sent before this time, as asked by the platform.
    writes_paused_until: Time,
    rng: SmallRng,
    counts: Counts,
    actions: Vec<Action>,
}

/// Position in the order of sending: by priority, then by age.
type Slot = (Priority, u64);

impl Scheduler {
    /// Creates a scheduler without calls. `seed` determines all jitter.
    pub fn new(rates: Rates, sharers: Sharers, seed: u64, now: Time) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        Self {
            entries: BTreeMap::new(),
            last_number: 0,
            in_flight: 0,
            budget: Budget::new(rates, sharers, now, &mut rng),
            breaker: Breaker::new(sharers.instances),
            reads_paused_until: Time::ZERO,
            writes_paused_until: Time::ZERO,
            rng,
            counts: Counts::default(),
            actions: Vec::new(),
        }
    }

    /// Submits a call. Its reply is returned as [`Action::Reply`].
    ///
    /// A read shares the reply of an equal read that waits or is in flight. The shared reply is
    /// never older than a write of the same object that this client received a reply for before.
    pub fn submit(&mut self, ticket: Ticket, call: Call, now: Time) {
        if let Some(entry) = self.entries.values_mut().find(|it| it.can_join(&call)) {
            entry.tickets.push(ticket);
            self.counts.merged += 1;
            return;
        }
        let is_too_large = matches!(&call, Call::Put { value, .. } if MAX_VALUE < value.len());
        if is_too_large {
            log::error!("value exceeds {MAX_VALUE} bytes; not sent to the platform");
        }
        if is_too_large || MAX_PENDING_CALLS <= self.entries.len() {
            self.reply_not_applied(ticket, Priority::of(&call).max_wait());
            return;
        }
        let priority = Priority::of(&call);
        let is_immediate = priority == Priority::Urgent || Family::of(&call) != Family::Write;
        let not_before = if is_immediate { now } else { now + self.write_delay() };
        self.last_number += 1;
        let entry = Entry::new(ticket, call, not_before, not_before + priority.max_wait());
        self.entries.insert((priority, self.last_number), entry);
    }

    /// Handles the outcome of a call that was sent for an [`Action::Send`].
    pub fn handle_outcome(&mut self, id: CallId, outcome: Outcome, now: Time) {
        self.update_health(id, &outcome, now);
        let CallId::Entry(priority, number) = id else {
            return;
        };
        let slot = (priority, number);
        let Some(mut entry) = self.entries.remove(&slot) else {
            return;
        };
        self.release_slot(entry.family());
        match outcome {
            Outcome::Answered(reply) => {
                self.forbid_joining(&entry, &reply);
                if let Some(reply) = self.interpret(&mut entry, reply) {
                    self.reply_to_all(entry, reply);
                    return;
                }
                entry.wait_until(now);
            }
            Outcome::Refused { retry_after } | Outcome::Unavailable { retry_after } => {
                self.counts.refused += 1;
                let delay =
                    retry_after.unwrap_or_default() + entry.backoff.next_delay(&mut self.rng);
                entry.wait_until(now + delay);
            }
            Outcome::Lost => {
                self.counts.unanswered += 1;
                if entry.is_write() {
                    entry.start_settling(now + SETTLE_TIMEOUT);
                }
                let delay = entry.backoff.next_delay(&mut self.rng);
                entry.wait_until(now + delay);
            }
        }
        self.entries.insert(slot, entry);
    }

    /// Adapts the rate limits and the probe rate to the fleet's size.
    pub fn set_sharers(&mut self, sharers: Sharers, now: Time) {
        self.budget.set_sharers(sharers, now);
        self.breaker.set_instances(sharers.instances);
    }

    /// Returns the actions to carry out at `now`.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        self.expire_waiting(now);
        if self.breaker.is_open() {
            self.return_unsent(now);
            self.send_probe(now);
        } else {
            self.send_waiting(now);
        }
        mem::take(&mut self.actions)
    }

    /// Returns when the next tick is due, unless an input comes before that.
    pub fn next_due(&mut self, now: Time) -> Option<Time> {
        if !self.actions.is_empty() {
            return Some(now);
        }
        let mut due = self.breaker.next_probe_at();
        let is_open = self.breaker.is_open();
        for entry in self.entries.values() {
            let State::Waiting { not_before } = entry.state else {
                continue;
            };
            due = earliest(due, Some(entry.deadline));
            let family = entry.family();
            if is_open || (family != Family::Watch && MAX_IN_FLIGHT <= self.in_flight) {
                continue;
            }
            let not_before = self.paused_until(family).max(not_before);
            due = earliest(due, self.budget.ready_at(family, now).map(|it| it.max(not_before)));
        }
        due
    }

    /// Whether the platform is unavailable.
    pub fn is_unavailable(&self) -> bool {
        self.breaker.is_open()
    }

    /// Returns the totals since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    fn write_delay(&mut self) -> Duration {
        let longest = self.budget.write_spread();
        self.rng.random_range(Duration::ZERO..=longest)
    }

    fn update_health(&mut self, id: CallId, outcome: &Outcome, now: Time) {
        let is_probe = id == CallId::Probe;
        match outcome {
            Outcome::Answered(_) => self.record_success(now),
            Outcome::Refused { retry_after } => {
                self.pause_family(id, retry_after.unwrap_or_default(), now);
                self.record_success(now);
            }
            Outcome::Unavailable { retry_after } => {
                self.record_failure(is_probe, retry_after.unwrap_or_default(), now);
            }
            // The platform may close watches at any time, several at once, without being
            // unavailable. If these counted as failures, the breaker would block all calls after
            // that, including renewals of leases. Whether the platform is unavailable shows in the
            // calls that follow.
            Outcome::Lost if self.is_watch(id) => {}
            Outcome::Lost => self.record_failure(is_probe, Duration::ZERO, now),
        }
    }

    fn is_watch(&self, id: CallId) -> bool {
        let CallId::Entry(priority, number) = id else { return false };
        self.entries.get(&(priority, number)).is_some_and(|it| it.family() == Family::Watch)
    }

    fn record_success(&mut self, now: Time) {
        if self.breaker.record_success() {
            self.budget.reset_tokens(now, &mut self.rng);
        }
    }

    fn record_failure(&mut self, is_probe: bool, min_delay: Duration, now: Time) {
        let begins_outage = self.breaker.record_failure(is_probe, min_delay, now, &mut self.rng);
        self.counts.outages += u64::from(begins_outage);
    }

    fn pause_family(&mut self, id: CallId, duration: Duration, now: Time) {
        let CallId::Entry(priority, number) = id else {
            return;
        };
        let Some(entry) = self.entries.get(&(priority, number)) else {
            return;
        };
        let paused_until = match entry.family() {
            Family::Write => &mut self.writes_paused_until,
            Family::Read | Family::Watch => &mut self.reads_paused_until,
        };
        *paused_until = (*paused_until).max(now + duration);
    }

    fn paused_until(&self, family: Family) -> Time {
        match family {
            Family::Write => self.writes_paused_until,
            Family::Read | Family::Watch => self.reads_paused_until,
        }
    }

    /// Lets no further reads share the reply of a read in flight that a write has overtaken. The
    /// read may return the value before the write, so a submitter that knows of the write would
    /// read an outdated value. Reads that are sent later can't return the old value.
    fn forbid_joining(&mut self, written: &Entry, reply: &Reply) {
        let (Call::Put { key, .. } | Call::Delete { key, .. }) = &written.call else {
            return;
        };
        if matches!(reply, Reply::Failed(_)) {
            return;
        }
        for entry in self.entries.values_mut() {
            entry.forbid_joining(key);
        }
    }

    /// Returns the reply for the submitters, or `None` if the call needs another attempt.
    fn interpret(&mut self, entry: &mut Entry, reply: Reply) -> Option<Reply> {
        let settlement = match entry.stage {
            Stage::Initial => return Some(reply),
            Stage::ReadBack => settle::after_read_back(&entry.call, &reply),
            Stage::Resend => settle::after_resend(&entry.call, &reply),
        };
        match settlement {
            Settlement::Applied(version) => {
                match entry.stage {
                    Stage::Resend => self.counts.settled_resent += 1,
                    Stage::Initial | Stage::ReadBack => self.counts.settled_applied += 1,
                }
                Some(Reply::Done(version))
            }
            Settlement::Unchanged => {
                entry.stage = Stage::Resend;
                None
            }
            Settlement::Unknown => {
                self.counts.settled_unknown += 1;
                Some(Reply::Failed(Failure::Unknown))
            }
        }
    }

    fn reply_to_all(&mut self, entry: Entry, reply: Reply) {
        for ticket in entry.tickets {
            self.actions.push(Action::Reply(ticket, reply.clone()));
        }
    }

    fn reply_not_applied(&mut self, ticket: Ticket, retry_after: Duration) {
        self.counts.given_back += 1;
        // Random between one and two times the delay, so that calls that failed together aren't all
        // retried at the same time.
        let retry_after = retry_after.max(MIN_RETRY_AFTER);
        let retry_after = self.rng.random_range(retry_after..=retry_after * 2);
        let failure = Failure::NotApplied { retry_after };
        self.actions.push(Action::Reply(ticket, Reply::Failed(failure)));
    }

    fn expire_waiting(&mut self, now: Time) {
        let expired: Vec<Slot> = self
            .entries
            .iter()
            .filter(|(_, it)| it.is_waiting() && it.deadline <= now)
            .map(|(slot, _)| *slot)
            .collect();
        for slot in expired {
            self.remove_waiting(slot, now);
        }
    }

    /// Fails all waiting calls that can't have had an effect as not applied. Calls that accumulate
    /// during an outage would all be sent when it ends; instead their submitters retry them after
    /// random delays. Writes with a lost response stay, as they may have taken effect.
    fn return_unsent(&mut self, now: Time) {
        let waiting: Vec<Slot> = self
            .entries
            .iter()
            .filter(|(_, it)| it.is_waiting() && it.stage == Stage::Initial)
            .map(|(slot, _)| *slot)
            .collect();
        for slot in waiting {
            self.remove_waiting(slot, now);
        }
    }

    fn remove_waiting(&mut self, slot: Slot, now: Time) {
        let Some(entry) = self.entries.remove(&slot) else {
            return;
        };
        if entry.stage != Stage::Initial {
            self.counts.settled_unknown += 1;
            self.reply_to_all(entry, Reply::Failed(Failure::Unknown));
            return;
        }
        let pause = self.paused_until(entry.family()).since(now);
        let retry_after = pause.max(self.breaker.retry_after(now));
        for ticket in entry.tickets {
            self.reply_not_applied(ticket, retry_after);
        }
    }

    fn send_probe(&mut self, now: Time) {
        if !self.breaker.start_probe_if_due(now) {
            return;
        }
        self.counts.reads += 1;
        let call = Call::Get(Key::new("probe", "probe"));
        self.actions.push(Action::Send(CallId::Probe, call));
    }

    fn send_waiting(&mut self, now: Time) {
        let slots: Vec<Slot> =
            self.entries.iter().filter(|(_, it)| it.is_due(now)).map(|(slot, _)| *slot).collect();
        let mut exhausted = Vec::new();
        for slot in slots {
            let Some(family) = self.entries.get(&slot).map(Entry::family) else {
                continue;
            };
            // Once the budget is exhausted, calls of lower priority must not use what is refilled.
            if exhausted.contains(&family) {
                continue;
            }
            if self.can_send(family, now) {
                self.send(slot);
            } else {
                exhausted.push(family);
            }
        }
    }

    fn can_send(&mut self, family: Family, now: Time) -> bool {
        if now < self.paused_until(family) {
            return false;
        }
        if family != Family::Watch && MAX_IN_FLIGHT <= self.in_flight {
            return false;
        }
        self.budget.try_take(family, now)
    }

    fn send(&mut self, slot: Slot) {
        let Some(entry) = self.entries.get_mut(&slot) else {
            return;
        };
        entry.state = State::InFlight { is_joinable: true };
        let call = entry.next_call();
        match entry.family() {
            Family::Read => self.counts.reads += 1,
            Family::Write => self.counts.writes += 1,
            Family::Watch => self.counts.watches += 1,
        }
        if entry.family() != Family::Watch {
            self.in_flight += 1;
        }
        self.actions.push(Action::Send(CallId::Entry(slot.0, slot.1), call));
    }

    fn release_slot(&mut self, family: Family) {
        match family {
            Family::Watch => self.budget.release_watch(),
            Family::Read | Family::Write => self.in_flight = self.in_flight.saturating_sub(1),
        }
    }
}

fn earliest(one: Option<Time>, other: Option<Time>) -> Option<Time> {
    match (one, other) {
        (Some(one), Some(other)) => Some(one.min(other)),
        (one, other) => one.or(other),
    }
}
