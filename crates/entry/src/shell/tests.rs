//! Failure tests of attempts and answers, over a fake of the backend servers' interface.

mod fake;
mod path;

use std::{net::SocketAddr, sync::Arc};

use shallotlead_base::{
    code::Code,
    id::{Incarnation, Request, Version, Weights},
    name,
};
use shallotlead_fleet::{
    directory,
    intent::{self, entry::State},
};
use shallotlead_policy::{
    chain::Chain,
    input::{self, ANCHORS, Input},
    request::Repeat,
};
use shallotlead_table::{
    limit::Limits,
    model::{Kind, Model},
    server::{Role, Server},
    snapshot::Snapshot,
};
use tokio::sync::mpsc;

use self::fake::{Fake, Part, Step, done, last, token};
use crate::{
    exchange::{Exchange, Operation, PIECES, Piece},
    peers::{self, inbox::Outlet, message::Message},
    shell::{Config, Handle, Identity, sentry::Sentry, spawn},
};

/// Seven blocks and a rest.
const PROMPT: [u8; 2_000] = [b'x'; 2_000];
const LIFE: Incarnation = Incarnation(7);

fn identity() -> Identity {
    Identity {
        instance: "e1".into(),
        incarnation: Incarnation(1),
        centre: "cluj-a".into(),
        region: "ro-nord".into(),
        address: address(1),
    }
}

/// A running shell before two fake servers.
struct Bench {
    handle: Handle,
    fake: Arc<Fake>,
}

impl Bench {
    fn open(steps: Vec<Step>) -> Self {
        let fake = Arc::new(Fake::new(steps));
        let config = Config { identity: identity(), seed: 1, explained: 64, backend: fake.clone() };
        let handle = spawn(config).unwrap();
        handle.set_table(Arc::new(table()));
        while handle.table().version != Version(1) {
            std::thread::yield_now();
        }
        for server in table().servers.into_keys() {
            handle.input(Input::Server { server, state: input::State::Up(LIFE) });
        }
        Self { handle, fake }
    }

    /// Sends `request` and gives the answer's end.
    fn submit(&self, request: u128, model: &str, repeat: Repeat) -> mpsc::Receiver<Piece> {
        let operation = match model {
            "service" => Operation::Service {
                method: Arc::from("POST"),
                path: Arc::from("/dispatch"),
                content_type: None,
            },
            "whole" => Operation::Chat { stream: false },
            _ => Operation::Chat { stream: true },
        };
        let model = if model == "service" { model } else { "m" };
        self.submit_operation(request, model, operation, repeat, 0, None)
    }

    fn submit_operation(
        &self,
        request: u128,
        model: &str,
        operation: Operation,
        repeat: Repeat,
        resume_at: u32,
        idempotency_key: Option<Arc<str>>,
    ) -> mpsc::Receiver<Piece> {
        let (pieces, answer) = mpsc::channel(PIECES);
        self.handle.submit(Exchange {
            id: Request(request),
            organisation: "o".into(),
            model: model.into(),
            operation,
            body: Arc::from(*b"{}"),
            prompt: Arc::from(PROMPT),
            max_tokens: 4,
            priority: 5,
            deadline: None,
            repeat,
            idempotency_key,
            resume_at,
            pieces,
        });
        answer
    }
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn table() -> Snapshot {
    let mut table = Snapshot { version: Version(1), ..Snapshot::default() };
    for (model, kind) in [("m", Kind::Engine), ("service", Kind::Service)] {
        let name = name::Model::from(model);
        let row = Model {
            name: name.clone(),
            kind,
            weights: Weights(3),
            limits: Limits::default(),
            recompute_price: 1.0,
            first_token_target_ms: 500,
            min_replicas: 1,
            load_concurrency: 2,
        };
        table.models.insert(name.clone(), row);
        for port in [2, 3] {
            let server = name::Server::from(format!("{model}-{port}"));
            let row = Server {
                name: server.clone(),
                address: address(port),
                centre: "cluj-a".into(),
                model: name.clone(),
                role: Role::Mixed,
                weight: 1.0,
                limits: Limits::default(),
                checks_fence: true,
            };
            table.servers.insert(server, row);
        }
    }
    table
}

/// What a caller has when its answer is over.
#[derive(Debug, Default, Eq, PartialEq)]
struct Received {
    heads: usize,
    numbers: Vec<u32>,
    text: String,
    ended: bool,
    refused: Option<Code>,
}

fn receive(answer: &mut mpsc::Receiver<Piece>) -> Received {
    let mut received = Received::default();
    while let Some(piece) = answer.blocking_recv() {
        assert!(!received.ended && received.refused.is_none(), "a piece after the end: {piece:?}");
        match piece {
            Piece::Head(_) => received.heads += 1,
            Piece::Event { number, data } => {
                received.numbers.push(number);
                received.text.push_str(&fake::text(&data));
            }
            Piece::Body(bytes) => received.text.push_str(&String::from_utf8_lossy(&bytes)),
            Piece::End => received.ended = true,
            Piece::Refused(refusal) => received.refused = Some(refusal.code),
        }
    }
    received
}

fn whole_stream() -> Step {
    Step::stream(vec![token(1), token(2), token(3), last(4), done()])
}

#[test]
fn stream_reaches_the_caller_whole_and_in_order() {
    let bench = Bench::open(vec![whole_stream()]);
    let received = receive(&mut bench.submit(1, "m", Repeat::Idempotent));
    assert_eq!(received.heads, 1);
    assert_eq!(received.numbers, [1, 2, 3, 4]);
    assert_eq!(received.text, "t1t2t3t4");
    assert!(received.ended);
    let call = bench.fake.next_call();
    assert_eq!(call.incarnation, Some(LIFE));
    assert_eq!(call.chain.blocks.len(), 7);
}

#[test]
fn first_event_arrives_before_the_second_exists() {
    let (step, feed) = Step::live();
    let bench = Bench::open(vec![step]);
    let mut answer = bench.submit(1, "m", Repeat::Idempotent);
    feed.send(token(1)).unwrap();
    assert!(matches!(answer.blocking_recv(), Some(Piece::Head(_))));
    assert!(matches!(answer.blocking_recv(), Some(Piece::Event { number: 1, .. })));
    for part in [last(2), done()] {
        feed.send(part).unwrap();
    }
    assert_eq!(receive(&mut answer).numbers, [2]);
}

#[test]
fn engine_dies_before_the_first_token() {
    // A surveyor waits for ever, or gets an error, although another engine is idle. The engine took
    // the request, sent its head and crashed before the first token.
    let bench = Bench::open(vec![Step::Lost, Step::stream(vec![Part::Break]), whole_stream()]);
    let received = receive(&mut bench.submit(1, "m", Repeat::Idempotent));
    assert_eq!((received.heads, &*received.text, received.ended), (1, "t1t2t3t4", true));
}

#[test]
fn engine_dies_mid_stream() {
    // A tenant reads a paragraph with a sentence missing or doubled. The engine died after two
    // tokens; the next attempt began at the first token again, or one too far.
    let bench = Bench::open(vec![
        Step::stream(vec![token(1), token(2), Part::Break]),
        Step::stream(vec![token(3), last(4), done()]),
    ]);
    let received = receive(&mut bench.submit(1, "m", Repeat::Idempotent));
    assert_eq!((received.heads, &*received.text, received.ended), (1, "t1t2t3t4", true));
    assert_eq!(bench.fake.next_call().resume_at, 0);
    assert_eq!(bench.fake.next_call().resume_at, 2);
}

#[test]
fn body_that_ends_without_the_end_marker_is_broken() {
    // The caller takes half an answer for a whole one: the engine's process was killed, and its
    // kernel closed the connection in good order.
    let bench = Bench::open(vec![
        Step::stream(vec![token(1), token(2)]),
        Step::stream(vec![token(3), last(4), done()]),
    ]);
    let received = receive(&mut bench.submit(1, "m", Repeat::Idempotent));
    assert_eq!((&*received.text, received.ended), ("t1t2t3t4", true));
}

#[test]
fn engine_dies_between_the_last_token_and_the_end_marker() {
    // The caller gets the finish reason twice, or the last token twice. The engine sent everything
    // but the end marker; a further attempt has nothing left to say.
    let bench = Bench::open(vec![Step::stream(vec![token(1), last(2), Part::Break])]);
    let received = receive(&mut bench.submit(1, "m", Repeat::Idempotent));
    assert_eq!((&*received.text, received.ended), ("t1t2", true));
    bench.fake.next_call();
    assert!(bench.fake.no_call());
}

#[test]
fn engine_dies_between_the_last_token_and_the_finish_reason() {
    // All tokens came but nobody said that they were all: the next attempt resumes behind the last
    // one and brings the finish reason alone.
    let bench = Bench::open(vec![
        Step::stream(vec![token(1), token(2), Part::Break]),
        Step::stream(vec![fake::finish(2), done()]),
    ]);
    let received = receive(&mut bench.submit(1, "m", Repeat::Idempotent));
    assert_eq!((&*received.text, received.ended), ("t1t2", true));
    assert_eq!(received.numbers, [1, 2, 2]);
}

#[test]
fn engine_that_ignores_the_offset_is_not_passed_on() {
    // The caller reads the beginning twice: the engine doesn't know the resume header and starts
    // over.
    let bench = Bench::open(vec![
        Step::stream(vec![token(1), token(2), Part::Break]),
        whole_stream(),
        Step::stream(vec![token(3), last(4), done()]),
    ]);
    let received = receive(&mut bench.submit(1, "m", Repeat::Idempotent));
    assert_eq!((&*received.text, received.ended), ("t1t2t3t4", true));
}

#[test]
fn engine_that_skips_a_token_is_not_passed_on() {
    let bench = Bench::open(vec![
        Step::stream(vec![token(1), token(3), last(4), done()]),
        Step::stream(vec![token(2), token(3), last(4), done()]),
    ]);
    let received = receive(&mut bench.submit(1, "m", Repeat::Idempotent));
    assert_eq!((&*received.text, received.ended), ("t1t2t3t4", true));
}

#[test]
fn crossed_answer_is_dropped() {
    // A caller reads the answer to a stranger's report. The server, or a library in it, mixed up
    // two connections; the answer names another attempt.
    let crossed = Step::crossed(vec![token(1), last(2), done()]);
    let bench = Bench::open(vec![crossed, Step::unnamed(vec![token(1)]), whole_stream()]);
    let received = receive(&mut bench.submit(1, "m", Repeat::Idempotent));
    assert_eq!((received.heads, &*received.text, received.ended), (1, "t1t2t3t4", true));
}

#[test]
fn dispatch_that_may_have_run_is_not_sent_again() {
    // Two crews go to one fault. The gateway took the dispatch and the connection broke before the
    // answer; the only truth is that nobody knows.
    for step in [Step::Lost, Step::whole("ok", true)] {
        let bench = Bench::open(vec![step, Step::whole("second", false)]);
        let received = receive(&mut bench.submit(1, "service", Repeat::Once));
        assert_eq!(received.refused, Some(Code::OutcomeUnknown));
        bench.fake.next_call();
        assert!(bench.fake.no_call());
    }
}

#[test]
fn dispatch_that_certainly_did_not_run_is_sent_again() {
    let bench = Bench::open(vec![Step::Unreachable, Step::whole("ok", false)]);
    let received = receive(&mut bench.submit(1, "service", Repeat::Once));
    assert_eq!((&*received.text, received.ended), ("ok", true));
}

#[test]
fn dispatch_that_a_server_refused_is_not_sent_again() {
    // Two crews go to one fault. A gateway said "not run" of a dispatch that it had already passed
    // on. Bytes had left, so only the caller may decide to send it again.
    let bench = Bench::open(vec![Step::Unreachable, Step::NotRun, Step::whole("second", false)]);
    let received = receive(&mut bench.submit(1, "service", Repeat::Once));
    assert_eq!(received.refused, Some(Code::ServerRefused));
    bench.fake.next_call();
    bench.fake.next_call();
    assert!(bench.fake.no_call());
}

#[test]
fn whole_answer_cut_short_is_tried_again() {
    let answer = r#"{"choices":[],"usage":{"completion_tokens":4}}"#;
    let bench = Bench::open(vec![Step::whole(answer, true), Step::whole(answer, false)]);
    let received = receive(&mut bench.submit(1, "whole", Repeat::Idempotent));
    assert_eq!((received.heads, &*received.text, received.ended), (1, answer, true));
}

#[test]
fn service_answers_are_passed_on_with_any_status() {
    let bench = Bench::open(vec![Step::status(500, "broken pump")]);
    let received = receive(&mut bench.submit(1, "service", Repeat::Once));
    assert_eq!((&*received.text, received.ended), ("broken pump", true));
}

#[test]
fn caller_that_goes_away_ends_its_attempt() {
    // An engine generates for nobody, and others wait: the caller closed its connection while the
    // engine was silent.
    let (step, _feed) = Step::live();
    let bench = Bench::open(vec![step]);
    let answer = bench.submit(1, "m", Repeat::Idempotent);
    let call = bench.fake.next_call();
    drop(answer);
    bench.handle.abandon(Request(1));
    assert_eq!(bench.fake.next_cancel(), call.attempt);
    bench.fake.wait_closed();
    assert_eq!(bench.handle.open_requests(), 0);
}

#[test]
fn engine_that_hangs_is_left_at_the_bound() {
    // A surveyor stands in a cold stairwell: the engine accepted the request and hangs. The attempt
    // must end by its own bound.
    let bench = Bench::open(vec![Step::Hang, whole_stream()]);
    let received = receive(&mut bench.submit(1, "m", Repeat::Idempotent));
    assert_eq!((&*received.text, received.ended), ("t1t2t3t4", true));
}

#[test]
fn caller_resumes_a_stream_that_another_instance_began() {
    // The instance that served the caller crashed after two tokens; the caller sends the same
    // request here with its last event id.
    let bench = Bench::open(vec![Step::stream(vec![token(3), last(4), done()])]);
    let chat = Operation::Chat { stream: true };
    let mut answer = bench.submit_operation(1, "m", chat, Repeat::Idempotent, 2, None);
    let received = receive(&mut answer);
    assert_eq!((&*received.text, received.ended), ("t3t4", true));
    assert_eq!(bench.fake.next_call().resume_at, 2);
}

#[test]
fn slow_reader_holds_up_its_own_stream_only() {
    // One caller reads slowly and everyone waits, or memory grows: its pieces pile up.
    let (step, feed) = Step::live();
    let bench = Bench::open(vec![step, whole_stream()]);
    let mut slow = bench.submit(1, "m", Repeat::Idempotent);
    bench.fake.next_call();
    let count = u32::try_from(PIECES).unwrap() * 2;
    for number in 1..=count {
        feed.send(token(number)).unwrap();
    }
    let fast = receive(&mut bench.submit(2, "m", Repeat::Idempotent));
    assert!(fast.ended);
    assert!(slow.len() <= PIECES);
    feed.send(last(count + 1)).unwrap();
    feed.send(done()).unwrap();
    let received = receive(&mut slow);
    assert_eq!(received.numbers, (1..=count + 1).collect::<Vec<_>>());
    assert!(received.ended);
}

#[test]
fn draining_finishes_fifty_streams_and_refuses_new_ones() {
    // Fifty answers are cut short when an instance is shut down for an upgrade.
    let (steps, feeds): (Vec<_>, Vec<_>) = (0..50).map(|_| Step::live()).unzip();
    let bench = Bench::open(steps);
    let mut answers =
        (1..=50).map(|it| bench.submit(it, "m", Repeat::Idempotent)).collect::<Vec<_>>();
    for _ in 0..50 {
        bench.fake.next_call();
    }
    bench.handle.drain();
    let refused = receive(&mut bench.submit(99, "m", Repeat::Idempotent));
    assert_eq!(refused.refused, Some(Code::ShuttingDown));
    for feed in feeds {
        for part in [token(1), last(2), done()] {
            feed.send(part).unwrap();
        }
    }
    for answer in &mut answers {
        let received = receive(answer);
        assert_eq!((&*received.text, received.ended), ("t1t2", true));
    }
}

#[test]
fn a_request_that_came_before_a_shutdown_is_answered() {
    // A caller is told "shutting down" of a request that was let in a moment before: the shutdown
    // reached the router's thread in the same batch of messages.
    for _ in 0..20 {
        let bench = Bench::open(vec![whole_stream()]);
        let mut answer = bench.submit(1, "m", Repeat::Idempotent);
        bench.handle.drain();
        let received = receive(&mut answer);
        assert_eq!((&*received.text, received.ended), ("t1t2t3t4", true), "{received:?}");
    }
}

/// What the node is told next, the demand of limits apart.
fn next(outlet: &Outlet) -> Message {
    loop {
        match outlet.messages.recv().unwrap() {
            Message::Allowance(_) => {}
            message => return message,
        }
    }
}

#[test]
fn home_of_a_prefix_is_asked_before_and_told_after_the_placement() {
    let bench = Bench::open(vec![whole_stream()]);
    let (node, outlet) = peers::inbox::channel();
    bench.handle.join(&node);
    let mut answer = bench.submit(1, "m", Repeat::Idempotent);
    let Ok(Message::Directory(directory::Input::Lookup { request, path: asked })) =
        outlet.messages.recv()
    else {
        panic!("the home was not asked");
    };
    bench.handle.inbox().hints(request, Vec::new());
    let told = next(&outlet);
    let Message::Sent(sent) = told else { panic!("the others were not told: {told:?}") };
    assert_eq!(sent.anchors.len(), ANCHORS);
    let Ok(Message::Directory(directory::Input::Placed { path, server, incarnation })) =
        outlet.messages.recv()
    else {
        panic!("the home was not told");
    };
    assert_eq!(sent.server, server);
    assert_eq!((path, incarnation), (asked, LIFE));
    assert_eq!(bench.fake.next_call().address, table().servers[&server].address);
    assert!(receive(&mut answer).ended);
}

#[test]
fn home_that_does_not_answer_holds_nothing_up() {
    // All requests with a common prefix stand still: its home is paused, or cut off.
    let bench = Bench::open(vec![whole_stream()]);
    let (node, _outlet) = peers::inbox::channel();
    bench.handle.join(&node);
    assert!(receive(&mut bench.submit(1, "m", Repeat::Idempotent)).ended);
}

#[test]
fn request_whose_key_is_being_recorded_is_answered_despite_a_shutdown() {
    // A dispatch is let in and then refused as "shutting down": its key was being recorded when the
    // instance began to shut down.
    let bench = Bench::open(vec![Step::whole("ok", false)]);
    let (node, outlet) = peers::inbox::channel();
    bench.handle.join(&node);
    let service = Operation::Service {
        method: Arc::from("POST"),
        path: Arc::from("/dispatch"),
        content_type: None,
    };
    let key = Some(Arc::from("k"));
    let mut answer = bench.submit_operation(1, "service", service, Repeat::Once, 0, key);
    let request = Request(1);
    assert!(matches!(outlet.messages.recv(), Ok(Message::Intent(intent::Input::Begin { .. }))));
    bench.handle.drain();
    assert_eq!(bench.handle.unsettled(), 1);
    let answered = intent::Outcome::Recorded;
    bench.handle.inbox().intent(intent::Output::Began { request, outcome: answered });
    let received = receive(&mut answer);
    assert_eq!((&*received.text, received.ended), ("ok", true));
    assert!(matches!(next(&outlet), Message::Drain));
    assert!(matches!(next(&outlet), Message::Sent(_)));
    assert!(matches!(
        next(&outlet),
        Message::Intent(intent::Input::Finish { state: State::Done(_), .. })
    ));
    bench.handle.inbox().intent(intent::Output::Finished { request });
    while bench.handle.unsettled() != 0 {
        std::thread::yield_now();
    }
}

#[test]
fn blocks_are_salted_by_the_weights_that_the_engine_has() {
    // A tenant reads a paragraph that no weights would write: while new weights are rolled out, an
    // engine with the old ones cached its blocks as if the new ones had made them.
    let bench = Bench::open(vec![Step::Weights(2), whole_stream()]);
    let received = receive(&mut bench.submit(1, "m", Repeat::Once));
    assert_eq!((&*received.text, received.ended), ("t1t2t3t4", true));
    let (meant, loaded) = (bench.fake.next_call(), bench.fake.next_call());
    assert_eq!((meant.weights, loaded.weights), (Some(Weights(3)), Some(Weights(2))));
    assert_eq!(meant.attempt, loaded.attempt);
    let salted = |it| Chain::new(&"o".into(), &"m".into(), Weights(it), &PROMPT);
    assert_eq!((meant.chain, loaded.chain), (salted(3), salted(2)));
}

#[test]
fn instance_whose_thread_panics_leaves() {
    // Callers are sent to an instance that takes connections and answers nobody: one of its threads
    // panicked, and nothing else noticed.
    let bench = Bench::open(Vec::new());
    let (node, outlet) = peers::inbox::channel();
    bench.handle.join(&node);
    let sentry = Sentry { shared: bench.handle.shared(), router: bench.handle.inbox() };
    let died = std::thread::spawn(move || {
        let _sentry = sentry;
        panic!("provoked");
    });
    assert!(died.join().is_err());
    assert!(bench.handle.draining());
    assert!(bench.handle.addresses().is_empty());
    assert!(matches!(next(&outlet), Message::Drain));
    let refused = receive(&mut bench.submit(1, "m", Repeat::Idempotent));
    assert_eq!(refused.refused, Some(Code::ShuttingDown));
}

#[test]
fn decisions_are_kept_for_explanations() {
    let bench = Bench::open(vec![Step::stream(vec![token(1), Part::Break]), whole_stream()]);
    receive(&mut bench.submit(5, "m", Repeat::Idempotent));
    let decisions = bench.handle.decisions(Request(5));
    assert!(2 <= decisions.len());
    assert!(decisions.iter().all(|it| it.request == Request(5)));
    assert!(bench.handle.decisions(Request(6)).is_empty());
}
