//! News that all instances should hear at once, and how it spreads through a large fleet.
//!
//! The load patterns to bear: one instance has dozens of things to tell within a second, as in a roll-out, and
//! hundreds of instances have one each at the same moment, as when all start.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use rand::{Rng, seq::SliceRandom};
use serde::{Deserialize, Serialize};
use shallotlead_base::{hash::Map, time::Time};

use crate::{
    catchup::Peer,
    gossip::{LimitReport, Loading, Member, Members},
    quarantine::{Identity, Life},
};

/// How long a rumour is repeated, for datagrams that get lost.
const KEPT: Duration = Duration::from_secs(5);
/// Members of each data centre to which the origin of a rumour tells it; each passes it on to all of its data
/// centre. One may be dead without anybody knowing yet.
const RELAYS: usize = 2;
/// How often each instance repeats a rumour, to three others each time: one that neither relay reached hears it
/// nine times on average from the rest.
const REPEATS: u32 = 3;
/// Rumours in one repeating message: 60 of about 35 bytes stay near 2 KB.
const MOST_REPEATED: usize = 60;
/// Least time between two pushes: what comes up within it goes together.
const GATHER: Duration = Duration::from_millis(20);
/// What says the same counts as told anew when it was told so much later. Less may be one telling that came on two
/// ways: the time that a datagram takes isn't counted in a rumour's age.
const TOLD_AGAIN: Duration = Duration::from_secs(1);
/// Part of the instance's link that pushes may take.
const SHARE: f64 = 0.25;

/// Something that happened to one server or instance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Update {
    /// A server has begun to leave, and the revision that says so.
    Leaving(Arc<str>, u64),
    /// A server's weights are being changed, or are in place.
    Loading(Loading),
    /// A server has just been found silent. Others look for themselves: the origin may be the one that is cut
    /// off.
    Unresponsive(Arc<str>),
    /// An instance has a newer configuration.
    Configuration(Peer),
    /// An instance is shutting down, or has lost the store or found it again.
    Instance(Box<Member>),
    /// The store of cached prompts at this address lives, or doesn't.
    CacheStore(SocketAddr, bool),
    /// Requests that were lost with a server that crashed.
    Crashed(Life, Vec<Identity>),
    /// Nothing speaks against a request any more.
    Released(Identity),
    /// A server names a rate limit, another one than before, or none any more.
    LimitChange(LimitReport),
}

impl Update {
    fn subject(&self) -> Subject {
        match self {
            Self::Leaving(server, _) => Subject::Leaving(server.clone()),
            Self::Loading(it) => Subject::Loading(it.server.clone()),
            Self::Unresponsive(server) => Subject::Unresponsive(server.clone()),
            Self::Configuration(it) => Subject::Peer(it.address),
            Self::Instance(it) => Subject::Instance(it.name.clone()),
            Self::CacheStore(address, _) => Subject::CacheStore(*address),
            Self::Crashed(life, identities) => Subject::Crashed(*life, identities.clone()),
            Self::Released(identity) => Subject::Released(*identity),
            Self::LimitChange(it) => Subject::LimitChange(it.server.clone()),
        }
    }

    /// Whether it is worth repeating: what is silent, or who holds what, is old news a moment later, and records of
    /// requests in quarantine are told by themselves.
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
            | Self::LimitChange(_) => true,
        }
    }

    /// Whether both say the same, whenever they were told.
    fn says_same(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Instance(a), Self::Instance(b)) => a.is_same_state(b),
            _ => self == other,
        }
    }
}

/// A rumour and how long ago its origin told it, as far as known.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Aged {
    /// What the origin told.
    pub update: Update,
    /// How long ago that was, ms.
    pub age_ms: u32,
}

impl Aged {
    /// The same `later`.
    pub fn aged_by(self, later: Duration) -> Self {
        let age_ms = self.age_ms.saturating_add(later.as_millis() as u32);
        Self { age_ms, ..self }
    }

    /// What of it holds now; nothing once its time is over.
    pub fn unexpired(&self) -> Option<Update> {
        match &self.update {
            Update::Loading(it) if 0 < it.valid_ms => {
                let valid_ms = it.valid_ms.checked_sub(self.age_ms).filter(|it| 0 < *it)?;
                Some(Update::Loading(Loading { valid_ms, ..it.clone() }))
            }
            other => Some(other.clone()),
        }
    }
}

/// What a rumour speaks of: a later one of the same replaces the earlier.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Subject {
    Leaving(Arc<str>),
    Loading(Arc<str>),
    Unresponsive(Arc<str>),
    Peer(SocketAddr),
    Instance(Arc<str>),
    CacheStore(SocketAddr),
    Crashed(Life, Vec<Identity>),
    Released(Identity),
    LimitChange(Arc<str>),
}

/// How far a rumour is to be told.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Reach {
    /// Within the own data centre.
    Centre,
    /// Everywhere.
    Fleet,
}

#[derive(Debug)]
struct Item {
    update: Update,
    /// When its origin told it.
    at: Time,
    repeats: u32,
    /// Where it is still to be pushed.
    pending: Option<Reach>,
}

impl Item {
    /// Whether `other`, of the same subject, says nothing later.
    fn covers(&self, other: &Self) -> bool {
        let slack = if self.update.says_same(&other.update) { TOLD_AGAIN } else { Duration::ZERO };
        other.at < self.at + slack
    }

    fn aged(&self, now: Time) -> Aged {
        Aged { update: self.update.clone(), age_ms: now.since(self.at).as_millis() as u32 }
    }
}

/// One message that is due.
#[derive(Debug)]
pub struct Push {
    /// Who gets it.
    pub targets: Vec<SocketAddr>,
    /// What it tells.
    pub updates: Vec<Aged>,
    /// Whether the targets pass it on to their data centres.
    pub needs_relay: bool,
}

/// The rumours that an instance has heard lately, and what of them it still has to tell.
///
/// Guards against an instance that chokes its own link: telling each thing to half of a fleet of 295, together
/// with all that it had told within five seconds, the one that rolled weights out had 256 ms of datagrams to send
/// for each load that ended, lost its lease to its own full link after 2.4 s, and 48 of 204 servers were loaded
/// in place of all. It holds since a rumour goes from its origin to two relays in each data centre and from
/// those to their neighbours: the origin sends as many messages as there are data centres, times two, an instance
/// hears each rumour twice and tells it twice on average, and what is sent is paced by the link.
#[derive(Debug, Default)]
pub struct Queue {
    items: Map<Subject, Item>,
    /// What is still to be pushed.
    pending: Vec<Subject>,
    /// The versions that stand in each message are to be told besides.
    versions: Option<Reach>,
    next: Time,
}

impl Queue {
    /// Takes a rumour of which this instance is the origin, to be told as far as `reach`.
    pub fn enqueue(&mut self, now: Time, update: Update, reach: Reach) {
        self.take(now, update, Some(reach));
    }

    /// Takes a rumour of another instance, to be told as far as `reach`.
    ///
    /// Guards against echoes: what is heard again would count as new, be repeated anew, and never end. It shows as
    /// messages that are full of old rumours. It holds since a rumour counts from when its origin told it.
    pub fn accept(&mut self, now: Time, heard: &Aged, reach: Option<Reach>) {
        let age = Duration::from_millis(u64::from(heard.age_ms));
        if age < KEPT {
            self.take(now - age, heard.update.clone(), reach);
        }
    }

    fn take(&mut self, at: Time, update: Update, reach: Option<Reach>) {
        let subject = update.subject();
        let item = Item { update, at, repeats: 0, pending: None };
        let item = match self.items.remove(&subject) {
            Some(it) if it.covers(&item) => it,
            Some(it) => Item { pending: it.pending, ..item },
            None => item,
        };
        let pending = item.pending.max(reach);
        if item.pending.is_none() && pending.is_some() {
            self.pending.push(subject.clone());
        }
        self.items.insert(subject, Item { pending, ..item });
    }

    /// Whether the same was heard or told within the last `age`.
    pub fn has_recent(&self, now: Time, update: &Update, age: Duration) -> bool {
        let known = self.items.get(&update.subject());
        known.is_some_and(|it| it.update == *update && now.since(it.at) < age)
    }

    /// The versions that stand in each message, of configuration and weights, are to be told as far as `reach`.
    pub fn announce_versions(&mut self, reach: Reach) {
        self.versions = self.versions.max(Some(reach));
    }

    /// When the next push is due, if there is one.
    pub fn next_due(&self) -> Option<Time> {
        (self.versions.is_some() || !self.pending.is_empty()).then_some(self.next)
    }

    /// The messages that are due now.
    pub fn take_due(&mut self, now: Time, members: &Members, rng: &mut impl Rng) -> Vec<Push> {
        if self.next_due().is_none_or(|it| now < it) {
            return Vec::new();
        }
        self.next = now + GATHER;
        let versions = self.versions.take();
        let (far, near) = self.take_pending(now);
        if !members.is_large() {
            let targets = members.presumed_alive(now).map(|it| it.peers).collect();
            let updates = far.into_iter().chain(near).collect();
            return vec![Push { targets, updates, needs_relay: false }];
        }
        let mut pushes = Vec::new();
        if !far.is_empty() || versions == Some(Reach::Fleet) {
            pushes.push(Push {
                targets: relays(now, members, rng),
                updates: far,
                needs_relay: true,
            });
        }
        if !near.is_empty() || versions == Some(Reach::Centre) {
            let targets = members.neighbours(now).map(|it| it.peers).collect();
            pushes.push(Push { targets, updates: near, needs_relay: false });
        }
        pushes
    }

    /// So many bytes were sent for the last pushes, over a link of `bytes_per_s`: the next ones wait until they
    /// are through at the part of the link that pushes may take.
    pub fn record_sent(&mut self, now: Time, bytes: usize, bytes_per_s: f64) {
        let takes = Duration::from_secs_f64(bytes as f64 / (bytes_per_s * SHARE));
        self.next = self.next.max(now) + takes;
    }

    /// Rumours for a repeating message: those that were repeated the fewest times, and the oldest of these, which
    /// end first.
    pub fn take_repeats(&mut self, now: Time) -> Vec<Aged> {
        self.items.retain(|_, it| now.since(it.at) < KEPT || it.pending.is_some());
        let mut due: Vec<&mut Item> = self.items.values_mut().collect();
        due.retain(|it| it.update.is_lasting() && it.repeats < REPEATS);
        due.sort_by_key(|it| (it.repeats, it.at));
        let due = due.into_iter().take(MOST_REPEATED);
        let due = due.map(|it| {
            it.repeats += 1;
            it.aged(now)
        });
        due.filter(|it| it.unexpired().is_some()).collect()
    }

    /// What is to be told everywhere, and within the own data centre.
    fn take_pending(&mut self, now: Time) -> (Vec<Aged>, Vec<Aged>) {
        let (mut far, mut near) = (Vec::new(), Vec::new());
        for subject in std::mem::take(&mut self.pending) {
            let Some(item) = self.items.get_mut(&subject) else { continue };
            let reach = item.pending.take();
            let aged = Some(item.aged(now)).filter(|it| it.unexpired().is_some());
            match reach {
                Some(Reach::Fleet) => far.extend(aged),
                Some(Reach::Centre) => near.extend(aged),
                None => {}
            }
        }
        (far, near)
    }
}

/// Some live members of each data centre, which pass on what they are told.
fn relays(now: Time, members: &Members, rng: &mut impl Rng) -> Vec<SocketAddr> {
    let mut all: Vec<&Member> = members.presumed_alive(now).filter(|it| !it.is_leaving).collect();
    all.shuffle(rng);
    all.sort_by(|a, b| a.centre.cmp(&b.centre));
    let by_centre = all.chunk_by(|a, b| a.centre == b.centre);
    by_centre.flat_map(|it| it.iter().take(RELAYS)).map(|it| it.peers).collect()
}
