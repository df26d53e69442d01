//! Answers, pages and refusals.

use std::thread;

use serde_json::{Value, json};
use shallotlead_standin::{engine, service};

use crate::{
    bench::{Bench, KEY, PATIENCE, SMALL_KEY, wait_for},
    client::{self, Connection},
    scripted,
};

const STREAM: &str =
    r#"{"model":"m","prompt":"the stairwell is damp","stream":true,"max_tokens":12}"#;

// A surveyor waits in front of an empty page until the whole answer is there. A layer between the
// engine and the caller holds events back until a buffer is full. Here the engine sends the second
// event only after the caller has the first.
#[test]
fn the_first_event_reaches_the_caller_before_the_second_exists() {
    let bench = scripted::open("", "m");
    let (address, taken) = (bench.address, &bench.taken);
    let caller = thread::spawn(move || {
        let mut connection = Connection::open(address);
        connection.request("POST", "/v1/completions", KEY, &[], STREAM.as_bytes());
        connection
    });
    let mut request = taken.recv_timeout(PATIENCE).unwrap();
    let mut connection = caller.join().unwrap();
    request.begin();
    request.token(1, "a").unwrap();
    assert_eq!(connection.head().status, 200);
    assert_eq!(client::text(&[connection.event().unwrap()]), "a");
    request.token(2, "b").unwrap();
    assert_eq!(client::text(&[connection.event().unwrap()]), "b");
    request.end(3);
    assert_eq!(connection.events().len(), 1);
}

// A caller's screen stays empty for minutes while another caller's answer is not read at all. The
// answers of both pass the same instance. Its memory must not grow with the one that isn't read,
// and the other must not wait for it.
#[test]
fn a_slow_reader_holds_back_its_own_stream_only() {
    const BOUND: usize = 64 << 20;
    let bench = scripted::open("", "m");
    let (address, taken) = (bench.address, &bench.taken);
    let mut slow = Connection::open(address);
    slow.request("POST", "/v1/completions", KEY, &[], STREAM.as_bytes());
    let mut unread = taken.recv_timeout(PATIENCE).unwrap();
    unread.begin();
    let sent = unread.flood(32 << 10, BOUND);
    assert!(sent < BOUND / 2, "{sent} bytes were taken for a caller that reads nothing");
    let mut quick = Connection::open(address);
    quick.request("POST", "/v1/completions", KEY, &[], STREAM.as_bytes());
    let mut request = taken.recv_timeout(PATIENCE).unwrap();
    request.begin();
    request.token(1, "a").unwrap();
    assert_eq!(quick.head().status, 200);
    assert_eq!(client::text(&[quick.event().unwrap()]), "a");
    request.end(2);
    quick.events();
}

// A model engine works for hours on an answer that nobody reads. The caller has gone to sleep with
// its connection open, so that no close tells of it.
#[test]
fn a_caller_that_stops_reading_is_cut() {
    let bench = scripted::open("stall_timeout_ms = 500", "m");
    let (address, taken) = (bench.address, &bench.taken);
    let mut slow = Connection::open(address);
    slow.request("POST", "/v1/completions", KEY, &[], STREAM.as_bytes());
    let mut unread = taken.recv_timeout(PATIENCE).unwrap();
    unread.begin();
    unread.flood(32 << 10, 64 << 20);
    unread.wait_for_close();
}

#[test]
fn priority_is_capped_at_the_organisations_highest() {
    let bench = scripted::open("", "other");
    let (address, taken) = (bench.address, &bench.taken);
    let body = r#"{"model":"other","prompt":"x","stream":true}"#;
    for (key, asked, given) in [(KEY, "8", "8"), (SMALL_KEY, "8", "3"), (SMALL_KEY, "1", "1")] {
        let mut connection = Connection::open(address);
        let headers = [("x-priority", asked)];
        connection.request("POST", "/v1/completions", key, &headers, body.as_bytes());
        let mut request = taken.recv_timeout(PATIENCE).unwrap();
        assert_eq!(request.header("x-priority"), Some(given));
        request.begin();
        request.end(1);
        connection.head();
        connection.events();
    }
}

#[test]
fn a_long_prompt_and_its_block_hashes_reach_the_engine() {
    let bench = scripted::open("", "m");
    let (address, taken) = (bench.address, &bench.taken);
    for (blocks, bytes) in [(100, 100 << 8), (3_000, 1 << 20)] {
        let body = json!({"model": "m", "prompt": "x".repeat(bytes), "stream": true}).to_string();
        let mut connection = Connection::open(address);
        connection.request("POST", "/v1/completions", KEY, &[], body.as_bytes());
        let mut request = taken.recv_timeout(PATIENCE).unwrap();
        assert_eq!(request.header("x-blocks").unwrap().split(',').count(), blocks);
        request.begin();
        request.end(1);
        assert_eq!(connection.head().status, 200);
        connection.events();
    }
}

#[test]
fn a_stream_is_whole_in_order_and_signed() {
    let bench = Bench::open();
    let mut connection = client::stream(bench.address(), &[("x-request-id", "r-1")], STREAM);
    let events = connection.events();
    let expected =
        engine::answer(engine::Endpoint::Completion, &serde_json::from_str(STREAM).unwrap());
    assert_eq!(client::text(&events), expected.unwrap().concat());
    let numbers: Vec<u32> =
        events.iter().map(|it| it.id.split('.').nth(1).unwrap().parse().unwrap()).collect();
    assert!(numbers.is_sorted_by(|a, b| a < b), "{numbers:?}");
    let requests: Vec<_> = events.iter().map(|it| it.id.split('.').next().unwrap()).collect();
    assert!(requests.iter().all(|it| *it == requests[0]), "{requests:?}");
    let last: Value = serde_json::from_str(&events.last().unwrap().data).unwrap();
    assert!(last["usage"]["completion_tokens"].is_u64(), "{last}");
}

#[test]
fn a_whole_answer_tells_its_usage_and_prefix_hit() {
    let bench = Bench::open();
    let prompt = "moisture reading 41 percent at the north wall; ".repeat(50);
    let body =
        json!({"model": "m", "messages": [{"role": "user", "content": prompt}], "max_tokens": 4});
    let ask = || bench.post("/v1/chat/completions", &body.to_string());
    let first = ask();
    assert_eq!(first.status, 200);
    assert!(first.header("content-length").is_some());
    assert_eq!(first.json()["usage"]["completion_tokens"], 4);
    let second = ask();
    let cached = &second.json()["usage"]["prompt_tokens_details"]["cached_tokens"];
    assert!(0 < cached.as_u64().unwrap(), "{cached}");
    assert_eq!(second.header("x-shallotlead-cached-tokens"), Some(cached.to_string().as_str()));
    assert_eq!(second.header("x-shallotlead-server"), Some("m-1"));
    assert_eq!(first.json()["choices"], second.json()["choices"]);
}

#[test]
fn a_plain_service_gets_method_path_query_and_body() {
    let bench = Bench::open();
    let answer = client::send(
        bench.address(),
        "PUT",
        "/services/dispatch/crews/7?urgent=1",
        KEY,
        &[("content-type", "text/plain")],
        b"go",
    );
    assert_eq!(answer.status, 200);
    assert_eq!(answer.json(), json!(service::answer("PUT", "/crews/7", b"go")));
    let runs = bench.service.runs();
    let run = runs.last().unwrap();
    assert_eq!((run.method.as_str(), run.path.as_str()), ("PUT", "/crews/7"));
}

#[test]
fn every_refusal_says_what_and_why() {
    let bench = Bench::open();
    let before = (bench.engine.runs().len(), bench.service.runs().len());
    let post = |path: &str, key: &str, headers: &[(&str, &str)], body: &str| {
        client::post(bench.address(), path, key, headers, body.as_bytes())
    };
    let completions = "/v1/completions";
    let valid = r#"{"model":"m","prompt":"x"}"#;
    post(completions, "sk-unknown", &[], valid).assert_refused(401, 2003, "not-run");
    post(completions, SMALL_KEY, &[], valid).assert_refused(403, 3007, "not-run");
    let unknown = r#"{"model":"nosuch","prompt":"x"}"#;
    post(completions, KEY, &[], unknown).assert_refused(404, 2004, "not-run");
    let service = r#"{"model":"dispatch","prompt":"x"}"#;
    post(completions, KEY, &[], service).assert_refused(404, 2004, "not-run");
    post("/services/m/x", KEY, &[], "").assert_refused(404, 2004, "not-run");
    post("/services/nosuch/x", KEY, &[], "").assert_refused(404, 2004, "not-run");
    post("/v2/completions", KEY, &[], valid).assert_refused(404, 2004, "not-run");
    bench.get(completions).assert_refused(405, 2006, "not-run");
    let wrong = [
        ("x-priority", "10"),
        ("x-priority", "-1"),
        ("x-deadline-ms", "soon"),
        ("x-deadline-ms", "0"),
        ("x-idempotent", "maybe"),
        ("idempotency-key", ""),
    ];
    for header in wrong {
        let answer = post(completions, KEY, &[header], valid);
        answer.assert_refused(400, 2002, "not-run");
        let message = answer.json()["error"]["message"].as_str().unwrap().to_owned();
        assert!(message.contains(header.0), "{message}");
    }
    let twice = [("idempotency-key", "a"), ("idempotency-key", "b")];
    post(completions, KEY, &twice, valid).assert_refused(400, 2002, "not-run");
    for path in ["/services/dispatch/../m", "/services/dispatch/%2e%2E/m", "/services/dispatch/."] {
        post(path, KEY, &[], "").assert_refused(400, 2002, "not-run");
    }
    assert_eq!((bench.engine.runs().len(), bench.service.runs().len()), before);
}

#[test]
fn a_callers_request_id_is_echoed_in_answers_and_refusals() {
    let bench = Bench::open();
    let headers = [("x-request-id", "report 12")];
    for path in ["/v1/completions", "/nosuch"] {
        let answer = client::post(bench.address(), path, KEY, &headers, b"{}");
        assert_eq!(answer.header("x-request-id"), Some("report 12"));
        let own = answer.header("x-shallotlead-request").unwrap();
        assert_eq!(answer.json()["error"]["request"], own);
    }
}

#[test]
fn each_of_an_organisations_keys_works_and_lists_its_models() {
    let bench = Bench::open();
    let ids = |key: &str| -> Vec<String> {
        let answer = client::send(bench.address(), "GET", "/v1/models", key, &[], b"");
        assert_eq!(answer.status, 200);
        let page = answer.json();
        let data = page["data"].as_array().unwrap();
        data.iter().map(|it| it["id"].as_str().unwrap().to_owned()).collect()
    };
    assert_eq!(ids(KEY), ["m", "other"]);
    assert_eq!(ids(SMALL_KEY), ["other"]);
    assert_eq!(ids(&format!("{SMALL_KEY}-second")), ["other"]);
}

#[test]
fn the_address_page_needs_no_key() {
    let bench = Bench::open();
    let mut connection = Connection::open(bench.address());
    connection.write("GET /v1/addresses?centre=iasi-c HTTP/1.1\r\nhost: entry\r\n\r\n");
    let page = connection.answer().json();
    assert_eq!(page["ttl_ms"], 5000);
    let own = json!({"address": bench.address().to_string(), "instance": "e1", "centre": "cluj-a"});
    assert_eq!(page["addresses"], json!([own]));
}

// An engine computes for nobody: the caller closed its connection in the middle of an answer.
#[test]
fn a_caller_that_goes_away_ends_its_attempt() {
    let bench = Bench::open();
    let body = r#"{"model":"m","prompt":"long history","stream":true,"max_tokens":500}"#;
    let mut connection = client::stream(bench.address(), &[], body);
    connection.event().unwrap();
    bench.engine.hold();
    drop(connection);
    wait_for(|| bench.engine.runs().last().unwrap().end == engine::End::Cancelled);
    bench.engine.release();
}

#[test]
fn operators_see_health_and_metrics() {
    let bench = Bench::open();
    let operators = bench.instance.operators_address();
    let get = |path: &str| client::send(operators, "GET", path, "", &[], b"");
    let health = get("/healthz");
    assert_eq!((health.status, &health.json()["state"]), (200, &json!("up")));
    assert_eq!(health.json()["table"], 1);
    let metrics = String::from_utf8(get("/metrics").body).unwrap();
    assert!(metrics.contains("# TYPE shallotlead_attempts_total counter"), "{metrics}");
    assert_eq!(get("/nosuch").status, 404);
}
