//! The phases of a graceful shutdown, and the answer times by which requests are accepted in it.

use std::{sync::Arc, time::Duration};

use proptest::prelude::*;
use shallotlead_base::time::Time;
use shallotlead_gateway::{answer_time::History, shutdown::Shutdown};

const START: Time = Time::from_millis(100_000);

proptest! {
    // A grace period shorter than the usual phases must not end before requests are refused and ended.
    #[test]
    fn phases_fit_into_any_grace_period(grace_ms in 0u64..60_000) {
        let grace = Duration::from_millis(grace_ms);
        let shutdown = Shutdown::new(START, grace);
        prop_assert!(shutdown.ends_requests_at() <= shutdown.exits_at());
        prop_assert!(shutdown.exits_at() <= START + grace);
        for ms in 0..=grace_ms {
            let now = START + Duration::from_millis(ms);
            if shutdown.is_accepting(now) {
                prop_assert!(now + grace / 2 <= shutdown.ends_requests_at());
            }
            if shutdown.ends_requests_at() <= now {
                prop_assert!(shutdown.may_exit(now) && shutdown.closes_idle(now));
            }
        }
    }
}

#[test]
fn usual_grace_period_has_the_usual_phases() {
    let shutdown = Shutdown::new(START, Duration::from_secs(8));
    let after = |ms| START + Duration::from_millis(ms);
    assert!(shutdown.is_accepting(after(1_999)) && !shutdown.is_accepting(after(2_000)));
    assert!(shutdown.closes_idle(after(1_500)) && !shutdown.closes_idle(after(1_499)));
    assert!(shutdown.may_exit(after(3_000)) && !shutdown.may_exit(after(2_999)));
    assert_eq!((shutdown.ends_requests_at(), shutdown.exits_at()), (after(7_500), after(7_600)));
}

#[test]
fn longest_answer_is_remembered_for_a_period() {
    let (mut history, route) = (History::default(), Arc::from("route"));
    let at = |s| START + Duration::from_secs(s);
    assert_eq!(history.longest(at(0), &route), None);
    for (s, ms) in [(0, 300), (1, 900), (2, 200)] {
        history.record(at(s), &route, Duration::from_millis(ms));
    }
    assert_eq!(history.longest(at(9), &route), Some(Duration::from_millis(900)));
    history.record(at(11), &route, Duration::from_millis(100));
    assert_eq!(history.longest(at(12), &route), Some(Duration::from_millis(900)));
    assert_eq!(history.longest(at(22), &route), Some(Duration::from_millis(100)));
    assert_eq!(history.longest(at(60), &route), None);
    assert_eq!(history.longest(at(60), "other"), None);
}
