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
    let mut net = Simulation::new(seed, SHAPE);
    net.populate_table(20, 2, 18);
    net.start_all(SECOND);
    net.run_until(20 * SECOND, |it| it.views_agree() && it.all_apply(it.stored_version()))
        .expect("a start");
    net.run(10 * SECOND);
    net
}

fn set(organisation: &str, expected: Option<&str>, value: &str) -> Vec<Edit> {
    let row = row::Key::new(row::Kind::Organisation, organisation).expect("a name");
    let cell = Cell::new(row, Column::Weight).expect("a column of it");
    vec![Edit::Set { cell, expected: expected.map(Into::into), value: value.into() }]
}

#[test]
fn change_is_in_force_everywhere_within_a_second() {
    let mut net = started(1);
    for loss in [0.0, 0.05, 0.2] {
        net.packet_loss = loss;
        for weight in 0..10 {
            let version = net.set_weight("org-0001", 10 + weight);
            let took = net.run_until(10 * SECOND, |it| it.all_apply(version));
            assert!(took.is_some_and(|it| it < SECOND), "loss {loss}: {took:?}");
            net.run(SECOND / 3);
        }
    }
    assert!(net.tables_agree());
}

// An operator changes a cell through one instance; the platform's watch is slow. The instance that
// accepted it has it in force at once, and tells the others itself.
#[test]
fn change_accepted_here_needs_no_watch() {
    let mut net = started(2);
    let change = net.propose_without_watch(set("org-0001", None, "7")).unwrap();
    let version = change.version;
    net.platform.is_down = true;
    net.handle_input(4, Input::Accepted(change));
    assert_eq!(net.instances[4].applied, version);
    let took = net.run_until(10 * SECOND, |it| it.all_apply(version));
    assert!(took.is_some_and(|it| it < SECOND), "{took:?}");
}

// Two operators change the table at the same moment. On different cells both must succeed; on the same
// cell the second must be told what the first has set. All instances end with the same table.
#[test]
fn two_operators_race() {
    let mut net = started(3);
    net.propose(set("org-0001", Some("2"), "3")).unwrap();
    net.propose(set("org-0002", Some("2"), "5")).unwrap();
    let late = net.propose(set("org-0001", Some("2"), "4"));
    assert!(matches!(late, Err(Error::Conflict { ref found, .. }) if found == "3"), "{late:?}");
    let version = net.stored_version();
    net.run_until(10 * SECOND, |it| it.all_apply(version)).expect("all apply both");
    assert!(net.tables_agree());
    let table = net.instances[0].node.as_ref().unwrap().table().clone();
    assert_eq!(table.organisations["org-0001"].weight, 3.0);
    assert_eq!(table.organisations["org-0002"].weight, 5.0);
}

// An operator sees an error for a change that is in force. The head's write took effect, its answer was
// lost. Reading back must find the change by its id; a second write would be a conflict with itself.
#[test]
fn lost_answer_to_the_heads_write_counts_once() {
    let mut net = started(4);
    let before = net.stored_version();
    net.platform.lose_next_reply = true;
    let change = net.propose(set("org-0001", Some("2"), "9")).unwrap();
    assert_eq!(change.version, Version(before.0 + 1));
    assert_eq!(net.stored_version(), change.version);
    net.run_until(10 * SECOND, |it| it.all_apply(change.version)).expect("all apply it");
    assert!(
        net.running().all(|it| it
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
    let mut net = Simulation::new(5, SHAPE);
    // Larger than one message.
    net.populate_table(900, 2, 900);
    net.start_all(SECOND);
    net.run_until(20 * SECOND, |it| it.all_apply(it.stored_version())).expect("a start");
    let version = net.stored_version();
    net.crash(7);
    net.run(20 * SECOND);
    // The list alone answers still: without any address nobody can be asked.
    net.list_survives_outage = true;
    net.platform.is_down = true;
    net.start(7);
    let took = net.run_until(20 * SECOND, |it| it.instances[7].applied == version);
    assert!(took.is_some_and(|it| it < 2 * SECOND), "{took:?}");
    assert!(net.tables_agree());
}

// A change is taken back all over the fleet. An instance or a store that was out for long comes with a
// table from before the change: a region that was cut off, a paused instance, a store restored from a
// copy. Only higher versions may be applied, whoever brings them.
#[test]
fn stale_copy_never_wins() {
    let mut net = started(6);
    let old = net.platform.get(&head_key()).expect("a head");
    net.partitions.push(("a".into(), "b".into()));
    net.without_platform.extend(10..15);
    net.pause(2, 30 * SECOND);
    let version = net.set_weight("org-0003", 11);
    net.run(20 * SECOND);
    assert!(net.instances[10].applied < version);
    net.partitions.clear();
    net.run_until(20 * SECOND, |it| it.all_apply(version) || it.instances[2].applied < version)
        .unwrap();
    net.run(20 * SECOND);
    assert!(net.all_apply(version));
    // The store comes back with the old head, as its newest version.
    let current = net.platform.get(&head_key()).expect("a head");
    let call = shallotlead_base::store::Call::Put {
        key: head_key(),
        expected: current.version,
        value: old.value,
    };
    net.platform.call(call);
    net.without_platform.clear();
    net.run(60 * SECOND);
    assert!(net.running().all(|it| it.applied == version));
    let rising = |it: &[Version]| it.windows(2).all(|it| it[0] < it[1]);
    assert!(net.running().all(|it| rising(&it.applied_versions)));
}

// A change doesn't get through, though most instances reach the platform. Those that watch it are cut
// off from it, and the others rely on them.
#[test]
fn others_watch_when_all_watchers_are_cut_off() {
    let mut net = started(7);
    let watchers = net.platform.watchers();
    assert_eq!(watchers.len(), 6, "two in each data centre");
    net.platform.drop_watches();
    net.without_platform.extend(watchers);
    let version = net.set_weight("org-0003", 11);
    let took = net.run_until(60 * SECOND, |it| it.all_apply(version));
    assert!(took.is_some_and(|it| it < 20 * SECOND), "{took:?}");
    // When the watchers are back, the others leave it to them.
    net.without_platform.clear();
    net.run(60 * SECOND);
    assert_eq!(net.platform.watchers().len(), 6);
}

// The platform is out for half an hour. Instances must not hammer it, and must notice that it is back.
#[test]
fn outage_is_sat_out_with_few_calls() {
    let mut net = started(8);
    net.platform.is_down = true;
    net.run(60 * SECOND);
    net.reset_stats();
    net.run(600 * SECOND);
    let calls = net.platform.calls as f64 / 600.0;
    // Six watchers every 4 to 8 s, nine others every 30 to 60 s.
    assert!(calls < 1.6, "{calls} calls a second");
    net.platform.is_down = false;
    let version = net.set_weight("org-0003", 11);
    let took = net.run_until(60 * SECOND, |it| it.all_apply(version));
    assert!(took.is_some_and(|it| it < 9 * SECOND), "{took:?}");
}

// A sheet of many rows was loaded as one change, larger than any message. Gossip can't carry it.
#[test]
fn change_larger_than_a_message_arrives() {
    let mut net = started(9);
    let add = |it: usize| Edit::Add {
        row: row::Key::new(row::Kind::Organisation, &format!("sheet-{it:05}")).unwrap(),
        cells: Vec::new(),
    };
    let change = net.propose((0..4_000).map(add).collect()).unwrap();
    let took = net.run_until(20 * SECOND, |it| it.all_apply(change.version));
    assert!(took.is_some_and(|it| it < 4 * SECOND), "{took:?}");
    assert!(net.tables_agree());
}

// An operator waits long to see a change in force everywhere, though it is: the version of an instance
// is known to those that happen to talk to it, and the one that sums up its data centre is not one of
// them. Every instance can tell for each data centre, without asking all.
#[test]
fn every_instance_knows_the_versions_in_force_by_data_centre() {
    const WIDE: &[(&str, &str, usize)] = &[("a", "a-1", 30), ("a", "a-2", 5), ("b", "b-1", 5)];
    let mut net = Simulation::new(10, WIDE);
    net.populate_table(8, 2, 18);
    net.start_all(SECOND);
    net.run(20 * SECOND);
    net.packet_loss = 0.05;
    for weight in 11..14 {
        let version = net.set_weight("org-0003", weight);
        let told = |net: &Simulation| {
            let told = |centre: &str, live, slot: &Instance| {
                let mut statuses = slot.statuses.iter();
                statuses
                    .any(|it| (it.centre.as_str(), it.live, it.lowest) == (centre, live, version))
            };
            let all = |slot| told("a-1", 30, slot) && told("a-2", 5, slot) && told("b-1", 5, slot);
            net.running().all(all)
        };
        let took = net.run_until(60 * SECOND, told);
        assert!(took.is_some_and(|it| it < 6 * SECOND), "{took:?}");
        net.run(3 * SECOND);
    }
}

// An operator is told that a change is in force everywhere while one instance, whose messages are lost,
// still works with the old table.
#[test]
fn status_does_not_run_ahead_of_the_slowest() {
    let mut net = started(12);
    net.pause(3, 2 * SECOND);
    let version = net.set_weight("org-0003", 11);
    net.run(SECOND + SECOND / 2);
    assert!(net.instances[3].applied < version);
    for slot in net.running().filter(|it| it.member.name.as_str() != "a-1-3") {
        let status = slot.statuses.iter().find(|it| it.centre.as_str() == "a-1");
        assert!(status.is_some_and(|it| it.lowest < version), "{status:?}");
    }
}

// All instances start for the first time, before there is any table.
#[test]
fn first_table_arrives() {
    let mut net = Simulation::new(11, SHAPE);
    net.start_all(SECOND);
    net.run(20 * SECOND);
    net.reset_stats();
    net.run(30 * SECOND);
    assert!(net.platform.calls < 60, "{} calls", net.platform.calls);
    net.populate_table(3, 1, 3);
    let version = net.stored_version();
    let took = net.run_until(20 * SECOND, |it| it.all_apply(version));
    assert!(took.is_some_and(|it| it < 2 * SECOND), "{took:?}");
    let head = Head::decode(&net.platform.get(&head_key()).unwrap().value).unwrap();
    assert_eq!(head.version, version);
}
