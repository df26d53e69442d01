//! Budget, merging, priorities, outages.

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

use common::{Fake, alone, key, put, replied, sent, step};

const INSTANCES: u32 = 420;
/// Sampling noise of hundreds of random phases over the fleet's rate.
const NOISE: f64 = 1.1;

/// Time that a call takes.
const LATENCY: Duration = Duration::from_millis(5);
/// Time between two ticks.
const STEP: Duration = Duration::from_millis(20);

/// What one instance of the herd asks for.
fn wishes(instance: u64) -> Vec<Call> {
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

/// One instance: its client, and the calls that are to be made again.
struct Node {
    client: Scheduler,
    open: BTreeMap<u64, Call>,
    again: Vec<(Time, u64)>,
}

impl Node {
    fn start(instance: u64) -> Self {
        let sharers = Sharers { instances: INSTANCES, watchers: INSTANCES };
        let client = Scheduler::new(Rates::default(), sharers, instance, Time::ZERO);
        let open: BTreeMap<u64, Call> = (0..).zip(wishes(instance)).collect();
        let again = open.keys().map(|it| (Time::ZERO, *it)).collect();
        Self { client, open, again }
    }

    fn submit_due(&mut self, now: Time) {
        for (_, id) in self.again.extract_if(.., |it| it.0 <= now) {
            self.client.submit(Ticket(id), self.open[&id].clone(), now);
        }
    }

    fn take(&mut self, ticket: Ticket, reply: &Reply, now: Time) {
        match reply {
            Reply::Failed(Failure::NotApplied { retry_after }) => {
                self.again.push((now + *retry_after, ticket.0));
            }
            Reply::Failed(_) => self.again.push((now + Duration::from_secs(1), ticket.0)),
            _ => {
                self.open.remove(&ticket.0);
            }
        }
    }
}

/// Calls of the whole fleet in each second.
#[derive(Debug, Default)]
struct Seconds {
    reads: BTreeMap<u64, u32>,
    writes: BTreeMap<u64, u32>,
}

impl Seconds {
    fn note(&mut self, call: &Call, now: Time) {
        let seconds = match Family::of(call) {
            Family::Write => &mut self.writes,
            Family::Read | Family::Watch => &mut self.reads,
        };
        *seconds.entry(now.as_millis() / 1_000).or_default() += 1;
    }
}

/// Runs the whole fleet until `end`; the platform answers nothing before `outage_end`. Returns the
/// calls of each second and when the last one was answered.
fn run_fleet(
    nodes: &mut [Node],
    fake: &mut Fake,
    outage_end: Time,
    end: Time,
) -> (Seconds, Option<Time>) {
    let mut seconds = Seconds::default();
    let mut landing: Vec<(Time, usize, CallId, Outcome)> = Vec::new();
    let mut now = Time::ZERO;
    let mut done_at = None;
    while now < end {
        for (_, index, id, outcome) in landing.extract_if(.., |it| it.0 <= now) {
            nodes[index].client.handle_outcome(id, outcome, now);
        }
        for (index, node) in nodes.iter_mut().enumerate() {
            node.submit_due(now);
            for action in node.client.tick(now) {
                match action {
                    Action::Reply(ticket, reply) => node.take(ticket, &reply, now),
                    Action::Send(id, call) => {
                        seconds.note(&call, now);
                        let outcome = if outage_end <= now {
                            Outcome::Answered(fake.apply(&call))
                        } else {
                            Outcome::Lost
                        };
                        landing.push((now + LATENCY, index, id, outcome));
                    }
                }
            }
        }
        if done_at.is_none() && nodes.iter().all(|it| it.open.is_empty()) {
            done_at = Some(now);
        }
        now = now + STEP;
    }
    println!("per second: {seconds:?}, all answered at {done_at:?}");
    (seconds, done_at)
}

fn most(seconds: &BTreeMap<u64, u32>) -> f64 {
    seconds.values().max().copied().unwrap_or_default().into()
}

// All 420 instances restart while the platform is out for a minute, and each wants the table, the
// leases and its own record. Users see requests refused for minutes when the herd's calls bury the
// platform as it comes back: it refuses them, and they all come again.
#[test]
fn herd_stays_inside_the_budget_through_outage_and_return() {
    let outage_end = Time::from_millis(60_000);
    let mut nodes: Vec<Node> = (0..u64::from(INSTANCES)).map(Node::start).collect();
    let mut fake = Fake::default();
    let end = Time::from_millis(120_000);
    let (seconds, done_at) = run_fleet(&mut nodes, &mut fake, outage_end, end);

    let rates = Rates::default();
    assert!(most(&seconds.reads) <= rates.reads * NOISE);
    assert!(most(&seconds.writes) <= rates.writes * NOISE);
    // Once the outage is known, only probes go out.
    let probes: u32 = seconds.reads.range(20..60).map(|it| *it.1).sum();
    assert!(probes / 40 <= INSTANCES / 3, "{probes} probes in 40 s");
    assert!(0 < probes);
    let done_at = done_at.expect("all calls are answered in the end");
    assert!(done_at <= outage_end + Duration::from_secs(15), "{done_at:?}");
    assert_eq!(fake.memory.objects.len(), INSTANCES as usize);
}

// The fleet is at rest, and all instances hear of something at the same moment: each reads twice and
// writes its status. Full budgets spent at once would be refused, and refusals look like an outage.
#[test]
fn fleet_at_rest_does_not_call_all_at_once() {
    let start = Time::from_millis(30_000);
    let mut nodes: Vec<Node> = (0..u64::from(INSTANCES)).map(Node::start).collect();
    for node in &mut nodes {
        node.again.iter_mut().for_each(|it| it.0 = start);
    }
    let mut fake = Fake::default();
    let end = Time::from_millis(60_000);
    let (seconds, done_at) = run_fleet(&mut nodes, &mut fake, Time::ZERO, end);

    let rates = Rates::default();
    assert!(most(&seconds.reads) <= rates.reads * 4.0 / 3.0);
    assert!(most(&seconds.writes) <= rates.writes * NOISE);
    assert!(done_at.expect("answered") <= start + Duration::from_secs(5), "{done_at:?}");
}

// A platform that is out answers nothing. Submitters must hear at once, and truthfully, that their
// calls had no effect, instead of waiting; one probe at a time asks whether it is back.
#[test]
fn open_circuit_gives_back_and_probes_with_one_call() {
    let (mut client, mut now) = (alone(), Time::ZERO);
    let unavailable = Outcome::Unavailable { retry_after: None };
    client.submit(Ticket(1), Call::Get(key("a")), now);
    for _ in 0..3 {
        let (id, _) = sent(&mut client, &mut now);
        client.handle_outcome(id, unavailable.clone(), now);
    }
    assert!(client.is_unavailable());
    let given_back = replied(&mut client, &mut now);
    assert!(matches!(given_back, Reply::Failed(Failure::NotApplied { .. })), "{given_back:?}");
    client.submit(Ticket(2), put("a", 0, "x"), now);
    let given_back = replied(&mut client, &mut now);
    assert!(matches!(given_back, Reply::Failed(Failure::NotApplied { .. })), "{given_back:?}");

    let (probe, _) = sent(&mut client, &mut now);
    assert_eq!(probe, CallId::Probe);
    assert_eq!(client.tick(now + Duration::from_secs(30)), []);
    client.handle_outcome(probe, unavailable, now);
    let (probe, _) = sent(&mut client, &mut now);
    client.handle_outcome(probe, Outcome::Answered(Reply::Got(None)), now);
    assert!(!client.is_unavailable());
    client.submit(Ticket(3), put("a", 0, "x"), now);
    assert!(matches!(sent(&mut client, &mut now), (CallId::Entry(..), Call::Put { .. })));
}

// A watcher was away for longer than the platform keeps changes. Watching on from its old version
// would miss some; it must hear that it has to list again.
#[test]
fn compacted_watch_is_told() {
    let (mut client, mut now) = (alone(), Time::ZERO);
    let wait = Duration::from_secs(30);
    client.submit(Ticket(1), Call::Watch { kind: "table".into(), after: Version(3), wait }, now);
    let (id, _) = sent(&mut client, &mut now);
    client.handle_outcome(id, Outcome::Answered(Reply::Failed(Failure::Compacted)), now);
    assert_eq!(replied(&mut client, &mut now), Reply::Failed(Failure::Compacted));
}

#[test]
fn equal_reads_share_one_call() {
    let (mut client, mut fake, mut now) = (alone(), Fake::default(), Time::ZERO);
    client.submit(Ticket(1), Call::Get(key("a")), now);
    let (id, call) = sent(&mut client, &mut now);
    client.submit(Ticket(2), Call::Get(key("a")), now);
    client.handle_outcome(id, Outcome::Answered(fake.apply(&call)), now);
    let replies = step(&mut client, &mut now);
    let got = Reply::Got(None);
    assert_eq!(replies, [Action::Reply(Ticket(1), got.clone()), Action::Reply(Ticket(2), got)]);
    assert_eq!(client.counts().reads, 1);
}

// An operator writes a cell and reads it back. A read in flight since before the write holds the old
// value; joined to it, the operator would see the change revert.
#[test]
fn read_after_write_does_not_join_an_older_read() {
    let (mut client, mut fake, mut now) = (alone(), Fake::default(), Time::ZERO);
    client.submit(Ticket(1), Call::Get(key("a")), now);
    let (old, call) = sent(&mut client, &mut now);
    let old_answer = fake.apply(&call);
    client.submit(Ticket(2), put("a", 0, "new"), now);
    common::serve(&mut client, &mut fake, &mut now);
    assert_eq!(replied(&mut client, &mut now), Reply::Done(Version(1)));

    client.submit(Ticket(3), Call::Get(key("a")), now);
    client.handle_outcome(old, Outcome::Answered(old_answer), now);
    let replies = step(&mut client, &mut now);
    let fresh = replies.iter().any(|it| matches!(it, Action::Send(_, Call::Get(_))));
    assert!(fresh, "{replies:?}");
    assert!(!replies.iter().any(|it| matches!(it, Action::Reply(Ticket(3), _))));
}

#[test]
fn leases_go_before_table_before_status() {
    let sharers = Sharers { instances: INSTANCES, watchers: INSTANCES };
    let mut client = Scheduler::new(Rates::default(), sharers, 7, Time::ZERO);
    let mut now = Time::ZERO;
    for (ticket, kind) in ["status", "table-segment", "intent-07"].into_iter().enumerate() {
        let call = Call::Put {
            key: Key::new(kind, "x"),
            expected: Version(0),
            value: b"x".as_slice().into(),
        };
        client.submit(Ticket(ticket as u64), call, now);
    }
    let mut kinds = Vec::new();
    while kinds.len() < 3 {
        match &step(&mut client, &mut now)[..] {
            [Action::Send(id, Call::Put { key, .. })] => {
                kinds.push(key.kind.to_string());
                client.handle_outcome(*id, Outcome::Answered(Reply::Done(Version(1))), now);
            }
            [Action::Reply(..)] => {}
            other => panic!("unexpected {other:?}"),
        }
    }
    assert_eq!(kinds, ["intent-07", "table-segment", "status"]);
}

#[test]
fn retry_after_holds_back_the_family() {
    let (mut client, mut now) = (alone(), Time::ZERO);
    client.submit(Ticket(1), put("a", 0, "x"), now);
    let (id, _) = sent(&mut client, &mut now);
    let retry_after = Some(Duration::from_millis(700));
    let refused_at = now;
    client.handle_outcome(id, Outcome::Refused { retry_after }, now);
    assert!(!client.is_unavailable());
    client.submit(Ticket(2), put("b", 0, "y"), now);
    sent(&mut client, &mut now);
    assert!(Duration::from_millis(700) <= now.since(refused_at));
}

#[test]
fn calls_in_flight_and_watches_are_bounded() {
    let sharers = Sharers { instances: 1, watchers: 100 };
    let mut client = Scheduler::new(Rates::default(), sharers, 7, Time::ZERO);
    let wait = Duration::from_secs(30);
    for ticket in 0..40 {
        let kind = format!("kind{ticket}").as_str().into();
        client.submit(Ticket(ticket), Call::Watch { kind, after: Version(0), wait }, Time::ZERO);
        client.submit(Ticket(100 + ticket), Call::Get(key(&ticket.to_string())), Time::ZERO);
    }
    let actions = client.tick(Time::from_millis(1_000));
    let (watches, reads): (Vec<&Action>, Vec<&Action>) =
        actions.iter().partition(|it| matches!(it, Action::Send(_, Call::Watch { .. })));
    assert_eq!(watches.len(), 2);
    assert_eq!(reads.len(), MAX_IN_FLIGHT);
}
