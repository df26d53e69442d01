//! The members of the fleet as one instance knows them, and what it derives from their liveness: whom it gossips
//! with, and which shared duties it takes on.

use std::{cmp::Reverse, net::SocketAddr, sync::Arc, time::Duration};

use rand::{
    Rng,
    seq::{IndexedRandom, IteratorRandom, SliceRandom},
};
use shallotlead_base::{
    hash::{self, Map},
    time::Time,
};

use super::{Age, Change, Heartbeat, Member, Sighting, Source, Status, sharers::Sharers};

/// Members contacted per gossip round in a small fleet.
const FANOUT: usize = 2;
/// Members contacted per gossip round in a large fleet: in the own data centre, and anywhere. Traffic between data
/// centres is paid for.
const LARGE_FANOUT_LOCAL: usize = 2;
const LARGE_FANOUT_ANY: usize = 1;
/// Silence after which a member counts as dead: about five gossip periods, as an update needs two or three to reach
/// all. A large fleet needs two more.
const DEAD_AFTER: Duration = Duration::from_millis(3_200);
const LARGE_DEAD_AFTER: Duration = Duration::from_millis(4_800);
/// Fleet size from which only some instances watch the store, and placements are sent within the data centre only.
const LARGE_FLEET: usize = 13;
/// Minimum number of store watchers in a large fleet; each data centre has at least one. Any of them may lose the
/// store, and each pays for every change.
const MIN_WATCHERS: usize = 3;
/// Instances per data centre of a large fleet that probe the stores of cached prompts.
const PROBERS_PER_CENTRE: usize = 2;
/// Instances of a small fleet that probe the stores of cached prompts.
const SMALL_FLEET_PROBERS: usize = 8;
/// How long a new instance of a large fleet presumes members alive that it knows from their store records only: four
/// gossip periods, within which all live members are heard of.
const PRESUMED_ALIVE_FOR: Duration = Duration::from_millis(2_400);
/// Silence after which a dead member is removed.
const FORGET_AFTER: Duration = Duration::from_secs(30);
/// Maximum number of members described in full per message: 20 of about 60 bytes stay near 1 KB.
const MAX_SIGHTINGS: usize = 20;
/// Maximum number of heartbeats per message: 512 of about 8 bytes stay near 4 KB.
const MAX_HEARTBEATS: usize = 512;

/// Most members that are known from their records: several times as many as the largest fleet has. Further ones are heard
/// of from others.
const MAX_RECORDED: usize = 2_000;
/// Highest incarnation and heartbeat counter in a record, which are counted on from there.
const MAX_COUNTER: u64 = u64::MAX / 2;

/// Another member.
#[derive(Debug)]
struct Known {
    /// Its latest state, with the heartbeat counter at which it sent that.
    member: Member,
    /// Its latest heartbeat, and when the member sent it as far as known.
    beat: u64,
    seen_at: Time,
    /// When its state last changed, and when this instance last sent it to others.
    changed_at: Time,
    sent_at: Time,
    /// Source of the latest heartbeat. A record in the store is no evidence of life, as it may belong to an instance
    /// that is gone for good.
    source: Source,
    /// Status as last reported by `expire`.
    status: Status,
}

impl Known {
    fn new(now: Time, sighting: Sighting, source: Source) -> Self {
        let Sighting { member, beat, age } = sighting;
        let (seen_at, status) = (now - age.duration(), Status::Dead);
        Self { member, beat, seen_at, changed_at: now, sent_at: Time::ZERO, source, status }
    }

    /// Applies a heartbeat that the member sent at `seen_at`. Receiving it again by another path does not renew it.
    fn merge_heartbeat(&mut self, seen_at: Time, beat: u64, source: Source) {
        if self.beat < beat || self.source == Source::Record {
            (self.beat, self.seen_at, self.source) = (beat, seen_at, source);
        }
    }

    /// Applies a sighting of the same incarnation. Returns whether its state is newer than the known one.
    fn merge(&mut self, now: Time, sighting: Sighting, source: Source) -> bool {
        let is_first = self.source == Source::Record;
        self.merge_heartbeat(now - sighting.age.duration(), sighting.beat, source);
        let member = sighting.member;
        // A heartbeat counter that is known from a record only is no evidence of a later state.
        if member.beat <= self.member.beat && !is_first {
            return false;
        }
        if !self.member.has_same_state(&member) {
            self.changed_at = now;
        }
        self.member = member;
        true
    }

    fn status_at(&self, now: Time, is_large: bool) -> Status {
        let dead_after = if is_large { LARGE_DEAD_AFTER } else { DEAD_AFTER };
        match now.since(self.seen_at) {
            silent if silent < dead_after && self.source != Source::Record => Status::Alive,
            silent if silent < FORGET_AFTER => Status::Dead,
            _ => Status::Forgotten,
        }
    }

    fn age(&self, now: Time) -> Age {
        Age::of(now.since(self.seen_at))
    }

    fn sighting(&self, now: Time) -> Sighting {
        Sighting { member: self.member.clone(), beat: self.beat, age: self.age(now) }
    }
}

/// Identifies a member's incarnation where only its heartbeats are sent.
fn incarnation_id(member: &Member) -> u32 {
    hash::weight(&member.name, member.incarnation) as u32
}

/// The members of the fleet as this instance knows them.
///
/// Guards against instances that are gone but are revived by the gossip of the others. It shows as addresses that
/// callers are given again half a minute after an instance ended, and as watchers and owners that do nothing. Only a
/// later heartbeat renews a member, only the member itself creates one, and each is dated by when the member sent it,
/// whichever way it travelled. What some instances have forgotten is therefore too old for the others as well.
#[derive(Debug)]
pub struct Members {
    me: Member,
    others: Map<Arc<str>, Known>,
    /// Names of the members by `incarnation_id`.
    by_id: Map<u32, Arc<str>>,
    /// When the first member record was read from the store.
    first_record_at: Option<Time>,
    sharers: Sharers,
}

impl Members {
    /// Knows only this instance.
    pub fn new(me: Member) -> Self {
        Self {
            me,
            others: Map::default(),
            by_id: Map::default(),
            first_record_at: None,
            sharers: Sharers::default(),
        }
    }

    /// This instance.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// This instance, mutable.
    pub fn me_mut(&mut self) -> &mut Member {
        &mut self.me
    }

    /// Advances the own heartbeat and returns this instance's state. Others ignore changes under a heartbeat that
    /// they already know.
    pub fn announce(&mut self) -> Member {
        self.me.beat += 1;
        self.me.clone()
    }

    /// Applies a state received from the member itself. Returns whether it is new.
    pub fn receive(&mut self, now: Time, member: Member) -> bool {
        self.merge_sighting(now, Sighting::of(member, Duration::ZERO), Source::Itself)
    }

    /// Applies a sighting from `source`. Returns whether it is new.
    pub fn merge_sighting(&mut self, now: Time, sighting: Sighting, source: Source) -> bool {
        let member = &sighting.member;
        if member.name == self.me.name {
            // Guards against a clock that was set back between two starts: the others would take this incarnation for
            // an older one and ignore it. They repeat the number that they know, and a higher one is new to all.
            if self.me.incarnation < member.incarnation {
                self.me.incarnation = member.incarnation.saturating_add(1);
            }
            return false;
        }
        match self.others.get_mut(&member.name) {
            Some(it) if member.incarnation < it.member.incarnation => false,
            Some(it) if member.incarnation == it.member.incarnation => {
                it.merge(now, sighting, source)
            }
            Some(_) | None => {
                self.insert(Known::new(now, sighting, source));
                true
            }
        }
    }

    fn insert(&mut self, known: Known) {
        self.sharers.remove_absent(&known.member.name);
        self.by_id.insert(incarnation_id(&known.member), known.member.name.clone());
        let before = self.others.insert(known.member.name.clone(), known);
        if let Some(it) = before {
            self.by_id.remove(&incarnation_id(&it.member));
        }
    }

    /// Applies heartbeats known to another instance.
    pub fn merge_heartbeats(&mut self, now: Time, heartbeats: &[Heartbeat]) {
        for Heartbeat { id, beat, age } in heartbeats {
            let known = self.by_id.get(id).and_then(|it| self.others.get_mut(it));
            if let Some(it) = known {
                it.merge_heartbeat(now - age.duration(), *beat, Source::Instance);
            }
        }
    }

    /// Heartbeats of the members that are alive.
    ///
    /// Guards against live members that nobody mentions: in a fleet of 295 instances with one datagram in twenty lost
    /// and only 60 members described per message, the same ones were repeated, and one in fourteen counted as dead at
    /// times although it was alive. Heartbeats of such a fleet all fit into one message.
    pub fn recent_heartbeats(&self, now: Time, rng: &mut impl Rng) -> Vec<Heartbeat> {
        let alive = self.others.values().filter(|it| self.is_alive(now, it));
        let heartbeat = |it: &Known| Heartbeat {
            id: incarnation_id(&it.member),
            beat: it.beat,
            age: it.age(now),
        };
        let mut all: Vec<Heartbeat> = alive.map(heartbeat).collect();
        if MAX_HEARTBEATS < all.len() {
            all.shuffle(rng);
            all.truncate(MAX_HEARTBEATS);
        }
        all
    }

    /// Whether the instance `name` is known to be shutting down.
    pub fn is_leaving(&self, name: &str) -> bool {
        self.others.get(name).is_some_and(|it| it.member.is_leaving)
    }

    /// Applies an instance's record from the store. The record says where the instance may be found; it is not
    /// forwarded, as it remains in the store when the instance is gone for good.
    pub fn add_record(&mut self, now: Time, member: Member) {
        if MAX_COUNTER < member.incarnation.max(member.beat) {
            return;
        }
        self.first_record_at.get_or_insert(now);
        let known = self.others.get(&member.name);
        let has_room = self.others.len() < MAX_RECORDED;
        let is_new = known.map_or(has_room, |it| it.member.incarnation < member.incarnation);
        if member.name == self.me.name || is_new {
            let member = Member { is_ready: false, ..member };
            self.merge_sighting(now, Sighting::of(member, Duration::ZERO), Source::Record);
        }
    }

    /// Removes members that have been silent for long. Returns the status changes since the previous call.
    pub fn expire(&mut self, now: Time) -> Vec<Change> {
        let mut changes = Vec::new();
        let is_large = self.is_large();
        let Self { others, sharers, .. } = self;
        sharers.expire(now);
        others.retain(|name, it| {
            let status = it.status_at(now, is_large);
            if it.status != status {
                it.status = status;
                let silent = now.since(it.seen_at);
                changes.push(Change { name: name.clone(), status, source: it.source, silent });
            }
            let is_forgotten = status == Status::Forgotten;
            if is_forgotten && !it.member.is_leaving {
                sharers.add_absent(name.clone(), it.seen_at, it.source != Source::Record);
            }
            !is_forgotten
        });
        self.by_id.retain(|_, it| self.others.contains_key(it));
        changes
    }

    /// The other members that are alive.
    pub fn alive(&self, now: Time) -> impl Iterator<Item = &Member> {
        let alive = self.others.values().filter(move |it| self.is_alive(now, it));
        alive.map(|it| &it.member)
    }

    fn is_alive(&self, now: Time, known: &Known) -> bool {
        known.status_at(now, self.is_large()) == Status::Alive
    }

    /// The other members that are alive, plus those that a new instance presumes alive because it has read their
    /// records and not yet had time to hear of them.
    ///
    /// Guards against a fleet whose instances all start at once: each would consider itself alone, watch the store
    /// and take the lease. The presumption expires once live members have been heard of, so that instances that are
    /// gone are not waited for.
    pub fn presumed_alive(&self, now: Time) -> impl Iterator<Item = &Member> {
        let is_new = self.first_record_at.is_some() && self.is_new(now);
        let presumed = self
            .others
            .values()
            .filter(move |it| self.is_alive(now, it) || (is_new && it.source == Source::Record));
        presumed.map(|it| &it.member)
    }

    /// Whether this process has had no time yet to hear of all others.
    pub fn is_new(&self, now: Time) -> bool {
        let presumed_for = if self.is_large() { PRESUMED_ALIVE_FOR } else { DEAD_AFTER };
        self.first_record_at.is_none_or(|it| now.since(it) < presumed_for)
    }

    /// Whether the fleet counts as large.
    pub fn is_large(&self) -> bool {
        LARGE_FLEET <= self.others.len() + 1
    }

    /// Addresses for the next gossip round: some live members, and one of the dead members and `seeds`, which may be
    /// back.
    ///
    /// Guards against survivors that mostly contact the dead: after eight of eleven instances have ended, the other
    /// three would consider each other dead for seconds. Live members are chosen first, as many as if there were no
    /// others.
    pub fn gossip_targets(
        &self,
        now: Time,
        seeds: impl Iterator<Item = SocketAddr>,
        rng: &mut impl Rng,
    ) -> Vec<SocketAddr> {
        let alive: Vec<&Member> = self.presumed_alive(now).collect();
        let is_alive = |it: &SocketAddr| alive.iter().any(|member| member.peers == *it);
        let rest = self.others.values().map(|it| it.member.peers).chain(seeds);
        let unreachable = rest.filter(|it| !is_alive(it)).choose(rng);
        let (count, local) = match self.is_large() {
            true => (LARGE_FANOUT_LOCAL + LARGE_FANOUT_ANY, LARGE_FANOUT_LOCAL),
            false => (FANOUT, 0),
        };
        let nearby = alive.iter().filter(|it| it.centre == self.me.centre);
        let local = nearby.choose_multiple(rng, local);
        // The rest of the fan-out goes to any data centre.
        let any = alive.choose_multiple(rng, count - local.len());
        let chosen = local.into_iter().chain(any).map(|it| it.peers);
        let mut all: Vec<SocketAddr> = chosen.chain(unreachable).collect();
        all.sort_unstable();
        all.dedup();
        all
    }

    /// The live members that receive this instance's placements: all, or those of its data centre in a large fleet.
    pub fn neighbours(&self, now: Time) -> impl Iterator<Item = &Member> {
        let is_large = self.is_large();
        self.presumed_alive(now).filter(move |it| !is_large || it.centre == self.me.centre)
    }

    /// Whether this instance probes the stores of cached prompts itself. Such a store handles twelve calls at once.
    pub fn is_cache_store_prober(&self, now: Time) -> bool {
        if !self.is_large() {
            return self.lease_rank(now) < SMALL_FLEET_PROBERS;
        }
        self.rank_in_centre(now, |_| true) < PROBERS_PER_CENTRE
    }

    /// Number of members of this data centre that precede this one for a duty of a few, among those that
    /// `is_counted` accepts. The order is by name: ordered by age, each instance of a rolling restart would take over
    /// from the one before. Members that are not ready yet count, as otherwise all would take the duty when all start
    /// at once.
    fn rank_in_centre(&self, now: Time, is_counted: impl Fn(&Member) -> bool) -> usize {
        let own = name_key(&self.me.name);
        let local =
            self.presumed_alive(now).filter(|it| it.centre == self.me.centre && !it.is_leaving);
        local.filter(|it| is_counted(it) && name_key(&it.name) < own).count()
    }

    /// Whether this instance watches the store. In a small fleet all do; in a large one only the first of each data
    /// centre that the store answers.
    pub fn is_watcher(&self, now: Time) -> bool {
        self.standby_rank(now).is_none()
    }

    /// Position of this instance behind its data centre's watchers; `None` if it is a watcher.
    pub fn standby_rank(&self, now: Time) -> Option<usize> {
        if !self.is_large() {
            return None;
        }
        let mut centres: Vec<&Arc<str>> = self.presumed_alive(now).map(|it| &it.centre).collect();
        centres.push(&self.me.centre);
        centres.sort_unstable();
        centres.dedup();
        self.rank_in_centre(now, |it| !it.is_away).checked_sub(MIN_WATCHERS.div_ceil(centres.len()))
    }

    /// Whether the instance `name` precedes this one for duties of a few.
    pub fn precedes(&self, name: &str) -> bool {
        name_key(name) < name_key(&self.me.name)
    }

    /// The owner of `key` by rendezvous hashing: a ready member of `centre`, or of any data centre if it has none.
    /// Instances with the same view agree on it, and most keys keep their owner when a member joins or ends.
    pub fn owner(&self, now: Time, key: u64, centre: &str) -> &Member {
        let is_candidate = |it: &&Member| it.is_ready && !it.is_leaving;
        let all = self.alive(now).chain([&self.me]).filter(is_candidate);
        let owner = all.max_by_key(|it| (*it.centre == *centre, hash::weight(&it.name, key)));
        owner.unwrap_or(&self.me)
    }

    /// Number of members that come before this one as owners of `key` wherever they are.
    pub fn rank(&self, now: Time, key: u64) -> usize {
        let own = hash::weight(&self.me.name, key);
        let others = self.alive(now).filter(|it| it.is_ready && !it.is_leaving);
        others.filter(|it| own < hash::weight(&it.name, key)).count()
    }

    /// The `count` owners of `key` by rendezvous hashing, wherever they are. Those that a new instance presumes alive
    /// count, so that all instances that start together agree from the start.
    pub fn owners(&self, now: Time, key: u64, count: usize) -> Vec<&Member> {
        let candidates = self.presumed_alive(now).chain([&self.me]).filter(|it| !it.is_leaving);
        let mut ranked: Vec<_> =
            candidates.map(|it| (Reverse(hash::weight(&it.name, key)), it)).collect();
        ranked.sort_unstable_by_key(|it| it.0);
        ranked.into_iter().take(count).map(|it| it.1).collect()
    }

    /// The same as [`Members::alive_fraction`], with those that a new instance presumes alive, and of all that are
    /// known, also from their records only; `None` while it isn't known which instances there are.
    ///
    /// Guards against an instance that starts while it is cut off from the others: it knows them from their records,
    /// and would take them for gone half a minute later.
    pub fn presumed_fraction(&self, now: Time) -> Option<f64> {
        let alive = self.presumed_alive(now).filter(|it| !it.is_leaving).count() as f64;
        let known = self.others.values().filter(|it| !it.member.is_leaving).count() as f64;
        let absent = self.sharers.absent() as f64;
        self.sharers.has_entered().then_some((1.0 + alive) / (1.0 + known + absent))
    }

    /// Share of the recently known members that are alive, including this one; members that announced their shutdown
    /// do not count.
    ///
    /// Guards against a partition in which each side considers the other dead: an owner on each side would hand out
    /// the whole of a shared quota. The shares of all sides add up to at most one.
    pub fn alive_fraction(&self, now: Time) -> f64 {
        let others = self.others.values().filter(|it| !it.member.is_leaving);
        let (alive, known) = others.fold((1.0, 1.0), |(alive, known), it| {
            (alive + f64::from(u8::from(self.is_alive(now, it))), known + 1.0)
        });
        alive / (known + self.sharers.absent_heard() as f64)
    }

    /// Number of instances that share the fleet's allowances, including this one and those that may live on behind a
    /// partition.
    pub fn budget_sharers(&self) -> u32 {
        let others = self.others.len() + self.sharers.absent();
        u32::try_from(others).unwrap_or(u32::MAX).saturating_add(1)
    }

    /// Records that this process is registered in the store and has read there which others are. `is_new`: no
    /// process of this instance was registered before.
    pub fn enter_fleet(&mut self, is_new: bool) {
        self.sharers.enter(is_new && self.budget_sharers() == 1);
    }

    /// Fraction of an allowance of the whole fleet that this process may spend, `uptime` after its start. `span`: the
    /// time that the allowance covers.
    pub fn allowance_share(&self, uptime: Duration, span: Duration) -> f64 {
        match self.sharers.has_share(uptime, span) {
            true => 1.0 / f64::from(self.budget_sharers()),
            false => 0.0,
        }
    }

    /// Members to describe in full: those that changed since they were last sent, then those sent longest ago, for
    /// receivers that missed them.
    pub fn take_sightings(&mut self, now: Time) -> Vec<Sighting> {
        let sendable = self.others.values_mut().filter(|it| it.source != Source::Record);
        let mut all: Vec<&mut Known> = sendable.collect();
        all.sort_by_key(|it| (it.changed_at <= it.sent_at, it.sent_at));
        let due = all.into_iter().take(MAX_SIGHTINGS);
        due.map(|it| {
            it.sent_at = now;
            it.sighting(now)
        })
        .collect()
    }

    /// Position of this instance among the candidates for the lease, youngest first, because a rolling restart
    /// reaches the oldest first. An instance that is not ready ranks last, but others that are not ready count: when
    /// all start at once, it is not known for a while who is ready.
    ///
    /// Members that the store does not answer are skipped. Guards against candidates that are all cut off from the
    /// store while the rest of the fleet reaches it: nobody takes the lease, weights become too old for any request,
    /// and callers are refused until the connection is back. It shows as seconds without a weight order although the
    /// store works. Candidates read the store, so each knows whether it is answered.
    pub fn lease_rank(&self, now: Time) -> usize {
        if !self.me.is_ready {
            return usize::MAX;
        }
        let own = age_key(&self.me);
        let is_candidate = |it: &&Member| !it.is_leaving && !it.is_away;
        self.presumed_alive(now).filter(is_candidate).filter(|it| age_key(it) < own).count()
    }
}

/// Orders instances by a hash of their names.
fn name_key(name: &str) -> (u64, &str) {
    (hash::weight(name, 0), name)
}

/// Orders instances from the youngest to the oldest.
fn age_key(member: &Member) -> (Reverse<u64>, &str) {
    (Reverse(member.incarnation), &member.name)
}
