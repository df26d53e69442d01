//! Checks that never fail would show nothing.

use std::net::SocketAddr;

use shallotlead_base::time::Time;

use super::{End, Kind, Ledger};
use crate::{budget, journal::Journal, scenario::Scenario};

fn promises(ledger: &Ledger) -> Vec<&'static str> {
    ledger.records.borrow().violations.iter().map(|it| it.promise).collect()
}

#[test]
fn second_run_is_reported_if_the_request_may_run_once() {
    let ledger = Ledger::new(Journal::default());
    for kind in Kind::ALL {
        for id in ["first", "second"] {
            ledger.ran(Time::ZERO, "server", id, (kind, 1));
        }
    }
    assert_eq!(promises(&ledger), ["a request that may run once doesn't run twice"; 2]);
}

#[test]
fn run_of_a_refused_request_is_reported_in_any_order() {
    let ledger = Ledger::new(Journal::default());
    ledger.ran(Time::ZERO, "server", "run first", (Kind::Safe, 1));
    for id in ["run first", "refused first"] {
        ledger.ended(Time::ZERO, id, End::Refused(503));
    }
    ledger.ran(Time::ZERO, "server", "refused first", (Kind::Safe, 2));
    assert_eq!(promises(&ledger), ["a request that was refused is not run"; 2]);
}

#[test]
fn retries_beyond_the_budget_are_reported() {
    let policy = Scenario::calm(1, 1).retries;
    let ledger = Ledger::new(Journal::default());
    let retry = |at| ledger.arrived(Time::from_millis(at), "server", "request", Kind::Once);
    (0..=policy.slack as u64).for_each(retry);
    budget::check(&ledger, policy);
    assert_eq!(promises(&ledger), [""; 0]);
    retry(1_000);
    budget::check(&ledger, policy);
    assert_eq!(promises(&ledger), ["the retry budget holds"]);
}

#[test]
fn order_of_an_earlier_holder_is_reported() {
    let ledger = Ledger::new(Journal::default());
    [1, 2, 2, 1].into_iter().for_each(|it| ledger.ordered(Time::ZERO, "server", it));
    assert_eq!(promises(&ledger), ["orders have one effective holder"]);
}

#[test]
fn stream_that_is_broken_off_is_reported_if_its_server_and_its_instance_lived() {
    let instances = [1, 2].map(|it| SocketAddr::from(([10, 0, 0, it], 80)));
    let [sent, killed, at] = [0, 1, 2].map(Time::from_millis);
    let ledger = Ledger::new(Journal::default());
    ledger.records.borrow_mut().disturbances.push((instances[1].ip(), killed, killed));
    ledger.records.borrow_mut().outages.push(("killed".to_owned(), killed, killed));
    for (id, server) in [("first", "killed"), ("second", "alive")] {
        ledger.ran(sent, server, id, (Kind::Resumable, 1));
        instances.into_iter().for_each(|it| ledger.broken_off(at, id, it, sent));
    }
    ledger.check_broken_off_streams();
    assert_eq!(promises(&ledger), ["a stream that has begun is finished while its server lives"]);
}
