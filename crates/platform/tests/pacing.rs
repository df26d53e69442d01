//! Tests of the scheduler's rate limits, shared reads, priorities and handling of outages.

mod common;

use std::{collections::BTreeMap, time::Duration};

use shallotlead_base::{
    id::Version,
    store::{Call, Failure, Key, Reply},
    time::Time,
};
use shallotlead_platform::{
    budget::{Family, Rates, Sharers},
    outcome::Outcome,
    scheduler::{Action, CallId, MAX_IN_FLIGHT, Scheduler, Ticket},
};

use common::{FakeStore, key, next_actions, next_call, next_reply, put, single_instance};

const INSTANCES: u32 = 420;
/// Factor by which the calls of one second may exceed the fleet's rate, as the phases of hundreds of
/// instances are random.
const SAMPLING_NOISE: f64 = 1.1;

/// Duration of a call.
const LATENCY: Duration = Duration::from_millis(5);
/// Time between two ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Calls that each instance makes when it starts.
fn startup_calls(instance: u64) -> Vec<Call> {
    vec![
        Call::List { kind: "table".into() },
        Call::List { kind: "lease".into() },
        Call::Get(Key::new("status", &instance.to_string())),
        Call::Put {
            key: Key::new("status", &instance.to_string()),
            expected: Version(0),
            value: instance.to_be_bytes().into(),
        },
    ]
}

/// One instance: its scheduler, its unanswered calls, and when to submit which of them.
struct Instance {
    scheduler: Scheduler,
    open: BTreeMap<u64, Call>,
    submissions: Vec<(Time, u64)>,
}

impl Instance {
    fn start(instance: u64) -> Self {
        let sharers = Sharers { instances: INSTANCES, watchers: INSTANCES };
        let scheduler = Scheduler::new(Rates::default(), sharers, instance, Time::ZERO);
        let open: BTreeMap<u64, Call> = (0..).zip(startup_calls(instance)).collect();
        let submissions = open.keys().map(|it| (Time::ZERO, *it)).collect();
        Self { scheduler, open, submissions }
    }

    fn submit_due(&mut self, now: Time) {
        for (_, id) in self.submissions.extract_if(.., |it| it.0 <= now) {
            self.scheduler.submit(Ticket(id), self.open[&id].clone(), now);
        }
    }

    fn handle_reply(&mut self, ticket: Ticket, reply: &Reply, now: Time) {
        match reply {
            Reply::Failed(Failure::NotApplied { retry_after }) => {
                self.submissions.push((now + *retry_after, ticket.0));
            }
            Reply::Failed(_) => self.submissions.push((now + Duration::from_secs(1), ticket.0)),
            _ => {
                self.open.remove(&ticket.0);
            }
        }
    }
}

/// Calls of the whole fleet, by second.
#[derive(Debug, Default)]
struct CallRate {
    reads: BTreeMap<u64, u32>,
    writes: BTreeMap<u64, u32>,
}

impl CallRate {
    fn record(&mut self, call: &Call, now: Time) {
        let counts = match Family::of(call) {
            Family::Write => &mut self.writes,
            Family::Read | Family::Watch => &mut self.reads,
        };
        *counts.entry(now.as_millis() / 1_000).or_default() += 1;
    }
}

/// Simulates the whole fleet until `end`, with a platform that doesn't answer before `outage_end`.
/// Returns the calls by second, and the time of the last reply if every call was answered.
fn run_fleet(
    instances: &mut [Instance],
    store: &mut FakeStore,
    outage_end: Time,
    end: Time,
) -> (CallRate, Option<Time>) {
    let mut call_rate = CallRate::default();
    let mut in_flight: Vec<(Time, usize, CallId, Outcome)> = Vec::new();
    let mut now = Time::ZERO;
    let mut answered_at = None;
    while now < end {
        for (_, index, id, outcome) in in_flight.extract_if(.., |it| it.0 <= now) {
            instances[index].scheduler.handle_outcome(id, outcome, now);
        }
        for (index, instance) in instances.iter_mut().enumerate() {
            instance.submit_due(now);
            for action in instance.scheduler.tick(now) {
                match action {
                    Action::Reply(ticket, reply) => instance.handle_reply(ticket, &reply, now),
                    Action::Send(id, call) => {
                        call_rate.record(&call, now);
                        let outcome = if outage_end <= now {
                            Outcome::Answered(store.apply(&call))
                        } else {
                            Outcome::Lost
                        };
                        in_flight.push((now + LATENCY, index, id, outcome));
                    }
                }
            }
        }
        if answered_at.is_none() && instances.iter().all(|it| it.open.is_empty()) {
            answered_at = Some(now);
        }
        now = now + TICK_INTERVAL;
    }
    println!("per second: {call_rate:?}, all answered at {answered_at:?}");
    (call_rate, answered_at)
}

fn peak(counts: &BTreeMap<u64, u32>) -> f64 {
    counts.values().max().copied().unwrap_or_default().into()
}

// All 420 instances restart while the platform is unavailable for a minute, and each reads the
// table, the leases and its own record. If their calls overload the platform when it recovers, it
// refuses them, they are all retried, and callers' requests are refused for minutes.
#[test]
fn simultaneous_restart_stays_within_the_rates_during_and_after_an_outage() {
    let outage_end = Time::from_millis(60_000);
    let mut instances: Vec<Instance> = (0..u64::from(INSTANCES)).map(Instance::start).collect();
    let mut store = FakeStore::default();
    let end = Time::from_millis(120_000);
    let (call_rate, answered_at) = run_fleet(&mut instances, &mut store, outage_end, end);

    let rates = Rates::default();
    assert!(peak(&call_rate.reads) <= rates.reads * SAMPLING_NOISE);
    assert!(peak(&call_rate.writes) <= rates.writes * SAMPLING_NOISE);
    // After the outage was detected, only probes are sent.
    let probes: u32 = call_rate.reads.range(20..60).map(|it| *it.1).sum();
    assert!(probes / 40 <= INSTANCES / 3, "{probes} probes in 40 s");
    assert!(0 < probes);
    let answered_at = answered_at.expect("all calls are answered");
    assert!(answered_at <= outage_end + Duration::from_secs(15), "{answered_at:?}");
    assert_eq!(store.memory.objects.len(), INSTANCES as usize);
}

// All instances of an idle fleet receive a change at the same moment: each makes three reads and
// writes its status. If all used their full budgets at once, the platform would refuse calls, and
// refusals look like an outage.
#[test]
fn idle_fleet_spreads_simultaneous_calls() {
    let start = Time::from_millis(30_000);
    let mut instances: Vec<Instance> = (0..u64::from(INSTANCES)).map(Instance::start).collect();
    for instance in &mut instances {
        instance.submissions.iter_mut().for_each(|it| it.0 = start);
    }
    let mut store = FakeStore::default();
    let end = Time::from_millis(60_000);
    let (call_rate, answered_at) = run_fleet(&mut instances, &mut store, Time::ZERO, end);

    let rates = Rates::default();
    assert!(peak(&call_rate.reads) <= rates.reads * 4.0 / 3.0);
    assert!(peak(&call_rate.writes) <= rates.writes * SAMPLING_NOISE);
    assert!(answered_at.expect("answered") <= start + Duration::from_secs(5), "{answered_at:?}");
}

// During an outage, submitters must be told at once that their calls had no effect instead of
// waiting for replies. One probe at a time checks whether the platform has recovered.
#[test]
fn open_circuit_fails_calls_and_sends_one_probe_at_a_time() {
    let (mut scheduler, mut now) = (single_instance(), Time::ZERO);
    let unavailable = Outcome::Unavailable { retry_after: None };
    scheduler.submit(Ticket(1), Call::Get(key("a")), now);
    for _ in 0..3 {
        let (id, _) = next_call(&mut scheduler, &mut now);
        scheduler.handle_outcome(id, unavailable.clone(), now);
    }
    assert!(scheduler.is_unavailable());
    let failed = next_reply(&mut scheduler, &mut now);
    assert!(matches!(failed, Reply::Failed(Failure::NotApplied { .. })), "{failed:?}");
    scheduler.submit(Ticket(2), put("a", 0, "x"), now);
    let failed = next_reply(&mut scheduler, &mut now);
    assert!(matches!(failed, Reply::Failed(Failure::NotApplied { .. })), "{failed:?}");

    let (probe, _) = next_call(&mut scheduler, &mut now);
    assert_eq!(probe, CallId::Probe);
    assert_eq!(scheduler.tick(now + Duration::from_secs(30)), []);
    scheduler.handle_outcome(probe, unavailable, now);
    let (probe, _) = next_call(&mut scheduler, &mut now);
    scheduler.handle_outcome(probe, Outcome::Answered(Reply::Got(None)), now);
    assert!(!scheduler.is_unavailable());
    scheduler.submit(Ticket(3), put("a", 0, "x"), now);
    assert!(matches!(next_call(&mut scheduler, &mut now), (CallId::Entry(..), Call::Put { .. })));
}

// A watcher was disconnected for longer than the platform keeps changes. A watch from its last
// version would miss some, so it must be told to list again.
#[test]
fn compacted_watch_is_reported() {
    let (mut scheduler, mut now) = (single_instance(), Time::ZERO);
    let wait = Duration::from_secs(30);
    scheduler.submit(Ticket(1), Call::Watch { kind: "table".into(), after: Version(3), wait }, now);
    let (id, _) = next_call(&mut scheduler, &mut now);
    scheduler.handle_outcome(id, Outcome::Answered(Reply::Failed(Failure::Compacted)), now);
    assert_eq!(next_reply(&mut scheduler, &mut now), Reply::Failed(Failure::Compacted));
}

#[test]
fn equal_reads_share_one_call() {
    let (mut scheduler, mut store, mut now) = (single_instance(), FakeStore::default(), Time::ZERO);
    scheduler.submit(Ticket(1), Call::Get(key("a")), now);
    let (id, call) = next_call(&mut scheduler, &mut now);
    scheduler.submit(Ticket(2), Call::Get(key("a")), now);
    scheduler.handle_outcome(id, Outcome::Answered(store.apply(&call)), now);
    let replies = next_actions(&mut scheduler, &mut now);
    let got = Reply::Got(None);
    assert_eq!(replies, [Action::Reply(Ticket(1), got.clone()), Action::Reply(Ticket(2), got)]);
    assert_eq!(scheduler.counts().reads, 1);
}

// An operator writes a cell and reads it again. A read that was sent before the write may return
// the old value; if it were shared, the change would seem to be reverted.
#[test]
fn read_after_write_does_not_share_an_older_reply() {
    let (mut scheduler, mut store, mut now) = (single_instance(), FakeStore::default(), Time::ZERO);
    scheduler.submit(Ticket(1), Call::Get(key("a")), now);
    let (old_read, call) = next_call(&mut scheduler, &mut now);
    let old_reply = store.apply(&call);
    scheduler.submit(Ticket(2), put("a", 0, "new"), now);
    common::answer_next_call(&mut scheduler, &mut store, &mut now);
    assert_eq!(next_reply(&mut scheduler, &mut now), Reply::Done(Version(1)));

    scheduler.submit(Ticket(3), Call::Get(key("a")), now);
    scheduler.handle_outcome(old_read, Outcome::Answered(old_reply), now);
    let replies = next_actions(&mut scheduler, &mut now);
    let is_sent_again = replies.iter().any(|it| matches!(it, Action::Send(_, Call::Get(_))));
    assert!(is_sent_again, "{replies:?}");
    assert!(!replies.iter().any(|it| matches!(it, Action::Reply(Ticket(3), _))));
}

#[test]
fn leases_are_sent_before_table_before_status() {
    let sharers = Sharers { instances: INSTANCES, watchers: INSTANCES };
    let mut scheduler = Scheduler::new(Rates::default(), sharers, 7, Time::ZERO);
    let mut now = Time::ZERO;
    for (ticket, kind) in ["status", "table-segment", "intent-07"].into_iter().enumerate() {
        let call = Call::Put {
            key: Key::new(kind, "x"),
            expected: Version(0),
            value: b"x".as_slice().into(),
        };
        scheduler.submit(Ticket(ticket as u64), call, now);
    }
    let mut kinds = Vec::new();
    while kinds.len() < 3 {
        match &next_actions(&mut scheduler, &mut now)[..] {
            [Action::Send(id, Call::Put { key, .. })] => {
                kinds.push(key.kind.to_string());
                scheduler.handle_outcome(*id, Outcome::Answered(Reply::Done(Version(1))), now);
            }
            [Action::Reply(..)] => {}
            other => panic!("unexpected {other:?}"),
        }
    }
    assert_eq!(kinds, ["intent-07", "table-segment", "status"]);
}

#[test]
fn retry_after_pauses_the_family() {
    let (mut scheduler, mut now) = (single_instance(), Time::ZERO);
    scheduler.submit(Ticket(1), put("a", 0, "x"), now);
    let (id, _) = next_call(&mut scheduler, &mut now);
    let retry_after = Some(Duration::from_millis(700));
    let refused_at = now;
    scheduler.handle_outcome(id, Outcome::Refused { retry_after }, now);
    assert!(!scheduler.is_unavailable());
    scheduler.submit(Ticket(2), put("b", 0, "y"), now);
    next_call(&mut scheduler, &mut now);
    assert!(Duration::from_millis(700) <= now.since(refused_at));
}

#[test]
fn calls_in_flight_and_watches_are_limited() {
    let sharers = Sharers { instances: 1, watchers: 100 };
    let mut scheduler = Scheduler::new(Rates::default(), sharers, 7, Time::ZERO);
    let wait = Duration::from_secs(30);
    for ticket in 0..40 {
        let kind = format!("kind{ticket}").as_str().into();
        scheduler.submit(Ticket(ticket), Call::Watch { kind, after: Version(0), wait }, Time::ZERO);
        scheduler.submit(Ticket(100 + ticket), Call::Get(key(&ticket.to_string())), Time::ZERO);
    }
    let actions = scheduler.tick(Time::from_millis(1_000));
    let (watches, reads): (Vec<&Action>, Vec<&Action>) =
        actions.iter().partition(|it| matches!(it, Action::Send(_, Call::Watch { .. })));
    assert_eq!(watches.len(), 2);
    assert_eq!(reads.len(), MAX_IN_FLIGHT);
}
