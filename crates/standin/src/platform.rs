//! The platform's object API: versions, conditional writes, watches, call rates and outages.

mod store;

use std::{
    collections::BTreeMap,
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, AtomicUsize, Ordering},
    },
    time::Duration,
};

use base64::{Engine, prelude::BASE64_STANDARD};
use hyper::{Method, StatusCode};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde_json::{Value, json};
use shallotlead_base::store::MAX_VALUE;
use tokio::sync::watch;

use crate::{
    fault::Fault,
    http::{self, Handler, Reply, Request, Server},
    platform::store::{Change, Outcome, Store},
    rate::Bucket,
};

pub use crate::fault::Mode;

/// How to run a platform.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Where it listens; port 0 takes a free one.
    pub address: SocketAddr,
    /// Reads a second, each waiting watch counted as one.
    pub reads_per_second: f64,
    /// Writes a second.
    pub writes_per_second: f64,
    /// Changes kept for watches, for each kind.
    pub history: usize,
    /// Time that each call takes.
    pub latency: Duration,
    /// Seed of the losses.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            reads_per_second: 2_000.0,
            writes_per_second: 400.0,
            history: 10_000,
            latency: Duration::ZERO,
            seed: 0,
        }
    }
}

/// Starts a platform.
///
/// # Errors
/// The address can't be bound.
pub fn bind(settings: Settings) -> io::Result<Handle> {
    let fault = Fault::default();
    fault.set_delay(settings.latency);
    let platform = Arc::new(Platform {
        store: Mutex::new(Store::new(settings.history)),
        version: watch::Sender::new(0),
        reads: Mutex::new(Bucket::new(settings.reads_per_second)),
        writes: Mutex::new(Bucket::new(settings.writes_per_second)),
        watching: AtomicUsize::new(0),
        fault,
        lose: AtomicU32::new(0),
        lose_share: Mutex::new(0.0),
        random: Mutex::new(SmallRng::seed_from_u64(settings.seed)),
        calls: Mutex::default(),
    });
    let server = Server::bind(settings.address, Arc::clone(&platform))?;
    Ok(Handle { server, platform })
}

/// A running platform. Its objects outlive [`Handle::kill`], as the real one's outlive an outage.
#[derive(Debug)]
pub struct Handle {
    server: Server,
    platform: Arc<Platform>,
}

impl Handle {
    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets how calls are treated.
    pub fn set_mode(&self, mode: Mode) {
        self.platform.fault.set_mode(mode);
    }

    /// Makes each call take `delay`.
    pub fn set_delay(&self, delay: Duration) {
        self.platform.fault.set_delay(delay);
    }

    /// Lets the next `count` writes take effect and loses their answers.
    pub fn lose_answers(&self, count: u32) {
        self.platform.lose.store(count, Ordering::SeqCst);
    }

    /// Loses this share (0 to 1) of the writes' answers after the write took effect.
    pub fn lose_share(&self, share: f64) {
        *http::lock(&self.platform.lose_share) = share;
    }

    /// Stops listening and cuts all connections.
    pub fn kill(&self) {
        self.server.kill();
    }

    /// Listens again on the same address.
    ///
    /// # Errors
    /// The address can't be bound.
    pub fn restart(&self) -> io::Result<()> {
        self.server.rebind(Arc::clone(&self.platform))
    }

    /// Calls taken so far.
    pub fn calls(&self) -> Vec<Count> {
        let calls = http::lock(&self.platform.calls);
        let counts = calls.iter().map(|((operation, kind), tally)| Count {
            operation: *operation,
            kind: kind.clone(),
            taken: tally.taken,
            limited: tally.limited,
        });
        counts.collect()
    }

    /// Watches that wait now.
    pub fn watching(&self) -> usize {
        self.platform.watching.load(Ordering::SeqCst)
    }

    /// Value and version of an object, read beside the API.
    pub fn object(&self, kind: &str, name: &str) -> Option<(u64, Arc<[u8]>)> {
        http::lock(&self.platform.store).get(kind, name)
    }

    /// Writes an object beside the API, whatever its version; returns the new one.
    pub fn write(&self, kind: &str, name: &str, value: &[u8]) -> u64 {
        let mut store = http::lock(&self.platform.store);
        let version = store.write(kind, name, Some(Arc::from(value)));
        self.platform.version.send_replace(version);
        version
    }
}

/// One kind of call.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Operation {
    /// Remove an object.
    Delete,
    /// Read an object.
    Get,
    /// Read all objects of a kind.
    List,
    /// Write an object.
    Put,
    /// Wait for changes of a kind.
    Watch,
}

/// How often one call came.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Count {
    /// The call.
    pub operation: Operation,
    /// Kind of the objects.
    pub kind: String,
    /// Calls taken, refused ones included.
    pub taken: u64,
    /// Of these, calls refused because the rate was used up.
    pub limited: u64,
}

#[derive(Debug)]
struct Platform {
    store: Mutex<Store>,
    version: watch::Sender<u64>,
    reads: Mutex<Bucket>,
    writes: Mutex<Bucket>,
    watching: AtomicUsize,
    fault: Fault,
    lose: AtomicU32,
    lose_share: Mutex<f64>,
    random: Mutex<SmallRng>,
    calls: Mutex<BTreeMap<(Operation, String), Tally>>,
}

#[derive(Debug, Default)]
struct Tally {
    taken: u64,
    limited: u64,
}

/// A watch that waits, counted until it is dropped.
struct Waiting<'a>(&'a AtomicUsize);

impl<'a> Waiting<'a> {
    fn new(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::SeqCst);
        Self(count)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Handler for Platform {
    async fn handle(self: Arc<Self>, request: Request) -> Reply {
        let Some((operation, kind, name)) = route(&request) else {
            return Reply::error(StatusCode::NOT_FOUND, "no such call");
        };
        if !is_name(&kind) || !name.as_deref().is_none_or(is_name) {
            return Reply::error(StatusCode::BAD_REQUEST, "kind or name is not valid");
        }
        if let Some(reply) = self.fault.gate().await {
            return reply;
        }
        if let Err(wait) = self.count(operation, &kind) {
            return limited(wait);
        }
        let name = name.unwrap_or_default();
        match operation {
            Operation::Get => self.get(&kind, &name),
            Operation::List => self.list(&kind),
            Operation::Put if MAX_VALUE < request.body.len() => {
                Reply::error(StatusCode::PAYLOAD_TOO_LARGE, "a value holds at most 1 MiB")
            }
            Operation::Put => self.change(&request, &kind, &name, Some(Arc::from(&*request.body))),
            Operation::Delete => self.change(&request, &kind, &name, None),
            Operation::Watch => self.watch(&request, &kind).await,
        }
    }
}

impl Platform {
    /// Counts the call, and takes it from its rate.
    fn count(&self, operation: Operation, kind: &str) -> Result<(), Duration> {
        let taken = match operation {
            Operation::Put | Operation::Delete => http::lock(&self.writes).take(0.0),
            Operation::Get | Operation::List | Operation::Watch => {
                let held = self.watching.load(Ordering::SeqCst) as f64;
                http::lock(&self.reads).take(held)
            }
        };
        let mut calls = http::lock(&self.calls);
        let tally = calls.entry((operation, kind.to_owned())).or_default();
        tally.taken += 1;
        tally.limited += u64::from(taken.is_err());
        taken
    }

    fn get(&self, kind: &str, name: &str) -> Reply {
        match http::lock(&self.store).get(kind, name) {
            Some((version, value)) => {
                Reply::bytes(StatusCode::OK, value.to_vec()).with("x-version", version)
            }
            None => Reply::error(StatusCode::NOT_FOUND, "no such object"),
        }
    }

    fn list(&self, kind: &str) -> Reply {
        let store = http::lock(&self.store);
        let objects: Vec<Value> = store
            .list(kind)
            .map(|(name, version, value)| {
                json!({ "name": name, "version": version, "value": BASE64_STANDARD.encode(value) })
            })
            .collect();
        Reply::json(&json!({ "version": store.version(), "objects": objects }))
    }

    fn change(&self, request: &Request, kind: &str, name: &str, value: Option<Arc<[u8]>>) -> Reply {
        let Some(expected) = request.number("x-expected") else {
            return Reply::error(StatusCode::BAD_REQUEST, "x-expected is missing");
        };
        match http::lock(&self.store).change(kind, name, expected, value) {
            Outcome::Done(version) => {
                self.version.send_replace(version);
                if self.loses_answer() {
                    return Reply::Cut;
                }
                Reply::empty(StatusCode::OK).with("x-version", version)
            }
            Outcome::Conflict(current) => {
                let (version, value) = current.unwrap_or_default();
                Reply::bytes(StatusCode::PRECONDITION_FAILED, value.to_vec())
                    .with("x-version", version)
            }
        }
    }

    fn loses_answer(&self) -> bool {
        let counted = self
            .lose
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |it| it.checked_sub(1))
            .is_ok();
        let share = http::lock(&self.lose_share).clamp(0.0, 1.0);
        counted || http::lock(&self.random).random_bool(share)
    }

    async fn watch(&self, request: &Request, kind: &str) -> Reply {
        let Some(after) = request.parameter("after") else {
            return Reply::error(StatusCode::BAD_REQUEST, "after is missing");
        };
        let wait = Duration::from_millis(request.parameter("wait_ms").unwrap_or(0)).min(MAX_WAIT);
        let _waiting = Waiting::new(&self.watching);
        let mut version = self.version.subscribe();
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            version.mark_unchanged();
            if let Some(reply) = self.changes(kind, after, false) {
                return reply;
            }
            let waited = tokio::time::timeout_at(deadline, version.changed()).await;
            if waited.is_err() {
                let over = || Reply::error(StatusCode::GONE, "after is too old");
                return self.changes(kind, after, true).unwrap_or_else(over);
            }
        }
    }

    /// The changes after `after`; `None` when there are none and an empty answer isn't wanted yet.
    fn changes(&self, kind: &str, after: u64, empty: bool) -> Option<Reply> {
        let store = http::lock(&self.store);
        let Some(changes) = store.changes(kind, after) else {
            return Some(Reply::error(StatusCode::GONE, "after is too old"));
        };
        if changes.is_empty() && !empty {
            return None;
        }
        let changes: Vec<Value> = changes.into_iter().map(change_json).collect();
        Some(Reply::json(&json!({ "version": store.version(), "changes": changes })))
    }
}

/// Longest that a watch waits.
const MAX_WAIT: Duration = Duration::from_secs(60);

fn change_json(it: &Change) -> Value {
    match &it.value {
        Some(value) => json!({
            "name": it.name, "version": it.version, "value": BASE64_STANDARD.encode(value),
        }),
        None => json!({ "name": it.name, "version": it.version, "deleted": true }),
    }
}

fn limited(wait: Duration) -> Reply {
    Reply::not_run(StatusCode::TOO_MANY_REQUESTS, "the rate is used up")
        .with("retry-after", wait.as_secs_f64().ceil())
}

fn route(request: &Request) -> Option<(Operation, String, Option<String>)> {
    match (&request.method, request.segments().as_slice()) {
        (&Method::GET, ["objects", kind]) => Some((Operation::List, (*kind).to_owned(), None)),
        (&Method::GET, ["watch", kind]) => Some((Operation::Watch, (*kind).to_owned(), None)),
        (method, ["objects", kind, name]) => {
            let operation = match *method {
                Method::GET => Operation::Get,
                Method::PUT => Operation::Put,
                Method::DELETE => Operation::Delete,
                _ => return None,
            };
            Some((operation, (*kind).to_owned(), Some((*name).to_owned())))
        }
        _ => None,
    }
}

fn is_name(text: &str) -> bool {
    let is_allowed = |it: u8| it.is_ascii_alphanumeric() || matches!(it, b'.' | b'_' | b'-');
    (1..=MAX_NAME).contains(&text.len()) && text.bytes().all(is_allowed)
}

/// Longest name, in bytes.
const MAX_NAME: usize = 200;
