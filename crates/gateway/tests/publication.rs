//! Publication times of weights that an instance reads from the store.

mod support;

use shallotlead_base::time::Time;
use shallotlead_gateway::{
    pool::{Currency, Pool},
    publication::{Evidence, dated},
};
use support::{MODEL, at};

/// Currency of version 1 once an instance that knows nothing else has read version 2 from the store.
fn currency_of_replaced(now: Time, evidence: &Evidence<'_>) -> Currency {
    let mut pool = Pool::default();
    pool.add_publication(&MODEL.into(), dated(now, 2, evidence));
    pool.weight_versions(MODEL).map_or(Currency::Newest, |it| it.currency(1))
}

// After a power loss of all instances right after a publication, the weights must not count as published at the
// restart.
#[test]
fn publication_missing_in_the_record_gets_the_earliest_time() {
    let missing = Evidence { newest_until: Some((1, at(1_000))), ..Evidence::default() };
    assert_eq!(currency_of_replaced(at(9_000), &missing), Currency::Replaced(at(1_000)));
    assert_eq!(currency_of_replaced(at(9_000), &Evidence::default()), Currency::Outdated);
    // Clocks differ: a record from the future must not make a publication younger.
    let ahead = Evidence { newest_until: Some((1, at(20_000))), ..Evidence::default() };
    assert_eq!(currency_of_replaced(at(9_000), &ahead), Currency::Replaced(at(9_000)));
    // What was the newest after the version in question says nothing about that one.
    let later = Evidence { newest_until: Some((2, at(1_000))), ..Evidence::default() };
    assert_eq!(currency_of_replaced(at(9_000), &later), Currency::Outdated);
}

#[test]
fn publication_in_the_record_has_its_time() {
    for replaces in [None, Some(1)] {
        let recorded = [(1, at(2_000)), (2, at(4_000))];
        let newest_until = Some((1, at(8_000)));
        let known = Evidence { replaces, newest_until, recorded: &recorded };
        assert_eq!(dated(at(9_000), 2, &known).at, at(4_000));
        assert_eq!(currency_of_replaced(at(9_000), &known), Currency::Replaced(at(4_000)));
        // The record of an earlier release has the newest version alone.
        let known = Evidence { replaces: None, newest_until: None, recorded: &recorded[1..] };
        assert_eq!(dated(at(9_000), 2, &known).at, at(4_000));
        assert_eq!(currency_of_replaced(at(9_000), &known), Currency::Outdated);
    }
}

// If the very first weights counted as old, prompts would move away from the servers' current weights too early.
#[test]
fn publication_seen_by_a_watching_instance_is_new() {
    for before in [0, 1] {
        let newest_until = Some((1, at(1_000)));
        let watched = Evidence { replaces: Some(before), newest_until, recorded: &[] };
        assert_eq!(dated(at(9_000), 2, &watched).at, at(9_000));
        assert_eq!(currency_of_replaced(at(9_000), &watched), Currency::Replaced(at(9_000)));
    }
}
