//! Membership under failures: many nodes in virtual time. Times that are asserted are virtual.

mod support;

use std::time::Duration;

use shallotlead_base::id::Incarnation;
use shallotlead_fleet::{node::ServerState, view::State};

use support::net::Net;

const SECOND: Duration = Duration::from_secs(1);
const HOUR: Duration = Duration::from_secs(3_600);
const TODAY: &[(&str, &str, usize)] =
    &[("ro-nord", "cluj-a", 3), ("ro-nord", "cluj-b", 2), ("ro-nord", "iasi-c", 2)];
const HALVES: &[(&str, &str, usize)] =
    &[("a", "a-1", 2), ("a", "a-2", 1), ("b", "b-1", 2), ("b", "b-2", 1)];
const REGIONS: &[(&str, &str, usize)] =
    &[("a", "a-1", 4), ("a", "a-2", 4), ("b", "b-1", 4), ("b", "b-2", 4)];

fn started(seed: u64, shape: &[(&str, &str, usize)]) -> Net {
    let mut net = Net::new(seed, shape);
    net.seed_table(8, 2, 18);
    net.start_all(SECOND);
    net.run_until(20 * SECOND, |it| it.agrees() && it.all_apply(it.accepted())).expect("a start");
    net.run(15 * SECOND);
    net
}

/// The state of `of` as `at` sees it.
fn state(net: &Net, at: usize, of: usize) -> Option<State> {
    let view = net.slots[at].node.as_ref()?.view();
    view.get(&net.slots[of].member.name).map(|it| it.state)
}

#[test]
fn instances_that_stay_are_never_taken_for_dead() {
    let mut net = started(1, TODAY);
    net.run(600 * SECOND);
    assert!(net.agrees());
    assert_eq!(net.deaths, 0);
}

// A caller is sent to an instance that is gone. An instance crashes without a word; the platform's
// list goes on showing it for ten seconds and more. The others must find out by themselves.
#[test]
fn crash_is_known_to_all_within_3_s() {
    let mut net = started(2, TODAY);
    for index in [0, 3, 6] {
        net.crash(index);
        let took = net.run_until(10 * SECOND, |it| it.all_see(index, false));
        assert!(took.is_some_and(|it| it < 3 * SECOND), "{took:?}");
        net.run(30 * SECOND);
        net.start(index);
        net.run(90 * SECOND);
        assert!(net.agrees());
    }
}

// A caller is refused by an instance that is shutting down. The instance said so, but the list shows
// it as live for ten seconds and more.
#[test]
fn leaving_instance_gets_no_new_work_though_the_list_lags() {
    let mut net = started(3, REGIONS);
    net.loss = 0.2;
    net.drain(5);
    let took = net.run_until(10 * SECOND, |it| it.all_see(5, false));
    assert!(took.is_some_and(|it| it < 2 * SECOND), "{took:?}");
    // It goes on answering those who observe it while it finishes its streams, and never counts again.
    net.run(60 * SECOND);
    assert_eq!(state(&net, 0, 5), Some(State::Leaving));
    assert!(net.all_see(5, false));
}

// A request is placed on a server that said it leaves. Only the server's keeper asks the server; the
// other instances' word on it comes from the keeper.
#[test]
fn leaving_server_is_known_to_all_within_2_s() {
    let mut net = started(4, REGIONS);
    net.start_checks();
    net.run(10 * SECOND);
    let server = net.servers()[3].clone();
    let knows = |net: &Net, state| net.running().all(|it| it.servers.get(&server) == Some(&state));
    assert!(knows(&net, ServerState::Up(Incarnation(1))));
    for state in [ServerState::Leaving, ServerState::Down, ServerState::Up(Incarnation(2))] {
        net.real.insert(server.clone(), state);
        // One second of it is the time between the keeper's questions.
        let took = net.run_until(10 * SECOND, |it| knows(it, state));
        assert!(took.is_some_and(|it| it < 2 * SECOND), "{state:?} {took:?}");
    }
}

// A server that went down while its keeper was dying stays up in everybody's eyes. The keeper's heir
// must take over its word, whatever number of words the old keeper had given.
#[test]
fn keepers_heir_goes_on_with_the_servers_state() {
    let mut net = started(5, TODAY);
    net.start_checks();
    net.run(10 * SECOND);
    let server = net.servers()[0].clone();
    let keeper = net.keeper(&server).expect("a keeper");
    net.crash(keeper);
    net.real.insert(server.clone(), ServerState::Down);
    net.run(10 * SECOND);
    assert_ne!(net.keeper(&server), Some(keeper));
    assert!(net.running().all(|it| it.servers.get(&server) == Some(&ServerState::Down)));
}

// All instances but one seem to vanish and come back at once. The one was paused for longer than a
// silence may last; when it runs again it finds that it heard nobody. It must not tell the others that
// they are dead, and must come back itself, as they rightly took it for dead.
#[test]
fn paused_instance_comes_back_and_blames_nobody() {
    let mut net = started(6, TODAY);
    net.pause(2, 12 * SECOND);
    net.run(8 * SECOND);
    assert!(net.all_see(2, false));
    net.run(4 * SECOND);
    for other in (0..7).filter(|it| *it != 2) {
        assert_eq!(state(&net, 2, other), Some(State::Alive), "{other} is blamed");
    }
    let deaths = net.deaths;
    let back = net.run_until(20 * SECOND, |it| it.all_see(2, true) && it.agrees());
    assert!(back.is_some_and(|it| it < 10 * SECOND), "{back:?}");
    net.run(30 * SECOND);
    assert_eq!(net.deaths, deaths);
}

// After an hour apart, two regions flood each other with what happened meanwhile, or take each other's
// members for dead one by one. They must go on alone, serve on, and join again with bounded traffic.
#[test]
fn regions_part_for_an_hour_and_join_without_a_storm() {
    let mut net = started(7, HALVES);
    net.start_checks();
    net.run(5 * SECOND);
    let deaths = net.deaths;
    net.cuts.push(("a".into(), "b".into()));
    net.run(10 * SECOND);
    let sees = |net: &Net, index: usize, region: &str| {
        let view = net.slots[index].node.as_ref().expect("it runs").view().clone();
        view.live_in_region(&region.into()).count()
    };
    assert_eq!((sees(&net, 0, "a"), sees(&net, 0, "b")), (3, 0));
    assert_eq!((sees(&net, 5, "a"), sees(&net, 5, "b")), (0, 3));
    // An ordinary hour: restarts on both sides, and a server that went down.
    for index in [1, 3, 4] {
        net.crash(index);
        net.run(60 * SECOND);
        net.start(index);
        net.run(600 * SECOND);
    }
    let server = net.servers()[1].clone();
    net.real.insert(server.clone(), ServerState::Down);
    net.run(HOUR - 2_000 * SECOND);
    assert_eq!(net.deaths, deaths, "a lost region's members are not taken for dead");

    net.cuts.clear();
    net.reset_counts();
    let joined = net.run_until(60 * SECOND, Net::agrees);
    assert!(joined.is_some_and(|it| it < 10 * SECOND), "{joined:?}");
    net.run(20 * SECOND);
    assert!(net.running().all(|it| it.servers.get(&server) == Some(&ServerState::Down)));
    let peak = net.running().map(|it| it.count.peak_bytes).max();
    assert!(peak < Some(26 * 1024), "{peak:?} bytes in one second");
}

// Two data centres of one region lose each other, and each takes the other's instances for dead. When
// the link is back nobody asks the dead, and both go on alone for good.
#[test]
fn data_centres_that_lost_each_other_find_each_other() {
    let mut net = started(8, TODAY);
    net.cuts.push(("cluj-a".into(), "iasi-c".into()));
    net.cuts.push(("cluj-b".into(), "iasi-c".into()));
    net.run(60 * SECOND);
    assert!(net.all_see(0, false) || state(&net, 6, 0) == Some(State::Dead));
    net.cuts.clear();
    let joined = net.run_until(60 * SECOND, Net::agrees);
    assert!(joined.is_some_and(|it| it < 15 * SECOND), "{joined:?}");
}

// An instance that cannot be reached by one other alone is taken for dead by all. A cut between two
// data centres, while a third reaches both, must be bridged by the indirect probes.
#[test]
fn a_cut_that_others_can_bridge_kills_nobody() {
    let mut net = started(9, TODAY);
    net.cuts.push(("cluj-a".into(), "iasi-c".into()));
    net.run(120 * SECOND);
    assert_eq!(net.deaths, 0);
}

// A new instance sends questions to the dead and leaves the living out. It started from a list that
// still shows a dead instance as live and a live one, which was restarted, as leaving.
#[test]
fn stale_list_is_put_right_by_peers() {
    let mut net = started(10, TODAY);
    net.crash(1);
    net.run(10 * SECOND);
    net.crash(4);
    net.list_stays(1, Some(false));
    net.list_stays(3, Some(true));
    net.start(4);
    let right = net.run_until(20 * SECOND, |it| {
        state(it, 4, 1) == Some(State::Dead) && state(it, 4, 3) == Some(State::Alive)
    });
    assert!(right.is_some_and(|it| it < 2 * SECOND), "{right:?}");
    // Reading the stale list again changes nothing.
    net.run(60 * SECOND);
    assert!(net.agrees());
}

// A restarted instance stays dead for the others. Its wall clock was set back meanwhile, so its new life
// seems older than the one that died.
#[test]
fn clock_set_back_does_not_keep_an_instance_dead() {
    let mut net = started(15, TODAY);
    net.crash(3);
    net.run_until(10 * SECOND, |it| it.all_see(3, false)).expect("its death");
    net.start_by_clock(3, 1_000);
    let back = net.run_until(30 * SECOND, |it| it.all_see(3, true));
    assert!(back.is_some_and(|it| it < 5 * SECOND), "{back:?}");
    net.run(60 * SECOND);
    assert!(net.agrees());
}

// Homes of prefixes move each time an instance comes or goes. One that crashes in a loop would move
// them all the time; it has to stay for a while before it counts again.
#[test]
fn flapping_instance_is_held_back() {
    let mut net = started(11, TODAY);
    for _ in 0..4 {
        net.crash(3);
        net.run_until(10 * SECOND, |it| it.all_see(3, false)).expect("its death");
        net.start(3);
        net.run(8 * SECOND);
    }
    assert!(net.all_see(3, false));
    assert_eq!(state(&net, 0, 3), Some(State::Alive));
    let back = net.run_until(300 * SECOND, |it| it.all_see(3, true));
    assert!(back.is_some_and(|it| 20 * SECOND < it), "{back:?}");
}

// All instances are restarted at once, by an update or a power cut. Each wants the table, the list and
// the others; together they must stay within a few calls each, and serve at once.
#[test]
fn herd_restart_stays_within_a_few_calls() {
    let mut net = started(12, REGIONS);
    net.start_checks();
    net.run(5 * SECOND);
    (0..16).for_each(|it| net.crash(it));
    net.run(5 * SECOND);
    net.reset_counts();
    net.start_all(SECOND / 2);
    let version = net.accepted();
    let ready = net.run_until(10 * SECOND, |it| it.agrees() && it.all_apply(version));
    assert!(ready.is_some_and(|it| it < 2 * SECOND), "{ready:?}");
    // Two watchers in each of four data centres read the head and two or three segments, then watch.
    assert!(net.platform.calls <= 48, "{} calls", net.platform.calls);
    assert!(net.list_calls <= 32, "{} reads of the list", net.list_calls);
}

// Under loss that a bad line may have, instances are taken for dead over and over.
#[test]
fn loss_of_a_fifth_kills_hardly_anybody() {
    let mut net = started(13, REGIONS);
    net.loss = 0.2;
    net.run(300 * SECOND);
    net.loss = 0.0;
    net.run(5 * SECOND);
    assert!(net.agrees());
    assert!(net.deaths < 16, "{} deaths", net.deaths);
}

#[test]
fn load_reports_reach_all_of_a_data_centre() {
    // Twelve instances stand in a grid with a short last row.
    for count in [1, 2, 8, 11, 12, 13] {
        let mut net = started(14, &[("a", "a-1", count), ("a", "a-2", 2)]);
        net.start_checks();
        net.run(10 * SECOND);
        let mine = net.servers().iter().step_by(2).cloned().collect::<Vec<_>>();
        for (index, slot) in net.slots.iter().enumerate().take(count) {
            for server in &mine {
                let own = net.keeper(server) == Some(index);
                let at = slot.loads.get(server).map(|(at, _)| *at);
                let fresh = at.is_some_and(|it| net.now.since(it) < 3 * SECOND);
                assert!(own || fresh, "{count} instances: {index} knows {server} as of {at:?}");
            }
            let other = slot.centres.get("a-2");
            let fresh = other.is_some_and(|it| net.now.since(*it) < 4 * SECOND);
            assert!(fresh, "{count} instances: {index} heard of a-2 at {other:?}");
        }
    }
}
