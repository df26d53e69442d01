//! What is followed in the platform's store: configuration, backend servers, named weights, and the
//! instances' own records.

mod call;
mod document;
mod era;
mod follower;
mod quarantine;
mod withheld;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use era::Era;
use follower::Follower;
use quarantine::Records;
use shallotlead_base::{hash::Map, id::Version, store::{Call, Change, Failure, Key, Object, Reply}, time::Time};
use shallotlead_platform::{budget::{Rates, Sharers}, scheduler::{Action, Scheduler, Ticket}};

use crate::{adapter::{Adapter, EntryVersion, ObjectKind}, clock, connectivity::Connectivity, core::Core, gossip::Member, quarantine::Identity, settings::Settings};

pub(crate) use document::{Document, unpack};
pub(crate) use follower::What;

/// Kind of the instances' own records.
const INSTANCE: &str = "instance";
/// Pause before a kind is followed again after a failure.
const AGAIN: Duration = Duration::from_millis(150);
/// Longest wait for the own record before the list of instances is read.
const REGISTERED_BY: Duration = Duration::from_millis(500);
/// How long after its start an instance reads which requests are in quarantine: by then those of a large fleet know
/// which of them watch the store, and the others hear of it from these.
const QUARANTINE_AFTER: Duration = Duration::from_millis(1_000);
/// Instances that share the store's rates until more is known: a herd that starts together must
/// not call at once.
const SHARERS: u32 = 8;
/// Watches that all instances together may hold: four for each of 420.
const WATCHES: u32 = 2_000;

/// What is known of the store's content, and the calls under way.
pub(crate) struct Storage {
    address: SocketAddr,
    scheduler: Scheduler,
    wants: Map<u64, Want>,
    next_ticket: u64,
    followed: Vec<Follower>,
    /// Whether the store answers this instance.
    pub(crate) connectivity: Connectivity,
    /// The configuration as it lies in the store, for instances that can't reach it.
    pub(crate) configuration: Option<Document>,
    /// Servers' entries as they lie in the store, for the same.
    pub(crate) entries: Map<Arc<str>, Entry>,
    /// All entries are known as they were at this revision.
    pub(crate) entries_until: u64,
    /// The named weights have been read once.
    pub(crate) has_weights: bool,
    /// Whether this instance is to watch the store: by itself, or for others.
    pub(crate) is_watcher: bool,
    register: Register,
    quarantine: Records,
    pub(crate) era: Era,
    /// Servers that aren't used though the store says that they are ready.
    withheld: withheld::Servers,
}

/// A server's entry as it lies in the store.
pub(crate) struct Entry {
    /// The revision of its last change.
    pub(crate) revision: u64,
    /// Its content; nothing once it was removed.
    pub(crate) value: Option<Arc<[u8]>>,
    /// The last beat that was read of the server, also after its removal.
    pub(crate) beat: Option<EntryVersion>,
}

/// Who told of something.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Source {
    /// The store.
    Store,
    /// Another instance.
    Instance,
}

impl Source {
    /// Its name in logs.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Instance => "instance",
        }
    }
}

/// What an answer is for.
#[derive(Clone, Copy, Debug)]
enum Want {
    Follow(usize),
    Lease,
    Register,
    Quarantine(Identity),
}

/// This instance's own record.
enum Register {
    /// To be written over this version.
    Due(Version, Time),
    Open,
    Done,
}

impl Storage {
    pub(crate) fn open(settings: &Settings, dialect: &dyn Adapter, seed: u64, now: Time) -> Self {
        let (reads, writes) = settings.store_calls_per_s;
        let rates = Rates { reads, writes, watches: WATCHES };
        let sharers = Sharers { instances: SHARERS, watchers: SHARERS };
        let subjects = [ObjectKind::Configuration, ObjectKind::Weights, ObjectKind::Servers];
        let followed =
            subjects.map(|it| Follower::open(dialect.kind_name(it), What::Subject(it), now));
        let mut followed = Vec::from(followed);
        // Read once this instance is registered: of two that start together, one knows the other.
        followed.push(Follower::open(INSTANCE, What::Instances, now + REGISTERED_BY));
        followed.push(Follower::open(quarantine::KIND, What::Records, now + QUARANTINE_AFTER));
        Self {
            address: settings.store,
            scheduler: Scheduler::new(rates, sharers, seed, now),
            wants: Map::default(),
            next_ticket: 0,
            followed,
            connectivity: Connectivity::new(now),
            configuration: None,
            entries: Map::default(),
            entries_until: 0,
            has_weights: false,
            is_watcher: true,
            register: Register::Due(Version(0), now),
            quarantine: Records::default(),
            era: Era::default(),
            withheld: withheld::Servers::default(),
        }
    }

    /// Whether the store doesn't answer this instance.
    pub(crate) fn is_away(&self) -> bool {
        self.connectivity.lost_since().is_some()
    }

    /// Time since the store last answered for each kind that is followed, after the first time.
    pub(crate) fn watch_ages(&self, now: Time) -> impl Iterator<Item = (&str, Duration)> {
        let heard = self.followed.iter().filter(|it| it.heard != Time::ZERO);
        heard.map(move |it| (&*it.kind, now.since(it.heard)))
    }

    /// The revision of what is known of a server's entry; zero if there was none.
    pub(crate) fn entry_revision(&self, server: &str) -> u64 {
        self.entries.get(server).map_or(0, |it| it.revision)
    }

    /// A server has written a later entry.
    pub(crate) fn stop_withholding(&mut self, server: &str) {
        self.withheld.remove(server);
    }

    /// Whether all entries have been read once, or were told by an instance that has read them.
    pub(crate) fn has_entries(&self) -> bool {
        0 < self.entries_until
    }

    /// When something is due.
    pub(crate) fn next(&mut self, now: Time) -> Option<Time> {
        let is_watcher = self.is_watcher;
        let is_due = |it: &&Follower| !it.is_open && it.is_followed(is_watcher);
        let followed = self.followed.iter().filter(is_due).map(|it| it.next).min();
        [self.scheduler.next(now), followed, self.quarantine.next()].into_iter().flatten().min()
    }

    /// The fleet is small: there is no wait for others that might watch in place of this instance.
    fn settled(&mut self, now: Time) {
        for it in self.followed.iter_mut().filter(|it| it.revision.is_some()) {
            it.next = it.next.min(now);
        }
    }

    /// The own record is in the store: there is no wait for it before the list of instances is read.
    fn recorded(&mut self, now: Time) {
        let instances = self.followed.iter_mut().find(|it| it.what == What::Instances);
        if let Some(it) = instances.filter(|it| it.heard == Time::ZERO) {
            it.next = it.next.min(now);
        }
    }

    /// How many instances share the store's rates.
    pub(crate) fn set_sharers(&mut self, instances: u32, now: Time) {
        let instances = instances.max(SHARERS);
        self.scheduler.set_sharers(Sharers { instances, watchers: instances }, now);
    }

    fn submit(&mut self, now: Time, want: Want, call: Call) {
        self.next_ticket += 1;
        self.wants.insert(self.next_ticket, want);
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
        for index in 0..self.storage.followed.len() {
            let it = &mut self.storage.followed[index];
            if it.is_open || now < it.next {
                continue;
            }
            let is_followed = it.is_followed(is_watcher);
            let is_missed =
                needs_configuration && it.what == What::Subject(ObjectKind::Configuration);
            if !is_followed && !is_missed {
                continue;
            }
            if !is_followed {
                it.revision = None;
            }
            it.is_open = true;
            let call = it.call(is_large);
            self.storage.submit(now, Want::Follow(index), call);
        }
        // A holder that doesn't know the named weights would overwrite what the record tells of them.
        let rank = if self.storage.has_weights { self.members.lease_rank(now) } else { usize::MAX };
        if self.lease.may_write(now, rank) && !self.storage.is_away() {
            self.lease.set_known_until(clock::unix_ms());
        }
        if let Some(call) = self.lease.tick(now, rank) {
            self.storage.submit(now, Want::Lease, call);
        }
        self.tick_quarantine();
        self.tick_era();
        for action in self.storage.scheduler.tick(now) {
            match action {
                Action::Send(sent, call) => self.send_call(sent, call),
                Action::Reply(ticket, reply) => self.store_reply(ticket, &reply),
            }
        }
    }

    fn register(&mut self) {
        let Register::Due(version, at) = self.storage.register else { return };
        if self.now < at {
            return;
        }
        let value = serde_json::to_vec(self.members.me()).unwrap_or_default();
        let key = Key::new(INSTANCE, &self.settings.name);
        let call = Call::Put { key, expected: version, value: value.into() };
        self.storage.register = Register::Open;
        self.storage.submit(self.now, Want::Register, call);
    }

    fn store_reply(&mut self, ticket: Ticket, reply: &Reply) {
        let now = self.now;
        match self.storage.wants.remove(&ticket.0) {
            Some(Want::Follow(index)) => self.followed(index, reply),
            Some(Want::Lease) => {
                let was_held = self.lease.is_held(now);
                let rank = self.members.lease_rank(now);
                let named = self.lease.handle_reply(now, rank, reply);
                self.weights_dated(&named);
                if self.lease.is_held(now) != was_held {
                    self.journal
                        .line(now, "lease")
                        .number("is_held", !was_held)
                        .text("reply", reply_name(reply))
                        .number("rank", rank);
                }
            }
            Some(Want::Register) => self.registered(reply),
            Some(Want::Quarantine(identity)) => self.quarantine_stored(identity, reply),
            None => {}
        }
    }

    fn registered(&mut self, reply: &Reply) {
        self.storage.register = match reply {
            Reply::Done(_) => Register::Done,
            Reply::Conflict(Some(object)) if self.is_registered(object) => Register::Done,
            Reply::Conflict(object) => {
                Register::Due(object.as_ref().map_or(Version(0), |it| it.version), self.now)
            }
            Reply::Failed(_) | Reply::Got(_) | Reply::Listed { .. } | Reply::Changed { .. } => {
                Register::Due(Version(0), self.now + AGAIN)
            }
        };
        if matches!(self.storage.register, Register::Done) {
            self.storage.recorded(self.now);
        }
    }

    /// Whether the record of an earlier life leads others to this one: it is where they ask first, and hear the
    /// rest from this instance itself.
    fn is_registered(&self, object: &Object) -> bool {
        let me = self.members.me();
        let known = serde_json::from_slice::<Member>(&object.value);
        known.is_ok_and(|it| {
            (it.peers, it.callers, it.centre) == (me.peers, me.callers, me.centre.clone())
        })
    }

    fn followed(&mut self, index: usize, reply: &Reply) {
        let now = self.now;
        let is_large = self.members.is_large();
        let follower = &mut self.storage.followed[index];
        follower.is_open = false;
        follower.next = now + follower.pause(is_large);
        let what = follower.what;
        if matches!(reply, Reply::Listed { .. } | Reply::Changed { .. }) {
            follower.heard = now;
        }
        let before = follower.revision;
        match reply {
            Reply::Listed { objects, version } => {
                follower.revision = Some(*version);
                self.storage.era.listed(&follower.kind);
                if what == What::Subject(ObjectKind::Configuration) {
                    self.peers.catchup.reset();
                }
                self.take_list(what, objects, *version);
                self.has_read(what, before, *version);
            }
            Reply::Changed { changes, version } => {
                follower.revision = Some(*version);
                let is_removal = |it: &&Change| matches!(it, Change::Delete(..));
                let removals = changes.iter().filter(is_removal).count();
                if what == What::Subject(ObjectKind::Servers) {
                    self.pool.note_mass_expiry(now, removals);
                    changes.iter().for_each(|it| self.tell_known(it));
                }
                for change in changes {
                    match change {
                        Change::Put(object) => self.take_object(what, object),
                        Change::Delete(key, version) => self.take_removal(what, key, *version),
                    }
                }
                self.has_read(what, before, *version);
            }
            Reply::Failed(Failure::Compacted) => {
                self.journal.line(now, "history_lost").text("kind", &follower.kind);
                follower.revision = None;
            }
            Reply::Failed(Failure::NotApplied { retry_after }) => {
                follower.next = now + (*retry_after).min(AGAIN * 4);
            }
            Reply::Failed(Failure::Unknown)
            | Reply::Got(_)
            | Reply::Done(_)
            | Reply::Conflict(_) => follower.next = now + AGAIN,
        }
    }

    /// The store was read up to `version`: what changed after `before`, or all.
    fn has_read(&mut self, what: What, before: Option<Version>, version: Version) {
        match what {
            What::Subject(ObjectKind::Servers) => {
                self.storage.entries_until = version.0;
                self.peers.reading.read(before.map(|it| it.0), version.0);
            }
            // A list tells how large the fleet is, and so whether this instance watches on.
            What::Instances => {
                self.update_watching();
                if !self.members.is_large() {
                    self.storage.settled(self.now);
                }
            }
            What::Subject(ObjectKind::Configuration) => {
                self.configuration_confirmed(before.is_some())
            }
            What::Subject(ObjectKind::Weights) => self.storage.has_weights = true,
            What::Records => {}
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
