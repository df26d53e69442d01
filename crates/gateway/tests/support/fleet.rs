//! Simulates in virtual time a fleet whose instances end, restart, pause and are cut off.

use std::{
    collections::{BTreeMap, BTreeSet},
    iter,
    net::SocketAddr,
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use shallotlead_gateway::gossip::{Heartbeat, Member, Members, Sighting, Source};

use super::at;

/// Gossip interval in ms.
const PERIOD_MS: u64 = 600;
/// Step of virtual time in ms; also the delay of a datagram.
const STEP_MS: u64 = 20;
/// Interval of the observer's calls in ms.
const OBSERVE_INTERVAL_MS: u64 = 200;
/// A key whose owner is asked for.
const KEY: u64 = 77;
/// Time without a partition after which all know each other again, in ms.
const SETTLED_MS: u64 = 10_000;
/// An instance that always runs and is a seed for all others.
const SEED: usize = 0;

/// A gossip message.
#[derive(Clone)]
struct Gossip {
    from: Member,
    members: Vec<Sighting>,
    beats: Vec<Heartbeat>,
}

struct Node {
    members: Members,
    /// When it started, in ms.
    started_at: u64,
    /// When it ended, in ms.
    ended_at: Option<u64>,
    /// When its process resumes, in ms.
    paused_until: u64,
    /// Messages received while it was paused.
    held: Vec<(u64, Gossip)>,
}

/// A fleet in one data centre.
pub(crate) struct Fleet {
    nodes: Vec<Node>,
    pub(crate) now_ms: u64,
    in_flight: Vec<(usize, Gossip)>,
    /// Instances on the side of a partition without the seed.
    minority: BTreeSet<usize>,
    /// Those that have known each other since before the partition: an instance forgotten meanwhile cannot be found
    /// without the seed.
    connected_minority: BTreeSet<usize>,
    /// When all could last reach each other again, in ms.
    healed_at: u64,
    /// Pairs of running instances that reach each other but of which the first does not know the second, and since
    /// when, in ms.
    missed: BTreeMap<(usize, usize), u64>,
    rng: SmallRng,
    /// Share of datagrams that are lost.
    loss: f64,
    /// Each instance's record in the store.
    records: Vec<Member>,
    is_store_available: bool,
    /// Instances that started while the store was not available.
    unread: BTreeSet<usize>,
}

impl Fleet {
    /// `count` instances that start together.
    pub(crate) fn open(count: usize, loss: f64, seed: u64) -> Self {
        let rng = SmallRng::seed_from_u64(seed);
        let mut fleet = Self {
            nodes: Vec::new(),
            now_ms: 0,
            in_flight: Vec::new(),
            minority: BTreeSet::new(),
            connected_minority: BTreeSet::new(),
            healed_at: 0,
            missed: BTreeMap::new(),
            rng,
            loss,
            records: Vec::new(),
            is_store_available: true,
            unread: BTreeSet::new(),
        };
        (0..count).for_each(|_| fleet.join());
        fleet
    }

    pub(crate) fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Starts one more instance.
    pub(crate) fn join(&mut self) {
        let index = self.nodes.len();
        let members = Members::new(member(index, self.now_ms));
        let node = Node {
            members,
            started_at: self.now_ms,
            ended_at: None,
            paused_until: 0,
            held: Vec::new(),
        };
        self.nodes.push(node);
        self.records.push(member(index, self.now_ms));
        self.read_records(index);
    }

    /// The instance reads the records of all instances that ever existed from the store.
    pub(crate) fn read_records(&mut self, index: usize) {
        if !self.is_store_available {
            self.unread.insert(index);
            return;
        }
        for it in self.records.clone() {
            self.nodes[index].members.add_record(at(self.now_ms), it);
        }
        self.nodes[index].members.enter_fleet(false);
    }

    /// Instances that start while the store isn't available read its records once it is.
    pub(crate) fn set_store_available(&mut self, is_available: bool) {
        self.is_store_available = is_available;
        if is_available {
            for index in std::mem::take(&mut self.unread) {
                self.read_records(index);
            }
        }
    }

    pub(crate) fn uptime(&self, index: usize) -> Duration {
        Duration::from_millis(self.now_ms - self.nodes[index].started_at)
    }

    pub(crate) fn members(&self, index: usize) -> &Members {
        &self.nodes[index].members
    }

    pub(crate) fn end(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        (node.ended_at, node.paused_until) = (Some(self.now_ms), 0);
        node.held.clear();
        self.connected_minority.remove(&index);
    }

    /// Starts the instance again without any knowledge.
    pub(crate) fn start(&mut self, index: usize) {
        self.nodes[index].members = Members::new(member(index, self.now_ms));
        self.nodes[index].ended_at = None;
        self.nodes[index].started_at = self.now_ms;
        self.records[index] = member(index, self.now_ms);
        self.read_records(index);
    }

    pub(crate) fn pause(&mut self, index: usize, ms: u64) {
        self.nodes[index].paused_until = self.now_ms + ms;
        self.connected_minority.remove(&index);
    }

    /// Cuts `minority` off from all others, which include the seed.
    pub(crate) fn partition(&mut self, minority: BTreeSet<usize>) {
        let is_whole = self.minority.is_empty() && self.healed_at + SETTLED_MS <= self.now_ms;
        let running = minority.iter().filter(|it| self.is_running(**it));
        self.connected_minority = running.filter(|_| is_whole).copied().collect();
        self.minority = minority;
    }

    pub(crate) fn heal(&mut self) {
        self.minority.clear();
        self.healed_at = self.now_ms;
    }

    /// Simulates `ms` and calls `observe` regularly.
    pub(crate) fn run(&mut self, ms: u64, mut observe: impl FnMut(&mut Self)) {
        let until = self.now_ms + ms;
        while self.now_ms < until {
            self.now_ms += STEP_MS;
            self.step();
            if self.now_ms.is_multiple_of(OBSERVE_INTERVAL_MS) {
                observe(self);
            }
        }
    }

    fn step(&mut self) {
        for (to, gossip) in std::mem::take(&mut self.in_flight) {
            let node = &mut self.nodes[to];
            if self.now_ms < node.paused_until {
                node.held.push((self.now_ms, gossip));
            } else if node.ended_at.is_none() {
                receive(node, self.now_ms, 0, &gossip);
            }
        }
        for index in 0..self.nodes.len() {
            if self.is_running(index) {
                let node = &mut self.nodes[index];
                for (received_at, gossip) in std::mem::take(&mut node.held) {
                    receive(node, self.now_ms, self.now_ms - received_at, &gossip);
                }
                if (self.now_ms + 37 * index as u64) % PERIOD_MS < STEP_MS {
                    self.send_gossip(index);
                }
            }
        }
    }

    fn send_gossip(&mut self, index: usize) {
        let now = at(self.now_ms);
        let node = &mut self.nodes[index];
        node.members.expire(now);
        let gossip = Gossip {
            from: node.members.announce(),
            members: node.members.take_sightings(now),
            beats: node.members.recent_heartbeats(now, &mut self.rng),
        };
        for address in node.members.gossip_targets(now, iter::once(address(SEED)), &mut self.rng) {
            let to = index_at(address);
            let is_partitioned = self.minority.contains(&index) != self.minority.contains(&to);
            if to != index && !is_partitioned && !self.rng.random_bool(self.loss) {
                self.in_flight.push((to, gossip.clone()));
            }
        }
    }

    pub(crate) fn is_running(&self, index: usize) -> bool {
        let node = &self.nodes[index];
        node.ended_at.is_none() && node.paused_until <= self.now_ms
    }

    /// Whether a datagram from one running instance reaches the other.
    pub(crate) fn delivers(&mut self, from: usize, to: usize) -> bool {
        let is_partitioned = self.minority.contains(&from) != self.minority.contains(&to);
        self.is_running(to) && !is_partitioned && !self.rng.random_bool(self.loss)
    }

    pub(crate) fn has_ended(&self, index: usize) -> bool {
        self.nodes[index].ended_at.is_some()
    }

    /// Running instances with duties: those that watch the store, rank first for the lease, and own the key.
    pub(crate) fn with_duties(&self) -> [BTreeSet<usize>; 3] {
        let now = at(self.now_ms);
        let running: Vec<usize> = (0..self.len()).filter(|it| self.is_running(*it)).collect();
        let matching = |is_match: &dyn Fn(&Members) -> bool| -> BTreeSet<usize> {
            running.iter().copied().filter(|it| is_match(&self.nodes[*it].members)).collect()
        };
        [
            matching(&|it| it.is_watcher(now)),
            matching(&|it| it.lease_rank(now) == 0),
            matching(&|it| it.owner(now, KEY, "a").name == it.me().name),
        ]
    }

    /// Instances that `of` considers alive.
    fn alive(&self, of: usize) -> BTreeSet<usize> {
        self.nodes[of].members.alive(at(self.now_ms)).map(index).collect()
    }

    /// An instance and a dead one that it considers alive, which ended more than `ms` ago.
    pub(crate) fn listed_dead(&self, ms: u64) -> Option<(usize, usize)> {
        let ended_long_ago =
            |it: &usize| self.nodes[*it].ended_at.is_some_and(|it| it + ms < self.now_ms);
        let dead: BTreeSet<usize> = (0..self.len()).filter(ended_long_ago).collect();
        let mut running = (0..self.len()).filter(|it| self.is_running(*it));
        running.find_map(|of| Some((of, *self.alive(of).intersection(&dead).next()?)))
    }

    /// An instance and one that it has not known for over `ms` although both run and reach each other.
    pub(crate) fn missed_living(&mut self, ms: u64) -> Option<(usize, usize)> {
        let running: Vec<usize> = (0..self.len()).filter(|it| self.is_running(*it)).collect();
        let mut missed = BTreeMap::new();
        for of in running.iter().copied() {
            let known = self.alive(of);
            let unknown = running.iter().filter(|it| **it != of && !known.contains(it));
            let reaches = |it: &usize| match self.minority.contains(&of) {
                true => {
                    self.connected_minority.contains(it) && self.connected_minority.contains(&of)
                }
                false => !self.minority.contains(it),
            };
            for other in unknown.filter(|it| reaches(it)) {
                let pair = (of, *other);
                missed.insert(pair, self.missed.get(&pair).copied().unwrap_or(self.now_ms));
            }
        }
        self.missed = missed;
        let long = self.missed.iter().find(|it| it.1 + ms < self.now_ms);
        long.map(|it| *it.0)
    }
}

/// Applies a message that has waited in the process's socket for `held_ms`.
fn receive(node: &mut Node, now_ms: u64, held_ms: u64, gossip: &Gossip) {
    let received_at = at(now_ms - held_ms);
    node.members.receive(received_at, gossip.from.clone());
    for it in &gossip.members {
        node.members.merge_sighting(received_at, it.clone(), Source::Instance);
    }
    node.members.merge_heartbeats(received_at, &gossip.beats);
}

pub(crate) fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 1 + index as u16))
}

fn index(member: &Member) -> usize {
    index_at(member.peers)
}

pub(crate) fn index_at(peers: SocketAddr) -> usize {
    usize::from(peers.port()) - 1
}

/// An instance that started at `started_ms`.
fn member(index: usize, started_ms: u64) -> Member {
    let (callers, peers) = (address(index), address(index));
    Member { callers, peers, ..super::member(&format!("i{index}"), started_ms, 0) }
}
