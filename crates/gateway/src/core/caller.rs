//! Callers' connections: reads their requests and enforces their time limits.

mod discard;
mod incoming;
mod inactivity;

use std::{io::ErrorKind, time::Duration};

use shallotlead_base::time::Time;

use crate::{
    config::Limits,
    core::{
        Core, Role, SWEEP_INTERVAL, answer::MAX_UNSENT_BYTES, ending::error_body, refusal::Refusal,
    },
    http::{Error, head::Request, write},
    limits::History,
    memory::Body,
    net::{DELIVERY_TIMEOUT, Key, Socket},
};

use discard::{Discard, Progress};
pub(crate) use inactivity::Inactivity;
use incoming::{Incoming, Partial};

/// How long a connection lingers after its last answer while the caller still sends. Closing it with
/// unread input would reset it, and the caller would lose the answer.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Refused requests whose rest is read and dropped at a time. Each takes what the kernel receives for it.
const MAX_DROPPING: usize = 128;
/// Time without progress after which a connection may be closed for others.
const STALL_TIME: Duration = Duration::from_secs(1);
/// Bytes behind a last answer that are dropped in any case.
const MIN_DROPPED_BYTES: usize = 64 * 1024;
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// State of a caller's connection.
pub(crate) struct Caller {
    state: State,
    /// Whether a request has arrived on it.
    is_used: bool,
    /// When the current state began, the last answer was passed to the kernel, or a part of a body arrived.
    since: Time,
    /// When the first byte of an incomplete head arrived.
    head_since: Option<Time>,
    /// Whether requests behind the one that runs are dropped.
    drops_requests: bool,
}

enum State {
    /// Between requests.
    Idle,
    /// A request's body is arriving.
    Body(Box<Incoming>),
    /// A request was refused whose body is still arriving, and what is left of it is read and dropped.
    Discarding(Discard),
    /// The exchange at this index is in progress.
    Busy(usize),
    /// The last answer was queued; the connection is closed once it is sent. This many bytes that arrive until then are
    /// dropped.
    Closing(usize),
}

/// Why a connection is ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Overrun {
    /// There has been no request for too long, or the instance is leaving.
    Idle,
    /// A request takes too long to arrive.
    Slow,
    /// The caller has had time to take the last answer.
    Lingering,
}

impl Caller {
    pub(crate) fn new(now: Time) -> Self {
        Self {
            state: State::Idle,
            is_used: false,
            since: now,
            head_since: None,
            drops_requests: false,
        }
    }

    /// When its current state began, or it last made progress.
    pub(crate) fn since(&self) -> Time {
        self.since
    }

    /// Index of the exchange that is in progress on it, if one is.
    pub(crate) fn exchange(&self) -> Option<usize> {
        match self.state {
            State::Busy(index) => Some(index),
            _ => None,
        }
    }

    /// Whether it has sent nothing for a while since its last answer.
    fn is_resting(&self, now: Time) -> bool {
        matches!(self.state, State::Idle) && SWEEP_INTERVAL <= now.since(self.since)
    }

    /// Whether a request's body is still arriving, also of one that is refused already.
    fn is_receiving_body(&self) -> bool {
        matches!(self.state, State::Body(_) | State::Discarding(_))
    }

    /// Takes the request whose body is arriving, if there is one.
    fn take_incoming(&mut self) -> Option<Box<Incoming>> {
        match std::mem::replace(&mut self.state, State::Idle) {
            State::Body(it) => Some(it),
            other => {
                self.state = other;
                None
            }
        }
    }

    /// Why nothing happens on it and since when, if it may be closed for others. `is_sent`: the kernel has all of its answers.
    pub(crate) fn inactivity(&self, now: Time, is_sent: bool) -> Option<(Inactivity, Time)> {
        let stalled = |kind, since| (STALL_TIME <= now.since(since)).then_some((kind, since));
        match (&self.state, self.head_since) {
            (State::Busy(_), _) => None,
            (State::Body(it), _) => stalled(Inactivity::Stalled, it.progressed()),
            _ if !is_sent => stalled(Inactivity::Undelivered, self.since),
            (State::Closing(_) | State::Discarding(_), _) => {
                stalled(Inactivity::Lingering, self.since)
            }
            (State::Idle, Some(arrived)) => stalled(Inactivity::Stalled, arrived),
            (State::Idle, None) if self.is_used => Some((Inactivity::Idle, self.since)),
            (State::Idle, None) => Some((Inactivity::Unused, self.since)),
        }
    }

    /// The time limit that it has exceeded, if any.
    fn overrun(&self, now: Time, limits: &History, is_leaving: bool) -> Option<Overrun> {
        let age = now.since(self.since);
        match (&self.state, self.head_since) {
            (State::Idle, Some(arrived)) => {
                let is_slow = limits.since(arrived).head_timeout < now.since(arrived);
                is_slow.then_some(Overrun::Slow)
            }
            (State::Idle, None) => {
                (is_leaving || limits.idle_time(self.since) < age).then_some(Overrun::Idle)
            }
            (State::Body(it), _) => (it.limits(limits).idle_timeout < age).then_some(Overrun::Slow),
            (State::Discarding(_), _) => {
                (limits.idle_time(self.since) < age).then_some(Overrun::Lingering)
            }
            (State::Closing(_), _) => (LINGER_TIMEOUT < age).then_some(Overrun::Lingering),
            (State::Busy(_), _) => None,
        }
    }
}

/// What to do after parsing a caller's input.
enum Step {
    /// Wait for more input.
    Wait,
    /// Send "100 Continue".
    Continue,
    /// The request is complete.
    Dispatch(Box<Incoming>),
    /// There is no memory for the body.
    Refuse(Box<Partial>),
    /// The input is no valid request.
    Malformed(Error),
    /// The body exceeds the limit.
    TooLarge,
}

impl Core {
    pub(crate) fn read_caller(&mut self, key: Key) {
        loop {
            let step = self.parse_caller_input(key);
            match step {
                Step::Wait => return,
                Step::Continue => self.net.send(key, CONTINUE),
                Step::Dispatch(it) => {
                    let Incoming { head, body, hold, arrived, .. } = *it;
                    self.begin_exchange(key, head, Body::new(body, hold), arrived);
                    return;
                }
                Step::Refuse(partial) => {
                    self.refuse_partial(key, &partial, Refusal::NoMemory);
                    self.memory_refusals += 1;
                    return;
                }
                Step::Malformed(error) => {
                    self.reject(key, status(error), &error.to_string());
                    return;
                }
                Step::TooLarge => {
                    self.reject(key, 413, "body too large");
                    return;
                }
            }
        }
    }

    fn parse_caller_input(&mut self, key: Key) -> Step {
        let Some(Role::Caller(caller)) = self.roles.get(&key) else { return Step::Wait };
        match caller.state {
            State::Idle => self.parse_head(key),
            State::Body(_) => self.parse_body(key),
            State::Discarding(_) => self.skip_body(key),
            State::Busy(_) if caller.drops_requests => {
                if let Some(socket) = self.net.get_mut(key) {
                    socket.input.clear();
                }
                Step::Wait
            }
            State::Busy(_) => Step::Wait,
            State::Closing(_) => self.drop_input(key),
        }
    }

    /// Parses the head of the next request, unless too much of the last answer is still to be sent.
    fn parse_head(&mut self, key: Key) -> Step {
        let Self { net, roles, now, limits, .. } = self;
        let Some(Role::Caller(caller)) = roles.get_mut(&key) else { return Step::Wait };
        let Some(socket) = net.get_mut(key) else { return Step::Wait };
        if MAX_UNSENT_BYTES < socket.unsent_bytes() {
            return Step::Wait;
        }
        let arrived = *caller.head_since.get_or_insert(*now);
        let limits = limits.since(arrived);
        let head = match Request::decode(&mut socket.input, limits.max_head_bytes) {
            Ok(Some(head)) => head,
            Ok(None) => {
                if socket.input.is_empty() {
                    caller.head_since = None;
                }
                socket.expect_input(limits.max_head_bytes + 1);
                net.resume_reading(key);
                return Step::Wait;
            }
            Err(error) => return Step::Malformed(error),
        };
        caller.head_since = None;
        caller.is_used = true;
        socket.begin_answer();
        if limits.max_body_bytes < head.framing.least_left() {
            return Step::TooLarge;
        }
        self.begin_body(key, head, arrived, limits)
    }

    /// Waits for the body of the request with this head, unless there is no memory for it.
    fn begin_body(&mut self, key: Key, head: Request, arrived: Time, limits: Limits) -> Step {
        let is_waiting = head.fields.contains_token("expect", "100-continue")
            && self.net.get(key).is_some_and(|it| it.input.is_empty());
        let framing = head.framing;
        if !self.make_room(framing.least_left()) {
            if is_waiting {
                // Otherwise it wouldn't be known whether the body follows.
                self.net.send(key, CONTINUE);
            }
            return Step::Refuse(Box::new(Partial { head, framing, arrived }));
        }
        let Some(Role::Caller(caller)) = self.roles.get_mut(&key) else { return Step::Wait };
        let incoming = Incoming::new(head, self.memory.empty_hold(), arrived, limits, self.now);
        caller.state = State::Body(Box::new(incoming));
        caller.since = self.now;
        if is_waiting { Step::Continue } else { self.parse_body(key) }
    }

    /// Takes the memory for what has arrived of a body. Returns false if it isn't left.
    fn grow_body(&mut self, key: Key) -> bool {
        let Err(missing) = self.try_grow_body(key) else { return true };
        self.make_room(missing) && self.try_grow_body(key).is_ok()
    }

    fn try_grow_body(&mut self, key: Key) -> Result<(), usize> {
        let Self { net, roles, memory, .. } = self;
        let Some(Role::Caller(caller)) = roles.get_mut(&key) else { return Ok(()) };
        let State::Body(incoming) = &mut caller.state else { return Ok(()) };
        incoming.grow(net.get(key).map_or(0, |it| it.input.len()), memory)
    }

    fn parse_body(&mut self, key: Key) -> Step {
        let is_held = self.grow_body(key);
        let Self { net, roles, now, limits, .. } = self;
        let Some(Role::Caller(caller)) = roles.get_mut(&key) else { return Step::Wait };
        let Some(socket) = net.get_mut(key) else { return Step::Wait };
        if !is_held {
            return match caller.take_incoming() {
                Some(it) => Step::Refuse(Box::new((*it).into())),
                None => Step::Wait,
            };
        }
        let State::Body(incoming) = &mut caller.state else { return Step::Wait };
        let max_bytes = incoming.limits(limits).max_body_bytes;
        let is_complete = match incoming.decode(*now, &mut socket.input) {
            Ok(it) => it,
            Err(error) => return Step::Malformed(error),
        };
        socket.measure();
        if incoming.is_too_large(max_bytes) {
            return Step::TooLarge;
        }
        if !is_complete {
            caller.since = *now;
            net.resume_reading(key);
            return Step::Wait;
        }
        caller.take_incoming().map_or(Step::Wait, Step::Dispatch)
    }

    /// Drops what has arrived of the body of a refused request.
    fn skip_body(&mut self, key: Key) -> Step {
        let Self { net, roles, now, .. } = self;
        let Some(Role::Caller(caller)) = roles.get_mut(&key) else { return Step::Wait };
        let Some(socket) = net.get_mut(key) else { return Step::Wait };
        let State::Discarding(discard) = &mut caller.state else { return Step::Wait };
        match discard.skip(&mut socket.input) {
            Progress::Incomplete => {
                caller.since = *now;
                net.resume_reading(key);
                Step::Wait
            }
            Progress::Complete if !discard.closes => {
                caller.state = State::Idle;
                caller.since = *now;
                net.set_dropping(key, false);
                self.parse_head(key)
            }
            Progress::Complete | Progress::Invalid => {
                self.begin_closing(key);
                self.handle_caller_flushed(key);
                Step::Wait
            }
        }
    }

    /// Refuses a request whose body isn't complete.
    ///
    /// The rest is read and dropped, up to the length that a body may have: closing the connection would reset it, and
    /// the caller would lose the answer, and bytes that aren't read take memory of the machine as well.
    fn refuse_partial(&mut self, key: Key, partial: &Partial, refusal: Refusal) {
        let Partial { head, framing, arrived } = partial;
        let max_bytes = self.limits.since(*arrived).max_body_bytes;
        if let Some(Role::Caller(caller)) = self.roles.get_mut(&key) {
            caller.state = State::Discarding(Discard::new(*framing, max_bytes));
            caller.since = self.now;
        }
        self.begin_dropping(key);
        let info = self.adapter.parse_request(head);
        self.refuse(key, head, &info, refusal, *arrived, 0);
    }

    /// Measures what is held, and logs it if requests were refused for it.
    pub(crate) fn sweep_memory(&mut self) {
        let pending = self.exchanges.iter().map(|it| it.1.buffered_bytes());
        self.memory.set_buffered(pending.sum::<usize>() + self.control_bytes());
        self.net.trim();
        let most = self.memory.take_most();
        let refused = std::mem::take(&mut self.memory_refusals);
        if refused == 0 && self.memory_sheds == 0 {
            return;
        }
        self.log
            .line(self.now, "no_memory")
            .number("refused", refused)
            .number("shed", std::mem::take(&mut self.memory_sheds))
            .number("held_bytes", self.memory.held())
            .number("most_bytes", most)
            .number("limit_bytes", self.memory.limit());
    }

    /// Marks the connection as busy with the exchange at `index`.
    pub(crate) fn mark_caller_busy(&mut self, key: Key, index: usize) {
        if let Some(Role::Caller(caller)) = self.roles.get_mut(&key) {
            caller.state = State::Busy(index);
        }
    }

    /// Reads the requests that were already received when the ones before them were answered.
    ///
    /// They aren't read where an answer ends, as many of them that are answered at once would exhaust the stack.
    pub(crate) fn read_answered_callers(&mut self) {
        while let Some(key) = self.answered_callers.pop() {
            self.read_caller(key);
            self.net.measure(key);
        }
    }

    /// Handles the end of an answer: all of it was queued for sending.
    pub(crate) fn finish_caller_answer(&mut self, key: Key, keeps_alive: bool) {
        // A quick caller's next request may follow at once; the sweep finds those that rest.
        if !keeps_alive || 0 < self.unsent_bytes(key) {
            self.net.end_answer(key);
        }
        let Some(Role::Caller(caller)) = self.roles.get_mut(&key) else { return };
        caller.since = self.now;
        if let State::Discarding(discard) = &mut caller.state {
            discard.closes = !keeps_alive;
            self.net.resume_reading(key);
            self.answered_callers.push(key);
            return;
        }
        if keeps_alive && !caller.drops_requests {
            caller.state = State::Idle;
            // The next request may already be buffered.
            self.net.resume_reading(key);
            if self.net.get(key).is_some_and(|it| !it.input.is_empty()) {
                self.answered_callers.push(key);
            }
            return;
        }
        self.begin_closing(key);
        self.handle_caller_flushed(key);
    }

    /// Has the connection closed once its last answer is sent.
    fn begin_closing(&mut self, key: Key) {
        let left = self.limits.since(self.now).max_body_bytes.max(MIN_DROPPED_BYTES);
        self.begin_dropping(key);
        if let Some(Role::Caller(caller)) = self.roles.get_mut(&key) {
            caller.state = State::Closing(left);
            caller.since = self.now;
        }
    }

    /// Has what arrives on the connection read after what others send. If there are too many of them, the one for which
    /// that began first is closed.
    fn begin_dropping(&mut self, key: Key) {
        if self.net.is_dropping(key) {
            return;
        }
        self.net.set_dropping(key, true);
        self.dropping.push_back(key);
        if self.dropping.len() <= MAX_DROPPING {
            return;
        }
        self.dropping.retain(|it| self.net.is_dropping(*it));
        // Answers that are still being sent are left alone.
        let first = self.dropping.iter().position(|it| self.unsent_bytes(*it) == 0);
        if MAX_DROPPING < self.dropping.len()
            && let Some(first) = first.and_then(|it| self.dropping.remove(it))
        {
            self.close_connection(first);
        }
    }

    /// Drops what arrives after the last request.
    fn drop_input(&mut self, key: Key) -> Step {
        let Self { net, roles, .. } = self;
        let Some(Role::Caller(caller)) = roles.get_mut(&key) else { return Step::Wait };
        let Some(socket) = net.get_mut(key) else { return Step::Wait };
        let State::Closing(left) = &mut caller.state else { return Step::Wait };
        *left = left.saturating_sub(socket.input.len());
        socket.input.clear();
        if 0 < *left {
            net.resume_reading(key);
        } else {
            self.log_undelivered(key, "too-much");
            self.close_connection(key);
        }
        Step::Wait
    }

    pub(crate) fn handle_caller_flushed(&mut self, key: Key) {
        let Some(Role::Caller(caller)) = self.roles.get_mut(&key) else { return };
        match caller.state {
            State::Closing(_) => {
                caller.since = self.now;
                let drops_requests = caller.drops_requests;
                let is_clean = self.net.get(key).is_some_and(|it| {
                    it.unsent_bytes() == 0 && it.input.is_empty() && !drops_requests
                });
                if is_clean {
                    self.close_connection(key);
                }
            }
            State::Busy(index) => self.resume_relay(index),
            State::Idle => {
                caller.since = self.now;
                self.read_caller(key);
            }
            State::Body(_) | State::Discarding(_) => {}
        }
    }

    /// Handles a connection that the caller closed or that failed.
    pub(crate) fn handle_caller_end(&mut self, key: Key, kind: Option<ErrorKind>) {
        let Some(Role::Caller(caller)) = self.roles.get(&key) else { return };
        let reason = match kind {
            None => "closed",
            Some(ErrorKind::TimedOut) => "timed-out",
            Some(_) => "reset",
        };
        match caller.state {
            State::Busy(index) => self.abandon_exchange(index, reason, self.unsent_bytes(key)),
            State::Idle | State::Closing(_) | State::Discarding(_) => {
                self.log_undelivered(key, reason);
            }
            State::Body(_) => {}
        }
        self.close_connection(key);
    }

    /// Answers malformed input and closes the connection.
    fn reject(&mut self, key: Key, status: u16, reason: &str) {
        self.log.line(self.now, "rejected").number("status", status).text("reason", reason);
        self.stats.count_refusal("bad-input");
        let extra = [("Connection", "close".to_owned())];
        let bytes = write::response(status, "application/json", &error_body(reason), &extra);
        self.net.send(key, &bytes);
        self.begin_closing(key);
        self.drop_input(key);
    }

    /// Ends a connection to make room for others. A request that is still arriving is refused.
    pub(crate) fn shed_caller(&mut self, key: Key, refusal: Refusal) {
        let Some(Role::Caller(caller)) = self.roles.get_mut(&key) else { return };
        if let State::Busy(index) = caller.state {
            self.abandon_exchange(index, refusal.reason(), self.unsent_bytes(key));
        } else if matches!(caller.state, State::Body(_)) {
            self.refuse_incoming_at(key, refusal);
        } else if caller.head_since.is_some() {
            self.refuse_head(key, refusal);
        }
        self.log_undelivered(key, refusal.reason());
        self.close_connection(key);
    }

    /// Refuses the request whose body is still arriving on the connection, if there is one. Returns whether there was.
    pub(crate) fn refuse_incoming_at(&mut self, key: Key, refusal: Refusal) -> bool {
        let Some(Role::Caller(caller)) = self.roles.get_mut(&key) else { return false };
        let Some(incoming) = caller.take_incoming() else { return false };
        self.refuse_partial(key, &(*incoming).into(), refusal);
        true
    }

    /// Drops the requests behind the one that runs, if one does. The connection is closed after its answer. Returns
    /// whether one does.
    pub(crate) fn drop_requests(&mut self, key: Key) -> bool {
        let Some(Role::Caller(caller)) = self.roles.get_mut(&key) else { return false };
        if !matches!(caller.state, State::Busy(_)) {
            return false;
        }
        caller.drops_requests = true;
        if let Some(socket) = self.net.get_mut(key) {
            socket.input = Vec::new();
            socket.measure();
        }
        self.net.resume_reading(key);
        true
    }

    /// Refuses a request whose head isn't complete.
    fn refuse_head(&mut self, key: Key, refusal: Refusal) {
        self.stats.count_refusal(refusal.reason());
        let mut extra = self.adapter.refusal_fields(None, refusal.retry_after(), None);
        extra.push(("Connection", "close".into()));
        let body = error_body(refusal.reason());
        let bytes = write::response(refusal.status(), "application/json", &body, &extra);
        self.net.send(key, &bytes);
    }

    /// Closes connections that have been idle, slow or lingering for too long.
    pub(crate) fn sweep_callers(&mut self) {
        let now = self.now;
        for (key, role) in &self.roles {
            if matches!(role, Role::Caller(it) if it.is_resting(now)) {
                self.net.end_answer(*key);
            }
        }
        self.limits.expire(now);
        let is_leaving = self.shutdown.is_some_and(|it| it.closes_idle(now));
        let callers = self.roles.iter().filter_map(|(key, role)| match role {
            Role::Caller(it) => Some((*key, it.overrun(now, &self.limits, is_leaving)?)),
            Role::Backend(_) | Role::Control(_) | Role::Endpoint(_) => None,
        });
        let overruns: Vec<(Key, Overrun)> = callers.collect();
        for (key, overrun) in overruns {
            if overrun != Overrun::Slow && self.is_sending(key) {
                continue;
            }
            // Unread input is read in the next turn. Closing the connection now would reset it.
            if overrun != Overrun::Lingering && self.has_unread(key) {
                continue;
            }
            match overrun {
                Overrun::Slow => self.reject(key, 408, "request too slow"),
                Overrun::Idle => {
                    self.log_idle(key);
                    self.log_undelivered(key, "slow");
                    self.close_connection(key);
                }
                Overrun::Lingering => {
                    self.log_undelivered(key, "slow");
                    self.close_connection(key);
                }
            }
        }
    }

    /// Whether the body of any request is still arriving, also of one that is refused already.
    pub(crate) fn is_receiving_bodies(&self) -> bool {
        self.roles.values().any(|it| matches!(it, Role::Caller(it) if it.is_receiving_body()))
    }

    /// Refuses the requests whose bodies are still arriving.
    pub(crate) fn refuse_incoming(&mut self, refusal: Refusal) {
        let incoming = self.roles.iter_mut().filter_map(|(key, role)| match role {
            Role::Caller(it) => Some((*key, Partial::from(*it.take_incoming()?))),
            Role::Backend(_) | Role::Control(_) | Role::Endpoint(_) => None,
        });
        for (key, partial) in incoming.collect::<Vec<_>>() {
            self.refuse_partial(key, &partial, refusal);
        }
    }

    /// Whether the caller may still take the rest of its answer.
    fn is_sending(&self, key: Key) -> bool {
        let Some(Role::Caller(caller)) = self.roles.get(&key) else { return false };
        0 < self.unsent_bytes(key) && self.now.since(caller.since) < DELIVERY_TIMEOUT
    }

    /// Number of bytes for the peer that the kernel hasn't taken.
    pub(crate) fn unsent_bytes(&self, key: Key) -> usize {
        self.net.get(key).map_or(0, Socket::unsent_bytes)
    }

    /// Logs that a connection ends before all of a complete answer was passed to the kernel.
    fn log_undelivered(&mut self, key: Key, reason: &str) {
        let unsent = self.unsent_bytes(key);
        let Some(Role::Caller(caller)) = self.roles.get(&key) else { return };
        if 0 < unsent {
            self.log
                .line(self.now, "undelivered")
                .text("reason", reason)
                .number("unsent", unsent)
                .ms("after_ms", self.now.since(caller.since));
        }
    }

    fn has_unread(&mut self, key: Key) -> bool {
        self.net.get_mut(key).is_some_and(Socket::has_unread)
    }

    /// Logs that the instance closes a caller's idle connection, and whether the caller has sent anything that wasn't
    /// read.
    fn log_idle(&mut self, key: Key) {
        let Self { net, roles, now, log, limits, .. } = self;
        let Some(Role::Caller(caller)) = roles.get(&key) else { return };
        let reason = if self.shutdown.is_some() { "leaving" } else { "idle" };
        let has_unread = net.get_mut(key).is_some_and(Socket::has_unread);
        log.line(*now, "caller_closed")
            .text("reason", reason)
            .ms("idle_ms", now.since(caller.since))
            .ms("limit_ms", limits.idle_time(caller.since))
            .number("has_unread", has_unread);
        self.stats.count_closed_caller(reason, has_unread);
    }
}

/// The status code that answers a request that can't be parsed.
fn status(error: Error) -> u16 {
    match error {
        Error::Head | Error::Framing | Error::Body => 400,
        Error::TooLong => 431,
        Error::Version => 505,
    }
}
