//! Reach of a service's servers: lost after several failures without an answer, regained by a later answer.

use std::time::Duration;

use proptest::prelude::*;
use shallotlead_base::time::Time;
use shallotlead_gateway::reach::{Change, Reach};

fn at(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

#[test]
fn reach_is_lost_only_after_failures_of_several_servers_in_a_row() {
    let mut reach = Reach::default();
    assert_eq!(reach.record_failure(at(1_001), 1, 20), None);
    assert_eq!(reach.record_failure(at(1_002), 1, 20), None);
    assert_eq!(reach.record_failure(at(1_003), 2, 20), None);
    assert_eq!(reach.record_answer(at(1_004), at(1_001)), None);
    assert_eq!(reach.record_failure(at(1_200), 4, 20), None);
    assert_eq!(reach.record_failure(at(1_201), 5, 20), None);
    assert_eq!(reach.record_failure(at(1_202), 6, 20), Some(Change::Lost));
    assert_eq!(reach.lost_since(), Some(at(1_202)));
}

// Many servers crash at once, and their streams are sent to others of them within a millisecond. The reach would be lost
// and regained a hundred times, and all idle connections closed each time.
#[test]
fn reach_is_not_lost_right_after_an_answer() {
    let mut reach = Reach::default();
    assert_eq!(reach.record_answer(at(1_000), at(990)), None);
    for server in 0..10 {
        assert_eq!(reach.record_failure(at(1_001), server, 20), None);
    }
    assert_eq!(reach.record_failure(at(1_149), 10, 20), None);
    assert_eq!(reach.record_failure(at(1_150), 10, 20), Some(Change::Lost));
}

// An answer that was under way when the paths were lost, or that comes on a connection that lives on, must not count as
// their return.
#[test]
fn reach_is_regained_by_an_answer_to_what_was_sent_since_the_loss() {
    let mut reach = lost_at(1_000);
    assert_eq!(reach.record_answer(at(1_010), at(999)), None);
    assert_eq!(reach.lost_since(), Some(at(1_000)));
    assert_eq!(reach.record_answer(at(1_020), at(1_001)), Some(Change::Regained));
    assert_eq!(reach.lost_since(), None);
}

#[test]
fn small_services_need_less_evidence() {
    let mut reach = Reach::default();
    assert_eq!(reach.record_failure(at(1_000), 1, 1), Some(Change::Lost));
}

fn lost_at(ms: u64) -> Reach {
    let mut reach = Reach::default();
    for server in 0..3 {
        reach.record_failure(at(ms), server, 20);
    }
    assert_eq!(reach.lost_since(), Some(at(ms)));
    reach
}

// All instances may have lost the servers. Handing each request over in vain would only add to the load.
#[test]
fn requests_are_handed_over_rarely_while_no_instance_takes_them() {
    let mut reach = lost_at(1_000);
    assert!(reach.needs_handover(at(1_000)));
    reach.record_no_handover(at(1_010));
    assert!(!reach.needs_handover(at(1_300)));
    assert!(reach.needs_handover(at(1_310)));
    assert!(!reach.is_cut_off());
}

// Some instances may have lost the servers as well. They are asked last for a while.
#[test]
fn instance_that_refused_a_request_is_avoided() {
    let mut reach = lost_at(1_000);
    reach.record_refusal(at(1_100), 7);
    assert!(reach.is_avoided(at(2_099), 7) && !reach.is_avoided(at(1_200), 8));
    assert!(!reach.is_avoided(at(2_100), 7));
    reach.record_refusal(at(2_200), 7);
    reach.record_handover(7);
    assert!(!reach.is_avoided(at(2_200), 7));
}

// Only an answer by way of another instance proves that the paths are at fault and not the servers.
#[test]
fn instance_is_cut_off_once_another_one_has_served_its_request() {
    let mut reach = Reach::default();
    reach.record_handover(100);
    assert!(!reach.is_cut_off());
    let mut reach = lost_at(1_000);
    assert!(!reach.is_cut_off());
    reach.record_handover(100);
    assert!(reach.is_cut_off());
    reach.record_no_handover(at(1_010));
    assert!(reach.needs_handover(at(1_010)));
    reach.record_answer(at(2_000), at(1_990));
    assert!(!reach.is_cut_off() && !reach.needs_handover(at(2_000)));
}

// Once no request is sent to the servers, only probes can show that they are reached again.
#[test]
fn servers_out_of_reach_are_probed_at_intervals() {
    let interval = Duration::from_millis(400);
    let mut reach = Reach::default();
    reach.record_answer(at(4_700), at(4_690));
    assert!(!reach.begin_probe(at(5_000), interval));
    let mut reach = lost_at(1_000);
    assert!(reach.begin_probe(at(1_000), interval));
    assert!(!reach.begin_probe(at(1_399), interval));
    assert!(reach.begin_probe(at(1_400), interval));
}

proptest! {
    #[test]
    fn reach_changes_alternate(events in proptest::collection::vec((any::<bool>(), 0usize..6), 0..200)) {
        let mut reach = Reach::default();
        let mut was_lost = false;
        for (number, (is_answer, server)) in events.into_iter().enumerate() {
            let now = at(1_000 + 200 * number as u64);
            let change = match is_answer {
                true => reach.record_answer(now, now),
                false => reach.record_failure(now, server, 6),
            };
            match change {
                Some(Change::Lost) => prop_assert!(!std::mem::replace(&mut was_lost, true)),
                Some(Change::Regained) => prop_assert!(std::mem::replace(&mut was_lost, false)),
                None => {}
            }
            prop_assert_eq!(reach.lost_since().is_some(), was_lost);
        }
    }
}
