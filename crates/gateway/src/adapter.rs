//! The interface between the gateway and the platform that it runs on. An implementation of
//! [`Adapter`] translates the platform's names, formats and calls; no other code depends on them.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use shallotlead_base::{
    id::Version,
    store::{Call, Object},
};
use shallotlead_platform::outcome::Outcome;

use crate::{
    config::Config,
    http::head::{Fields, Request, Response},
};

/// Translates between the platform's wire formats and the gateway's types.
pub trait Adapter {
    /// Parses the head of a caller's request.
    fn parse_request(&self, head: &Request) -> RequestInfo;
    /// Appends the head of the request that is forwarded to a backend server.
    fn write_request(&self, head: &Request, options: &ForwardOptions<'_>, out: &mut Vec<u8>);
    /// Appends the head of a caller's request that is handed over to another instance.
    fn write_handover(&self, head: &Request, options: &HandoverOptions, out: &mut Vec<u8>);
    /// Parses the head of a backend server's response.
    fn parse_response(&self, head: &Response) -> ResponseInfo;
    /// Appends those fields of a backend server's response that are passed on to the caller.
    fn write_response_fields(&self, fields: &Fields, out: &mut Vec<u8>);
    /// The header fields of a refusal: the request's id, when the caller may retry, and, if another instance has handed
    /// the request over, what has become of it here.
    fn refusal_fields(
        &self,
        id: Option<&str>,
        retry_after: Option<Duration>,
        handover: Option<RefusedHandover>,
    ) -> Vec<(&'static str, String)>;
    /// The request for a backend server's state report.
    fn report_request(&self) -> ControlRequest;
    /// The request for a backend server's health, at its service's `path`. Its answer names the server.
    fn health_request(&self, path: &str) -> ControlRequest;
    /// The request for cache events from the number `since` on, which shows whether the store of cached
    /// prompts is alive. The store may hold it for up to a second.
    fn cache_events_request(&self, since: u64) -> ControlRequest;
    /// The number of the next cache event, which is `since` of the next request; `None` if `body` is malformed.
    fn parse_cache_events(&self, body: &[u8]) -> Option<u64>;
    /// Parses a backend server's state report; `None` if it is malformed.
    fn parse_report(&self, body: &[u8]) -> Option<Report>;
    /// The request that orders a backend server to load weights.
    fn order_request(&self, order: &Order<'_>) -> ControlRequest;
    /// What the response status to an order means.
    fn parse_order_reply(&self, status: u16) -> OrderReply;
    /// The request for a call to the platform's store. `after`: the last name of the previous page of a list.
    fn store_request(&self, call: &Call, after: Option<&str>) -> ControlRequest;
    /// Parses a response of the platform's store.
    fn parse_store_reply(
        &self,
        call: &Call,
        status: u16,
        fields: &Fields,
        body: &[u8],
    ) -> StoreReply;
    /// The era in a response of the platform's store. It increases each time the store is restored from a
    /// backup.
    fn parse_store_era(&self, fields: &Fields) -> Result<Option<u64>, Malformed>;
    /// The platform's name of an object kind.
    fn kind_name(&self, kind: ObjectKind) -> &'static str;
    /// The name of the object that holds the configuration.
    fn configuration_name(&self) -> &'static str;
    /// Parses the configuration.
    fn parse_config(&self, value: &[u8]) -> Result<Config, Malformed>;
    /// Parses a backend server's entry. The server's name is the object's name, which `value` lacks.
    fn parse_server_entry(&self, value: &[u8]) -> Result<ServerEntry, Malformed>;
    /// Parses a published version of a model's weights.
    fn parse_weights(&self, value: &[u8]) -> Result<Weights, Malformed>;
    /// Whether `head` is a readiness probe.
    fn is_readiness_probe(&self, head: &Request) -> bool;
    /// Parses a directory lookup; `None` if `head` isn't one.
    fn parse_lookup(&self, head: &Request) -> Option<Lookup>;
    /// The body of the response to a lookup. Callers may cache it for `ttl`.
    fn lookup_body(&self, addresses: &[SocketAddr], ttl: Duration) -> Vec<u8>;
}

/// Information from the head of a caller's request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestInfo {
    /// The request id. A caller that retries uses a new one for each attempt.
    pub id: Option<Box<str>>,
    /// The host, in lower case and without a port.
    pub host: Box<str>,
    /// The API key, which identifies the caller's organisation.
    pub key: Option<Box<str>>,
    /// How long the caller waits for the response, counted from when it sent the request.
    pub deadline: Option<Duration>,
    /// The requested model.
    pub model: Option<Arc<str>>,
    /// The parts of the prompt in order. The last one is specific to the request or its session.
    pub parts: Vec<Part>,
    /// Tokens of the prompt and of the longest answer that it allows.
    pub tokens: Option<u64>,
    /// The most tokens that the answer to the prompt may have.
    pub max_answer_tokens: Option<u32>,
    /// The number of the last event that the caller received, when it resumes a stream.
    pub last_event: Option<u64>,
    /// The id of the caller's attempt that brought the stream's first event, when it resumes a stream.
    pub resumed_id: Option<Box<str>>,
    /// Number of attempts that are left, if another instance has handed the request over.
    pub handover: Option<u8>,
    /// The build of the servers at which the stream may go on, if another instance that has handed it over knows it.
    pub build: Option<u32>,
}

/// One part of a prompt; prompts may share parts.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Part {
    /// Identifies its content.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// What this instance adds to a request that it forwards to a backend server.
#[derive(Clone, Debug)]
pub struct ForwardOptions<'a> {
    /// The intended server. Another server that now has its address must not run the request.
    pub server: &'a str,
    /// The organisation that the caller belongs to.
    pub organisation: Option<&'a str>,
    /// How long the server may process the request.
    pub time_left: Option<Duration>,
    /// Priority; 0 is the most urgent.
    pub priority: Option<u8>,
    /// The scope of cached prompts; they are shared only within one scope.
    pub cache_scope: Option<&'a str>,
    /// The version of the weights that the server must have loaded.
    pub weights: Option<u64>,
    /// The server to fetch cached parts of the prompt from.
    pub fetch_from: Option<SocketAddr>,
    /// The store to save the KV cache of the prompt's parts to after their prefill.
    pub save_to: Option<SocketAddr>,
    /// The server that receives a growing copy of the run's KV cache.
    pub copy_to: Option<SocketAddr>,
    /// The server that holds a copy of the run's KV cache, from which the run continues. It counts as the
    /// same run.
    pub resume_from: Option<SocketAddr>,
    /// The number of the last event that the caller received; the stream continues after it.
    pub last_event: Option<u64>,
    /// Length of the body in bytes, if the request has one.
    pub body_len: Option<usize>,
}

/// What this instance changes in a caller's request that it hands over to another instance.
#[derive(Clone, Debug)]
pub struct HandoverOptions {
    /// How long the caller waits for the response.
    pub time_left: Duration,
    /// Number of attempts that are left.
    pub attempts: u8,
    /// The number of the last event that the caller received; the stream continues after it.
    pub last_event: Option<u64>,
    /// The build of the servers at which the stream may go on, if it has begun.
    pub build: Option<u32>,
    /// Length of the body in bytes, if the request has one.
    pub body_len: Option<usize>,
}

/// Information from the head of a backend server's response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseInfo {
    /// The id of the request that it answers.
    pub id: Option<Box<str>>,
    /// Whether the server declares that it didn't run the request and never will.
    pub is_declined: bool,
    /// Set if another instance declares that neither it nor a server ran the request that was handed over to it.
    pub refused_handover: Option<RefusedHandover>,
    /// The name of the server that answered, if given.
    pub server: Option<Box<str>>,
    /// Whether the server that answered is draining: it takes no new requests any more.
    pub is_draining: bool,
    /// The server's load when it answered.
    pub load: Option<Load>,
    /// How long work takes on the server's machine at the moment, in percent of the usual, if it says so.
    pub pace: Option<u16>,
    /// The rate limit that the server announces.
    pub rate_limit: RateLimit,
    /// How many requests a second the server can reject, from all instances together, before it falls over.
    pub overload_tolerance: RateLimit,
    /// The version of the weights that the server runs.
    pub weights: Option<u64>,
    /// After which time a refused request may be sent again.
    pub retry_after: RetryAfter,
    /// How long the server keeps an idle connection open.
    pub keep_alive: Option<Duration>,
    /// Whether the response carries the server's signature.
    pub is_signed: bool,
}

impl ResponseInfo {
    /// Whether it names another server than the one with this `name`.
    pub fn names_another(&self, name: &str) -> bool {
        self.server.as_deref().is_some_and(|it| it != name)
    }
}

/// What has become of a handed-over request that the receiving instance refuses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusedHandover {
    /// No server has received it.
    Unsent,
    /// Servers have received and declined it.
    Declined,
}

/// After which time a refused request may be sent again.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum RetryAfter {
    /// The response doesn't say it.
    #[default]
    None,
    /// After this time.
    Time(Duration),
    /// The value isn't a valid time.
    Unreadable,
}

impl RetryAfter {
    /// The time, if there is a valid one.
    pub fn time(self) -> Option<Duration> {
        match self {
            Self::Time(it) => Some(it),
            Self::None | Self::Unreadable => None,
        }
    }
}

/// A rate in a server's response, for all instances together: of requests that it accepts, or of rejections that it
/// bears.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum RateLimit {
    /// The response names none.
    #[default]
    None,
    /// Per second; finite and not negative.
    PerSecond(f64),
    /// The value isn't a valid rate.
    Unreadable,
}

/// Load of a backend server, as it reports it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// Running requests.
    pub running: u32,
    /// Queued requests.
    pub waiting: u32,
}

/// A small request of the instance's own, to a backend server or the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ControlRequest {
    /// HTTP method.
    pub method: &'static str,
    /// Request target: path and query.
    pub target: String,
    /// Header fields, without those of the framing.
    pub fields: Vec<(&'static str, String)>,
    /// Body; empty if there is none.
    pub body: Vec<u8>,
}

/// A backend server's report of its own state. It is some hundred milliseconds old on arrival.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Loaded models with the versions of their weights.
    pub models: Vec<(Arc<str>, u64)>,
    /// Whether the server is executing an order.
    pub is_busy: bool,
    /// Number of orders that the server accepted since its start.
    pub accepted_orders: u64,
    /// Current load.
    pub load: Load,
    /// The reporting incarnation, if given.
    pub incarnation: Option<Incarnation>,
    /// Whether the server is draining.
    pub is_draining: bool,
}

/// One run of a server's process, identified by its start time in Unix milliseconds by the server's own
/// clock. A server that restarts keeps its name but none of its state.
pub type Incarnation = u64;

/// An order to load weights.
#[derive(Clone, Copy, Debug)]
pub struct Order<'a> {
    /// The intended server.
    pub server: &'a str,
    /// The model.
    pub model: &'a str,
    /// The version of the weights to load.
    pub version: u64,
    /// The instance that holds the lease and gives the order.
    pub holder: &'a str,
    /// The fencing token of that lease.
    pub fence: u64,
    /// The order is valid only if the server has accepted this many orders since its start.
    pub expected_orders: u64,
}

/// Result of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderReply {
    /// The server is executing the order.
    Accepted,
    /// The ordered weights are loaded already.
    Holds,
    /// The server is executing another order, or has accepted others in the meantime.
    Conflict,
    /// The server has seen a newer fencing token.
    Fenced,
    /// Another server has the intended server's address.
    Elsewhere,
    /// The server rejects the order.
    Refused,
}

/// Parsed response of the platform's store.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreReply {
    /// The call is complete.
    Done(Outcome),
    /// One page of a list.
    Page {
        /// Its objects.
        objects: Vec<Object>,
        /// The name after which the next page begins.
        last: String,
        /// The store's version when it was read.
        version: Version,
    },
    /// The store rejects the list, or its answer can't be read.
    Rejected,
}

/// Kinds of objects in the platform's store.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ObjectKind {
    /// The configuration.
    Configuration,
    /// Entries of backend servers.
    Servers,
    /// Published versions of models' weights.
    Weights,
}

/// A backend server's entry in the platform's store.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    /// The service that the server belongs to.
    pub service: Arc<str>,
    /// The server's address.
    pub address: SocketAddr,
    /// The server's data centre.
    pub centre: Arc<str>,
    /// Whether the server is draining: it finishes its requests and takes no new ones.
    pub is_draining: bool,
    /// Loaded models with the versions of their weights.
    pub models: Vec<(Arc<str>, u64)>,
    /// The version of the server's software, if given.
    pub build: Option<Arc<str>>,
    /// The incarnation that wrote the entry, if given.
    pub incarnation: Option<Incarnation>,
    /// Counts the entries that this incarnation has written.
    pub sequence: u64,
}

impl ServerEntry {
    /// The entry's position among the entries that the server has written.
    pub fn entry_version(&self) -> EntryVersion {
        EntryVersion { incarnation: self.incarnation, sequence: self.sequence }
    }
}

/// Orders the entries that one backend server writes.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryVersion {
    /// The incarnation that wrote the entry, if known.
    pub incarnation: Option<Incarnation>,
    /// Counts the entries of that incarnation.
    pub sequence: u64,
}

impl EntryVersion {
    /// Whether this is of the same incarnation as `other` and not newer.
    pub fn is_not_newer_than(&self, other: &Self) -> bool {
        self.incarnation == other.incarnation && self.sequence <= other.sequence
    }
}

/// A published version of a model's weights, which the model's servers have to load.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Weights {
    /// The model.
    pub model: Arc<str>,
    /// The version of the weights.
    pub version: u64,
}

/// A directory lookup: a caller asks for instances' addresses.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Lookup {
    /// The caller's data centre.
    pub centre: Box<str>,
}

/// An object or header field that can't be parsed, with the reason.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{0}")]
pub struct Malformed(pub String);
