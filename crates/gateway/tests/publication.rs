//! Publication times of weights that an instance reads from the store.

mod support;

use shallotlead_gateway::publication::{Evidence, published_at};
use support::at;

/// What an instance knows that has just started.
const STARTED: Evidence = Evidence { is_new: false, recorded: None, known_until: None };

// After a power loss of all instances right after a publication, the weights must not count as published at the
// restart.
#[test]
fn publication_missing_in_the_record_gets_the_earliest_time() {
    let missing = Evidence { known_until: Some(at(1_000)), ..STARTED };
    assert!(published_at(at(9_000), &missing) <= at(1_000));
    assert!(published_at(at(9_000), &STARTED) < at(9_000));
    // Clocks differ: a record from the future must not make a publication younger.
    let ahead = Evidence { known_until: Some(at(20_000)), ..STARTED };
    assert_eq!(published_at(at(9_000), &ahead), published_at(at(9_000), &STARTED));
}

#[test]
fn publication_in_the_record_has_its_time() {
    for is_new in [false, true] {
        let recorded = Some(at(4_000));
        let known = Evidence { is_new, recorded, known_until: Some(at(8_000)) };
        assert_eq!(published_at(at(9_000), &known), at(4_000));
    }
}

// If the very first weights counted as old, prompts would move away from the servers' current weights too early.
#[test]
fn publication_seen_by_a_watching_instance_is_new() {
    let watched = Evidence { is_new: true, known_until: Some(at(1_000)), ..STARTED };
    assert_eq!(published_at(at(9_000), &watched), at(9_000));
}
