//! Watches that the platform cuts.

use std::{sync::Arc, time::Duration};

use shallotlead_base::{
    id::Version,
    store::{Call, Key},
    time::Time,
};
use shallotlead_platform::{
    budget::{Rates, Sharers},
    outcome::Outcome,
    scheduler::{Action, Scheduler, Ticket},
};

fn watch(kind: &str) -> Call {
    Call::Watch { kind: Arc::from(kind), after: Version(1), wait: Duration::from_secs(20) }
}

fn sent(
    scheduler: &mut Scheduler,
    now: Time,
) -> Vec<(shallotlead_platform::scheduler::CallId, Call)> {
    let actions = scheduler.tick(now).into_iter();
    let sent = actions.filter_map(|it| match it {
        Action::Send(sent, call) => Some((sent, call)),
        Action::Reply(..) => None,
    });
    sent.collect()
}

// The platform drops its history and cuts all waiting watches at the same moment. It is well, and a
// lease must be renewed right after; if the cuts counted as failures, all calls would be held back.
#[test]
fn watches_that_are_cut_hold_nothing_back() {
    let sharers = Sharers { instances: 1, watchers: 1 };
    let rates = Rates { reads: 2_000.0, writes: 400.0, watches: 100 };
    let mut scheduler = Scheduler::new(rates, sharers, 7, Time::ZERO);
    let now = Time::from_millis(1_000);
    for (number, kind) in ["table", "server", "weights", "instance"].iter().enumerate() {
        scheduler.submit(Ticket(number as u64), watch(kind), now);
    }
    let watches = sent(&mut scheduler, now);
    assert_eq!(watches.len(), 4);
    for (sent, _) in watches {
        scheduler.handle_outcome(sent, Outcome::Lost, now);
    }
    assert!(!scheduler.is_unavailable());
    let renewal =
        Call::Put { key: Key::new("lease", "a"), expected: Version(1), value: Arc::from([1]) };
    scheduler.submit(Ticket(9), renewal.clone(), now);
    assert!(sent(&mut scheduler, now).iter().any(|it| it.1 == renewal));
}

// A few instances share the platform. They may ask more often whether it is back than hundreds may.
#[test]
fn small_fleet_notices_the_return_sooner() {
    let pauses = [7, 420].map(|instances| {
        let sharers = Sharers { instances, watchers: instances };
        let mut scheduler = Scheduler::new(Rates::default(), sharers, 7, Time::ZERO);
        let mut now = Time::from_millis(60_000);
        scheduler.submit(Ticket(1), Call::Get(Key::new("table", "a")), now);
        let mut probes = 0;
        while now < Time::from_millis(90_000) {
            for (sent, _) in sent(&mut scheduler, now) {
                probes += u32::from(scheduler.is_unavailable());
                scheduler.handle_outcome(sent, Outcome::Unavailable { retry_after: None }, now);
            }
            now = now + Duration::from_millis(10);
        }
        probes
    });
    assert!(40 <= pauses[0], "{pauses:?}");
    assert!(pauses[1] <= 25, "{pauses:?}");
}
