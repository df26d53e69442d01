//! Simulates in virtual time how updates spread through a fleet.

mod support;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use proptest::prelude::*;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use shallotlead_base::time::Time;
use shallotlead_gateway::{
    broadcast::{Aged, Push, Queue, Reach, Update},
    gossip::{Loading, Member, Members},
};
use support::{MODEL, at};

/// Number of data centres.
const CENTRES: usize = 5;
/// One-way delay of a datagram in ms.
const DELAY_MS: u64 = 3;
/// A link of 20 Mbit/s in bytes per second.
const LINK: f64 = 2_500_000.0;
/// Size in bytes of a message without its updates, and of an update.
const HEADER_BYTES: usize = 150;
const UPDATE_BYTES: usize = 40;
/// Interval in ms at which each instance repeats updates, and to how many others.
const PERIOD_MS: u64 = 600;
const FANOUT: usize = 3;

struct Node {
    members: Members,
    queue: Queue,
    /// Servers whose updates it has received.
    received: Vec<bool>,
    is_dead: bool,
    messages: usize,
    bytes: usize,
}

struct Fleet {
    nodes: Vec<Node>,
    /// Messages in flight: arrival time, receiver, updates, and whether they must be relayed.
    in_flight: Vec<(u64, usize, Vec<Aged>, bool)>,
    rng: SmallRng,
    /// Share of datagrams that are lost.
    loss: f64,
}

impl Fleet {
    fn open(count: usize, servers: usize, loss: f64, seed: u64) -> Self {
        let all: Vec<Member> = (0..count).map(member).collect();
        let nodes = all.iter().map(|me| {
            let mut members = Members::new(me.clone());
            for it in all.iter().filter(|it| it.name != me.name) {
                members.receive(at(0), it.clone());
            }
            let received = vec![false; servers];
            Node {
                members,
                queue: Queue::default(),
                received,
                is_dead: false,
                messages: 0,
                bytes: 0,
            }
        });
        let rng = SmallRng::seed_from_u64(seed);
        Self { nodes: nodes.collect(), in_flight: Vec::new(), rng, loss }
    }

    fn announce(&mut self, from: usize, server: usize, ms: u64) {
        self.nodes[from].received[server] = true;
        self.nodes[from].queue.enqueue(at(ms), loading(server), Reach::Fleet);
    }

    /// Simulates `range`, in ms.
    fn run(&mut self, range: std::ops::Range<u64>) {
        for ms in range {
            let (due, later) =
                std::mem::take(&mut self.in_flight).into_iter().partition(|it| it.0 <= ms);
            self.in_flight = later;
            for (_, to, updates, needs_relay) in due {
                self.receive(ms, to, updates, needs_relay);
            }
            for from in 0..self.nodes.len() {
                self.send(ms, from);
            }
        }
    }

    fn receive(&mut self, ms: u64, to: usize, updates: Vec<Aged>, needs_relay: bool) {
        let node = &mut self.nodes[to];
        for received in updates {
            node.received[server(&received.update)] = true;
            node.queue.accept(at(ms), &received, needs_relay.then_some(Reach::Centre));
        }
    }

    fn send(&mut self, ms: u64, from: usize) {
        let now = at(ms);
        let count = self.nodes.len();
        let node = &mut self.nodes[from];
        if node.is_dead {
            return;
        }
        let mut pushes = node.queue.take_due(now, &node.members, &mut self.rng);
        for it in &pushes {
            let bytes = it.targets.len() * (HEADER_BYTES + UPDATE_BYTES * it.updates.len());
            node.queue.record_sent(now, bytes, LINK);
        }
        if (ms + 7 * from as u64).is_multiple_of(PERIOD_MS) {
            let targets = (0..FANOUT).map(|_| address(self.rng.random_range(0..count))).collect();
            pushes.push(Push {
                targets,
                updates: node.queue.take_repeats(now),
                needs_relay: false,
            });
        }
        for Push { targets, updates, needs_relay } in pushes {
            self.nodes[from].messages += targets.len();
            self.nodes[from].bytes += targets.len() * (HEADER_BYTES + UPDATE_BYTES * updates.len());
            for to in targets {
                let to = usize::from(to.port()) - 1;
                if !self.nodes[to].is_dead && !self.rng.random_bool(self.loss) {
                    self.in_flight.push((ms + DELAY_MS, to, updates.clone(), needs_relay));
                }
            }
        }
    }

    /// Share of the updates that live instances have received.
    fn coverage(&self) -> f64 {
        let alive = self.nodes.iter().filter(|it| !it.is_dead);
        let (received, all) = alive.fold((0, 0), |sum, it| {
            (sum.0 + it.received.iter().filter(|it| **it).count(), sum.1 + it.received.len())
        });
        received as f64 / all as f64
    }
}

fn member(index: usize) -> Member {
    Member {
        centre: Arc::from((index % CENTRES).to_string()),
        callers: address(index),
        peers: address(index),
        ..support::member(&format!("i{index}"), 1, 0)
    }
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], index as u16 + 1))
}

fn loading(server: usize) -> Update {
    let server = Arc::from(server.to_string());
    Update::Loading(Loading {
        server,
        incarnation: None,
        model: Arc::from(MODEL),
        version: 2,
        valid_ms: 4_000,
    })
}

fn server(update: &Update) -> usize {
    match update {
        Update::Loading(it) => it.server.parse().expect("servers are named by numbers"),
        _ => panic!("nothing else is announced here"),
    }
}

// When new weights were published, callers were refused for ten seconds although most servers were idle: the lease
// holder sent each load to half of the fleet, together with all earlier ones. 48 loads filled its link for two
// seconds, the lease ran out behind them, and the next holder did the same. Here the holder has as many updates, and
// must need few messages at a time.
#[test]
fn rollout_does_not_saturate_the_origin_s_link() {
    let servers = 204;
    for seed in 0..3 {
        let mut fleet = Fleet::open(295, servers, 0.01, seed);
        for batch in 0..servers / 17 {
            let ms = 100 * batch as u64;
            (0..17).for_each(|it| fleet.announce(0, 17 * batch + it, ms));
            fleet.run(ms..ms + 100);
        }
        fleet.run(1_200..1_400);
        let coverage = fleet.coverage();
        assert!(0.99 < coverage, "{seed}: {coverage} received it within 0.2 s");
        fleet.run(1_400..5_000);
        assert_eq!(fleet.coverage(), 1.0, "{seed}: the rest receives it by repeats");
        // Each update sent once to all others would be 204 x 128 messages.
        let origin = fleet.nodes[0].messages;
        assert!(origin < 1_000, "{seed}: {origin} messages of the origin");
        let bytes = fleet.nodes.iter().map(|it| it.bytes).max().unwrap_or(0);
        assert!((bytes as f64) < LINK, "{seed}: {bytes} bytes of one instance in five seconds");
    }
}

// Servers come and go for weeks, and each instance repeats what it receives. If a repeated update counted as new, old
// updates would circulate forever and fill every message, leaving no room for new ones.
#[test]
fn updates_expire() {
    let mut fleet = Fleet::open(60, 40, 0.01, 1);
    (0..40).for_each(|it| fleet.announce(it, it, 0));
    fleet.run(0..12_000);
    for node in &mut fleet.nodes {
        assert_eq!(node.queue.take_repeats(at(12_000)), []);
    }
}

// A tenth of a fleet has just died without being known to, when an instance announces that a server loads. Where both
// relays of a data centre are dead, its instances get the update a moment later from others, so that none keeps
// sending requests to that server.
#[test]
fn updates_reach_all_although_relays_are_dead() {
    for seed in 0..10 {
        let mut fleet = Fleet::open(295, 1, 0.05, seed);
        for index in (3..295).step_by(10) {
            fleet.nodes[index].is_dead = true;
        }
        fleet.announce(0, 0, 0);
        fleet.run(0..2_500);
        assert_eq!(fleet.coverage(), 1.0, "seed {seed}");
    }
}

// Hundreds of instances have an update at the same moment, as when a data centre stops responding. A relay batches
// them, and leaves room on its link for responses to callers.
#[test]
fn updates_of_many_origins_are_batched() {
    let mut fleet = Fleet::open(295, 295, 0.01, 7);
    for origin in 0..295 {
        fleet.announce(origin, origin, 0);
    }
    fleet.run(0..1_000);
    let max_bytes = fleet.nodes.iter().map(|it| it.bytes).max().unwrap_or(0);
    assert!((max_bytes as f64) < 0.5 * LINK, "{max_bytes} bytes of one instance in a second");
    fleet.run(1_000..6_000);
    let coverage = fleet.coverage();
    assert!(0.999 < coverage, "{coverage} received");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    // Updates arrive late, out of order, and repeatedly or not. An expired update is never forwarded, and an update
    // on a server replaces the previous one, so that the queue stays bounded by the number of servers.
    #[test]
    fn queue_is_bounded_and_sends_nothing_expired(
        announced in proptest::collection::vec((0_usize..6, 0_u64..9_000, 0_u32..5_000), 1..60),
    ) {
        let mut queue = Queue::default();
        let mut members = Members::new(member(0));
        (1..40).for_each(|it| {
            members.receive(at(0), member(it));
        });
        let mut rng = SmallRng::seed_from_u64(1);
        let mut announced = announced;
        announced.sort_by_key(|it| it.1);
        for (server, ms, valid_ms) in announced {
            let Update::Loading(it) = loading(server) else { continue };
            queue.enqueue(at(ms), Update::Loading(Loading { valid_ms, ..it }), Reach::Fleet);
            let later = at(ms) + Duration::from_millis(500);
            let repeated = queue.take_repeats(later);
            prop_assert!(repeated.len() <= 6);
            let pushed = queue.take_due(later, &members, &mut rng);
            for received in pushed.iter().flat_map(|it| &it.updates).chain(&repeated) {
                let Some(Update::Loading(it)) = received.unexpired() else { continue };
                prop_assert!(it.valid_ms == 0 || it.valid_ms <= 4_500, "{} ms", it.valid_ms);
            }
        }
        prop_assert!(queue.take_repeats(Time::from_millis(1_020_000)).is_empty());
    }
}
