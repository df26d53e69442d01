//! Plays scenarios and prints their figures: `shallotlead-emulator calm|stormy INSTANCES SECONDS FIRST_SEED [SEEDS]`.
//!
//! Figures go to standard error; the log goes to standard output, of a single seed, or of a seed that breaks a promise,
//! with no more faults than that takes.

use std::{
    io::{self, Write},
    process::ExitCode,
    time::{Duration, Instant},
};

use shallotlead_emulator::{
    hunt::{self, Finding},
    report::Report,
    scenario::Scenario,
    world,
};

/// What is played.
struct Options {
    is_stormy: bool,
    instances: u16,
    duration: Duration,
    seeds: std::ops::Range<u64>,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let Some(options) = parse(&args) else {
        eprintln!("expected: calm|stormy INSTANCES SECONDS FIRST_SEED [SEEDS]");
        return ExitCode::FAILURE;
    };
    let is_single = options.seeds.clone().count() == 1;
    let mut broken = Vec::new();
    for seed in options.seeds.clone() {
        let scenario = scenario(&options, seed);
        let report = play(&scenario);
        if !report.violations.is_empty() {
            broken.push(seed);
            print_finding(&hunt::shrink(&scenario, report, world::run));
        } else if is_single {
            print_log(&report);
        }
    }
    eprintln!("{} seeds break a promise: {broken:?}", broken.len());
    if broken.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn parse(args: &[String]) -> Option<Options> {
    let is_stormy = match args.first()?.as_str() {
        "calm" => false,
        "stormy" => true,
        _ => return None,
    };
    let seconds = args.get(2)?.parse().ok().filter(|it| 4 <= *it)?;
    let first = args.get(3)?.parse().ok()?;
    let count: u64 = args.get(4).map_or(Some(1), |it| it.parse().ok())?;
    Some(Options {
        is_stormy,
        instances: args.get(1)?.parse().ok().filter(|it| 0 < *it)?,
        duration: Duration::from_secs(seconds),
        seeds: first..first + count,
    })
}

fn scenario(options: &Options, seed: u64) -> Scenario {
    match options.is_stormy {
        true => Scenario::stormy(options.instances, seed, options.duration),
        false => Scenario { duration: options.duration, ..Scenario::calm(options.instances, seed) },
    }
}

fn play(scenario: &Scenario) -> Report {
    let start = Instant::now();
    let report = world::run(scenario);
    let taken = start.elapsed();
    let speed = report.length.as_secs_f64() / taken.as_secs_f64();
    eprint!("{report}");
    eprintln!("{:.2} s, {speed:.0} times real time", taken.as_secs_f64());
    report
}

fn print_finding(finding: &Finding) {
    eprintln!("faults that still break it, of seed {}:", finding.scenario.seed);
    for fault in &finding.scenario.faults {
        eprintln!("  {fault}");
    }
    eprint!("{}", finding.report);
    print_log(&finding.report);
}

fn print_log(report: &Report) {
    // A reader that stops early is no failure.
    let _ = io::stdout().write_all(&report.log);
}
