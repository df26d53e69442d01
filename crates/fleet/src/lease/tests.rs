//! Tests of the lease: which instance may act, and when.

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
    lease::{Lease, MAX_CANDIDATES, TERM},
    message::Message,
    outbox::Outbox,
};

/// A part that only holds a lease.
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
    Harness::new(count, seed, || Holder(Lease::new("test")), |_: Message| None)
}

/// The instances that may act now, with their fencing tokens.
fn holders(harness: &Leases) -> Vec<(usize, Fence)> {
    let grant = |(index, node): (usize, &crate::harness::Instance<Holder>)| {
        let grant = node.component.0.grant(node.local_time(harness.now))?;
        (node.is_up && node.paused_until <= harness.now).then_some((index, grant.fence))
    };
    harness.instances.iter().enumerate().filter_map(grant).collect()
}

fn wait_for_holder(harness: &mut Leases) -> (usize, Fence) {
    let until = harness.now + Duration::from_secs(60);
    assert!(
        harness.run_until(until, |harness| !holders(harness).is_empty()),
        "no instance claimed the lease"
    );
    holders(harness)[0]
}

fn key() -> Key {
    Key::new("lease", "test")
}

#[test]
fn one_instance_claims_a_lease_and_renews_it() {
    let mut harness = harness(7, 1);
    let first = wait_for_holder(&mut harness);
    harness.store.reads = 0;
    harness.store.writes = 0;
    harness.run_for(Duration::from_secs(300));
    assert_eq!(holders(&harness), [first]);
    // A renewal every 3 s by the holder, and a read every 3 s by each other candidate.
    assert!(harness.store.writes <= 105, "{} writes", harness.store.writes);
    assert!(
        harness.store.reads <= 105 * (MAX_CANDIDATES as u64 - 1),
        "{} reads",
        harness.store.reads
    );
}

// A holder is paused for longer than its term, and another instance takes over. If the first trusted
// its state from before the pause, both would give orders, and four servers would load weights at
// once where two are allowed.
#[test]
fn paused_holder_may_not_act_when_it_wakes() {
    let mut harness = harness(3, 2);
    let (index, fence) = wait_for_holder(&mut harness);
    harness.instances[index].paused_until = harness.now + Duration::from_secs(60);
    let until = harness.now + Duration::from_secs(59);
    assert!(
        harness.run_until(until, |harness| !holders(harness).is_empty()),
        "no instance took over"
    );
    let (other, next) = holders(&harness)[0];
    assert_ne!(index, other);
    assert!(fence < next, "{fence} then {next}");
    // Even before its first tick after the pause, it must not report a grant.
    let wake = harness.instances[index].local_time(harness.instances[index].paused_until);
    assert_eq!(harness.instances[index].component.0.grant(wake), None);
    harness.run_for(Duration::from_secs(90));
    assert_eq!(holders(&harness), [(other, next)]);
}

// A claim took effect, but its answer was lost. A claimant that only sent the same write again would
// take the conflict for another instance's claim: no instance would act any more, or two would.
#[test]
fn lost_answer_of_a_claim_is_resolved_by_reading_back() {
    let mut harness = harness(1, 3);
    harness.run_for(TERM);
    harness.faults.reply_loss = 1.;
    let empty = harness.store.memory.objects[&key()].version;
    let until = harness.now + Duration::from_secs(60);
    assert!(
        harness.run_until(until, |harness| harness.store.memory.objects[&key()].version != empty)
    );
    let version = harness.store.memory.objects[&key()].version;
    harness.faults.reply_loss = 0.;
    let (_, fence) = wait_for_holder(&mut harness);
    assert_eq!(fence, Fence(version.0), "a second write was made");
}

// An operator deletes the record of a held lease. A candidate that took the missing record for a
// free lease would become a second holder. The tokens must also keep growing.
#[test]
fn deleted_record_delays_the_next_grant_and_tokens_keep_growing() {
    let mut harness = harness(3, 4);
    let (index, fence) = wait_for_holder(&mut harness);
    // The paused holder doesn't learn of the deletion: its term runs until its end.
    let expected = harness.store.memory.objects[&key()].version;
    harness.instances[index].paused_until = harness.now + Duration::from_secs(60);
    assert_eq!(
        harness.store.apply(Call::Delete { key: key(), expected }),
        Reply::Done(harness.store.memory.version)
    );
    let deleted = harness.now;
    harness.run_until(deleted + Duration::from_secs(60), |harness| !holders(harness).is_empty());
    let (_, next) = holders(&harness)[0];
    assert!(
        deleted + TERM <= harness.now,
        "claimed {:?} after the deletion, less than a term",
        harness.now.since(deleted)
    );
    assert!(fence < next);
}

// If a lease ended only with its term, each step of a rolling restart would leave the duties undone
// for ten seconds. A holder that shuts down releases it.
#[test]
fn released_lease_is_claimed_at_once() {
    let mut harness = harness(3, 5);
    let (index, fence) = wait_for_holder(&mut harness);
    harness.call(index, |it, _, _| it.0.release());
    assert_eq!(holders(&harness), []);
    let released = harness.now;
    let (other, next) = wait_for_holder(&mut harness);
    assert_ne!(index, other);
    assert!(fence < next);
    assert!(harness.now <= released + Duration::from_secs(8));
}

// A holder crashes right after it has stored which loads it is about to order. If its successor
// didn't inherit that payload, it would order the same load again.
#[test]
fn successor_inherits_the_payload() {
    let mut harness = harness(3, 6);
    let (index, _) = wait_for_holder(&mut harness);
    harness.call(index, |it, _, _| it.0.set_payload((*b"load s1").into()));
    let until = harness.now + Duration::from_secs(5);
    assert!(
        harness.run_until(until, |harness| harness.instances[index].component.0.payload()
            == b"load s1")
    );
    harness.kill(index);
    harness.update_views();
    let (other, _) = wait_for_holder(&mut harness);
    assert_eq!(harness.instances[other].component.0.payload(), b"load s1");
}

// During an outage of the platform no instance may continue to act under an old grant.
#[test]
fn no_instance_acts_through_an_outage_longer_than_a_term() {
    let mut harness = harness(3, 7);
    let (_, fence) = wait_for_holder(&mut harness);
    harness.faults.is_store_down = true;
    harness.run_for(TERM);
    assert_eq!(holders(&harness), []);
    harness.run_for(Duration::from_secs(100));
    harness.faults.is_store_down = false;
    let (_, next) = wait_for_holder(&mut harness);
    assert!(fence < next);
}

#[derive(Clone, Debug)]
enum Step {
    Pass(u64),
    Pause(usize, u64),
    Crash(usize),
    Restart(usize),
    Delete,
    StoreOutage(bool),
    MessageLoss(f64),
    LateCalls(f64),
    Release(usize),
    /// Pauses the holder of the lease.
    PauseHolder(u64),
    /// Makes the store unreachable for the holder of the lease.
    CutHolder,
    Heal,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (1u64..15_000).prop_map(Step::Pass),
        2 => (0usize..4, 1u64..30_000).prop_map(|(i, t)| Step::Pause(i, t)),
        1 => (0usize..4).prop_map(Step::Crash),
        1 => (0usize..4).prop_map(Step::Restart),
        1 => Just(Step::Delete),
        1 => any::<bool>().prop_map(Step::StoreOutage),
        1 => (0.0..0.6).prop_map(Step::MessageLoss),
        1 => (0.0..0.5).prop_map(Step::LateCalls),
        1 => (0usize..12).prop_map(Step::Release),
        4 => (2_000u64..12_000).prop_map(Step::PauseHolder),
        3 => Just(Step::CutHolder),
        2 => Just(Step::Heal),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    /// With any sequence of faults, at most one instance may act at a time, and tokens only grow.
    #[test]
    fn at_most_one_holder(seed: u64, steps in proptest::collection::vec(step(), 1..40)) {
        let mut harness = harness(4, seed);
        // The clocks drift by up to 5% within a term, which is less than the margin.
        for (index, node) in harness.instances.iter_mut().enumerate() {
            node.clock_rate_ppm = 970_000 + 20_000 * index as u64;
        }
        wait_for_holder(&mut harness);
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
        for step in steps {
            match step {
                Step::Pass(millis) => {
                    let until = harness.now + Duration::from_millis(millis);
                    harness.run_until(until, &mut check);
                }
                Step::Pause(index, millis) => {
                    harness.instances[index].paused_until = harness.now + Duration::from_millis(millis);
                }
                Step::Crash(index) => {
                    harness.kill(index);
                    harness.update_views();
                }
                Step::Restart(index) => harness.restart(index),
                Step::Delete => {
                    if let Some(it) = harness.store.memory.objects.get(&key()) {
                        let expected = it.version;
                        harness.store.apply(Call::Delete { key: key(), expected });
                    }
                }
                Step::StoreOutage(out) => harness.faults.is_store_down = out,
                Step::MessageLoss(part) => {
                    harness.faults.reply_loss = part;
                    harness.faults.call_loss = part / 2.;
                }
                Step::LateCalls(part) => harness.faults.delayed_call = part,
                Step::Release(index) if index < 4 => harness.call(index, |it, _, _| it.0.release()),
                Step::Release(_) => {}
                Step::PauseHolder(millis) => {
                    if let Some((index, _)) = holders(&harness).first() {
                        harness.instances[*index].paused_until = harness.now + Duration::from_millis(millis);
                    }
                }
                Step::CutHolder => {
                    if let Some((index, _)) = holders(&harness).first() {
                        harness.instances[*index].is_offline = true;
                    }
                }
                Step::Heal => harness.instances.iter_mut().for_each(|it| it.is_offline = false),
            }
        }
    }
}
