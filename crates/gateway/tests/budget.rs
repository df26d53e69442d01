//! The retry budget that instances share without coordination.

mod support;

use std::{sync::Arc, time::Duration};

use proptest::prelude::*;
use shallotlead_gateway::budget::{Budget, Policy, Purpose};
use support::{at, retries::draw};

const POLICY: Policy = Policy { ratio: 0.2, window: Duration::from_secs(10), slack: 54.0 };
/// Share of the slack of one of seven instances.
const SHARE: f64 = 1.0 / 7.0;

// Servers slow down, and requests fail repeatedly at each of seven instances. Together the
// instances must not retry more often than the ratio and the slack allow, in any window of ten
// seconds.
#[test]
fn instances_together_stay_within_the_budget() {
    let service: Arc<str> = Arc::from("s");
    let mut budgets: Vec<Budget> = (0..7).map(|_| Budget::new(POLICY)).collect();
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    for ms in (0..40_000).step_by(10) {
        let budget = &mut budgets[ms as usize / 10 % 7];
        budget.count_request(at(ms), &service);
        requests.push(ms);
        for _ in 0..3 {
            if draw(budget, at(ms), &service, SHARE, Purpose::Stream) {
                retries.push(ms);
            }
        }
    }
    for start in (0..30_000).step_by(500) {
        let is_in_window = |it: &&u64| (start..start + 10_000).contains(*it);
        let request_count = requests.iter().filter(is_in_window).count() as f64;
        let retry_count = retries.iter().filter(is_in_window).count() as f64;
        assert!(
            retry_count <= 0.2 * request_count + 54.0,
            "{retry_count} for {request_count} from {start}"
        );
        assert!(
            0.1 * request_count < retry_count,
            "{retry_count} for {request_count} from {start}"
        );
    }
}

// Requests use up all that they may. A stream that has begun still has retries left.
#[test]
fn budget_is_reserved_for_streams() {
    let service: Arc<str> = Arc::from("s");
    let mut budget = Budget::new(POLICY);
    while draw(&mut budget, at(0), &service, SHARE, Purpose::Request) {}
    assert!(draw(&mut budget, at(0), &service, SHARE, Purpose::Stream));
}

// Streams that migrate from working servers used up what streams that had lost theirs needed a second later.
#[test]
fn migrations_leave_half_of_the_budget_to_requests_in_need() {
    let service: Arc<str> = Arc::from("s");
    let mut budget = Budget::new(POLICY);
    for ms in 0..1_000 {
        budget.count_request(at(ms), &service);
    }
    let allowed = budget.remaining(at(1_000), &service, SHARE, Purpose::Stream);
    while draw(&mut budget, at(1_000), &service, SHARE, Purpose::Migration) {}
    let left = budget.remaining(at(1_000), &service, SHARE, Purpose::Stream);
    assert!(allowed / 2.0 <= left, "{left} of {allowed}");
}

proptest! {
    #[test]
    fn services_have_separate_budgets(count in 1usize..200) {
        let (one, other): (Arc<str>, Arc<str>) = (Arc::from("a"), Arc::from("b"));
        let mut budget = Budget::new(POLICY);
        let before = budget.remaining(at(0), &other, 1.0, Purpose::Request);
        for _ in 0..count {
            budget.count_request(at(0), &one);
            draw(&mut budget, at(0), &one, 1.0, Purpose::Request);
        }
        prop_assert_eq!(budget.remaining(at(0), &other, 1.0, Purpose::Request), before);
    }
}
