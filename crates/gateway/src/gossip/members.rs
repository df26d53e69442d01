//! The instances that one instance knows, and what follows from who lives: whom it tells, and whether it is to do
//! something for the others.

use std::{cmp::Reverse, net::SocketAddr, sync::Arc, time::Duration};

use rand::{
    Rng,
    seq::{IndexedRandom, IteratorRandom, SliceRandom},
};
use shallotlead_base::{
    hash::{self, Map},
    time::Time,
};

use super::{Age, Change, Heartbeat, Member, Sighting, Source, Status};

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
/// How long an instance of a large fleet that has just started presumes others to live of which it knows the records
/// alone: four periods, in which the living are heard of.
const LISTED_ALIVE: Duration = Duration::from_millis(2_400);
/// How long a dead instance still counts for the shared budget.
const FORGET_AFTER: Duration = Duration::from_secs(30);
/// Members in one message of which all is told: 20 of about 60 bytes stay near 1 KB.
const MAX_MEMBERS: usize = 20;
/// Members in one message of which only the last beat is told: 512 of about 8 bytes stay near 4 KB.
const MAX_BEATS: usize = 512;

/// One of the others.
#[derive(Debug)]
struct Known {
    /// What it told last of itself, with the beat at which it did.
    member: Member,
    /// The last beat that was heard of, and when the member sent it as far as known.
    beat: u64,
    seen: Time,
    /// When something new became known of it besides a beat, and when others were told of it.
    changed: Time,
    told: Time,
    /// Who told the last beat. A record in the store is none: it may be that of one that is gone for good.
    source: Source,
    /// As it was last reported.
    status: Status,
}

impl Known {
    fn new(now: Time, sighting: Sighting, source: Source) -> Self {
        let Sighting { member, beat, age } = sighting;
        let (seen, status) = (now - age.duration(), Status::Dead);
        Self { member, beat, seen, changed: now, told: Time::ZERO, source, status }
    }

    /// Takes a beat that the member sent at `seen`. The same beat on another way is no later sign of life.
    fn merge_beat(&mut self, seen: Time, beat: u64, source: Source) {
        if self.beat < beat || self.source == Source::Record {
            (self.beat, self.seen, self.source) = (beat, seen, source);
        }
    }

    /// Takes what is known of the member in the same life. Says whether it has told something later of itself than
    /// what is known.
    fn merge(&mut self, now: Time, sighting: Sighting, source: Source) -> bool {
        self.merge_beat(now - sighting.age.duration(), sighting.beat, source);
        let member = sighting.member;
        if member.beat <= self.member.beat {
            return false;
        }
        if !self.member.is_same_state(&member) {
            self.changed = now;
        }
        self.member = member;
        true
    }

    fn status_at(&self, now: Time, is_large: bool) -> Status {
        let dead_after = if is_large { LARGE_DEAD_AFTER } else { DEAD_AFTER };
        match now.since(self.seen) {
            silent if silent < dead_after && self.source != Source::Record => Status::Alive,
            silent if silent < FORGET_AFTER => Status::Dead,
            _ => Status::Forgotten,
        }
    }

    fn age(&self, now: Time) -> Age {
        Age::of(now.since(self.seen))
    }

    fn sighting(&self, now: Time) -> Sighting {
        Sighting { member: self.member.clone(), beat: self.beat, age: self.age(now) }
    }
}

/// What a member's life is known by where only its beats are told.
fn incarnation_id(member: &Member) -> u32 {
    hash::weight(&member.name, member.incarnation) as u32
}

/// The instances that this one knows.
///
/// Guards against instances that are off and come back to life among those that tell each other of them. It shows as
/// addresses that callers are given again half a minute after an instance has ended, and as watchers and homes that do
/// nothing. It holds since only a later beat is a sign of life, only the member itself makes one, and each is dated by
/// when the member sent it, wherever it is told: what some have forgotten is too old for the others, too.
#[derive(Debug)]
pub struct Members {
    me: Member,
    others: Map<Arc<str>, Known>,
    /// Their names by their lives.
    by_id: Map<u32, Arc<str>>,
    /// When the instances' records in the store were first read.
    first_listed: Option<Time>,
}

impl Members {
    /// Only this instance.
    pub fn new(me: Member) -> Self {
        Self { me, others: Map::default(), by_id: Map::default(), first_listed: None }
    }

    /// This instance.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// This instance, to be changed.
    pub fn me_mut(&mut self) -> &mut Member {
        &mut self.me
    }

    /// What this instance tells of itself now. It counts as later than all that it told before: others take no
    /// change from a beat that they have heard already.
    pub fn announce(&mut self) -> Member {
        self.me.beat += 1;
        self.me.clone()
    }

    /// Takes what a member has just told of itself. Says whether it is news.
    pub fn receive(&mut self, now: Time, member: Member) -> bool {
        self.merge_sighting(now, Sighting::of(member, Duration::ZERO), Source::Itself)
    }

    /// Takes what `source` tells of a member. Says whether it is news.
    pub fn merge_sighting(&mut self, now: Time, sighting: Sighting, source: Source) -> bool {
        let member = &sighting.member;
        if member.name == self.me.name {
            // Guards against a clock that was set back between two starts: the others would take this
            // life for an older one than the last, and it would stay dead to them. It holds since they
            // repeat what they know, and a higher number is news to all.
            if self.me.incarnation < member.incarnation {
                self.me.incarnation = member.incarnation + 1;
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
        self.by_id.insert(incarnation_id(&known.member), known.member.name.clone());
        let before = self.others.insert(known.member.name.clone(), known);
        if let Some(it) = before {
            self.by_id.remove(&incarnation_id(&it.member));
        }
    }

    /// Takes the beats that another instance has heard of.
    pub fn merge_heartbeats(&mut self, now: Time, beats: &[Heartbeat]) {
        for Heartbeat { id, beat, age } in beats {
            let known = self.by_id.get(id).and_then(|it| self.others.get_mut(it));
            if let Some(it) = known {
                it.merge_beat(now - age.duration(), *beat, Source::Instance);
            }
        }
    }

    /// The beats that this instance has heard of lately.
    ///
    /// Guards against members that nobody repeats: where 60 members were told of in full, the same ones were told
    /// over and over, and one in fourteen counted as dead at some time though it lived, simulated at 295 instances
    /// with one datagram in twenty lost. It holds since all of such a fleet fit into one message.
    pub fn recent_heartbeats(&self, now: Time, rng: &mut impl Rng) -> Vec<Heartbeat> {
        let alive = self.others.values().filter(|it| self.is_alive(now, it));
        let beat = |it: &Known| Heartbeat {
            id: incarnation_id(&it.member),
            beat: it.beat,
            age: it.age(now),
        };
        let mut all: Vec<Heartbeat> = alive.map(beat).collect();
        if MAX_BEATS < all.len() {
            all.shuffle(rng);
            all.truncate(MAX_BEATS);
        }
        all
    }

    /// Whether the instance `name` is known to be leaving.
    pub fn is_leaving(&self, name: &str) -> bool {
        self.others.get(name).is_some_and(|it| it.member.is_leaving)
    }

    /// Takes an instance's record from the store. It says where the instance may be found, and isn't told on: it
    /// stays there when the instance is gone for good.
    pub fn add_record(&mut self, now: Time, member: Member) {
        self.first_listed.get_or_insert(now);
        let known = self.others.get(&member.name);
        let is_news = known.is_none_or(|it| it.member.incarnation < member.incarnation);
        if member.name == self.me.name || is_news {
            let member = Member { is_ready: false, ..member };
            self.merge_sighting(now, Sighting::of(member, Duration::ZERO), Source::Record);
        }
    }

    /// Forgets what has been silent for long. Returns what has become of the others since it was last called.
    pub fn expire(&mut self, now: Time) -> Vec<Change> {
        let mut changes = Vec::new();
        let is_large = self.is_large();
        self.others.retain(|name, it| {
            let status = it.status_at(now, is_large);
            if it.status != status {
                it.status = status;
                let silent = now.since(it.seen);
                changes.push(Change { name: name.clone(), status, source: it.source, silent });
            }
            status != Status::Forgotten
        });
        self.by_id.retain(|_, it| self.others.contains_key(it));
        changes
    }

    /// The other instances that are alive.
    pub fn alive(&self, now: Time) -> impl Iterator<Item = &Member> {
        let alive = self.others.values().filter(move |it| self.is_alive(now, it));
        alive.map(|it| &it.member)
    }

    fn is_alive(&self, now: Time, known: &Known) -> bool {
        known.status_at(now, self.is_large()) == Status::Alive
    }

    /// The other instances that are alive, or may be as far as one that has just started can know: it has read their
    /// records and hasn't heard of all yet.
    ///
    /// Guards against a fleet that starts at once: each would take itself for the only one, watch the store and take
    /// the lease. It ends by itself, as those that live are soon heard of, and those that are gone aren't waited for.
    pub fn presumed_alive(&self, now: Time) -> impl Iterator<Item = &Member> {
        let presumed_for = if self.is_large() { LISTED_ALIVE } else { DEAD_AFTER };
        let is_new = self.first_listed.is_some_and(|it| now.since(it) < presumed_for);
        let presumed = self
            .others
            .values()
            .filter(move |it| self.is_alive(now, it) || (is_new && it.source == Source::Record));
        presumed.map(|it| &it.member)
    }

    /// Whether there are many instances.
    pub fn is_large(&self) -> bool {
        LARGE <= self.others.len() + 1
    }

    /// Some instances to be told who lives: of those that do, and one of the rest and the `seeds`, which may be back.
    ///
    /// Guards against survivors that tell mostly the dead: after eight of eleven are gone, the other three would take
    /// each other for dead for seconds. It holds since the living get as much as if they were alone.
    pub fn gossip_targets(
        &self,
        now: Time,
        seeds: impl Iterator<Item = SocketAddr>,
        rng: &mut impl Rng,
    ) -> Vec<SocketAddr> {
        let alive: Vec<&Member> = self.presumed_alive(now).collect();
        let is_alive = |it: &SocketAddr| alive.iter().any(|member| member.peers == *it);
        let rest = self.others.values().map(|it| it.member.peers).chain(seeds);
        let back = rest.filter(|it| !is_alive(it)).choose(rng);
        let (count, near) = match self.is_large() {
            true => (LARGE_FANOUT_NEAR + LARGE_FANOUT_ANY, LARGE_FANOUT_NEAR),
            false => (FANOUT, 0),
        };
        let nearby = alive.iter().filter(|it| it.centre == self.me.centre);
        let near = nearby.choose_multiple(rng, near);
        // Where few are nearby, those elsewhere get their part.
        let any = alive.choose_multiple(rng, count - near.len());
        let told = near.into_iter().chain(any).map(|it| it.peers);
        let mut all: Vec<SocketAddr> = told.chain(back).collect();
        all.sort_unstable();
        all.dedup();
        all
    }

    /// The live instances that hear of each prompt that is sent: all, or those of this data centre.
    pub fn neighbours(&self, now: Time) -> impl Iterator<Item = &Member> {
        let is_large = self.is_large();
        self.presumed_alive(now).filter(move |it| !is_large || it.centre == self.me.centre)
    }

    /// Whether this instance is to look itself whether the store of cached prompts lives. Such a store
    /// takes twelve calls at once.
    pub fn is_cache_store_prober(&self, now: Time) -> bool {
        if !self.is_large() {
            return self.lease_rank(now) < LOOKING;
        }
        self.place_nearby(now, |_| true) < LOOKING_NEARBY
    }

    /// How many instances of this data centre come before this one where few do something for all, of those that
    /// `counts`. The order is one of names: by age, each instance of a rolling restart would take over from the
    /// one before it. Those that aren't ready yet count: when all start at once, none is, and all would do it.
    fn place_nearby(&self, now: Time, counts: impl Fn(&Member) -> bool) -> usize {
        let own = name_key(&self.me.name);
        let near =
            self.presumed_alive(now).filter(|it| it.centre == self.me.centre && !it.is_leaving);
        near.filter(|it| counts(it) && name_key(&it.name) < own).count()
    }

    /// Whether this instance is to watch the store: in a small fleet all do, in a large one the first
    /// of each data centre that the store answers.
    pub fn is_watcher(&self, now: Time) -> bool {
        self.standby_rank(now).is_none()
    }

    /// This instance's place in its data centre behind those that watch; nothing if it is one of them.
    pub fn standby_rank(&self, now: Time) -> Option<usize> {
        if !self.is_large() {
            return None;
        }
        let mut centres: Vec<&Arc<str>> = self.presumed_alive(now).map(|it| &it.centre).collect();
        centres.push(&self.me.centre);
        centres.sort_unstable();
        centres.dedup();
        self.place_nearby(now, |it| !it.is_away).checked_sub(WATCHERS.div_ceil(centres.len()))
    }

    /// Whether the instance `name` comes before this one where few do something for all.
    pub fn precedes(&self, name: &str) -> bool {
        name_key(name) < name_key(&self.me.name)
    }

    /// The instance that stands for `key` in `centre`, or anywhere if none does there: the same for all that know the
    /// same members, and the same as before for most keys when one joins or ends.
    pub fn owner(&self, now: Time, key: u64, centre: &str) -> &Member {
        let stands = |it: &&Member| it.is_ready && !it.is_leaving;
        let all = self.alive(now).chain([&self.me]).filter(stands);
        let home = all.max_by_key(|it| (*it.centre == *centre, hash::weight(&it.name, key)));
        home.unwrap_or(&self.me)
    }

    /// The part of the instances known of lately that are alive, this one included.
    ///
    /// Guards against a fleet that falls apart, where each side takes the other for dead: what one instance hands out
    /// for all would be handed out twice. It holds since the parts of all sides together are no more than one. Those
    /// that said that they leave don't count.
    pub fn alive_fraction(&self, now: Time) -> f64 {
        let others = self.others.values().filter(|it| !it.member.is_leaving);
        let (alive, known) = others.fold((1.0, 1.0), |(alive, known), it| {
            (alive + f64::from(u8::from(self.is_alive(now, it))), known + 1.0)
        });
        alive / known
    }

    /// All instances that count for the shared budget, this one included.
    pub fn budget_sharers(&self) -> u32 {
        u32::try_from(self.others.len()).unwrap_or(u32::MAX).saturating_add(1)
    }

    /// Members of which all is to be told: those of which there is something new, then the ones that were told of
    /// longest ago, for others that missed it.
    pub fn take_sightings(&mut self, now: Time) -> Vec<Sighting> {
        let told = self.others.values_mut().filter(|it| it.source != Source::Record);
        let mut all: Vec<&mut Known> = told.collect();
        all.sort_by_key(|it| (it.changed <= it.told, it.told));
        let due = all.into_iter().take(MAX_MEMBERS);
        due.map(|it| {
            it.told = now;
            it.sighting(now)
        })
        .collect()
    }

    /// This instance's place among those that may hold the lease, the youngest first, since a rolling restart
    /// comes to those that haven't been restarted yet. One that isn't ready itself comes last, but the others that
    /// aren't ready yet count: when all start at once, nobody knows for a while who is.
    ///
    /// Those that the store doesn't answer don't count. Guards against candidates that are all cut off from the
    /// store while the rest of the fleet reaches it: nobody takes the lease, weights grow too old for any request,
    /// and callers are refused for as long as the cut lasts. It shows as no order for seconds while the store is
    /// well. It holds since whoever stands for the lease reads the store, and so knows whether it is answered.
    pub fn lease_rank(&self, now: Time) -> usize {
        if !self.me.is_ready {
            return usize::MAX;
        }
        let own = age_key(&self.me);
        let stands = |it: &&Member| !it.is_leaving && !it.is_away;
        self.presumed_alive(now).filter(stands).filter(|it| age_key(it) < own).count()
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
