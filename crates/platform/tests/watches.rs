//! Tests of watches that the platform closes, and of the rate of probes.

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

fn sent_calls(
    scheduler: &mut Scheduler,
    now: Time,
) -> Vec<(shallotlead_platform::scheduler::CallId, Call)> {
    let actions = scheduler.tick(now).into_iter();
    let sent = actions.filter_map(|it| match it {
        Action::Send(id, call) => Some((id, call)),
        Action::Reply(..) => None,
    });
    sent.collect()
}

// The platform discards its history and closes all watches at the same moment, while it stays
// available. If the closed watches counted as failures, all calls would be blocked, and a lease
// that has to be renewed right after would expire.
#[test]
fn closed_watches_do_not_block_calls() {
    let sharers = Sharers { instances: 1, watchers: 1 };
    let rates = Rates { reads: 2_000.0, writes: 400.0, watches: 100 };
    let mut scheduler = Scheduler::new(rates, sharers, 7, Time::ZERO);
    let now = Time::from_millis(1_000);
    for (number, kind) in ["table", "server", "weights", "instance"].iter().enumerate() {
        scheduler.submit(Ticket(number as u64), watch(kind), now);
    }
    let watches = sent_calls(&mut scheduler, now);
    assert_eq!(watches.len(), 4);
    for (id, _) in watches {
        scheduler.handle_outcome(id, Outcome::Lost, now);
    }
    assert!(!scheduler.is_unavailable());
    let renewal =
        Call::Put { key: Key::new("lease", "a"), expected: Version(1), value: Arc::from([1]) };
    scheduler.submit(Ticket(9), renewal.clone(), now);
    assert!(sent_calls(&mut scheduler, now).iter().any(|it| it.1 == renewal));
}

// The rate of probes is shared by all instances, so that each instance of a small fleet probes more
// often than one of hundreds, and detects the end of an outage earlier.
#[test]
fn small_fleet_probes_more_often() {
    let probes_sent = [7, 420].map(|instances| {
        let sharers = Sharers { instances, watchers: instances };
        let mut scheduler = Scheduler::new(Rates::default(), sharers, 7, Time::ZERO);
        let mut now = Time::from_millis(60_000);
        scheduler.submit(Ticket(1), Call::Get(Key::new("table", "a")), now);
        let mut probes = 0;
        while now < Time::from_millis(90_000) {
            for (id, _) in sent_calls(&mut scheduler, now) {
                probes += u32::from(scheduler.is_unavailable());
                scheduler.handle_outcome(id, Outcome::Unavailable { retry_after: None }, now);
            }
            now = now + Duration::from_millis(10);
        }
        probes
    });
    assert!(40 <= probes_sent[0], "{probes_sent:?}");
    assert!(probes_sent[1] <= 25, "{probes_sent:?}");
}
