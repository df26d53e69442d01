//! A plain service, some of whose calls may not be repeated.

use std::{
    collections::{HashMap, VecDeque},
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use hyper::{Method, StatusCode, body::Bytes};
use serde::{Deserialize, Serialize};
use serde_json::json;
use shallotlead_base::hash;
use tokio::sync::watch;

use crate::{
    fault::Fault,
    http::{self, Handler, Reply, Request, Server},
    report::Lagged,
};

pub use crate::fault::Mode;

/// How to run a plain service.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Where it listens; port 0 takes a free one.
    pub address: SocketAddr,
    /// Name of the service, as `GET /health` says it.
    pub name: String,
    /// Which life of the server this is.
    pub incarnation: u64,
    /// Time that a call takes.
    pub latency: Duration,
    /// How long a load report lags.
    pub load_lag: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            name: "service".to_owned(),
            incarnation: 1,
            latency: Duration::from_millis(5),
            load_lag: Duration::from_millis(500),
        }
    }
}

/// Starts a plain service.
///
/// # Errors
/// The address can't be bound.
pub fn bind(settings: Settings) -> io::Result<Handle> {
    let service = Arc::new(Service {
        incarnation: AtomicU64::new(settings.incarnation),
        leaving: AtomicBool::new(false),
        running: AtomicU32::new(0),
        report: Lagged::new(settings.load_lag),
        runs: Mutex::default(),
        cuts: Mutex::default(),
        held: watch::Sender::new(false),
        fault: Fault::default(),
        settings,
    });
    let server = Server::bind(service.settings.address, Arc::clone(&service))?;
    server.spawn(report_load(Arc::clone(&service)));
    Ok(Handle { server, service })
}

/// The answer's body: a function of the call alone, so that a caller can tell its own answer.
pub fn answer(method: &str, path: &str, body: &[u8]) -> Answer {
    let call = hash::seeded(body, hash::stable(format!("{method} {path}").as_bytes()));
    Answer { confirmation: format!("{call:016x}") }
}

/// Body of an answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answer {
    /// Hash of the call.
    pub confirmation: String,
}

/// One call that ran.
#[derive(Clone, Debug)]
pub struct Run {
    /// The attempt that it carried, empty without one.
    pub attempt: String,
    /// Its method.
    pub method: String,
    /// Its path, without the query.
    pub path: String,
    /// Its body.
    pub body: Bytes,
    /// When it arrived.
    pub at: Instant,
}

/// Where to cut the next call's connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cut {
    /// Before the call runs.
    BeforeRun,
    /// After the call ran, instead of the answer.
    AfterRun,
}

/// A running service. Its run log outlives crashes.
#[derive(Debug)]
pub struct Handle {
    server: Server,
    service: Arc<Service>,
}

impl Handle {
    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets how calls are treated.
    pub fn set_mode(&self, mode: Mode) {
        self.service.fault.set_mode(mode);
    }

    /// Makes each call, reports included, take `delay` more.
    pub fn set_delay(&self, delay: Duration) {
        self.service.fault.set_delay(delay);
    }

    /// Cuts the connection of the next call that isn't planned to be cut yet.
    pub fn cut_next(&self, cut: Cut) {
        http::lock(&self.service.cuts).push_back(cut);
    }

    /// Lets calls run and holds their answers back until [`Handle::release`].
    pub fn hold(&self) {
        self.service.held.send_replace(true);
    }

    /// Gives the held answers out.
    pub fn release(&self) {
        self.service.held.send_replace(false);
    }

    /// Says in its health that it leaves. It still takes calls: that none come is the router's work.
    pub fn leave(&self) {
        self.service.leaving.store(true, Ordering::SeqCst);
    }

    /// Cuts all connections and stops listening.
    pub fn kill(&self) {
        self.server.kill();
    }

    /// Starts the next life on the same address.
    ///
    /// # Errors
    /// The address can't be bound.
    pub fn restart(&self) -> io::Result<()> {
        self.server.kill();
        self.service.incarnation.fetch_add(1, Ordering::SeqCst);
        self.service.running.store(0, Ordering::SeqCst);
        self.service.leaving.store(false, Ordering::SeqCst);
        self.server.rebind(Arc::clone(&self.service))?;
        self.server.spawn(report_load(Arc::clone(&self.service)));
        Ok(())
    }

    /// All calls that ran, oldest first.
    pub fn runs(&self) -> Vec<Run> {
        http::lock(&self.service.runs).clone()
    }

    /// Empties the run log.
    pub fn forget_runs(&self) {
        http::lock(&self.service.runs).clear();
    }

    /// How often each body ran under `path`.
    pub fn runs_by_body(&self, path: &str) -> HashMap<Bytes, usize> {
        let mut counts = HashMap::new();
        for run in http::lock(&self.service.runs).iter().filter(|it| it.path == path) {
            *counts.entry(run.body.clone()).or_default() += 1;
        }
        counts
    }
}

#[derive(Debug)]
struct Service {
    settings: Settings,
    incarnation: AtomicU64,
    leaving: AtomicBool,
    running: AtomicU32,
    report: Lagged<u32>,
    runs: Mutex<Vec<Run>>,
    cuts: Mutex<VecDeque<Cut>>,
    held: watch::Sender<bool>,
    fault: Fault,
}

async fn report_load(service: Arc<Service>) {
    service.report.sample_forever(|| service.running.load(Ordering::SeqCst)).await;
}

/// A call under way, counted until it is dropped.
struct Running<'a>(&'a AtomicU32);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        let _ = self.0.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |it| it.checked_sub(1));
    }
}

impl Handler for Service {
    async fn handle(self: Arc<Self>, request: Request) -> Reply {
        if let Some(reply) = self.fault.gate().await {
            return reply;
        }
        let incarnation = self.incarnation.load(Ordering::SeqCst);
        let reply = match (&request.method, request.path.as_str()) {
            (&Method::GET, "/health") => self.health(),
            (&Method::GET, "/load") => self.load(),
            _ if request.number("x-incarnation").is_some_and(|it| it != incarnation) => {
                Reply::not_run(StatusCode::CONFLICT, "another incarnation was meant")
            }
            _ => self.call(&request).await,
        };
        reply.with("x-incarnation", incarnation)
    }
}

impl Service {
    fn health(&self) -> Reply {
        let leaving = self.leaving.load(Ordering::SeqCst);
        Reply::json(&json!({
            "incarnation": self.incarnation.load(Ordering::SeqCst),
            "state": if leaving { "leaving" } else { "up" },
            "model": self.settings.name,
            "weights": 0,
            "role": "mixed",
        }))
    }

    fn load(&self) -> Reply {
        let (running, age) = self.report.get().unwrap_or_default();
        Reply::json(&json!({
            "incarnation": self.incarnation.load(Ordering::SeqCst),
            "age_ms": age.as_millis(),
            "waiting": 0,
            "running": running,
            "waiting_tokens": 0,
            "used_blocks": 0,
            "total_blocks": 0,
        }))
    }

    async fn call(&self, request: &Request) -> Reply {
        let cut = http::lock(&self.cuts).pop_front();
        if cut == Some(Cut::BeforeRun) {
            return Reply::Cut;
        }
        self.running.fetch_add(1, Ordering::SeqCst);
        let _running = Running(&self.running);
        let attempt = request.header("x-attempt").unwrap_or_default().to_owned();
        http::lock(&self.runs).push(Run {
            attempt: attempt.clone(),
            method: request.method.to_string(),
            path: request.path.clone(),
            body: request.body.clone(),
            at: Instant::now(),
        });
        tokio::time::sleep(self.settings.latency).await;
        // An error says that the sender is gone, and it lives as long as the service.
        let _ = self.held.subscribe().wait_for(|held| !held).await;
        if cut == Some(Cut::AfterRun) {
            return Reply::Cut;
        }
        let reply = Reply::json(&answer(request.method.as_str(), &request.path, &request.body));
        if attempt.is_empty() { reply } else { reply.with("x-attempt", attempt) }
    }
}
