//! Tests of the HTTP adapter against small servers on loopback.

mod cut;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, mpsc},
    thread::{self, JoinHandle},
};

use shallotlead_base::{
    id::{Attempt, Incarnation, Request, Weights},
    time::Time,
};
use shallotlead_policy::chain::{Block, Chain};

use super::Http;
use crate::{
    backend::{Backend, call::Call, control::Control, failure::Failure},
    exchange::Operation,
};

const ATTEMPT: Attempt = Attempt { request: Request(7), number: 2 };

/// Serves one connection with `serve` and gives back the request's text.
fn server(serve: impl FnOnce(&mut TcpStream) + Send + 'static) -> (SocketAddr, JoinHandle<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let thread = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let text = read_request(&mut stream);
        serve(&mut stream);
        text
    });
    (address, thread)
}

fn read_request(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut buf = [0; 1024];
    loop {
        let count = stream.read(&mut buf).unwrap();
        bytes.extend_from_slice(&buf[..count]);
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
        let length = head.lines().find_map(|it| it.strip_prefix("content-length: "));
        if count == 0 || length.map_or(0, |it| it.parse().unwrap()) <= body.len() {
            return text;
        }
    }
}

fn call(address: SocketAddr) -> Call {
    let blocks: Arc<[Block]> = Arc::from([Block(0x9f), Block(u64::MAX)]);
    Call {
        attempt: ATTEMPT,
        address,
        incarnation: Some(Incarnation(4)),
        operation: Operation::Chat { stream: true },
        body: Arc::from(*b"{}"),
        chain: Chain { blocks, tokens: 130 },
        weights: Some(Weights(3)),
        priority: 6,
        resume_at: 12,
        import: None,
    }
}

fn control() -> Control {
    Control::new(Time::MAX)
}

#[test]
fn attempt_carries_its_headers_and_brings_the_answer() {
    let (address, request) = server(|it| {
        it.write_all(
            b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-attempt: abc\r\n\
              x-incarnation: 4\r\ncontent-length: 5\r\n\r\nhello",
        )
        .unwrap();
    });
    let mut answer = Http::new().attempt(&call(address), &control()).unwrap();
    let mut body = String::new();
    answer.body.read_to_string(&mut body).unwrap();
    assert_eq!(body, "hello");
    assert_eq!(answer.status, 200);
    assert_eq!(answer.attempt.as_deref(), Some("abc"));
    assert_eq!(answer.incarnation, Some(Incarnation(4)));
    assert!(!answer.not_run);
    let request = request.join().unwrap();
    for line in [
        "POST /v1/chat/completions HTTP/1.1",
        "x-attempt: 00000000000000000000000000000007-2",
        "x-incarnation: 4",
        "x-blocks: 000000000000009f,ffffffffffffffff",
        "x-prompt-tokens: 130",
        "x-weights: 3",
        "x-priority: 6",
        "x-resume-at: 12",
    ] {
        assert!(request.lines().any(|it| it == line), "{line} is missing in\n{request}");
    }
}

#[test]
fn refused_connection_is_told_from_a_lost_one() {
    // A caller is told "not run" and sends a dispatch again, and two crews go out. The engine read
    // the request and died; the cause would be to take every transport error for a failed connect.
    let free = TcpListener::bind("127.0.0.1:0").unwrap();
    let closed = free.local_addr().unwrap();
    drop(free);
    let unreachable = Http::new().attempt(&call(closed), &control()).unwrap_err();
    assert_eq!(unreachable, Failure::Unreachable);

    let (address, request) = server(|_| {});
    let lost = Http::new().attempt(&call(address), &control()).unwrap_err();
    assert_eq!(lost, Failure::Lost);
    assert!(request.join().unwrap().ends_with("{}"));
}

// An answer with a status that is none was passed on to the caller.
#[test]
fn answer_whose_status_is_none_is_lost() {
    for status in ["000", "099", "600", "999"] {
        let head = format!("HTTP/1.1 {status} None\r\ncontent-length: 0\r\n\r\n");
        let (address, _request) = server(move |it| it.write_all(head.as_bytes()).unwrap());
        let answer = Http::new().attempt(&call(address), &control());
        assert_eq!(answer.map(|it| it.status).unwrap_err(), Failure::Lost, "{status}");
    }
}

#[test]
fn redirect_is_not_followed() {
    // A request that may run once would run at two places: a server that already ran it answers
    // with a redirect to another one, and the client follows by itself.
    let other = TcpListener::bind("127.0.0.1:0").unwrap();
    other.set_nonblocking(true).unwrap();
    let target = other.local_addr().unwrap();
    let (address, _request) = server(move |it| {
        let head = format!(
            "HTTP/1.1 307 Moved\r\nlocation: http://{target}/\r\ncontent-length: 0\r\n\r\n"
        );
        it.write_all(head.as_bytes()).unwrap();
    });
    let answer = Http::new().attempt(&call(address), &control()).unwrap();
    assert_eq!(answer.status, 307);
    assert!(other.accept().is_err());
}

#[test]
fn answer_cut_short_ends_with_an_error() {
    for framing in ["content-length: 50", "transfer-encoding: chunked"] {
        let (address, _request) = server(move |it| {
            write!(it, "HTTP/1.1 200 OK\r\n{framing}\r\n\r\n5\r\nhello\r\n").unwrap();
        });
        let mut answer = Http::new().attempt(&call(address), &control()).unwrap();
        assert!(answer.body.read_to_end(&mut Vec::new()).is_err(), "{framing}");
    }
}

#[test]
fn cancel_ends_a_call_that_waits() {
    // A caller that went away keeps a slot: the engine hangs, and the thread that waits for its
    // answer can't be ended from outside.
    let (release, released) = mpsc::channel::<()>();
    let (address, _request) = server(move |_| {
        let _ = released.recv();
    });
    let control = Arc::new(control());
    let (tx, rx) = mpsc::channel();
    let waiter = thread::spawn({
        let control = control.clone();
        move || {
            let res = Http::new().attempt(&call(address), &control);
            tx.send(()).unwrap();
            res.unwrap_err()
        }
    });
    assert!(rx.try_recv().is_err());
    control.cancel();
    rx.recv().unwrap();
    // Cancelled before or after the connection stood.
    assert!(matches!(waiter.join().unwrap(), Failure::Lost | Failure::Unreachable));
    drop(release);
}

#[test]
fn refusal_says_that_nothing_ran() {
    let (address, _request) = server(|it| {
        it.write_all(b"HTTP/1.1 503 Busy\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n").unwrap();
    });
    assert!(Http::new().attempt(&call(address), &control()).unwrap().not_run);
}

#[test]
fn a_success_that_says_not_run_ran() {
    let (address, _request) = server(|it| {
        it.write_all(b"HTTP/1.1 200 OK\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n").unwrap();
    });
    assert!(!Http::new().attempt(&call(address), &control()).unwrap().not_run);
}

#[test]
fn control_calls_read_their_answers() {
    let (address, _request) = server(|it| {
        let body =
            r#"{"incarnation":7,"first":42,"events":[{"stored":"9f"},{"evicted":"03"},"cleared"]}"#;
        write!(it, "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len()).unwrap();
    });
    let wait = std::time::Duration::from_millis(10);
    let feed = Http::new().events(address, Incarnation(7), 41, wait).unwrap();
    assert_eq!((feed.incarnation, feed.first, feed.events.len()), (Incarnation(7), 42, 3));

    let (address, _request) = server(|it| {
        let body = r#"{"incarnation":7,"state":"leaving","model":"m","weights":3,"role":"mixed"}"#;
        write!(it, "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len()).unwrap();
    });
    let health = Http::new().health(address).unwrap();
    assert_eq!(health.weights, Some(Weights(3)));
}
