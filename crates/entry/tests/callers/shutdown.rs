//! Leaving without cutting anything short.

use std::thread;

use crate::{
    bench::{Bench, KEY, PATIENCE, wait_for},
    client::{self, Connection},
    scripted,
};

const STREAMS: usize = 50;
const TOKENS: u32 = 30;
const TOKEN_BYTES: usize = 64 << 10;

// Fifty tenants' letters break off when an operator replaces an instance. The instance must finish
// what it has, send new work elsewhere, and only then end.
#[test]
fn a_graceful_shutdown_finishes_fifty_open_streams() {
    let bench = Bench::with("");
    let address = bench.address();
    let body = r#"{"model":"m","prompt":"letter","stream":true,"max_tokens":20}"#;
    let mut streams = Vec::new();
    for _ in 0..STREAMS {
        streams.push(Connection::open(address));
    }
    bench.engine.hold();
    for stream in &mut streams {
        stream.request("POST", "/v1/completions", KEY, &[], body.as_bytes());
    }
    let operators = bench.instance.operators_address();
    let health = || client::send(operators, "GET", "/healthz", "", &[], b"");
    wait_for(|| health().json()["open_requests"] == STREAMS);
    let mut idle = Connection::open(address);
    let Bench { engine, instance, .. } = bench;
    let shutdown = thread::spawn(move || instance.shutdown());
    let refused = || client::post(address, "/v1/completions", KEY, &[], body.as_bytes());
    wait_for(|| health().status == 503);
    refused().assert_refused(503, 3006, "not-run");
    assert_eq!(refused().header("retry-after"), Some("0"));
    idle.request("POST", "/v1/completions", KEY, &[], body.as_bytes());
    idle.answer().assert_refused(503, 3006, "not-run");
    let page = client::send(address, "GET", "/v1/addresses", KEY, &[], b"");
    assert_eq!(page.json()["addresses"], serde_json::json!([]));
    engine.release();
    for stream in &mut streams {
        let head = stream.head();
        assert_eq!(head.status, 200, "{head:?}");
        stream.events();
    }
    drop(streams);
    // Whoever kept a connection sees it end; a connection that the instance still served would go on.
    assert!(idle.is_closed());
    drop(idle);
    shutdown.join().unwrap();
}

// A caller on a slow line gets half of its answer: the engine was done, the instance had nothing to
// wait for any more, and ended while most of the answer still waited for the caller to read.
#[test]
fn a_graceful_shutdown_waits_for_a_slow_reader() {
    let scripted::Bench { instance, platform: _platform, address, taken } = scripted::open("", "m");
    let operators = instance.operators_address();
    let body = r#"{"model":"m","prompt":"long","stream":true}"#;
    let mut slow = Connection::open(address);
    slow.request("POST", "/v1/completions", KEY, &[], body.as_bytes());
    let mut request = taken.recv_timeout(PATIENCE).unwrap();
    request.begin();
    let text = "x".repeat(TOKEN_BYTES);
    for number in 1..=TOKENS {
        request.token(number, &text).unwrap();
    }
    request.end(TOKENS + 1);
    let health = || client::send(operators, "GET", "/healthz", "", &[], b"");
    wait_for(|| health().json()["open_requests"] == 0);
    let mut idle = Connection::open(address);
    let shutdown = thread::spawn(move || instance.shutdown());
    // Connections without an answer under way are closed when the instance is about to end.
    assert!(idle.is_closed());
    drop(idle);
    assert_eq!(slow.head().status, 200);
    assert_eq!(client::text(&slow.events()).len(), TOKENS as usize * TOKEN_BYTES);
    drop(slow);
    shutdown.join().unwrap();
}
