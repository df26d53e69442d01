//! The retry budget over all instances, whatever happens to them.

mod support;

use std::collections::BTreeSet;

use rand::Rng;
use support::retries::Retries;

/// Number of seeds, from the environment for long runs.
fn seeds() -> std::ops::Range<u64> {
    let number = |name: &str| std::env::var(name).ok().and_then(|it| it.parse().ok());
    let first = number("RETRY_FIRST").unwrap_or(0);
    first..first + number("RETRY_SEEDS").unwrap_or(150)
}

// Each process counted only its own retries, and spent a whole share of the slack again after each restart.
#[test]
fn instances_that_restart_again_and_again_stay_within_the_retry_budget() {
    for count in [1, 7] {
        let mut retries = Retries::open(count, 1);
        retries.run(11_000);
        for _ in 0..8 {
            (0..count).for_each(|it| retries.restart(it));
            retries.run(1_200);
        }
        retries.check().unwrap_or_else(|err| panic!("{count} instances: {err}"));
    }
}

// An instance that had just started knew no other one and took the slack of the whole fleet.
#[test]
fn instances_that_know_no_others_stay_within_the_retry_budget() {
    let mut retries = Retries::open(7, 2);
    retries.run(11_000);
    retries.fleet.set_store_available(false);
    retries.fleet.partition((1..7).collect());
    (0..7).for_each(|it| retries.restart(it));
    retries.run(25_000);
    retries.check().expect("within the budget");
}

// The sides of a partition forgot each other after half a minute, and each took the whole slack.
#[test]
fn sides_of_a_long_partition_stay_within_the_retry_budget() {
    for side in [1, 3] {
        let mut retries = Retries::open(7, 3);
        retries.rate = 10.0;
        retries.failing = 0.95;
        retries.fleet.partition((7 - side..7).collect());
        retries.run(60_000);
        retries.check().unwrap_or_else(|err| panic!("{side} instances cut off: {err}"));
    }
}

// Restarts, replacements, freezes, partitions, an unreachable store and bursts, in overlapping series.
#[test]
fn retry_budget_holds_under_any_faults() {
    for seed in seeds() {
        let count = [1, 2, 3, 7, 7, 7, 16][seed as usize % 7];
        let mut retries = Retries::open(count, seed);
        let rate = [3.0, 20.0, 100.0, 300.0][retries.rng.random_range(0..4)];
        retries.failing = [0.1, 0.5, 0.9][retries.rng.random_range(0..3)];
        retries.rate = rate;
        retries.max_delay_ms = [5, 1_000][retries.rng.random_range(0..2)];
        for _ in 0..retries.rng.random_range(10..30) {
            let index = retries.rng.random_range(0..retries.fleet.len());
            match retries.rng.random_range(0..10) {
                0 | 1 if !retries.fleet.has_ended(index) => retries.restart(index),
                2 => {
                    let all = 0..retries.fleet.len();
                    all.filter(|it| !retries.fleet.has_ended(*it))
                        .collect::<Vec<_>>()
                        .into_iter()
                        .for_each(|it| retries.restart(it));
                }
                3 if !retries.fleet.has_ended(index) && index != 0 => retries.replace(index),
                4 => retries.fleet.pause(index, 3_000),
                5 => {
                    let share = retries.rng.random_range(0.1..0.9);
                    let side = (1..retries.fleet.len())
                        .filter(|_| retries.rng.random_bool(share))
                        .collect::<BTreeSet<_>>();
                    retries.fleet.partition(side);
                }
                6 => retries.fleet.heal(),
                7 => {
                    let is_available = retries.rng.random_bool(0.6);
                    retries.fleet.set_store_available(is_available);
                }
                8 => retries.rate = rate * 3.0,
                9 => retries.rate = rate,
                _ => {}
            }
            let ms = [200, 1_200, 4_000, 15_000, 40_000][retries.rng.random_range(0..5)];
            retries.run(ms);
        }
        retries.check().unwrap_or_else(|err| panic!("seed {seed}, {count} instances: {err}"));
    }
}

// A budget that nobody can use would hold as well.
#[test]
fn most_of_the_retry_budget_is_used_where_it_is_needed() {
    for rate in [10.0, 100.0, 300.0] {
        let mut retries = Retries::open(7, 4);
        retries.rate = rate;
        retries.failing = 0.95;
        retries.run(40_000);
        let used = retries.used();
        assert!(0.75 < used, "{used:.2} of the budget at {rate} requests a second");
        retries.check().expect("within the budget");
    }
}
