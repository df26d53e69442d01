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
const SHARE_FOR_PEERS: f64 = 0.8;
/// Number of data centres, and of instances in each that get the version from the store.
const CENTRES: usize = 5;
const WATCHERS: usize = 2;
/// Maximum number of instances to which each one announces its version at once.
const MAX_ANNOUNCED: usize = 128;
/// One-way delay of a request or datagram in ms.
const DELAY_MS: u64 = 3;

struct Node {
    centre: Arc<str>,
    has_version: bool,
    catchup: Catchup,
    uplink: Uplink,
    /// When the link will be idle.
    idle_at: Time,
}

enum Event {
    Announced { from: usize, to: usize },
    Finished { to: usize, from: usize, answer: Answer },
}

/// Result of a simulation.
struct Outcome {
    /// When the last instance had the version.
    converged_after: Duration,
    responses: usize,
    longest_queue: Duration,
}

/// `fleet` instances need a response of `bytes`, which two in each data centre have at the start.
fn spread(fleet: usize, bytes: usize, seed: u64) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut nodes: Vec<Node> = (0..fleet).map(|it| node(it % CENTRES)).collect();
    let mut events: Vec<(u64, Event)> = Vec::new();
    for (from, node) in nodes.iter_mut().enumerate().take(CENTRES * WATCHERS) {
        node.has_version = true;
        announce(&mut events, &mut rng, 0, from, fleet);
    }
    let (mut responses, mut longest_queue) = (0, Duration::ZERO);
    for ms in 0..20_000 {
        let now = at(ms);
        let (due, later) = events.into_iter().partition(|it| it.0 <= ms);
        events = later;
        for (_, event) in due {
            match event {
                Event::Announced { from, to } if !nodes[to].has_version => {
                    let peer = peer(&nodes[from], from);
                    nodes[to].catchup.record_announcement(now, peer, false, rng.random());
                }
                Event::Announced { .. } => {}
                Event::Finished { to, from, answer } => {
                    if answer == Answer::Received {
                        nodes[to].has_version = true;
                        nodes[to].catchup.record_applied(2);
                        announce(&mut events, &mut rng, ms, to, fleet);
                    }
                    nodes[to].catchup.finish_request(now, address(from), answer, rng.random());
                }
            }
        }
        if nodes.iter().all(|it| it.has_version) {
            let converged_after = Duration::from_millis(ms);
            return Outcome { converged_after, responses, longest_queue };
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
                events.push((ms + 2 * DELAY_MS, Event::Finished { to, from, answer }));
                continue;
            }
            responses += 1;
            longest_queue = longest_queue.max(source.idle_at.since(now));
            let sending = Duration::from_secs_f64(bytes as f64 / (LINK * SHARE_FOR_PEERS));
            source.idle_at = source.idle_at.max(now) + sending;
            let finished_ms = ms + source.idle_at.since(now).as_millis() as u64;
            let answer = Answer::Received;
            events.push((finished_ms + 2 * DELAY_MS, Event::Finished { to, from, answer }));
        }
    }
    panic!(
        "{} of {fleet} never get the version",
        nodes.iter().filter(|it| !it.has_version).count()
    );
}

fn node(centre: usize) -> Node {
    Node {
        centre: Arc::from(centre.to_string()),
        has_version: false,
        catchup: Catchup::default(),
        uplink: Uplink::new(LINK),
        idle_at: Time::ZERO,
    }
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], index as u16 + 1))
}

fn peer(node: &Node, index: usize) -> Peer {
    Peer { address: address(index), centre: node.centre.clone(), version: 2 }
}

fn announce(
    events: &mut Vec<(u64, Event)>,
    rng: &mut SmallRng,
    ms: u64,
    from: usize,
    fleet: usize,
) {
    let share = (MAX_ANNOUNCED as f64 / fleet as f64).min(1.0);
    for to in (0..fleet).filter(|it| *it != from) {
        if rng.random_bool(share) {
            events.push((ms + DELAY_MS + rng.random_range(0..20), Event::Announced { from, to }));
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
            let took = outcome.converged_after;
            assert!(took < Duration::from_millis(ms), "{fleet} {bytes} {seed}: {took:?}");
            // No request times out, so no response is sent twice.
            assert_eq!(outcome.responses, fleet - CENTRES * WATCHERS);
        }
    }
}

// Responses to callers share the link with those to other instances. However many ask at once, the queue of the
// latter must stay below what fails a readiness check.
#[test]
fn responses_to_peers_leave_room_on_the_link() {
    for seed in 0..10 {
        let outcome = spread(420, 28_000, seed);
        let queue = outcome.longest_queue;
        assert!(queue < Duration::from_millis(200), "{seed}: {queue:?}");
    }
}

// When all peers fail, because they are cut off or have shut down, the store is read instead. That read is final, so
// the store is not read repeatedly for a version that nobody has.
#[test]
fn store_is_read_when_peers_fail() {
    let mut catchup = Catchup::default();
    let nearby = node(0);
    assert!(catchup.record_announcement(at(0), peer(&nearby, 1), false, 0));
    assert!(!catchup.record_announcement(at(1), peer(&nearby, 2), false, 0));
    for ms in [2, 500] {
        let asked = catchup.next_request(at(ms), "0", 0).expect("a peer is left");
        assert_eq!(catchup.next_request(at(ms), "0", 0), None, "one request at a time");
        catchup.finish_request(at(ms + 400), asked.address, Answer::Failed, 0);
    }
    assert_eq!(catchup.next_request(at(1_000), "0", 0), None);
    assert!(!catchup.needs_store(at(1_000)));
    assert!(catchup.needs_store(at(1_200)));
    catchup.reset();
    assert!(!catchup.needs_store(at(5_000)));
}

// A second version appears while the first still spreads: outdated instances ask the peers that have the newest one.
#[test]
fn newest_version_is_requested() {
    let mut catchup = Catchup::default();
    let nearby = node(0);
    catchup.record_announcement(at(0), peer(&nearby, 1), false, 0);
    let newer = Peer { version: 3, ..peer(&node(1), 2) };
    catchup.record_announcement(at(1), newer.clone(), false, 0);
    assert_eq!(catchup.next_request(at(100), "0", 7), Some(newer));
    // The older version was already on its way; it is in force, and the newer one is still needed.
    catchup.record_applied(2);
    catchup.finish_request(at(200), address(2), Answer::Busy, 0);
    assert_eq!(catchup.next_request(at(300), "0", 7).map(|it| it.version), Some(3));
    catchup.record_applied(3);
    assert_eq!(catchup.next_due(), None);
}
