//! Mirrors what this instance needs from the platform's store: the configuration, backend servers,
//! published weights, and the instances' own records.

mod builds;
mod call;
mod document;
mod era;
mod open_streams;
mod pages;
mod quarantine;
mod subscription;
mod withheld;

use std::{mem, net::SocketAddr, sync::Arc, time::Duration};

use shallotlead_base::{
    hash::Map,
    id::Version,
    store::{Call, Change, Failure, Key, Object, Reply},
    time::Time,
};
use shallotlead_platform::{
    budget::{Rates, Sharers},
    scheduler::{Action, Scheduler, Ticket},
};

use crate::{
    adapter::{Adapter, EntryVersion, ObjectKind},
    connectivity::Connectivity,
    core::Core,
    gossip::Member,
    quarantine::Identity,
    settings::Settings,
};

use builds::Builds;
pub(crate) use document::{Document, decompress};
use era::Era;
use open_streams::Journal;
pub(crate) use pages::Pages;
use quarantine::Records;
use subscription::Subscription;
pub(crate) use subscription::{Basis, Topic};

/// Kind of the instances' own records.
const INSTANCE_KIND: &str = "instance";
/// Delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Longest wait for this instance's own record to be written before the instances are listed.
const REGISTRATION_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay after the start before the quarantine records are read, unless the fleet is found to be small. By then the
/// instances of a large fleet know which of them watch the store; the others receive the records from those.
const QUARANTINE_READ_DELAY: Duration = Duration::from_millis(1_000);
/// Least number of instances among which the store's rates are shared. Until the fleet's size is
/// known, many instances that start together must not all call at once.
const MIN_SHARERS: u32 = 8;
/// Watches that all instances together may hold: four for each of 420 instances.
const MAX_WATCHES: u32 = 2_000;

/// The mirrored content of the store, and the calls in flight.
pub(crate) struct Storage {
    address: SocketAddr,
    scheduler: Scheduler,
    pending: Map<u64, Pending>,
    next_ticket: u64,
    subscriptions: Vec<Subscription>,
    /// Whether the store answers this instance.
    pub(crate) connectivity: Connectivity,
    /// The configuration as stored, for instances that can't reach the store.
    pub(crate) configuration: Option<Document>,
    /// Servers' entries as stored, for instances that can't reach the store.
    pub(crate) entries: Map<Arc<str>, Entry>,
    /// Store revision up to which all entries are known.
    pub(crate) entries_synced_to: u64,
    /// Whether the published weights have been read at least once.
    pub(crate) has_read_weights: bool,
    /// The version of each model's weights that the store listed or reported last.
    pub(crate) stored_weights: Map<Arc<str>, u64>,
    /// Whether this instance watches the store, for itself or on behalf of others.
    pub(crate) is_watcher: bool,
    registration: Registration,
    /// Whether no record of this instance was found when it was registered.
    is_new_instance: bool,
    quarantine: Records,
    pub(crate) builds: Builds,
    pub(crate) journal: Journal,
    pub(crate) era: Era,
    /// Servers that must not be used although the store lists them as ready.
    withheld: withheld::Servers,
}

/// A server's entry as stored.
pub(crate) struct Entry {
    /// The revision of its last change.
    pub(crate) revision: u64,
    /// Its content; `None` once it was removed.
    pub(crate) value: Option<Arc<[u8]>>,
    /// The last version that the server itself gave one of its entries; kept after the entry's
    /// removal.
    pub(crate) written_version: Option<EntryVersion>,
}

/// Where a piece of information came from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Source {
    /// Read from the store.
    Store,
    /// Received from another instance.
    Instance,
    /// Read from the lease record.
    Record,
}

impl Source {
    /// The name used in log lines.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Instance => "instance",
            Self::Record => "record",
        }
    }
}

/// The purpose of a call in flight.
#[derive(Clone, Copy, Debug)]
enum Pending {
    /// The list or watch of the subscription with this index.
    Read(usize),
    Lease,
    Register,
    Quarantine(Identity),
    /// The record of builds with this index.
    Builds(usize),
    OpenStreams,
}

/// State of this instance's own record in the store.
enum Registration {
    /// To be written over this version, at this time.
    Due(Version, Time),
    InFlight,
    Done,
}

impl Storage {
    pub(crate) fn new(settings: &Settings, adapter: &dyn Adapter, seed: u64, now: Time) -> Self {
        let (reads, writes) = settings.store_calls_per_s;
        let rates = Rates { reads, writes, watches: MAX_WATCHES };
        let sharers = Sharers { instances: MIN_SHARERS, watchers: MIN_SHARERS };
        let kinds = [ObjectKind::Configuration, ObjectKind::Weights, ObjectKind::Servers];
        let subscriptions =
            kinds.map(|it| Subscription::new(adapter.kind_name(it), Topic::Platform(it), now));
        let mut subscriptions = Vec::from(subscriptions);
        // Listed after this instance is registered, so that of two that start together at least one
        // finds the other.
        subscriptions.push(Subscription::new(
            INSTANCE_KIND,
            Topic::Instances,
            now + REGISTRATION_TIMEOUT,
        ));
        subscriptions.push(Subscription::new(
            quarantine::KIND,
            Topic::Records,
            now + QUARANTINE_READ_DELAY,
        ));
        Self {
            address: settings.store,
            scheduler: Scheduler::new(rates, sharers, seed, now),
            pending: Map::default(),
            next_ticket: 0,
            subscriptions,
            connectivity: Connectivity::new(now),
            configuration: None,
            entries: Map::default(),
            entries_synced_to: 0,
            has_read_weights: false,
            stored_weights: Map::default(),
            is_watcher: true,
            registration: Registration::Due(Version(0), now),
            is_new_instance: true,
            quarantine: Records::default(),
            builds: Builds::default(),
            journal: Journal::default(),
            era: Era::default(),
            withheld: withheld::Servers::default(),
        }
    }

    /// Whether the store currently doesn't answer this instance.
    pub(crate) fn is_unreachable(&self) -> bool {
        self.connectivity.lost_since().is_some()
    }

    /// Time since the store's last answer for each subscribed kind that was answered at least once.
    pub(crate) fn watch_ages(&self, now: Time) -> impl Iterator<Item = (&str, Duration)> {
        let answered = self.subscriptions.iter().filter(|it| it.last_answer != Time::ZERO);
        answered.map(move |it| (&*it.kind, now.since(it.last_answer)))
    }

    /// The known revision of a server's entry; zero if there is none.
    pub(crate) fn entry_revision(&self, server: &str) -> u64 {
        self.entries.get(server).map_or(0, |it| it.revision)
    }

    /// Stops withholding a server, which has written a later entry.
    pub(crate) fn stop_withholding(&mut self, server: &str) {
        self.withheld.remove(server);
    }

    /// How long the watch of a kind that is about to be sent may wait; at most `wait`.
    fn watch_timeout(&self, kind: &str, wait: Duration) -> Duration {
        let subscription = self.subscriptions.iter().find(|it| *it.kind == *kind);
        let wait = subscription.map_or(wait, |it| it.watch_timeout(wait));
        self.connectivity.watch_timeout(wait)
    }

    /// Records that a call for a kind has failed.
    fn mark_interrupted(&mut self, kind: &str) {
        let subscription = self.subscriptions.iter_mut().find(|it| *it.kind == *kind);
        if let Some(it) = subscription {
            it.fail_call();
        }
    }

    /// The subscription that a list is for.
    fn listed(&self, call: &Call) -> Option<&Subscription> {
        let Call::List { kind } = call else { return None };
        self.subscriptions.iter().find(|it| it.kind == *kind)
    }

    /// The same, for updates.
    fn listed_mut(&mut self, call: &Call) -> Option<&mut Subscription> {
        let Call::List { kind } = call else { return None };
        self.subscriptions.iter_mut().find(|it| it.kind == *kind)
    }

    /// The pages of a list that were read so far.
    fn pages(&self, call: &Call) -> Option<&Pages> {
        self.listed(call).map(|it| &it.pages)
    }

    /// Whether a kind has to be listed and that fails.
    pub(crate) fn is_list_failing(&self, kind: ObjectKind) -> bool {
        let mut subscriptions = self.subscriptions.iter();
        subscriptions.any(|it| it.topic == Topic::Platform(kind) && it.is_list_failing())
    }

    /// What a list is read for, and what its pages show about the changes on them.
    pub(crate) fn list_source(&self, call: &Call) -> Option<(Topic, Basis)> {
        self.listed(call).map(|it| (it.topic, it.list_basis()))
    }

    /// Adds a page of a list. Returns the version up to which all pages show every change.
    pub(crate) fn add_page(
        &mut self,
        call: &Call,
        objects: usize,
        servers: Vec<Arc<str>>,
        version: Version,
    ) -> Version {
        let subscription = self.listed_mut(call);
        subscription.map_or(version, |it| it.pages.add(objects, servers, version))
    }

    /// Makes a list begin with its first page again.
    fn discard_pages(&mut self, call: &Call) {
        if let Some(it) = self.listed_mut(call) {
            it.pages = Pages::default();
        }
    }

    /// Gives up a list.
    fn reject_list(&mut self, call: &Call) {
        if let Some(it) = self.listed_mut(call) {
            it.reject_list();
        }
    }

    /// Makes a list go on after a name. Returns false if it has done so before.
    fn advance_list(&mut self, call: &Call, after: &str) -> bool {
        self.listed_mut(call).is_some_and(|it| it.pages.advance(after))
    }

    /// Until when all published weights are known.
    pub(crate) fn weights_known_until(&self, now: Time) -> Option<Time> {
        let is_weights = |it: &&Subscription| it.topic == Topic::Platform(ObjectKind::Weights);
        self.subscriptions.iter().find(is_weights)?.known_until(now)
    }

    /// Whether all entries are known, from the store or from an instance that has read them.
    pub(crate) fn has_all_entries(&self) -> bool {
        0 < self.entries_synced_to
    }

    /// When the next call is due.
    pub(crate) fn next_due(&mut self, now: Time) -> Option<Time> {
        let is_watcher = self.is_watcher;
        let is_due = |it: &&Subscription| !it.is_in_flight && it.is_active(is_watcher);
        let next_read = self.subscriptions.iter().filter(is_due).map(|it| it.next_at).min();
        let journal = self.journal.next_due(self.builds.is_mixed());
        let records = [self.quarantine.next_due(), self.builds.next_due(), journal];
        [self.scheduler.next_due(now), next_read].into_iter().chain(records).flatten().min()
    }

    /// Skips the delays after the start: in a small fleet no other instance watches or reads in place of this one.
    fn skip_start_delays(&mut self, now: Time) {
        let is_delayed =
            |it: &&mut Subscription| it.revision.is_some() || it.topic == Topic::Records;
        for it in self.subscriptions.iter_mut().filter(is_delayed) {
            it.next_at = it.next_at.min(now);
        }
    }

    /// Watches the servers' entries in place of another instance, from the revision on up to which they are known from
    /// the watchers before. Those have announced what is older.
    pub(crate) fn take_over_watch(&mut self) {
        let known = Version(self.entries_synced_to);
        let is_servers = |it: &&mut Subscription| it.topic == Topic::Platform(ObjectKind::Servers);
        let servers = self.subscriptions.iter_mut().find(is_servers);
        if let Some(it) = servers.filter(|it| !it.is_in_flight) {
            it.advance(known);
        }
    }

    /// Lists the instances without further delay, as this instance's own record is written.
    fn list_instances_now(&mut self, now: Time) {
        let instances = self.subscriptions.iter_mut().find(|it| it.topic == Topic::Instances);
        if let Some(it) = instances.filter(|it| it.last_answer == Time::ZERO) {
            it.next_at = it.next_at.min(now);
        }
    }

    /// Sets among how many instances the store's rates are shared.
    pub(crate) fn set_sharers(&mut self, instances: u32, now: Time) {
        let instances = instances.max(MIN_SHARERS);
        self.scheduler.set_sharers(Sharers { instances, watchers: instances }, now);
    }

    fn submit(&mut self, now: Time, purpose: Pending, call: Call) {
        self.next_ticket += 1;
        self.pending.insert(self.next_ticket, purpose);
        self.scheduler.submit(Ticket(self.next_ticket), call, now);
    }
}

impl Core {
    pub(crate) fn tick_storage(&mut self) {
        self.register();
        let now = self.now;
        let is_watcher = self.storage.is_watcher;
        let is_large = self.members.is_large();
        let needs_configuration = self.peers.catchup.needs_store(now);
        for index in 0..self.storage.subscriptions.len() {
            let it = &mut self.storage.subscriptions[index];
            if it.is_in_flight || now < it.next_at {
                continue;
            }
            let is_active = it.is_active(is_watcher);
            let is_needed =
                needs_configuration && it.topic == Topic::Platform(ObjectKind::Configuration);
            if !is_active && !is_needed {
                continue;
            }
            if !is_active {
                it.revision = None;
            }
            it.start_call(now);
            let call = it.next_call(is_large);
            self.storage.submit(now, Pending::Read(index), call);
        }
        // A lease holder that hasn't read the published weights would overwrite the publication
        // times in the lease record.
        let rank =
            if self.storage.has_read_weights { self.members.lease_rank(now) } else { usize::MAX };
        let is_write_due = self.lease.may_write(now, rank) && !self.storage.is_unreachable();
        if mem::take(&mut self.has_new_publications) || is_write_due {
            self.record_publications();
        }
        if let Some(call) = self.lease.tick(now, rank) {
            self.storage.submit(now, Pending::Lease, call);
        }
        self.tick_quarantine();
        self.tick_builds();
        self.tick_open_streams();
        self.tick_era();
        for action in self.storage.scheduler.tick(now) {
            match action {
                Action::Send(sent, call) => self.send_call(sent, call),
                Action::Reply(ticket, reply) => self.handle_store_reply(ticket, &reply),
            }
        }
    }

    fn register(&mut self) {
        let Registration::Due(version, at) = self.storage.registration else { return };
        if self.now < at {
            return;
        }
        let value = serde_json::to_vec(self.members.me()).unwrap_or_default();
        let key = Key::new(INSTANCE_KIND, &self.settings.name);
        let call = Call::Put { key, expected: version, value: value.into() };
        self.storage.registration = Registration::InFlight;
        self.storage.submit(self.now, Pending::Register, call);
    }

    fn handle_store_reply(&mut self, ticket: Ticket, reply: &Reply) {
        let now = self.now;
        match self.storage.pending.remove(&ticket.0) {
            Some(Pending::Read(index)) => self.handle_subscription_reply(index, reply),
            Some(Pending::Lease) => {
                let was_held = self.lease.is_held(now);
                let rank = self.members.lease_rank(now);
                let recorded = self.lease.handle_reply(now, rank, reply);
                self.apply_recorded_publications(&recorded);
                if self.lease.is_held(now) != was_held {
                    self.log
                        .line(now, "lease")
                        .number("is_held", !was_held)
                        .text("reply", reply_name(reply))
                        .number("rank", rank);
                }
            }
            Some(Pending::Register) => self.handle_registration_reply(reply),
            Some(Pending::Quarantine(identity)) => self.handle_record_reply(identity, reply),
            Some(Pending::Builds(index)) => self.handle_builds_reply(index, reply),
            Some(Pending::OpenStreams) => self.handle_open_streams_reply(reply),
            None => {}
        }
    }

    fn handle_registration_reply(&mut self, reply: &Reply) {
        self.storage.registration = match reply {
            Reply::Done(_) => Registration::Done,
            Reply::Conflict(Some(object)) if self.is_own_record(object) => Registration::Done,
            Reply::Conflict(object) => {
                Registration::Due(object.as_ref().map_or(Version(0), |it| it.version), self.now)
            }
            Reply::Failed(_) | Reply::Got(_) | Reply::Listed { .. } | Reply::Changed { .. } => {
                Registration::Due(Version(0), self.now + RETRY_DELAY)
            }
        };
        self.storage.is_new_instance &= matches!(reply, Reply::Done(_));
        if matches!(self.storage.registration, Registration::Done) {
            self.storage.list_instances_now(self.now);
            self.enter_fleet_if_listed();
        }
    }

    /// Takes a share of the fleet's allowances once this instance is registered and knows who else is.
    fn enter_fleet_if_listed(&mut self) {
        let is_registered = matches!(self.storage.registration, Registration::Done);
        let instances = self.storage.subscriptions.iter().find(|it| it.topic == Topic::Instances);
        if is_registered && instances.is_some_and(|it| it.last_answer != Time::ZERO) {
            self.members.enter_fleet(self.storage.is_new_instance);
        }
    }

    /// Whether a record that an earlier process has written still has the right addresses. Other
    /// instances learn everything else from this instance itself.
    fn is_own_record(&self, object: &Object) -> bool {
        let me = self.members.me();
        let known = serde_json::from_slice::<Member>(&object.value);
        known.is_ok_and(|it| {
            (it.peers, it.callers, it.centre) == (me.peers, me.callers, me.centre.clone())
        })
    }

    fn handle_subscription_reply(&mut self, index: usize, reply: &Reply) {
        let now = self.now;
        let is_large = self.members.is_large();
        let subscription = &mut self.storage.subscriptions[index];
        subscription.is_in_flight = false;
        subscription.next_at = now + subscription.delay(is_large);
        let topic = subscription.topic;
        let before = subscription.revision;
        match reply {
            Reply::Listed { .. } if subscription.pages.has_more() => subscription.next_at = now,
            Reply::Listed { version, .. } => {
                subscription.finish_call(now, false);
                subscription.revision = Some(*version);
                let pages = mem::take(&mut subscription.pages);
                self.storage.era.mark_listed(&subscription.kind);
                if topic == Topic::Platform(ObjectKind::Configuration) {
                    self.peers.catchup.reset();
                }
                if topic == Topic::Platform(ObjectKind::Servers) {
                    self.remove_unlisted(&pages, *version);
                }
                self.finish_read(topic, before, *version);
            }
            Reply::Changed { changes, version } => {
                let basis = subscription.finish_call(now, true);
                subscription.revision = Some(*version);
                let is_removal = |it: &&Change| matches!(it, Change::Delete(..));
                let removals = changes.iter().filter(is_removal).count();
                if topic == Topic::Platform(ObjectKind::Servers) {
                    let is_steady = self.storage.connectivity.is_steady(now);
                    self.pool.check_mass_expiry(now, removals, is_steady);
                    changes.iter().for_each(|it| self.relay_known_entry(it));
                }
                for change in changes {
                    match change {
                        Change::Put(object) => self.apply_object(topic, object, basis),
                        Change::Delete(key, version) => {
                            self.apply_removal(topic, key, *version, basis);
                        }
                    }
                }
                self.finish_read(topic, before, *version);
            }
            Reply::Failed(Failure::Compacted) => {
                self.log.line(now, "history_lost").text("kind", &subscription.kind);
                subscription.fail_call();
                subscription.revision = None;
                subscription.pages = Pages::default();
            }
            Reply::Failed(Failure::NotApplied { retry_after }) => {
                subscription.fail_call();
                let delay = (*retry_after).min(RETRY_DELAY * 4).max(subscription.list_delay());
                subscription.next_at = now + delay;
            }
            Reply::Failed(Failure::Unknown)
            | Reply::Got(_)
            | Reply::Done(_)
            | Reply::Conflict(_) => {
                subscription.fail_call();
                subscription.next_at = now + RETRY_DELAY;
            }
        }
    }

    /// Called when the store was read up to `version`: all changes after `before`, or a full list
    /// if `before` is `None`.
    fn finish_read(&mut self, topic: Topic, before: Option<Version>, version: Version) {
        match topic {
            Topic::Platform(ObjectKind::Servers) => {
                self.storage.entries_synced_to = version.0;
                self.peers.outbox.mark_read(before.map(|it| it.0), version.0);
            }
            // The list shows the size of the fleet, which decides whether this instance keeps
            // watching.
            Topic::Instances => {
                self.enter_fleet_if_listed();
                self.update_watching();
                if !self.members.is_large() {
                    self.storage.skip_start_delays(self.now);
                }
            }
            Topic::Platform(ObjectKind::Configuration) => {
                self.record_confirmation(before.is_some())
            }
            Topic::Platform(ObjectKind::Weights) => self.storage.has_read_weights = true,
            Topic::Records => {}
        }
    }
}

fn reply_name(reply: &Reply) -> &'static str {
    match reply {
        Reply::Got(_) => "got",
        Reply::Done(_) => "done",
        Reply::Conflict(_) => "conflict",
        Reply::Listed { .. } => "listed",
        Reply::Changed { .. } => "changed",
        Reply::Failed(_) => "failed",
    }
}
