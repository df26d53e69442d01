//! The configuration table in force under failures, with many simulated nodes. All times are virtual.

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
        .expect("the instances start");
    sim.run(10 * SECOND);
    sim
}

fn set(organisation: &str, expected: Option<&str>, value: &str) -> Vec<Edit> {
    let row = row::Key::new(row::Kind::Organisation, organisation).expect("the name is allowed");
    let cell = Cell::new(row, Column::Weight).expect("the row has the column");
    vec![Edit::Set { cell, expected: expected.map(Into::into), value: value.into() }]
}

#[test]
fn change_is_in_force_everywhere_within_a_second() {
    let mut sim = started(1);
    for loss in [0.0, 0.05, 0.2] {
        sim.packet_loss = loss;
        for weight in 0..10 {
            let version = sim.set_weight("org-0001", 10 + weight);
            let elapsed = sim.run_until(10 * SECOND, |it| it.all_apply(version));
            assert!(elapsed.is_some_and(|it| it < SECOND), "loss {loss}: {elapsed:?}");
            sim.run(SECOND / 3);
        }
    }
    assert!(sim.tables_agree());
}

// An operator changes a cell through one instance while the platform's watch is slow. The instance that
// accepted the change must apply it at once and spread it to the others itself.
#[test]
fn accepted_change_spreads_without_the_watch() {
    let mut sim = started(2);
    let change = sim.propose_without_watch(set("org-0001", None, "7")).unwrap();
    let version = change.version;
    sim.platform.is_down = true;
    sim.handle_input(4, Input::ChangeAccepted(change));
    assert_eq!(sim.instances[4].applied, version);
    let elapsed = sim.run_until(10 * SECOND, |it| it.all_apply(version));
    assert!(elapsed.is_some_and(|it| it < SECOND), "{elapsed:?}");
}

// Two operators change the table at the same time. If the cells differ, both must succeed; on the same
// cell, the second must get the value that the first has set. All instances end with the same table.
#[test]
fn concurrent_changes_conflict_only_on_the_same_cell() {
    let mut sim = started(3);
    sim.propose(set("org-0001", Some("2"), "3")).unwrap();
    sim.propose(set("org-0002", Some("2"), "5")).unwrap();
    let second = sim.propose(set("org-0001", Some("2"), "4"));
    assert!(matches!(second, Err(Error::Conflict { ref found, .. }) if found == "3"), "{second:?}");
    let version = sim.stored_version();
    sim.run_until(10 * SECOND, |it| it.all_apply(version)).expect("all apply both");
    assert!(sim.tables_agree());
    let table = sim.instances[0].node.as_ref().unwrap().table().clone();
    assert_eq!(table.organisations["org-0001"].weight, 3.0);
    assert_eq!(table.organisations["org-0002"].weight, 5.0);
}

// The write of the head took effect but its reply was lost, and the operator would get an error for a
// change that is in force. Reading back must find the change by its id: a second write would conflict
// with the first.
#[test]
fn lost_reply_to_the_heads_write_applies_the_change_once() {
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

// An instance that starts while the platform is down knows no organisation and refuses all requests. It
// must get the table from its peers, in several chunks, and serve at once.
#[test]
fn start_during_an_outage_fetches_the_table_from_peers() {
    let mut sim = Simulation::new(5, SHAPE);
    // Larger than one message.
    sim.populate_table(900, 2, 900);
    sim.start_all(SECOND);
    sim.run_until(20 * SECOND, |it| it.all_apply(it.stored_version()))
        .expect("the instances start");
    let version = sim.stored_version();
    sim.crash(7);
    sim.run(20 * SECOND);
    // Only the instance list can still be read: without it no peer's address is known.
    sim.list_survives_outage = true;
    sim.platform.is_down = true;
    sim.start(7);
    let elapsed = sim.run_until(20 * SECOND, |it| it.instances[7].applied == version);
    assert!(elapsed.is_some_and(|it| it < 2 * SECOND), "{elapsed:?}");
    assert!(sim.tables_agree());
}

// A region that was partitioned, a paused instance or a store restored from a copy comes back with a
// table from before a change, and the change would be undone on all instances. Only higher versions may
// be applied, whatever their source.
#[test]
fn stale_table_is_never_applied() {
    let mut sim = started(6);
    let old = sim.platform.get(&head_key()).expect("the head exists");
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
    // The store is restored with the old head, under a new object version.
    let current = sim.platform.get(&head_key()).expect("the head exists");
    let call = shallotlead_base::store::Call::Put {
        key: head_key(),
        expected: current.version,
        value: old.value,
    };
    sim.platform.call(call);
    sim.without_platform.clear();
    sim.run(60 * SECOND);
    assert!(sim.running().all(|it| it.applied == version));
    let is_increasing = |it: &[Version]| it.windows(2).all(|it| it[0] < it[1]);
    assert!(sim.running().all(|it| is_increasing(&it.applied_versions)));
}

// The instances that watch the platform lose their connections to it, and the others, which can reach
// it, rely on them. A change must still arrive.
#[test]
fn others_watch_when_all_watchers_lose_the_platform() {
    let mut sim = started(7);
    let watchers = sim.platform.watchers();
    assert_eq!(watchers.len(), 6, "two watchers in each data centre");
    sim.platform.drop_watches();
    sim.without_platform.extend(watchers);
    let version = sim.set_weight("org-0003", 11);
    let elapsed = sim.run_until(60 * SECOND, |it| it.all_apply(version));
    assert!(elapsed.is_some_and(|it| it < 20 * SECOND), "{elapsed:?}");
    // When the watchers are connected again, the others stop watching.
    sim.without_platform.clear();
    sim.run(60 * SECOND);
    assert_eq!(sim.platform.watchers().len(), 6);
}

// The platform is down for ten minutes and more. Instances must make few calls meanwhile, and must
// notice its return.
#[test]
fn outage_causes_few_calls() {
    let mut sim = started(8);
    sim.platform.is_down = true;
    sim.run(60 * SECOND);
    sim.reset_stats();
    sim.run(600 * SECOND);
    let calls = sim.platform.calls as f64 / 600.0;
    // Six watchers call every 4 to 8 s, nine others every 30 to 60 s.
    assert!(calls < 1.6, "{calls} calls a second");
    sim.platform.is_down = false;
    let version = sim.set_weight("org-0003", 11);
    let elapsed = sim.run_until(60 * SECOND, |it| it.all_apply(version));
    assert!(elapsed.is_some_and(|it| it < 9 * SECOND), "{elapsed:?}");
}

// A sheet of many rows was loaded as one change. It exceeds the largest message, so gossip can't carry
// it.
#[test]
fn change_larger_than_a_message_arrives() {
    let mut sim = started(9);
    let add = |it: usize| Edit::Add {
        row: row::Key::new(row::Kind::Organisation, &format!("sheet-{it:05}")).unwrap(),
        cells: Vec::new(),
    };
    let change = sim.propose((0..4_000).map(add).collect()).unwrap();
    let elapsed = sim.run_until(20 * SECOND, |it| it.all_apply(change.version));
    assert!(elapsed.is_some_and(|it| it < 4 * SECOND), "{elapsed:?}");
    assert!(sim.tables_agree());
}

// A change is in force everywhere, but the operator doesn't see it: an instance's version is known to
// the peers that it exchanges messages with, and the one that summarises its data centre may not be one
// of them. Every instance must learn each data centre's versions without asking all instances.
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
        let has_status = |sim: &Simulation| {
            let shows = |centre: &str, live, instance: &Instance| {
                let mut statuses = instance.statuses.iter();
                statuses
                    .any(|it| (it.centre.as_str(), it.live, it.lowest) == (centre, live, version))
            };
            let all = |instance| {
                shows("a-1", 30, instance) && shows("a-2", 5, instance) && shows("b-1", 5, instance)
            };
            sim.running().all(all)
        };
        let elapsed = sim.run_until(60 * SECOND, has_status);
        assert!(elapsed.is_some_and(|it| it < 6 * SECOND), "{elapsed:?}");
        sim.run(3 * SECOND);
    }
}

// The status shows a change as in force everywhere while one instance, which is paused, still uses the
// old table.
#[test]
fn status_shows_the_slowest_instance() {
    let mut sim = started(12);
    sim.pause(3, 2 * SECOND);
    let version = sim.set_weight("org-0003", 11);
    sim.run(SECOND + SECOND / 2);
    assert!(sim.instances[3].applied < version);
    for instance in sim.running().filter(|it| it.member.name.as_str() != "a-1-3") {
        let status = instance.statuses.iter().find(|it| it.centre.as_str() == "a-1");
        assert!(status.is_some_and(|it| it.lowest < version), "{status:?}");
    }
}

// All instances start for the first time, before any table exists.
#[test]
fn first_table_reaches_all_instances() {
    let mut sim = Simulation::new(11, SHAPE);
    sim.start_all(SECOND);
    sim.run(20 * SECOND);
    sim.reset_stats();
    sim.run(30 * SECOND);
    assert!(sim.platform.calls < 60, "{} calls", sim.platform.calls);
    sim.populate_table(3, 1, 3);
    let version = sim.stored_version();
    let elapsed = sim.run_until(20 * SECOND, |it| it.all_apply(version));
    assert!(elapsed.is_some_and(|it| it < 2 * SECOND), "{elapsed:?}");
    let head = Head::decode(&sim.platform.get(&head_key()).unwrap().value).unwrap();
    assert_eq!(head.version, version);
}
