//! Membership under failures: many nodes in virtual time. Times that are asserted are virtual.

mod support;

use std::time::Duration;

use shallotlead_base::id::Incarnation;
use shallotlead_fleet::{node::ServerState, view::State};

use support::simulation::Simulation;

const SECOND: Duration = Duration::from_secs(1);
const HOUR: Duration = Duration::from_secs(3_600);
const TODAY: &[(&str, &str, usize)] =
    &[("ro-nord", "cluj-a", 3), ("ro-nord", "cluj-b", 2), ("ro-nord", "iasi-c", 2)];
const HALVES: &[(&str, &str, usize)] =
    &[("a", "a-1", 2), ("a", "a-2", 1), ("b", "b-1", 2), ("b", "b-2", 1)];
const REGIONS: &[(&str, &str, usize)] =
    &[("a", "a-1", 4), ("a", "a-2", 4), ("b", "b-1", 4), ("b", "b-2", 4)];

fn started(seed: u64, shape: &[(&str, &str, usize)]) -> Simulation {
    let mut sim = Simulation::new(seed, shape);
    sim.populate_table(8, 2, 18);
    sim.start_all(SECOND);
    sim.run_until(20 * SECOND, |it| it.views_agree() && it.all_apply(it.stored_version()))
        .expect("a start");
    sim.run(15 * SECOND);
    sim
}

/// The state of `of` as `at` sees it.
fn state(sim: &Simulation, at: usize, of: usize) -> Option<State> {
    let view = sim.instances[at].node.as_ref()?.view();
    view.get(&sim.instances[of].member.name).map(|it| it.state)
}

#[test]
fn instances_that_stay_are_never_taken_for_dead() {
    let mut sim = started(1, TODAY);
    sim.run(600 * SECOND);
    assert!(sim.views_agree());
    assert_eq!(sim.false_deaths, 0);
}

// A caller is sent to an instance that is gone. An instance crashes without a word; the platform's
// list goes on showing it for ten seconds and more. The others must find out by themselves.
#[test]
fn crash_is_known_to_all_within_3_s() {
    let mut sim = started(2, TODAY);
    for index in [0, 3, 6] {
        sim.crash(index);
        let took = sim.run_until(10 * SECOND, |it| it.all_see(index, false));
        assert!(took.is_some_and(|it| it < 3 * SECOND), "{took:?}");
        sim.run(30 * SECOND);
        sim.start(index);
        sim.run(90 * SECOND);
        assert!(sim.views_agree());
    }
}

// A caller is refused by an instance that is shutting down. The instance said so, but the list shows
// it as live for ten seconds and more.
#[test]
fn leaving_instance_gets_no_new_work_though_the_list_lags() {
    let mut sim = started(3, REGIONS);
    sim.packet_loss = 0.2;
    sim.drain(5);
    let took = sim.run_until(10 * SECOND, |it| it.all_see(5, false));
    assert!(took.is_some_and(|it| it < 2 * SECOND), "{took:?}");
    // It goes on answering those who observe it while it finishes its streams, and never counts again.
    sim.run(60 * SECOND);
    assert_eq!(state(&sim, 0, 5), Some(State::Leaving));
    assert!(sim.all_see(5, false));
}

// A request is placed on a server that said it leaves. Only the server's keeper asks the server; the
// other instances' word on it comes from the keeper.
#[test]
fn leaving_server_is_known_to_all_within_2_s() {
    let mut sim = started(4, REGIONS);
    sim.start_checks();
    sim.run(10 * SECOND);
    let server = sim.servers()[3].clone();
    let knows =
        |sim: &Simulation, state| sim.running().all(|it| it.servers.get(&server) == Some(&state));
    assert!(knows(&sim, ServerState::Up(Incarnation(1))));
    for state in [ServerState::Leaving, ServerState::Down, ServerState::Up(Incarnation(2))] {
        sim.actual_servers.insert(server.clone(), state);
        // One second of it is the time between the keeper's questions.
        let took = sim.run_until(10 * SECOND, |it| knows(it, state));
        assert!(took.is_some_and(|it| it < 2 * SECOND), "{state:?} {took:?}");
    }
}

// A server that went down while its keeper was dying stays up in everybody's eyes. The keeper's heir
// must take over its word, whatever number of words the old keeper had given.
#[test]
fn keepers_heir_goes_on_with_the_servers_state() {
    let mut sim = started(5, TODAY);
    sim.start_checks();
    sim.run(10 * SECOND);
    let server = sim.servers()[0].clone();
    let keeper = sim.keeper(&server).expect("a keeper");
    sim.crash(keeper);
    sim.actual_servers.insert(server.clone(), ServerState::Down);
    sim.run(10 * SECOND);
    assert_ne!(sim.keeper(&server), Some(keeper));
    assert!(sim.running().all(|it| it.servers.get(&server) == Some(&ServerState::Down)));
}

// All instances but one seem to vanish and come back at once. The one was paused for longer than a
// silence may last; when it runs again it finds that it heard nobody. It must not tell the others that
// they are dead, and must come back itself, as they rightly took it for dead.
#[test]
fn paused_instance_comes_back_and_blames_nobody() {
    let mut sim = started(6, TODAY);
    sim.pause(2, 12 * SECOND);
    sim.run(8 * SECOND);
    assert!(sim.all_see(2, false));
    sim.run(4 * SECOND);
    for other in (0..7).filter(|it| *it != 2) {
        assert_eq!(state(&sim, 2, other), Some(State::Alive), "{other} is blamed");
    }
    let deaths = sim.false_deaths;
    let back = sim.run_until(20 * SECOND, |it| it.all_see(2, true) && it.views_agree());
    assert!(back.is_some_and(|it| it < 10 * SECOND), "{back:?}");
    sim.run(30 * SECOND);
    assert_eq!(sim.false_deaths, deaths);
}

// After an hour apart, two regions flood each other with what happened meanwhile, or take each other's
// members for dead one by one. They must go on alone, serve on, and join again with bounded traffic.
#[test]
fn regions_part_for_an_hour_and_join_without_a_storm() {
    let mut sim = started(7, HALVES);
    sim.start_checks();
    sim.run(5 * SECOND);
    let deaths = sim.false_deaths;
    sim.partitions.push(("a".into(), "b".into()));
    sim.run(10 * SECOND);
    let sees = |sim: &Simulation, index: usize, region: &str| {
        let view = sim.instances[index].node.as_ref().expect("it runs").view().clone();
        view.region(&region.into()).count()
    };
    assert_eq!((sees(&sim, 0, "a"), sees(&sim, 0, "b")), (3, 0));
    assert_eq!((sees(&sim, 5, "a"), sees(&sim, 5, "b")), (0, 3));
    // An ordinary hour: restarts on both sides, and a server that went down.
    for index in [1, 3, 4] {
        sim.crash(index);
        sim.run(60 * SECOND);
        sim.start(index);
        sim.run(600 * SECOND);
    }
    let server = sim.servers()[1].clone();
    sim.actual_servers.insert(server.clone(), ServerState::Down);
    sim.run(HOUR - 2_000 * SECOND);
    assert_eq!(sim.false_deaths, deaths, "a lost region's members are not taken for dead");

    sim.partitions.clear();
    sim.reset_stats();
    let joined = sim.run_until(60 * SECOND, Simulation::views_agree);
    assert!(joined.is_some_and(|it| it < 10 * SECOND), "{joined:?}");
    sim.run(20 * SECOND);
    assert!(sim.running().all(|it| it.servers.get(&server) == Some(&ServerState::Down)));
    let peak = sim.running().map(|it| it.stats.peak_bytes).max();
    assert!(peak < Some(26 * 1024), "{peak:?} bytes in one second");
}

// Two data centres of one region lose each other, and each takes the other's instances for dead. When
// the link is back nobody asks the dead, and both go on alone for good.
#[test]
fn data_centres_that_lost_each_other_find_each_other() {
    let mut sim = started(8, TODAY);
    sim.partitions.push(("cluj-a".into(), "iasi-c".into()));
    sim.partitions.push(("cluj-b".into(), "iasi-c".into()));
    sim.run(60 * SECOND);
    assert!(sim.all_see(0, false) || state(&sim, 6, 0) == Some(State::Dead));
    sim.partitions.clear();
    let joined = sim.run_until(60 * SECOND, Simulation::views_agree);
    assert!(joined.is_some_and(|it| it < 15 * SECOND), "{joined:?}");
}

// An instance that cannot be reached by one other alone is taken for dead by all. A cut between two
// data centres, while a third reaches both, must be bridged by the indirect probes.
#[test]
fn a_cut_that_others_can_bridge_kills_nobody() {
    let mut sim = started(9, TODAY);
    sim.partitions.push(("cluj-a".into(), "iasi-c".into()));
    sim.run(120 * SECOND);
    assert_eq!(sim.false_deaths, 0);
}

// A new instance sends questions to the dead and leaves the living out. It started from a list that
// still shows a dead instance as live and a live one, which was restarted, as leaving.
#[test]
fn stale_list_is_put_right_by_peers() {
    let mut sim = started(10, TODAY);
    sim.crash(1);
    sim.run(10 * SECOND);
    sim.crash(4);
    sim.pin_list_state(1, Some(false));
    sim.pin_list_state(3, Some(true));
    sim.start(4);
    let right = sim.run_until(20 * SECOND, |it| {
        state(it, 4, 1) == Some(State::Dead) && state(it, 4, 3) == Some(State::Alive)
    });
    assert!(right.is_some_and(|it| it < 2 * SECOND), "{right:?}");
    // Reading the stale list again changes nothing.
    sim.run(60 * SECOND);
    assert!(sim.views_agree());
}

// A restarted instance stays dead for the others. Its wall clock was set back meanwhile, so its new life
// seems older than the one that died.
#[test]
fn clock_set_back_does_not_keep_an_instance_dead() {
    let mut sim = started(15, TODAY);
    sim.crash(3);
    sim.run_until(10 * SECOND, |it| it.all_see(3, false)).expect("its death");
    sim.start_with_clock(3, 1_000);
    let back = sim.run_until(30 * SECOND, |it| it.all_see(3, true));
    assert!(back.is_some_and(|it| it < 5 * SECOND), "{back:?}");
    sim.run(60 * SECOND);
    assert!(sim.views_agree());
}

// Homes of prefixes move each time an instance comes or goes. One that crashes in a loop would move
// them all the time; it has to stay for a while before it counts again.
#[test]
fn flapping_instance_is_held_back() {
    let mut sim = started(11, TODAY);
    for _ in 0..4 {
        sim.crash(3);
        sim.run_until(10 * SECOND, |it| it.all_see(3, false)).expect("its death");
        sim.start(3);
        sim.run(8 * SECOND);
    }
    assert!(sim.all_see(3, false));
    assert_eq!(state(&sim, 0, 3), Some(State::Alive));
    let back = sim.run_until(300 * SECOND, |it| it.all_see(3, true));
    assert!(back.is_some_and(|it| 20 * SECOND < it), "{back:?}");
}

// All instances are restarted at once, by an update or a power cut. Each wants the table, the list and
// the others; together they must stay within a few calls each, and serve at once.
#[test]
fn herd_restart_stays_within_a_few_calls() {
    let mut sim = started(12, REGIONS);
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

// Under loss that a bad line may have, instances are taken for dead over and over.
#[test]
fn loss_of_a_fifth_kills_hardly_anybody() {
    let mut sim = started(13, REGIONS);
    sim.packet_loss = 0.2;
    sim.run(300 * SECOND);
    sim.packet_loss = 0.0;
    sim.run(5 * SECOND);
    assert!(sim.views_agree());
    assert!(sim.false_deaths < 16, "{} deaths", sim.false_deaths);
}

#[test]
fn load_reports_reach_all_of_a_data_centre() {
    // Twelve instances stand in a grid with a short last row.
    for count in [1, 2, 8, 11, 12, 13] {
        let mut sim = started(14, &[("a", "a-1", count), ("a", "a-2", 2)]);
        sim.start_checks();
        sim.run(10 * SECOND);
        let mine = sim.servers().iter().step_by(2).cloned().collect::<Vec<_>>();
        for (index, slot) in sim.instances.iter().enumerate().take(count) {
            for server in &mine {
                let own = sim.keeper(server) == Some(index);
                let at = slot.load_reports.get(server).map(|(at, _)| *at);
                let fresh = at.is_some_and(|it| sim.now.since(it) < 3 * SECOND);
                assert!(own || fresh, "{count} instances: {index} knows {server} as of {at:?}");
            }
            let other = slot.summary_times.get("a-2");
            let fresh = other.is_some_and(|it| sim.now.since(*it) < 4 * SECOND);
            assert!(fresh, "{count} instances: {index} heard of a-2 at {other:?}");
        }
    }
}
