//! Rate limits that servers advertise, enforced across all instances together.

#[path = "support/limited.rs"]
mod limited;

use std::time::Duration;

use limited::{Counted, Simulation};
use rand::Rng;
use shallotlead_base::time::Time;
use shallotlead_gateway::rate_limit::{Limit, Permission, Reply};

const fn at(ms: u64) -> Time {
    Time::from_millis(1_000_000 + ms)
}

/// Share of a limit's owner in a fleet of which no instance is missing.
const OWNER: Option<f64> = Some(1.0);

/// A limit that was advertised at the start, with a bucket from then.
fn limit(per_second: f64) -> Limit {
    let mut limit = Limit::default();
    assert!(limit.observe(at(0), Some(per_second)));
    assert_eq!(limit.acquire(at(0), OWNER), Permission::Denied);
    limit
}

/// Number of permits that the limit's owner takes for itself, with one request each millisecond.
fn acquired(limit: &mut Limit, from_ms: u64, to_ms: u64) -> usize {
    (from_ms..to_ms).filter(|it| limit.acquire(at(*it), OWNER) == Permission::Granted).count()
}

#[test]
fn server_without_a_limit_accepts_any_number() {
    let mut limit = Limit::default();
    for ms in 0..100 {
        assert_eq!(limit.acquire(at(ms), None), Permission::Granted);
    }
    assert!(!limit.observe(at(100), None), "the absence of a limit is not announced");
    assert!(!limit.is_closed(at(100)));
}

#[test]
fn owner_hands_out_the_rate_after_earlier_requests_are_made_up_for() {
    let mut limit = limit(2.0);
    assert_eq!(acquired(&mut limit, 1, 2_400), 0);
    let used = acquired(&mut limit, 2_400, 12_400);
    assert!((18..=21).contains(&used), "{used} in 10 s");
}

#[test]
fn limit_that_is_advertised_again_makes_up_for_requests_sent_meanwhile() {
    let mut limit = limit(2.0);
    assert_eq!(limit.acquire(at(10_000), OWNER), Permission::Granted);
    assert!(limit.observe(at(11_000), None));
    assert!(limit.observe(at(12_000), Some(2.0)));
    assert_eq!(acquired(&mut limit, 12_000, 14_400), 0);
    assert!(0 < acquired(&mut limit, 14_400, 16_500));
}

#[test]
fn unused_tokens_are_kept_for_a_small_burst_only() {
    let mut limit = limit(4.0);
    let burst = acquired(&mut limit, 60_000, 60_200);
    assert_eq!(burst, 2, "one, and those of a quarter of a second");
}

#[test]
fn server_that_accepts_nothing_gets_a_request_every_five_seconds() {
    let mut limit = limit(0.0);
    let used = acquired(&mut limit, 1, 60_000);
    assert!((9..=11).contains(&used), "{used} in 60 s");
}

#[test]
fn limit_ends_with_a_response_without_one_unless_its_request_was_sent_before() {
    let mut limit = limit(2.0);
    assert!(!limit.observe(at(0), None));
    assert_eq!(limit.per_second(), Some(2.0));
    assert!(limit.observe(at(400), None));
    assert_eq!(limit.acquire(at(400), None), Permission::Granted);
    limit.adopt(at(200), Some(2.0));
    assert_eq!(limit.per_second(), None, "the announcement is older");
    assert!(limit.observe(at(500), Some(3.0)));
}

#[test]
fn same_limit_is_announced_every_three_seconds_and_another_one_at_once() {
    let mut limit = limit(2.0);
    assert!(!limit.observe(at(1_000), Some(2.1)));
    assert!(limit.observe(at(1_001), Some(2.5)));
    assert!(!limit.observe(at(3_900), Some(2.5)));
    assert!(limit.observe(at(4_001), Some(2.5)));
    limit.adopt(at(7_000), Some(2.5));
    assert!(!limit.observe(at(9_900), Some(2.5)), "another instance has just announced it");
}

#[test]
fn lower_limit_holds_at_once_and_a_debt_at_a_higher_one_is_forgiven() {
    let mut limit = limit(1_000.0);
    assert!(limit.observe(at(100), Some(1.0)));
    assert!(acquired(&mut limit, 101, 4_101) <= 2);
    assert!(0 < acquired(&mut limit, 4_101, 6_000));
}

#[test]
fn owner_that_does_not_reply_closes_the_server_for_a_moment() {
    let mut limit = limit(2.0);
    assert_eq!(limit.acquire(at(3_000), None), Permission::Ask);
    limit.record_timeout(at(3_025));
    assert_eq!(limit.acquire(at(3_026), None), Permission::Denied);
    assert!(limit.is_closed(at(3_026)));
    assert_eq!(limit.acquire(at(3_525), None), Permission::Ask);
}

#[test]
fn permit_that_came_late_serves_the_next_request_but_not_forever() {
    let mut limit = limit(2.0);
    assert!(limit.apply_reply(at(3_000), at(3_000), Reply::Granted(1)));
    assert!(!limit.is_closed(at(3_499)));
    assert_eq!(limit.acquire(at(3_499), None), Permission::Granted);
    assert!(limit.apply_reply(at(4_000), at(4_000), Reply::Granted(1)));
    assert_eq!(limit.acquire(at(4_500), None), Permission::Ask);
}

#[test]
fn permit_counts_from_when_it_was_asked_for() {
    let mut limit = limit(2.0);
    assert!(limit.apply_reply(at(3_400), at(3_000), Reply::Granted(2)));
    assert_eq!(limit.acquire(at(3_499), None), Permission::Granted);
    assert_eq!(limit.acquire(at(3_500), None), Permission::Ask);
    assert!(!limit.apply_reply(at(3_500), at(3_000), Reply::Granted(2)));
    assert_eq!(limit.acquire(at(3_500), None), Permission::Ask);
}

#[test]
fn instance_that_is_not_the_owner_hands_out_nothing_and_starts_anew_when_it_is() {
    let mut limit = limit(2.0);
    assert_eq!(limit.grant(at(10_000), OWNER), Reply::Granted(1));
    assert!(matches!(limit.grant(at(10_001), None), Reply::Denied(_)));
    assert!(
        matches!(limit.grant(at(20_000), OWNER), Reply::Denied(_)),
        "the requests of others are unknown"
    );
    assert_eq!(limit.grant(at(22_600), OWNER), Reply::Granted(1));
}

#[test]
fn high_rate_needs_few_permit_requests() {
    let mut limit = limit(400.0);
    let asked = |limit: &mut Limit, ms: u64| match limit.grant(at(ms), OWNER) {
        Reply::Granted(permits) => usize::from(permits),
        Reply::Denied(_) => 0,
    };
    let first: usize = (10_000..10_010).map(|it| asked(&mut limit, it)).sum();
    assert!(50 <= first, "{first} permits for ten requests");
}

#[test]
fn rates_of_any_size_are_supported() {
    for rate in [0.0, f64::MIN_POSITIVE, 0.3, 1e9, f64::MAX] {
        let mut limit = limit(rate);
        assert!(0 < acquired(&mut limit, 7_001, 7_100) || rate < 0.2 + 1.0, "{rate}");
    }
}

// 2 requests a second in front of hundreds of instances, each of which would send one in minutes:
// no more than the limit, and most of it, may be sent.
#[test]
fn most_of_a_limit_is_used_by_any_number_of_instances() {
    for instances in [1, 7, 85, 295] {
        let mut sim = Simulation::open(7, instances, &[8.0]);
        sim.loss = 0.01;
        sim.advertise_limit(0, Some(2.0));
        sim.run(Duration::from_secs(5));
        let since = sim.now;
        sim.permit_requests = 0;
        for _ in 0..20 {
            sim.run(Duration::from_secs(1));
            sim.check(Counted::SinceAdvertised)
                .unwrap_or_else(|err| panic!("{instances} instances: {err}"));
        }
        let used = sim.servers[0].arrived_since(since) as f64 / (2.0 * 20.0);
        let permit_requests = sim.permit_requests as f64 / 20.0;
        println!(
            "{instances} instances use {used:.2} of the limit, {permit_requests} permit requests a second"
        );
        // At about 120 bytes per packet, a tenth of the control traffic allowed for an instance.
        assert!(
            permit_requests <= 20.0,
            "{instances} instances send {permit_requests} permit requests a second"
        );
        assert!((0.7..=1.1).contains(&used), "{instances} instances use {used} of the limit");
    }
}

// Replies are held back on their way for some seconds and arrive together. The permits counted from then, and all that
// the owner had handed out meanwhile was used at once, besides what it handed out anew.
#[test]
fn permits_that_arrive_late_together_do_not_exceed_the_limit() {
    for seed in 0..10 {
        let mut sim = Simulation::open(seed, 20, &[200.0]);
        sim.advertise_limit(0, Some(10.0));
        sim.run(Duration::from_secs(5));
        sim.replies_held_until = Some(sim.now + Duration::from_secs(6));
        for _ in 0..50 {
            sim.run(Duration::from_millis(200));
            sim.check(Counted::SinceForwarded).unwrap_or_else(|err| panic!("seed {seed}: {err}"));
        }
    }
}

/// Simulates random faults and limits, and checks each window.
fn simulate(seed: u64) -> Result<(), String> {
    let mut rng = <rand::rngs::SmallRng as rand::SeedableRng>::seed_from_u64(seed ^ 0x5eed);
    let instances = [2, 3, 6, 7, 7, 12, 20][rng.random_range(0..7)];
    let servers = rng.random_range(1..=3);
    let limits: Vec<f64> = (0..servers).map(|_| rng.random_range(0.5..12.0)).collect();
    let demands: Vec<f64> = limits.iter().map(|it| it * rng.random_range(1.0..4.5)).collect();
    let mut sim = Simulation::open(seed, instances, &demands);
    sim.loss = rng.random_range(0.0..0.1);
    sim.run(Duration::from_secs(3));
    for (server, limit) in limits.iter().enumerate() {
        sim.advertise_limit(server, Some(*limit));
    }
    for _ in 0..300 {
        sim.run(Duration::from_millis(100));
        sim.check(Counted::SinceForwarded)
            .map_err(|err| format!("seed {seed}, {instances} instances: {err}"))?;
        if rng.random_bool(0.04) {
            inject_event(&mut sim, &mut rng, &limits);
        }
    }
    Ok(())
}

fn inject_event(sim: &mut Simulation, rng: &mut impl Rng, limits: &[f64]) {
    let instance = rng.random_range(0..sim.instances.len());
    let other = rng.random_range(0..sim.instances.len());
    let server = rng.random_range(0..limits.len());
    let span = Duration::from_millis(rng.random_range(100..6_000));
    match rng.random_range(0..9) {
        0 => sim.restart(instance),
        1 => {
            sim.shut_down(instance);
            sim.run(Duration::from_secs(1));
            sim.restart(instance);
        }
        2 => sim.freeze(instance, span),
        3 => sim.isolate(instance, span),
        4 => sim.partitioned_pairs.push((instance, other)),
        5 => sim.partitioned_pairs.clear(),
        6 => sim.burst(server, (limits[server] * 8.0) as usize),
        7 => sim.advertise_limit(server, Some(limits[server] * rng.random_range(0.2..2.0))),
        _ => {
            sim.advertise_limit(server, None);
            sim.run(Duration::from_millis(700));
            sim.advertise_limit(server, Some(limits[server]));
        }
    }
}

// Instances restart, are suspended, are cut off or learn of limits late: together they send no more
// than the limit allows.
#[test]
fn limit_holds_through_restarts_partitions_freezes_and_loss() {
    let first = seed_from_environment("LIMIT_FIRST", 0);
    let runs = seed_from_environment("LIMIT_SEEDS", 200);
    let broken: Vec<String> = (first..first + runs).filter_map(|it| simulate(it).err()).collect();
    assert!(
        broken.is_empty(),
        "{} of {runs} runs: {}",
        broken.len(),
        broken[..broken.len().min(8)].join("; ")
    );
}

fn seed_from_environment(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).unwrap_or_default();
    if text.is_empty() { default } else { text.parse().expect("a number") }
}
