//! Connections to backend servers: their pool, and the parsing of responses.

use std::{io::ErrorKind, time::Duration};

use crate::{
    core::{Core, Role, exchange::Exchange, idle::Idle, reply::Reply},
    http::{
        body::Framing,
        head::{Decoder, Response},
    },
    net::{Key, Socket, Timeout},
    pool,
};

/// Longest head of a server's response, bytes.
const MAX_HEAD: usize = 64 * 1024;
/// Most answers to other requests that are skipped while an answer is awaited, and the most bytes of their bodies.
const MAX_SKIPPED_ANSWERS: usize = 8;
const MAX_SKIPPED_BYTES: usize = 512 * 1024;
/// What a server's idle limit is taken for if it announces none.
const DEFAULT_IDLE_LIMIT: Duration = Duration::from_secs(2);

/// One connection to a backend server.
pub(crate) struct Backend {
    pub(crate) server: pool::Id,
    /// Index of the exchange that it is busy with.
    pub(crate) exchange: Option<usize>,
    /// The response whose head was read.
    reading: Option<Reading>,
    /// Reads the head of the next response.
    decoder: Decoder,
    /// What was skipped while the current request's answer is awaited.
    skipped: Skipped,
    /// How long it may be reused.
    idle: Idle,
    /// Whether it has carried an earlier request.
    is_reused: bool,
}

/// A response whose head was read.
struct Reading {
    /// Whether the connection can't be reused after it.
    closes: bool,
    framing: Framing,
    /// Number of body bytes that were received.
    body_bytes: u64,
    /// Whether it answers another request and is skipped.
    is_foreign: bool,
}

/// Answers to other requests.
#[derive(Clone, Copy, Debug, Default)]
struct Skipped {
    answers: usize,
    /// Bytes of their bodies.
    bytes: usize,
}

/// What the parsing of a response waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Pacing {
    /// Nothing. The input buffer bounds what is parsed.
    None,
    /// Its caller, while that reads slowly.
    ByCaller,
}

impl Core {
    /// Returns an idle or a new connection to `server`, or `None` if this instance's share of the server's
    /// connections is in use or no new one could be opened.
    pub(crate) fn acquire_connection(&mut self, server: pool::Id, index: usize) -> Option<Key> {
        if let Some(key) = self.idle_connection(server) {
            if let Some(Role::Backend(it)) = self.roles.get_mut(&key) {
                it.exchange = Some(index);
                it.skipped = Skipped::default();
                it.is_reused = true;
            }
            return Some(key);
        }
        if !self.may_connect(server) {
            return None;
        }
        let entry = self.pool.get(server);
        let timeout = match entry.is_instance {
            true => Timeout::Peer,
            false => Timeout::Server,
        };
        match self.net.connect(entry.address, timeout) {
            Ok(key) => {
                self.pool.get_mut(server).connections += 1;
                let backend = Backend {
                    server,
                    exchange: Some(index),
                    reading: None,
                    decoder: Decoder::default(),
                    skipped: Skipped::default(),
                    idle: Idle::new(DEFAULT_IDLE_LIMIT),
                    is_reused: false,
                };
                self.roles.insert(key, Role::Backend(backend));
                self.stats.count_connection();
                Some(key)
            }
            Err(err) => {
                self.log
                    .line(self.now, "connect_failed")
                    .text("server", &self.pool.get(server).name)
                    .text("error", &err.to_string());
                None
            }
        }
    }

    /// Handles what has arrived on the connection.
    pub(crate) fn receive_backend(&mut self, key: Key) {
        if let Some(Role::Backend(backend)) = self.roles.get(&key) {
            self.pool.get_mut(backend.server).heard_at = self.now;
        }
        self.read_backend(key);
    }

    /// Handles what had arrived on the connection before, if anything.
    pub(crate) fn read_backend(&mut self, key: Key) {
        if self.focus_backend(key) {
            self.read_response(key, Pacing::ByCaller);
        }
    }

    /// Whether there is an idle connection to the server, or a new one may be opened.
    pub(crate) fn has_connection(&self, server: pool::Id) -> bool {
        self.may_connect(server) || self.idle_connection(server).is_some()
    }

    /// An idle connection to the server.
    fn idle_connection(&self, server: pool::Id) -> Option<Key> {
        let idle = self.roles.iter().filter_map(|(key, role)| match role {
            Role::Backend(it)
                if it.server == server && it.exchange.is_none() && !it.idle.is_over(self.now) =>
            {
                Some((it.idle.until(), *key))
            }
            _ => None,
        });
        // The server may have closed some of them in the events that are still to be handled, or since the last poll.
        let open = idle.filter(|it| self.net.get(it.1).is_some_and(Socket::is_quiet));
        // The one that was used last is the least likely to be closed by the server at this moment.
        open.max_by_key(|it| it.0).map(|it| it.1)
    }

    /// Whether this instance's share of the server's connections has room for another one.
    fn may_connect(&self, server: pool::Id) -> bool {
        let entry = self.pool.get(server);
        let max_connections =
            self.service(&entry.service).map_or(u32::MAX, |it| it.max_connections);
        let share = (max_connections / self.members.budget_sharers().max(1)).max(1);
        entry.connections < share
    }

    /// Makes the attempt on the connection the current one of its exchange, unless it is held back. Returns whether it
    /// is; a connection that belongs to no attempt is closed.
    fn focus_backend(&mut self, key: Key) -> bool {
        let Some(Role::Backend(Backend { exchange: Some(index), server, .. })) =
            self.roles.get(&key)
        else {
            return true;
        };
        let (index, server) = (*index, *server);
        if self.is_held_back(index, key) {
            return false;
        }
        self.focus_connection(index, key);
        let exchange = self.exchanges.get(index);
        let attempt = exchange.and_then(|it| it.attempt.as_ref());
        if attempt.is_some_and(|it| it.connection == key) {
            return true;
        }
        self.log
            .line(self.now, "stray_connection")
            .text("request", exchange.map_or("", |it| it.id()))
            .text("server", &self.pool.get(server).name);
        self.close_backend(key);
        false
    }

    /// Parses what was received on the connection.
    fn read_response(&mut self, key: Key, pacing: Pacing) {
        loop {
            let Some(Role::Backend(backend)) = self.roles.get_mut(&key) else { return };
            let Some(index) = backend.exchange else {
                // Bytes without a request; nothing that follows could be attributed to one either.
                self.close_backend(key);
                return;
            };
            let is_paced = pacing == Pacing::ByCaller;
            if is_paced && backend.reading.is_some() && self.is_backpressured(index) {
                // Reading resumes once the caller has taken what it was sent.
                return;
            }
            let is_head_request = self.exchanges.get(index).is_some_and(|it| it.head.is_head());
            let Some(Role::Backend(backend)) = self.roles.get_mut(&key) else { return };
            let Some(socket) = self.net.get_mut(key) else { return };
            let Some(reading) = &mut backend.reading else {
                match backend.decoder.decode(&mut socket.input, MAX_HEAD, is_head_request) {
                    Ok(None) => return,
                    Ok(Some(head)) => {
                        backend.decoder = Decoder::default();
                        self.begin_response(key, index, head);
                    }
                    Err(error) => {
                        self.log
                            .line(self.now, "garbled")
                            .text("server", &self.pool.get(backend.server).name)
                            .text("error", &error.to_string());
                        self.handle_broken_attempt(index, "garbled");
                        return;
                    }
                }
                continue;
            };
            let mut body = Vec::new();
            let done = reading.framing.decode(&mut socket.input, &mut body);
            reading.body_bytes += body.len() as u64;
            let is_foreign = reading.is_foreign;
            if body.is_empty() && matches!(done, Ok(false)) {
                // Input that was read before is no sign of life.
                self.net.resume_reading(key);
                return;
            }
            let done = match done {
                Ok(done) => done,
                Err(_) => {
                    self.handle_broken_attempt(index, "garbled");
                    return;
                }
            };
            if is_foreign {
                backend.skipped.bytes += body.len();
                if MAX_SKIPPED_BYTES < backend.skipped.bytes {
                    self.handle_broken_attempt(index, "garbled");
                    return;
                }
                if !done {
                    self.net.resume_reading(key);
                    return;
                }
                backend.reading = None;
                continue;
            }
            self.net.resume_reading(key);
            if !self.receive_body(index, &body, done) || !done {
                return;
            }
            self.end_response(key, index);
            return;
        }
    }

    /// Handles the head of a response: checks that it answers the exchange's request.
    fn begin_response(&mut self, key: Key, index: usize, head: Response) {
        let answer = self.adapter.parse_response(&head);
        let reply = Reply { head, answer };
        if let Some(Role::Backend(backend)) = self.roles.get(&key) {
            self.apply_signals(backend.server, &reply, "answer");
        }
        let Reply { head, answer } = reply;
        let Some(exchange) = self.exchanges.get(index) else { return };
        // The answer to an earlier request may arrive late on the same connection. It is recognised by its
        // request id; otherwise it would reach the wrong caller, or have a running request sent again. Only a
        // server that declines a request before reading it may omit the id.
        let is_foreign = match &answer.id {
            Some(id) => exchange.info.id.as_ref() != Some(id),
            None => !answer.is_declined,
        };
        let Some(Role::Backend(backend)) = self.roles.get_mut(&key) else { return };
        // An answer "not run" without an id that arrives late may mean an earlier request of this connection,
        // and the current one would run twice. It counts only on a new connection, or if it has the name of
        // another server, which runs no request that is meant for this one.
        let is_other_server = answer.names_another(&self.pool.get(backend.server).name);
        if answer.id.is_none() && answer.is_declined && backend.is_reused && !is_other_server {
            self.handle_broken_attempt(index, "nameless");
            return;
        }
        backend.idle.observe(answer.keep_alive);
        if is_foreign {
            let name = &self.pool.get(backend.server).name;
            self.log
                .line(self.now, "foreign_answer")
                .text("request", exchange.id())
                .text("server", name)
                .text("answers", answer.id.as_deref().unwrap_or_default());
        }
        backend.reading = Some(Reading {
            closes: head.closes_connection,
            framing: head.framing,
            body_bytes: 0,
            is_foreign,
        });
        if !is_foreign {
            self.receive_head(index, Reply { head, answer });
            return;
        }
        backend.skipped.answers += 1;
        if MAX_SKIPPED_ANSWERS < backend.skipped.answers {
            self.handle_broken_attempt(index, "garbled");
        }
    }

    /// Handles the end of a response: the connection may be reused.
    fn end_response(&mut self, key: Key, index: usize) {
        let now = self.now;
        let is_dirty =
            self.net.get(key).is_none_or(|it| 0 < it.unsent_bytes() || !it.input.is_empty());
        let Some(Role::Backend(backend)) = self.roles.get_mut(&key) else { return };
        if self.pool.get(backend.server).is_instance {
            // It holds this connection to the limit for its callers.
            let limit = self.limits.since(now).idle_timeout.min(DEFAULT_IDLE_LIMIT);
            backend.idle.observe(Some(limit));
        }
        let closes = backend.reading.take().is_none_or(|it| it.closes);
        backend.exchange = None;
        backend.idle.begin(now);
        if closes || is_dirty || backend.idle.is_over(now) {
            self.close_backend(key);
        }
        self.finish_exchange(index);
    }

    /// Handles a connection to a server that ended. `kind` is the error, or `None` if the server closed it
    /// properly.
    pub(crate) fn handle_backend_end(&mut self, key: Key, kind: Option<ErrorKind>) {
        if let Some(Role::Backend(Backend { exchange: Some(index), .. })) = self.roles.get(&key)
            && self.is_held_back(*index, key)
        {
            self.hold_back_end(*index, kind);
            return;
        }
        if !self.focus_backend(key) {
            return;
        }
        // What a slow caller or another attempt has kept from being parsed still belongs to the answer.
        self.read_response(key, Pacing::None);
        let is_sent = self.unsent_bytes(key) == 0;
        let Some(Role::Backend(backend)) = self.roles.get(&key) else { return };
        let Some(index) = backend.exchange else {
            self.close_backend(key);
            return;
        };
        let unframed = backend
            .reading
            .as_ref()
            .filter(|it| it.framing == Framing::UntilClose && !it.is_foreign);
        let body_bytes = unframed.map(|it| it.body_bytes);
        let kind = kind.or_else(|| body_bytes.and_then(|_| self.take_connection_error(key)));
        if let Some(body_bytes) = body_bytes {
            self.record_unframed_end(index, body_bytes, kind);
        }
        if body_bytes.is_some() && kind.is_none() {
            if !is_sent && self.is_success(index) {
                // More of the request would have the connection reset: its end says nothing of the answer.
                self.handle_broken_attempt(index, "closed-within-request");
                return;
            }
            // Stays open until the server was checked: it may still be reset.
            self.handle_unframed_end(index);
            return;
        }
        let is_connecting = self.is_connecting(key);
        match (is_connecting, kind) {
            (true, _) => self.handle_unrun_attempt(index, "connect-failed", true),
            (false, None) => self.handle_broken_attempt(index, "closed"),
            (false, Some(ErrorKind::ConnectionReset)) => self.handle_broken_attempt(index, "reset"),
            (false, Some(ErrorKind::TimedOut)) => self.handle_broken_attempt(index, "timed-out"),
            (false, Some(_)) => self.handle_broken_attempt(index, "connection-lost"),
        }
    }

    /// The error that has ended the connection, if one has.
    pub(crate) fn take_connection_error(&mut self, key: Key) -> Option<ErrorKind> {
        self.net.get_mut(key)?.take_error()
    }

    /// Whether the head that was received for the exchange says that the request succeeded.
    fn is_success(&self, index: usize) -> bool {
        self.exchanges.get(index).and_then(Exchange::reply).is_some_and(Reply::is_success)
    }

    /// Closes a connection to a server and updates the server's count.
    pub(crate) fn close_backend(&mut self, key: Key) {
        if let Some(Role::Backend(it)) = self.roles.get(&key) {
            let server = self.pool.get_mut(it.server);
            server.connections = server.connections.saturating_sub(1);
        }
        self.close_connection(key);
    }

    /// Closes idle connections shortly before their servers would.
    pub(crate) fn sweep_backends(&mut self) {
        let now = self.now;
        self.close_idle_where(|it| it.idle.is_over(now));
    }

    /// Closes all idle connections to a server that is gone.
    pub(crate) fn close_idle(&mut self, server: pool::Id) {
        self.close_idle_where(|it| it.server == server);
    }

    fn close_idle_where(&mut self, is_chosen: impl Fn(&Backend) -> bool) {
        let is_idle =
            |it: &Role| matches!(it, Role::Backend(it) if it.exchange.is_none() && is_chosen(it));
        let keys: Vec<Key> = self.roles.iter().filter(|it| is_idle(it.1)).map(|it| *it.0).collect();
        for key in keys {
            self.close_backend(key);
        }
    }
}
