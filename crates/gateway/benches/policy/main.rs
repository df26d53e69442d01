//! Simulates the gateway's placement, admission and weight rollouts in virtual time and compares
//! them with simpler strategies (`cargo bench -p shallotlead-gateway --bench policy`). Prints a
//! table and exits with 1 if a bound is broken.

mod cache;
mod deployment;
mod engine;
mod results;
mod simulation;
mod strategy;

use std::{process::ExitCode, time::Duration};

use deployment::Deployment;
use results::Summary;
use strategy::Strategy;

const SIMULATED_TIME: Duration = Duration::from_secs(40);
const SEEDS: std::ops::RangeInclusive<u64> = 1..=3;

/// Bounds that the gateway's results have to keep in one deployment.
struct Bound {
    deployment: &'static Deployment,
    /// Least share of requests whose first token is in time: of all, and of those with long
    /// prompts.
    min_in_time: f64,
    min_long_in_time: f64,
    /// Most shared prompt tokens per request that are computed again.
    max_recomputed: f64,
}

static BOUNDS: [Bound; 2] = [
    Bound {
        deployment: &deployment::UMEZEALA,
        min_in_time: 0.98,
        min_long_in_time: 0.98,
        max_recomputed: 40.0,
    },
    Bound {
        deployment: &deployment::UBUNTU_CONNECT,
        min_in_time: 0.99,
        min_long_in_time: 0.99,
        max_recomputed: 50.0,
    },
];

fn main() -> ExitCode {
    println!(
        "{:<16}{:<13}{:>8}{:>8}{:>9}{:>8}{:>8}{:>8}{:>8}{:>8}",
        "deployment",
        "strategy",
        "in time",
        "long",
        "refused",
        "p50 ms",
        "p99 ms",
        "hits",
        "again",
        "moved"
    );
    let mut all_within = true;
    for bound in &BOUNDS {
        let rows = strategy::ALL.map(|it| (it, measure(bound.deployment, it)));
        for (strategy, it) in &rows {
            println!(
                "{:<16}{:<13}{:>8.3}{:>8.3}{:>9.3}{:>8.0}{:>8.0}{:>8.3}{:>8.0}{:>8.0}",
                bound.deployment.name,
                strategy.name(),
                it.in_time,
                it.long_in_time,
                it.refused,
                it.p50,
                it.p99,
                it.hit_rate,
                it.recomputed,
                it.transferred
            );
        }
        all_within &= is_within(bound, &rows);
    }
    if all_within { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Runs the simulation with all seeds and returns the mean of each result.
fn measure(deployment: &Deployment, strategy: Strategy) -> Summary {
    let all: Vec<Summary> = SEEDS
        .map(|it| simulation::run(deployment, strategy, it, SIMULATED_TIME).summary())
        .collect();
    let mean = |of: fn(&Summary) -> f64| all.iter().map(of).sum::<f64>() / all.len() as f64;
    Summary {
        in_time: mean(|it| it.in_time),
        long_in_time: mean(|it| it.long_in_time),
        refused: mean(|it| it.refused),
        p50: mean(|it| it.p50),
        p99: mean(|it| it.p99),
        recomputed: mean(|it| it.recomputed),
        transferred: mean(|it| it.transferred),
        hit_rate: mean(|it| it.hit_rate),
    }
}

/// Whether the gateway keeps its bounds and has more requests in time than every other strategy.
fn is_within(bound: &Bound, rows: &[(Strategy, Summary)]) -> bool {
    let Some((_, ours)) = rows.iter().find(|it| it.0 == Strategy::Shallotlead) else {
        return false;
    };
    let others = rows.iter().filter(|it| it.0 != Strategy::Shallotlead);
    let mut broken = Vec::new();
    if ours.in_time < bound.min_in_time {
        broken.push(format!("{:.3} in time, below {:.3}", ours.in_time, bound.min_in_time));
    }
    if ours.long_in_time < bound.min_long_in_time {
        let (now, least) = (ours.long_in_time, bound.min_long_in_time);
        broken.push(format!("{now:.3} of long prompts in time, below {least:.3}"));
    }
    if bound.max_recomputed < ours.recomputed {
        broken.push(format!(
            "{:.0} tokens computed again, above {:.0}",
            ours.recomputed, bound.max_recomputed
        ));
    }
    for (strategy, it) in others.filter(|it| ours.in_time <= it.1.in_time) {
        broken.push(format!("{} has {:.3} in time", strategy.name(), it.in_time));
    }
    for it in &broken {
        println!("{}: {it}", bound.deployment.name);
    }
    broken.is_empty()
}
