//! Streams beside engines that fall silent for a second, a new configuration and new weights.
//!
//! `SILENCES_INSTANCES=85 SILENCES_SEEDS=3 SILENCES_FIRST=1 cargo test -p shallotlead-emulator --test silences --
//! --nocapture` plays a larger deployment. Each play's moves are printed.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    env,
    str::FromStr,
    time::Duration,
};

use serde_json::Value;
use shallotlead_emulator::{
    fault::{Fault, Harm, Target},
    report::Report,
    scenario::Scenario,
    world,
};

/// Lines of an instance's log that say why a stream is sent again, and those of which a stream has left its engine.
const CAUSES: [&str; 4] = ["moved", "hedged", "turned_away", "broken"];
const LEFT: [&str; 2] = ["moved", "hedged"];

/// A stream that has begun and is sent to a further engine.
struct Resend {
    cause: String,
    at: Duration,
    server: String,
}

/// What the instances' lines tell of streams that have begun.
#[derive(Default)]
struct Moves {
    resends: Vec<Resend>,
    /// Streams that were broken off, by why they had left an engine last.
    broken_off: BTreeMap<String, u32>,
}

fn number<T: FromStr>(name: &str, default: T) -> T {
    let value = env::var(name).ok();
    value.map_or(default, |it| it.parse().ok().expect("a number"))
}

/// Reads the instances' lines, whose wall clocks differ.
fn read_moves(report: &Report) -> Moves {
    let (mut starts, mut causes, mut left) = (HashMap::new(), HashMap::new(), HashMap::new());
    let mut moves = Moves::default();
    let log = String::from_utf8_lossy(&report.log);
    for line in log.lines().filter_map(|it| serde_json::from_str::<Value>(it).ok()) {
        let text = |name: &str| line[name].as_str().unwrap_or_default().to_owned();
        let (event, request) = (text("event"), text("request"));
        let time = line["time_ms"].as_u64().unwrap_or_default();
        let start = *starts.entry(text("instance")).or_insert(time);
        assert_ne!(event, "log_dropped", "the figures aren't complete");
        if LEFT.contains(&&*event) && line["last_event"] != 0 {
            left.insert(request.clone(), event.clone());
        }
        if CAUSES.contains(&&*event) {
            causes.insert(request, event);
        } else if event == "broken_off" {
            let cause = left.remove(&request).unwrap_or_else(|| "no move".to_owned());
            *moves.broken_off.entry(cause).or_default() += 1;
        } else if event == "sent"
            && let Some(cause) = causes.remove(&request)
            && line["last_event"] != 0
        {
            let at = Duration::from_millis(time - start);
            moves.resends.push(Resend { cause, at, server: text("server") });
        }
    }
    moves
}

fn is_silent(scenario: &Scenario, it: &Resend) -> bool {
    let hits = |fault: &Fault| match fault.harm {
        Harm::Freeze(Target::Engine(engine)) => format!("e{engine}") == it.server,
        _ => false,
    };
    let is_on = |fault: &Fault| fault.at <= it.at && it.at < fault.at + fault.lasts;
    scenario.faults.iter().any(|fault| hits(fault) && is_on(fault))
}

fn print_moves(scenario: &Scenario, report: &Report) {
    let mut groups: BTreeMap<_, Vec<Resend>> = BTreeMap::new();
    let moves = read_moves(report);
    eprintln!("  broken off, by why they had left an engine: {:?}", moves.broken_off);
    for it in moves.resends {
        groups.entry((it.at.as_secs(), it.cause.clone())).or_default().push(it);
    }
    for ((second, cause), group) in groups {
        let servers: BTreeSet<_> = group.iter().map(|it| &it.server).collect();
        let silent = group.iter().filter(|it| is_silent(scenario, it)).count();
        let (resends, servers) = (group.len(), servers.len());
        eprintln!(
            "  second {second}, {cause}: {resends} sent to {servers} engines, {silent} to silent ones"
        );
    }
}

// Streams were moved for new weights from engines that worked to engines that were silent; these declined them on waking,
// and the instances broke the streams off.
#[test]
fn begun_streams_survive_silences_beside_new_weights() {
    let instances = number("SILENCES_INSTANCES", 7);
    let first = number("SILENCES_FIRST", 1);
    let (mut broken_off, mut violations) = (BTreeMap::new(), Vec::new());
    for seed in first..first + number("SILENCES_SEEDS", 4) {
        let scenario = Scenario::silent(instances, seed);
        let report = world::run(&scenario);
        eprint!("{instances} instances, {} engines, {report}", scenario.engines);
        print_moves(&scenario, &report);
        broken_off.insert(seed, report.broken_off_streams);
        violations.extend(report.violations);
    }
    assert!(broken_off.values().all(|it| *it == 0), "streams broken off, by seed: {broken_off:?}");
    assert_eq!(violations, []);
}
