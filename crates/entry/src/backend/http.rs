//! The adapter for engines and plain services over HTTP/1.1.

mod connector;
#[cfg(test)]
mod tests;
mod transport;
mod unframed;

use std::{
    io::Read,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use serde::{Deserialize, de::DeserializeOwned};
use shallotlead_base::{
    id::{Attempt, Incarnation, Weights},
    name,
};
use shallotlead_policy::{
    chain::{Block, Chain},
    input::Event,
    load::Report,
};
use ureq::{
    Agent, Body,
    config::{AutoHeaderValue, Config},
    http::{Method, Request, Response, request},
    unversioned::resolver::DefaultResolver,
};

use crate::{
    backend::{
        Backend,
        answer::Answer,
        call::Call,
        control::Control,
        failure::Failure,
        feed::{Contents, Feed},
        health::Health,
        http::connector::Marker,
        order::Order,
    },
    exchange::Operation,
};

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait for the answer to a short control call.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest status code of an answer; the client takes none below 100.
const MAX_STATUS: u16 = 599;
/// Idle connections kept for control calls: enough for the servers that one instance keeps, so that
/// a poll needs no new connection.
const IDLE_CONNECTIONS: usize = 256;
/// Idle connections kept to one server.
const IDLE_PER_SERVER: usize = 2;
/// Largest body of a control call's answer, in bytes: a snapshot of 300,000 blocks fits.
const CONTROL_BODY: u64 = 8 << 20;
/// Bytes that are read ahead of an attempt's answer. The client's default of 128 KiB each way made
/// up most of what an open stream takes.
const INPUT_BUFFER: usize = 16 << 10;
/// Bytes of a request that are written at once. A header line must fit, so that a long list of block
/// hashes takes more.
const OUTPUT_BUFFER: usize = 8 << 10;
/// Bytes of one block's hash in a header.
const HASH_BYTES: usize = 17;
/// Longest list of block hashes in a header, in blocks: 17 bytes each under the 64 KiB that servers
/// commonly take. Later blocks are left to the engine's own hashing.
const MAX_HEADER_BLOCKS: usize = 3_000;

/// HTTP client of backend servers.
#[derive(Debug)]
pub(crate) struct Http {
    control: Agent,
}

impl Http {
    /// A client that keeps a few idle connections for control calls.
    pub(crate) fn new() -> Self {
        let config = base()
            .max_idle_connections(IDLE_CONNECTIONS)
            .max_idle_connections_per_host(IDLE_PER_SERVER)
            .timeout_global(Some(CONTROL_TIMEOUT))
            .build();
        Self { control: config.new_agent() }
    }

    fn get<T: DeserializeOwned>(&self, url: String, timeout: Duration) -> Result<T, Failure> {
        let request = self.control.get(url).config().timeout_global(Some(timeout)).build();
        let mut response = request.call().map_err(|it| control_failure(&it))?;
        accepted(&response)?;
        let body = response.body_mut().with_config().limit(CONTROL_BODY).reader();
        serde_json::from_reader(body).map_err(|_| Failure::Malformed)
    }

    fn post(&self, url: String, body: &[u8]) -> Result<(), Failure> {
        let request = self.control.post(url).content_type("application/json");
        let response = request.send(body).map_err(|it| control_failure(&it))?;
        accepted(&response)
    }
}

impl Backend for Http {
    fn attempt(&self, call: &Call, control: &Control) -> Result<Answer, Failure> {
        // Each attempt has its own connection: a reused one may be closed by the server at the
        // moment of sending, and then nobody knows whether the request ran.
        let connected = Arc::new(AtomicBool::new(false));
        let connector = Marker::new(connected.clone());
        let agent = Agent::with_parts(attempt_config(call), connector, DefaultResolver::default());
        let stop = agent.clone();
        control.on_cancel(move || stop.shutdown());
        let request = request(call).ok_or(Failure::Malformed)?;
        let sent =
            if call.body.is_empty() { agent.run(request.map(|_| ())) } else { agent.run(request) };
        match sent {
            Ok(response) if MAX_STATUS < response.status().as_u16() => Err(Failure::Lost),
            Ok(response) => Ok(answer(call, response)),
            Err(_) if !connected.load(Ordering::Acquire) => Err(Failure::Unreachable),
            Err(_) => Err(Failure::Lost),
        }
    }

    fn cancel(&self, address: SocketAddr, attempt: Attempt) -> Result<(), Failure> {
        match self.post(format!("http://{address}/cancel/{attempt}"), &[]) {
            Err(Failure::Refused(404)) => Ok(()),
            other => other,
        }
    }

    fn health(&self, address: SocketAddr) -> Result<Health, Failure> {
        self.get(format!("http://{address}/health"), CONTROL_TIMEOUT)
    }

    fn load(&self, server: &name::Server, address: SocketAddr) -> Result<Report, Failure> {
        let load: Load = self.get(format!("http://{address}/load"), CONTROL_TIMEOUT)?;
        Ok(Report {
            server: server.clone(),
            incarnation: load.incarnation,
            age: Duration::from_millis(load.age_ms),
            waiting: load.waiting,
            running: load.running,
            waiting_tokens: load.waiting_tokens,
            used_blocks: load.used_blocks,
            total_blocks: load.total_blocks,
        })
    }

    fn events(
        &self,
        address: SocketAddr,
        incarnation: Incarnation,
        after: u64,
        wait: Duration,
    ) -> Result<Feed, Failure> {
        let wait_ms = wait.as_millis();
        let url = format!(
            "http://{address}/events?incarnation={incarnation}&after={after}&wait_ms={wait_ms}"
        );
        let events: Events = self.get(url, wait + CONTROL_TIMEOUT)?;
        let Events { incarnation, first, events } = events;
        let events = events.into_iter().map(Change::event).collect::<Option<_>>();
        Ok(Feed { incarnation, first, events: events.ok_or(Failure::Malformed)? })
    }

    fn contents(&self, address: SocketAddr) -> Result<Contents, Failure> {
        let cached: Cached = self.get(format!("http://{address}/snapshot"), CONTROL_TIMEOUT)?;
        let blocks = cached.blocks.iter().map(|it| block(it)).collect::<Option<_>>();
        Ok(Contents {
            incarnation: cached.incarnation,
            seq: cached.seq,
            blocks: blocks.ok_or(Failure::Malformed)?,
        })
    }

    fn export(&self, address: SocketAddr, block: Block) -> Result<(), Failure> {
        let body = format!("{{\"block\":\"{:016x}\"}}", block.0);
        self.post(format!("http://{address}/kv/export"), body.as_bytes())
    }

    fn order(&self, address: SocketAddr, order: &Order) -> Result<(), Failure> {
        let body = serde_json::to_vec(order).map_err(|_| Failure::Malformed)?;
        self.post(format!("http://{address}/order"), &body)
    }
}

fn base() -> ureq::config::ConfigBuilder<ureq::typestate::AgentScope> {
    Config::builder()
        .accept_encoding(AutoHeaderValue::None)
        .allow_non_standard_methods(true)
        .http_status_as_error(false)
        .max_redirects(0)
        .no_delay(true)
        .proxy(None)
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .user_agent("shallotlead")
}

fn attempt_config(call: &Call) -> Config {
    let hashes = call.chain.blocks.len().min(MAX_HEADER_BLOCKS) * HASH_BYTES;
    base()
        .input_buffer_size(INPUT_BUFFER)
        .output_buffer_size(OUTPUT_BUFFER + hashes)
        .max_response_header_size(INPUT_BUFFER)
        .build()
}

fn request(call: &Call) -> Option<Request<Vec<u8>>> {
    let Call { address, attempt, .. } = call;
    let (method, path) = match &call.operation {
        Operation::Chat { .. } => (Method::POST, "/v1/chat/completions"),
        Operation::Completion { .. } => (Method::POST, "/v1/completions"),
        Operation::Service { method, path, .. } => {
            (Method::from_bytes(method.as_bytes()).ok()?, &**path)
        }
    };
    let builder = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header("x-attempt", attempt.to_string())
        .header("x-priority", call.priority.to_string());
    let builder = match &call.operation {
        Operation::Service { content_type, .. } => match content_type {
            Some(it) => builder.header("content-type", &**it),
            None => builder,
        },
        _ => engine_headers(builder, call),
    };
    builder.body(call.body.to_vec()).ok()
}

fn engine_headers(builder: request::Builder, call: &Call) -> request::Builder {
    let mut builder = builder
        .header("content-type", "application/json")
        .header("x-prompt-tokens", call.chain.tokens.to_string());
    if !call.chain.blocks.is_empty() {
        builder = builder.header("x-blocks", blocks(&call.chain));
    }
    if let Some(it) = call.weights {
        builder = builder.header("x-weights", it.to_string());
    }
    if let Some(it) = call.incarnation {
        builder = builder.header("x-incarnation", it.to_string());
    }
    if 0 < call.resume_at {
        builder = builder.header("x-resume-at", call.resume_at.to_string());
    }
    if let Some(it) = call.import {
        builder = builder.header("x-import", format!("{:016x}", it.0));
    }
    builder
}

fn blocks(chain: &Chain) -> String {
    let blocks = chain.blocks.iter().take(MAX_HEADER_BLOCKS);
    blocks.map(|it| format!("{:016x}", it.0)).collect::<Vec<_>>().join(",")
}

fn answer(call: &Call, response: Response<Body>) -> Answer {
    let header = |name: &str| response.headers().get(name).and_then(|it| it.to_str().ok());
    let status = response.status().as_u16();
    let content_type = Arc::from(header("content-type").unwrap_or("application/octet-stream"));
    let attempt = header("x-attempt").map(Arc::from);
    let incarnation = header("x-incarnation").and_then(|it| it.parse().ok()).map(Incarnation);
    let weights = header("x-weights").and_then(|it| it.parse().ok()).map(Weights);
    let not_run = header("x-not-run") == Some("1") && 400 <= status;
    let is_framed = is_framed(call, &response);
    let body = response.into_body().into_reader();
    let body: Box<dyn Read + Send> = match is_framed {
        true => Box::new(body),
        false => Box::new(unframed::Body::new(body, call.address)),
    };
    Answer { status, content_type, attempt, incarnation, weights, not_run, body }
}

/// Whether the answer ends without its connection.
fn is_framed(call: &Call, response: &Response<Body>) -> bool {
    let headers = response.headers();
    let is_head =
        matches!(&call.operation, Operation::Service { method, .. } if &**method == "HEAD");
    is_head
        || matches!(response.status().as_u16(), 204 | 304)
        || headers.contains_key("content-length")
        || headers.contains_key("transfer-encoding")
}

fn accepted(response: &Response<Body>) -> Result<(), Failure> {
    let status = response.status();
    if status.is_success() { Ok(()) } else { Err(Failure::Refused(status.as_u16())) }
}

fn control_failure(error: &ureq::Error) -> Failure {
    match error {
        ureq::Error::Io(it) if it.kind() == std::io::ErrorKind::ConnectionRefused => {
            Failure::Unreachable
        }
        ureq::Error::Timeout(ureq::Timeout::Connect) => Failure::Unreachable,
        _ => Failure::Lost,
    }
}

fn block(text: &str) -> Option<Block> {
    u64::from_str_radix(text, 16).ok().map(Block)
}

#[derive(Deserialize)]
struct Load {
    #[serde(default)]
    incarnation: Incarnation,
    #[serde(default)]
    age_ms: u64,
    #[serde(default)]
    waiting: u32,
    #[serde(default)]
    running: u32,
    #[serde(default)]
    waiting_tokens: u32,
    #[serde(default)]
    used_blocks: u32,
    #[serde(default)]
    total_blocks: u32,
}

#[derive(Deserialize)]
struct Events {
    incarnation: Incarnation,
    first: u64,
    events: Vec<Change>,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum Change {
    Stored(String),
    Evicted(String),
    Cleared,
}

impl Change {
    fn event(self) -> Option<Event> {
        match self {
            Change::Stored(it) => block(&it).map(Event::Stored),
            Change::Evicted(it) => block(&it).map(Event::Evicted),
            Change::Cleared => Some(Event::Cleared),
        }
    }
}

#[derive(Deserialize)]
struct Cached {
    incarnation: Incarnation,
    seq: u64,
    blocks: Vec<String>,
}
