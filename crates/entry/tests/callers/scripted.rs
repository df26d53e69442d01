//! An engine whose answers the test writes piece by piece.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::mpsc,
    thread,
    time::Duration,
};

use shallotlead_entry::daemon;
use shallotlead_standin::platform;

use crate::{
    bench::{self, KEY, PATIENCE, wait_for},
    client,
};

const LIFE: &str = "7";

/// A request that the engine took. The test writes the answer.
#[derive(Debug)]
pub(crate) struct Taken {
    pub(crate) head: String,
    stream: TcpStream,
}

/// Starts an engine; the requests that it takes come over the channel.
pub(crate) fn bind() -> (SocketAddr, mpsc::Receiver<Taken>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let tx = tx.clone();
            thread::spawn(move || serve(stream.unwrap(), &tx));
        }
    });
    (address, rx)
}

/// An instance, with more lines in `[callers]`, before a scripted engine for every model; requests for
/// `model` reach it.
pub(crate) fn open(callers: &str, model: &str) -> Bench {
    let (engine, taken) = bind();
    let platform = bench::platform(engine, engine, engine);
    let instance = bench::instance("e1", callers, &platform);
    let address = instance.address();
    wait_until_up(address, &taken, model);
    Bench { instance, platform, address, taken }
}

/// One instance before a scripted engine.
pub(crate) struct Bench {
    pub(crate) instance: daemon::Handle,
    pub(crate) platform: platform::Handle,
    pub(crate) address: SocketAddr,
    pub(crate) taken: mpsc::Receiver<Taken>,
}

/// Waits until requests reach the engine; they are refused until its first health check.
pub(crate) fn wait_until_up(address: SocketAddr, taken: &mpsc::Receiver<Taken>, model: &str) {
    let body = format!(r#"{{"model":"{model}","prompt":"x","stream":true}}"#);
    wait_for(|| {
        let body = body.clone();
        let caller = thread::spawn(move || {
            client::post(address, "/v1/completions", KEY, &[], body.as_bytes()).status
        });
        while !caller.is_finished() {
            if let Ok(mut request) = taken.recv_timeout(Duration::from_millis(10)) {
                request.begin();
                request.end(1);
            }
        }
        caller.join().unwrap() == 200
    });
}

fn serve(stream: TcpStream, tx: &mpsc::Sender<Taken>) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    loop {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            if reader.read_line(&mut head)? == 0 {
                return Ok(());
            }
        }
        if head.starts_with("GET /health") {
            reply(&stream, r#"{"incarnation":7,"state":"up","model":"m","weights":1}"#)?;
        } else if head.starts_with("GET ") {
            // No load report and no cache events.
            reply(
                &stream,
                r#"{"incarnation":7,"first":1,"events":[],"age_ms":0,"waiting":0,"running":0,"waiting_tokens":0,"used_blocks":0,"total_blocks":10}"#,
            )?;
        } else {
            let length = header(&head, "content-length").unwrap_or_default().parse().unwrap_or(0);
            io::copy(&mut io::Read::take(&mut reader, length), &mut io::sink())?;
            // Nobody waits for it when the test is over.
            let _ = tx.send(Taken { head, stream: stream.try_clone()? });
            // A connection with a scripted answer is the test's alone.
            return Ok(());
        }
    }
}

fn reply(mut stream: &TcpStream, body: &str) -> io::Result<()> {
    let length = body.len();
    write!(
        stream,
        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\nx-incarnation: {LIFE}\r\n\
         content-length: {length}\r\n\r\n{body}"
    )
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|it| {
        let (found, value) = it.split_once(':')?;
        found.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

impl Taken {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        header(&self.head, name)
    }

    /// Begins a stream of events.
    pub(crate) fn begin(&mut self) {
        let attempt = self.header("x-attempt").unwrap().to_owned();
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-incarnation: {LIFE}\r\n\
             x-attempt: {attempt}\r\nconnection: close\r\n\r\n"
        );
        self.stream.write_all(head.as_bytes()).unwrap();
    }

    /// Sends one token's event.
    pub(crate) fn token(&mut self, number: u32, text: &str) -> io::Result<()> {
        let event = format!(
            "id: {number}\ndata: {{\"choices\":[{{\"text\":\"{text}\",\"finish_reason\":null}}]}}\n\n"
        );
        self.stream.write_all(event.as_bytes())
    }

    /// Ends the stream.
    pub(crate) fn end(mut self, number: u32) {
        let event = format!(
            "id: {number}\ndata: {{\"choices\":[{{\"text\":\"\",\"finish_reason\":\"stop\"}}],\
             \"usage\":{{\"prompt_tokens\":1,\"completion_tokens\":{number}}}}}\n\ndata: [DONE]\n\n"
        );
        self.stream.write_all(event.as_bytes()).unwrap();
    }

    /// Sends tokens of `size` bytes until nobody takes more for two seconds; the bytes sent.
    pub(crate) fn flood(&mut self, size: usize, bound: usize) -> usize {
        self.stream.set_write_timeout(Some(Duration::from_secs(2))).unwrap();
        let text = "x".repeat(size);
        let mut number = 0;
        while number as usize * size < bound {
            number += 1;
            if self.token(number, &text).is_err() {
                break;
            }
        }
        number as usize * size
    }

    /// Waits until the instance closes the connection.
    pub(crate) fn wait_for_close(&mut self) {
        self.stream.set_read_timeout(Some(PATIENCE)).unwrap();
        let read = io::Read::read(&mut self.stream, &mut [0; 1]);
        assert!(!matches!(&read, Err(err) if err.kind() == io::ErrorKind::WouldBlock), "{read:?}");
    }
}
