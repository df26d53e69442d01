//! Simulates in virtual time how a newer configuration spreads through a fleet.

mod support;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use shallotlead_base::time::Time;
use shallotlead_gateway::{
    catchup::{Answer, Catchup, Peer},
    uplink::Uplink,
};
use support::at;

/// A link of 10 Mbit/s in bytes per second, and the share of it that responses to callers leave.
const LINK: f64 = 1_250_000.0;
const LEFT: f64 = 0.8;
/// Number of data centres, and of instances in each that get the version from the store.
const CENTRES: usize = 5;
const WATCHERS: usize = 2;
/// Maximum number of instances to which each one announces its version at once.
const MOST_TOLD: usize = 128;
/// One-way delay of a request or datagram in ms.
const WAY_MS: u64 = 3;

struct Node {
    centre: Arc<str>,
    has_it: bool,
    catchup: Catchup,
    uplink: Uplink,
    /// When the link will be idle.
    through: Time,
}

enum Event {
    Told { from: usize, to: usize },
    Answered { to: usize, from: usize, answer: Answer },
}

/// Result of a simulation.
struct Outcome {
    /// When the last instance had the version.
    all_have_it: Duration,
    answers: usize,
    longest_queue: Duration,
}

/// `fleet` instances need a response of `bytes`, which two in each data centre have at the start.
fn spread(fleet: usize, bytes: usize, seed: u64) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut nodes: Vec<Node> = (0..fleet).map(|it| node(it % CENTRES)).collect();
    let mut events: Vec<(u64, Event)> = Vec::new();
    for (from, node) in nodes.iter_mut().enumerate().take(CENTRES * WATCHERS) {
        node.has_it = true;
        tell(&mut events, &mut rng, 0, from, fleet);
    }
    let (mut answers, mut longest_queue) = (0, Duration::ZERO);
    for ms in 0..20_000 {
        let now = at(ms);
        let (due, later) = events.into_iter().partition(|it| it.0 <= ms);
        events = later;
        for (_, event) in due {
            match event {
                Event::Told { from, to } if !nodes[to].has_it => {
                    let holder = holder(&nodes[from], from);
                    nodes[to].catchup.announced(now, holder, false, rng.random());
                }
                Event::Told { .. } => {}
                Event::Answered { to, from, answer } => {
                    if answer == Answer::Received {
                        nodes[to].has_it = true;
                        nodes[to].catchup.applied(2);
                        tell(&mut events, &mut rng, ms, to, fleet);
                    }
                    nodes[to].catchup.request_finished(now, address(from), answer, rng.random());
                }
            }
        }
        if nodes.iter().all(|it| it.has_it) {
            let all_have_it = Duration::from_millis(ms);
            return Outcome { all_have_it, answers, longest_queue };
        }
        for to in 0..fleet {
            let centre = nodes[to].centre.clone();
            let Some(asked) = nodes[to].catchup.next_request(now, &centre, rng.random()) else {
                continue;
            };
            let from = usize::from(asked.address.port()) - 1;
            let source = &mut nodes[from];
            if !source.uplink.admit(now, bytes) {
                let answer = Answer::Busy;
                events.push((ms + 2 * WAY_MS, Event::Answered { to, from, answer }));
                continue;
            }
            answers += 1;
            longest_queue = longest_queue.max(source.through.since(now));
            let takes = Duration::from_secs_f64(bytes as f64 / (LINK * LEFT));
            source.through = source.through.max(now) + takes;
            let through_ms = ms + source.through.since(now).as_millis() as u64;
            let answer = Answer::Received;
            events.push((through_ms + 2 * WAY_MS, Event::Answered { to, from, answer }));
        }
    }
    panic!("{} of {fleet} never have it", nodes.iter().filter(|it| !it.has_it).count());
}

fn node(centre: usize) -> Node {
    Node {
        centre: Arc::from(centre.to_string()),
        has_it: false,
        catchup: Catchup::default(),
        uplink: Uplink::new(LINK),
        through: Time::ZERO,
    }
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], index as u16 + 1))
}

fn holder(node: &Node, index: usize) -> Peer {
    Peer { address: address(index), centre: node.centre.clone(), version: 2 }
}

fn tell(events: &mut Vec<(u64, Event)>, rng: &mut SmallRng, ms: u64, from: usize, fleet: usize) {
    let share = (MOST_TOLD as f64 / fleet as f64).min(1.0);
    for to in (0..fleet).filter(|it| *it != from) {
        if rng.random_bool(share) {
            events.push((ms + WAY_MS + rng.random_range(0..20), Event::Told { from, to }));
        }
    }
}

// With a large configuration (1,400 routes, 281 KB), most of a fleet with narrow links used the previous version for
// eight seconds: all instances asked the one that had announced it last, where a response takes 0.2 s and dozens at
// once all timed out. This covers 280 KB uncompressed; compressed, the response is a tenth of that.
#[test]
fn configuration_reaches_large_fleets_in_time() {
    for seed in 0..10 {
        for (fleet, bytes, ms) in
            [(73, 28_000, 500), (73, 280_000, 3_000), (420, 28_000, 1_000), (420, 100_000, 3_000)]
        {
            let outcome = spread(fleet, bytes, seed);
            let took = outcome.all_have_it;
            assert!(took < Duration::from_millis(ms), "{fleet} {bytes} {seed}: {took:?}");
            // No request times out, so no response is sent twice.
            assert_eq!(outcome.answers, fleet - CENTRES * WATCHERS);
        }
    }
}

// Responses to callers share the link with those to other instances. However many ask at once, the queue of the
// latter must stay below what fails a readiness check.
#[test]
fn answers_to_others_don_t_fill_the_link() {
    for seed in 0..10 {
        let outcome = spread(420, 28_000, seed);
        let queue = outcome.longest_queue;
        assert!(queue < Duration::from_millis(200), "{seed}: {queue:?}");
    }
}

// When all peers fail, because they are cut off or have shut down, the store is read instead. That read is final, so
// the store is not read repeatedly for a version that nobody has.
#[test]
fn store_is_read_when_holders_fail() {
    let mut catchup = Catchup::default();
    let nearby = node(0);
    assert!(catchup.announced(at(0), holder(&nearby, 1), false, 0));
    assert!(!catchup.announced(at(1), holder(&nearby, 2), false, 0));
    for ms in [2, 500] {
        let asked = catchup.next_request(at(ms), "0", 0).expect("a holder is left");
        assert_eq!(catchup.next_request(at(ms), "0", 0), None, "one question at a time");
        catchup.request_finished(at(ms + 400), asked.address, Answer::Failed, 0);
    }
    assert_eq!(catchup.next_request(at(1_000), "0", 0), None);
    assert!(!catchup.needs_store(at(1_000)));
    assert!(catchup.needs_store(at(1_200)));
    catchup.reset();
    assert!(!catchup.needs_store(at(5_000)));
}

// A second version appears while the first still spreads: outdated instances ask the peers that have the newest one.
#[test]
fn newest_version_is_asked_for() {
    let mut catchup = Catchup::default();
    let nearby = node(0);
    catchup.announced(at(0), holder(&nearby, 1), false, 0);
    let newer = Peer { version: 3, ..holder(&node(1), 2) };
    catchup.announced(at(1), newer.clone(), false, 0);
    assert_eq!(catchup.next_request(at(100), "0", 7), Some(newer));
    // The older version was already on its way; it is in force, and the newer one is still needed.
    catchup.applied(2);
    catchup.request_finished(at(200), address(2), Answer::Busy, 0);
    assert_eq!(catchup.next_request(at(300), "0", 7).map(|it| it.version), Some(3));
    catchup.applied(3);
    assert_eq!(catchup.next_due(), None);
}
