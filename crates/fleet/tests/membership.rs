//! Membership under failures, with many simulated nodes. All times are virtual.

mod support;

use std::time::Duration;

use shallotlead_base::id::Incarnation;
use shallotlead_fleet::{node::ServerState, view::State};

use support::simulation::Simulation;

const SECOND: Duration = Duration::from_secs(1);
const HOUR: Duration = Duration::from_secs(3_600);
const ONE_REGION: &[(&str, &str, usize)] =
    &[("ro-nord", "cluj-a", 3), ("ro-nord", "cluj-b", 2), ("ro-nord", "iasi-c", 2)];
const TWO_SMALL_REGIONS: &[(&str, &str, usize)] =
    &[("a", "a-1", 2), ("a", "a-2", 1), ("b", "b-1", 2), ("b", "b-2", 1)];
const TWO_REGIONS: &[(&str, &str, usize)] =
    &[("a", "a-1", 4), ("a", "a-2", 4), ("b", "b-1", 4), ("b", "b-2", 4)];

fn started(seed: u64, shape: &[(&str, &str, usize)]) -> Simulation {
    let mut sim = Simulation::new(seed, shape);
    sim.populate_table(8, 2, 18);
    sim.start_all(SECOND);
    sim.run_until(20 * SECOND, |it| it.views_agree() && it.all_apply(it.stored_version()))
        .expect("the instances start");
    sim.run(15 * SECOND);
    sim
}

/// The state of the instance `of` in the view of the instance `at`.
fn state(sim: &Simulation, at: usize, of: usize) -> Option<State> {
    let view = sim.instances[at].node.as_ref()?.view();
    view.get(&sim.instances[of].member.name).map(|it| it.state)
}

#[test]
fn running_instances_are_never_declared_dead() {
    let mut sim = started(1, ONE_REGION);
    sim.run(600 * SECOND);
    assert!(sim.views_agree());
    assert_eq!(sim.false_deaths, 0);
}

// An instance crashes without notice and the platform's list still shows it for ten seconds or more, so
// callers would be sent to it. The other instances must detect the crash themselves.
#[test]
fn crash_is_detected_by_all_within_3_s() {
    let mut sim = started(2, ONE_REGION);
    for index in [0, 3, 6] {
        sim.crash(index);
        let elapsed = sim.run_until(10 * SECOND, |it| it.all_see(index, false));
        assert!(elapsed.is_some_and(|it| it < 3 * SECOND), "{elapsed:?}");
        sim.run(30 * SECOND);
        sim.start(index);
        sim.run(90 * SECOND);
        assert!(sim.views_agree());
    }
}

// An instance announces its shutdown, but the list shows it as live for ten seconds or more, so callers
// would be sent to it and refused.
#[test]
fn leaving_instance_gets_no_new_work_despite_the_lagging_list() {
    let mut sim = started(3, TWO_REGIONS);
    sim.packet_loss = 0.2;
    sim.drain(5);
    let elapsed = sim.run_until(10 * SECOND, |it| it.all_see(5, false));
    assert!(elapsed.is_some_and(|it| it < 2 * SECOND), "{elapsed:?}");
    // It still responds to its observers while it completes its streams, and never counts as live again.
    sim.run(60 * SECOND);
    assert_eq!(state(&sim, 0, 5), Some(State::Leaving));
    assert!(sim.all_see(5, false));
}

// Requests would be placed on a server that announced its shutdown. Only the server's keeper checks the
// server; the other instances must learn its state from the keeper.
#[test]
fn leaving_server_is_known_to_all_within_2_s() {
    let mut sim = started(4, TWO_REGIONS);
    sim.start_checks();
    sim.run(10 * SECOND);
    let server = sim.servers()[3].clone();
    let knows =
        |sim: &Simulation, state| sim.running().all(|it| it.servers.get(&server) == Some(&state));
    assert!(knows(&sim, ServerState::Up(Incarnation(1))));
    for state in [ServerState::Leaving, ServerState::Down, ServerState::Up(Incarnation(2))] {
        sim.actual_servers.insert(server.clone(), state);
        // One second of this is the interval between the keeper's checks.
        let elapsed = sim.run_until(10 * SECOND, |it| knows(it, state));
        assert!(elapsed.is_some_and(|it| it < 2 * SECOND), "{state:?} {elapsed:?}");
    }
}

// A server goes down while its keeper crashes, and all instances would still see it as up. The next
// keeper must continue the server's state after however many reports of the old one.
#[test]
fn next_keeper_continues_the_servers_state() {
    let mut sim = started(5, ONE_REGION);
    sim.start_checks();
    sim.run(10 * SECOND);
    let server = sim.servers()[0].clone();
    let keeper = sim.keeper(&server).expect("the server has a keeper");
    sim.crash(keeper);
    sim.actual_servers.insert(server.clone(), ServerState::Down);
    sim.run(10 * SECOND);
    assert_ne!(sim.keeper(&server), Some(keeper));
    assert!(sim.running().all(|it| it.servers.get(&server) == Some(&ServerState::Down)));
}

// An instance is paused for longer than the failure timeout. When it resumes, it has heard from nobody.
// It must not declare the others dead, and must rejoin, as they correctly declared it dead.
#[test]
fn paused_instance_rejoins_and_declares_nobody_dead() {
    let mut sim = started(6, ONE_REGION);
    sim.pause(2, 12 * SECOND);
    sim.run(8 * SECOND);
    assert!(sim.all_see(2, false));
    sim.run(4 * SECOND);
    for other in (0..7).filter(|it| *it != 2) {
        assert_eq!(state(&sim, 2, other), Some(State::Alive), "{other} is declared dead");
    }
    let deaths = sim.false_deaths;
    let back = sim.run_until(20 * SECOND, |it| it.all_see(2, true) && it.views_agree());
    assert!(back.is_some_and(|it| it < 10 * SECOND), "{back:?}");
    sim.run(30 * SECOND);
    assert_eq!(sim.false_deaths, deaths);
}

// After a partition of an hour, two regions would flood each other with missed changes, or declare each
// other's members dead one by one. Each must continue alone and rejoin with bounded traffic.
#[test]
fn regions_rejoin_after_an_hour_with_bounded_traffic() {
    let mut sim = started(7, TWO_SMALL_REGIONS);
    sim.start_checks();
    sim.run(5 * SECOND);
    let deaths = sim.false_deaths;
    sim.partitions.push(("a".into(), "b".into()));
    sim.run(10 * SECOND);
    let live_count = |sim: &Simulation, index: usize, region: &str| {
        let view = sim.instances[index].node.as_ref().expect("the instance runs").view().clone();
        view.live_in_region(&region.into()).count()
    };
    assert_eq!((live_count(&sim, 0, "a"), live_count(&sim, 0, "b")), (3, 0));
    assert_eq!((live_count(&sim, 5, "a"), live_count(&sim, 5, "b")), (0, 3));
    // Meanwhile instances restart on both sides and a server goes down.
    for index in [1, 3, 4] {
        sim.crash(index);
        sim.run(60 * SECOND);
        sim.start(index);
        sim.run(600 * SECOND);
    }
    let server = sim.servers()[1].clone();
    sim.actual_servers.insert(server.clone(), ServerState::Down);
    sim.run(HOUR - 2_000 * SECOND);
    assert_eq!(sim.false_deaths, deaths, "members of an unreachable region are not declared dead");

    sim.partitions.clear();
    sim.reset_stats();
    let joined = sim.run_until(60 * SECOND, Simulation::views_agree);
    assert!(joined.is_some_and(|it| it < 10 * SECOND), "{joined:?}");
    sim.run(20 * SECOND);
    assert!(sim.running().all(|it| it.servers.get(&server) == Some(&ServerState::Down)));
    let peak = sim.running().map(|it| it.stats.peak_bytes).max();
    assert!(peak < Some(26 * 1024), "{peak:?} bytes in one second");
}

// Two data centres of one region can't reach each other, and each declares the other's instances dead.
// If nobody probed dead members after the partition, they would stay apart for good.
#[test]
fn partitioned_data_centres_rejoin() {
    let mut sim = started(8, ONE_REGION);
    sim.partitions.push(("cluj-a".into(), "iasi-c".into()));
    sim.partitions.push(("cluj-b".into(), "iasi-c".into()));
    sim.run(60 * SECOND);
    assert!(sim.all_see(0, false) || state(&sim, 6, 0) == Some(State::Dead));
    sim.partitions.clear();
    let joined = sim.run_until(60 * SECOND, Simulation::views_agree);
    assert!(joined.is_some_and(|it| it < 15 * SECOND), "{joined:?}");
}

// One instance that can't reach another would have it declared dead by all. A partition between two data
// centres must be bridged by indirect probes through a third that reaches both.
#[test]
fn indirect_probes_bridge_a_partition() {
    let mut sim = started(9, ONE_REGION);
    sim.partitions.push(("cluj-a".into(), "iasi-c".into()));
    sim.run(120 * SECOND);
    assert_eq!(sim.false_deaths, 0);
}

// A new instance starts from a stale list that shows a dead instance as live and a live one, which was
// restarted, as leaving. It would contact the dead one and leave out the live one.
#[test]
fn stale_list_is_corrected_by_peers() {
    let mut sim = started(10, ONE_REGION);
    sim.crash(1);
    sim.run(10 * SECOND);
    sim.crash(4);
    sim.pin_list_state(1, Some(false));
    sim.pin_list_state(3, Some(true));
    sim.start(4);
    let corrected = sim.run_until(20 * SECOND, |it| {
        state(it, 4, 1) == Some(State::Dead) && state(it, 4, 3) == Some(State::Alive)
    });
    assert!(corrected.is_some_and(|it| it < 2 * SECOND), "{corrected:?}");
    // Reading the stale list again changes nothing.
    sim.run(60 * SECOND);
    assert!(sim.views_agree());
}

// The wall clock of an instance is set back before it restarts, so its new incarnation seems older than
// the dead one, and the others would see it as dead for good.
#[test]
fn clock_set_back_does_not_keep_an_instance_dead() {
    let mut sim = started(15, ONE_REGION);
    sim.crash(3);
    sim.run_until(10 * SECOND, |it| it.all_see(3, false)).expect("its death is detected");
    sim.start_with_clock(3, 1_000);
    let back = sim.run_until(30 * SECOND, |it| it.all_see(3, true));
    assert!(back.is_some_and(|it| it < 5 * SECOND), "{back:?}");
    sim.run(60 * SECOND);
    assert!(sim.views_agree());
}

// Prefixes change owners each time an instance starts or dies. One that crashes in a loop would move
// them continually; it has to stay up for a while before it counts again.
#[test]
fn flapping_instance_is_held_back() {
    let mut sim = started(11, ONE_REGION);
    for _ in 0..4 {
        sim.crash(3);
        sim.run_until(10 * SECOND, |it| it.all_see(3, false)).expect("its death is detected");
        sim.start(3);
        sim.run(8 * SECOND);
    }
    assert!(sim.all_see(3, false));
    assert_eq!(state(&sim, 0, 3), Some(State::Alive));
    let back = sim.run_until(300 * SECOND, |it| it.all_see(3, true));
    assert!(back.is_some_and(|it| 20 * SECOND < it), "{back:?}");
}

// All instances restart at once, by an update or a power failure. Each needs the table, the list and its
// peers; they must make only a few calls each and serve at once.
#[test]
fn herd_restart_stays_within_a_few_calls() {
    let mut sim = started(12, TWO_REGIONS);
    sim.start_checks();
    sim.run(5 * SECOND);
    (0..16).for_each(|it| sim.crash(it));
    sim.run(5 * SECOND);
    sim.reset_stats();
    sim.start_all(SECOND / 2);
    let version = sim.stored_version();
    let ready = sim.run_until(10 * SECOND, |it| it.views_agree() && it.all_apply(version));
    assert!(ready.is_some_and(|it| it < 2 * SECOND), "{ready:?}");
    // Two watchers in each of four data centres read the head and two or three segments, then watch.
    assert!(sim.platform.calls <= 48, "{} calls", sim.platform.calls);
    assert!(sim.list_reads <= 32, "{} reads of the list", sim.list_reads);
}

// With a packet loss of 20 %, as on a bad line, instances would be declared dead again and again.
#[test]
fn loss_of_a_fifth_causes_few_false_deaths() {
    let mut sim = started(13, TWO_REGIONS);
    sim.packet_loss = 0.2;
    sim.run(300 * SECOND);
    sim.packet_loss = 0.0;
    sim.run(5 * SECOND);
    assert!(sim.views_agree());
    assert!(sim.false_deaths < 16, "{} deaths", sim.false_deaths);
}

#[test]
fn load_reports_reach_all_instances_of_a_data_centre() {
    // Twelve instances form a grid with a short last row.
    for count in [1, 2, 8, 11, 12, 13] {
        let mut sim = started(14, &[("a", "a-1", count), ("a", "a-2", 2)]);
        sim.start_checks();
        sim.run(10 * SECOND);
        let servers_in_centre = sim.servers().iter().step_by(2).cloned().collect::<Vec<_>>();
        for (index, instance) in sim.instances.iter().enumerate().take(count) {
            for server in &servers_in_centre {
                let is_own = sim.keeper(server) == Some(index);
                let at = instance.load_reports.get(server).map(|(at, _)| *at);
                let is_fresh = at.is_some_and(|it| sim.now.since(it) < 3 * SECOND);
                assert!(
                    is_own || is_fresh,
                    "{count} instances: {index} knows {server} as of {at:?}"
                );
            }
            let summary_time = instance.summary_times.get("a-2");
            let is_fresh = summary_time.is_some_and(|it| sim.now.since(*it) < 4 * SECOND);
            assert!(
                is_fresh,
                "{count} instances: {index} got a summary of a-2 at {summary_time:?}"
            );
        }
    }
}
