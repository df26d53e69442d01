//! The lease for orders: at most one holder, even if replies are lost and holders are paused.

mod support;

use std::{sync::Arc, time::Duration};

use proptest::prelude::*;
use shallotlead_base::{
    store::{Call, Failure, Reply, Store, memory::Memory},
    time::Time,
};
use shallotlead_gateway::lease::{Lease, Publication};
use support::at;

const GAP: Duration = Duration::from_millis(3_000);

fn open(name: &str) -> Lease {
    Lease::new("weights", Arc::from(name), GAP)
}

/// Carries out a call of a lease, which must be a read or a write.
fn answer(store: &mut Memory, call: &Call) -> Reply {
    assert!(matches!(call, Call::Get(_) | Call::Put { .. }), "{call:?}");
    store.call(call.clone())
}

/// Runs one step of `lease` with an immediate reply.
fn step(lease: &mut Lease, store: &mut Memory, now: Time, rank: usize) {
    if let Some(call) = lease.tick(now, rank) {
        let reply = answer(store, &call);
        lease.handle_reply(now, rank, &reply);
    }
}

/// Runs `lease` alone until it may give orders.
fn take(lease: &mut Lease, store: &mut Memory, from: u64) -> u64 {
    for ms in (from..from + 30_000).step_by(20) {
        step(lease, store, at(ms), 0);
        if lease.grant(at(ms)).is_some() {
            return ms;
        }
    }
    panic!("the lease was never granted");
}

// The holder is suspended for longer than its term and resumes. Its clock advanced meanwhile, so its right has ended
// before it can give another order.
#[test]
fn suspended_holder_may_not_give_orders() {
    let (mut store, mut lease) = (Memory::default(), open("a"));
    let ms = take(&mut lease, &mut store, 0);
    assert!(lease.authorise_order(at(ms + 1_000), &Arc::from("e1")).is_some());
    assert!(lease.authorise_order(at(ms + 4_000), &Arc::from("e1")).is_none());
}

// The holder dies. Its successor gives the first order a whole gap after the last possible one of the holder.
#[test]
fn successor_waits_for_the_last_orders() {
    let (mut store, mut first, mut second) = (Memory::default(), open("a"), open("b"));
    let start = take(&mut first, &mut store, 0);
    let mut last = start;
    for ms in (start..start + 2_000).step_by(20) {
        step(&mut first, &mut store, at(ms), 0);
        step(&mut second, &mut store, at(ms), 1);
        if first.authorise_order(at(ms), &Arc::from("e1")).is_some() {
            last = ms;
        }
    }
    let ms = take(&mut second, &mut store, start + 2_000);
    assert!(last + 3_000 <= ms, "last order at {last}, next at {ms}");
    assert!(ms <= last + 6_500, "too late to load weights within eight seconds: {ms}");
}

// A rolling restart passes the lease on every few seconds. The next holder may immediately order servers that the
// previous one has not ordered recently, or weights would never load.
#[test]
fn released_lease_is_taken_at_once() {
    let (mut store, mut first, mut second) = (Memory::default(), open("a"), open("b"));
    let start = take(&mut first, &mut store, 0);
    let (ordered, other): (Arc<str>, Arc<str>) = (Arc::from("e1"), Arc::from("e2"));
    assert!(first.authorise_order(at(start), &ordered).is_some());
    first.release();
    second.expect_release(at(start));
    let mut taken = None;
    for ms in (start..start + 1_000).step_by(20) {
        step(&mut first, &mut store, at(ms), 0);
        step(&mut second, &mut store, at(ms), 1);
        assert!(first.grant(at(ms)).is_none());
        if second.authorise_order(at(ms), &other).is_some() {
            taken = Some(ms);
            break;
        }
    }
    let ms = taken.expect("the other server can be ordered");
    assert!(
        second.authorise_order(at(ms), &ordered).is_none(),
        "orders of two holders lie too close"
    );
    let mut again = ms;
    while second.authorise_order(at(again), &ordered).is_none() {
        step(&mut second, &mut store, at(again), 1);
        again += 20;
        assert!(again < start + 5_000);
    }
    assert!(start + 3_000 <= again);
}

// A holder that can't order the servers for a while releases the lease. It must be able to take the lease again when the
// other holder releases it.
#[test]
fn lease_is_taken_again_after_a_release_and_a_rejoin() {
    let (mut store, mut first, mut second) = (Memory::default(), open("a"), open("b"));
    let start = take(&mut first, &mut store, 0);
    first.release();
    step(&mut first, &mut store, at(start), usize::MAX);
    let taken = take(&mut second, &mut store, start);
    assert!(first.grant(at(taken)).is_none());
    first.rejoin();
    step(&mut first, &mut store, at(taken), 0);
    assert!(first.grant(at(taken)).is_none(), "the lease is held by the other instance");
    second.release();
    step(&mut second, &mut store, at(taken + 1_000), 1);
    take(&mut first, &mut store, taken + 1_000);
}

// The store is unavailable for longer than a term while its record names the holder. The holder resumes as soon as it
// has read or written the record; waiting like any other candidate would delay weights by four seconds.
#[test]
fn holder_reclaims_its_own_record_at_once() {
    let (mut store, mut lease) = (Memory::default(), open("a"));
    let ms = take(&mut lease, &mut store, 0);
    let mut late = None;
    for now in (ms + 600..ms + 5_000).step_by(20) {
        late = late.or_else(|| lease.tick(at(now), 0));
    }
    let call = late.expect("a renewal was sent");
    assert!(lease.tick(at(ms + 4_990), 0).is_none(), "the call is still open");
    assert!(lease.grant(at(ms + 5_000)).is_none());
    let reply = answer(&mut store, &call);
    lease.handle_reply(at(ms + 5_000), 0, &reply);
    step(&mut lease, &mut store, at(ms + 5_020), 0);
    assert!(lease.grant(at(ms + 5_040)).is_some());
}

proptest! {
    // Instances are suspended and calls fail at random. No two instances may order the same server at the same time,
    // and tokens only increase.
    #[test]
    fn one_holder_at_a_time(events in proptest::collection::vec((0usize..3, 0u8..12), 50..400)) {
        let mut store = Memory::default();
        let mut leases: Vec<Lease> = ["a", "b", "c"].map(open).into();
        let mut asleep = [0u64; 3];
        let mut fences = Vec::new();
        for (step, (index, event)) in events.into_iter().enumerate() {
            let ms = step as u64 * 200;
            match event {
                0 => asleep[index] = ms + 4_000,
                1 => leases[index].expect_release(at(ms)),
                _ => {}
            }
            for (rank, lease) in leases.iter_mut().enumerate() {
                if ms < asleep[rank] {
                    continue;
                }
                let Some(call) = lease.tick(at(ms), rank) else { continue };
                let reply = match (event, &call) {
                    // The scheduler has resolved the lost reply or given up.
                    (2, _) => Reply::Failed(Failure::NotApplied { retry_after: Duration::ZERO }),
                    (3, Call::Put { .. }) => {
                        answer(&mut store, &call);
                        Reply::Failed(Failure::Unknown)
                    }
                    _ => answer(&mut store, &call),
                };
                lease.handle_reply(at(ms), rank, &reply);
            }
            let grants: Vec<_> = leases.iter().filter_map(|it| it.grant(at(ms))).collect();
            prop_assert!(grants.len() <= 1, "{:?}", grants);
            fences.extend(grants.iter().map(|it| it.fence));
        }
        prop_assert!(fences.is_sorted());
    }
}

fn publication(version: u64, unix_ms: u64) -> Publication {
    Publication { model: Arc::from("m0"), version, unix_ms }
}

/// What a new instance that is no candidate reads from the record.
fn read(store: &mut Memory, now: Time) -> Vec<Publication> {
    let mut started = open("started");
    let call = started.tick(now, usize::MAX).expect("it reads the record once");
    assert!(!started.has_read_record());
    let reply = answer(store, &call);
    let publications = started.handle_reply(now, usize::MAX, &reply);
    assert!(started.has_read_record());
    for ms in 0..5_000 {
        assert!(started.tick(now + Duration::from_millis(ms), usize::MAX).is_none());
    }
    publications
}

// After a power loss of all instances, only the record shows when weights were published.
#[test]
fn record_has_publication_times_at_once() {
    let (mut store, mut holder) = (Memory::default(), open("a"));
    assert_eq!(read(&mut store, at(0)), []);
    holder.set_publications(vec![publication(1, 1_000)]);
    let start = take(&mut holder, &mut store, 0);
    assert_eq!(read(&mut store, at(start)), [publication(1, 1_000)]);
    step(&mut holder, &mut store, at(start + 10), 0);
    let both = [publication(1, 1_000), publication(2, 9_000)];
    holder.set_publications(both.to_vec());
    step(&mut holder, &mut store, at(start + 20), 0);
    assert_eq!(read(&mut store, at(start + 20)), both);
    // Later times of the same publications add nothing and cost no write, and neither does forgetting one.
    for (first, second) in [(1_000, 9_400), (1_000, 30_000), (600, 9_000)] {
        holder.set_publications(vec![publication(1, first), publication(2, second)]);
        assert!(holder.tick(at(start + 30), 0).is_none());
    }
    holder.set_publications(vec![publication(2, 9_000)]);
    assert!(holder.tick(at(start + 30), 0).is_none());
    holder.set_publications(vec![publication(2, 7_000)]);
    step(&mut holder, &mut store, at(start + 40), 0);
    assert_eq!(read(&mut store, at(start + 40)), [publication(2, 7_000)]);
}

#[test]
fn failed_read_of_the_record_is_retried() {
    let mut started = open("started");
    assert!(started.tick(at(0), usize::MAX).is_some());
    let nothing = started.handle_reply(at(10), usize::MAX, &Reply::Failed(Failure::Unknown));
    assert!(nothing.is_empty() && !started.has_read_record());
    assert!(started.tick(at(400), usize::MAX).is_some());
}
