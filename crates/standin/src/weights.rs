//! The weight store, which slows when too many servers load from it together.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};

use crate::{
    fault::Fault,
    http::{self, Handler, Reply, Request, Server},
};

pub use crate::fault::Mode;

/// How to run a weight store.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Where it listens; port 0 takes a free one.
    pub address: SocketAddr,
    /// How many servers can load together at full speed.
    pub concurrency: u32,
    /// Time of one load at full speed.
    pub duration: Duration,
    /// How many times slower each load is while more servers load.
    pub slowdown: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            concurrency: 2,
            duration: Duration::from_secs(2),
            slowdown: 4,
        }
    }
}

/// What a server loads.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// The server's address.
    pub server: String,
    /// The model.
    pub model: String,
    /// Version of its weights.
    pub weights: u64,
    /// The adapter, when only an adapter is loaded.
    #[serde(default)]
    pub adapter: Option<String>,
}

/// Starts a weight store.
///
/// # Errors
/// The address can't be bound.
pub fn bind(settings: Settings) -> io::Result<Handle> {
    let store = Arc::new(Store {
        loading: AtomicU32::new(0),
        most: AtomicU32::new(0),
        loads: Mutex::default(),
        fault: Fault::default(),
        settings,
    });
    let server = Server::bind(store.settings.address, Arc::clone(&store))?;
    Ok(Handle { server, store })
}

/// A running weight store.
#[derive(Debug)]
pub struct Handle {
    server: Server,
    store: Arc<Store>,
}

impl Handle {
    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets how calls are treated.
    pub fn set_mode(&self, mode: Mode) {
        self.store.fault.set_mode(mode);
    }

    /// Servers that load now.
    pub fn loading(&self) -> u32 {
        self.store.loading.load(Ordering::SeqCst)
    }

    /// Most servers that ever loaded together.
    pub fn most_together(&self) -> u32 {
        self.store.most.load(Ordering::SeqCst)
    }

    /// Finished loads, oldest first.
    pub fn loads(&self) -> Vec<Load> {
        http::lock(&self.store.loads).clone()
    }

    /// Stops listening and cuts all connections.
    pub fn kill(&self) {
        self.server.kill();
    }
}

#[derive(Debug)]
struct Store {
    settings: Settings,
    loading: AtomicU32,
    most: AtomicU32,
    loads: Mutex<Vec<Load>>,
    fault: Fault,
}

/// A load under way, counted until it is dropped: the server may go away while it loads.
struct Loading<'a>(&'a Store);

impl<'a> Loading<'a> {
    fn new(store: &'a Store) -> Self {
        let now = store.loading.fetch_add(1, Ordering::SeqCst) + 1;
        store.most.fetch_max(now, Ordering::SeqCst);
        Self(store)
    }
}

impl Drop for Loading<'_> {
    fn drop(&mut self) {
        self.0.loading.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Handler for Store {
    async fn handle(self: Arc<Self>, request: Request) -> Reply {
        if let Some(reply) = self.fault.gate().await {
            return reply;
        }
        if request.method != Method::POST || request.path != "/load" {
            return Reply::error(StatusCode::NOT_FOUND, "no such call");
        }
        let load = match request.json::<Load>() {
            Ok(load) => load,
            Err(reply) => return reply,
        };
        let _loading = Loading::new(&self);
        self.transfer().await;
        http::lock(&self.loads).push(load);
        Reply::empty(StatusCode::NO_CONTENT)
    }
}

impl Store {
    /// Takes a load's time, in steps whose progress depends on how many load together.
    async fn transfer(&self) {
        let mut left = self.settings.duration;
        while !left.is_zero() {
            let begin = Instant::now();
            tokio::time::sleep(STEP.min(left)).await;
            let together = self.loading.load(Ordering::SeqCst);
            let slowdown =
                if self.settings.concurrency < together { self.settings.slowdown } else { 1 };
            left = left.saturating_sub(begin.elapsed() / slowdown.max(1));
        }
    }
}

/// How often a load looks at how many load together.
const STEP: Duration = Duration::from_millis(10);
