//! What servers say of themselves in the heads of their answers.

use std::time::Duration;

use crate::{
    adapter::{ResponseInfo, RetryAfter},
    broadcast::Update,
    core::{
        Core,
        control::{Outcome, Purpose},
        reply::Reply,
    },
    pool::{self, Backoff},
    quarantine::IncarnationId,
};

/// For how long the server that sent an answer wants no requests, as far as it says.
pub(crate) fn requested_backoff(status: u16, answer: &ResponseInfo) -> RetryAfter {
    match (status, answer.retry_after) {
        (429 | 503, RetryAfter::Time(it)) if !Backoff::is_valid(it) => RetryAfter::Unreadable,
        (429 | 503, it) => it,
        _ => RetryAfter::None,
    }
}

impl Purpose {
    /// The backend server that gets the request.
    fn server(&self) -> Option<pool::Id> {
        match self {
            Self::Order(id, _) => Some(*id),
            _ => self.reporting_server(),
        }
    }
}

impl Core {
    /// Applies what an answer says of the server that sent it.
    pub(crate) fn apply_signals(&mut self, id: pool::Id, reply: &Reply, source: &'static str) {
        let server = self.pool.get(id);
        // What another instance passes on is no statement of that instance.
        if server.is_instance {
            return;
        }
        let is_own = match &reply.answer.server {
            Some(it) => **it == *server.name,
            // Another server may have the address now.
            None => reply.head.status != 421,
        };
        if !is_own || reply.is_unsigned() {
            return;
        }
        if reply.answer.is_draining {
            self.handle_drain(id, source);
        }
        self.handle_backoff(id, requested_backoff(reply.head.status, &reply.answer), source);
    }

    /// Applies what the answer to a control request says of the server that sent it.
    pub(crate) fn apply_control_signals(
        &mut self,
        purpose: &Purpose,
        answer: &ResponseInfo,
        outcome: &Outcome,
    ) {
        let Some(id) = purpose.server() else { return };
        let Outcome::Answered { status, body, .. } = outcome else { return };
        let server = self.pool.get(id);
        // Another server, or another incarnation of this one, may have the address now.
        let reported = self.adapter.parse_report(body).and_then(|it| it.incarnation);
        if *status == 421 || answer.names_another(&server.name) || !server.may_be(reported) {
            return;
        }
        if answer.is_draining {
            self.handle_drain(id, "report");
        }
        self.handle_backoff(id, requested_backoff(*status, answer), "report");
    }

    /// Handles a server's statement that it wants no requests for a while.
    fn handle_backoff(&mut self, id: pool::Id, requested: RetryAfter, source: &'static str) {
        let time = match requested {
            RetryAfter::None => return,
            RetryAfter::Unreadable => {
                self.stats.count_unreadable_backoff();
                return;
            }
            RetryAfter::Time(it) => it,
        };
        self.stats.count_server_signal("backoff", source);
        let backoff = &mut self.pool.get_mut(id).backoff;
        let before = backoff.ends_at(self.now).map_or(Duration::ZERO, |it| it.since(self.now));
        let is_known_elsewhere = backoff.is_active_elsewhere(self.now);
        backoff.observe(self.now, time);
        // Under overload each server may turn each instance away every few seconds.
        if !is_known_elsewhere && !time.is_zero() {
            let incarnation_id = self.pool.get(id).incarnation_id();
            self.broadcast(Update::Backoff(incarnation_id, time.as_millis() as u32));
        }
        self.log
            .line(self.now, "backoff")
            .text("server", &self.pool.get(id).name)
            .text("source", source)
            .ms("for_ms", time)
            .ms("before_ms", before);
    }

    /// Applies another instance's announcement that a server wants no requests of it for `time`.
    pub(crate) fn apply_peer_backoff(&mut self, incarnation_id: IncarnationId, time: Duration) {
        if let Some(id) = self.pool.find_by_incarnation_id(incarnation_id) {
            self.pool.get_mut(id).backoff.observe_peer(self.now, time);
        }
    }

    /// Handles a server's statement that it drains: nothing is sent to this incarnation any more, and the other
    /// instances are told.
    pub(crate) fn handle_drain(&mut self, id: pool::Id, source: &'static str) {
        self.stats.count_server_signal("draining", source);
        let change = self.pool.mark_draining(id);
        if change == pool::Change::None {
            return;
        }
        self.log_drain(id, source);
        self.broadcast(Update::Draining(self.pool.get(id).incarnation_id()));
    }

    /// Applies another instance's announcement that a server has said that it drains.
    pub(crate) fn apply_peer_drain(&mut self, incarnation_id: IncarnationId) {
        let change = self.pool.mark_incarnation_draining(self.now, incarnation_id);
        if let pool::Change::Leaving(id) = change {
            self.log_drain(id, "told by an instance");
        }
    }

    fn log_drain(&mut self, id: pool::Id, reason: &str) {
        self.close_idle(id);
        let server = self.pool.get(id);
        self.log
            .line(self.now, "server")
            .text("server", &server.name)
            .text("change", "leaving")
            .text("reason", reason)
            .number("revision", server.revision)
            .number("born", server.incarnation.unwrap_or(0));
    }
}
