//! What an instance knows of published weights, in whatever order it learns of them.

mod support;

use std::{sync::Arc, time::Duration};

use proptest::prelude::*;
use shallotlead_base::time::Time;
use shallotlead_gateway::{
    placement::{PrefixIndex, Shortage, choose},
    pool::{self, Currency, Pool, Publication},
};
use support::{MODEL, at, criteria, entry};

const MAX_STALE: Duration = Duration::from_secs(8);

fn pool_with(publications: &[Publication]) -> Pool {
    let mut pool = Pool::default();
    for it in publications {
        pool.add_publication(&Arc::from(MODEL), *it);
    }
    pool
}

fn currency(pool: &Pool, version: u64) -> Currency {
    pool.weight_versions(MODEL).map_or(Currency::Newest, |it| it.currency(version))
}

/// What another instance learns from a pool's message.
fn told(pool: &Pool, now: Time) -> Vec<Publication> {
    let recent = pool.weight_versions(MODEL).map(|it| it.recent(now, MAX_STALE));
    pool::linked(&recent.unwrap_or_default()).collect()
}

// An instance that knows the newest version alone must not use servers two versions behind as if it had replaced
// theirs.
#[test]
fn skipped_version_makes_older_weights_unusable() {
    let mut pool = pool_with(&[Publication::new(3, at(5_400), None)]);
    pool.put(at(0), &Arc::from("e0"), 1, entry(0, "a", 1));
    let parts = [pool_part()];
    let chosen = |pool: &Pool| {
        choose(pool, &PrefixIndex::default(), at(5_500), &criteria(&parts), 7).map(|it| it.server)
    };
    assert_eq!(chosen(&pool), Err(Shortage::StaleWeights));
    // Once it is told that 3 replaced 2, servers with 2 are usable and those with 1 still aren't.
    pool.add_publication(&Arc::from(MODEL), Publication::new(3, at(5_400), Some(2)));
    assert_eq!(chosen(&pool), Err(Shortage::StaleWeights));
    pool.put(at(0), &Arc::from("e1"), 2, entry(1, "a", 2));
    assert_eq!(chosen(&pool), Ok(1));
    pool.add_publication(&Arc::from(MODEL), Publication::new(2, at(1_000), Some(1)));
    assert_eq!(currency(&pool, 1), Currency::Replaced(at(1_000)));
}

fn pool_part() -> shallotlead_gateway::adapter::Part {
    shallotlead_gateway::adapter::Part { id: 5, tokens: 300 }
}

// Publications that no longer decide anything are neither sent nor recorded.
#[test]
fn only_recent_publications_are_passed_on() {
    let all = [
        Publication::new(1, at(0), Some(0)),
        Publication::new(2, at(10_000), Some(1)),
        Publication::new(4, at(16_000), Some(2)),
    ];
    let pool = pool_with(&all);
    let versions = |now| {
        let recent = pool.weight_versions(MODEL).unwrap().recent(now, MAX_STALE);
        recent.iter().map(|it| it.0).collect::<Vec<_>>()
    };
    assert_eq!(versions(at(17_000)), [1, 2, 4]);
    assert_eq!(versions(at(18_500)), [2, 4]);
    assert_eq!(versions(at(30_000)), [4]);
}

proptest! {
    // Whatever is lost, doubled or overtaken on the way, no version counts as replaced later than it was.
    #[test]
    fn no_replacement_counts_as_later_than_it_was(
        steps in proptest::collection::vec((1u64..4, 0u64..6_000), 1..12),
        deliveries in proptest::collection::vec((0usize..3, 0usize..12, 0u64..3), 0..40),
        asked in 0u64..40,
    ) {
        let mut history = Vec::new();
        let (mut version, mut ms, mut before) = (0, 0, 0);
        for (step, pause) in steps {
            (version, ms) = (version + step, ms + pause);
            history.push(Publication::new(version, at(ms), Some(before)));
            before = version;
        }
        let now = at(ms + 1);
        // Instance 0 watches all the while, 1 learns single publications, and 2 what these two know.
        let mut pools = [pool_with(&history), Pool::default(), Pool::default()];
        for (what, index, late_ms) in deliveries {
            let publication = history[index % history.len()];
            let late = Publication { at: publication.at + Duration::from_millis(late_ms), ..publication };
            match what {
                0 => {
                    let alone = Publication { replaces: None, ..late };
                    pools[1].add_publication(&Arc::from(MODEL), alone);
                }
                1 => {
                    pools[1].add_publication(&Arc::from(MODEL), late);
                }
                _ => {
                    for it in told(&pools[index % 2], now) {
                        pools[2].add_publication(&Arc::from(MODEL), it);
                    }
                }
            }
        }
        let truth = |version| history.iter().find(|it| version < it.version).map(|it| it.at);
        for pool in &pools {
            let newest = pool.weight_versions(MODEL).map_or(0, |it| it.newest());
            match (currency(pool, asked), truth(asked)) {
                (Currency::Replaced(known), Some(replaced)) => {
                    prop_assert!(known <= replaced + Duration::from_millis(2));
                }
                (Currency::Newest, _) => prop_assert!(newest <= asked),
                (Currency::Outdated, replaced) => prop_assert!(replaced.is_some()),
                (Currency::Replaced(_), None) => prop_assert!(false, "it is the newest"),
            }
        }
        // Who was told by an instance that knows all judges as it does within the limit.
        let informed = pool_with(&told(&pools[0], now));
        for version in 0..=before {
            let is_usable = |it| match it {
                Currency::Newest => true,
                Currency::Replaced(at) => now.since(at) < MAX_STALE,
                Currency::Outdated => false,
            };
            prop_assert_eq!(
                is_usable(currency(&informed, version)),
                is_usable(currency(&pools[0], version)),
            );
        }
    }
}
