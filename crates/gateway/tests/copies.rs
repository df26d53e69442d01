//! Which runs get a copy of their KV cache, and where.

mod support;

use std::{sync::Arc, time::Duration};

use shallotlead_base::time::Time;
use shallotlead_gateway::{
    adapter::{Load, Part},
    copies,
    placement::{Choice, Criteria, PrefixIndex, choose},
    pool::{self, Pool, Presence, Switch},
};
use support::{MODEL, at, criteria, entry, pool};

/// Five servers in two data centres: `e0` to `e2` in `a`, the others in `b`.
fn two_centres() -> Pool {
    let mut pool = pool(3);
    for number in 3..5 {
        pool.put(at(0), &Arc::from(format!("e{number}")), 10, entry(number, "b", 1));
    }
    pool
}

fn short_prompt() -> [Part; 1] {
    [Part { id: 5, tokens: 380 }]
}

fn choice_of_first(pool: &Pool, criteria: &Criteria<'_>) -> Choice {
    let choice = choose(pool, &PrefixIndex::default(), at(0), criteria, 7).expect("a server");
    Choice { server: 0, ..choice }
}

fn target(pool: &Pool, criteria: &Criteria<'_>) -> Option<pool::Id> {
    copies::target(pool, at(0), criteria, &choice_of_first(pool, criteria))
}

// Servers crash one after the other under a burst. The copy has to be at another server that could
// continue the run right away: not at the run's own, and not at one that is draining, loading
// weights, failing or has other weights.
#[test]
fn copy_is_placed_where_the_run_could_continue() {
    let mut pool = two_centres();
    let parts = short_prompt();
    let criteria = criteria(&parts);
    pool.get_mut(1).load = Some((Load { running: 9, waiting: 0 }, at(0)));
    assert_eq!(target(&pool, &criteria), Some(2), "the least loaded one in the data centre");
    pool.get_mut(2).presence = Presence::Draining;
    assert_eq!(target(&pool, &criteria), Some(1));
    pool.get_mut(1).limit.observe(at(0), Some(3.0));
    assert_eq!(target(&pool, &criteria), Some(3), "continuing there would need a permit");
    pool.get_mut(1).limit.observe(at(1), None);
    assert_eq!(target(&pool, &criteria), Some(1));
    pool.get_mut(1).switch = Some(Switch { version: 2, until: at(900) });
    assert_eq!(target(&pool, &criteria), Some(3), "none is left in the data centre");
    pool.get_mut(3).health.mark_unresponsive(at(0));
    pool.get_mut(4).set_version(at(0), &Arc::from(MODEL), 2);
    assert_eq!(target(&pool, &criteria), None);
}

// The largest prompts take a tenth of a server's KV cache. Copying each of them would evict what
// other requests share.
#[test]
fn large_runs_get_no_copy() {
    let pool = two_centres();
    assert!(target(&pool, &criteria(&short_prompt())).is_some());
    assert_eq!(target(&pool, &criteria(&support::prompt(1, 1))), None);
}

const RETENTION: Duration = Duration::from_secs(5);

/// A run with events at these times, and the time of the last one.
fn run(events_ms: &[u64]) -> (copies::Run, Time) {
    let at = |ms: u64| Time::ZERO + Duration::from_millis(ms);
    let mut run = copies::Run::new(at(events_ms[0]));
    events_ms[1..].iter().for_each(|it| run.record_event(at(*it)));
    (run, at(events_ms[events_ms.len() - 1]))
}

// Engines send new parts of a run several times a second: a run that lasted for less may have no
// copy.
#[test]
fn run_has_a_copy_once_it_is_known_to_have_lasted() {
    let is_copied = |events_ms: &[u64]| {
        let (run, last_event) = run(events_ms);
        run.has_copy(last_event, RETENTION)
    };
    assert!(!is_copied(&[0]));
    assert!(!is_copied(&[0, 80, 160, 240]));
    assert!(!is_copied(&[0, 80, 160, 240, 320]));
    assert!(is_copied(&[0, 80, 160, 240, 320, 400]));
}

// A link stalls, or an instance is suspended: an event that was sent at once is read a second
// later.
#[test]
fn delayed_event_does_not_prove_that_a_run_lasted() {
    let (run, last_event) = run(&[0, 1_000, 1_001, 1_002]);
    assert!(!run.has_copy(last_event, RETENTION));
}

// A server stops responding for longer than the copy of its run is kept.
#[test]
fn expired_copy_does_not_count() {
    let (run, last_event) = run(&[0, 100, 200, 300, 400]);
    assert!(run.has_copy(last_event + Duration::from_secs(4), RETENTION));
    assert!(!run.has_copy(last_event + RETENTION, RETENTION));
}
