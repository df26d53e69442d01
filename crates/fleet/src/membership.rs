//! Membership: which instances are alive, the state of backend servers, and the configuration
//! version in force in each data centre.
//!
//! Failures are detected by heartbeats, probes and suspicion; changes spread by gossip, and
//! anti-entropy repairs what gossip missed.

use std::{mem, sync::Arc, time::Duration};

use anti_entropy::{JOIN_RETRY, QUIET_PERIOD};
use fact::{Fact, Facts, Status};
use gossip::{GOSSIP_BURST_BYTES, GOSSIP_INTERVAL};
use message::{Message, Piggyback};
use monitor::Monitor;
use queue::Queue;
use rand::{
    Rng, SeedableRng,
    rngs::SmallRng,
    seq::{IteratorRandom, SliceRandom},
};
use reachability::{PLATFORM_TAG, Reachability};
use ring::Ring;
use roster::{Outcome, Roster};
use shallotlead_base::{
    hash::Map,
    id::{Incarnation, Version},
    name,
    time::Time,
};
use shallotlead_table::{change::Change, snapshot::Snapshot};
use status::VERSION_REPORTS;

use crate::{
    delivery::Delivery,
    node::{ListedInstance, ServerState},
    outbox::Outbox,
    view::{Member, State, View},
};

mod anti_entropy;
mod detection;
pub mod fact;
pub(crate) mod flap;
mod gossip;
pub mod message;
pub(crate) mod monitor;
pub(crate) mod queue;
pub mod reachability;
pub(crate) mod ring;
pub(crate) mod roster;
mod status;
pub(crate) mod suspicion;

/// Time between heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Time between digests sent to a random member of each region.
const ANTI_ENTROPY_INTERVAL: Duration = Duration::from_secs(1);
/// Time between probes of a random dead member, which may have recovered.
const DEAD_PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// Time between clean-ups of expired flap damping, dead members and probe requests.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest time between two statuses of this data centre.
const STATUS_INTERVAL: Duration = Duration::from_secs(1);
/// Most bytes of facts in one heartbeat.
const HEARTBEAT_FACT_BYTES: usize = 200;

/// Sequence number of the first known state of a server.
const FIRST_SEQUENCE: u64 = 1;

/// A change that the node has to act on.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Event {
    /// A peer reported the configuration version in force there.
    Version { from: name::Instance, version: Version },
    /// A server's state changed.
    Server { name: name::Server, state: ServerState },
    /// An accepted change was received by gossip.
    Change(Change),
    /// A data centre's status changed.
    CentreStatus,
}

/// When periodic work is due.
#[derive(Debug, Default)]
struct Due {
    heartbeat: Time,
    gossip_round: Time,
    anti_entropy: Time,
    dead_probe: Time,
    join: Time,
    cleanup: Time,
    status: Time,
    version_report: Time,
}

/// One instance's membership protocol and its state.
#[derive(Debug)]
pub(crate) struct Membership {
    me: Member,
    is_leaving: bool,
    rng: SmallRng,
    roster: Roster,
    gossip_queue: Queue,
    reachability: Reachability,
    ring: Ring,
    monitors: Map<name::Instance, Monitor>,
    /// Instances that asked for an indirect probe of the key, and when.
    probe_requesters: Map<name::Instance, Vec<(name::Instance, Time)>>,
    versions: Map<name::Instance, Version>,
    view: Arc<View>,
    generation: u64,
    is_view_stale: bool,
    /// Whether any member may be suspected.
    may_have_suspects: bool,
    events: Vec<Event>,
    due: Due,
    next_tick: Time,
    started: Time,
    table_version: Version,
    /// The instance that aggregates this data centre's status.
    status_owner: Option<name::Instance>,
    /// Reports of a new version in force here that are still to be sent to the status owner.
    version_reports_left: u32,
    has_asked_to_join: bool,
    has_joined: bool,
    last_announcement: Time,
    join_wait: Duration,
    /// When this instance last learned of a change, minor facts excepted.
    last_news: Time,
    last_comparison: Time,
    gossip_credit_bytes: f64,
    gossip_credited_at: Time,
    probe_number: u32,
    health_penalty: u32,
    last_health_change: Time,
}

impl Membership {
    pub(crate) fn new(now: Time, me: Member, seed: u64) -> Self {
        let mut roster = Roster::new();
        roster.apply_member(now, &me.name, me.incarnation, State::Alive, Some(&me));
        let mut membership = Self {
            is_leaving: false,
            rng: SmallRng::seed_from_u64(seed),
            roster,
            gossip_queue: Queue::default(),
            reachability: Reachability::default(),
            ring: Ring::default(),
            monitors: Map::default(),
            probe_requesters: Map::default(),
            versions: Map::default(),
            view: Arc::new(View::new(&me, 0, Vec::new())),
            generation: 0,
            is_view_stale: true,
            may_have_suspects: false,
            events: Vec::new(),
            due: Due::default(),
            next_tick: Time::MAX,
            started: now,
            table_version: Version(0),
            status_owner: None,
            version_reports_left: 0,
            has_asked_to_join: false,
            has_joined: false,
            last_announcement: now,
            join_wait: JOIN_RETRY,
            last_news: now,
            last_comparison: now,
            gossip_credit_bytes: GOSSIP_BURST_BYTES,
            gossip_credited_at: now,
            probe_number: 0,
            health_penalty: 0,
            last_health_change: now,
            me,
        };
        membership.randomize_phases(now);
        membership.rebuild_view(now);
        membership
    }

    pub(crate) fn view(&self) -> &Arc<View> {
        &self.view
    }

    /// The latest known status of each data centre.
    pub(crate) fn statuses(&self) -> Vec<Status> {
        self.roster.statuses().cloned().collect()
    }

    /// The version in force at `name`, as last reported.
    pub(crate) fn version(&self, name: &name::Instance) -> Option<Version> {
        self.versions.get(name).copied()
    }

    /// When the platform last answered any instance whose messages reach this one.
    pub(crate) fn last_platform_answer(&self) -> Time {
        self.reachability.last(PLATFORM_TAG).unwrap_or(self.started)
    }

    /// Records that the platform answered this instance.
    pub(crate) fn record_platform_answer(&mut self, now: Time) {
        self.reachability.record(PLATFORM_TAG, now);
    }

    pub(crate) fn take_events(&mut self) -> Vec<Event> {
        mem::take(&mut self.events)
    }

    /// Adds the unknown members of the platform's list. The list lags, so it never changes the state
    /// of a known member.
    pub(crate) fn add_listed(&mut self, now: Time, rows: &[ListedInstance]) {
        for row in rows.iter().filter(|it| it.member.name != self.me.name) {
            let mut member = row.member.clone();
            member.incarnation = Incarnation(0);
            let state = if row.is_leaving { State::Leaving } else { State::Alive };
            if self.roster.get(&member.name).is_none() {
                let name = member.name.clone();
                self.roster.apply_member(now, &name, Incarnation(0), state, Some(&member));
                self.is_view_stale = true;
            }
        }
    }

    /// Records the state of a server that this instance, its keeper, found, and gossips a change.
    pub(crate) fn record_server_state(
        &mut self,
        now: Time,
        name: &name::Server,
        state: ServerState,
    ) {
        let known = self.roster.server(name);
        if known.is_some_and(|(_, it)| it == state) {
            return;
        }
        let sequence = known.map_or(FIRST_SEQUENCE, |(sequence, _)| sequence + 1);
        self.roster.apply_server(name, sequence, state);
        self.events.push(Event::Server { name: name.clone(), state });
        let fact = Fact::Server { name: name.clone(), sequence, state };
        self.last_news = now;
        // First states are left to anti-entropy: after a start there are thousands.
        if known.is_some() {
            self.enqueue(now, fact);
        }
    }

    /// Records a server of this data centre as up when its load report is the first sign of it.
    pub(crate) fn record_load_report(&mut self, name: &name::Server, incarnation: Incarnation) {
        if self.roster.server(name).is_none() {
            let state = ServerState::Up(incarnation);
            self.roster.apply_server(name, FIRST_SEQUENCE, state);
            self.events.push(Event::Server { name: name.clone(), state });
        }
    }

    /// Sets the table in force here and has its version reported to the status owner.
    pub(crate) fn set_table(&mut self, now: Time, snapshot: &Snapshot) {
        self.table_version = snapshot.version;
        self.version_reports_left = VERSION_REPORTS;
        self.due.version_report = now;
        self.versions.insert(self.me.name.clone(), snapshot.version);
        self.roster.retain_servers(|it| snapshot.servers.contains_key(it));
    }

    /// Gossips an accepted change.
    pub(crate) fn gossip_change(&mut self, now: Time, change: Change) {
        self.enqueue(now, Fact::Change(change));
    }

    /// Announces that this instance is shutting down.
    pub(crate) fn announce_leaving(&mut self, now: Time) {
        self.is_leaving = true;
        self.announce(now, self.me.incarnation);
        self.is_view_stale = true;
    }

    /// Records the configuration version that a peer reported.
    pub(crate) fn record_version(&mut self, from: &name::Instance, version: Version) {
        self.versions.insert(from.clone(), version);
        self.events.push(Event::Version { from: from.clone(), version });
    }

    /// Records that a message of any kind arrived from a peer.
    pub(crate) fn record_contact(&mut self, now: Time, from: &name::Instance) {
        if let Some(monitor) = self.monitors.get_mut(from) {
            monitor.record_contact(now);
        }
        if let Some(row) = self.roster.get(from) {
            let tag = reachability::region_tag(&row.member.region);
            if row.member.region != self.me.region {
                self.reachability.record(tag, now);
            }
        }
    }

    pub(crate) fn handle_message(
        &mut self,
        now: Time,
        from: &name::Instance,
        message: Message,
        out: &mut Outbox<'_>,
    ) {
        self.tell_dead_sender(from, out);
        match message {
            Message::Heartbeat(piggyback) | Message::Gossip(piggyback) => {
                self.apply_piggyback(now, from, piggyback)
            }
            Message::Probe { number, piggyback } => {
                self.apply_piggyback(now, from, piggyback);
                let piggyback = self.take_piggyback(now, HEARTBEAT_FACT_BYTES, 1);
                out.send(from, Message::Ack { number, piggyback }, Delivery::Datagram);
            }
            Message::Ack { piggyback, .. } => {
                self.apply_piggyback(now, from, piggyback);
                for (requester, _) in self.probe_requesters.remove(from).unwrap_or_default() {
                    let target = from.clone();
                    out.send(&requester, Message::IndirectAck { target }, Delivery::Datagram);
                }
            }
            Message::ProbeRequest { target } => {
                self.probe_requesters.entry(target.clone()).or_default().push((from.clone(), now));
                self.probe(now, &target, Vec::new(), out);
            }
            Message::IndirectAck { target } => {
                if let Some(monitor) = self.monitors.get_mut(&target) {
                    monitor.record_contact(now);
                }
            }
            Message::Digest { digest, piggyback } => {
                self.apply_piggyback(now, from, piggyback);
                self.compare_digest(now, from, digest, out);
            }
            Message::BucketDigests { digests } => self.send_difference(from, &digests, out),
            Message::Difference { digests, facts } => {
                self.has_joined |= self.has_asked_to_join;
                self.apply_difference(now, from, facts.0);
                self.return_difference(from, &digests, out);
            }
            Message::Join(member) => self.handle_join(now, from, member, out),
        }
    }

    /// Runs what is due. Returns when to call again.
    pub(crate) fn tick(&mut self, now: Time, out: &mut Outbox<'_>) -> Time {
        self.detect_pause(now);
        if self.is_view_stale {
            self.rebuild_view(now);
        }
        if self.due.join <= now {
            self.due.join = self.ask_to_join(now, out);
        }
        if self.due.heartbeat <= now {
            self.send_heartbeats(now, out);
            self.due.heartbeat = now + HEARTBEAT_INTERVAL;
        }
        self.probe_silent_members(now, out);
        self.end_suspicions(now);
        if self.due.anti_entropy <= now {
            self.send_digests(now, out);
            self.due.anti_entropy = now + ANTI_ENTROPY_INTERVAL;
        }
        if self.due.dead_probe <= now {
            self.probe_dead_member(now, out);
            self.due.dead_probe = now + DEAD_PROBE_INTERVAL;
        }
        if self.due.cleanup <= now {
            self.clean_up(now);
            self.due.cleanup = now + CLEANUP_INTERVAL;
        }
        if self.due.version_report <= now {
            self.report_version(now, out);
        }
        if self.due.status <= now {
            self.update_status(now);
            self.due.status = now + STATUS_INTERVAL;
        }
        if self.is_view_stale {
            self.rebuild_view(now);
        }
        if !self.gossip_queue.is_empty() && self.due.gossip_round <= now {
            self.send_gossip(now, out);
            self.due.gossip_round = now + GOSSIP_INTERVAL;
        }
        self.next_tick = self.next_due();
        self.next_tick
    }

    /// Gives periodic work a random phase, so that instances started together don't send together.
    fn randomize_phases(&mut self, now: Time) {
        let mut phase = |period: Duration| now + period.mul_f64(self.rng.random_range(0.0..1.0));
        self.due = Due {
            heartbeat: phase(HEARTBEAT_INTERVAL),
            gossip_round: now,
            anti_entropy: phase(ANTI_ENTROPY_INTERVAL),
            dead_probe: phase(DEAD_PROBE_INTERVAL),
            join: now,
            cleanup: phase(CLEANUP_INTERVAL),
            status: phase(STATUS_INTERVAL),
            version_report: now,
        };
    }

    pub(crate) fn next_due(&self) -> Time {
        let due = &self.due;
        let periodic = [
            due.heartbeat,
            due.anti_entropy,
            due.dead_probe,
            due.cleanup,
            due.status,
            due.version_report,
            due.join,
        ];
        let mut next = periodic.into_iter().min().unwrap_or(Time::MAX);
        if !self.gossip_queue.is_empty() {
            next = next.min(due.gossip_round);
        }
        let silences = self.monitors.values().map(|it| it.next(self.health_penalty));
        silences.fold(next, Time::min)
    }

    /// Informs a sender that counts as dead here, so that it can refute this.
    fn tell_dead_sender(&mut self, from: &name::Instance, out: &mut Outbox<'_>) {
        let Some(row) = self.roster.get(from) else { return };
        if row.state == State::Dead {
            let facts = vec![row.fact()];
            let piggyback = Piggyback {
                table_version: self.table_version,
                ages: Vec::new(),
                facts: Facts(facts),
            };
            out.send(from, Message::Gossip(piggyback), Delivery::Datagram);
        }
    }

    fn apply_piggyback(&mut self, now: Time, from: &name::Instance, piggyback: Piggyback) {
        self.record_version(from, piggyback.table_version);
        self.reachability.merge(now, &piggyback.ages, reachability::region_tag(&self.me.region));
        for fact in piggyback.facts.0 {
            if self.apply(now, &fact) == Outcome::Applied {
                self.enqueue(now, fact);
            }
        }
    }

    fn apply(&mut self, now: Time, fact: &Fact) -> Outcome {
        let outcome = match fact {
            Fact::Member { member, state } => {
                self.apply_member_state(now, &member.name, member.incarnation, *state, Some(member))
            }
            Fact::State { name, incarnation, state } => {
                self.apply_member_state(now, name, *incarnation, *state, None)
            }
            Fact::Suspect { name, incarnation, .. } if *name == self.me.name => {
                self.refute(now, *incarnation, State::Suspect)
            }
            Fact::Suspect { name, incarnation, by } => {
                let outcome = self.roster.apply_suspicion(now, name, *incarnation, by);
                self.is_view_stale |= outcome == Outcome::Applied;
                self.may_have_suspects = true;
                outcome
            }
            Fact::Server { name, sequence, state } => {
                let outcome = self.roster.apply_server(name, *sequence, *state);
                if outcome == Outcome::Applied {
                    self.events.push(Event::Server { name: name.clone(), state: *state });
                }
                outcome
            }
            Fact::Centre(status) => {
                let outcome = self.roster.apply_status(status);
                if outcome == Outcome::Applied {
                    self.events.push(Event::CentreStatus);
                }
                outcome
            }
            // The replica of the table decides whether the change is new, and has it gossiped.
            Fact::Change(change) => {
                if self.table_version < change.version {
                    self.events.push(Event::Change(change.clone()));
                }
                Outcome::Ignored
            }
        };
        if outcome == Outcome::Applied && !fact.is_minor() {
            self.last_news = now;
        }
        outcome
    }

    fn apply_member_state(
        &mut self,
        now: Time,
        name: &name::Instance,
        incarnation: Incarnation,
        state: State,
        member: Option<&Member>,
    ) -> Outcome {
        if *name == self.me.name {
            return self.refute(now, incarnation, state);
        }
        let outcome = self.roster.apply_member(now, name, incarnation, state, member);
        self.is_view_stale |= outcome == Outcome::Applied;
        outcome
    }

    /// Refutes a false state of this instance by announcing a higher incarnation. This includes
    /// states of an earlier incarnation that is higher because the clock was set back since.
    fn refute(&mut self, now: Time, incarnation: Incarnation, state: State) -> Outcome {
        let own = if self.is_leaving { State::Leaving } else { State::Alive };
        let known = self.me.incarnation;
        let harmless = incarnation == known && (state == own || state == State::Alive);
        if known < incarnation || (incarnation == known && !harmless && state != own) {
            self.announce(now, Incarnation(incarnation.0 + 1));
        } else if incarnation < known && state == State::Dead {
            self.announce_if_due(now);
        }
        Outcome::Ignored
    }

    /// Announces this instance again for peers that only know its previous incarnation, at most once
    /// per [`QUIET_PERIOD`].
    fn announce_if_due(&mut self, now: Time) {
        if QUIET_PERIOD <= now.since(self.last_announcement) {
            self.announce(now, self.me.incarnation);
        }
    }

    fn announce(&mut self, now: Time, incarnation: Incarnation) {
        self.last_announcement = now;
        self.me.incarnation = incarnation;
        let state = if self.is_leaving { State::Leaving } else { State::Alive };
        let member = self.me.clone();
        self.roster.apply_member(now, &member.name, incarnation, state, Some(&member));
        self.enqueue(now, Fact::Member { member, state });
    }

    fn send_heartbeats(&mut self, now: Time, out: &mut Outbox<'_>) {
        let observers = self.ring.observers(&self.me.name);
        if observers.is_empty() {
            return;
        }
        let piggyback = self.take_piggyback(now, HEARTBEAT_FACT_BYTES, observers.len() as u32);
        for to in &observers {
            out.send(to, Message::Heartbeat(piggyback.clone()), Delivery::Datagram);
        }
    }

    fn clean_up(&mut self, now: Time) {
        self.is_view_stale |= self.roster.forget_dead(now);
        for row in self.roster.rows_mut() {
            self.is_view_stale |= row.flap.release(now);
        }
        let changed = self.view.entries().iter().any(|it| {
            let reachable = is_reachable(&self.reachability, now, &self.me, &it.member);
            it.is_reachable != reachable
        });
        self.is_view_stale |= changed;
        self.probe_requesters.retain(|_, requesters| {
            requesters.retain(|(_, at)| now.since(*at) < CLEANUP_INTERVAL);
            !requesters.is_empty()
        });
        let roster = &self.roster;
        self.versions.retain(|name, _| roster.get(name).is_some());
    }

    /// Up to `count` random members other than this one that are reachable, not dead and accepted by
    /// `keep`.
    fn random_members(
        &mut self,
        count: usize,
        keep: impl Fn(&Member) -> bool,
    ) -> Vec<name::Instance> {
        let live =
            self.view.entries().iter().filter(|it| it.is_reachable && it.state < State::Dead);
        let others = live.map(|it| &it.member).filter(|it| it.name != self.me.name && keep(it));
        let mut chosen = others.choose_multiple(&mut self.rng, count);
        chosen.shuffle(&mut self.rng);
        chosen.into_iter().map(|it| it.name.clone()).collect()
    }

    fn rebuild_view(&mut self, now: Time) {
        self.is_view_stale = false;
        let entries = self.roster.rows().map(|row| {
            let reachable = is_reachable(&self.reachability, now, &self.me, &row.member);
            row.entry(now, reachable)
        });
        let view = View::new(&self.me, self.generation + 1, entries.collect());
        if view.entries() != self.view.entries() {
            self.generation += 1;
            self.view = Arc::new(view);
        }
        let in_region = self.view.entries().iter();
        let in_region =
            in_region.filter(|it| it.member.region == self.me.region && it.state < State::Dead);
        self.ring = Ring::new(in_region.map(|it| it.member.name.clone()));
        let first = self.view.owners_in_centre(&self.me.centre, status_key(&self.me.centre), 1);
        let reporter = first.into_iter().next().cloned();
        if reporter != self.status_owner {
            self.status_owner = reporter;
            self.version_reports_left = VERSION_REPORTS;
            self.due.version_report = now;
        }
        let mut old = mem::take(&mut self.monitors);
        for name in self.ring.observed_by(&self.me.name) {
            let since = self.roster.get(&name).map_or(now, |it| it.since);
            let monitor = old.remove(&name).unwrap_or_else(|| Monitor::new(now, since));
            self.monitors.insert(name, monitor);
        }
    }
}

/// Rendezvous key of the instances that aggregate the status and load of `centre` and watch the
/// platform for it.
pub(crate) fn status_key(centre: &name::Centre) -> u64 {
    shallotlead_base::hash::seeded(centre.as_str().as_bytes(), 1)
}

fn is_reachable(reachability: &Reachability, now: Time, me: &Member, member: &Member) -> bool {
    member.region == me.region
        || reachability.is_fresh(now, reachability::region_tag(&member.region))
}
