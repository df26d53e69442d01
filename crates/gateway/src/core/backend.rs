//! Connections to backend servers.

use std::{io::ErrorKind, time::Duration};

use shallotlead_base::time::Time;

use crate::{
    core::{Core, Role, attempt::Reply},
    http::{body::Framing, head::Response},
    net::Key,
    pool,
};

/// Longest head of a server's response.
const MAX_HEAD: usize = 64 * 1024;
/// Part of a server's idle limit for which a connection is used again. Behind it a request could
/// cross the server's close, and nobody could tell whether it ran.
const IDLE_FRACTION: f64 = 0.6;
/// How long an idle connection is kept when the server names no limit.
const IDLE: Duration = Duration::from_secs(2);

/// One connection to a backend server.
pub(crate) struct Backend {
    pub(crate) server: pool::Id,
    /// The exchange that it is busy with.
    pub(crate) exchange: Option<usize>,
    /// The response that is being read.
    reading: Option<Reading>,
    keep_alive: Duration,
    /// Until when an idle connection may be used.
    pub(crate) idle_until: Time,
    /// It has carried another request before.
    is_reused: bool,
}

struct Reading {
    /// The connection can't carry another exchange after it.
    closes: bool,
    framing: Framing,
    /// It answers another request and is read only to get past it.
    is_foreign: bool,
}

impl Core {
    /// A connection to `server`: an idle one, or a new one. `None`: all that may be used are busy,
    /// or no new one could be opened.
    pub(crate) fn acquire_connection(&mut self, server: pool::Id, place: usize) -> Option<Key> {
        let idle = self.roles.iter().filter_map(|(key, role)| match role {
            Role::Backend(it)
                if it.server == server && it.exchange.is_none() && self.now < it.idle_until =>
            {
                Some((it.idle_until, *key))
            }
            _ => None,
        });
        // The one that was used last is the least likely to be closed by the server right now.
        if let Some((_, key)) = idle.max_by_key(|it| it.0) {
            if let Some(Role::Backend(it)) = self.roles.get_mut(&key) {
                it.exchange = Some(place);
                it.is_reused = true;
            }
            return Some(key);
        }
        let row = self.pool.get(server);
        let most = self.service(&row.service).map_or(u32::MAX, |it| it.max_connections);
        let share = (most / self.members.sharers().max(1)).max(1);
        if share <= row.connections {
            return None;
        }
        let address = row.address;
        match self.net.connect(address) {
            Ok(key) => {
                self.pool.get_mut(server).connections += 1;
                let backend = Backend {
                    server,
                    exchange: Some(place),
                    reading: None,
                    keep_alive: IDLE,
                    idle_until: Time::ZERO,
                    is_reused: false,
                };
                self.roles.insert(key, Role::Backend(backend));
                self.stats.connected();
                Some(key)
            }
            Err(err) => {
                self.journal
                    .line(self.now, "connect_failed")
                    .text("server", &self.pool.get(server).name)
                    .text("error", &err.to_string());
                None
            }
        }
    }

    pub(crate) fn backend_readable(&mut self, key: Key) {
        loop {
            let Some(Role::Backend(backend)) = self.roles.get_mut(&key) else { return };
            let Some(place) = backend.exchange else {
                // Bytes that no request asked for: whatever follows can't be trusted either.
                self.close_backend(key);
                return;
            };
            if backend.reading.is_some() && self.is_backpressured(place) {
                // Read on once the caller has taken what it was sent.
                return;
            }
            let to_head = self.exchanges.get(place).is_some_and(|it| &*it.head.method == "HEAD");
            let Some(Role::Backend(backend)) = self.roles.get_mut(&key) else { return };
            let Some(socket) = self.net.get_mut(key) else { return };
            let Some(reading) = &mut backend.reading else {
                match Response::take(&mut socket.input, MAX_HEAD, to_head) {
                    Ok(None) => return,
                    Ok(Some(head)) => self.begin_response(key, place, head),
                    Err(error) => {
                        self.journal
                            .line(self.now, "garbled")
                            .text("server", &self.pool.get(backend.server).name)
                            .text("error", &error.to_string());
                        self.attempt_broken(place, "garbled");
                        return;
                    }
                }
                continue;
            };
            let mut body = Vec::new();
            let done = reading.framing.take(&mut socket.input, &mut body);
            let is_foreign = reading.is_foreign;
            let done = match done {
                Ok(done) => done,
                Err(_) => {
                    self.attempt_broken(place, "garbled");
                    return;
                }
            };
            if is_foreign {
                if !done {
                    return;
                }
                backend.reading = None;
                continue;
            }
            self.net.resume(key);
            if !self.receive_body(place, &body, done) || !done {
                return;
            }
            self.end_response(key, place);
            return;
        }
    }

    fn begin_response(&mut self, key: Key, place: usize, head: Response) {
        let answer = self.dialect.answer(&head);
        let Some(exchange) = self.exchanges.get(place) else { return };
        // Guards against the answer of an earlier request, which may come late on the same connection:
        // it would reach the wrong caller, or have a request sent again that is running. It shows by
        // its id. Only a server that turns a request away before reading it may leave the id out.
        let is_foreign = match &answer.id {
            Some(id) => exchange.ask.id.as_ref() != Some(id),
            None => !answer.is_not_run,
        };
        let Some(Role::Backend(backend)) = self.roles.get_mut(&key) else { return };
        // Guards against a second run: a word that nothing was run may come late and mean an earlier request of
        // this connection. Only another server, which never ran any, proves itself by its own name.
        let server = &self.pool.get(backend.server).name;
        let is_other = answer.server.as_ref().is_some_and(|it| **it != **server);
        if answer.id.is_none() && answer.is_not_run && backend.is_reused && !is_other {
            self.attempt_broken(place, "nameless");
            return;
        }
        if let Some(it) = answer.keep_alive {
            backend.keep_alive = it;
        }
        if is_foreign {
            let name = &self.pool.get(backend.server).name;
            self.journal
                .line(self.now, "foreign_answer")
                .text("request", exchange.id())
                .text("server", name)
                .text("answers", answer.id.as_deref().unwrap_or_default());
        }
        backend.reading = Some(Reading { closes: head.closes, framing: head.framing, is_foreign });
        if !is_foreign {
            self.receive_head(place, Reply { head, answer });
        }
    }

    /// The response was read to its end: the connection may carry another request.
    fn end_response(&mut self, key: Key, place: usize) {
        let now = self.now;
        let unsent = self.net.get(key).is_none_or(|it| 0 < it.unsent() || !it.input.is_empty());
        let Some(Role::Backend(backend)) = self.roles.get_mut(&key) else { return };
        let closes = backend.reading.take().is_none_or(|it| it.closes);
        backend.exchange = None;
        backend.idle_until = now + backend.keep_alive.mul_f64(IDLE_FRACTION);
        if closes || unsent || backend.keep_alive.is_zero() {
            self.close_backend(key);
        }
        self.finish_exchange(place);
    }

    pub(crate) fn backend_ended(&mut self, key: Key, kind: Option<ErrorKind>) {
        let Some(Role::Backend(backend)) = self.roles.get(&key) else { return };
        let Some(place) = backend.exchange else {
            self.close_backend(key);
            return;
        };
        let until_close = backend
            .reading
            .as_ref()
            .is_some_and(|it| it.framing == Framing::UntilClose && !it.is_foreign);
        if until_close && kind.is_none() {
            if self.receive_body(place, &[], true) {
                self.end_response(key, place);
            }
            return;
        }
        let connecting = self.is_connecting(key);
        match (connecting, kind) {
            (true, _) => self.attempt_not_run(place, "connect-failed", true),
            (false, None) => self.attempt_broken(place, "closed"),
            (false, Some(ErrorKind::ConnectionReset)) => self.attempt_broken(place, "reset"),
            (false, Some(_)) => self.attempt_broken(place, "connection-lost"),
        }
    }

    /// Closes a connection to a server.
    pub(crate) fn close_backend(&mut self, key: Key) {
        if let Some(Role::Backend(it)) = self.roles.get(&key) {
            let server = self.pool.get_mut(it.server);
            server.connections = server.connections.saturating_sub(1);
        }
        self.close_connection(key);
    }

    /// Closes idle connections before their servers do.
    pub(crate) fn sweep_backends(&mut self) {
        let now = self.now;
        self.close_idle_where(|it| it.idle_until <= now);
    }

    /// A server is gone: its idle connections are of no use.
    pub(crate) fn close_idle(&mut self, server: pool::Id) {
        self.close_idle_where(|it| it.server == server);
    }

    fn close_idle_where(&mut self, is_chosen: impl Fn(&Backend) -> bool) {
        let is_over =
            |it: &Role| matches!(it, Role::Backend(it) if it.exchange.is_none() && is_chosen(it));
        let over: Vec<Key> = self.roles.iter().filter(|it| is_over(it.1)).map(|it| *it.0).collect();
        for key in over {
            self.close_backend(key);
        }
    }
}
