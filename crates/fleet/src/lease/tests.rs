//! Tests of the lease: who may act, and when.

use std::time::Duration;

use proptest::prelude::*;
use shallotlead_base::{
    id::Fence,
    name,
    store::{Call, Key, Reply},
    time::Time,
};

use crate::{
    component::Component,
    context::Context,
    duty,
    harness::Harness,
    lease::{CANDIDATES, LENGTH, Lease},
    message::Message,
    outbox::Outbox,
};

/// A part that does nothing but hold a lease.
struct Holder(Lease);

impl Component for Holder {
    type Input = ();
    type Message = duty::Message;

    fn handle(&mut self, _: &Context<'_>, (): (), _: &mut Outbox<'_>) {}

    fn message(
        &mut self,
        _: &Context<'_>,
        _: &name::Instance,
        _: duty::Message,
        _: &mut Outbox<'_>,
    ) {
    }

    fn reply(&mut self, ctx: &Context<'_>, number: u64, reply: Reply, _: &mut Outbox<'_>) {
        self.0.reply(ctx, number, &reply);
    }

    fn tick(&mut self, ctx: &Context<'_>, out: &mut Outbox<'_>) -> Time {
        self.0.tick(ctx, out)
    }
}

type Leases = Harness<Holder>;

fn harness(count: usize, seed: u64) -> Leases {
    Harness::new(count, seed, || Holder(Lease::open("test")), |_: Message| None)
}

/// Instances that may act now, with their fencing tokens.
fn holders(harness: &Leases) -> Vec<(usize, Fence)> {
    let grant = |(index, node): (usize, &crate::harness::Instance<Holder>)| {
        let grant = node.component.0.grant(node.local_time(harness.now))?;
        (node.is_up && node.paused_until <= harness.now).then_some((index, grant.fence))
    };
    harness.instances.iter().enumerate().filter_map(grant).collect()
}

fn settle(harness: &mut Leases) -> (usize, Fence) {
    let until = harness.now + Duration::from_secs(60);
    assert!(
        harness.run_until(until, |harness| !holders(harness).is_empty()),
        "nobody took the lease"
    );
    holders(harness)[0]
}

fn key() -> Key {
    Key::new("lease", "test")
}

#[test]
fn one_instance_takes_a_lease_and_keeps_it() {
    let mut harness = harness(7, 1);
    let first = settle(&mut harness);
    harness.store.reads = 0;
    harness.store.writes = 0;
    harness.run_for(Duration::from_secs(300));
    assert_eq!(holders(&harness), [first]);
    // A renewal every 3 s, and a look every 3 s by each other candidate.
    assert!(harness.store.writes <= 105, "{} writes", harness.store.writes);
    assert!(harness.store.reads <= 105 * (CANDIDATES as u64 - 1), "{} reads", harness.store.reads);
}

// Weights are loaded by four servers at once, though two are allowed. The holder is paused longer
// than its term, another instance takes over, and the first goes on when it wakes. The cause would
// be a holder that trusts what it knew before the pause.
#[test]
fn paused_holder_may_not_act_when_it_wakes() {
    let mut harness = harness(3, 2);
    let (index, fence) = settle(&mut harness);
    harness.instances[index].paused_until = harness.now + Duration::from_secs(60);
    let until = harness.now + Duration::from_secs(59);
    assert!(harness.run_until(until, |harness| !holders(harness).is_empty()), "nobody took over");
    let (other, next) = holders(&harness)[0];
    assert_ne!(index, other);
    assert!(fence < next, "{fence} then {next}");
    // It has not even run a tick yet: the question alone must be answered right.
    let wake = harness.instances[index].local_time(harness.instances[index].paused_until);
    assert_eq!(harness.instances[index].component.0.grant(wake), None);
    harness.run_for(Duration::from_secs(90));
    assert_eq!(holders(&harness), [(other, next)]);
}

// Nobody gives orders for good, or two do. The claim took effect, its answer was lost. The cause
// would be a claimant that sends the same write again and takes the conflict for a stranger's.
#[test]
fn lost_answer_of_a_claim_is_settled_by_reading_back() {
    let mut harness = harness(1, 3);
    harness.run_for(LENGTH);
    harness.faults.reply_loss = 1.;
    let empty = harness.store.memory.objects[&key()].version;
    let until = harness.now + Duration::from_secs(60);
    assert!(
        harness.run_until(until, |harness| harness.store.memory.objects[&key()].version != empty)
    );
    let version = harness.store.memory.objects[&key()].version;
    harness.faults.reply_loss = 0.;
    let (_, fence) = settle(&mut harness);
    assert_eq!(fence, Fence(version.0), "a second write was made");
}

// Two instances believe that they hold the lease. An operator deletes the record under a holder
// before a candidate has seen it, and the candidate, who saw none before either, takes the missing
// record for one long free. The token must also grow on.
#[test]
fn deleted_record_is_waited_out_and_the_token_grows_on() {
    let mut harness = harness(3, 4);
    let (index, fence) = settle(&mut harness);
    // The holder can't tell that the record is gone: it goes on until its term ends.
    let expected = harness.store.memory.objects[&key()].version;
    harness.instances[index].paused_until = harness.now + Duration::from_secs(60);
    assert_eq!(
        harness.store.apply(Call::Delete { key: key(), expected }),
        Reply::Done(harness.store.memory.version)
    );
    let deleted = harness.now;
    harness.run_until(deleted + Duration::from_secs(60), |harness| !holders(harness).is_empty());
    let (_, next) = holders(&harness)[0];
    assert!(deleted + LENGTH <= harness.now, "taken over {:?} early", harness.now.since(deleted));
    assert!(fence < next);
}

// A rolling restart leaves duties undone for ten seconds each time. A holder that leaves could
// have said so. The cause would be a lease that only ends by its term.
#[test]
fn released_lease_is_taken_at_once() {
    let mut harness = harness(3, 5);
    let (index, fence) = settle(&mut harness);
    harness.call(index, |it, _, _| it.0.release());
    assert_eq!(holders(&harness), []);
    let released = harness.now;
    let (other, next) = settle(&mut harness);
    assert_ne!(index, other);
    assert!(fence < next);
    assert!(harness.now <= released + Duration::from_secs(8));
}

// The successor orders a load that the predecessor has ordered already. The predecessor died right
// after it stored what it was about to do. The cause would be a note that isn't handed on.
#[test]
fn successor_inherits_the_note() {
    let mut harness = harness(3, 6);
    let (index, _) = settle(&mut harness);
    harness.call(index, |it, _, _| it.0.keep((*b"load s1").into()));
    let until = harness.now + Duration::from_secs(5);
    assert!(
        harness
            .run_until(until, |harness| harness.instances[index].component.0.note() == b"load s1")
    );
    harness.kill(index);
    harness.update_views();
    let (other, _) = settle(&mut harness);
    assert_eq!(harness.instances[other].component.0.note(), b"load s1");
}

// Orders stop while the platform is out, and nobody may go on under an old grant.
#[test]
fn nobody_acts_through_an_outage_longer_than_a_term() {
    let mut harness = harness(3, 7);
    let (_, fence) = settle(&mut harness);
    harness.faults.is_store_down = true;
    harness.run_for(LENGTH);
    assert_eq!(holders(&harness), []);
    harness.run_for(Duration::from_secs(100));
    harness.faults.is_store_down = false;
    let (_, next) = settle(&mut harness);
    assert!(fence < next);
}

#[derive(Clone, Debug)]
enum Blow {
    Pass(u64),
    Pause(usize, u64),
    Crash(usize),
    Restart(usize),
    Delete,
    Out(bool),
    Lossy(f64),
    Late(f64),
    Release(usize),
    /// Pauses whoever holds the lease.
    PauseHolder(u64),
    /// Cuts whoever holds the lease off from the platform.
    CutHolder,
    Heal,
}

fn blow() -> impl Strategy<Value = Blow> {
    prop_oneof![
        8 => (1u64..15_000).prop_map(Blow::Pass),
        2 => (0usize..4, 1u64..30_000).prop_map(|(i, t)| Blow::Pause(i, t)),
        1 => (0usize..4).prop_map(Blow::Crash),
        1 => (0usize..4).prop_map(Blow::Restart),
        1 => Just(Blow::Delete),
        1 => any::<bool>().prop_map(Blow::Out),
        1 => (0.0..0.6).prop_map(Blow::Lossy),
        1 => (0.0..0.5).prop_map(Blow::Late),
        1 => (0usize..12).prop_map(Blow::Release),
        4 => (2_000u64..12_000).prop_map(Blow::PauseHolder),
        3 => Just(Blow::CutHolder),
        2 => Just(Blow::Heal),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    /// Whatever happens in whatever order, at most one instance may act, and tokens only grow.
    #[test]
    fn at_most_one_holder(seed: u64, blows in proptest::collection::vec(blow(), 1..40)) {
        let mut harness = harness(4, seed);
        // Clocks drift by up to 5% a term, less than the margin.
        for (index, node) in harness.instances.iter_mut().enumerate() {
            node.clock_rate_ppm = 970_000 + 20_000 * index as u64;
        }
        settle(&mut harness);
        let mut newest = Fence(0);
        let mut check = |harness: &mut Leases| {
            let holders = holders(harness);
            assert!(holders.len() <= 1, "two holders at {:?}: {holders:?}", harness.now);
            if let Some((index, fence)) = holders.first() {
                assert!(newest <= *fence, "instance {index} acts with {fence} after {newest}");
                newest = *fence;
            }
            false
        };
        for blow in blows {
            match blow {
                Blow::Pass(millis) => {
                    let until = harness.now + Duration::from_millis(millis);
                    harness.run_until(until, &mut check);
                }
                Blow::Pause(index, millis) => {
                    harness.instances[index].paused_until = harness.now + Duration::from_millis(millis);
                }
                Blow::Crash(index) => {
                    harness.kill(index);
                    harness.update_views();
                }
                Blow::Restart(index) => harness.restart(index),
                Blow::Delete => {
                    if let Some(it) = harness.store.memory.objects.get(&key()) {
                        let expected = it.version;
                        harness.store.apply(Call::Delete { key: key(), expected });
                    }
                }
                Blow::Out(out) => harness.faults.is_store_down = out,
                Blow::Lossy(part) => {
                    harness.faults.reply_loss = part;
                    harness.faults.call_loss = part / 2.;
                }
                Blow::Late(part) => harness.faults.delayed_call = part,
                Blow::Release(index) if index < 4 => harness.call(index, |it, _, _| it.0.release()),
                Blow::Release(_) => {}
                Blow::PauseHolder(millis) => {
                    if let Some((index, _)) = holders(&harness).first() {
                        harness.instances[*index].paused_until = harness.now + Duration::from_millis(millis);
                    }
                }
                Blow::CutHolder => {
                    if let Some((index, _)) = holders(&harness).first() {
                        harness.instances[*index].is_offline = true;
                    }
                }
                Blow::Heal => harness.instances.iter_mut().for_each(|it| it.is_offline = false),
            }
        }
    }
}
