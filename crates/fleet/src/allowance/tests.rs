//! Tests of the allowances: their sum stays within the limit, and they follow demand.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use proptest::prelude::*;
use shallotlead_base::time::Time;
use shallotlead_table::{limit::Limits, organisation::Organisation, snapshot::Snapshot};

use crate::{
    allowance::{
        Allowance, Demand, GRANT_TERM, Input, JOIN_WAIT, LOAN_TERM, Output, RESERVED_FRACTION,
        Scope, Share,
    },
    component::Component,
    harness::Harness,
    message::Message,
    node::Action,
};

type Allowances = Harness<Allowance>;

const REQUESTS: f64 = 700.0;
const CONCURRENCY: u32 = 21;

fn scope() -> Scope {
    Scope::Organisation("umex".into())
}

fn harness(count: usize, seed: u64, max_instances: u32) -> Allowances {
    let pick = |message| match message {
        Message::Allowance(it) => Some(it),
        _ => None,
    };
    let mut harness = Harness::new(count, seed, Allowance::default, pick);
    let limits = Limits {
        requests_per_second: Some(REQUESTS),
        tokens_per_minute: None,
        concurrency: Some(CONCURRENCY),
    };
    let organisation = Organisation {
        name: "umex".into(),
        weight: 1.0,
        limits,
        max_priority: 9,
        models: Vec::new(),
        key_hashes: Vec::new(),
    };
    let mut table = Snapshot::default();
    table.organisations.insert("umex".into(), organisation);
    harness.table = Arc::new(table);
    for node in 0..count {
        configure(&mut harness, node, max_instances);
    }
    harness
}

fn configure(harness: &mut Allowances, node: usize, max_instances: u32) {
    harness.call(node, |it, ctx, out| it.handle(ctx, Input::MaxInstances(max_instances), out));
}

fn demand(harness: &mut Allowances, node: usize, requests_per_second: f64, concurrency: u32) {
    let tokens_per_minute = 0.0;
    let demand = Demand { scope: scope(), requests_per_second, tokens_per_minute, concurrency };
    harness.call(node, |it, ctx, out| it.handle(ctx, Input::Demand(vec![demand]), out));
}

/// The latest allowance of each instance.
#[derive(Default)]
struct Shares(BTreeMap<usize, Share>);

impl Shares {
    /// What each instance may use now: its allowance, or the fallback once that has expired.
    fn usable(&mut self, harness: &mut Allowances, max_instances: u32) -> Vec<(f64, u32)> {
        for it in harness.emitted.drain(..) {
            if let Action::Allowance(Output::Allow(share)) = it.action {
                self.0.insert(it.index, share);
            }
        }
        let part = RESERVED_FRACTION / f64::from(max_instances);
        let fallback = (REQUESTS * part, (f64::from(CONCURRENCY) * part) as u32);
        let usable = |(index, node): (usize, &crate::harness::Instance<Allowance>)| {
            let share = self.0.get(&index).filter(|it| node.local_time(harness.now) < it.until);
            match share {
                _ if !node.is_up || harness.now < node.paused_until => (0.0, 0),
                Some(it) => (it.requests_per_second.unwrap(), it.concurrency.unwrap()),
                None => fallback,
            }
        };
        harness.instances.iter().enumerate().map(usable).collect()
    }

    fn check(&mut self, harness: &mut Allowances, max_instances: u32) -> Vec<(f64, u32)> {
        let usable = self.usable(harness, max_instances);
        let requests = usable.iter().map(|it| it.0).sum::<f64>();
        let concurrency = usable.iter().map(|it| it.1).sum::<u32>();
        assert!(
            requests <= REQUESTS + 1e-3,
            "{requests} of {REQUESTS}: {usable:?} at {:?}",
            harness.now
        );
        assert!(concurrency <= CONCURRENCY, "{concurrency} of {CONCURRENCY}: {usable:?}");
        usable
    }
}

/// Runs for `time` with `demands` sent every 100 ms; checks the sum after each event.
fn run(
    harness: &mut Allowances,
    shares: &mut Shares,
    max_instances: u32,
    time: Duration,
    demands: &[(usize, f64, u32)],
) {
    let end = harness.now + time;
    while harness.now < end {
        for (node, requests, concurrency) in demands {
            if harness.instances[*node].is_up
                && harness.instances[*node].paused_until <= harness.now
            {
                demand(harness, *node, *requests, *concurrency);
            }
        }
        let until = (harness.now + Duration::from_millis(100)).min(end);
        harness.run_until(until, |harness| {
            shares.check(harness, max_instances);
            false
        });
    }
}

fn wait_until_joined(harness: &mut Allowances) {
    harness.run_for(JOIN_WAIT + Duration::from_secs(1));
}

// When all callers of an organisation use one instance, they must not be limited to a seventh of
// their limit: the shares that the other six don't use must be available there within a second.
#[test]
fn unused_shares_flow_to_demand_within_a_second() {
    let mut harness = harness(7, 1, 7);
    let mut shares = Shares::default();
    wait_until_joined(&mut harness);
    run(&mut harness, &mut shares, 7, Duration::from_secs(1), &[(2, 2000.0, 50)]);
    let usable = shares.usable(&mut harness, 7);
    let most = REQUESTS * (1.0 - RESERVED_FRACTION * 6.0 / 7.0);
    assert!(0.99 * most <= usable[2].0, "{usable:?}");
    assert!(f64::from(CONCURRENCY) * 0.8 <= f64::from(usable[2].1), "{usable:?}");
    // It stays available while grants and loans expire and are renewed.
    for _ in 0..60 {
        run(&mut harness, &mut shares, 7, Duration::from_millis(500), &[(2, 2000.0, 50)]);
        let usable = shares.usable(&mut harness, 7);
        assert!(0.99 * most <= usable[2].0, "{usable:?}");
    }
    // The allowance follows when demand moves to another instance.
    run(&mut harness, &mut shares, 7, Duration::from_millis(2500), &[(5, 2000.0, 50)]);
    let usable = shares.usable(&mut harness, 7);
    assert!(0.99 * most <= usable[5].0, "{usable:?}");
}

#[test]
fn competing_instances_share_fairly() {
    let mut harness = harness(7, 2, 7);
    let mut shares = Shares::default();
    wait_until_joined(&mut harness);
    let demands = [(0, 5000.0, 50), (1, 500.0, 50), (2, 20.0, 1)];
    run(&mut harness, &mut shares, 7, Duration::from_secs(6), &demands);
    let usable = shares.usable(&mut harness, 7);
    assert!(20.0 <= usable[2].0 && 1 <= usable[2].1, "{usable:?}");
    assert!((usable[0].0 - usable[1].0).abs() <= REQUESTS / 10.0, "{usable:?}");
}

#[test]
fn limits_without_demand_cost_nothing() {
    let mut harness = harness(7, 3, 7);
    wait_until_joined(&mut harness);
    let before = harness.messages;
    harness.run_for(Duration::from_secs(600));
    assert_eq!(harness.messages, before);
    // Nor do they once their demand has ended.
    let mut shares = Shares::default();
    run(&mut harness, &mut shares, 7, Duration::from_secs(5), &[(2, 2000.0, 50)]);
    harness.run_for(LOAN_TERM * 2);
    let before = harness.messages;
    harness.run_for(Duration::from_secs(600));
    assert_eq!(harness.messages, before);
}

// When the network between all instances fails, each must fall back to an amount that can't exceed
// the limit, and keep serving that although no other instance answers.
#[test]
fn isolated_instance_falls_back_and_recovers() {
    let mut harness = harness(7, 4, 7);
    let mut shares = Shares::default();
    wait_until_joined(&mut harness);
    run(&mut harness, &mut shares, 7, Duration::from_secs(3), &[(2, 2000.0, 50)]);
    harness.cuts = (0..7).flat_map(|a| (0..a).map(move |b| (a, b))).collect();
    run(&mut harness, &mut shares, 7, GRANT_TERM + Duration::from_secs(1), &[(2, 2000.0, 50)]);
    let alone = shares.usable(&mut harness, 7)[2].0;
    assert!(
        REQUESTS * RESERVED_FRACTION / 7.0 <= alone + 1e-3 && alone <= REQUESTS / 7.0,
        "{alone}"
    );
    let demands = (0..7).map(|it| (it, 2000.0, 50)).collect::<Vec<_>>();
    run(&mut harness, &mut shares, 7, LOAN_TERM * 2, &demands);
    let usable = shares.usable(&mut harness, 7);
    assert!(usable.iter().all(|it| REQUESTS / 7.0 <= it.0 + 1e-3), "{usable:?}");
    harness.cuts.clear();
    run(&mut harness, &mut shares, 7, Duration::from_secs(5), &[(2, 2000.0, 50)]);
    assert!(REQUESTS * 0.8 <= shares.usable(&mut harness, 7)[2].0);
}

// In a rolling restart an instance that has lent its share returns without knowing of its loans. If
// it used the share itself, the organisation's limit would be exceeded.
#[test]
fn restarted_lender_waits_until_its_loans_expire() {
    let mut harness = harness(3, 5, 3);
    let mut shares = Shares::default();
    wait_until_joined(&mut harness);
    run(&mut harness, &mut shares, 3, Duration::from_secs(3), &[(0, 2000.0, 50)]);
    harness.kill(1);
    harness.restart(1);
    configure(&mut harness, 1, 3);
    shares.0.remove(&1);
    let demands = [(0, 2000.0, 50), (1, 2000.0, 50)];
    run(&mut harness, &mut shares, 3, JOIN_WAIT * 2, &demands);
    let usable = shares.usable(&mut harness, 3);
    assert!(REQUESTS * 0.3 <= usable[1].0, "{usable:?}");
}

#[test]
fn instances_beyond_the_maximum_own_no_share() {
    let mut harness = harness(5, 6, 3);
    let mut shares = Shares::default();
    wait_until_joined(&mut harness);
    let demands = (0..5).map(|it| (it, 2000.0, 50)).collect::<Vec<_>>();
    let end = harness.now + Duration::from_secs(5);
    while harness.now < end {
        for (node, requests, concurrency) in &demands {
            demand(&mut harness, *node, *requests, *concurrency);
        }
        harness.run_for(Duration::from_millis(100));
        let usable = shares.usable(&mut harness, 5);
        let live = usable.iter().map(|it| it.0).sum::<f64>();
        assert!(live <= REQUESTS + 1e-3, "{usable:?}");
    }
}

#[derive(Clone, Debug)]
enum Step {
    Demand(usize, f64, u32),
    Idle(usize),
    Pass(u64),
    Pause(usize, u64),
    Crash(usize),
    Restart(usize),
    Cut(usize, usize),
    Heal,
    MessageLoss(f64),
    Delay(u64),
    /// Updates all instances' views of which members are alive.
    RefreshView,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0usize..5, 0.0..1500.0, 0u32..30).prop_map(|(n, r, c)| Step::Demand(n, r, c)),
        3 => (0usize..5).prop_map(Step::Idle),
        8 => (1u64..2_500).prop_map(Step::Pass),
        1 => (0usize..5, 1u64..14_000).prop_map(|(n, t)| Step::Pause(n, t)),
        1 => (0usize..5).prop_map(Step::Crash),
        1 => (0usize..5).prop_map(Step::Restart),
        1 => (0usize..5, 0usize..5).prop_map(|(a, b)| Step::Cut(a, b)),
        1 => Just(Step::Heal),
        1 => (0.0..0.5).prop_map(Step::MessageLoss),
        1 => prop_oneof![1u64..20, 1u64..2_000].prop_map(Step::Delay),
        1 => Just(Step::RefreshView),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    /// With any sequence of crashes, pauses, partitions and lost, duplicated or late messages: at no
    /// time may all instances together use more than the limit.
    #[test]
    fn sum_stays_within_the_limit(seed: u64, steps in proptest::collection::vec(step(), 1..60)) {
        let mut harness = harness(5, seed, 5);
        for (index, node) in harness.instances.iter_mut().enumerate() {
            node.clock_rate_ppm = 980_000 + 10_000 * index as u64;
        }
        let mut shares = Shares::default();
        wait_until_joined(&mut harness);
        let mut demands = BTreeMap::new();
        for step in steps {
            match step {
                Step::Demand(node, requests, concurrency) => {
                    demands.insert(node, (node, requests, concurrency));
                }
                Step::Idle(node) => {
                    demands.remove(&node);
                }
                Step::Pass(millis) => {
                    let demands = demands.values().copied().collect::<Vec<_>>();
                    run(&mut harness, &mut shares, 5, Duration::from_millis(millis), &demands);
                }
                Step::Pause(node, millis) => {
                    harness.instances[node].paused_until = harness.now + Duration::from_millis(millis);
                }
                Step::Crash(node) => harness.kill(node),
                Step::Restart(node) => {
                    harness.restart(node);
                    configure(&mut harness, node, 5);
                    shares.0.remove(&node);
                }
                Step::Cut(a, b) => harness.cuts.push((a, b)),
                Step::Heal => harness.cuts.clear(),
                Step::MessageLoss(part) => {
                    harness.faults.message_loss = part;
                    harness.faults.message_duplication = part;
                }
                Step::Delay(millis) => harness.faults.max_delay = Duration::from_millis(millis),
                Step::RefreshView => harness.update_views(),
            }
        }
        prop_assert!(harness.now < Time::MAX);
    }
}
