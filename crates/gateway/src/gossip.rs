//! What instances tell each other: who lives, and which versions and departures they have seen.

use std::{cmp::Reverse, net::SocketAddr, sync::Arc, time::Duration};

use rand::{Rng, seq::IndexedRandom};
use serde::{Deserialize, Serialize};
use shallotlead_base::{
    hash::{self, Map},
    time::Time,
};

use crate::{
    dialect::{Born, Load, Part},
    pace::Pace,
    rumour::Rumour,
};

/// How often an instance tells two others what it knows.
pub const PERIOD: Duration = Duration::from_millis(600);
/// Instances that are told each time, in a small fleet.
const FANOUT: usize = 2;
/// The same in a large one: of the own data centre, and of all. Bytes between data centres are paid for.
const LARGE_FANOUT_NEAR: usize = 2;
const LARGE_FANOUT_ANY: usize = 1;
/// Silence after which an instance counts as dead: about five periods, as rumours need two or three
/// to reach all; a large fleet takes two more.
const DEAD_AFTER: Duration = Duration::from_millis(3_200);
const LARGE_DEAD_AFTER: Duration = Duration::from_millis(4_800);
/// Instances from which on a fleet is large: not all of them watch the store, and they tell of what
/// they send within their data centre only.
const LARGE: usize = 13;
/// Instances of a large fleet that watch the store for the others: one in each data centre, and so many at least.
/// Any one may be cut off from the store, and each pays for every change.
const WATCHERS: usize = 3;
/// Instances of a data centre that look whether the stores of cached prompts live.
const LOOKING_NEARBY: usize = 2;
/// Instances of a small fleet that look whether the store of cached prompts lives.
const LOOKING: usize = 8;
/// How long an instance of a large fleet counts as alive that is only known from its record, which may be that of
/// one that is gone for good: four periods, in which the living are heard of.
const LISTED_ALIVE: Duration = Duration::from_millis(2_400);
/// How long a dead instance still counts for the shared budget.
const FORGET_AFTER: Duration = Duration::from_secs(30);
/// Members in one message: 60 of about 60 bytes stay below 4 KB.
const MAX_MEMBERS: usize = 60;

/// One instance's life, as it tells of itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Its name.
    pub name: Arc<str>,
    /// Grows with each start.
    pub incarnation: u64,
    /// Grows with each message that it sends about itself.
    pub beat: u64,
    /// Its data centre.
    pub centre: Arc<str>,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where other instances reach it.
    pub peers: SocketAddr,
    /// Whether it takes requests.
    pub is_ready: bool,
    /// Whether it is shutting down.
    pub is_leaving: bool,
    /// Whether it watches the store, and the store answers it.
    pub is_watching: bool,
    /// Whether the store doesn't answer it.
    pub is_away: bool,
}

/// Weights that were named.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Naming {
    /// The model.
    pub model: Arc<str>,
    /// The version.
    pub version: u64,
    /// How long ago, ms, as far as the sender knows.
    pub age_ms: u64,
}

/// A change of weights that the holder of the lease has ordered.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Loading {
    /// The server.
    pub server: Arc<str>,
    /// Its life.
    pub born: Option<Born>,
    /// The model.
    pub model: Arc<str>,
    /// The version.
    pub version: u64,
    /// How long it counts as loading without further word, ms; zero: it is done.
    pub valid_ms: u32,
}

/// One datagram.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Datagram {
    /// Who lives, and what has changed.
    News(Box<Message>),
    /// Prompts that the sender has just sent to servers, and the loads that servers have told it since.
    Placed(Vec<Placement>, Vec<Told>),
    /// Servers' entries that the sender has just read from the store.
    Entries(Vec<Entry>),
}

/// A server's entry as it lies in the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// The server.
    pub server: Arc<str>,
    /// The revision of its last change.
    pub revision: u64,
    /// Its content; nothing once the server is gone.
    pub value: Option<Vec<u8>>,
}

/// A server's load as it told it with an answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Told {
    /// The server.
    pub server: Arc<str>,
    /// Its life.
    pub born: Option<Born>,
    /// Its load.
    pub load: Load,
    /// How long ago that was, ms.
    pub age_ms: u32,
    /// How long the prompt that began last had waited there, ms, and how long ago that was.
    pub waited_ms: Option<(u32, u32)>,
}

/// A prompt that was sent to a server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Placement {
    /// The server.
    pub server: Arc<str>,
    /// Its life.
    pub born: Option<Born>,
    /// The scope within which its parts are shared.
    pub scope: u64,
    /// The shared parts.
    pub parts: Vec<Part>,
    /// Tokens that come into the server's memory.
    pub added: u32,
    /// Tokens that the server has to read.
    pub unread: u32,
}

/// Who lives, and what has changed.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Message {
    /// The sender.
    pub from: Member,
    /// Some of the others that it knows.
    pub members: Vec<Member>,
    /// The version of the configuration that it has.
    pub configuration: u64,
    /// The weights that it has heard of.
    pub weights: Vec<Naming>,
    /// What has happened to servers and instances.
    pub rumours: Vec<Rumour>,
    /// Whether the receiver is to pass the rumours on to its data centre.
    pub passes_on: bool,
    /// The stores of cached prompts at which the sender looks itself, and whether they live.
    pub cache_stores: Vec<(SocketAddr, bool)>,
    /// What the sender has learnt of services' engines, for instances that have just started.
    pub paces: Vec<(Arc<str>, Pace)>,
}

#[derive(Debug)]
struct Known {
    member: Member,
    heard: Time,
    /// It is known from its record alone, and may be gone for good.
    is_listed: bool,
}

/// The instances that this one knows.
#[derive(Debug)]
pub struct Members {
    me: Member,
    others: Map<Arc<str>, Known>,
}

impl Members {
    /// Only this instance.
    pub fn open(me: Member) -> Self {
        Self { me, others: Map::default() }
    }

    /// This instance.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// This instance, to be changed.
    pub fn me_mut(&mut self) -> &mut Member {
        &mut self.me
    }

    /// Takes what was told of a member. Says whether it is news.
    pub fn take(&mut self, now: Time, member: Member) -> bool {
        if member.name == self.me.name {
            // Guards against a clock that was set back between two starts: the others would take this
            // life for an older one than the last, and it would stay dead to them. It holds since they
            // repeat what they know, and a higher number is news to all.
            if self.me.incarnation < member.incarnation {
                self.me.incarnation = member.incarnation + 1;
            }
            return false;
        }
        let age = |it: &Member| (it.incarnation, it.beat);
        match self.others.get_mut(&member.name) {
            Some(it) if age(&member) <= age(&it.member) => false,
            Some(it) => {
                *it = Known { member, heard: now, is_listed: false };
                true
            }
            None => {
                let known = Known { member, heard: now, is_listed: false };
                self.others.insert(known.member.name.clone(), known);
                true
            }
        }
    }

    /// Whether the instance `name` is known to be leaving.
    pub fn is_leaving(&self, name: &str) -> bool {
        self.others.get(name).is_some_and(|it| it.member.is_leaving)
    }

    /// Takes an instance's record from a list of all.
    ///
    /// Guards against records of instances that are gone for good: after a restart of all, the others would wait
    /// for them to watch the store or to take the lease. It holds since those that live are soon heard of.
    pub fn listed(&mut self, now: Time, member: Member) {
        if self.others.contains_key(&member.name) {
            self.take(now, member);
        } else if member.name != self.me.name {
            let known = Known { member, heard: now, is_listed: true };
            self.others.insert(known.member.name.clone(), known);
        }
    }

    /// Forgets what has been silent for long.
    pub fn expire(&mut self, now: Time) {
        self.others.retain(|_, it| now.since(it.heard) < FORGET_AFTER);
    }

    /// The other instances that are alive.
    pub fn alive(&self, now: Time) -> impl Iterator<Item = &Member> {
        let is_large = self.is_large();
        let dead_after = move |it: &Known| match is_large {
            true if it.is_listed => LISTED_ALIVE,
            true => LARGE_DEAD_AFTER,
            false => DEAD_AFTER,
        };
        let is_alive = move |it: &&Known| now.since(it.heard) < dead_after(it);
        self.others.values().filter(is_alive).map(|it| &it.member)
    }

    /// Whether there are many instances.
    pub fn is_large(&self) -> bool {
        LARGE <= self.others.len() + 1
    }

    /// Some instances to be told who lives, the dead and the `seeds` too: they may be back.
    pub fn told(&self, seeds: &[SocketAddr], rng: &mut impl Rng) -> Vec<SocketAddr> {
        let mut all: Vec<SocketAddr> = self.others.values().map(|it| it.member.peers).collect();
        all.extend(seeds.iter().filter(|it| **it != self.me.peers));
        all.sort_unstable();
        all.dedup();
        if !self.is_large() {
            return all.choose_multiple(rng, FANOUT).copied().collect();
        }
        let near = self.others.values().filter(|it| it.member.centre == self.me.centre);
        let near: Vec<SocketAddr> = near.map(|it| it.member.peers).collect();
        let near = near.choose_multiple(rng, LARGE_FANOUT_NEAR);
        near.chain(all.choose_multiple(rng, LARGE_FANOUT_ANY)).copied().collect()
    }

    /// The live instances that hear of each prompt that is sent: all, or those of this data centre.
    pub fn neighbours(&self, now: Time) -> impl Iterator<Item = &Member> {
        let is_large = self.is_large();
        self.alive(now).filter(move |it| !is_large || it.centre == self.me.centre)
    }

    /// Whether this instance is to look itself whether the store of cached prompts lives. Such a store
    /// takes twelve calls at once.
    pub fn is_looking(&self, now: Time) -> bool {
        if !self.is_large() {
            return self.rank(now) < LOOKING;
        }
        self.place_nearby(now, |_| true) < LOOKING_NEARBY
    }

    /// How many instances of this data centre come before this one where few do something for all, of those that
    /// `counts`. The order is one of names: by age, each instance of a rolling restart would take over from the
    /// one before it. Those that aren't ready yet count: when all start at once, none is, and all would do it.
    fn place_nearby(&self, now: Time, counts: impl Fn(&Member) -> bool) -> usize {
        let weight = |it: &Member| (hash::weight(&it.name, 0), it.name.clone());
        let own = weight(&self.me);
        let near = self.alive(now).filter(|it| it.centre == self.me.centre && !it.is_leaving);
        near.filter(|it| counts(it) && weight(it) < own).count()
    }

    /// Whether this instance is to watch the store: in a small fleet all do, in a large one the first
    /// of each data centre that the store answers.
    pub fn is_watcher(&self, now: Time) -> bool {
        if !self.is_large() {
            return true;
        }
        let mut centres: Vec<&Arc<str>> = self.alive(now).map(|it| &it.centre).collect();
        centres.push(&self.me.centre);
        centres.sort_unstable();
        centres.dedup();
        self.place_nearby(now, |it| !it.is_away) < WATCHERS.div_ceil(centres.len())
    }

    /// All instances that count for the shared budget, this one included.
    pub fn sharers(&self) -> u32 {
        u32::try_from(self.others.len()).unwrap_or(u32::MAX).saturating_add(1)
    }

    /// Members to be told of: those heard of last.
    pub fn rumours(&self, now: Time) -> Vec<Member> {
        let mut known: Vec<&Known> = self.others.values().collect();
        known.sort_by_key(|it| now.since(it.heard));
        known.into_iter().take(MAX_MEMBERS).map(|it| it.member.clone()).collect()
    }

    /// This instance's place among those that may hold the lease, the youngest first, since a rolling restart
    /// comes to those that haven't been restarted yet. One that isn't ready itself comes last, but the others that
    /// aren't ready yet count: when all start at once, nobody knows for a while who is.
    ///
    /// Those that the store doesn't answer don't count. Guards against candidates that are all cut off from the
    /// store while the rest of the fleet reaches it: nobody takes the lease, weights grow too old for any request,
    /// and callers are refused for as long as the cut lasts. It shows as no order for seconds while the store is
    /// well. It holds since whoever stands for the lease reads the store, and so knows whether it is answered.
    pub fn rank(&self, now: Time) -> usize {
        if !self.me.is_ready {
            return usize::MAX;
        }
        let own = age_key(&self.me);
        let stands = |it: &&Member| !it.is_leaving && !it.is_away;
        self.alive(now).filter(stands).filter(|it| age_key(it) < own).count()
    }
}

/// Orders instances from the youngest to the oldest.
fn age_key(member: &Member) -> (Reverse<u64>, &str) {
    (Reverse(member.incarnation), &member.name)
}
