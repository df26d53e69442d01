//! The platform's list of instances, which lags.

use std::{
    collections::VecDeque,
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::{
    fault::Fault,
    http::{self, Handler, Reply, Request, Server},
};

pub use crate::fault::Mode;

/// How to run a list.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Where it listens; port 0 takes a free one.
    pub address: SocketAddr,
    /// How long a change takes to show.
    pub lag: Duration,
    /// Instances listed from the start.
    pub instances: Vec<Instance>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            lag: Duration::from_secs(10),
            instances: Vec::new(),
        }
    }
}

/// One listed entry instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Instance {
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub centre: String,
    /// Its region.
    pub region: String,
    /// Where callers connect.
    pub address: SocketAddr,
    /// Where other instances connect.
    pub peer: SocketAddr,
    /// Live or leaving.
    pub state: State,
}

/// What the list says of an instance.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It serves.
    #[default]
    Live,
    /// It is shutting down.
    Leaving,
}

/// Starts a list.
///
/// # Errors
/// The address can't be bound.
pub fn bind(settings: Settings) -> io::Result<Handle> {
    let list = Arc::new(List {
        lag: settings.lag,
        entries: Mutex::new(Entries { now: settings.instances.clone(), ..Entries::default() }),
        fault: Fault::default(),
    });
    http::lock(&list.entries).shown = settings.instances;
    let server = Server::bind(settings.address, Arc::clone(&list))?;
    Ok(Handle { server, list })
}

/// A running list.
#[derive(Debug)]
pub struct Handle {
    server: Server,
    list: Arc<List>,
}

impl Handle {
    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets how calls are treated.
    pub fn set_mode(&self, mode: Mode) {
        self.list.fault.set_mode(mode);
    }

    /// Makes each call take `delay`.
    pub fn set_delay(&self, delay: Duration) {
        self.list.fault.set_delay(delay);
    }

    /// Adds or replaces an instance; it shows after the lag.
    pub fn put(&self, instance: Instance) {
        self.list.put(instance);
    }

    /// Removes an instance; it disappears after the lag.
    pub fn remove(&self, name: &str) {
        self.list.remove(name);
    }

    /// Shows all changes at once.
    pub fn catch_up(&self) {
        let mut entries = http::lock(&self.list.entries);
        entries.pending.clear();
        entries.shown = entries.now.clone();
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
        self.server.rebind(Arc::clone(&self.list))
    }
}

#[derive(Debug)]
struct List {
    lag: Duration,
    entries: Mutex<Entries>,
    fault: Fault,
}

#[derive(Debug, Default)]
struct Entries {
    now: Vec<Instance>,
    shown: Vec<Instance>,
    /// States of the list that don't show yet, and since when they are true.
    pending: VecDeque<(Instant, Vec<Instance>)>,
}

impl Handler for List {
    async fn handle(self: Arc<Self>, request: Request) -> Reply {
        if let Some(reply) = self.fault.gate().await {
            return reply;
        }
        match (&request.method, request.segments().as_slice()) {
            (&Method::GET, ["instances"]) => Reply::json(&json!({ "instances": self.shown() })),
            // Registration, for benches that start their instances themselves.
            (&Method::PUT, ["instances", name]) => match request.json::<Instance>() {
                Ok(instance) if instance.name == *name => {
                    self.put(instance);
                    Reply::empty(StatusCode::NO_CONTENT)
                }
                Ok(_) => Reply::error(StatusCode::BAD_REQUEST, "name differs from the path's"),
                Err(reply) => reply,
            },
            (&Method::DELETE, ["instances", name]) => {
                self.remove(name);
                Reply::empty(StatusCode::NO_CONTENT)
            }
            _ => Reply::error(StatusCode::NOT_FOUND, "no such call"),
        }
    }
}

impl List {
    fn put(&self, instance: Instance) {
        self.change(|now| {
            now.retain(|it| it.name != instance.name);
            now.push(instance);
        });
    }

    fn remove(&self, name: &str) {
        self.change(|now| now.retain(|it| it.name != name));
    }

    fn change(&self, change: impl FnOnce(&mut Vec<Instance>)) {
        let mut entries = http::lock(&self.entries);
        change(&mut entries.now);
        let now = entries.now.clone();
        entries.pending.push_back((Instant::now(), now));
    }

    fn shown(&self) -> Vec<Instance> {
        let mut entries = http::lock(&self.entries);
        while entries.pending.front().is_some_and(|(since, _)| self.lag <= since.elapsed()) {
            if let Some((_, instances)) = entries.pending.pop_front() {
                entries.shown = instances;
            }
        }
        entries.shown.clone()
    }
}
