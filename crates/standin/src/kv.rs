//! The store for kept KV cache.

use std::{
    collections::{BTreeMap, HashMap},
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex},
    time::Duration,
};

use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};

use crate::{
    fault::Fault,
    http::{self, Handler, Reply, Request, Server},
};

pub use crate::fault::Mode;

/// How to run a KV store.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Where it listens; port 0 takes a free one.
    pub address: SocketAddr,
    /// Tokens kept; the least recently used prefixes go first.
    pub capacity: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self { address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), capacity: 1_000_000 }
    }
}

/// A kept prefix.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Prefix {
    /// Tokens of the prefix.
    pub tokens: u32,
    /// Who computed it: what the engines check an import by.
    #[serde(default)]
    pub origin: String,
}

/// Starts a KV store.
///
/// # Errors
/// The address can't be bound.
pub fn bind(settings: Settings) -> io::Result<Handle> {
    let kv = Arc::new(Kv {
        capacity: settings.capacity,
        kept: Mutex::default(),
        fault: Fault::default(),
    });
    let server = Server::bind(settings.address, Arc::clone(&kv))?;
    Ok(Handle { server, kv })
}

/// A running KV store.
#[derive(Debug)]
pub struct Handle {
    server: Server,
    kv: Arc<Kv>,
}

impl Handle {
    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets how calls are treated.
    pub fn set_mode(&self, mode: Mode) {
        self.kv.fault.set_mode(mode);
    }

    /// Makes each call take `delay`.
    pub fn set_delay(&self, delay: Duration) {
        self.kv.fault.set_delay(delay);
    }

    /// Whether the prefix that ends in `block` is kept.
    pub fn holds(&self, block: u64) -> bool {
        http::lock(&self.kv.kept).prefixes.contains_key(&block)
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
        self.server.rebind(Arc::clone(&self.kv))
    }
}

#[derive(Debug)]
struct Kv {
    capacity: u64,
    kept: Mutex<Kept>,
    fault: Fault,
}

#[derive(Debug, Default)]
struct Kept {
    prefixes: HashMap<u64, (u64, Prefix)>,
    /// Blocks by last use.
    used: BTreeMap<u64, u64>,
    clock: u64,
    tokens: u64,
}

impl Handler for Kv {
    async fn handle(self: Arc<Self>, request: Request) -> Reply {
        if let Some(reply) = self.fault.gate().await {
            return reply;
        }
        let segments = request.segments();
        let ["kv", block] = segments.as_slice() else {
            return Reply::error(StatusCode::NOT_FOUND, "no such call");
        };
        let Ok(block) = u64::from_str_radix(block, 16) else {
            return Reply::error(StatusCode::BAD_REQUEST, "not a block hash");
        };
        let mut kept = http::lock(&self.kept);
        match request.method {
            Method::GET => match kept.get(block) {
                Some(prefix) => Reply::json(&prefix),
                None => Reply::error(StatusCode::NOT_FOUND, "not kept"),
            },
            Method::PUT => match request.json() {
                Ok(prefix) => {
                    kept.put(block, prefix, self.capacity);
                    Reply::empty(StatusCode::NO_CONTENT)
                }
                Err(reply) => reply,
            },
            _ => Reply::error(StatusCode::METHOD_NOT_ALLOWED, "GET or PUT"),
        }
    }
}

impl Kept {
    fn get(&mut self, block: u64) -> Option<Prefix> {
        let (used, prefix) = self.prefixes.get_mut(&block)?;
        self.clock += 1;
        self.used.remove(used);
        self.used.insert(self.clock, block);
        *used = self.clock;
        Some(prefix.clone())
    }

    fn put(&mut self, block: u64, prefix: Prefix, capacity: u64) {
        self.clock += 1;
        self.tokens += u64::from(prefix.tokens);
        if let Some((used, old)) = self.prefixes.insert(block, (self.clock, prefix)) {
            self.used.remove(&used);
            self.tokens -= u64::from(old.tokens);
        }
        self.used.insert(self.clock, block);
        while capacity < self.tokens {
            let Some((_, oldest)) = self.used.pop_first() else { return };
            if let Some((_, prefix)) = self.prefixes.remove(&oldest) {
                self.tokens -= u64::from(prefix.tokens);
            }
        }
    }
}
