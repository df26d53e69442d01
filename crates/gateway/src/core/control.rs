//! Control requests: small requests of the instance's own to the store, to backend servers and to other instances.

use std::{net::SocketAddr, time::Duration};

use shallotlead_base::{store::Call, time::Time};
use shallotlead_platform::scheduler::CallId;

use crate::{
    adapter::ControlRequest,
    core::{Core, Role, Timer, idle::Idle, state},
    http::{
        body::Framing,
        head::{Decoder, Fields, Response},
        write,
    },
    net::{CONNECT_TIMEOUT, Key, Socket, Timeout},
    pool,
};

/// Longest head of an answer, bytes.
const MAX_HEAD: usize = 64 * 1024;
/// Longest body of an answer of the store or of another instance, bytes. A page of a list has a megabyte at most.
const MAX_BODY: usize = 4 << 20;
/// Longest body of an answer of a backend server, bytes. A report lists its runs.
const MAX_SERVER_BODY: usize = 256 << 10;
/// What a server's idle limit is taken for if it announces none.
const DEFAULT_IDLE_LIMIT: Duration = Duration::from_millis(2_500);

/// What a request is sent for; decides who handles its outcome.
pub(crate) enum Purpose {
    /// A call to the store.
    Store { sent: CallId, call: Call },
    /// Reads a backend server's report of its load and weights.
    Report(pool::Id),
    /// Checks whether a backend server responds.
    Probe(pool::Id),
    /// Checks whether a backend server that lost its runs is still alive.
    Liveness(pool::Id),
    /// Checks by its report whether a backend server has lived on after the end of an answer, and when that was sent.
    UnframedEnd(pool::Id, Time),
    /// The same by its health, whose answer names it.
    UnframedEndHealth(pool::Id, Time),
    /// Checks whether the store of cached prompts at this address is alive.
    CacheStore(SocketAddr),
    /// Orders a backend server to load weights, and when that was sent.
    Order(pool::Id, Time),
    /// Reads another instance's state.
    State(state::Query),
}

/// Longest pause in a long answer that has begun.
///
/// Long answers get a limit on pauses instead of a short limit on the whole: a megabyte takes 0.8 s on an otherwise
/// idle link of 10 Mbit/s. Abandoning an answer that still arrives wastes what was sent, and the next attempt meets
/// an even busier link, so that calls would time out again and again while the link is full.
const MAX_ANSWER_PAUSE: Duration = Duration::from_millis(1_000);
/// Time limit for a long answer as a whole, which any usable link meets.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(10);

impl Purpose {
    /// Its name in metrics.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            Self::Store { .. } => "store",
            Self::Report(_) => "report",
            Self::Probe(_) => "probe",
            Self::Liveness(_) => "liveness",
            Self::UnframedEnd(..) => "unframed-end",
            Self::UnframedEndHealth(..) => "unframed-end-health",
            Self::CacheStore(_) => "cache-store",
            Self::Order(..) => "order",
            Self::State(_) => "state",
        }
    }

    /// The server whose report or health is requested, if one is.
    pub(crate) fn reporting_server(&self) -> Option<pool::Id> {
        match self {
            Self::Report(id)
            | Self::Probe(id)
            | Self::Liveness(id)
            | Self::UnframedEnd(id, _)
            | Self::UnframedEndHealth(id, _) => Some(*id),
            Self::Store { .. } | Self::CacheStore(_) | Self::Order(..) | Self::State(_) => None,
        }
    }

    /// Longest body of its answer, bytes.
    fn max_body(&self) -> usize {
        match self {
            Self::Store { .. } | Self::State(_) => MAX_BODY,
            Self::Report(_)
            | Self::Probe(_)
            | Self::Liveness(_)
            | Self::UnframedEnd(..)
            | Self::UnframedEndHealth(..)
            | Self::CacheStore(_)
            | Self::Order(..) => MAX_SERVER_BODY,
        }
    }

    /// Whether it must not arrive after its time limit.
    fn is_order(&self) -> bool {
        matches!(self, Self::Order(..))
    }

    /// Whether its answer may take a slow link a large part of a second.
    fn is_long(&self) -> bool {
        matches!(
            self,
            Self::State(_) | Self::Store { call: Call::List { .. } | Call::Watch { .. }, .. }
        )
    }
}

/// A request in progress.
pub(crate) struct Request {
    serial: u64,
    purpose: Purpose,
    connection: Key,
    deadline: Time,
    /// When the first and the last bytes of the answer so far arrived.
    received: Option<(Time, Time)>,
}

/// A connection for control requests.
pub(crate) struct Connection {
    address: SocketAddr,
    /// Index of the request in progress.
    request: Option<usize>,
    /// Reads the head of the next answer.
    decoder: Decoder,
    /// The head of the answer, what is left of its body, and the body so far.
    reading: Option<(Response, Framing, Vec<u8>)>,
    /// How long it may be reused.
    idle: Idle,
    /// Whether it has carried an earlier request.
    is_reused: bool,
}

/// The outcome of a request.
pub(crate) enum Outcome {
    /// A complete answer was received. `is_named`: it names the server that answered, which is the one that was asked
    /// for a report or its health.
    Answered { status: u16, is_named: bool, fields: Fields, body: Vec<u8> },
    /// No connection could be opened, so that the request had no effect.
    NotSent,
    /// The connection was refused, as nothing listens at the address, or another server answered there; the request had
    /// no effect.
    Refused,
    /// The peer reset the connection: it is alive, but accepts no more requests.
    Reset,
    /// The answer is longer than any that is read.
    TooLong,
    /// The connection ended without a complete answer; the request may have had its effect.
    Lost,
}

impl Outcome {
    /// The status of the answer; zero if there is none.
    pub(crate) fn status(&self) -> u16 {
        match self {
            Self::Answered { status, .. } => *status,
            Self::NotSent | Self::Refused | Self::Reset | Self::TooLong | Self::Lost => 0,
        }
    }
}

/// How a connection ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum End {
    /// The peer closed it properly.
    Closed,
    /// It failed, or the input was no valid answer.
    Reset,
    /// The answer is too long.
    TooLong,
    /// A time limit passed.
    TimedOut,
}

impl Core {
    /// Sends a request. [`Core::handle_control_outcome`] passes its outcome to the handler for its purpose.
    pub(crate) fn send_control(
        &mut self,
        address: SocketAddr,
        request: &ControlRequest,
        timeout: Duration,
        purpose: Purpose,
    ) {
        let Some(connection) = self.acquire_control_connection(address) else {
            self.handle_control_outcome(purpose, Outcome::NotSent);
            return;
        };
        let mut bytes = Vec::with_capacity(256 + request.body.len());
        write::request_line(&mut bytes, request.method, &request.target);
        write::field(&mut bytes, "Host", address.to_string().as_bytes());
        for (name, value) in &request.fields {
            write::field(&mut bytes, name, value.as_bytes());
        }
        if !request.body.is_empty() {
            write::field(&mut bytes, "Content-Type", b"application/json");
            write::number_field(&mut bytes, "Content-Length", request.body.len() as u64);
        }
        write::end_head(&mut bytes);
        bytes.extend_from_slice(&request.body);
        let serial = self.allocate_serial();
        let deadline = self.now + timeout;
        let mut check_at = deadline;
        if purpose.is_order() {
            self.net.set_timeout(connection, Timeout::Exactly(timeout / 2));
            if self.is_connecting(connection) {
                check_at = check_at.min(self.now + CONNECT_TIMEOUT);
            }
        }
        let request = Request { serial, purpose, connection, deadline, received: None };
        let index = self.control_requests.insert(request);
        if let Some(Role::Control(conn)) = self.roles.get_mut(&connection) {
            conn.request = Some(index);
        }
        self.net.send(connection, &bytes);
        self.set_timer(check_at, Timer::Control(index, serial));
    }

    /// Returns an idle or a new connection to the address.
    fn acquire_control_connection(&mut self, address: SocketAddr) -> Option<Key> {
        let is_free = |it: &Role, now: Time| {
            matches!(it, Role::Control(it)
                if it.address == address && it.request.is_none() && !it.idle.is_over(now))
        };
        // The peer may have closed some in the events that are still to be handled, or since the last poll.
        let is_open = |key: Key| self.net.get(key).is_some_and(Socket::is_quiet);
        let mut free =
            self.roles.iter_mut().filter(|(key, it)| is_free(it, self.now) && is_open(**key));
        if let Some((key, Role::Control(conn))) = free.next() {
            conn.is_reused = true;
            return Some(*key);
        }
        match self.net.connect(address, Timeout::Peer) {
            Ok(key) => {
                let conn = Connection {
                    address,
                    request: None,
                    decoder: Decoder::default(),
                    reading: None,
                    idle: Idle::new(DEFAULT_IDLE_LIMIT),
                    is_reused: false,
                };
                self.roles.insert(key, Role::Control(conn));
                Some(key)
            }
            Err(err) => {
                self.log
                    .line(self.now, "connect_failed")
                    .text("address", &address.to_string())
                    .text("error", &err.to_string());
                None
            }
        }
    }

    /// Reads what arrived on a connection.
    pub(crate) fn read_control(&mut self, key: Key) {
        let Some(Role::Control(conn)) = self.roles.get_mut(&key) else { return };
        if conn.request.is_none() {
            self.close_connection(key);
            return;
        }
        let mut max_body = MAX_SERVER_BODY;
        if let Some(request) = conn.request.and_then(|it| self.control_requests.get_mut(it)) {
            max_body = request.purpose.max_body();
            request.received = Some((request.received.map_or(self.now, |it| it.0), self.now));
        }
        let Some(socket) = self.net.get_mut(key) else { return };
        if conn.reading.is_none() {
            match conn.decoder.decode(&mut socket.input, MAX_HEAD, false) {
                Ok(Some(head)) => {
                    conn.decoder = Decoder::default();
                    let framing = head.framing;
                    conn.reading = Some((head, framing, Vec::new()));
                }
                Ok(None) => return,
                Err(_) => {
                    self.end_control(key, End::Reset);
                    return;
                }
            }
        }
        let Some((_, framing, body)) = &mut conn.reading else { return };
        match framing.decode(&mut socket.input, body) {
            Ok(true) => self.finish_control(key),
            Ok(false) if body.len() <= max_body => self.net.resume_reading(key),
            Ok(false) => self.end_control(key, End::TooLong),
            Err(_) => self.end_control(key, End::Reset),
        }
    }

    /// Handles the end of a complete answer.
    fn finish_control(&mut self, key: Key) {
        let now = self.now;
        let is_clean = self.net.get(key).is_some_and(|it| it.input.is_empty());
        let Some(Role::Control(conn)) = self.roles.get_mut(&key) else { return };
        let Some((head, _, body)) = conn.reading.take() else { return };
        let Some(index) = conn.request.take() else { return };
        let answer = self.adapter.parse_response(&head);
        conn.idle.observe(answer.keep_alive);
        conn.idle.begin(now);
        if head.closes_connection || !is_clean || conn.idle.is_over(now) {
            self.close_connection(key);
        }
        let request = self.control_requests.remove(index);
        if request.purpose.is_order() {
            self.net.set_timeout(key, Timeout::Peer);
        }
        let is_of_another = |it: &pool::Id| answer.names_another(&self.pool.get(*it).name);
        if let Some(id) = request.purpose.reporting_server().filter(is_of_another) {
            self.handle_replaced_server(id);
            self.handle_control_outcome(request.purpose, Outcome::Refused);
            return;
        }
        let (status, fields, is_named) = (head.status, head.fields, answer.server.is_some());
        let outcome = Outcome::Answered { status, is_named, fields, body };
        self.apply_control_signals(&request.purpose, &answer, &outcome);
        self.handle_control_outcome(request.purpose, outcome);
    }

    /// Closes a connection, and ends the request on it, if any.
    pub(crate) fn end_control(&mut self, key: Key, end: End) {
        let is_clean = end == End::Closed;
        let until_close = matches!(self.roles.get(&key),
            Some(Role::Control(Connection { reading: Some((head, ..)), .. }))
                if head.framing == Framing::UntilClose);
        if is_clean && until_close {
            self.finish_control(key);
            return;
        }
        let is_unsent = self.is_connecting(key);
        let (request, address, is_reused) = match self.roles.get(&key) {
            Some(Role::Control(conn)) => (conn.request, conn.address, conn.is_reused),
            _ => return self.close_connection(key),
        };
        let request = request.map(|it| self.control_requests.remove(it));
        if request.as_ref().is_some_and(|it| it.purpose.is_order()) {
            // Else the kernel would go on to send it.
            self.net.reset(key);
        }
        self.close_connection(key);
        if let Some(request) = request {
            if is_reused
                && end != End::TimedOut
                && request.received.is_none()
                && let Some(id) = request.purpose.reporting_server()
            {
                // It may have crossed the close of an idle connection. Others may be about to be closed as well.
                self.close_idle_control(address);
                self.ask_server(id, request.deadline.since(self.now), request.purpose);
                return;
            }
            let outcome = match end {
                End::Reset if is_unsent => Outcome::Refused,
                _ if is_unsent => Outcome::NotSent,
                End::Reset => Outcome::Reset,
                End::TooLong => Outcome::TooLong,
                End::Closed | End::TimedOut => Outcome::Lost,
            };
            self.handle_control_outcome(request.purpose, outcome);
        }
    }

    /// Handles a time limit: ends the request, unless a long answer is still arriving.
    pub(crate) fn handle_control_timer(&mut self, index: usize, serial: u64) {
        let Some(request) = self.control_requests.get(index).filter(|it| it.serial == serial)
        else {
            return;
        };
        // Only an order that waits for its connection is checked before its deadline.
        let deadline = request.deadline;
        if self.now < deadline && !self.is_connecting(request.connection) {
            self.set_timer(deadline, Timer::Control(index, serial));
            return;
        }
        if let Some((began, last)) = request.received.filter(|_| request.purpose.is_long()) {
            let until = (last + MAX_ANSWER_PAUSE).min(began + MAX_ANSWER_TIME);
            if self.now < until {
                self.set_timer(until, Timer::Control(index, serial));
                return;
            }
        }
        self.end_control(request.connection, End::TimedOut);
    }

    /// Bytes of the answers that are under way.
    pub(super) fn control_bytes(&self) -> usize {
        let answers = self.roles.values().map(|it| match it {
            Role::Control(Connection { reading: Some((.., body)), .. }) => body.capacity(),
            _ => 0,
        });
        answers.sum()
    }

    /// Connections on which a watch of the store is open.
    pub(super) fn store_watches(&self) -> Vec<Key> {
        let is_watch =
            |it: &Request| matches!(it.purpose, Purpose::Store { call: Call::Watch { .. }, .. });
        let watches =
            self.control_requests.iter().filter(|it| is_watch(it.1)).map(|it| it.1.connection);
        watches.filter(|it| !self.is_connecting(*it)).collect()
    }

    /// Passes the outcome of a request to the handler for its purpose.
    pub(super) fn handle_control_outcome(&mut self, purpose: Purpose, outcome: Outcome) {
        match purpose {
            Purpose::Store { sent, call } => self.handle_store_answer(sent, call, outcome),
            Purpose::Report(id) => self.handle_report(id, &outcome),
            Purpose::Probe(id) => self.handle_probe_reply(id, &outcome),
            Purpose::Liveness(id) => self.handle_liveness_reply(id, &outcome),
            Purpose::UnframedEnd(id, sent) => self.handle_unframed_report(id, sent, &outcome),
            Purpose::UnframedEndHealth(id, sent) => {
                self.handle_unframed_health(id, sent, &outcome);
            }
            Purpose::CacheStore(address) => self.handle_cache_store_reply(address, &outcome),
            Purpose::Order(id, sent) => self.handle_order_reply(id, sent, &outcome),
            Purpose::State(query) => self.handle_state_reply(&query, &outcome),
        }
    }

    /// Closes the idle connections to the address.
    pub(crate) fn close_idle_control(&mut self, address: SocketAddr) {
        self.close_idle_control_where(|it| it.address == address);
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn sweep_control(&mut self) {
        let now = self.now;
        self.close_idle_control_where(|it| it.idle.is_over(now));
    }

    fn close_idle_control_where(&mut self, is_chosen: impl Fn(&Connection) -> bool) {
        let is_idle =
            |it: &Role| matches!(it, Role::Control(it) if it.request.is_none() && is_chosen(it));
        let keys: Vec<Key> = self.roles.iter().filter(|it| is_idle(it.1)).map(|it| *it.0).collect();
        for key in keys {
            self.close_connection(key);
        }
    }
}
