//! Load shedding: which connections are let go when descriptors are short.

use std::time::Duration;

use crate::{
    core::{Core, Role, refusal::Refusal},
    net::{Endpoint, Key, Socket},
};

/// Share (1/n) of an endpoint's connections that make room for others at a time.
const SHARE_DIVISOR: usize = 16;

/// Pause between two searches for connections to shed.
const SEARCH_INTERVAL: Duration = Duration::from_millis(10);

impl Core {
    /// Makes room for connections that wait to be accepted, or closes them: without a descriptor, nobody would ever read
    /// their requests.
    pub(crate) fn shed_connections(&mut self) {
        if self.now < self.next_connection_search {
            return;
        }
        for endpoint in self.net.full_endpoints() {
            let limit = self.net.max_connections(endpoint);
            let spare = self.spare_connections(endpoint, (limit / SHARE_DIVISOR).max(1));
            for key in &spare {
                self.shed_connection(*key);
            }
            let rejected = if spare.is_empty() { self.net.reject_waiting(endpoint) } else { 0 };
            if spare.is_empty() {
                self.next_connection_search = self.now + SEARCH_INTERVAL;
            }
            if !spare.is_empty() || 0 < rejected {
                self.log
                    .line(self.now, "connections_short")
                    .text("endpoint", endpoint.name())
                    .number("limit", limit)
                    .number("closed", spare.len())
                    .number("rejected", rejected);
            }
        }
    }

    /// Up to `count` connections to `endpoint` on which no request runs or has just arrived.
    fn spare_connections(&self, endpoint: Endpoint, count: usize) -> Vec<Key> {
        let connections = self.roles.iter().filter_map(|(key, role)| {
            let is_sent = self.is_sent(*key);
            let rest = match role {
                Role::Caller(it) if endpoint == Endpoint::Callers => it.rest(self.now, is_sent),
                Role::Endpoint(it) if it.endpoint == endpoint => Some(it.rest(is_sent)),
                _ => None,
            };
            Some((rest?, *key))
        });
        let mut connections: Vec<_> = connections.collect();
        connections.sort_unstable_by_key(|it| it.0);
        let keys = connections.into_iter().map(|it| it.1);
        keys.filter(|it| self.net.get(*it).is_some_and(Socket::is_quiet)).take(count).collect()
    }

    /// Whether the kernel has all that was to be sent on the connection.
    fn is_sent(&self, key: Key) -> bool {
        self.net.get(key).is_none_or(|it| it.unsent_bytes() == 0)
    }

    fn shed_connection(&mut self, key: Key) {
        if matches!(self.roles.get(&key), Some(Role::Caller(_))) {
            self.shed_caller(key, Refusal::NoConnection);
        } else {
            self.close_connection(key);
        }
    }
}
