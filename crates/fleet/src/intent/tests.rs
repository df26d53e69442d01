//! Tests of the intents: a request with a key runs at most once.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use proptest::prelude::*;
use shallotlead_base::{
    code::{Code, Execution},
    id::Request,
    store::{Call, Key as ObjectKey, Reply},
};

use crate::{
    component::Component,
    harness::Harness,
    intent::{
        Input, Intent, Outcome, Output, RETENTION,
        entry::{Key, State, StoredResponse},
        head,
    },
    message::Message,
    node::Action,
};

type Intents = Harness<Intent>;

fn harness(count: usize, seed: u64) -> Intents {
    let pick = |message| match message {
        Message::Intent(it) => Some(it),
        _ => None,
    };
    Harness::new(count, seed, Intent::default, pick)
}

fn begin_as(
    harness: &mut Intents,
    node: usize,
    request: u128,
    key: &str,
    organisation: &str,
    body: u128,
) {
    let input = Input::Begin {
        request: Request(request),
        organisation: organisation.into(),
        key: Arc::from(key),
        body_hash: body,
    };
    harness.call(node, |it, ctx, out| it.handle(ctx, input, out));
}

fn begin(harness: &mut Intents, node: usize, request: u128, key: &str) {
    begin_as(harness, node, request, key, "umex", 1);
}

fn finish(harness: &mut Intents, node: usize, request: u128, state: State) {
    let input = Input::Finish { request: Request(request), state };
    harness.call(node, |it, ctx, out| it.handle(ctx, input, out));
}

fn done(text: &str) -> State {
    State::Done(response(text))
}

fn response(text: &str) -> StoredResponse {
    let body = Some(text.as_bytes().into());
    StoredResponse { status: 200, content_type: Arc::from("application/json"), body }
}

fn drain_outputs(harness: &mut Intents) -> Vec<(usize, Output)> {
    let output = |action| match action {
        Action::Intent(it) => Some(it),
        _ => None,
    };
    harness.emitted.drain(..).filter_map(|it| Some((it.index, output(it.action)?))).collect()
}

/// Waits for the outcome of `request`.
fn wait_for_outcome(harness: &mut Intents, request: u128) -> Outcome {
    let until = harness.now + Duration::from_secs(20);
    let is_it = |it: &Action| match it {
        Action::Intent(Output::Began { request: it, .. }) => *it == Request(request),
        _ => false,
    };
    assert!(
        harness.run_until(until, |harness| harness.emitted.iter().any(|it| is_it(&it.action))),
        "no outcome"
    );
    let index = harness.emitted.iter().position(|it| is_it(&it.action)).unwrap();
    match harness.emitted.remove(index).unwrap().action {
        Action::Intent(Output::Began { outcome, .. }) => outcome,
        _ => unreachable!(),
    }
}

fn begin_and_wait(harness: &mut Intents, node: usize, request: u128, key: &str) -> Outcome {
    begin(harness, node, request, key);
    wait_for_outcome(harness, request)
}

/// The instance that owns the shard of `key`, and two others.
fn owner_and_others(harness: &Intents, key: &str) -> [usize; 3] {
    let key = Key { organisation: "umex".into(), key: Arc::from(key) };
    let owner = harness.instances[0].view.global_owner(key.hash()).unwrap().clone();
    let owner = harness.instances.iter().position(|it| it.member.name == owner).unwrap();
    let mut others = (0..harness.instances.len()).filter(|it| *it != owner);
    [owner, others.next().unwrap(), others.next().unwrap()]
}

// Guards against two runs when a client gets no response and repeats its request through another
// instance: two crews would be dispatched to one fault. The repeat must find the first request,
// both while it runs and after it has ended.
#[test]
fn repeat_through_another_instance_finds_the_first_run() {
    let mut harness = harness(7, 1);
    assert_eq!(begin_and_wait(&mut harness, 0, 1, "k"), Outcome::Recorded);
    assert_eq!(begin_and_wait(&mut harness, 3, 2, "k"), Outcome::Running);
    finish(&mut harness, 0, 1, done("crew sent"));
    harness.run_for(Duration::from_secs(3));
    assert!(drain_outputs(&mut harness).contains(&(0, Output::Finished { request: Request(1) })));
    for node in 0..7 {
        assert_eq!(
            begin_and_wait(&mut harness, node, 10 + node as u128, "k"),
            Outcome::Ran(response("crew sent"))
        );
    }
}

#[test]
fn key_with_another_body_is_refused_and_other_organisations_share_nothing() {
    let mut harness = harness(3, 2);
    assert_eq!(begin_and_wait(&mut harness, 0, 1, "k"), Outcome::Recorded);
    begin_as(&mut harness, 1, 2, "k", "umex", 99);
    assert_eq!(wait_for_outcome(&mut harness, 2), Outcome::Reused);
    begin_as(&mut harness, 1, 3, "k", "ubuntu", 99);
    assert_eq!(wait_for_outcome(&mut harness, 3), Outcome::Recorded);
}

// Guards against a second run after the instance that sent the first crashed: a repeat through
// another instance must not conclude from the missing result that the request never ran.
#[test]
fn repeat_after_the_executors_crash_is_unknown() {
    let mut harness = harness(7, 3);
    let [_, first, second] = owner_and_others(&harness, "k");
    assert_eq!(begin_and_wait(&mut harness, first, 1, "k"), Outcome::Recorded);
    harness.kill(first);
    harness.update_views();
    let outcome = begin_and_wait(&mut harness, second, 2, "k");
    assert_eq!(outcome, Outcome::Unknown);
    assert_eq!(outcome.code(), Some(Code::OutcomeUnknown));
    // The same holds once the instance is back in another incarnation.
    harness.restart(first);
    assert_eq!(begin_and_wait(&mut harness, first, 3, "k"), Outcome::Unknown);
}

// Guards against the result "may have run" if no server could be reached at all: the executor knows
// that the request was never sent, and must free its key.
#[test]
fn request_that_was_never_sent_frees_its_key() {
    let mut harness = harness(7, 4);
    assert_eq!(begin_and_wait(&mut harness, 0, 1, "k"), Outcome::Recorded);
    finish(&mut harness, 0, 1, State::Void);
    harness.run_for(Duration::from_secs(3));
    assert_eq!(begin_and_wait(&mut harness, 1, 2, "k"), Outcome::Recorded);
    assert_eq!(begin_and_wait(&mut harness, 0, 3, "k"), Outcome::Running);
}

// Guards against requests that are sent without a record, or wait for a timeout, while the platform
// is unavailable: they are refused as "not run" at once, and run once the platform is back.
#[test]
fn outage_refuses_at_once_as_not_run() {
    let mut harness = harness(7, 5);
    assert_eq!(begin_and_wait(&mut harness, 1, 1, "warm"), Outcome::Recorded);
    harness.faults.is_store_down = true;
    for request in 2..20 {
        let sent_at = harness.now;
        let outcome = begin_and_wait(&mut harness, request as usize % 7, request, "k");
        assert!(matches!(outcome, Outcome::Unrecorded { .. }), "{outcome:?}");
        assert_eq!(outcome.code().unwrap().execution(), Execution::NotRun);
        assert!(
            harness.now.since(sent_at) <= Duration::from_millis(50),
            "{:?}",
            harness.now.since(sent_at)
        );
    }
    harness.faults.is_store_down = false;
    harness.run_for(Duration::from_secs(5));
    assert_eq!(begin_and_wait(&mut harness, 6, 20, "k"), Outcome::Recorded);
}

// Guards against a key that counts as running for an hour though its request was refused as "not
// run": the write of the intent took effect, but the reply was lost. Reading the record back
// resolves it.
#[test]
fn lost_reply_to_the_intents_write_is_resolved_before_sending() {
    let mut harness = harness(3, 6);
    assert_eq!(begin_and_wait(&mut harness, 0, 1, "k1"), Outcome::Recorded);
    harness.run_for(Duration::from_secs(1));
    harness.faults.reply_loss = 0.5;
    for request in 2..200 {
        let key = format!("k{request}");
        let node = request as usize % 3;
        match begin_and_wait(&mut harness, node, request, &key) {
            Outcome::Recorded => finish(&mut harness, node, request, done("ran")),
            Outcome::Unrecorded { .. } => {}
            other => panic!("{other:?}"),
        }
    }
    harness.faults.reply_loss = 0.;
    harness.run_for(Duration::from_secs(30));
    // Refused requests may run now; the results of the others are found.
    for request in 2..200 {
        let outcome = begin_and_wait(&mut harness, 0, 1000 + request, &format!("k{request}"));
        assert!(matches!(outcome, Outcome::Recorded | Outcome::Ran(_)), "{outcome:?}");
    }
}

// Guards against refusals while the owner of the key's shard hangs: any instance can write the
// record by itself, and the conditional update keeps that safe.
#[test]
fn hung_owner_is_bypassed() {
    let mut harness = harness(7, 7);
    let [owner, first, second] = owner_and_others(&harness, "k");
    harness.instances[owner].paused_until = harness.now + Duration::from_secs(1000);
    assert_eq!(begin_and_wait(&mut harness, first, 1, "k"), Outcome::Recorded);
    assert_eq!(begin_and_wait(&mut harness, second, 2, "k"), Outcome::Running);
    finish(&mut harness, first, 1, done("ran"));
    harness.run_for(Duration::from_secs(8));
    assert_eq!(begin_and_wait(&mut harness, second, 3, "k"), Outcome::Ran(response("ran")));
    // The owner continues with its outdated records.
    harness.instances[owner].paused_until = harness.now;
    assert_eq!(begin_and_wait(&mut harness, owner, 4, "k"), Outcome::Ran(response("ran")));
}

// Guards against keys that expire while callers still repeat, or that never expire. Many keys are
// recorded, so that heads are sealed and sealed segments expire; an instance without state must
// find all recent keys.
#[test]
fn keys_are_kept_for_an_hour_and_then_expire() {
    let mut harness = harness(1, 8);
    let mut recent = keys_of_one_shard(900);
    let newer = recent.split_off(600);
    let new = recent.split_off(300);
    run_all(&mut harness, 1, &["old".to_owned()]);
    harness.run_for(RETENTION / 2);
    run_all(&mut harness, 1_000, &recent);
    harness.run_for(RETENTION / 4);
    assert!(
        4 <= harness.store.memory.objects.len(),
        "{} objects",
        harness.store.memory.objects.len()
    );
    harness.restart(0);
    for (request, key) in (2_000..).zip(&recent) {
        assert_eq!(
            begin_and_wait(&mut harness, 0, request, key),
            Outcome::Ran(response("ran")),
            "key {key}"
        );
    }
    assert_eq!(begin_and_wait(&mut harness, 0, 3_000, "old"), Outcome::Ran(response("ran")));
    // The shard's clock advances with its commits.
    harness.run_for(RETENTION);
    run_all(&mut harness, 4_000, &new);
    harness.run_for(RETENTION);
    run_all(&mut harness, 5_000, &newer);
    harness.run_for(Duration::from_secs(60));
    let total = harness.store.memory.objects.values().map(|it| it.value.len()).sum::<usize>();
    assert!(total <= newer.len() * 2 * 160, "{total} bytes are stored");
    assert_eq!(begin_and_wait(&mut harness, 0, 6_000, &recent[0]), Outcome::Recorded);
}

fn keys_of_one_shard(count: usize) -> Vec<String> {
    let shard =
        |key: &String| Key { organisation: "umex".into(), key: key.as_str().into() }.shard();
    (0..).map(|it| format!("k{it}")).filter(|it| shard(it) == 7).take(count).collect()
}

fn run_all(harness: &mut Intents, first: u128, keys: &[String]) {
    for (request, key) in (first..).zip(keys) {
        assert_eq!(begin_and_wait(harness, 0, request, key), Outcome::Recorded, "key {key}");
        finish(harness, 0, request, done("ran"));
    }
}

// Guards against keys that run again after a head was damaged, say by a manual edit: its shard must
// refuse requests as "not run" instead of starting empty.
#[test]
fn undecodable_head_refuses_requests() {
    let mut harness = harness(1, 9);
    assert_eq!(begin_and_wait(&mut harness, 0, 1, "k"), Outcome::Recorded);
    let shard = Key { organisation: "umex".into(), key: Arc::from("k") }.shard();
    let key: ObjectKey = head::head_key(shard);
    let expected = harness.store.memory.objects[&key].version;
    let value = Arc::from([0xff; 30]);
    assert!(matches!(harness.store.apply(Call::Put { key, expected, value }), Reply::Done(_)));
    harness.restart(0);
    assert!(matches!(begin_and_wait(&mut harness, 0, 2, "k"), Outcome::Unrecorded { .. }));
}

#[derive(Clone, Debug)]
enum Step {
    Begin(usize, usize),
    Finish(usize),
    Pass(u64),
    Pause(usize, u64),
    Crash(usize),
    Restart(usize),
    Cut(usize, usize),
    Heal,
    Outage(bool),
    Lossy(f64),
    Late(f64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0usize..4, 0usize..3).prop_map(|(i, k)| Step::Begin(i, k)),
        3 => (0usize..8).prop_map(Step::Finish),
        4 => (1u64..3_000).prop_map(Step::Pass),
        1 => (0usize..4, 1u64..9_000).prop_map(|(i, t)| Step::Pause(i, t)),
        1 => (0usize..4).prop_map(Step::Crash),
        1 => (0usize..4).prop_map(Step::Restart),
        1 => (0usize..4, 0usize..4).prop_map(|(i, j)| Step::Cut(i, j)),
        1 => Just(Step::Heal),
        1 => any::<bool>().prop_map(Step::Outage),
        1 => (0.0..0.6).prop_map(Step::Lossy),
        1 => (0.0..0.5).prop_map(Step::Late),
    ]
}

/// A model of the daemon.
#[derive(Default)]
struct Runs {
    /// Runs that may have been sent, by key. A proof that one was never sent removes it.
    sent: BTreeMap<usize, u32>,
    /// Requests in progress: instance, its incarnation, request and key.
    open: Vec<(usize, u64, u128, usize)>,
    keys: BTreeMap<u128, usize>,
}

impl Runs {
    fn record_outputs(&mut self, harness: &mut Intents) {
        for (node, output) in drain_outputs(harness) {
            let Output::Began { request, outcome } = output else { continue };
            let key = self.keys[&request.0];
            if outcome == Outcome::Recorded {
                let runs = self.sent.entry(key).or_default();
                *runs += 1;
                assert!(*runs <= 1, "key {key} runs a second time");
                self.open.push((
                    node,
                    harness.instances[node].member.incarnation.0,
                    request.0,
                    key,
                ));
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    /// A key runs at most once, whatever happens in whatever order.
    #[test]
    fn at_most_one_run_per_key(seed: u64, steps in proptest::collection::vec(step(), 1..60)) {
        let mut harness = harness(4, seed);
        let mut runs = Runs::default();
        let mut request = 0;
        for step in steps {
            match step {
                Step::Begin(node, key) if harness.instances[node].is_up => {
                    request += 1;
                    runs.keys.insert(request, key);
                    begin(&mut harness, node, request, &format!("k{key}"));
                }
                Step::Begin(..) => {}
                Step::Finish(index) if index < runs.open.len() => {
                    let (node, incarnation, request, key) = runs.open.swap_remove(index);
                    let member = &harness.instances[node];
                    if member.is_up && member.member.incarnation.0 == incarnation {
                        // Every third was never sent.
                        if request % 3 == 0 {
                            runs.sent.insert(key, 0);
                            finish(&mut harness, node, request, State::Void);
                        } else {
                            finish(&mut harness, node, request, done("ran"));
                        }
                    }
                }
                Step::Finish(_) => {}
                Step::Pass(millis) => harness.run_for(Duration::from_millis(millis)),
                Step::Pause(node, millis) => {
                    harness.instances[node].paused_until = harness.now + Duration::from_millis(millis);
                }
                Step::Crash(node) => {
                    harness.kill(node);
                    harness.update_views();
                }
                Step::Restart(node) => harness.restart(node),
                Step::Cut(a, b) => harness.cuts.push((a, b)),
                Step::Heal => harness.cuts.clear(),
                Step::Outage(is_down) => harness.faults.is_store_down = is_down,
                Step::Lossy(fraction) => {
                    harness.faults.reply_loss = fraction;
                    harness.faults.call_loss = fraction / 2.;
                    harness.faults.message_loss = fraction / 2.;
                    harness.faults.message_duplication = fraction / 2.;
                }
                Step::Late(fraction) => harness.faults.delayed_call = fraction,
            }
            runs.record_outputs(&mut harness);
        }
        harness.run_for(Duration::from_secs(20));
        runs.record_outputs(&mut harness);
    }
}
