//! Invariants under random sequences of failures. A failing input is printed, including its seed.

mod support;

use std::time::Duration;

use proptest::{collection::vec, prelude::*, test_runner::RngSeed};
use shallotlead_base::id::Version;
use shallotlead_fleet::view::State;

use support::simulation::Simulation;

const SECOND: Duration = Duration::from_secs(1);
const SHAPE: &[(&str, &str, usize)] = &[("a", "a-1", 2), ("a", "a-2", 2), ("b", "b-1", 2)];
const INSTANCES: usize = 6;

/// A change or a failure.
#[derive(Clone, Copy, Debug)]
enum Event {
    Change(u8),
    LostAnswer(u8),
    Crash(usize),
    Start(usize),
    Restart(usize),
    Drain(usize),
    Pause(usize, u8),
    Loss(u8),
    CutRegions,
    CutCentres,
    Heal,
    CutOff(usize),
    PlatformDown,
    PlatformUp,
}

fn event() -> impl Strategy<Value = Event> {
    let index = || 0..INSTANCES;
    prop_oneof![
        3 => any::<u8>().prop_map(Event::Change),
        1 => any::<u8>().prop_map(Event::LostAnswer),
        1 => index().prop_map(Event::Crash),
        2 => index().prop_map(Event::Start),
        1 => index().prop_map(Event::Restart),
        1 => index().prop_map(Event::Drain),
        1 => (index(), 1u8..20).prop_map(|(index, span)| Event::Pause(index, span)),
        1 => (0u8..25).prop_map(Event::Loss),
        1 => Just(Event::CutRegions),
        1 => Just(Event::CutCentres),
        1 => Just(Event::Heal),
        1 => index().prop_map(Event::CutOff),
        1 => Just(Event::PlatformDown),
        1 => Just(Event::PlatformUp),
    ]
}

fn apply_event(sim: &mut Simulation, event: Event) {
    match event {
        Event::Change(_) | Event::LostAnswer(_) if sim.platform.is_down => {}
        Event::Change(weight) => {
            sim.set_weight("org-0001", weight.into());
        }
        Event::LostAnswer(weight) => {
            sim.platform.lose_next_reply = true;
            sim.set_weight("org-0002", weight.into());
        }
        Event::Crash(index) => sim.crash(index),
        Event::Start(index) => {
            if sim.instances[index].node.is_none() {
                sim.start(index);
            }
        }
        Event::Restart(index) => {
            sim.crash(index);
            sim.start(index);
        }
        Event::Drain(index) => sim.drain(index),
        Event::Pause(index, span) => sim.pause(index, Duration::from_secs(span.into())),
        Event::Loss(percent) => sim.packet_loss = f64::from(percent) / 100.0,
        Event::CutRegions => sim.partitions.push(("a".into(), "b".into())),
        Event::CutCentres => sim.partitions.push(("a-1".into(), "a-2".into())),
        Event::Heal => sim.partitions.clear(),
        Event::CutOff(index) => {
            sim.without_platform.insert(index);
        }
        Event::PlatformDown => sim.platform.is_down = true,
        Event::PlatformUp => sim.platform.is_down = false,
    }
}

fn heal(sim: &mut Simulation) {
    sim.packet_loss = 0.0;
    sim.partitions.clear();
    sim.without_platform.clear();
    sim.platform.is_down = false;
    // Instances that announced their shutdown end now, as a process would.
    for index in 0..INSTANCES {
        if sim.instances[index].is_draining {
            sim.crash(index);
        }
        if sim.instances[index].node.is_none() {
            sim.start(index);
        }
    }
}

/// Whether every running instance sees all running ones as alive. One that restarted too often may
/// still be held back from new work.
fn all_alive(sim: &Simulation) -> bool {
    sim.running().all(|instance| {
        let view = instance.node.as_ref().map(|it| it.view().clone());
        sim.running().all(|it| {
            let entry = view.as_ref().and_then(|view| view.get(&it.member.name));
            entry.is_some_and(|it| it.is_reachable && it.state == State::Alive)
        })
    })
}

proptest! {
    // A fixed seed, so that every run has the same verdict.
    #![proptest_config(ProptestConfig {
        cases: 40,
        max_shrink_iters: 200,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    // Table versions never decrease at any instance, whatever it receives after a restart, an outage or
    // a partition; the simulation checks it at each step until the instance ends. After the failures,
    // every instance sees all others alive, and the last accepted change is in force everywhere.
    #[test]
    fn versions_increase_and_live_instances_are_found(
        seed: u64,
        events in vec((event(), 0u16..6_000), 1..25),
    ) {
        let mut sim = Simulation::new(seed, SHAPE);
        sim.populate_table(3, 1, 4);
        sim.start_all(SECOND);
        sim.run(5 * SECOND);
        let mut highest = [Version(0); INSTANCES];
        for (event, millis) in events {
            apply_event(&mut sim, event);
            sim.run(Duration::from_millis(millis.into()));
            for (index, instance) in sim.instances.iter().enumerate().filter(|it| it.1.node.is_some()) {
                let increasing = instance.applied_versions.windows(2).all(|it| it[0] < it[1]);
                prop_assert!(increasing, "{index}: {:?}", instance.applied_versions);
                highest[index] = highest[index].max(instance.applied);
                prop_assert!(instance.applied <= sim.stored_version());
            }
        }
        sim.run(20 * SECOND);
        heal(&mut sim);
        let healed = sim.run_until(60 * SECOND, all_alive);
        prop_assert!(healed.is_some(), "some instances don't see others alive");
        let accepted = sim.stored_version();
        prop_assert!(sim.run_until(30 * SECOND, |it| it.all_apply(accepted)).is_some());
        prop_assert!(sim.tables_agree());
        prop_assert!(highest.iter().all(|it| *it <= accepted));
        // It must stay so.
        let deaths = sim.false_deaths;
        sim.run(30 * SECOND);
        prop_assert_eq!(sim.false_deaths, deaths);
        prop_assert!(all_alive(&sim));
    }
}
