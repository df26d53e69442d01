//! Whole deployments in virtual time.
//!
//! `EMULATOR_SEEDS=10000 EMULATOR_FIRST=100 cargo test --release -p shallotlead-emulator -- --nocapture` plays ten
//! thousand seeds with faults; without, CI's few are played.

use std::{env, time::Duration};

use shallotlead_base::time::Time;
use shallotlead_emulator::{
    fault::{Fault, Harm, Target},
    hunt,
    ledger::Violation,
    report::Report,
    scenario::Scenario,
    world,
};

/// Seeds that are played for each size of the deployment.
const SEEDS: u64 = 12;
/// Seeds that have broken a promise, with the number of instances.
const FAILED: [(u16, u64); 1] = [(3, 2032)];

fn calm(instances: u16, seed: u64) -> Report {
    let duration = Duration::from_secs(10);
    world::run(&Scenario { duration, ..Scenario::calm(instances, seed) })
}

fn number(name: &str) -> Option<u64> {
    env::var(name).ok().map(|it| it.parse().expect("a number"))
}

// A failure that can't be played again can't be traced.
#[test]
fn same_seed_gives_the_same_bytes_of_log() {
    let stormy = |seed| world::run(&Scenario::stormy(3, seed, Duration::from_secs(10)));
    for play in [&|seed| calm(3, seed), &stormy] as [&dyn Fn(u64) -> Report; 2] {
        let [first, second] = [(); 2].map(|()| play(7));
        assert!(!first.log.is_empty());
        assert!(first.log == second.log, "the logs of two runs differ");
        assert!(first.log != play(8).log, "the log doesn't depend on the seed");
    }
}

#[test]
fn calm_deployments_of_any_size_answer_all_requests() {
    for instances in [1, 3, 7] {
        let report = calm(instances, 1);
        assert!(100 < report.requests, "{report}");
        assert_eq!(report.answered, report.requests, "{report}");
        assert_eq!(report.violations, [], "{report}");
    }
}

#[test]
fn promises_hold_under_faults_drawn_by_seed() {
    let first = number("EMULATOR_FIRST").unwrap_or(0);
    let seeds = first..first + number("EMULATOR_SEEDS").unwrap_or(SEEDS);
    let mut broken = 0;
    let drawn = [1, 3, 7].iter().flat_map(|it| seeds.clone().map(|seed| (*it, seed)));
    for (instances, seed) in FAILED.into_iter().chain(drawn) {
        let scenario = Scenario::stormy(instances, seed, Duration::from_secs(20));
        let report = world::run(&scenario);
        if !report.violations.is_empty() {
            broken += 1;
            let finding = hunt::shrink(&scenario, report, world::run);
            eprintln!("{instances} instances, faults that are needed:");
            finding.scenario.faults.iter().for_each(|it| eprintln!("  {it}"));
            eprint!("{}", finding.report);
        }
    }
    assert_eq!(broken, 0, "seeds break a promise");
}

// Requests that wait for units of a quota while their instance loses its paths to the servers: each further reply sent
// them to another instance once more, and the connection of the one before brought its answer to other callers.
#[test]
fn request_that_waits_for_a_quota_is_handed_over_once() {
    let lasts = Duration::from_secs(3);
    for seed in 0..8 {
        let mut scenario = Scenario { quota_per_s: Some(120.0), ..Scenario::calm(3, seed) };
        scenario.requests_per_s = 160.0;
        let servers = (0..scenario.engines).map(Target::Engine);
        let servers: Vec<_> = servers.chain((0..scenario.plain).map(Target::Plain)).collect();
        for at in [4, 8, 12, 16].map(Duration::from_secs) {
            let cuts = servers.iter().map(|it| Harm::Cut(*it, Target::Instance(0)));
            scenario.faults.extend(cuts.map(|harm| Fault { harm, at, lasts }));
        }
        let report = world::run(&Scenario { duration: Duration::from_secs(20), ..scenario });
        assert_eq!(report.violations, [], "{report}");
    }
}

#[test]
fn faults_that_are_not_needed_are_dropped() {
    let harms = [
        Harm::Configuration,
        Harm::Kill(Target::Store),
        Harm::Weights,
        Harm::Freeze(Target::Engine(1)),
        Harm::Loss(0.1),
    ];
    let (at, lasts) = (Duration::from_secs(4), Duration::from_secs(1));
    let faults = harms.map(|harm| Fault { harm, at, lasts }).to_vec();
    let scenario = Scenario { faults, ..Scenario::calm(1, 1) };
    let run = |it: &Scenario| {
        let has = |index: usize| it.faults.iter().any(|it| it.harm == harms[index]);
        let broken = Violation { at: Time::ZERO, promise: "it holds", seen: String::new() };
        Report {
            violations: if has(1) && has(3) { vec![broken] } else { Vec::new() },
            ..Report::default()
        }
    };
    let finding = hunt::shrink(&scenario, run(&scenario), run);
    let left: Vec<Harm> = finding.scenario.faults.iter().map(|it| it.harm).collect();
    assert_eq!(left, [harms[1], harms[3]]);
}

// While an instance that starts doesn't know the quarantine, what crashes servers is sent to them once more.
#[test]
fn quarantine_is_read_together_with_the_instances_in_a_small_fleet() {
    let scenario = Scenario { duration: Duration::from_secs(3), ..Scenario::calm(3, 1) };
    let log = String::from_utf8(world::run(&scenario).log).expect("the log is text");
    let listed_at = |kind: &str| {
        let is_list = |it: &&str| it.split(' ').skip(1).eq(["list", kind]);
        let times = log.lines().filter(is_list).filter_map(|it| it.split(' ').next()?.parse().ok());
        times.collect::<Vec<f64>>()
    };
    let (instances, records) = (listed_at("instance"), listed_at("quarantine"));
    assert_eq!((instances.len(), records.len()), (3, 3));
    // A call to the store and its answer take a few milliseconds.
    assert!(instances.iter().zip(&records).all(|(it, after)| it < after && after - it < 0.05));
}
