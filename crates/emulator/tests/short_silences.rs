//! Servers that fall silent for a second or so and go on, before callers that leave after two seconds without a byte.

use std::{collections::HashMap, time::Duration};

use shallotlead_emulator::{
    fault::{Fault, Harm, Target},
    report::Report,
    scenario::Scenario,
    world,
};
use shallotlead_gateway::budget;

/// When servers fall silent, and for how long.
const SILENCES: [Duration; 2] = [Duration::from_secs(5), Duration::from_secs(8)];
const SILENCE: Duration = Duration::from_millis(1_200);
/// Within this time from its start, no instance can know of a silence.
const UNNOTICED: Duration = Duration::from_millis(200);
/// When an engine that requests were moved to is killed, after the start of the silence.
const KILL_DELAY: Duration = Duration::from_millis(500);
/// Callers leave a stream after such a gap.
const MAX_GAP: Duration = Duration::from_secs(2);
/// Least number of requests that the silences of a play must catch.
const FEWEST_CAUGHT: usize = 20;
const SEEDS: u64 = 2;
const NO_RETRIES: budget::Policy =
    budget::Policy { ratio: 0.0, window: Duration::from_secs(10), slack: 0.0 };

/// What the log tells of one attempt of a caller.
#[derive(Default)]
struct Attempt {
    arrivals: Vec<(Duration, String)>,
    end: Option<(Duration, String)>,
}

impl Attempt {
    /// Whether a server had received it by the time at which its silence could be known of, and it hadn't ended when
    /// that began.
    fn is_caught(&self, fault: &Fault) -> bool {
        let is_silent = |server: &str| match fault.harm {
            Harm::Freeze(Target::Engine(it)) => format!("e{it}") == server,
            Harm::Freeze(Target::Plain(it)) => format!("p{it}") == server,
            _ => false,
        };
        let known = fault.at + UNNOTICED;
        self.end.as_ref().is_none_or(|it| fault.at < it.0)
            && self.arrivals.iter().any(|(at, server)| *at < known && is_silent(server))
    }
}

/// Servers that fall silent together at each of [`SILENCES`].
fn silences(targets: &[Target], lasts: Duration) -> Vec<Fault> {
    let at = |at| targets.iter().map(move |it| Fault { harm: Harm::Freeze(*it), at, lasts });
    SILENCES.into_iter().flat_map(at).collect()
}

fn engines(count: u16) -> Vec<Target> {
    (0..count).map(Target::Engine).collect()
}

/// Servers with room for all requests, and callers that leave.
fn scenario(instances: u16, engines: u16, seed: u64, faults: Vec<Fault>) -> Scenario {
    let mut scenario = Scenario::calm(instances, seed);
    scenario.power.slots = 200;
    scenario.power.prefill = Duration::from_micros(2);
    scenario.power.work = Duration::from_millis(300);
    let duration = Duration::from_secs(10);
    let (requests_per_s, patience) = (200.0, Some(MAX_GAP));
    Scenario { engines, faults, duration, requests_per_s, patience, ..scenario }
}

fn read_attempts(report: &Report) -> HashMap<String, Attempt> {
    let mut attempts: HashMap<String, Attempt> = HashMap::new();
    let log = String::from_utf8_lossy(&report.log);
    for line in log.lines().filter(|it| !it.starts_with('{')) {
        let words: Vec<&str> = line.splitn(4, ' ').collect();
        let &[at, subject, first, second] = words.as_slice() else { continue };
        let at = Duration::from_secs_f64(at.parse().expect("a line begins with its time"));
        match (subject, first) {
            ("callers", _) if second.starts_with("sent to") => {
                attempts.entry(first.to_owned()).or_default();
            }
            ("callers", id) => {
                let attempt = attempts.get_mut(id).expect("an attempt was sent");
                attempt.end = Some((at, second.to_owned()));
            }
            (server, "arrived") => {
                let attempt = attempts.get_mut(second).expect("an attempt was sent");
                attempt.arrivals.push((at, server.to_owned()));
            }
            _ => {}
        }
    }
    attempts
}

/// Attempts that a silence caught and that weren't answered, and others that were neither answered nor refused.
fn lost(scenario: &Scenario) -> Vec<String> {
    let report = world::run(scenario);
    assert_eq!(report.violations, [], "{report}");
    lost_of(scenario, &read_attempts(&report))
}

fn lost_of(scenario: &Scenario, attempts: &HashMap<String, Attempt>) -> Vec<String> {
    let is_caught = |it: &Attempt| scenario.faults.iter().any(|fault| it.is_caught(fault));
    let caught = attempts.values().filter(|it| is_caught(it)).count();
    assert!(FEWEST_CAUGHT <= caught, "too few requests are caught: {caught}");
    let describe = |(id, it): (&String, &Attempt)| {
        let end = it.end.as_ref().map_or("open", |it| &it.1);
        let is_lost = match end {
            "Answered" => false,
            "Refused(503)" => is_caught(it),
            _ => true,
        };
        is_lost.then(|| format!("seed {}, {id}: {end}, {:?}", scenario.seed, it.arrivals))
    };
    attempts.iter().filter_map(describe).collect()
}

fn assert_none_lost(scenario: impl Fn(u64) -> Scenario) {
    let lost: Vec<String> = (0..SEEDS).flat_map(|seed| lost(&scenario(seed))).collect();
    assert!(lost.is_empty(), "{} are lost: {lost:#?}", lost.len());
}

// The only server of a service falls silent and goes on, and a configuration is published meanwhile.
#[test]
fn requests_caught_at_the_only_engine_are_answered_when_it_goes_on() {
    for change_after in [0, 60, 150].map(Duration::from_millis) {
        let changes = SILENCES.map(|at| Fault {
            harm: Harm::Configuration,
            at: at + change_after,
            lasts: Duration::ZERO,
        });
        let faults = [silences(&engines(1), SILENCE), changes.to_vec()].concat();
        assert_none_lost(|seed| scenario(1, 1, seed, faults.clone()));
    }
}

// Engines of three or four fall silent together, before two instances that may not retry.
#[test]
fn requests_caught_at_engines_that_fall_silent_together_are_answered() {
    for count in [3, 4] {
        let faults = silences(&engines(3), SILENCE);
        assert_none_lost(|seed| Scenario {
            retries: NO_RETRIES,
            ..scenario(2, count, seed, faults.clone())
        });
    }
}

// The same with instances that may retry.
#[test]
fn requests_caught_at_engines_that_fall_silent_together_are_answered_with_retries() {
    for count in [3, 4] {
        let faults = silences(&engines(3), SILENCE);
        let window = Duration::from_millis(200);
        let retries = budget::Policy { ratio: 0.2, window, slack: 80.0 };
        assert_none_lost(|seed| Scenario { retries, ..scenario(2, count, seed, faults.clone()) });
    }
}

// One engine and one plain server fall silent, alone in their services or not, and no retry is allowed.
#[test]
fn requests_caught_at_one_silent_server_are_answered_without_retries() {
    for (count, ms) in [(1, 1_200), (2, 1_200), (3, 1_400)] {
        let faults = silences(&[Target::Engine(0), Target::Plain(0)], Duration::from_millis(ms));
        assert_none_lost(|seed| Scenario {
            plain: count,
            retries: NO_RETRIES,
            ..scenario(1, count, seed, faults.clone())
        });
    }
}

// Requests left a silent engine for one that was killed under them, and ended before the first one went on.
#[test]
fn requests_moved_from_a_silent_engine_in_vain_are_answered() {
    let mut faults = silences(&engines(1), SILENCE);
    faults.extend(SILENCES.map(|at| Fault {
        harm: Harm::Kill(Target::Engine(1)),
        at: at + KILL_DELAY,
        lasts: Duration::from_millis(200),
    }));
    let mut lost = Vec::new();
    for seed in 0..SEEDS {
        let scenario = scenario(1, 2, seed, faults.clone());
        let report = world::run(&scenario);
        assert_eq!(report.violations, [], "{report}");
        let mut attempts = read_attempts(&report);
        attempts.retain(|_, it| {
            let first = it.arrivals.first();
            first.is_some_and(|it| it.1 == "e0") && faults.iter().any(|fault| it.is_caught(fault))
        });
        let moved = attempts.values().filter(|it| it.arrivals.iter().any(|it| it.1 == "e1"));
        assert!(0 < moved.count(), "seed {seed}: none is moved");
        lost.extend(lost_of(&scenario, &attempts));
    }
    assert!(lost.is_empty(), "{} are lost: {lost:#?}", lost.len());
}
