//! What an adapter has to translate: the names, formats and calls of the platform that the
//! instance runs on. Nothing outside an adapter knows them.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use shallotlead_base::store::{Call, Object};
use shallotlead_platform::outcome::Outcome;

use crate::{
    config::Config,
    http::head::{Fields, Request, Response},
};

/// Translates between the platform's wire and the product's types.
pub trait Adapter {
    /// Reads the head of a caller's request.
    fn parse_request(&self, head: &Request) -> RequestInfo;
    /// Appends the head of a request to a backend server.
    fn write_request(&self, head: &Request, sending: &ForwardOptions<'_>, out: &mut Vec<u8>);
    /// Reads the head of a backend server's response.
    fn parse_response(&self, head: &Response) -> ResponseInfo;
    /// Appends the fields of a backend server's response that go back to the caller.
    fn write_response_fields(&self, fields: &Fields, out: &mut Vec<u8>);
    /// The fields of a refusal: the request that it belongs to, and when to come back.
    fn refusal_fields(
        &self,
        id: Option<&str>,
        retry_after: Option<Duration>,
    ) -> Vec<(&'static str, String)>;
    /// The call that asks a backend server for its state.
    fn report_request(&self) -> ControlRequest;
    /// The call that shows whether the store of cached prompts lives; it waits up to a second.
    fn cache_events_request(&self, since: u64) -> ControlRequest;
    /// Where the next such call goes on, from an answer to the last one.
    fn parse_cache_events(&self, body: &[u8]) -> Option<u64>;
    /// Reads a backend server's state.
    fn parse_report(&self, body: &[u8]) -> Option<Report>;
    /// The call that gives an order to a backend server.
    fn order_request(&self, order: &Order<'_>) -> ControlRequest;
    /// What an answer to an order says.
    fn parse_order_reply(&self, status: u16) -> OrderReply;
    /// The request of a call to the platform's store. `after`: the last name of the page before.
    fn store_request(&self, call: &Call, after: Option<&str>) -> ControlRequest;
    /// What an answer of the platform's store says.
    fn parse_store_reply(
        &self,
        call: &Call,
        status: u16,
        fields: &Fields,
        body: &[u8],
    ) -> StoreReply;
    /// The era that an answer of the platform's store names: it rises each time that the store comes back from an older
    /// copy.
    fn parse_store_era(&self, fields: &Fields) -> Result<Option<u64>, Malformed>;
    /// The kind and name of an object that holds what `subject` says.
    fn kind_name(&self, subject: ObjectKind) -> &'static str;
    /// The name of the object with the configuration.
    fn configuration_name(&self) -> &'static str;
    /// Reads the configuration.
    fn parse_config(&self, value: &[u8]) -> Result<Config, Malformed>;
    /// Reads a backend server's entry; its name is the object's.
    fn parse_server_entry(&self, value: &[u8]) -> Result<ServerEntry, Malformed>;
    /// Reads which weights are named.
    fn parse_weights(&self, value: &[u8]) -> Result<Weights, Malformed>;
    /// Whether `head` asks for readiness.
    fn is_readiness_probe(&self, head: &Request) -> bool;
    /// Reads a caller's question which addresses to use.
    fn parse_lookup(&self, head: &Request) -> Option<Lookup>;
    /// The body that answers it.
    fn lookup_body(&self, addresses: &[SocketAddr], ttl: Duration) -> Vec<u8>;
}

/// What the head of a caller's request says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestInfo {
    /// The id of this try; each try of a caller has its own.
    pub id: Option<Box<str>>,
    /// The host, in lower case and without a port.
    pub host: Box<str>,
    /// The key that shows whose request it is.
    pub key: Option<Box<str>>,
    /// How long the caller waits from sending on.
    pub deadline: Option<Duration>,
    /// The model.
    pub model: Option<Arc<str>>,
    /// The parts of the prompt in order. The last one belongs to the request or its session.
    pub parts: Vec<Part>,
    /// The number of the last event that the caller has.
    pub last_event: Option<u64>,
}

/// One part of a prompt, which other requests may share.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Part {
    /// Identity of its content.
    pub id: u64,
    /// Its length.
    pub tokens: u32,
}

/// What this instance adds to a request that it sends on.
#[derive(Clone, Debug)]
pub struct ForwardOptions<'a> {
    /// The server that is meant; another one at its address must not run the request.
    pub server: &'a str,
    /// The organisation that the caller belongs to.
    pub organisation: Option<&'a str>,
    /// How long the server may work on it.
    pub time_left: Option<Duration>,
    /// Rank; 0 goes first.
    pub priority: Option<u8>,
    /// Cached prompts are shared only within one scope.
    pub cache_scope: Option<&'a str>,
    /// The weights that must be loaded.
    pub weights: Option<u64>,
    /// Where to fetch cached parts of the prompt from.
    pub fetch_from: Option<SocketAddr>,
    /// Where to save the parts of the prompt that the server reads.
    pub save_to: Option<SocketAddr>,
    /// Where the server copies the run's memory as it grows.
    pub copy_to: Option<SocketAddr>,
    /// Where the copy of this run's memory lies from which it goes on; it counts as the same run.
    pub resume_from: Option<SocketAddr>,
    /// The last event that the caller has, to go on behind it.
    pub last_event: Option<u64>,
    /// Length of the body, if the request has one.
    pub body_len: Option<usize>,
}

/// What the head of a backend server's response says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseInfo {
    /// The id of the try that it answers.
    pub id: Option<Box<str>>,
    /// The server says that it didn't run the request and never will.
    pub is_declined: bool,
    /// The server that answered, where it says so.
    pub server: Option<Box<str>>,
    /// Its load at that moment.
    pub load: Option<Load>,
    /// The requests that it takes.
    pub rate_limit: RateLimit,
    /// The version of the weights that it runs.
    pub weights: Option<u64>,
    /// How long the server keeps an idle connection.
    pub keep_alive: Option<Duration>,
    /// Whether the answer carries the server's signature.
    pub is_signed: bool,
}

/// What an answer says of the requests that its server takes from all instances together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum RateLimit {
    /// It names no limit.
    #[default]
    None,
    /// Requests a second; finite and not negative.
    PerSecond(f64),
    /// It names one that is no rate.
    Unreadable,
}

/// Load of a backend server as it tells it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// A small request to a backend server or to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ControlRequest {
    /// Method.
    pub method: &'static str,
    /// Target.
    pub target: String,
    /// Fields besides the framing.
    pub fields: Vec<(&'static str, String)>,
    /// Body; empty for none.
    pub body: Vec<u8>,
}

/// A backend server's own word on its state; it is some hundred milliseconds old.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Models and the versions of their weights.
    pub models: Vec<(Arc<str>, u64)>,
    /// Whether an order is being carried out.
    pub is_busy: bool,
    /// Orders that it accepted since its start.
    pub accepted_orders: u64,
    /// Load.
    pub load: Load,
    /// The life that speaks, where it says so.
    pub incarnation: Option<Incarnation>,
}

/// When a server's life began: Unix milliseconds by its own clock. A server may start again under
/// its name, and holds and knows nothing of before.
pub type Incarnation = u64;

/// An order to load weights.
#[derive(Clone, Copy, Debug)]
pub struct Order<'a> {
    /// The server that is meant.
    pub server: &'a str,
    /// The model.
    pub model: &'a str,
    /// The version to load.
    pub version: u64,
    /// Who gives the order.
    pub holder: &'a str,
    /// The fencing token of the lease that it is given under.
    pub fence: u64,
    /// Orders that the server must have accepted so far.
    pub expected_orders: u64,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderReply {
    /// It is being carried out.
    Accepted,
    /// It holds already.
    Holds,
    /// Another order is being carried out, or others were accepted meanwhile.
    Conflict,
    /// A newer fencing token was seen.
    Fenced,
    /// Another server has the address.
    Elsewhere,
    /// The server doesn't take it.
    Refused,
}

/// What an answer of the store says.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreReply {
    /// The call is done.
    Done(Outcome),
    /// One page of a list; the next one begins after this name.
    Page(Vec<Object>, String),
}

/// What objects of the store are about.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ObjectKind {
    /// The configuration.
    Configuration,
    /// Backend servers' entries.
    Servers,
    /// Named weights.
    Weights,
}

/// A backend server's entry.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    /// Its service.
    pub service: Arc<str>,
    /// Its address.
    pub address: SocketAddr,
    /// Its data centre.
    pub centre: Arc<str>,
    /// Whether it is leaving.
    pub is_draining: bool,
    /// Models and the versions of their weights.
    pub models: Vec<(Arc<str>, u64)>,
    /// Its life, where it says so.
    pub incarnation: Option<Incarnation>,
    /// Counts what it has written in this life.
    pub sequence: u64,
}

impl ServerEntry {
    /// When in the server's life it wrote this.
    pub fn entry_version(&self) -> EntryVersion {
        EntryVersion { incarnation: self.incarnation, sequence: self.sequence }
    }
}

/// A moment in the life of a backend server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryVersion {
    /// The life, where it is known.
    pub incarnation: Option<Incarnation>,
    /// Counts what the server has written in it.
    pub sequence: u64,
}

impl EntryVersion {
    /// Whether this is no later than `other` in the same life.
    pub fn is_not_newer_than(&self, other: &Self) -> bool {
        self.incarnation == other.incarnation && self.sequence <= other.sequence
    }
}

/// The weights that servers of a model are to load.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Weights {
    /// The model.
    pub model: Arc<str>,
    /// The version.
    pub version: u64,
}

/// A caller's question which addresses to use.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Lookup {
    /// The caller's data centre.
    pub centre: Box<str>,
}

/// An object that can't be read.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{0}")]
pub struct Malformed(pub String);
