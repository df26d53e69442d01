//! Simulates instances in front of rate-limited servers in virtual time: limits and membership are the real code,
//! while datagrams, callers and servers are simulated.

#![allow(dead_code, reason = "each test file uses a part")]

#[path = "fragile.rs"]
pub(crate) mod fragile;

use std::{cmp::Reverse, collections::BinaryHeap, net::SocketAddr, sync::Arc, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use shallotlead_base::time::Time;
use shallotlead_gateway::{
    gossip::{Heartbeat, Member, Members, PERIOD, Sighting, Source},
    rate_limit::{Limit, Permission, Reply},
};

/// The rule under test: the length of the window, when it applies after a limit was advertised, and when an
/// instance counts as informed.
const WINDOW: Duration = Duration::from_secs(4);
const APPLIES_AFTER: Duration = Duration::from_secs(3);
const FORWARDED_FOR: Duration = Duration::from_millis(500);
/// How long an instance is exempt after a restart, freeze or partition.
const EXEMPT_FOR: Duration = Duration::from_secs(3);
/// How long a request waits for a permit.
const PERMIT_WAIT: Duration = Duration::from_millis(25);
/// How long after its start an instance is not ready.
const STARTUP: Duration = Duration::from_millis(600);
/// Data centres over which instances and servers are spread.
const CENTRES: [&str; 3] = ["a", "b", "c"];

/// Which requests count.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Counted {
    /// All since the limit was advertised.
    SinceAdvertised,
    /// Those of instances that had forwarded a response with the limit for a while.
    SinceForwarded,
}

/// State of the simulation.
pub(crate) struct Simulation {
    pub(crate) now: Time,
    pub(crate) instances: Vec<Instance>,
    pub(crate) servers: Vec<Server>,
    /// Pending events: time, sequence number, and index in `events`.
    queue: BinaryHeap<Reverse<(Time, u64, usize)>>,
    events: Vec<Option<Event>>,
    serial: u64,
    pub(crate) rng: SmallRng,
    /// Share of datagrams that are lost.
    pub(crate) loss: f64,
    /// Until when replies to permit requests are held back on their way.
    pub(crate) replies_held_until: Option<Time>,
    /// Pairs of instances that do not reach each other.
    pub(crate) partitioned_pairs: Vec<(usize, usize)>,
    /// Number of permit requests received.
    pub(crate) permit_requests: usize,
    /// The servers with a bounded queue, if such are simulated.
    service: Option<Box<fragile::Service>>,
}

/// A simulated instance.
pub(crate) struct Instance {
    members: Members,
    limits: Vec<Limit>,
    frozen_until: Time,
    isolated_until: Time,
    /// End of its exemption.
    exempt_until: Time,
    /// Deadlines of requests that wait for a permit, by server.
    waiting: Vec<Vec<Time>>,
    /// When it first forwarded a response with the limit, by server.
    forwarded_at: Vec<Option<Time>>,
    incarnation: u64,
}

/// A simulated server.
pub(crate) struct Server {
    pub(crate) limit: Option<f64>,
    /// When the limit was first advertised, and its changes since.
    pub(crate) advertised_at: Option<Time>,
    pub(crate) changes: Vec<(Time, Option<f64>)>,
    /// Requests that arrived: when, and from which instance.
    pub(crate) arrivals: Vec<(Time, usize)>,
    /// Requests per second, of all instances together, that prefer this server.
    pub(crate) demand: f64,
}

#[derive(Clone)]
enum Event {
    /// An instance receives a request, for which it prefers this server.
    RequestReceived(usize, usize),
    /// A request reaches its server.
    RequestArrived { instance: usize, server: usize, sent: Time },
    /// A server's response reaches the instance, if it is still the `incarnation` that sent the request.
    ResponseArrived {
        instance: usize,
        server: usize,
        sent: Time,
        per_second: Option<f64>,
        incarnation: u64,
    },
    /// An instance sends gossip.
    SendGossip(usize),
    /// Gossip arrives.
    GossipArrived { to: usize, members: Vec<Sighting>, beats: Vec<Heartbeat> },
    /// A rate limit update arrives.
    LimitArrived { to: usize, server: usize, per_second: Option<f64>, at: Time },
    /// A permit request arrives.
    PermitRequested {
        to: usize,
        from: usize,
        server: usize,
        per_second: Option<f64>,
        at: Time,
        asked: Time,
    },
    /// The reply to it arrives.
    PermitReplied { to: usize, server: usize, asked: Time, reply: Reply },
    /// A request has waited long enough for a server's permit.
    PermitTimedOut(usize, usize),
    /// An instance is ready that started as this incarnation.
    Ready(usize, u64),
    /// An event of servers with a bounded queue.
    Service(fragile::Event),
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250) as u8], 7000))
}

fn number(address: SocketAddr) -> usize {
    let SocketAddr::V4(it) = address else { panic!("addresses are IPv4") };
    let [_, _, high, low] = it.ip().octets();
    usize::from(high) * 250 + usize::from(low)
}

fn member(number: usize, incarnation: u64, is_ready: bool) -> Member {
    Member {
        name: Arc::from(format!("front-centre-{number}")),
        // Incarnations are start times in microseconds.
        incarnation: 1_700_000_000_000_000 + incarnation * 1_234_567,
        beat: 0,
        centre: Arc::from(CENTRES[number % CENTRES.len()]),
        callers: address(number),
        peers: address(number),
        is_ready,
        is_leaving: false,
        is_watching: true,
        is_away: false,
    }
}

impl Instance {
    fn open(number: usize, incarnation: u64, servers: usize, is_ready: bool) -> Self {
        Self {
            members: Members::new(member(number, incarnation, is_ready)),
            limits: vec![Limit::default(); servers],
            frozen_until: Time::ZERO,
            isolated_until: Time::ZERO,
            exempt_until: Time::ZERO,
            waiting: vec![Vec::new(); servers],
            forwarded_at: vec![None; servers],
            incarnation,
        }
    }
}

impl Simulation {
    /// `instances` that know each other, and one server for each of the `demands`.
    pub(crate) fn open(seed: u64, instances: usize, demands: &[f64]) -> Self {
        let now = Time::from_millis(1_000_000);
        let mut sim = Self {
            now,
            instances: (0..instances)
                .map(|it| Instance::open(it, 1, demands.len(), true))
                .collect(),
            servers: demands.iter().map(|it| Server::open(*it)).collect(),
            queue: BinaryHeap::new(),
            events: Vec::new(),
            serial: 0,
            rng: SmallRng::seed_from_u64(seed),
            loss: 0.0,
            replies_held_until: None,
            partitioned_pairs: Vec::new(),
            permit_requests: 0,
            service: None,
        };
        let all: Vec<Member> = sim.instances.iter_mut().map(|it| it.members.announce()).collect();
        for it in &mut sim.instances {
            for member in &all {
                it.members.receive(now, member.clone());
            }
        }
        for it in 0..instances {
            let first = sim.random(PERIOD);
            sim.schedule(first, Event::SendGossip(it));
            for server in 0..demands.len() {
                sim.schedule_request(it, server);
            }
        }
        sim
    }

    /// Simulates a time span.
    pub(crate) fn run(&mut self, span: Duration) {
        let until = self.now + span;
        while let Some(Reverse((at, _, index))) = self.queue.peek().copied()
            && at <= until
        {
            self.queue.pop();
            self.now = at;
            if let Some(it) = self.events[index].take() {
                self.handle(it);
            }
        }
        self.now = until;
    }

    /// The server advertises another limit, or none any more.
    pub(crate) fn advertise_limit(&mut self, server: usize, per_second: Option<f64>) {
        let now = self.now;
        if self.servers[server].advertised_at.is_none() {
            self.instances.iter_mut().for_each(|it| it.forwarded_at[server] = None);
        }
        let server = &mut self.servers[server];
        server.limit = per_second;
        server.changes.push((now, per_second));
        server.advertised_at = match (server.advertised_at, per_second) {
            (Some(it), Some(_)) => Some(it),
            (None, Some(_)) => Some(now),
            (_, None) => None,
        };
    }

    /// The instance is killed and started again.
    pub(crate) fn restart(&mut self, instance: usize) {
        let incarnation = self.instances[instance].incarnation + 1;
        let mut started = Instance::open(instance, incarnation, self.servers.len(), false);
        started.exempt_until = self.now + EXEMPT_FOR;
        for other in 0..self.instances.len() {
            if other != instance {
                let record = member(other, self.instances[other].incarnation, true);
                started.members.add_record(self.now, record);
            }
        }
        self.instances[instance] = started;
        self.restart_client(instance, incarnation);
        self.schedule(STARTUP, Event::Ready(instance, incarnation));
    }

    /// The instance starts to shut down and announces it.
    pub(crate) fn shut_down(&mut self, instance: usize) {
        let me = self.instances[instance].members.me_mut();
        me.is_leaving = true;
        me.is_ready = false;
        self.send_own_state(instance);
    }

    pub(crate) fn freeze(&mut self, instance: usize, span: Duration) {
        let until = self.now + span;
        self.instances[instance].frozen_until = until;
        self.instances[instance].exempt_until = until + EXEMPT_FOR;
    }

    /// The instance reaches no other one.
    pub(crate) fn isolate(&mut self, instance: usize, span: Duration) {
        let until = self.now + span;
        self.instances[instance].isolated_until = until;
        self.instances[instance].exempt_until = until + EXEMPT_FOR;
    }

    /// This many requests that prefer the server arrive at once.
    pub(crate) fn burst(&mut self, server: usize, requests: usize) {
        for _ in 0..requests {
            let instance = self.rng.random_range(0..self.instances.len());
            self.schedule(Duration::from_millis(1), Event::RequestReceived(instance, server));
        }
    }

    fn random(&mut self, up_to: Duration) -> Duration {
        up_to.mul_f64(self.rng.random())
    }

    fn schedule(&mut self, span: Duration, event: Event) {
        self.serial += 1;
        let index = self.events.len();
        self.events.push(Some(event));
        self.queue.push(Reverse((self.now + span, self.serial, index)));
    }

    fn send_datagram(&mut self, from: usize, to: usize, event: Event) {
        let is_isolated = |it: usize| self.now < self.instances[it].isolated_until;
        let is_partitioned =
            self.partitioned_pairs.iter().any(|it| *it == (from, to) || *it == (to, from));
        if is_isolated(from) || is_isolated(to) || is_partitioned || self.rng.random_bool(self.loss)
        {
            return;
        }
        let delay = Duration::from_millis(1) + self.random(Duration::from_millis(3));
        self.schedule(delay, event);
    }

    fn schedule_request(&mut self, instance: usize, server: usize) {
        let mean = self.instances.len() as f64 / self.servers[server].demand;
        let pause = -mean * f64::ln(1.0 - self.rng.random::<f64>());
        self.schedule(Duration::from_secs_f64(pause), Event::RequestReceived(instance, server));
    }

    fn target(event: &Event) -> Option<usize> {
        match event {
            Event::RequestReceived(it, _)
            | Event::SendGossip(it)
            | Event::PermitTimedOut(it, _) => Some(*it),
            Event::ResponseArrived { instance: it, .. } | Event::Ready(it, _) => Some(*it),
            Event::GossipArrived { to, .. }
            | Event::LimitArrived { to, .. }
            | Event::PermitRequested { to, .. }
            | Event::PermitReplied { to, .. } => Some(*to),
            Event::Service(it) => it.instance(),
            Event::RequestArrived { .. } => None,
        }
    }

    fn handle(&mut self, event: Event) {
        if let Some(target) = Self::target(&event) {
            let frozen_until = self.instances[target].frozen_until;
            if self.now < frozen_until {
                let left = frozen_until.since(self.now);
                self.schedule(left, event);
                return;
            }
        }
        let now = self.now;
        match event {
            Event::RequestReceived(instance, server) => {
                self.start_request(instance, server);
                self.schedule_request(instance, server);
            }
            Event::PermitTimedOut(instance, server) => {
                let it = &mut self.instances[instance];
                let before = it.waiting[server].len();
                it.waiting[server].retain(|it| now < *it);
                if it.waiting[server].len() < before {
                    it.limits[server].record_timeout(now);
                }
            }
            Event::RequestArrived { instance, server, sent } => {
                self.receive_request(instance, server, sent)
            }
            Event::ResponseArrived { instance, server, sent, per_second, incarnation } => {
                if self.instances[instance].incarnation == incarnation {
                    self.receive_response(instance, server, sent, per_second);
                }
            }
            Event::SendGossip(instance) => self.send_gossip(instance),
            Event::GossipArrived { to, members, beats } => {
                let it = &mut self.instances[to].members;
                for member in members {
                    it.merge_sighting(now, member, Source::Instance);
                }
                it.merge_heartbeats(now, &beats);
            }
            Event::LimitArrived { to, server, per_second, at } => {
                self.instances[to].limits[server].adopt(at, per_second);
            }
            Event::PermitRequested { to, from, server, per_second, at, asked } => {
                self.permit_requests += 1;
                let share = self.share(to, server);
                let limit = &mut self.instances[to].limits[server];
                limit.adopt(at, per_second);
                let reply = limit.grant(now, share);
                let replied = Event::PermitReplied { to: from, server, asked, reply };
                match self.replies_held_until.filter(|it| now < *it) {
                    Some(until) => self.schedule(until.since(now), replied),
                    None => self.send_datagram(to, from, replied),
                }
            }
            Event::PermitReplied { to, server, asked, reply } => {
                self.handle_permit_reply(to, server, asked, reply)
            }
            Event::Service(event) => self.handle_service(event),
            Event::Ready(instance, incarnation) => {
                if self.instances[instance].incarnation == incarnation {
                    self.instances[instance].members.me_mut().is_ready = true;
                    self.send_own_state(instance);
                }
            }
        }
    }

    fn owner(&self, instance: usize, server: usize) -> usize {
        let centre = CENTRES[server % CENTRES.len()];
        let key = 0x9e37_79b9 + server as u64;
        number(self.instances[instance].members.owner(self.now, key, centre).peers)
    }

    fn share(&self, instance: usize, server: usize) -> Option<f64> {
        let is_owner = self.owner(instance, server) == instance;
        is_owner.then(|| self.instances[instance].members.alive_fraction(self.now))
    }

    fn start_request(&mut self, instance: usize, server: usize) {
        let now = self.now;
        let owner = self.owner(instance, server);
        let share = self.share(instance, server);
        let it = &mut self.instances[instance];
        if !it.members.me().is_ready {
            return;
        }
        match it.limits[server].acquire(now, share) {
            Permission::Granted => self.send(instance, server),
            Permission::Denied => {}
            Permission::Ask => {
                let per_second = it.limits[server].per_second();
                let at = now - it.limits[server].age(now);
                it.waiting[server].push(now + PERMIT_WAIT);
                let (to, from, asked) = (owner, instance, now);
                let request = Event::PermitRequested { to, from, server, per_second, at, asked };
                self.send_datagram(instance, owner, request);
                self.schedule(PERMIT_WAIT, Event::PermitTimedOut(instance, server));
            }
        }
    }

    fn handle_permit_reply(&mut self, instance: usize, server: usize, asked: Time, reply: Reply) {
        let now = self.now;
        if !self.instances[instance].limits[server].apply_reply(now, asked, reply) {
            return;
        }
        let waiting = std::mem::take(&mut self.instances[instance].waiting[server]);
        if let Reply::Granted(permits) = reply {
            let (sent, rest) = waiting.split_at(waiting.len().min(usize::from(permits)));
            self.instances[instance].waiting[server] = rest.to_vec();
            for _ in sent {
                self.start_request(instance, server);
            }
        }
    }

    fn send(&mut self, instance: usize, server: usize) {
        let delay = Duration::from_millis(1) + self.random(Duration::from_millis(1));
        self.schedule(delay, Event::RequestArrived { instance, server, sent: self.now });
    }

    fn receive_request(&mut self, instance: usize, server: usize, sent: Time) {
        self.servers[server].arrivals.push((self.now, instance));
        let delay = Duration::from_millis(30) + self.random(Duration::from_millis(300));
        let per_second = self.servers[server].limit;
        let incarnation = self.instances[instance].incarnation;
        let response = Event::ResponseArrived { instance, server, sent, per_second, incarnation };
        self.schedule(delay, response);
    }

    fn receive_response(
        &mut self,
        instance: usize,
        server: usize,
        sent: Time,
        per_second: Option<f64>,
    ) {
        let now = self.now;
        let it = &mut self.instances[instance];
        if per_second.is_some() {
            it.forwarded_at[server].get_or_insert(now);
        }
        let at = if per_second.is_some() { now } else { sent };
        if it.limits[server].observe(at, per_second) {
            for to in 0..self.instances.len() {
                let update = Event::LimitArrived { to, server, per_second, at };
                if to != instance {
                    self.send_datagram(instance, to, update);
                }
            }
        }
    }

    fn send_gossip(&mut self, instance: usize) {
        let now = self.now;
        let Self { instances, rng, .. } = self;
        let it = &mut instances[instance].members;
        it.expire(now);
        let targets = it.gossip_targets(now, std::iter::empty(), rng);
        let mut members = vec![Sighting::of(it.announce(), Duration::ZERO)];
        members.extend(it.take_sightings(now));
        let beats = it.recent_heartbeats(now, rng);
        for target in targets {
            let to = number(target);
            let gossip =
                Event::GossipArrived { to, members: members.clone(), beats: beats.clone() };
            self.send_datagram(instance, to, gossip);
        }
        self.schedule(PERIOD, Event::SendGossip(instance));
    }

    fn send_own_state(&mut self, instance: usize) {
        let me = Sighting::of(self.instances[instance].members.announce(), Duration::ZERO);
        for to in 0..self.instances.len() {
            if to != instance {
                let members = vec![me.clone()];
                self.send_datagram(
                    instance,
                    to,
                    Event::GossipArrived { to, members, beats: Vec::new() },
                );
            }
        }
    }

    /// Compares the counted requests of the window that ends now with the allowed ones, at each server whose limit
    /// applies.
    pub(crate) fn check(&self, counted: Counted) -> Result<(), String> {
        for (number, server) in self.servers.iter().enumerate() {
            let Some(advertised_at) =
                server.advertised_at.filter(|it| APPLIES_AFTER <= self.now.since(*it))
            else {
                continue;
            };
            let counts = |it: &&(Time, usize)| {
                let from = &self.instances[it.1];
                let is_informed =
                    from.forwarded_at[number].is_some_and(|at| at + FORWARDED_FOR <= it.0);
                advertised_at <= it.0
                    && from.exempt_until <= self.now
                    && (is_informed || counted == Counted::SinceAdvertised)
            };
            let recent = server.arrivals.iter().rev();
            let recent = recent.take_while(|it| self.now.since(it.0) < WINDOW);
            let arrived = recent.filter(counts).count() as f64;
            let allowed = 1.5 * server.highest_limit(self.now) * WINDOW.as_secs_f64() + 5.0;
            if allowed < arrived {
                let ago = self.now.since(advertised_at);
                return Err(format!(
                    "server {number}: {arrived} requests in 4 s, {allowed} allowed, {ago:?} after it was advertised"
                ));
            }
        }
        Ok(())
    }
}

impl Server {
    fn open(demand: f64) -> Self {
        Self { limit: None, advertised_at: None, changes: Vec::new(), arrivals: Vec::new(), demand }
    }

    /// The highest limit in force within the window that ends now, including the one in force at its start.
    fn highest_limit(&self, now: Time) -> f64 {
        let within = self.changes.iter().rev();
        let mut highest = 0.0_f64;
        for (at, limit) in within {
            highest = highest.max(limit.unwrap_or(0.0));
            if WINDOW <= now.since(*at) {
                break;
            }
        }
        highest
    }

    /// Number of requests that arrived since.
    pub(crate) fn arrived_since(&self, since: Time) -> usize {
        self.arrivals.iter().filter(|it| since <= it.0).count()
    }
}
