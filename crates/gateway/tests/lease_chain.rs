//! A lease that passes through a chain of holders: inherited hold-offs must be kept and passed on.

mod support;

use std::{sync::Arc, time::Duration};

use shallotlead_base::{
    store::{Call, Failure, Reply, Store, memory::Memory},
    time::Time,
};
use shallotlead_gateway::lease::Lease;
use support::at;

const GAP: Duration = Duration::from_millis(3_000);
/// Interval at which an instance runs its lease, in ms.
const TICK: usize = 20;

fn open(name: &str) -> Lease {
    Lease::new("weights", Arc::from(name), GAP)
}

fn step(lease: &mut Lease, store: &mut Memory, now: Time, rank: usize) {
    if let Some(call) = lease.tick(now, rank) {
        let reply = store.call(call);
        lease.handle_reply(now, rank, &reply);
    }
}

/// Runs `lease` from `from` on until it is held or, with `may_order`, may give orders.
fn take(lease: &mut Lease, store: &mut Memory, from: u64, may_order: bool) -> u64 {
    let is_reached = |lease: &Lease, now| match may_order {
        true => lease.grant(now).is_some(),
        false => lease.is_held(now),
    };
    let mut times = (from..from + 30_000).step_by(TICK);
    let taken = times.find(|it| {
        step(lease, store, at(*it), 0);
        is_reached(lease, at(*it))
    });
    taken.expect("the lease is free")
}

// The holder dies. Its successor shuts down while it still waits for the last orders to arrive, and releases the
// lease. The next holder must not give an order within that time.
#[test]
fn holdoff_of_a_dead_holder_is_passed_on() {
    let (mut store, mut first, mut second) = (Memory::default(), open("a"), open("b"));
    let server: Arc<str> = Arc::from("e1");
    let start = take(&mut first, &mut store, 0, true);
    step(&mut second, &mut store, at(start), 0);
    let mut last = start;
    for ms in (start..start + 2_000).step_by(TICK) {
        if first.authorise_order(at(ms), &server).is_some() {
            last = ms;
        }
    }
    let ms = take(&mut second, &mut store, start + 2_000, false);
    assert!(second.grant(at(ms)).is_none(), "still in the hold-off");
    second.release();
    step(&mut second, &mut store, at(ms + 20), 0);
    let mut third = open("c");
    let mut ms = take(&mut third, &mut store, ms + 40, true);
    while third.authorise_order(at(ms), &server).is_none() {
        ms += 20;
        step(&mut third, &mut store, at(ms), 0);
    }
    assert!(last + 3_000 <= ms, "orders of two holders at {last} and {ms}");
}

// The holder releases the lease after an order, and its successor does so before its first one. The third holder's
// order must not come within the gap after the first one's.
#[test]
fn holdoff_is_passed_on_when_a_lease_is_released_twice() {
    let (mut store, mut first, mut second) = (Memory::default(), open("a"), open("b"));
    let server: Arc<str> = Arc::from("e1");
    let start = take(&mut first, &mut store, 0, true);
    assert!(first.authorise_order(at(start), &server).is_some());
    first.release();
    step(&mut first, &mut store, at(start + 20), 0);
    let ms = take(&mut second, &mut store, start + 40, true);
    assert!(second.authorise_order(at(ms), &server).is_none(), "still in the hold-off");
    second.release();
    step(&mut second, &mut store, at(ms + 20), 0);
    let mut third = open("c");
    let mut ms = take(&mut third, &mut store, ms + 40, true);
    while third.authorise_order(at(ms), &server).is_none() {
        ms += 20;
        step(&mut third, &mut store, at(ms), 0);
    }
    assert!(start + 3_000 <= ms, "orders of two holders at {start} and {ms}");
}

/// Runs `lease` from `from` on until it sends a claim, which takes effect although the reply is lost.
fn claim_without_reply(lease: &mut Lease, store: &mut Memory, from: u64) -> u64 {
    for ms in (from..from + 30_000).step_by(TICK) {
        let Some(call) = lease.tick(at(ms), 0) else { continue };
        let is_claim = matches!(call, Call::Put { .. });
        let reply = store.call(call);
        if is_claim {
            lease.handle_reply(at(ms), 0, &Reply::Failed(Failure::Unknown));
            return ms;
        }
        lease.handle_reply(at(ms), 0, &reply);
    }
    panic!("the lease was never claimed");
}

// The holder dies, and the reply to its successor's claim is lost. The successor finds its name in the record and
// must not give an order before its hold-off is over.
#[test]
fn holdoff_of_a_dead_holder_survives_a_claim_without_a_reply() {
    let (mut store, mut first, mut second) = (Memory::default(), open("a"), open("b"));
    let start = take(&mut first, &mut store, 0, true);
    step(&mut second, &mut store, at(start), 0);
    let orders = (start..start + 2_000).step_by(TICK);
    let last =
        orders.filter(|it| first.authorise_order(at(*it), &Arc::from("e1")).is_some()).last();
    let last = last.expect("it gives orders");
    let ms = claim_without_reply(&mut second, &mut store, start + 20);
    let ms = take(&mut second, &mut store, ms + 20, true);
    assert!(last + 3_000 <= ms, "orders of two holders at {last} and {ms}");
}

// The holder releases the lease after an order, and the reply to the next one's claim is lost. The next one's order
// must not come within the gap after the first one's.
#[test]
fn holdoff_after_a_release_survives_a_claim_without_a_reply() {
    let (mut store, mut first, mut second) = (Memory::default(), open("a"), open("b"));
    let server: Arc<str> = Arc::from("e1");
    let start = take(&mut first, &mut store, 0, true);
    assert!(first.authorise_order(at(start), &server).is_some());
    first.release();
    step(&mut first, &mut store, at(start + 20), 0);
    let ms = claim_without_reply(&mut second, &mut store, start + 40);
    let mut ms = take(&mut second, &mut store, ms + 20, true);
    while second.authorise_order(at(ms), &server).is_none() {
        ms += 20;
        step(&mut second, &mut store, at(ms), 0);
    }
    assert!(start + 3_000 <= ms, "orders of two holders at {start} and {ms}");
}
