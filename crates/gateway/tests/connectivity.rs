//! Detection of a store that does not answer an instance.

mod support;

use std::time::Duration;

use shallotlead_gateway::connectivity::Connectivity;
use support::at;

const WAIT: Duration = Duration::from_secs(20);

// The store may end waiting watches at any time. Taken for an outage, each would pass the watcher's duty to another
// instance.
#[test]
fn broken_watch_followed_by_an_answer_is_no_outage() {
    let mut connectivity = Connectivity::new(at(0));
    for ms in (0..60_000).step_by(1_000) {
        assert!(!connectivity.record_broken_watch(at(ms), connectivity.watch_timeout(WAIT)));
        assert_eq!(connectivity.watch_timeout(WAIT), Duration::ZERO);
        assert_eq!(connectivity.record_answer(at(ms + 10)), None);
        assert_eq!(connectivity.watch_timeout(WAIT), WAIT);
    }
}

// Several watches break in quick succession, before the first of the following ones is answered.
#[test]
fn watches_broken_in_quick_succession_are_no_outage() {
    let mut connectivity = Connectivity::new(at(0));
    for ms in 0..4 {
        assert!(!connectivity.record_broken_watch(at(ms), WAIT));
    }
    assert_eq!(connectivity.lost_since(), None);
}

// An instance that makes no calls other than watches would not notice for seconds that none is answered.
#[test]
fn second_broken_watch_is_an_outage() {
    let mut connectivity = Connectivity::new(at(0));
    assert!(!connectivity.record_broken_watch(at(1_000), connectivity.watch_timeout(WAIT)));
    assert!(connectivity.record_broken_watch(at(1_060), connectivity.watch_timeout(WAIT)));
    assert!(
        !connectivity.record_broken_watch(at(1_200), connectivity.watch_timeout(WAIT)),
        "already detected"
    );
    assert_eq!(connectivity.lost_since(), Some(at(1_060)));
    assert_eq!(connectivity.age(at(1_500)), Duration::from_millis(1_500));
    assert_eq!(connectivity.record_answer(at(3_060)), Some(Duration::from_secs(2)));
    assert_eq!(connectivity.lost_since(), None);
}

fn answer_until(connectivity: &mut Connectivity, from: u64, until: u64) {
    for ms in (from..=until).step_by(700) {
        connectivity.record_answer(at(ms));
    }
}

// An instance that waits for a watch doesn't notice that the store is down. Only answers that are close together show that
// it wasn't.
#[test]
fn store_is_steady_only_if_it_has_answered_all_along() {
    let mut connectivity = Connectivity::new(at(0));
    answer_until(&mut connectivity, 0, 2_100);
    assert!(!connectivity.is_steady(at(2_100)), "too short a time");
    answer_until(&mut connectivity, 2_800, 4_200);
    assert!(connectivity.is_steady(at(4_210)));
    assert!(!connectivity.is_steady(at(6_100)), "the last answer is too old");
    connectivity.record_answer(at(6_100));
    assert!(!connectivity.is_steady(at(6_100)), "it may have been down before");
    answer_until(&mut connectivity, 6_800, 8_900);
    assert!(connectivity.is_steady(at(8_900)));
    connectivity.record_failure(at(9_000));
    assert!(!connectivity.is_steady(at(9_000)));
    connectivity.record_answer(at(9_050));
    assert!(!connectivity.is_steady(at(9_050)));
}
