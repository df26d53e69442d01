//! The configuration in force: routes, services, organisations and limits, indexed for lookups.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use shallotlead_base::{
    hash::{self, Map},
    time::Time,
};

use crate::{deadline::Deadline, quota};

/// One version of the configuration, indexed for lookups.
#[derive(Debug, Default)]
pub struct Config {
    /// Its version, which increases with each change.
    pub version: u64,
    /// Services by name.
    pub services: Map<Arc<str>, Service>,
    /// Limits on callers' requests.
    pub limits: Limits,
    /// How long callers of streams wait, by route.
    patience: Map<Arc<str>, Patience>,
    /// Routes by host, in descending order of prefix length.
    hosts: Map<Box<str>, Vec<Arc<Route>>>,
    longest_stream: Duration,
    /// The services whose streams callers can take up.
    resumable_services: Vec<Arc<str>>,
    /// Organisations by API key; `None` if no route needs a key.
    keys: Option<Map<Box<str>, Arc<Organisation>>>,
}

/// How often a request may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Execution {
    /// The request may run more than once.
    Idempotent,
    /// The request runs at most once.
    AtMostOnce,
}

/// Handling of the requests for one host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host, in lower case.
    pub host: Box<str>,
    /// Prefix of the request's path.
    pub prefix: Box<str>,
    /// How often a request may run.
    pub execution: Execution,
    /// Whether the response is a stream of events.
    pub is_stream: bool,
    /// Maximum time that a caller is kept waiting.
    pub timeout: Duration,
    /// Target for the time to the response, or to a stream's first event.
    pub latency_target: Duration,
    /// Longest time without an event after which callers leave a stream.
    pub caller_patience: Duration,
    /// Priority among routes; 0 is the most urgent.
    pub priority: u8,
    /// Services that run the requests, with their weights in the traffic split.
    pub split: Vec<(Arc<str>, u32)>,
    /// Maximum number of backend servers that one request may run on.
    pub max_attempts: u8,
    /// Whether callers need no API key.
    pub is_public: bool,
}

/// How long callers of streams wait: the deadline of one that calls at [`Time::ZERO`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Patience(Deadline);

impl Patience {
    fn of(route: &Route) -> Self {
        let end = Time::ZERO + route.timeout;
        Self(Deadline { end, next_event: Some(Time::ZERO + route.caller_patience) })
    }

    /// For the first event, if the rest of the answer takes `generation`.
    pub fn first_token(self, generation: Duration) -> Duration {
        self.0.time_for_first_token(Time::ZERO, generation)
    }
}

/// A group of interchangeable backend servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: Arc<str>,
    /// Path at which its servers answer whether they are healthy, with their names; `None` if they don't.
    pub health_path: Option<Box<str>>,
    /// Maximum number of connections that one of its servers accepts from all instances together.
    pub max_connections: u32,
    /// Present if the servers are model engines.
    pub engine: Option<Engine>,
    /// Address of the store of cached prompts, if the service is one.
    pub cache_store: Option<SocketAddr>,
}

/// Properties that the model engines of one service share.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Capacity of one engine's KV cache, in tokens.
    pub capacity_tokens: u32,
    /// Time to transfer one token's KV cache from another engine in the same data centre, in milliseconds.
    pub fetch_ms_per_token: f64,
    /// How long an engine keeps the copy of another engine's run after the last update of the copy; `None`
    /// if engines don't copy runs.
    pub copy_retention: Option<Duration>,
}

/// One organisation. Its callers are identified by their API keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Name of the organisation.
    pub name: Arc<str>,
    /// Priority of its requests, which overrides the route's.
    pub priority: Option<u8>,
    /// Whether its cached prompts are shared with no other organisation.
    pub is_isolated: bool,
    /// What it may use through all instances together; `None` if that isn't limited.
    pub quota: Option<quota::Limit>,
}

/// Limits on the size of callers' requests and on the time that they take to arrive.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum size of a request's head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum time for a head to arrive.
    pub head_timeout: Duration,
    /// Maximum time that a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Limits until a configuration is known: those of the platform's example configuration.
    fn default() -> Self {
        Self {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

impl Limits {
    /// The more generous one of each limit.
    pub fn most_generous(self, other: Self) -> Self {
        Self {
            max_head_bytes: self.max_head_bytes.max(other.max_head_bytes),
            max_body_bytes: self.max_body_bytes.max(other.max_body_bytes),
            head_timeout: self.head_timeout.max(other.head_timeout),
            idle_timeout: self.idle_timeout.max(other.idle_timeout),
        }
    }
}

/// Why a request is denied a route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Denial {
    /// No route matches the host and path.
    NoRoute,
    /// The route needs an API key, and the request has no known one.
    NoKey,
}

impl Config {
    /// Indexes the parts of a configuration. `keys`: API keys with their organisations; `None` if no route needs
    /// a key.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        keys: Option<Vec<(Box<str>, Arc<Organisation>)>>,
        limits: Limits,
    ) -> Self {
        let mut hosts: Map<Box<str>, Vec<Arc<Route>>> = Map::default();
        let streams = || routes.iter().filter(|it| it.is_stream);
        let longest_stream = streams().map(|it| it.timeout).max().unwrap_or_default();
        let patience = streams().map(|it| (it.name.clone(), Patience::of(it))).collect();
        let resumable = routes.iter().filter(|it| it.is_resumable());
        let mut resumable_services: Vec<Arc<str>> =
            resumable.flat_map(|it| &it.split).map(|it| it.0.clone()).collect();
        resumable_services.sort_unstable();
        resumable_services.dedup();
        for route in routes {
            hosts.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes
                .sort_by(|a, b| b.prefix.len().cmp(&a.prefix.len()).then(a.prefix.cmp(&b.prefix)));
        }
        let services = services.into_iter().map(|it| (it.name.clone(), it)).collect();
        let keys = keys.map(|it| it.into_iter().collect());
        Self {
            version,
            services,
            limits,
            hosts,
            patience,
            longest_stream,
            resumable_services,
            keys,
        }
    }

    /// How long callers of the streams on `route` wait.
    pub fn patience(&self, route: &str) -> Option<Patience> {
        self.patience.get(route).copied()
    }

    /// The longest time that an attempt of a stream may take.
    pub fn longest_stream(&self) -> Duration {
        self.longest_stream
    }

    /// The services whose streams callers can take up.
    pub fn resumable_services(&self) -> &[Arc<str>] {
        &self.resumable_services
    }

    /// Sorted addresses of all stores of cached prompts.
    pub fn cache_stores(&self) -> Vec<SocketAddr> {
        let mut stores: Vec<_> = self.services.values().filter_map(|it| it.cache_store).collect();
        stores.sort_unstable();
        stores
    }

    /// The organisations with a quota. One with several API keys appears several times.
    pub fn quotas(&self) -> impl Iterator<Item = (&Arc<str>, quota::Limit)> {
        let organisations = self.keys.iter().flat_map(|it| it.values());
        organisations.filter_map(|it| Some((&it.name, it.quota?)))
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// The route of a request, and the organisation that `key` belongs to.
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
    /// Whether its responses are streams that callers can take up.
    pub fn is_resumable(&self) -> bool {
        self.is_stream && self.execution == Execution::Idempotent
    }

    /// Selects the service that runs the request `id` by the traffic split; the result depends on the id alone.
    pub fn service(&self, id: &str) -> Option<&Arc<str>> {
        let total: u64 = self.split.iter().map(|it| u64::from(it.1)).sum();
        if total == 0 {
            return self.split.first().map(|it| &it.0);
        }
        let mut remainder = hash::stable(id.as_bytes()) % total;
        for (service, weight) in &self.split {
            match remainder.checked_sub(u64::from(*weight)) {
                None => return Some(service),
                Some(rest) => remainder = rest,
            }
        }
        None
    }
}
