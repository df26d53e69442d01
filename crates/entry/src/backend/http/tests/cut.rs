//! Answers whose server stops within them.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

use shallotlead_policy::chain::Chain;

use super::{Http, call, control, read_request};
use crate::{
    backend::{Backend, call::Call, failure::Failure},
    exchange::Operation,
};

const HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n";
const BODY: &str = "all of it";

/// How the server ends the connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    Closed,
    Reset,
    /// The same as a close, and nothing listens any more.
    Crash,
    /// The same as a close, after pauses within the head.
    ClosedAfterPauses,
}

const ENDS: [End; 4] = [End::Closed, End::Reset, End::Crash, End::ClosedAfterPauses];
/// Interval of the positions that are tried where the server pauses.
const PAUSED_STEP: usize = 9;

/// One call that is answered with `answer` and ends with it.
fn server(answer: Vec<u8>, end: End) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        match end {
            // Closing a socket with unread input resets the connection.
            End::Reset => drop(stream.peek(&mut [0]).unwrap()),
            _ => drop(read_request(&mut stream)),
        }
        match end {
            End::Crash => drop(listener),
            _ => std::mem::forget(listener),
        }
        write(&mut stream, &answer, end)
    });
    address
}

fn write(stream: &mut TcpStream, answer: &[u8], end: End) -> io::Result<()> {
    if end != End::ClosedAfterPauses {
        return stream.write_all(answer);
    }
    for piece in answer.chunks(answer.len().div_ceil(3).max(1)) {
        stream.write_all(piece)?;
        thread::sleep(Duration::from_millis(2));
    }
    Ok(())
}

fn service_call(address: SocketAddr, method: &str) -> Call {
    let operation =
        Operation::Service { method: Arc::from(method), path: Arc::from("/x"), content_type: None };
    let chain = Chain { blocks: Arc::from([]), tokens: 0 };
    Call { operation, chain, incarnation: None, weights: None, resume_at: 0, ..call(address) }
}

/// The body that the call brings.
fn body(call: &Call) -> Result<String, Failure> {
    let mut answer = Http::new().attempt(call, &control())?;
    let mut body = String::new();
    answer.body.read_to_string(&mut body).map_err(|_| Failure::Lost)?;
    Ok(body)
}

fn length_framed() -> String {
    format!("{HEAD}content-length: {}\r\n\r\n{BODY}", BODY.len())
}

// A server stops within an answer with a length, with chunks, after an interim one, or within a redirect, whose head
// the client could take for whole. The caller would get a short answer framed as complete.
#[test]
fn answer_that_is_cut_is_an_error() {
    let answers = [
        length_framed(),
        format!("{HEAD}transfer-encoding: chunked\r\n\r\n9\r\n{BODY}\r\n0\r\n\r\n"),
        format!("HTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n{}", length_framed()),
        format!("HTTP/1.1 307 Moved\r\nlocation: /y\r\ncontent-length: 9\r\n\r\n{BODY}"),
    ];
    for answer in &answers {
        // After the last chunk only the end of an empty trailer is missing.
        let last_chunk = answer.find("\r\n0\r\n").map_or(answer.len(), |it| it + 5);
        let is_whole = |len: usize| last_chunk <= len;
        for end in ENDS {
            let step = if end == End::ClosedAfterPauses { PAUSED_STEP } else { 1 };
            for len in (0..answer.len()).step_by(step).filter(|it| !is_whole(*it)) {
                let address = server(answer.as_bytes()[..len].to_vec(), end);
                let read = body(&service_call(address, "GET"));
                assert_eq!(read, Err(Failure::Lost), "{end:?} {:?}", &answer[..len]);
            }
        }
        let address = server(answer.as_bytes().to_vec(), End::Closed);
        assert_eq!(body(&service_call(address, "GET")), Ok(BODY.to_owned()));
    }
}

// An answer without framing ends with its connection. One that is reset, or cut by a crash, isn't whole.
#[test]
fn answer_without_framing_that_is_cut_is_an_error() {
    let answer = format!("{HEAD}\r\n{BODY}");
    for end in [End::Reset, End::Crash] {
        for len in 0..=answer.len() {
            let address = server(answer.as_bytes()[..len].to_vec(), end);
            let read = body(&service_call(address, "GET"));
            assert_eq!(read, Err(Failure::Lost), "{end:?} {:?}", &answer[..len]);
        }
    }
    let address = server(answer.into_bytes(), End::Closed);
    assert_eq!(body(&service_call(address, "GET")), Ok(BODY.to_owned()));
}

// The same within the head of the answer to a HEAD request, which has a length and no body.
#[test]
fn answer_to_head_that_is_cut_is_an_error() {
    let answer = length_framed();
    let head = answer.len() - BODY.len();
    for len in 0..head {
        for end in [End::Closed, End::Reset] {
            let address = server(answer.as_bytes()[..len].to_vec(), end);
            let read = body(&service_call(address, "HEAD"));
            assert_eq!(read, Err(Failure::Lost), "{end:?} {:?}", &answer[..len]);
        }
    }
    let address = server(answer.as_bytes()[..head].to_vec(), End::Closed);
    assert_eq!(body(&service_call(address, "HEAD")), Ok(String::new()));
}
