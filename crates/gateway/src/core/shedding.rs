//! Load shedding: which connections are let go when descriptors or memory are short.

use std::time::Duration;

use shallotlead_base::time::Time;

use crate::{
    core::{
        Core, Role,
        caller::{Caller, Inactivity},
        refusal::Refusal,
    },
    net::{Endpoint, Key, Socket},
};

/// Share (1/n) of an endpoint's connections that make room for others at a time.
const SHARE_DIVISOR: usize = 16;
/// Pause between two searches for connections to shed.
const SEARCH_INTERVAL: Duration = Duration::from_millis(10);

/// In which order connections are shed that hold memory.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Order {
    /// They make no progress.
    Stalled,
    /// They have sent further requests behind the one that runs.
    Pipelined,
    /// They are sent answers. Only while more is held than may be.
    Receiving,
}

impl Core {
    /// Makes room for connections that wait to be accepted, or closes them: without a descriptor, nobody would ever read
    /// their requests.
    pub(crate) fn shed_connections(&mut self) {
        if self.now < self.next_connection_search {
            return;
        }
        for endpoint in self.net.full_endpoints() {
            let limit = self.net.max_connections(endpoint);
            let inactive = self.inactive_connections(endpoint, (limit / SHARE_DIVISOR).max(1));
            for key in &inactive {
                self.shed_connection(*key);
            }
            let rejected = if inactive.is_empty() { self.net.reject_waiting(endpoint) } else { 0 };
            if inactive.is_empty() {
                self.next_connection_search = self.now + SEARCH_INTERVAL;
            }
            if !inactive.is_empty() || 0 < rejected {
                self.log
                    .line(self.now, "connections_short")
                    .text("endpoint", endpoint.name())
                    .number("limit", limit)
                    .number("closed", inactive.len())
                    .number("rejected", rejected);
            }
        }
    }

    /// Whether `bytes` are left for a body, at the cost of connections that make no progress.
    pub(crate) fn make_room(&mut self, bytes: usize) -> bool {
        if self.memory.has_left(bytes) {
            return true;
        }
        if self.memory.limit() < bytes || self.now < self.next_memory_search {
            return false;
        }
        self.net.trim_all();
        for (_, _, key) in self.holders(Order::Stalled) {
            if self.memory.has_left(bytes) {
                break;
            }
            self.shed_holder(key);
        }
        let has_left = self.memory.has_left(bytes);
        if !has_left {
            self.next_memory_search = self.now + SEARCH_INTERVAL;
        }
        has_left
    }

    /// Has less held until requests can be read, those that make no progress first.
    pub(crate) fn shed_memory(&mut self) {
        if !self.is_memory_short() || self.now < self.next_memory_search {
            return;
        }
        self.net.trim_all();
        let is_over = !self.memory.may_read(0);
        let last = if is_over { Order::Receiving } else { Order::Pipelined };
        let mut has_shed = false;
        for (_, _, key) in self.holders(last) {
            if !self.is_memory_short() {
                break;
            }
            self.shed_holder(key);
            has_shed = true;
        }
        if !is_over || !has_shed {
            self.next_memory_search = self.now + SEARCH_INTERVAL;
        }
    }

    fn is_memory_short(&self) -> bool {
        0 < self.memory.excess() || self.net.is_short()
    }

    /// Connections that hold memory and may be shed, up to `last`, in order.
    fn holders(&self, last: Order) -> Vec<(Order, Time, Key)> {
        let holders = self.roles.iter().filter_map(|(key, role)| {
            let socket = self.net.get(*key)?;
            let (order, since) = match role {
                Role::Caller(it) => self.caller_order(it, socket)?,
                Role::Endpoint(it) if 0 < socket.unsent_bytes() => (Order::Receiving, it.since),
                Role::Endpoint(it) if 0 < socket.held_bytes() => (Order::Stalled, it.since),
                Role::Endpoint(_) | Role::Backend(_) | Role::Control(_) => return None,
            };
            Some((order, since, *key))
        });
        let mut holders: Vec<_> = holders.filter(|it| it.0 <= last).collect();
        holders.sort_unstable_by_key(|it| (it.0, it.1));
        holders
    }

    fn caller_order(&self, caller: &Caller, socket: &Socket) -> Option<(Order, Time)> {
        let is_sent = socket.unsent_bytes() == 0;
        if let Some(index) = caller.exchange() {
            let resumed = self.exchanges.get(index)?.delivery.resumed;
            return match is_sent {
                true if socket.input.is_empty() => None,
                true => Some((Order::Pipelined, resumed)),
                false => Some((Order::Receiving, resumed)),
            };
        }
        match caller.inactivity(self.now, is_sent) {
            Some((Inactivity::Unused | Inactivity::Idle, _)) => None,
            Some((_, since)) => Some((Order::Stalled, since)),
            None if is_sent => None,
            None => Some((Order::Receiving, caller.since())),
        }
    }

    fn shed_holder(&mut self, key: Key) {
        self.memory_sheds += 1;
        let is_caller = matches!(self.roles.get(&key), Some(Role::Caller(_)));
        let is_refused = self.refuse_incoming_at(key, Refusal::NoMemory)
            || (self.unsent_bytes(key) == 0 && self.drop_requests(key));
        match is_caller {
            _ if is_refused => {}
            true => self.shed_caller(key, Refusal::NoMemory),
            false => self.close_connection(key),
        }
    }

    /// Up to `count` connections to `endpoint` on which no request runs or has just arrived.
    fn inactive_connections(&self, endpoint: Endpoint, count: usize) -> Vec<Key> {
        let connections = self.roles.iter().filter_map(|(key, role)| {
            let is_sent = self.unsent_bytes(*key) == 0;
            let inactivity = match role {
                Role::Caller(it) if endpoint == Endpoint::Callers => {
                    it.inactivity(self.now, is_sent)
                }
                Role::Endpoint(it) if it.endpoint == endpoint => Some(it.inactivity(is_sent)),
                _ => None,
            };
            Some((inactivity?, *key))
        });
        let mut connections: Vec<_> = connections.collect();
        connections.sort_unstable_by_key(|it| it.0);
        let keys = connections.into_iter().map(|it| it.1);
        keys.filter(|it| self.net.get(*it).is_some_and(Socket::is_quiet)).take(count).collect()
    }

    fn shed_connection(&mut self, key: Key) {
        if matches!(self.roles.get(&key), Some(Role::Caller(_))) {
            self.shed_caller(key, Refusal::NoConnection);
        } else {
            self.close_connection(key);
        }
    }
}
