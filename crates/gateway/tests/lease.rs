//! The lease for orders: at most one holder, even if replies are lost and holders are paused.

mod support;

use std::{sync::Arc, time::Duration};

use proptest::prelude::*;
use shallotlead_base::{
    id::Version,
    store::{Call, Failure, Key, Object, Reply, Store, memory::Memory},
    time::Time,
};
use shallotlead_gateway::lease::{KIND, Lease, ORDER_FLIGHT, Publication};
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

/// When the lease's next holder may order `server`, if the first one releases it at `ms` and the store is at hand.
fn next_order(mut first: Lease, store: &mut Memory, ms: u64, server: &Arc<str>) -> u64 {
    let mut second = open("b");
    first.release();
    let times = (ms..ms + 10_000).step_by(20);
    let mut times = times.skip_while(|it| {
        step(&mut first, store, at(*it), usize::MAX);
        step(&mut second, store, at(*it), 0);
        second.authorise_order(at(*it), server).is_none()
    });
    times.next().expect("the server can be ordered")
}

// An order that was lost once arrives at the end of its time limit, after the lease was released: the next holder's
// order came 2.5 s after it, not 3 s.
#[test]
fn gap_after_an_unanswered_order_counts_from_its_latest_arrival() {
    let (mut store, mut first) = (Memory::default(), open("a"));
    let start = take(&mut first, &mut store, 0);
    let server: Arc<str> = Arc::from("e1");
    assert!(first.authorise_order(at(start), &server).is_some());
    let next = next_order(first, &mut store, start + 40, &server);
    let latest = at(start) + ORDER_FLIGHT;
    assert!(latest + GAP <= at(next), "ordered at {start}, by the next holder at {next}");
    assert!(at(next) <= latest + GAP + Duration::from_millis(300), "{start} {next}");
}

// An answer shows that the order has arrived. Waiting for its time limit as well would delay the next weights.
#[test]
fn gap_after_an_answered_order_counts_from_the_answer() {
    let (mut store, mut first) = (Memory::default(), open("a"));
    let start = take(&mut first, &mut store, 0);
    let server: Arc<str> = Arc::from("e1");
    assert!(first.authorise_order(at(start), &server).is_some());
    first.handle_order_answer(at(start + 100), &server, at(start));
    let next = next_order(first, &mut store, start + 120, &server);
    assert!((start + 3_100..=start + 3_140).contains(&next), "answered at {start} + 100, {next}");
}

// The answer to an order comes after another order was sent, which is still on its way.
#[test]
fn answer_settles_its_own_order_only() {
    let (mut store, mut first) = (Memory::default(), open("a"));
    let start = take(&mut first, &mut store, 0);
    let server: Arc<str> = Arc::from("e1");
    assert!(first.authorise_order(at(start), &server).is_some());
    assert!(first.authorise_order(at(start + 300), &server).is_some());
    first.handle_order_answer(at(start + 320), &server, at(start));
    let next = next_order(first, &mut store, start + 340, &server);
    assert!(start + 300 + 600 + 3_000 <= next, "ordered at {start} + 300, {next}");
}

// The second order is answered while the first one, which has no answer, may still arrive.
#[test]
fn answer_leaves_the_bound_of_an_earlier_order() {
    let (mut store, mut first) = (Memory::default(), open("a"));
    let start = take(&mut first, &mut store, 0);
    let server: Arc<str> = Arc::from("e1");
    assert!(first.authorise_order(at(start), &server).is_some());
    assert!(first.authorise_order(at(start + 100), &server).is_some());
    first.handle_order_answer(at(start + 120), &server, at(start + 100));
    let next = next_order(first, &mut store, start + 140, &server);
    assert!(start + 600 + 3_000 <= next, "ordered at {start}, {next}");
}

// A holder that is killed or cut off says nothing about its orders, so each must arrive before the end of its term.
#[test]
fn no_order_may_arrive_after_the_term() {
    let (mut store, mut lease) = (Memory::default(), open("a"));
    let start = take(&mut lease, &mut store, 0);
    let server: Arc<str> = Arc::from("e1");
    let margin = Duration::from_millis(200);
    let term_end = lease.grant(at(start)).expect("it is held").until + margin;
    let mut last = None;
    for ms in start..start + 2_000 {
        if lease.authorise_order(at(ms), &server).is_some() {
            last = Some(at(ms));
        }
    }
    assert_eq!(last.expect("it gives orders") + ORDER_FLIGHT, term_end);
}

/// When an instance that reads the record at zero may order the server "e1", if it finds it released, and when
/// another server.
fn orders_after(record: &str) -> Option<(u64, u64)> {
    let mut lease = open("b");
    let Some(Call::Get(key)) = lease.tick(at(0), 0) else { panic!("the record is read") };
    let object = Object { key, version: Version(5), value: Arc::from(record.as_bytes()) };
    lease.handle_reply(at(0), 0, &Reply::Got(Some(object)));
    let Some(Call::Put { .. }) = lease.tick(at(700), 0) else { return None };
    lease.handle_reply(at(700), 0, &Reply::Done(Version(6)));
    let mut orders = ["e1", "e2"].map(|server| {
        let mut version = 7;
        let mut times = (700..10_000).step_by(10).skip_while(|ms| {
            if let Some(Call::Put { .. }) = lease.tick(at(*ms), 0) {
                lease.handle_reply(at(*ms), 0, &Reply::Done(Version(version)));
                version += 1;
            }
            lease.authorise_order(at(*ms), &Arc::from(server)).is_none()
        });
        times.next().expect("the server can be ordered")
    });
    orders.sort();
    Some((orders[1], orders[0]))
}

// Records of an earlier release, whose ages count from the order and are never negative, and those of this one.
#[test]
fn released_records_of_both_releases_are_read() {
    let record = |age: &str| format!(r#"{{"holder":"a","write":7,"released":[["e1",{age}]]}}"#);
    assert_eq!(orders_after(&record("0")), Some((3_000, 700)));
    assert_eq!(orders_after(&record("1000")), Some((2_000, 700)));
    assert_eq!(orders_after(&record("-760")), Some((3_760, 700)));
    // One that can't be read counts as not released.
    for age in ["18446744073709551615", "1.5", "null"] {
        assert_eq!(orders_after(&record(age)), None, "{age}");
    }
}

// An earlier release reads ages that aren't negative as before, and takes the lease for one that wasn't released if
// there is a negative one.
#[test]
fn released_record_is_read_by_an_earlier_release_only_if_no_order_may_arrive() {
    #[derive(serde::Deserialize)]
    struct Earlier {
        released: Option<Vec<(Arc<str>, u64)>>,
    }
    for (released_after, is_readable) in [(40, false), (600, false), (900, true), (3_700, true)] {
        let (mut store, mut first) = (Memory::default(), open("a"));
        let start = take(&mut first, &mut store, 0);
        assert!(first.authorise_order(at(start), &Arc::from("e1")).is_some());
        for ms in (start..start + released_after).step_by(20) {
            step(&mut first, &mut store, at(ms), 0);
        }
        first.release();
        let call = first.tick(at(start + released_after), 0);
        let Some(Call::Put { value, .. }) = call else { panic!("the lease is released") };
        let earlier = serde_json::from_slice::<Earlier>(&value);
        assert_eq!(earlier.is_ok(), is_readable, "released after {released_after} ms");
        if let Ok(Earlier { released }) = earlier {
            let ages: Vec<u64> = released.into_iter().flatten().map(|it| it.1).collect();
            assert!(ages.iter().all(|it| *it + 800 <= released_after), "{ages:?}");
        }
    }
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

// A record that isn't ours released the lease with waits that never end. They were adopted, and written on at each release:
// weights were never ordered again.
#[test]
fn released_waits_are_no_longer_than_any_holder_leaves() {
    let waits = [
        format!(r#"{{"holder":"x","write":1,"released":[],"wait":{}}}"#, u64::MAX),
        format!(r#"{{"holder":"x","write":1,"released":[["e1",{}]],"wait":0}}"#, i64::MIN),
        format!(
            r#"{{"holder":"x","write":{0},"released":[["e1",{1}]],"wait":{0}}}"#,
            u64::MAX,
            i64::MAX
        ),
    ];
    for value in waits {
        let (mut store, mut lease) = (Memory::default(), open("a"));
        let key = Key::new(KIND, "weights");
        store.call(Call::Put {
            key,
            expected: Version(0),
            value: value.clone().into_bytes().into(),
        });
        let start = take(&mut lease, &mut store, 0);
        let server = Arc::from("e1");
        let mut ordered = (start..start + 10_000).step_by(20).filter(|ms| {
            step(&mut lease, &mut store, at(*ms), 0);
            lease.authorise_order(at(*ms), &server).is_some()
        });
        assert!(ordered.next().is_some(), "{value}");
    }
}

// What can't be read as a lease record counts as a lease that another instance may hold: it is taken after a term.
#[test]
fn unreadable_record_is_taken_over() {
    for value in ["", "null", "[1]", "{\"holder\":\"x\",\"write\":1e30}"] {
        let (mut store, mut lease) = (Memory::default(), open("a"));
        let key = Key::new(KIND, "weights");
        store.call(Call::Put { key, expected: Version(0), value: value.as_bytes().into() });
        take(&mut lease, &mut store, 0);
    }
}
