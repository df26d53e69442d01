//! The retry budget that instances share without talking to each other.

mod support;

use std::{sync::Arc, time::Duration};

use proptest::prelude::*;
use shallotlead_gateway::budget::{Budget, Policy, Purpose};
use support::at;

const TERMS: Policy = Policy { ratio: 0.2, window: Duration::from_secs(10), slack: 54.0 };

// Servers slow down, and every request fails once at each of seven instances. Together they must not
// retry more often than the ratio and the slack allow, in any window of ten seconds.
#[test]
fn instances_together_keep_to_the_bound() {
    let service: Arc<str> = Arc::from("s");
    let mut budgets: Vec<Budget> = (0..7).map(|_| Budget::new(TERMS)).collect();
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    for ms in (0..40_000).step_by(10) {
        let budget = &mut budgets[ms as usize / 10 % 7];
        budget.count_request(at(ms), &service);
        requests.push(ms);
        for _ in 0..3 {
            if budget.withdraw(at(ms), &service, 7, Purpose::Stream) {
                retries.push(ms);
            }
        }
    }
    for start in (0..30_000).step_by(500) {
        let within = |it: &&u64| (start..start + 10_000).contains(*it);
        let asked = requests.iter().filter(within).count() as f64;
        let again = retries.iter().filter(within).count() as f64;
        assert!(again <= 0.2 * asked + 54.0, "{again} for {asked} from {start}");
        assert!(0.1 * asked < again, "{again} for {asked} from {start}");
    }
}

// Requests use up what they may. A stream of which a caller has a part still finds something left.
#[test]
fn streams_find_something_left() {
    let service: Arc<str> = Arc::from("s");
    let mut budget = Budget::new(TERMS);
    while budget.withdraw(at(0), &service, 7, Purpose::Request) {}
    assert!(budget.withdraw(at(0), &service, 7, Purpose::Stream));
}

proptest! {
    #[test]
    fn budget_of_one_service_is_not_another_s(count in 1usize..200) {
        let (one, other): (Arc<str>, Arc<str>) = (Arc::from("a"), Arc::from("b"));
        let mut budget = Budget::new(TERMS);
        let before = budget.remaining(at(0), &other, 1, Purpose::Request);
        for _ in 0..count {
            budget.count_request(at(0), &one);
            budget.withdraw(at(0), &one, 1, Purpose::Request);
        }
        prop_assert_eq!(budget.remaining(at(0), &other, 1, Purpose::Request), before);
    }
}
