//! What the failure tests share: a small deployment and its callers.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use shallotlead::{
    caller::{
        Caller,
        ask::{Ask, Kind},
        outcome::{End, Outcome},
    },
    traffic::deployment::{self, Deployment, Lengths, Organisation},
    world::{self, World},
};
use shallotlead_standin::{
    engine::{self, Endpoint},
    service,
};

/// Longest wait for something that must happen.
const PATIENCE: Duration = Duration::from_secs(60);

/// Two engines and one server of a plain service in two data centres.
pub(crate) const SMALL: Deployment = Deployment {
    name: "small",
    region: "home",
    centres: &["east", "west"],
    model: "m",
    engines: 2,
    service: "crews",
    service_path: "/dispatch",
    service_servers: 1,
    organisations: &[
        Organisation { name: "one", share: 1.0 },
        Organisation { name: "two", share: 1.0 },
    ],
    load_concurrency: 1,
    recompute_price: 20.0,
    first_token_target_ms: 500,
    lengths: Lengths { instructions: 2_048, history: 2_048, histories: 2 },
};

/// A world of [`SMALL`] whose engines compute `scale` times faster than usual.
pub(crate) fn world(scale: f64) -> World {
    world_of(&SMALL, scale)
}

pub(crate) fn world_of(deployment: &'static Deployment, scale: f64) -> World {
    let engine = engine::Settings { scale, max_running: 64, ..engine::Settings::default() };
    let settings = world::Settings {
        engine,
        list_lag: Duration::from_millis(200),
        ..world::Settings::new(deployment)
    };
    let world = world::bind(settings).unwrap();
    wait("every instance to have the table", || world.seeds().iter().all(|it| serves(*it)));
    world
}

/// Waits until every instance has the table and knows servers.
fn warm_up(world: &World) {
    for entry in world.seeds() {
        wait("the table", || serves(entry));
        for ask in [chat("one", "warm up", true), dispatch("warm up", None)] {
            assert_own_answer(&ask, &Caller::fixed(entry).call(&ask));
        }
    }
    world.engines.iter().for_each(|it| it.forget_runs());
    world.services.iter().for_each(|it| it.forget_runs());
}

/// Whether an instance has the table.
pub(crate) fn serves(address: SocketAddr) -> bool {
    let key = format!("Bearer {}", deployment::key("one"));
    let request = ureq::get(format!("http://{address}/v1/models")).header("authorization", key);
    request.call().is_ok()
}

pub(crate) fn caller(world: &World) -> Caller {
    Caller::new("east", world.seeds())
}

pub(crate) fn chat(organisation: &str, text: &str, stream: bool) -> Ask {
    let body = json!({
        "model": "m", "stream": stream, "user": organisation,
        "messages": [{ "role": "user", "content": text }],
    });
    Ask {
        kind: Kind::Chat { stream },
        body: body.to_string(),
        key: Arc::from(deployment::key(organisation)),
        organisation: Arc::from(organisation),
        idempotency_key: None,
        priority: None,
        deadline: None,
    }
}

/// A dispatch, which must not run twice.
pub(crate) fn dispatch(text: &str, idempotency_key: Option<&str>) -> Ask {
    Ask {
        kind: Kind::Service { name: Arc::from("crews"), path: Arc::from("/dispatch") },
        body: json!({ "crew": text }).to_string(),
        key: Arc::from(deployment::key("one")),
        organisation: Arc::from("one"),
        idempotency_key: idempotency_key.map(str::to_owned),
        priority: None,
        deadline: None,
    }
}

/// Sends a request from a thread of its own.
pub(crate) fn send(world: &World, ask: Ask) -> JoinHandle<Outcome> {
    let mut caller = caller(world);
    thread::spawn(move || caller.call(&ask))
}

/// Sends a request from a thread of its own and stops all engines in the middle of its answer, once
/// the caller has some events. Returns the caller and the index of the engine that runs it.
///
/// A test that only waits for some tokens races with the rest of the answer: on a busy machine all of
/// it may have passed before the test goes on.
pub(crate) fn send_and_hold(world: &World, ask: Ask) -> (JoinHandle<Outcome>, usize) {
    const HELD_AT: u32 = 5;
    world.engines.iter().for_each(|it| it.hold_at(HELD_AT));
    let mut caller = caller(world);
    let events = caller.events();
    let thread = thread::spawn(move || caller.call(&ask));
    let engine = generating_engine(world, HELD_AT);
    wait("events at the caller", || 0 < events.load(Ordering::SeqCst));
    (thread, engine)
}

/// Fails unless the outcome is the whole answer to `ask`.
pub(crate) fn assert_own_answer(ask: &Ask, outcome: &Outcome) {
    let tries: Vec<String> = outcome.tries.iter().map(|it| format!("{:?}", it.end)).collect();
    assert_eq!(outcome.end, End::Answered, "after {}", tries.join(", "));
    if let Kind::Service { path, .. } = &ask.kind {
        let answer: service::Answer = serde_json::from_slice(&outcome.body).unwrap();
        assert_eq!(answer, service::answer("POST", path, ask.body.as_bytes()));
        return;
    }
    let body: Value = serde_json::from_str(&ask.body).unwrap();
    let expected = engine::answer(Endpoint::Chat, &body).unwrap();
    assert_eq!(outcome.tokens.concat(), expected.concat());
}

/// Waits until `condition` holds.
pub(crate) fn wait(what: &str, mut condition: impl FnMut() -> bool) {
    wait_for(what, || condition().then_some(()));
}

/// Waits until `look` finds something.
pub(crate) fn wait_for<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let begin = Instant::now();
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(begin.elapsed() < PATIENCE, "still waiting for {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Index of the engine that a request reached.
pub(crate) fn busy_engine(world: &World) -> usize {
    wait_for("a request at an engine", || {
        world.engines.iter().position(|it| 0 < it.running() + it.waiting())
    })
}

/// Waits until an engine has generated `tokens` tokens of a request; returns the engine's index.
pub(crate) fn generating_engine(world: &World, tokens: u32) -> usize {
    wait_for("tokens", || {
        let is_far = |it: &engine::Handle| it.runs().iter().any(|run| tokens <= run.generated);
        world.engines.iter().position(is_far)
    })
}

/// Index of the entry instance that holds an open request.
pub(crate) fn busy_entry(world: &World) -> usize {
    wait_for("an instance with an open request", || {
        let is_busy = |it: &SocketAddr| health(*it)["open_requests"].as_u64() != Some(0);
        world.operators().iter().position(is_busy)
    })
}

pub(crate) fn health(operators: SocketAddr) -> Value {
    let config = ureq::Agent::config_builder().http_status_as_error(false).build();
    let agent: ureq::Agent = config.into();
    let mut response = agent.get(format!("http://{operators}/healthz")).call().unwrap();
    serde_json::from_str(&response.body_mut().read_to_string().unwrap()).unwrap()
}

/// How often each dispatch ran.
pub(crate) fn dispatches(world: &World) -> HashMap<String, usize> {
    let mut counts = HashMap::new();
    for run in world.services.iter().flat_map(|it| it.runs()) {
        *counts.entry(String::from_utf8(run.body.to_vec()).unwrap()).or_default() += 1;
    }
    counts
}
