//! Small requests of the instance itself: to the store, to backend servers and to other instances.

use std::{net::SocketAddr, time::Duration};

use shallotlead_base::{store::Call, store::Object, time::Time};
use shallotlead_platform::scheduler::Sent;

use crate::{
    core::{Core, Role, Timer, state},
    dialect::Errand,
    http::{
        body::Framing,
        head::{Fields, Response},
        write,
    },
    net::Key,
    pool,
};

/// Longest head of an answer.
const MAX_HEAD: usize = 64 * 1024;
/// Longest answer: a page of a list is a megabyte at most.
const MAX_BODY: usize = 4 << 20;
/// How long an idle connection is kept for the next request.
const IDLE: Duration = Duration::from_millis(1_500);

/// What a request is for.
pub(crate) enum Purpose {
    /// A call to the store, with the pages of a list that were read so far.
    Store { sent: Sent, call: Call, pages: Vec<Object>, timeout: Duration },
    /// A backend server's state.
    Report(pool::Id),
    /// Whether a backend server lives.
    Probe(pool::Id),
    /// Whether a backend server lives that lost its runs.
    Liveness(pool::Id),
    /// Whether the store of cached prompts at this address lives.
    CacheStore(SocketAddr),
    /// An order to a backend server.
    Order(pool::Id),
    /// Another instance's knowledge.
    State(state::Question),
}

/// How long a long answer that has begun may pause, and how long it may take in all. A megabyte takes 0.8 s
/// on a link of 10 Mbit/s that carries nothing else.
///
/// Guards against answers that are given up while they still come: what was sent is lost, and the next try
/// finds the same link with more to carry. It shows as calls that end by their timeout again and again while
/// the link is full. It holds since time counts against silence only, up to a bound that any link meets.
const PAUSE: Duration = Duration::from_millis(1_000);
const WHOLE: Duration = Duration::from_secs(10);

impl Purpose {
    /// Its name in metrics.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            Self::Store { .. } => "store",
            Self::Report(_) => "report",
            Self::Probe(_) => "probe",
            Self::Liveness(_) => "liveness",
            Self::CacheStore(_) => "cache-store",
            Self::Order(_) => "order",
            Self::State(_) => "state",
        }
    }

    /// Whether its answer may be so long that a narrow link takes a good part of a second for it.
    fn is_long(&self) -> bool {
        matches!(
            self,
            Self::State(_) | Self::Store { call: Call::List { .. } | Call::Watch { .. }, .. }
        )
    }
}

/// One request under way.
pub(crate) struct Request {
    serial: u64,
    purpose: Purpose,
    connection: Key,
    /// When its answer began, and when the last of it came.
    came: Option<(Time, Time)>,
}

/// One connection for such requests.
pub(crate) struct Connection {
    address: SocketAddr,
    task: Option<usize>,
    reading: Option<(Response, Framing, Vec<u8>)>,
    idle_until: Time,
}

/// What became of a request.
pub(crate) enum Outcome {
    /// It was answered.
    Answered { status: u16, fields: Fields, body: Vec<u8> },
    /// No connection came about: it had no effect.
    NotSent,
    /// The same, as nobody listens at the address.
    Refused,
    /// The other side broke the connection: it lives, and takes no more.
    Reset,
    /// The answer was lost.
    Lost,
}

/// How a connection ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum End {
    /// The other side closed it properly.
    Closed,
    /// It broke, or what came was no answer.
    Reset,
    /// Nothing came in time.
    TimedOut,
}

impl Core {
    /// Sends a small request; its end comes back to [`Core::control_done`].
    pub(crate) fn send_control(
        &mut self,
        address: SocketAddr,
        errand: &Errand,
        timeout: Duration,
        purpose: Purpose,
    ) {
        let Some(connection) = self.control_connection(address) else {
            self.control_done(purpose, Outcome::NotSent);
            return;
        };
        let mut bytes = Vec::with_capacity(256 + errand.body.len());
        write::request_line(&mut bytes, errand.method, &errand.target);
        write::field(&mut bytes, "Host", address.to_string().as_bytes());
        for (name, value) in &errand.fields {
            write::field(&mut bytes, name, value.as_bytes());
        }
        if !errand.body.is_empty() {
            write::field(&mut bytes, "Content-Type", b"application/json");
            write::number(&mut bytes, "Content-Length", errand.body.len() as u64);
        }
        write::end(&mut bytes);
        bytes.extend_from_slice(&errand.body);
        let serial = self.allocate_serial();
        let place =
            self.control_requests.insert(Request { serial, purpose, connection, came: None });
        if let Some(Role::Control(conn)) = self.roles.get_mut(&connection) {
            conn.task = Some(place);
        }
        self.net.send(connection, &bytes);
        self.set_timer(self.now + timeout, Timer::Control(place, serial));
    }

    fn control_connection(&mut self, address: SocketAddr) -> Option<Key> {
        let is_free = |it: &Role, now: Time| {
            matches!(it, Role::Control(it)
                if it.address == address && it.task.is_none() && now < it.idle_until)
        };
        if let Some((key, _)) = self.roles.iter().find(|it| is_free(it.1, self.now)) {
            return Some(*key);
        }
        match self.net.connect(address) {
            Ok(key) => {
                let conn =
                    Connection { address, task: None, reading: None, idle_until: self.now + IDLE };
                self.roles.insert(key, Role::Control(conn));
                Some(key)
            }
            Err(err) => {
                self.journal
                    .line(self.now, "connect_failed")
                    .text("address", &address.to_string())
                    .text("error", &err.to_string());
                None
            }
        }
    }

    pub(crate) fn control_readable(&mut self, key: Key) {
        let Some(Role::Control(conn)) = self.roles.get_mut(&key) else { return };
        if conn.task.is_none() {
            self.close_connection(key);
            return;
        }
        if let Some(task) = conn.task.and_then(|it| self.control_requests.get_mut(it)) {
            task.came = Some((task.came.map_or(self.now, |it| it.0), self.now));
        }
        let Some(socket) = self.net.get_mut(key) else { return };
        if conn.reading.is_none() {
            match Response::take(&mut socket.input, MAX_HEAD, false) {
                Ok(Some(head)) => {
                    let framing = head.framing;
                    conn.reading = Some((head, framing, Vec::new()));
                }
                Ok(None) => return,
                Err(_) => {
                    self.control_ended(key, End::Reset);
                    return;
                }
            }
        }
        let Some((_, framing, body)) = &mut conn.reading else { return };
        match framing.take(&mut socket.input, body) {
            Ok(true) => self.control_complete(key),
            Ok(false) if body.len() <= MAX_BODY => self.net.resume(key),
            Ok(false) | Err(_) => self.control_ended(key, End::Reset),
        }
    }

    fn control_complete(&mut self, key: Key) {
        let now = self.now;
        let is_clean = self.net.get(key).is_some_and(|it| it.input.is_empty());
        let Some(Role::Control(conn)) = self.roles.get_mut(&key) else { return };
        let Some((head, _, body)) = conn.reading.take() else { return };
        let Some(place) = conn.task.take() else { return };
        conn.idle_until = now + IDLE;
        if head.closes || !is_clean {
            self.close_connection(key);
        }
        let task = self.control_requests.remove(place);
        let outcome = Outcome::Answered { status: head.status, fields: head.fields, body };
        self.control_done(task.purpose, outcome);
    }

    /// The connection ended.
    pub(crate) fn control_ended(&mut self, key: Key, end: End) {
        let is_clean = end == End::Closed;
        let until_close = matches!(self.roles.get(&key),
            Some(Role::Control(Connection { reading: Some((head, ..)), .. }))
                if head.framing == Framing::UntilClose);
        if is_clean && until_close {
            self.control_complete(key);
            return;
        }
        let never_sent = self.is_connecting(key);
        let task = match self.roles.get(&key) {
            Some(Role::Control(conn)) => conn.task,
            _ => None,
        };
        self.close_connection(key);
        if let Some(place) = task {
            let task = self.control_requests.remove(place);
            let outcome = match end {
                End::Reset if never_sent => Outcome::Refused,
                _ if never_sent => Outcome::NotSent,
                End::Reset => Outcome::Reset,
                End::Closed | End::TimedOut => Outcome::Lost,
            };
            self.control_done(task.purpose, outcome);
        }
    }

    pub(crate) fn control_due(&mut self, place: usize, serial: u64) {
        let Some(task) = self.control_requests.get(place).filter(|it| it.serial == serial) else {
            return;
        };
        if let Some((began, came)) = task.came.filter(|_| task.purpose.is_long()) {
            let until = (came + PAUSE).min(began + WHOLE);
            if self.now < until {
                self.set_timer(until, Timer::Control(place, serial));
                return;
            }
        }
        self.control_ended(task.connection, End::TimedOut);
    }

    /// Connections on which a watch of the store waits.
    pub(super) fn store_watches(&self) -> Vec<Key> {
        let is_watch =
            |it: &Request| matches!(it.purpose, Purpose::Store { call: Call::Watch { .. }, .. });
        let watches =
            self.control_requests.iter().filter(|it| is_watch(it.1)).map(|it| it.1.connection);
        watches.filter(|it| !self.is_connecting(*it)).collect()
    }

    fn control_done(&mut self, purpose: Purpose, outcome: Outcome) {
        match purpose {
            Purpose::Store { sent, call, pages, timeout } => {
                self.store_answered(sent, call, pages, timeout, outcome);
            }
            Purpose::Report(id) => self.server_reported(id, &outcome),
            Purpose::Probe(id) => self.server_probed(id, &outcome),
            Purpose::Liveness(id) => self.liveness_checked(id, &outcome),
            Purpose::CacheStore(address) => self.cache_store_answered(address, &outcome),
            Purpose::Order(id) => self.server_ordered(id, &outcome),
            Purpose::State(question) => self.state_came(&question, &outcome),
        }
    }

    /// Closes connections that were idle for too long.
    pub(crate) fn sweep_control(&mut self) {
        let now = self.now;
        let is_over = |it: &Role| matches!(it, Role::Control(it) if it.task.is_none() && it.idle_until <= now);
        let over: Vec<Key> = self.roles.iter().filter(|it| is_over(it.1)).map(|it| *it.0).collect();
        for key in over {
            self.close_connection(key);
        }
    }
}
