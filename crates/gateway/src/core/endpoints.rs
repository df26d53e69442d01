//! The small pages: readiness, addresses for callers, metrics, requests in quarantine, servers that limit
//! their rate, and knowledge for other instances.

mod quarantine;
mod rate_limit;

use std::net::SocketAddr;

use serde::Serialize;

use crate::{
    core::{Core, Role, state::STATE_PATH},
    http::{body::Framing, head::Request, write},
    net::{Door, Key, Socket},
    quarantine::page::Problem,
};

/// Longest head of a request to a page.
const MAX_HEAD: usize = 16 * 1024;
/// Addresses that a caller is given at least, if there are as many: a caller whose only instance
/// has died has nowhere to go until its answer is too old.
const MIN_ADDRESSES: usize = 2;
/// Addresses that a caller is given at most.
const MAX_ADDRESSES: usize = 64;

impl Core {
    pub(crate) fn endpoint_readable(&mut self, key: Key) {
        loop {
            let Some(Role::Endpoint(door)) = self.roles.get(&key) else { return };
            let door = *door;
            let Some(socket) = self.net.get_mut(key) else { return };
            let head = match Request::take(&mut socket.input, MAX_HEAD) {
                Ok(Some(head)) => head,
                Ok(None) => return,
                Err(_) => {
                    self.close_connection(key);
                    return;
                }
            };
            let (status, kind, body) = self.answer_endpoint(door, &head);
            // A body isn't read. Taken for the next head, it could carry an order that its sender may not give,
            // as a web page that an operator's browser shows.
            let is_bare = matches!(head.framing, Framing::Empty | Framing::Length(0));
            let keeps = is_bare && head.keeps_alive();
            let close = [("Connection", "close".to_owned())];
            let extra = if keeps { &[][..] } else { &close[..] };
            self.net.send(key, &write::response(status, kind, &body, extra));
            if !keeps {
                self.close_connection(key);
                return;
            }
        }
    }

    fn answer_endpoint(&mut self, door: Door, head: &Request) -> (u16, &'static str, Vec<u8>) {
        const JSON: &str = "application/json";
        const BYTES: &str = "application/octet-stream";
        const TEXT: &str = "text/plain; version=0.0.4";
        match door {
            Door::Ready if self.dialect.asks_ready(head) => {
                let status = if self.is_ready() { 200 } else { 503 };
                (status, JSON, b"{}".to_vec())
            }
            Door::Directory => match self.dialect.lookup(head) {
                Some(lookup) => {
                    let addresses = self.addresses(&lookup.centre);
                    let status = if addresses.is_empty() { 503 } else { 200 };
                    (status, JSON, self.dialect.addresses(&addresses, self.settings.ttl))
                }
                None => (404, JSON, b"{}".to_vec()),
            },
            Door::Metrics => {
                let page = self.answer_quarantine(head).or_else(|| self.answer_limits(head));
                if let Some((status, body)) = page {
                    return (status, JSON, body);
                }
                self.refresh_gauges();
                (200, TEXT, self.stats.render().into_bytes())
            }
            Door::Peers if head.path() == STATE_PATH => {
                let number =
                    |name| head.parameter(name).and_then(|it| it.parse().ok()).unwrap_or(0);
                (200, BYTES, self.state(number("configuration"), number("entries")))
            }
            Door::Peers | Door::Ready | Door::Callers => (404, JSON, b"{}".to_vec()),
        }
    }

    /// Bytes of pages' answers that the kernel hasn't taken yet.
    pub(crate) fn unsent_endpoint_bytes(&self) -> usize {
        let pages = self.roles.iter().filter(|it| matches!(it.1, Role::Endpoint(_)));
        pages.filter_map(|it| self.net.get(*it.0)).map(Socket::unsent).sum()
    }

    /// The addresses that callers in `centre` should use: those nearby, if there are enough.
    fn addresses(&mut self, centre: &str) -> Vec<SocketAddr> {
        let is_ready = self.is_ready();
        let me = self.members.me().clone();
        let others = self.members.alive(self.now).filter(|it| it.is_ready && !it.is_leaving);
        let own = is_ready.then_some(&me);
        let (mut near, mut far): (Vec<_>, Vec<_>) =
            others.chain(own).partition(|it| *it.centre == *centre);
        near.sort_by_key(|it| it.callers);
        far.sort_by_key(|it| it.callers);
        let more = MIN_ADDRESSES.saturating_sub(near.len());
        near.extend(far.into_iter().take(more));
        near.iter().map(|it| it.callers).take(MAX_ADDRESSES).collect()
    }
}

fn problem(status: u16, error: &str) -> (u16, Vec<u8>) {
    json(status, &Problem { error: error.to_owned() })
}

fn json(status: u16, value: &impl Serialize) -> (u16, Vec<u8>) {
    match serde_json::to_vec(value) {
        Ok(body) => (status, body),
        Err(err) => {
            log::error!("an operators' page can't be written: {err}");
            (500, b"{}".to_vec())
        }
    }
}
