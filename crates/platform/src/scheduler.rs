//! The client's decisions, without I/O: which call goes out when, and what its outcome means.

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

/// Calls that may wait at once; more are given back.
const MAX_PENDING_CALLS: usize = 4_096;
/// Calls in flight at once, watches apart.
pub const MAX_IN_FLIGHT: usize = 8;
/// How long a lost answer is settled before it is reported as unknown.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Least pause that a call given back is told.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Names a submitted call towards the submitter.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// Names a sent call towards whoever carries it out.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum CallId {
    /// A call of a submitter, or a read that settles it.
    Entry(Priority, u64),
    /// A probe for the end of an outage.
    Probe,
}

/// What the shell has to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Carry out one try and report its outcome.
    Send(CallId, Call),
    /// Give the answer to the submitter.
    Reply(Ticket, Reply),
}

/// The client's state. Inputs come by [`Scheduler::submit`], [`Scheduler::answered`] and
/// [`Scheduler::set_sharers`]; [`Scheduler::tick`] returns what is to be done.
#[derive(Debug)]
pub struct Scheduler {
    entries: BTreeMap<Slot, Entry>,
    next_number: u64,
    in_flight: usize,
    budget: Budget,
    circuit: Breaker,
    /// The platform asked for a pause of reads and watches until then.
    reads_paused_until: Time,
    /// The same for writes.
    writes_paused_until: Time,
    rng: SmallRng,
    counts: Counts,
    actions: Vec<Action>,
}

/// Order of sending: class, then age.
type Slot = (Priority, u64);

impl Scheduler {
    /// An idle client. `seed` decides all jitter.
    pub fn new(rates: Rates, sharers: Sharers, seed: u64, now: Time) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        Self {
            entries: BTreeMap::new(),
            next_number: 0,
            in_flight: 0,
            budget: Budget::new(rates, sharers, now, &mut rng),
            circuit: Breaker::new(sharers.instances),
            reads_paused_until: Time::ZERO,
            writes_paused_until: Time::ZERO,
            rng,
            counts: Counts::default(),
            actions: Vec::new(),
        }
    }

    /// Takes a call. Its answer comes as [`Action::Reply`].
    ///
    /// An equal read that waits or is in flight answers this one too. Such an answer is never older
    /// than a write of the same object that this client saw answered before.
    pub fn submit(&mut self, ticket: Ticket, call: Call, now: Time) {
        if let Some(entry) = self.entries.values_mut().find(|it| it.can_join(&call)) {
            entry.tickets.push(ticket);
            self.counts.merged += 1;
            return;
        }
        let is_too_large = matches!(&call, Call::Put { value, .. } if MAX_VALUE < value.len());
        if is_too_large {
            log::error!("a value for the platform is over {MAX_VALUE} bytes and is not sent");
        }
        if is_too_large || MAX_PENDING_CALLS <= self.entries.len() {
            self.reply_not_applied(ticket, Priority::of(&call).max_wait());
            return;
        }
        let class = Priority::of(&call);
        let is_hurried = class == Priority::Urgent || Family::of(&call) != Family::Write;
        let not_before = if is_hurried { now } else { now + self.write_delay() };
        self.next_number += 1;
        let entry = Entry::new(ticket, call, not_before, not_before + class.max_wait());
        self.entries.insert((class, self.next_number), entry);
    }

    /// Takes the outcome of a call that [`Action::Send`] asked for.
    pub fn handle_outcome(&mut self, sent: CallId, outcome: Outcome, now: Time) {
        self.update_health(sent, &outcome, now);
        let CallId::Entry(class, number) = sent else {
            return;
        };
        let slot = (class, number);
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
                let pause =
                    retry_after.unwrap_or_default() + entry.backoff.next_delay(&mut self.rng);
                entry.wait_until(now + pause);
            }
            Outcome::Lost => {
                self.counts.unanswered += 1;
                if entry.is_write() {
                    entry.start_settling(now + SETTLE_TIMEOUT);
                }
                let pause = entry.backoff.next_delay(&mut self.rng);
                entry.wait_until(now + pause);
            }
        }
        self.entries.insert(slot, entry);
    }

    /// Follows a change of the fleet's size.
    pub fn set_sharers(&mut self, sharers: Sharers, now: Time) {
        self.budget.set_sharers(sharers, now);
        self.circuit.set_instances(sharers.instances);
    }

    /// What is to be done at `now`.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        self.expire_waiting(now);
        if self.circuit.is_open() {
            self.return_unsent(now);
            self.send_probe(now);
        } else {
            self.send_waiting(now);
        }
        mem::take(&mut self.actions)
    }

    /// When the next tick is due, if no input comes before.
    pub fn next_due(&mut self, now: Time) -> Option<Time> {
        if !self.actions.is_empty() {
            return Some(now);
        }
        let mut due = self.circuit.next_probe_at();
        let is_open = self.circuit.is_open();
        for entry in self.entries.values() {
            let State::Waiting { not_before } = entry.state else {
                continue;
            };
            due = earliest(due, Some(entry.deadline));
            let family = entry.family();
            if is_open || (family != Family::Watch && MAX_IN_FLIGHT <= self.in_flight) {
                continue;
            }
            let pause = self.paused_until(family).max(not_before);
            due = earliest(due, self.budget.ready_at(family, now).map(|it| it.max(pause)));
        }
        due
    }

    /// Whether an outage is under way.
    pub fn is_unavailable(&self) -> bool {
        self.circuit.is_open()
    }

    /// Totals since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    fn write_delay(&mut self) -> Duration {
        let longest = self.budget.write_spread();
        self.rng.random_range(Duration::ZERO..=longest)
    }

    fn update_health(&mut self, sent: CallId, outcome: &Outcome, now: Time) {
        let is_probe = sent == CallId::Probe;
        match outcome {
            Outcome::Answered(_) => self.record_success(now),
            Outcome::Refused { retry_after } => {
                self.pause(sent, retry_after.unwrap_or_default(), now);
                self.record_success(now);
            }
            Outcome::Unavailable { retry_after } => {
                self.record_failure(is_probe, retry_after.unwrap_or_default(), now);
            }
            // Guards against taking a platform that cuts its watches for one that is out: it may cut
            // them at any time, several at once. It shows as a pause of all calls, leases included,
            // right after. Whether the platform is out is told by the calls that follow.
            Outcome::Lost if self.is_watch(sent) => {}
            Outcome::Lost => self.record_failure(is_probe, Duration::ZERO, now),
        }
    }

    fn is_watch(&self, sent: CallId) -> bool {
        let CallId::Entry(class, number) = sent else { return false };
        self.entries.get(&(class, number)).is_some_and(|it| it.family() == Family::Watch)
    }

    fn record_success(&mut self, now: Time) {
        if self.circuit.record_success() {
            self.budget.reset_tokens(now, &mut self.rng);
        }
    }

    fn record_failure(&mut self, is_probe: bool, asked: Duration, now: Time) {
        let begins = self.circuit.record_failure(is_probe, asked, now, &mut self.rng);
        self.counts.outages += u64::from(begins);
    }

    fn pause(&mut self, sent: CallId, pause: Duration, now: Time) {
        let CallId::Entry(class, number) = sent else {
            return;
        };
        let Some(entry) = self.entries.get(&(class, number)) else {
            return;
        };
        let until = match entry.family() {
            Family::Write => &mut self.writes_paused_until,
            Family::Read | Family::Watch => &mut self.reads_paused_until,
        };
        *until = (*until).max(now + pause);
    }

    fn paused_until(&self, family: Family) -> Time {
        match family {
            Family::Write => self.writes_paused_until,
            Family::Read | Family::Watch => self.reads_paused_until,
        }
    }

    /// Guards against a read that goes back behind a write: a read in flight since before the write
    /// may hold the old value. It would show as a submitter that reads back less than it was told
    /// is stored. Reads that start later cannot hold the old value.
    fn forbid_joining(&mut self, answered: &Entry, reply: &Reply) {
        let (Call::Put { key, .. } | Call::Delete { key, .. }) = &answered.call else {
            return;
        };
        if matches!(reply, Reply::Failed(_)) {
            return;
        }
        for entry in self.entries.values_mut() {
            entry.forbid_joining(key);
        }
    }

    /// The answer for the submitters, or `None` when the call must go on.
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
        // Spread over twice the pause, so that those given back together do not return together.
        let retry_after = retry_after.max(MIN_RETRY_AFTER);
        let retry_after = self.rng.random_range(retry_after..=retry_after * 2);
        let failure = Failure::NotApplied { retry_after };
        self.actions.push(Action::Reply(ticket, Reply::Failed(failure)));
    }

    fn expire_waiting(&mut self, now: Time) {
        let late: Vec<Slot> = self
            .entries
            .iter()
            .filter(|(_, it)| it.is_waiting() && it.deadline <= now)
            .map(|(slot, _)| *slot)
            .collect();
        for slot in late {
            self.remove_waiting(slot, now);
        }
    }

    /// Guards against a storm at the end of an outage: calls that pile up would all go out when it
    /// ends. They go back at once instead, truthfully as not applied, with a spread time to return.
    /// Only lost answers stay, since their writes may have taken effect.
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
        let paused = self.paused_until(entry.family()).since(now);
        let retry_after = paused.max(self.circuit.retry_after(now));
        for ticket in entry.tickets {
            self.reply_not_applied(ticket, retry_after);
        }
    }

    fn send_probe(&mut self, now: Time) {
        if !self.circuit.start_probe_if_due(now) {
            return;
        }
        self.counts.reads += 1;
        let call = Call::Get(Key::new("probe", "probe"));
        self.actions.push(Action::Send(CallId::Probe, call));
    }

    fn send_waiting(&mut self, now: Time) {
        let slots: Vec<Slot> =
            self.entries.iter().filter(|(_, it)| it.is_due(now)).map(|(slot, _)| *slot).collect();
        let mut spent = Vec::new();
        for slot in slots {
            let Some(family) = self.entries.get(&slot).map(Entry::family) else {
                continue;
            };
            // Once a class finds its budget spent, a later class must not take what comes in.
            if spent.contains(&family) {
                continue;
            }
            if self.can_send(family, now) {
                self.send(slot);
            } else {
                spent.push(family);
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
