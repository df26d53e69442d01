//! The checks themselves: each must see what it is there for.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use shallotlead_base::code::Execution;
use shallotlead_standin::{
    engine::{self, Endpoint},
    service,
};

use crate::{
    caller::{
        ask::{Ask, Kind},
        outcome::{End, Outcome, Refusal, Try, TryEnd},
    },
    demo::{
        Event, Runs, invariant, summary,
        watcher::{Health, Versions},
    },
    load::Record,
};

const ADDRESS: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 7001);

/// What a demo saw.
struct Seen {
    records: Vec<Record>,
    runs: Runs,
    events: Vec<Event>,
    versions: Versions,
    begin: Instant,
}

impl Seen {
    /// One stream, one whole answer and one dispatch, all as they should be.
    fn sound() -> Self {
        let begin = Instant::now();
        let stream = chat("a", true);
        let whole = chat("b", false);
        let dispatch = dispatch();
        let answers = |ask: &Ask| {
            let body: Value = serde_json::from_str(&ask.body).unwrap();
            engine::answer(Endpoint::Chat, &body).unwrap()
        };
        let body = service::answer("POST", "/dispatch", dispatch.body.as_bytes());
        let records = vec![
            record(begin, stream.clone(), answers(&stream), Vec::new()),
            record(begin, whole.clone(), vec![answers(&whole).concat()], Vec::new()),
            record(begin, dispatch.clone(), Vec::new(), serde_json::to_vec(&body).unwrap()),
        ];
        let runs = Runs {
            engines: vec![vec![run(begin, "aa-1")], Vec::new()],
            services: vec![vec![service::Run {
                attempt: "bb-1".to_owned(),
                method: "POST".to_owned(),
                path: "/dispatch".to_owned(),
                body: dispatch.body.into(),
                at: begin,
            }]],
        };
        let second = Duration::from_secs(1);
        let events = vec![
            Event::Changed { in_force: Some(second) },
            Event::Restarted { served: Some(second) },
            Event::Leaving { engine: 0, at: begin },
            Event::ShutDown { address: ADDRESS, from: begin, until: begin + second },
        ];
        Self { records, runs, events, versions: Versions::default(), begin }
    }

    /// Texts of the invariants that are broken.
    fn broken(&self) -> Vec<&'static str> {
        let all = invariant::check(&self.records, &self.runs, &self.events, &self.versions);
        all.iter().filter(|it| !it.broken.is_empty()).map(|it| it.text).collect()
    }

    fn assert_broken(&self, part: &str) {
        let broken = self.broken();
        assert!(broken.iter().any(|it| it.contains(part)), "{part} is not among {broken:?}");
    }
}

fn chat(text: &str, stream: bool) -> Ask {
    let body = json!({
        "model": "m", "stream": stream, "messages": [{ "role": "user", "content": text }],
    });
    ask(Kind::Chat { stream }, body)
}

fn dispatch() -> Ask {
    let kind = Kind::Service { name: Arc::from("crews"), path: Arc::from("/dispatch") };
    ask(kind, json!({ "crew": 7 }))
}

fn ask(kind: Kind, body: Value) -> Ask {
    Ask {
        kind,
        body: body.to_string(),
        key: Arc::from("key"),
        organisation: Arc::from("one"),
        idempotency_key: None,
        priority: None,
        deadline: None,
    }
}

fn record(at: Instant, ask: Ask, tokens: Vec<String>, body: Vec<u8>) -> Record {
    let attempt = Try {
        address: ADDRESS,
        at,
        until: at + Duration::from_millis(500),
        request: Some("aa".to_owned()),
        resumed: false,
        end: TryEnd::Answered,
    };
    let outcome = Outcome {
        end: End::Answered,
        tokens,
        body,
        request: Some("aa".to_owned()),
        tries: vec![attempt],
        ..Outcome::new()
    };
    Record { ask: Arc::new(ask), at, outcome }
}

fn run(at: Instant, attempt: &str) -> engine::Run {
    engine::Run {
        attempt: Arc::from(attempt),
        incarnation: 1,
        at,
        chain: vec![1, 2, 3],
        cached_blocks: 2,
        foreign_blocks: 0,
        computed_tokens: 64,
        resumed_at: 0,
        generated: 9,
        end: engine::End::Complete,
    }
}

fn refused(code: u16, execution: Execution) -> TryEnd {
    TryEnd::Refused(Refusal { code, execution, request: None, retry_after: None })
}

/// A call with an idempotency key whose first try broke, and what its later tries were told elsewhere.
/// `killed`: the first try's instance was killed meanwhile.
fn cut_keyed_call(killed: bool, later: Vec<TryEnd>) -> Seen {
    let address = SocketAddr::new(ADDRESS.ip(), 7003);
    let other = SocketAddr::new(ADDRESS.ip(), 7002);
    let mut seen = Seen::sound();
    let mut keyed = dispatch();
    keyed.idempotency_key = Some("k".to_owned());
    let record = &mut seen.records[2];
    record.ask = Arc::new(keyed);
    record.outcome.end = End::GaveUp;
    record.outcome.tries[0].address = address;
    record.outcome.tries[0].end = TryEnd::Broken;
    let cut = record.outcome.tries[0].clone();
    let later_try = |end| {
        let request = Some("cc".to_owned());
        Try { address: other, at: cut.until, request, end, ..cut.clone() }
    };
    record.outcome.tries.extend(later.into_iter().map(later_try));
    if killed {
        let at = seen.begin + Duration::from_millis(100);
        seen.events.push(Event::Killed { address, at });
    }
    seen
}

fn health(instance: &str, incarnation: u64, table: u64) -> Health {
    Health { instance: instance.to_owned(), incarnation, table, open_requests: 0 }
}

#[test]
fn a_sound_demo_breaks_nothing() {
    let seen = Seen::sound();
    assert_eq!(seen.broken(), Vec::<&str>::new());
    let summary = summary::summarise(&seen.records, &seen.runs, &seen.events);
    assert_eq!((summary.requests, summary.answered), (3, 3));
    assert_eq!((summary.lost, summary.doubled, summary.truncated), (0, 0, 0));
    assert_eq!((summary.config_in_force_ms, summary.leave_ms), (Some(1_000), 0));
}

#[test]
fn a_hit_on_foreign_blocks_is_seen() {
    let mut seen = Seen::sound();
    seen.runs.engines[0][0].foreign_blocks = 1;
    seen.assert_broken("old cache");
}

#[test]
fn a_stream_out_of_order_is_seen() {
    let mut seen = Seen::sound();
    seen.records[0].outcome.tries[0].end = TryEnd::Malformed("token 3".to_owned());
    seen.records[0].outcome.end = End::Malformed;
    seen.assert_broken("complete and in order");
    seen.assert_broken("truthfully refused");
}

#[test]
fn a_truncated_answer_is_seen() {
    for index in [0, 1] {
        let mut seen = Seen::sound();
        let tokens = &mut seen.records[index].outcome.tokens;
        let short = tokens.concat();
        *tokens = vec![short[..short.len() - 1].to_owned()];
        seen.assert_broken("its own request");
        let summary = summary::summarise(&seen.records, &seen.runs, &seen.events);
        assert_eq!(summary.truncated, 1);
    }
}

#[test]
fn anothers_answer_is_seen() {
    let mut seen = Seen::sound();
    let (first, second) = seen.records.split_at_mut(1);
    std::mem::swap(&mut first[0].outcome.tokens, &mut second[0].outcome.tokens);
    seen.assert_broken("its own request");
    let mut seen = Seen::sound();
    seen.records[2].outcome.body = b"{\"confirmation\":\"other\"}".to_vec();
    seen.assert_broken("its own request");
}

#[test]
fn a_false_not_run_is_seen() {
    let mut seen = Seen::sound();
    let refusal = Refusal {
        code: 3005,
        execution: Execution::NotRun,
        request: Some("aa".to_owned()),
        retry_after: None,
    };
    let attempt = &mut seen.records[0].outcome.tries[0];
    attempt.end = TryEnd::Refused(refusal.clone());
    seen.assert_broken("is true");
    let other = Refusal { request: Some("cc".to_owned()), ..refusal };
    seen.records[0].outcome.tries[0].end = TryEnd::Refused(other);
    assert_eq!(seen.broken(), Vec::<&str>::new());
}

#[test]
fn a_doubled_dispatch_is_seen() {
    let mut seen = Seen::sound();
    let again = seen.runs.services[0][0].clone();
    seen.runs.services.push(vec![again]);
    seen.assert_broken("at most once");
    assert_eq!(summary::summarise(&seen.records, &seen.runs, &seen.events).doubled, 1);
}

#[test]
fn late_work_of_a_leaving_server_is_seen() {
    let mut seen = Seen::sound();
    seen.runs.engines[0].push(run(seen.begin + Duration::from_secs(9), "cc-1"));
    seen.assert_broken("leaving backend server");
    assert_eq!(summary::summarise(&seen.records, &seen.runs, &seen.events).leave_ms, 9_000);
}

#[test]
fn a_request_cut_by_a_shutdown_is_seen() {
    let mut seen = Seen::sound();
    seen.records[0].outcome.tries[0].end = TryEnd::Broken;
    seen.assert_broken("graceful shutdown");
    let summary = summary::summarise(&seen.records, &seen.runs, &seen.events);
    assert_eq!(summary.cut_by_shutdown, 1);
    seen.records[0].outcome.tries[0].until = seen.begin + Duration::from_secs(5);
    seen.records[0].outcome.tries[0].at = seen.begin + Duration::from_secs(4);
    assert_eq!(seen.broken(), Vec::<&str>::new());
}

#[test]
fn a_late_restart_and_a_late_change_are_seen() {
    let mut seen = Seen::sound();
    seen.events = vec![
        Event::Changed { in_force: None },
        Event::Restarted { served: Some(Duration::from_secs(60)) },
    ];
    seen.assert_broken("within seconds");
    seen.assert_broken("serves at once");
    let summary = summary::summarise(&seen.records, &seen.runs, &seen.events);
    assert_eq!(summary.config_in_force_ms, None);
}

#[test]
fn a_reverted_configuration_is_seen() {
    let mut seen = Seen::sound();
    seen.versions.take(health("e1", 1, 5));
    seen.versions.take(health("e1", 1, 4));
    seen.assert_broken("never reverts");
    let mut seen = Seen::sound();
    // A new life begins without a table.
    seen.versions.take(health("e1", 1, 5));
    seen.versions.take(health("e1", 2, 0));
    assert_eq!(seen.broken(), Vec::<&str>::new());
}

#[test]
fn lost_requests_are_seen() {
    for index in [0, 2] {
        let mut seen = Seen::sound();
        seen.records[index].outcome.end = End::GaveUp;
        seen.assert_broken("truthfully refused");
    }
    // A broken dispatch without a key is unknown for good; with one it must not be.
    let mut seen = Seen::sound();
    seen.records[2].outcome.end = End::Unknown;
    assert_eq!(seen.broken(), Vec::<&str>::new());
    let mut keyed = dispatch();
    keyed.idempotency_key = Some("k".to_owned());
    seen.records[2].ask = Arc::new(keyed);
    seen.assert_broken("truthfully refused");
}

// A caller's call with an idempotency key is cut when its instance is killed, and every other
// instance says that its outcome is unknown. That is the truth, and no loss; without the kill, or
// without that word, it is one.
#[test]
fn keyed_call_may_stay_unknown_only_when_its_instance_was_killed() {
    let seen = |killed, last| cut_keyed_call(killed, vec![last]);
    let refusal = |execution| refused(4002, execution);
    let unknown = seen(true, refusal(Execution::Unknown));
    assert_eq!(unknown.broken(), Vec::<&str>::new());
    let summary = summary::summarise(&unknown.records, &unknown.runs, &unknown.events);
    assert_eq!((summary.unknown, summary.lost), (1, 0));
    seen(false, refusal(Execution::Unknown)).assert_broken("truthfully refused");
    seen(true, refusal(Execution::NotRun)).assert_broken("truthfully refused");
    seen(true, TryEnd::Broken).assert_broken("truthfully refused");
    seen(true, TryEnd::Unreached).assert_broken("truthfully refused");
}

// A keyed call is cut by a kill, and some repeats meet an instance that can't look its key up: that one may not say that
// nothing ran, whatever the others say.
#[test]
fn keyed_call_may_stay_unknown_between_words_on_single_calls() {
    let unknown = || refused(4002, Execution::Unknown);
    for code in [5002, 5001, 3006, 3001] {
        let silent = |execution| refused(code, execution);
        let words = |execution| vec![silent(execution), unknown(), silent(execution)];
        let told = words(Execution::Unknown);
        assert_eq!(cut_keyed_call(true, told.clone()).broken(), Vec::<&str>::new());
        cut_keyed_call(false, told).assert_broken("truthfully refused");
        let not_run = Execution::NotRun;
        cut_keyed_call(true, words(not_run)).assert_broken("truthfully refused");
        cut_keyed_call(true, vec![silent(not_run)]).assert_broken("truthfully refused");
        cut_keyed_call(true, vec![silent(not_run), TryEnd::Unreached])
            .assert_broken("truthfully refused");
    }
    cut_keyed_call(true, vec![TryEnd::Broken, unknown()]).assert_broken("truthfully refused");
}

#[test]
fn recomputed_blocks_are_counted() {
    let mut seen = Seen::sound();
    seen.runs.engines[1].push(run(seen.begin + Duration::from_secs(1), "cc-1"));
    // The first run computed block 3 and the second one computed it again.
    let summary = summary::summarise(&seen.records, &seen.runs, &seen.events);
    assert_eq!(summary.wasted_tokens, 64);
}
