//! The table in force under failures: many nodes in virtual time. Times that are asserted are virtual.

mod support;

use std::time::Duration;

use shallotlead_base::{id::Version, store::Store};
use shallotlead_fleet::node::Input;
use shallotlead_table::{
    cell::Cell,
    change::Edit,
    column::Column,
    error::Error,
    layout::{Head, head_key},
    row,
};

use support::simulation::{Instance, Simulation};

const SECOND: Duration = Duration::from_secs(1);
const SHAPE: &[(&str, &str, usize)] = &[("a", "a-1", 5), ("a", "a-2", 5), ("b", "b-1", 5)];

fn started(seed: u64) -> Simulation {
    let mut sim = Simulation::new(seed, SHAPE);
    sim.populate_table(20, 2, 18);
    sim.start_all(SECOND);
    sim.run_until(20 * SECOND, |it| it.views_agree() && it.all_apply(it.stored_version()))
        .expect("a start");
    sim.run(10 * SECOND);
    sim
}

fn set(organisation: &str, expected: Option<&str>, value: &str) -> Vec<Edit> {
    let row = row::Key::new(row::Kind::Organisation, organisation).expect("a name");
    let cell = Cell::new(row, Column::Weight).expect("a column of it");
    vec![Edit::Set { cell, expected: expected.map(Into::into), value: value.into() }]
}

#[test]
fn change_is_in_force_everywhere_within_a_second() {
    let mut sim = started(1);
    for loss in [0.0, 0.05, 0.2] {
        sim.packet_loss = loss;
        for weight in 0..10 {
            let version = sim.set_weight("org-0001", 10 + weight);
            let took = sim.run_until(10 * SECOND, |it| it.all_apply(version));
            assert!(took.is_some_and(|it| it < SECOND), "loss {loss}: {took:?}");
            sim.run(SECOND / 3);
        }
    }
    assert!(sim.tables_agree());
}

// An operator changes a cell through one instance; the platform's watch is slow. The instance that
// accepted it has it in force at once, and tells the others itself.
#[test]
fn change_accepted_here_needs_no_watch() {
    let mut sim = started(2);
    let change = sim.propose_without_watch(set("org-0001", None, "7")).unwrap();
    let version = change.version;
    sim.platform.is_down = true;
    sim.handle_input(4, Input::ChangeAccepted(change));
    assert_eq!(sim.instances[4].applied, version);
    let took = sim.run_until(10 * SECOND, |it| it.all_apply(version));
    assert!(took.is_some_and(|it| it < SECOND), "{took:?}");
}

// Two operators change the table at the same moment. On different cells both must succeed; on the same
// cell the second must be told what the first has set. All instances end with the same table.
#[test]
fn two_operators_race() {
    let mut sim = started(3);
    sim.propose(set("org-0001", Some("2"), "3")).unwrap();
    sim.propose(set("org-0002", Some("2"), "5")).unwrap();
    let late = sim.propose(set("org-0001", Some("2"), "4"));
    assert!(matches!(late, Err(Error::Conflict { ref found, .. }) if found == "3"), "{late:?}");
    let version = sim.stored_version();
    sim.run_until(10 * SECOND, |it| it.all_apply(version)).expect("all apply both");
    assert!(sim.tables_agree());
    let table = sim.instances[0].node.as_ref().unwrap().table().clone();
    assert_eq!(table.organisations["org-0001"].weight, 3.0);
    assert_eq!(table.organisations["org-0002"].weight, 5.0);
}

// An operator sees an error for a change that is in force. The head's write took effect, its answer was
// lost. Reading back must find the change by its id; a second write would be a conflict with itself.
#[test]
fn lost_answer_to_the_heads_write_counts_once() {
    let mut sim = started(4);
    let before = sim.stored_version();
    sim.platform.lose_next_reply = true;
    let change = sim.propose(set("org-0001", Some("2"), "9")).unwrap();
    assert_eq!(change.version, Version(before.0 + 1));
    assert_eq!(sim.stored_version(), change.version);
    sim.run_until(10 * SECOND, |it| it.all_apply(change.version)).expect("all apply it");
    assert!(
        sim.running().all(|it| it
            .applied_versions
            .iter()
            .filter(|it| **it == change.version)
            .count()
            <= 1)
    );
}

// An instance that starts while the platform is down refuses all requests, as it knows no organisation.
// It must take the table from its peers, whole and in pieces, and serve at once.
#[test]
fn start_while_the_platform_is_down_takes_the_table_from_peers() {
    let mut sim = Simulation::new(5, SHAPE);
    // Larger than one message.
    sim.populate_table(900, 2, 900);
    sim.start_all(SECOND);
    sim.run_until(20 * SECOND, |it| it.all_apply(it.stored_version())).expect("a start");
    let version = sim.stored_version();
    sim.crash(7);
    sim.run(20 * SECOND);
    // The list alone answers still: without any address nobody can be asked.
    sim.list_survives_outage = true;
    sim.platform.is_down = true;
    sim.start(7);
    let took = sim.run_until(20 * SECOND, |it| it.instances[7].applied == version);
    assert!(took.is_some_and(|it| it < 2 * SECOND), "{took:?}");
    assert!(sim.tables_agree());
}

// A change is taken back all over the fleet. An instance or a store that was out for long comes with a
// table from before the change: a region that was cut off, a paused instance, a store restored from a
// copy. Only higher versions may be applied, whoever brings them.
#[test]
fn stale_copy_never_wins() {
    let mut sim = started(6);
    let old = sim.platform.get(&head_key()).expect("a head");
    sim.partitions.push(("a".into(), "b".into()));
    sim.without_platform.extend(10..15);
    sim.pause(2, 30 * SECOND);
    let version = sim.set_weight("org-0003", 11);
    sim.run(20 * SECOND);
    assert!(sim.instances[10].applied < version);
    sim.partitions.clear();
    sim.run_until(20 * SECOND, |it| it.all_apply(version) || it.instances[2].applied < version)
        .unwrap();
    sim.run(20 * SECOND);
    assert!(sim.all_apply(version));
    // The store comes back with the old head, as its newest version.
    let current = sim.platform.get(&head_key()).expect("a head");
    let call = shallotlead_base::store::Call::Put {
        key: head_key(),
        expected: current.version,
        value: old.value,
    };
    sim.platform.call(call);
    sim.without_platform.clear();
    sim.run(60 * SECOND);
    assert!(sim.running().all(|it| it.applied == version));
    let rising = |it: &[Version]| it.windows(2).all(|it| it[0] < it[1]);
    assert!(sim.running().all(|it| rising(&it.applied_versions)));
}

// A change doesn't get through, though most instances reach the platform. Those that watch it are cut
// off from it, and the others rely on them.
#[test]
fn others_watch_when_all_watchers_are_cut_off() {
    let mut sim = started(7);
    let watchers = sim.platform.watchers();
    assert_eq!(watchers.len(), 6, "two in each data centre");
    sim.platform.drop_watches();
    sim.without_platform.extend(watchers);
    let version = sim.set_weight("org-0003", 11);
    let took = sim.run_until(60 * SECOND, |it| it.all_apply(version));
    assert!(took.is_some_and(|it| it < 20 * SECOND), "{took:?}");
    // When the watchers are back, the others leave it to them.
    sim.without_platform.clear();
    sim.run(60 * SECOND);
    assert_eq!(sim.platform.watchers().len(), 6);
}

// The platform is out for half an hour. Instances must not hammer it, and must notice that it is back.
#[test]
fn outage_is_sat_out_with_few_calls() {
    let mut sim = started(8);
    sim.platform.is_down = true;
    sim.run(60 * SECOND);
    sim.reset_stats();
    sim.run(600 * SECOND);
    let calls = sim.platform.calls as f64 / 600.0;
    // Six watchers every 4 to 8 s, nine others every 30 to 60 s.
    assert!(calls < 1.6, "{calls} calls a second");
    sim.platform.is_down = false;
    let version = sim.set_weight("org-0003", 11);
    let took = sim.run_until(60 * SECOND, |it| it.all_apply(version));
    assert!(took.is_some_and(|it| it < 9 * SECOND), "{took:?}");
}

// A sheet of many rows was loaded as one change, larger than any message. Gossip can't carry it.
#[test]
fn change_larger_than_a_message_arrives() {
    let mut sim = started(9);
    let add = |it: usize| Edit::Add {
        row: row::Key::new(row::Kind::Organisation, &format!("sheet-{it:05}")).unwrap(),
        cells: Vec::new(),
    };
    let change = sim.propose((0..4_000).map(add).collect()).unwrap();
    let took = sim.run_until(20 * SECOND, |it| it.all_apply(change.version));
    assert!(took.is_some_and(|it| it < 4 * SECOND), "{took:?}");
    assert!(sim.tables_agree());
}

// An operator waits long to see a change in force everywhere, though it is: the version of an instance
// is known to those that happen to talk to it, and the one that sums up its data centre is not one of
// them. Every instance can tell for each data centre, without asking all.
#[test]
fn every_instance_knows_the_versions_in_force_by_data_centre() {
    const WIDE: &[(&str, &str, usize)] = &[("a", "a-1", 30), ("a", "a-2", 5), ("b", "b-1", 5)];
    let mut sim = Simulation::new(10, WIDE);
    sim.populate_table(8, 2, 18);
    sim.start_all(SECOND);
    sim.run(20 * SECOND);
    sim.packet_loss = 0.05;
    for weight in 11..14 {
        let version = sim.set_weight("org-0003", weight);
        let told = |sim: &Simulation| {
            let told = |centre: &str, live, slot: &Instance| {
                let mut statuses = slot.statuses.iter();
                statuses
                    .any(|it| (it.centre.as_str(), it.live, it.lowest) == (centre, live, version))
            };
            let all = |slot| told("a-1", 30, slot) && told("a-2", 5, slot) && told("b-1", 5, slot);
            sim.running().all(all)
        };
        let took = sim.run_until(60 * SECOND, told);
        assert!(took.is_some_and(|it| it < 6 * SECOND), "{took:?}");
        sim.run(3 * SECOND);
    }
}

// An operator is told that a change is in force everywhere while one instance, whose messages are lost,
// still works with the old table.
#[test]
fn status_does_not_run_ahead_of_the_slowest() {
    let mut sim = started(12);
    sim.pause(3, 2 * SECOND);
    let version = sim.set_weight("org-0003", 11);
    sim.run(SECOND + SECOND / 2);
    assert!(sim.instances[3].applied < version);
    for slot in sim.running().filter(|it| it.member.name.as_str() != "a-1-3") {
        let status = slot.statuses.iter().find(|it| it.centre.as_str() == "a-1");
        assert!(status.is_some_and(|it| it.lowest < version), "{status:?}");
    }
}

// All instances start for the first time, before there is any table.
#[test]
fn first_table_arrives() {
    let mut sim = Simulation::new(11, SHAPE);
    sim.start_all(SECOND);
    sim.run(20 * SECOND);
    sim.reset_stats();
    sim.run(30 * SECOND);
    assert!(sim.platform.calls < 60, "{} calls", sim.platform.calls);
    sim.populate_table(3, 1, 3);
    let version = sim.stored_version();
    let took = sim.run_until(20 * SECOND, |it| it.all_apply(version));
    assert!(took.is_some_and(|it| it < 2 * SECOND), "{took:?}");
    let head = Head::decode(&sim.platform.get(&head_key()).unwrap().value).unwrap();
    assert_eq!(head.version, version);
}
