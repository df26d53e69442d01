//! The instance's own HTTP endpoints: readiness, the directory of addresses for callers, metrics, requests in
//! quarantine, servers that limit their rate, quotas of organisations, and the state for other instances.

mod quarantine;
mod quota;
mod rate_limit;

use std::net::SocketAddr;

use serde::Serialize;
use shallotlead_base::time::Time;

use crate::{
    core::{Core, Role, answer::MAX_UNSENT_BYTES, caller::Inactivity, state::STATE_PATH},
    http::{body::Framing, head::Request, write},
    net::{Endpoint, Key, Socket},
    quarantine::endpoint::Problem,
};

/// Longest head of a request to an endpoint, bytes.
const MAX_HEAD: usize = 16 * 1024;
/// Least addresses in an answer of the directory, if there are as many. A caller with one address only would
/// have nowhere to go after that instance failed, until the answer's time to live is over.
const MIN_ADDRESSES: usize = 2;
/// Most addresses in an answer of the directory.
const MAX_ADDRESSES: usize = 64;

/// A client's connection to an endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Client {
    pub(crate) endpoint: Endpoint,
    /// When it was opened, or a request was answered on it.
    pub(crate) since: Time,
}

impl Client {
    /// Why nothing happens on it and since when. `is_sent`: the kernel has all of its answers.
    pub(crate) fn inactivity(&self, is_sent: bool) -> (Inactivity, Time) {
        (if is_sent { Inactivity::Idle } else { Inactivity::Undelivered }, self.since)
    }
}

impl Core {
    /// Answers the requests that arrived on a connection.
    pub(crate) fn read_endpoint(&mut self, key: Key) {
        loop {
            let Some(Role::Endpoint(client)) = self.roles.get(&key) else { return };
            let endpoint = client.endpoint;
            let Some(socket) = self.net.get_mut(key) else { return };
            if MAX_UNSENT_BYTES < socket.unsent_bytes() {
                // Reading resumes once the client has taken its answers.
                return;
            }
            let head = match Request::decode(&mut socket.input, MAX_HEAD) {
                Ok(Some(head)) => head,
                Ok(None) => return,
                Err(_) => {
                    self.close_connection(key);
                    return;
                }
            };
            let (status, content_type, body) = self.answer_endpoint(endpoint, &head);
            // Bodies aren't read, and the connection is closed after a request with one. Parsed as the next
            // request, a body could smuggle in one that its sender may not make, such as a DELETE by a web page
            // in an operator's browser.
            let has_no_body = matches!(head.framing, Framing::Empty | Framing::Length(0));
            let keeps_alive = has_no_body && head.keeps_alive();
            let close = [("Connection", "close".to_owned())];
            let extra = if keeps_alive { &[][..] } else { &close[..] };
            self.net.send(key, &write::response(status, content_type, &body, extra));
            if let Some(Role::Endpoint(client)) = self.roles.get_mut(&key) {
                client.since = self.now;
            }
            if !keeps_alive {
                self.close_connection(key);
                return;
            }
        }
    }

    /// Status, content type and body of the answer to a request.
    fn answer_endpoint(
        &mut self,
        endpoint: Endpoint,
        head: &Request,
    ) -> (u16, &'static str, Vec<u8>) {
        const JSON: &str = "application/json";
        const BYTES: &str = "application/octet-stream";
        const TEXT: &str = "text/plain; version=0.0.4";
        match endpoint {
            Endpoint::Ready if self.adapter.is_readiness_probe(head) => {
                let status = if self.is_ready() { 200 } else { 503 };
                (status, JSON, b"{}".to_vec())
            }
            Endpoint::Directory => match self.adapter.parse_lookup(head) {
                Some(lookup) => {
                    let addresses = self.addresses(&lookup.centre);
                    let status = if addresses.is_empty() { 503 } else { 200 };
                    (
                        status,
                        JSON,
                        self.adapter.lookup_body(&addresses, self.settings.directory_ttl),
                    )
                }
                None => (404, JSON, b"{}".to_vec()),
            },
            Endpoint::Metrics => {
                let answer = self
                    .answer_quarantine(head)
                    .or_else(|| self.answer_limits(head))
                    .or_else(|| self.answer_quotas(head));
                if let Some((status, body)) = answer {
                    return (status, JSON, body);
                }
                self.refresh_gauges();
                (200, TEXT, self.stats.render().into_bytes())
            }
            Endpoint::Peers if head.path() == STATE_PATH => {
                let number =
                    |name| head.query_parameter(name).and_then(|it| it.parse().ok()).unwrap_or(0);
                (200, BYTES, self.encode_state(number("configuration"), number("entries")))
            }
            Endpoint::Peers | Endpoint::Ready | Endpoint::Callers => (404, JSON, b"{}".to_vec()),
        }
    }

    /// Bytes of endpoints' answers that weren't handed to the kernel yet.
    pub(crate) fn unsent_endpoint_bytes(&self) -> usize {
        let endpoints = self.roles.iter().filter(|it| matches!(it.1, Role::Endpoint(_)));
        endpoints.filter_map(|it| self.net.get(*it.0)).map(Socket::unsent_bytes).sum()
    }

    /// The addresses that callers in the data centre should use: instances there, and others if those are too
    /// few.
    fn addresses(&self, centre: &str) -> Vec<SocketAddr> {
        let me = self.members.me();
        let mut others =
            self.members.alive(self.now).filter(|it| it.is_ready && !it.is_leaving).peekable();
        let is_needed = !self.is_cut_off() || others.peek().is_none();
        let own = (self.is_ready() && is_needed).then_some(me);
        let (mut local, mut remote): (Vec<_>, Vec<_>) =
            others.chain(own).partition(|it| *it.centre == *centre);
        local.sort_by_key(|it| it.callers);
        remote.sort_by_key(|it| it.callers);
        let missing = MIN_ADDRESSES.saturating_sub(local.len());
        local.extend(remote.into_iter().take(missing));
        local.iter().map(|it| it.callers).take(MAX_ADDRESSES).collect()
    }
}

/// Status and body of an error answer to an operator.
fn problem(status: u16, error: &str) -> (u16, Vec<u8>) {
    json(status, &Problem { error: error.to_owned() })
}

/// Status and body of an answer in JSON.
fn json(status: u16, value: &impl Serialize) -> (u16, Vec<u8>) {
    match serde_json::to_vec(value) {
        Ok(body) => (status, body),
        Err(err) => {
            log::error!("cannot serialise an answer to an operator: {err}");
            (500, b"{}".to_vec())
        }
    }
}
