//! Which instances watch the store in place of silent watchers.

mod support;

use std::time::Duration;

use shallotlead_gateway::freshness::Freshness;
use support::at;

/// Instances of a data centre that do not watch, in the order in which they would.
const STANDBYS: usize = 60;

// All watchers are paused: within three seconds one other instance watches in their place, not sixty.
#[test]
fn one_standby_watches_in_place_of_silent_watchers() {
    let mut all: Vec<Freshness> = (0..STANDBYS).map(|_| Freshness::default()).collect();
    all.iter_mut().for_each(|it| it.record_confirmation(at(0)));
    let mut watching: Vec<usize> = Vec::new();
    for ms in (0..30_000).step_by(50) {
        let overdue: Vec<usize> =
            (0..STANDBYS).filter(|it| all[*it].is_overdue(at(ms), *it)).collect();
        if ms <= 1_900 {
            assert!(overdue.is_empty(), "at {ms} ms");
        }
        // Watchers confirm the configuration when they start and every second after that.
        for it in &overdue {
            if !watching.contains(it) || ms % 1_000 == 0 {
                all[*it].record_confirmation(at(ms));
                for (other, freshness) in all.iter_mut().enumerate().filter(|other| other.0 != *it)
                {
                    freshness
                        .record_peer_confirmation(at(ms), *it < other || !overdue.contains(&other));
                }
            }
        }
        watching = overdue;
        if 3_000 <= ms {
            assert_eq!(watching, [0], "at {ms} ms");
        }
    }
}

// A standby watcher stops when the regular watchers are back.
#[test]
fn standby_stops_when_a_preceding_watcher_confirms() {
    let mut freshness = Freshness::default();
    freshness.record_confirmation(at(0));
    assert!(freshness.is_overdue(at(2_000), 0));
    freshness.record_confirmation(at(2_010));
    freshness.record_peer_confirmation(at(2_500), false);
    assert!(freshness.is_overdue(at(2_600), 0), "an instance of lower precedence changes nothing");
    freshness.record_peer_confirmation(at(2_700), true);
    assert!(!freshness.is_overdue(at(2_800), 0));
}

// A single lost confirmation must not start a standby watcher.
#[test]
fn single_lost_confirmation_starts_no_watch() {
    let mut freshness = Freshness::default();
    freshness.record_confirmation(at(0));
    for ms in [900, 2_800, 3_700] {
        assert!(!freshness.is_overdue(at(ms), 0));
        freshness.record_peer_confirmation(at(ms), true);
    }
}

// A confirmation that arrives late must not make the configuration look current.
#[test]
fn late_confirmation_keeps_its_age() {
    let mut freshness = Freshness::default();
    freshness.record_confirmation(at(0));
    freshness.record_peer_confirmation(at(5_000), true);
    freshness.record_peer_confirmation(at(1_000), true);
    assert_eq!(freshness.age(at(6_000)), Some(Duration::from_secs(1)));
    assert!(!freshness.is_overdue(at(6_000), 0));
    assert_eq!(Freshness::default().age(at(0)), None);
}

// An instance that is no longer a watcher waits for the confirmations of those that are.
#[test]
fn former_watcher_waits_for_a_confirmation() {
    let mut freshness = Freshness::default();
    freshness.record_confirmation(at(0));
    freshness.mark_watching(at(60_000));
    assert!(!freshness.is_overdue(at(61_900), 0));
}
