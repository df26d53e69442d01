//! Ends of exchanges without a complete answer of a backend server.

use std::{sync::Arc, time::Duration};

use shallotlead_base::time::Time;

use crate::{
    adapter::{RefusedHandover, RequestInfo},
    core::{Core, exchange::Exchange, refusal::Refusal},
    http::{head::Request, write},
    net::Key,
};

impl Core {
    /// Ends an exchange for which there is no server: refuses it as not run if that is certain, otherwise
    /// fails it.
    pub(crate) fn refuse_or_fail(&mut self, index: usize, refusal: Refusal) {
        self.release_attempts(index);
        let Some(exchange) = self.exchanges.get(index) else { return };
        if exchange.delivery.has_begun {
            self.abort_stream(index, refusal.reason());
            return;
        }
        if self.forward_kept_error(index, refusal.reason()) {
            return;
        }
        let Some(exchange) = self.exchanges.get(index) else { return };
        // Callers take a refusal as a guarantee that the request didn't run, also if it is idempotent.
        if !exchange.ran_at.is_empty() {
            self.fail_exchange(index, 502, refusal.reason());
            return;
        }
        self.return_quota(index);
        let exchange = self.exchanges.remove(index);
        let attempts = exchange.attempts_made;
        let Exchange { caller, head, info, arrived, .. } = exchange;
        self.refuse(caller, &head, &info, refusal, arrived, attempts);
    }

    /// Ends an exchange whose request may have run, with an error of the instance.
    pub(crate) fn fail_exchange(&mut self, index: usize, status: u16, reason: &'static str) {
        self.release_attempts(index);
        let Some(exchange) = self.exchanges.get(index) else { return };
        if exchange.delivery.has_begun {
            self.abort_stream(index, reason);
            return;
        }
        if self.forward_kept_error(index, reason) {
            return;
        }
        let exchange = self.exchanges.remove(index);
        let body = error_body(reason);
        let extra = self.adapter.refusal_fields(exchange.info.id.as_deref(), None, None);
        let (server, left_out_ms) = self.last_server(&exchange);
        self.log
            .line(self.now, "failed")
            .text("request", exchange.id())
            .text("reason", reason)
            .text("server", &server)
            .ms("left_out_ms", left_out_ms)
            .number("status", status)
            .number("runs", exchange.ran_at.len())
            .number("sends", exchange.attempts_made)
            .ms("after_ms", self.now.since(exchange.arrived));
        self.stats.count_failure(&exchange.route);
        self.answer_caller(exchange.caller, &exchange.head, status, &body, &extra);
    }

    /// Ends an exchange with the error of an earlier attempt's server, after the later ones have failed for `reason`.
    /// Returns false if no server has answered.
    fn forward_kept_error(&mut self, index: usize, reason: &'static str) -> bool {
        let Some(exchange) = self.exchanges.get_mut(index) else { return false };
        let Some((head, body)) = exchange.kept_error.take() else { return false };
        let exchange = self.exchanges.remove(index);
        let answer = self.buffered_answer(&exchange, &head, &body);
        self.log
            .line(self.now, "error_forwarded")
            .text("request", exchange.id())
            .text("reason", reason)
            .number("runs", exchange.ran_at.len())
            .number("sends", exchange.attempts_made)
            .ms("after_ms", self.now.since(exchange.arrived));
        self.stats.count_failure(&exchange.route);
        self.net.send(exchange.caller, &answer);
        let keeps_alive = self.keeps_connection(&exchange);
        self.finish_caller_answer(exchange.caller, keeps_alive);
        true
    }

    /// Ends the caller's connection in the middle of an answer, so that the answer doesn't look complete.
    pub(crate) fn abort_stream(&mut self, index: usize, reason: &'static str) {
        self.release_attempts(index);
        let exchange = self.exchanges.remove(index);
        let (server, left_out_ms) = self.last_server(&exchange);
        self.log
            .line(self.now, "broken_off")
            .text("request", exchange.id())
            .text("reason", reason)
            .text("server", &server)
            .ms("left_out_ms", left_out_ms)
            .number("last_event", exchange.delivery.last_event.unwrap_or(0))
            .number("sends", exchange.attempts_made)
            .number("moves", exchange.migrations)
            .number("resends", exchange.resends)
            .ms("gap_ms", self.now.since(exchange.delivery.last_sent))
            .ms("left_ms", exchange.deadline.since(self.now))
            .ms("after_ms", self.now.since(exchange.arrived));
        self.stats.count_failure(&exchange.route);
        if !exchange.is_chunked() {
            // Only a reset tells the caller that more was to come.
            self.net.reset(exchange.caller);
        }
        self.close_connection(exchange.caller);
    }

    /// The name of the last server on which the request may have run, and for how long no requests have been sent
    /// there.
    fn last_server(&self, exchange: &Exchange) -> (Arc<str>, Duration) {
        let Some(server) = exchange.ran_at.last().map(|it| self.pool.get(*it)) else {
            return (Arc::from(""), Duration::ZERO);
        };
        (server.name.clone(), server.health.ejected_for(self.now))
    }

    /// Ends an exchange whose caller has closed its connection.
    pub(crate) fn abandon_exchange(&mut self, index: usize, reason: &str, unsent: usize) {
        self.release_attempts(index);
        let exchange = self.exchanges.remove(index);
        self.log
            .line(self.now, "abandoned")
            .text("request", exchange.id())
            .text("reason", reason)
            .number("unsent", unsent)
            .number("runs", exchange.ran_at.len())
            .ms("after_ms", self.now.since(exchange.arrived));
        self.stats.count_abandoned();
    }

    /// Answers a request that didn't run. `attempts`: number of servers that have received it.
    pub(crate) fn refuse(
        &mut self,
        caller: Key,
        head: &Request,
        info: &RequestInfo,
        refusal: Refusal,
        arrived: Time,
        attempts: u8,
    ) {
        let version = self.config_version();
        self.log
            .line(self.now, "refused")
            .text("request", info.id.as_deref().unwrap_or_default())
            .text("reason", refusal.reason())
            .number("status", refusal.status())
            .text("resumed", info.resumed_id.as_deref().unwrap_or_default())
            .number("last_event", info.last_event.unwrap_or(0))
            .ms("wait_ms", refusal.expected_wait())
            .number("configuration", version)
            .ms("after_ms", self.now.since(arrived));
        self.stats.count_refusal(refusal.reason());
        let handover = info.handover.map(|_| match attempts {
            0 => RefusedHandover::Unsent,
            _ => RefusedHandover::Declined,
        });
        let after = refusal.retry_after();
        let extra = self.adapter.refusal_fields(info.id.as_deref(), after, handover);
        let body = error_body(refusal.reason());
        self.answer_caller(caller, head, refusal.status(), &body, &extra);
    }

    /// Sends an answer of the instance's own to the request with `head`.
    fn answer_caller(
        &mut self,
        caller: Key,
        head: &Request,
        status: u16,
        body: &[u8],
        extra: &[(&'static str, String)],
    ) {
        let keeps_connection = head.keeps_alive() && self.shutdown.is_none();
        let mut extra = extra.to_vec();
        if !keeps_connection {
            extra.push(("Connection", "close".into()));
        }
        let mut bytes = write::response(status, "application/json", body, &extra);
        if head.is_head() {
            bytes.truncate(bytes.len() - body.len());
        }
        self.net.send(caller, &bytes);
        self.finish_caller_answer(caller, keeps_connection);
    }
}

/// The body of an error answer of the instance's own.
pub(crate) fn error_body(reason: &str) -> Vec<u8> {
    format!("{{\"error\":\"{reason}\"}}").into_bytes()
}
