//! Clients: each sends one request after the other on a connection that it keeps.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use crate::{
    http::Connection,
    record::{Received, Record},
};

/// Bytes of a body that are sent at a time.
const UPLOAD_PART: usize = 64 * 1024;

/// Time between the first requests of two clients.
const STAGGER: Duration = Duration::from_millis(17);

static LAST_ID: AtomicU64 = AtomicU64::new(0);

/// A new request id, which names the instance.
fn new_id(instance: &str) -> String {
    format!("{instance}.{}", LAST_ID.fetch_add(1, Ordering::SeqCst) + 1)
}

#[derive(Clone)]
pub struct Load {
    pub method: &'static str,
    pub host: &'static str,
    pub path: &'static str,
    pub deadline_ms: u64,
    pub body_bytes: usize,
    /// How long the client takes to send a body.
    pub upload: Duration,
    /// Pause between an answer and the next request.
    pub pause: Duration,
    /// Least time between the starts of two requests, whatever becomes of the first.
    pub period: Duration,
    /// How long the client waits before it reads an answer.
    pub reading_pause: Duration,
    /// Time limit of the client's own for an answer.
    pub timeout: Duration,
}

pub struct Clients {
    threads: Vec<JoinHandle<()>>,
    stops: Arc<AtomicBool>,
}

impl Clients {
    pub fn none() -> Self {
        Self { threads: Vec::new(), stops: Arc::default() }
    }

    /// Adds clients of this instance.
    pub fn add(
        &mut self,
        count: usize,
        name: &str,
        address: SocketAddr,
        load: &Load,
        record: &Record,
    ) {
        for number in 0..count {
            let (name, load, record, stops) =
                (name.to_owned(), load.clone(), record.clone(), self.stops.clone());
            self.threads.push(thread::spawn(move || {
                // They don't send in step.
                thread::sleep(STAGGER * number as u32);
                let mut connection = None;
                while !stops.load(Ordering::SeqCst) {
                    let id = new_id(&name);
                    let began = record.now();
                    send(&mut connection, &name, address, &load, &id, &record);
                    let left = load.period.saturating_sub(record.now() - began);
                    thread::sleep(left.max(load.pause));
                }
            }));
        }
    }

    /// Has them stop after their current requests, without waiting for that.
    pub fn stop_soon(self) {
        self.stops.store(true, Ordering::SeqCst);
    }

    pub fn stop(self) {
        self.stops.store(true, Ordering::SeqCst);
        for it in self.threads {
            let _ = it.join();
        }
    }
}

/// Sends one request, and records what comes back.
fn send(
    connection: &mut Option<Connection>,
    name: &str,
    address: SocketAddr,
    load: &Load,
    id: &str,
    record: &Record,
) {
    let sent = record.now();
    if connection.is_none() {
        *connection = Connection::open(address, load.timeout).ok();
    }
    let Some(open) = connection else {
        record.line(&format!("client: {id} to {name}: no connection"));
        return;
    };
    let is_kept = 0 < open.requests;
    open.requests += 1;
    let outcome = exchange(open, load, id);
    if outcome.as_ref().map_or(true, |it| it.closes) {
        *connection = None;
    }
    record.answer(sent, name, id, is_kept, &outcome);
}

fn exchange(open: &mut Connection, load: &Load, id: &str) -> io::Result<Received> {
    let head = format!(
        "{} {} HTTP/1.1\r\nHost: {}\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\nContent-Length: {}\r\n\r\n",
        load.method, load.path, load.host, load.deadline_ms, load.body_bytes
    );
    open.write(head.as_bytes())?;
    let body = vec![b'p'; load.body_bytes];
    let parts = body.chunks(UPLOAD_PART);
    let pause = load.upload / parts.len().max(1) as u32;
    for part in parts {
        open.write(part)?;
        thread::sleep(pause);
    }
    if !load.reading_pause.is_zero() {
        thread::sleep(load.reading_pause);
    }
    let head = open.read_head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let body_bytes = open.read_body(&head)?.len();
    Ok(Received { status: head.status(), body_bytes, closes: head.closes() })
}
