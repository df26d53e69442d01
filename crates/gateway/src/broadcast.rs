//! Spreads updates quickly to all instances, also of a large fleet.
//!
//! The worst loads are one instance with dozens of updates per second, as in a rollout, and hundreds of instances
//! with one update each at the same moment, as when all start.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use rand::{Rng, seq::SliceRandom};
use serde::{Deserialize, Serialize};
use shallotlead_base::{hash::Map, time::Time};

use crate::{
    catchup::Peer,
    gossip::{LimitReport, Loading, Member, Members},
    quarantine::{Identity, IncarnationId},
};

/// How long an update is repeated, to make up for lost datagrams.
const REPEATED_FOR: Duration = Duration::from_secs(5);
/// Relays per data centre to which the origin of an update sends it; each relays it within its data centre. One of
/// them may be dead without being known to be.
const RELAYS_PER_CENTRE: usize = 2;
/// How often each instance repeats an update, each time to three others. An instance that neither relay reached gets
/// it nine times on average from the rest.
const MAX_REPEATS: u32 = 3;
/// Maximum number of updates in one repeat message: 60 of about 35 bytes stay near 2 KB.
const MAX_REPEATED_UPDATES: usize = 60;
/// Minimum interval between two pushes; updates within it are sent together.
const PUSH_INTERVAL: Duration = Duration::from_millis(20);
/// An identical update counts as a new one if it originated at least this much later. Within this time it may be the
/// same update received by another path, as an update's age does not include network delay.
const REANNOUNCED_AFTER: Duration = Duration::from_secs(1);
/// Share of the instance's link that pushes may use.
const LINK_SHARE: f64 = 0.25;

/// A change to one server or instance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Update {
    /// A server has begun to shut down, as of this store revision.
    Leaving(Arc<str>, u64),
    /// A server is loading weights, or has loaded them.
    Loading(Loading),
    /// A server has just stopped responding to the origin. Receivers probe it themselves, as the origin may be the
    /// one that is cut off.
    Unresponsive(Arc<str>),
    /// An instance has a newer configuration.
    Configuration(Peer),
    /// An instance is shutting down, or has lost or regained the store.
    Instance(Box<Member>),
    /// The store of cached prompts at this address is alive, or is not.
    CacheStore(SocketAddr, bool),
    /// Requests that were in progress on a server incarnation that crashed.
    Crashed(IncarnationId, Vec<Identity>),
    /// A request is no longer suspected of crashing servers.
    Released(Identity),
    /// A server advertises a rate limit, changes it, or no longer has one.
    LimitChange(LimitReport),
    /// A server incarnation has said that it drains. Nobody takes that back.
    Draining(IncarnationId),
    /// A server incarnation wants no requests of the origin for this time in ms.
    Backoff(IncarnationId, u32),
    /// A server names how many rejections a second it bears, or no longer does.
    Tolerance(LimitReport),
}

impl Update {
    /// Whether earlier releases can't decode it, so that it is sent apart from the others.
    pub(crate) fn is_extension(&self) -> bool {
        matches!(self, Self::Draining(_) | Self::Backoff(..) | Self::Tolerance(_))
    }

    fn subject(&self) -> Subject {
        match self {
            Self::Leaving(server, _) => Subject::Leaving(server.clone()),
            Self::Loading(it) => Subject::Loading(it.server.clone()),
            Self::Unresponsive(server) => Subject::Unresponsive(server.clone()),
            Self::Configuration(it) => Subject::Configuration(it.address),
            Self::Instance(it) => Subject::Instance(it.name.clone()),
            Self::CacheStore(address, _) => Subject::CacheStore(*address),
            Self::Crashed(incarnation, identities) => {
                Subject::Crashed(*incarnation, identities.clone())
            }
            Self::Released(identity) => Subject::Released(*identity),
            Self::LimitChange(it) => Subject::LimitChange(it.server.clone()),
            Self::Draining(incarnation) => Subject::Draining(*incarnation),
            Self::Backoff(incarnation, _) => Subject::Backoff(*incarnation),
            Self::Tolerance(it) => Subject::Tolerance(it.server.clone()),
        }
    }

    /// Whether it is repeated. Unresponsive servers and available configurations are soon outdated, and quarantine
    /// records are exchanged separately.
    fn is_lasting(&self) -> bool {
        match self {
            Self::Unresponsive(_)
            | Self::Configuration(_)
            | Self::Crashed(..)
            | Self::Released(_) => false,
            Self::Leaving(..)
            | Self::Loading(_)
            | Self::Instance(_)
            | Self::CacheStore(..)
            | Self::LimitChange(_)
            | Self::Draining(_)
            | Self::Backoff(..)
            | Self::Tolerance(_) => true,
        }
    }

    /// Whether both carry the same content, apart from their heartbeats.
    fn has_same_content(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Instance(a), Self::Instance(b)) => a.has_same_state(b),
            _ => self == other,
        }
    }
}

/// An update with its age.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Aged {
    /// The update as its origin sent it.
    pub update: Update,
    /// Time since the origin sent it in ms, as far as known.
    pub age_ms: u32,
}

impl Aged {
    /// The same update, `later` older.
    pub fn aged_by(self, later: Duration) -> Self {
        let age_ms = self.age_ms.saturating_add(later.as_millis() as u32);
        Self { age_ms, ..self }
    }

    /// The update with what remains of its validity; `None` if it has expired.
    pub fn unexpired(&self) -> Option<Update> {
        match &self.update {
            Update::Loading(it) if 0 < it.valid_ms => {
                let valid_ms = it.valid_ms.checked_sub(self.age_ms).filter(|it| 0 < *it)?;
                Some(Update::Loading(Loading { valid_ms, ..it.clone() }))
            }
            Update::Backoff(incarnation, for_ms) => {
                let left = for_ms.checked_sub(self.age_ms).filter(|it| 0 < *it)?;
                Some(Update::Backoff(*incarnation, left))
            }
            other => Some(other.clone()),
        }
    }
}

/// What an update is about. A later update replaces an earlier one on the same subject.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Subject {
    Leaving(Arc<str>),
    Loading(Arc<str>),
    Unresponsive(Arc<str>),
    Configuration(SocketAddr),
    Instance(Arc<str>),
    CacheStore(SocketAddr),
    Crashed(IncarnationId, Vec<Identity>),
    Released(Identity),
    LimitChange(Arc<str>),
    Draining(IncarnationId),
    Backoff(IncarnationId),
    Tolerance(Arc<str>),
}

/// How far an update is sent.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Reach {
    /// The own data centre.
    Centre,
    /// All data centres.
    Fleet,
}

#[derive(Debug)]
struct Entry {
    update: Update,
    /// When its origin sent it.
    at: Time,
    repeats: u32,
    /// How far it is yet to be pushed.
    pending: Option<Reach>,
}

impl Entry {
    /// Whether `other`, on the same subject, is not newer than this.
    fn is_not_older(&self, other: &Self) -> bool {
        let slack = if self.update.has_same_content(&other.update) {
            REANNOUNCED_AFTER
        } else {
            Duration::ZERO
        };
        other.at < self.at + slack
    }

    fn aged(&self, now: Time) -> Aged {
        Aged { update: self.update.clone(), age_ms: now.since(self.at).as_millis() as u32 }
    }
}

/// A message that is due.
#[derive(Debug)]
pub struct Push {
    /// Addresses of the receivers.
    pub targets: Vec<SocketAddr>,
    /// Updates that it carries.
    pub updates: Vec<Aged>,
    /// Whether the receivers must relay the updates within their data centres.
    pub needs_relay: bool,
}

/// The updates that an instance has recently received, and those that it has yet to send.
///
/// Guards against an origin that saturates its own link. When each update went to half of a fleet of 295 together
/// with all updates of the last five seconds, the instance that rolled out weights queued 256 ms of datagrams per
/// finished load, lost its lease behind its own full link after 2.4 s, and 48 of 204 servers were loaded instead of
/// all. An update goes from its origin to two relays per data centre, and from these to their neighbours: the
/// origin sends two messages per data centre, each instance receives and repeats an update twice on average, and
/// sending is paced to the link.
#[derive(Debug, Default)]
pub struct Queue {
    entries: Map<Subject, Entry>,
    /// Subjects of the updates that are yet to be pushed.
    pending: Vec<Subject>,
    /// How far the versions that each message carries are to be announced.
    announced_reach: Option<Reach>,
    next_push_at: Time,
}

impl Queue {
    /// Adds an update of which this instance is the origin, to be sent as far as `reach`.
    pub fn enqueue(&mut self, now: Time, update: Update, reach: Reach) {
        self.add(now, update, Some(reach));
    }

    /// Adds an update received from another instance, to be relayed as far as `reach`.
    ///
    /// Guards against echoes: an update that is received again would count as new and be repeated forever, and messages
    /// would be full of old updates. An update's age counts from when its origin sent it.
    pub fn accept(&mut self, now: Time, received: &Aged, reach: Option<Reach>) {
        let age = Duration::from_millis(u64::from(received.age_ms));
        if age < REPEATED_FOR {
            self.add(now - age, received.update.clone(), reach);
        }
    }

    fn add(&mut self, at: Time, update: Update, reach: Option<Reach>) {
        let subject = update.subject();
        let entry = Entry { update, at, repeats: 0, pending: None };
        let entry = match self.entries.remove(&subject) {
            Some(it) if it.is_not_older(&entry) => it,
            Some(it) => Entry { pending: it.pending, ..entry },
            None => entry,
        };
        let pending = entry.pending.max(reach);
        if entry.pending.is_none() && pending.is_some() {
            self.pending.push(subject.clone());
        }
        self.entries.insert(subject, Entry { pending, ..entry });
    }

    /// Whether the same update originated within the last `age`, as far as known here.
    pub fn has_recent(&self, now: Time, update: &Update, age: Duration) -> bool {
        let known = self.entries.get(&update.subject());
        known.is_some_and(|it| it.update == *update && now.since(it.at) < age)
    }

    /// Announces the versions of configuration and weights, which each message carries, as far as `reach`.
    pub fn announce_versions(&mut self, reach: Reach) {
        self.announced_reach = self.announced_reach.max(Some(reach));
    }

    /// When the next push is due, if any.
    pub fn next_due(&self) -> Option<Time> {
        (self.announced_reach.is_some() || !self.pending.is_empty()).then_some(self.next_push_at)
    }

    /// Takes the messages that are due now.
    pub fn take_due(&mut self, now: Time, members: &Members, rng: &mut impl Rng) -> Vec<Push> {
        if self.next_due().is_none_or(|it| now < it) {
            return Vec::new();
        }
        self.next_push_at = now + PUSH_INTERVAL;
        let announced_reach = self.announced_reach.take();
        let (fleet_wide, local) = self.take_pending(now);
        if !members.is_large() {
            let targets = members.presumed_alive(now).map(|it| it.peers).collect();
            let updates = fleet_wide.into_iter().chain(local).collect();
            return vec![Push { targets, updates, needs_relay: false }];
        }
        let mut pushes = Vec::new();
        if !fleet_wide.is_empty() || announced_reach == Some(Reach::Fleet) {
            pushes.push(Push {
                targets: relays(now, members, rng),
                updates: fleet_wide,
                needs_relay: true,
            });
        }
        if !local.is_empty() || announced_reach == Some(Reach::Centre) {
            let targets = members.neighbours(now).map(|it| it.peers).collect();
            pushes.push(Push { targets, updates: local, needs_relay: false });
        }
        pushes
    }

    /// Delays the next push until the last one's `bytes` have left a link of `bytes_per_s`, at the share that pushes
    /// may use.
    pub fn record_sent(&mut self, now: Time, bytes: usize, bytes_per_s: f64) {
        let sending = Duration::from_secs_f64(bytes as f64 / (bytes_per_s * LINK_SHARE));
        self.next_push_at = self.next_push_at.max(now) + sending;
    }

    /// Updates for a repeat message: those repeated least often, and of these the oldest, which expire first.
    pub fn take_repeats(&mut self, now: Time) -> Vec<Aged> {
        self.entries.retain(|_, it| now.since(it.at) < REPEATED_FOR || it.pending.is_some());
        let mut due: Vec<&mut Entry> = self.entries.values_mut().collect();
        due.retain(|it| it.update.is_lasting() && it.repeats < MAX_REPEATS);
        due.sort_by_key(|it| (it.repeats, it.at));
        let due = due.into_iter().take(MAX_REPEATED_UPDATES);
        let due = due.map(|it| {
            it.repeats += 1;
            it.aged(now)
        });
        due.filter(|it| it.unexpired().is_some()).collect()
    }

    /// Takes the pending updates for the whole fleet, and those for the own data centre.
    fn take_pending(&mut self, now: Time) -> (Vec<Aged>, Vec<Aged>) {
        let (mut fleet_wide, mut local) = (Vec::new(), Vec::new());
        for subject in std::mem::take(&mut self.pending) {
            let Some(entry) = self.entries.get_mut(&subject) else { continue };
            let reach = entry.pending.take();
            let aged = Some(entry.aged(now)).filter(|it| it.unexpired().is_some());
            match reach {
                Some(Reach::Fleet) => fleet_wide.extend(aged),
                Some(Reach::Centre) => local.extend(aged),
                None => {}
            }
        }
        (fleet_wide, local)
    }
}

/// Some live members of each data centre, which relay updates there.
fn relays(now: Time, members: &Members, rng: &mut impl Rng) -> Vec<SocketAddr> {
    let mut all: Vec<&Member> = members.presumed_alive(now).filter(|it| !it.is_leaving).collect();
    all.shuffle(rng);
    all.sort_by(|a, b| a.centre.cmp(&b.centre));
    let by_centre = all.chunk_by(|a, b| a.centre == b.centre);
    by_centre.flat_map(|it| it.iter().take(RELAYS_PER_CENTRE)).map(|it| it.peers).collect()
}
