//! The configuration in force: routes, services, organisations and limits.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use shallotlead_base::hash::{self, Map};

/// One version of the configuration, ready for look-ups.
#[derive(Debug, Default)]
pub struct Config {
    /// Its version; grows with each change.
    pub version: u64,
    /// The services by name.
    pub services: Map<Arc<str>, Service>,
    /// What callers may send.
    pub limits: Limits,
    /// Routes by host, the longest prefix first.
    hosts: Map<Box<str>, Vec<Arc<Route>>>,
    /// The shortest aim of streams that each service runs.
    aims: Map<Arc<str>, Duration>,
    /// Organisations by key; `None` when callers need no key at all.
    keys: Option<Map<Box<str>, Arc<Organisation>>>,
}

/// What may be sent again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Execution {
    /// The request may run more than once.
    Idempotent,
    /// The request runs at most once.
    AtMostOnce,
}

/// How requests of one host and path prefix are handled.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: Arc<str>,
    /// The host that it serves.
    pub host: Box<str>,
    /// The prefix of its paths.
    pub prefix: Box<str>,
    /// What may be sent again.
    pub execution: Execution,
    /// Whether the answer is a stream of events.
    pub is_stream: bool,
    /// The longest that a caller is kept waiting.
    pub timeout: Duration,
    /// The time within which an answer, or a stream's first event, is on time.
    pub latency_target: Duration,
    /// Rank against other routes; 0 is the most urgent.
    pub priority: u8,
    /// The services that may run its requests, with their weights.
    pub split: Vec<(Arc<str>, u32)>,
    /// Most backend servers that one request may run on.
    pub max_attempts: u8,
    /// Whether callers need no key.
    pub is_public: bool,
}

/// A group of backend servers that run the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: Arc<str>,
    /// Connections that one of its servers takes from all instances.
    pub max_connections: u32,
    /// Set for model engines.
    pub engine: Option<Engine>,
    /// Set for a store of cached prompts: its address.
    pub cache_store: Option<SocketAddr>,
}

/// What model engines of one service have in common.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Tokens that fit into one engine's memory.
    pub capacity_tokens: u32,
    /// Time that one token's cache takes on the way from another engine in the same data centre, ms.
    pub fetch_ms_per_token: f64,
    /// How long an engine keeps the copy of another one's run after the last part of it; nothing where engines
    /// don't copy runs.
    pub copy_retention: Option<Duration>,
}

/// One organisation whose callers are known by their keys.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Organisation {
    /// Its name.
    pub name: Arc<str>,
    /// Its rank, which goes before the route's.
    pub priority: Option<u8>,
    /// Whether it shares no cached prompts with others.
    pub is_isolated: bool,
}

/// What callers may send and how long they may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Longest head, in bytes.
    pub max_head_bytes: usize,
    /// Longest body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time for a head to arrive.
    pub head_timeout: Duration,
    /// Longest time that a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Bounds before any configuration is known: those of the platform's example configuration.
    fn default() -> Self {
        Self {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Why a request has no route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Denial {
    /// No route matches its host and path.
    NoRoute,
    /// It carries no known key.
    NoKey,
}

impl Config {
    /// A catalog of the given parts. `keys`: organisations with their keys, `None` without any.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        keys: Option<Vec<(Box<str>, Arc<Organisation>)>>,
        limits: Limits,
    ) -> Self {
        let mut hosts: Map<Box<str>, Vec<Arc<Route>>> = Map::default();
        let mut aims: Map<Arc<str>, Duration> = Map::default();
        for route in routes {
            for (service, _) in route.split.iter().filter(|_| route.is_stream) {
                let aim = aims.entry(service.clone()).or_insert(route.latency_target);
                *aim = route.latency_target.min(*aim);
            }
            hosts.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes
                .sort_by(|a, b| b.prefix.len().cmp(&a.prefix.len()).then(a.prefix.cmp(&b.prefix)));
        }
        let services = services.into_iter().map(|it| (it.name.clone(), it)).collect();
        let keys = keys.map(|it| it.into_iter().collect());
        Self { version, services, limits, hosts, aims, keys }
    }

    /// The shortest aim of the streams that `service` runs.
    pub fn shortest_target(&self, service: &str) -> Option<Duration> {
        self.aims.get(service).copied()
    }

    /// The addresses of all stores of cached prompts, in order.
    pub fn cache_stores(&self) -> Vec<SocketAddr> {
        let mut stores: Vec<_> = self.services.values().filter_map(|it| it.cache_store).collect();
        stores.sort_unstable();
        stores
    }

    /// Routes in force.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// The route of a request, and the organisation that it belongs to.
    pub fn route(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<(Arc<Route>, Option<Arc<Organisation>>), Denial> {
        let routes = self.hosts.get(host).ok_or(Denial::NoRoute)?;
        let route =
            routes.iter().find(|it| path.starts_with(&*it.prefix)).ok_or(Denial::NoRoute)?;
        let Some(keys) = &self.keys else { return Ok((route.clone(), None)) };
        let organisation = key.and_then(|it| keys.get(it)).cloned();
        if organisation.is_none() && !route.is_public {
            return Err(Denial::NoKey);
        }
        Ok((route.clone(), organisation))
    }
}

impl Route {
    /// The service that runs the request `id`: the same one whenever it is asked.
    pub fn service(&self, id: &str) -> Option<&Arc<str>> {
        let total: u64 = self.split.iter().map(|it| u64::from(it.1)).sum();
        if total == 0 {
            return self.split.first().map(|it| &it.0);
        }
        let mut point = hash::stable(id.as_bytes()) % total;
        for (service, weight) in &self.split {
            match point.checked_sub(u64::from(*weight)) {
                None => return Some(service),
                Some(rest) => point = rest,
            }
        }
        None
    }
}
