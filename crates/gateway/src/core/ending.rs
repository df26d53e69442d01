//! How a request ends without a backend server's whole answer.

use shallotlead_base::time::Time;

use crate::{
    core::{Core, refusal::Refusal},
    dialect::Ask,
    http::write,
    net::Key,
};

impl Core {
    /// Ends a request that no server takes: as not run if that is certain, else as failed.
    pub(crate) fn refuse_or_fail(&mut self, place: usize, refusal: Refusal) {
        self.release_attempt(place, true);
        let Some(exchange) = self.exchanges.get(place) else { return };
        if exchange.delivery.has_begun {
            self.abort_stream(place, refusal.reason());
            return;
        }
        // The caller takes a refusal for a promise that it hasn't run, also where running twice does no harm.
        if 0 < exchange.runs {
            self.fail_exchange(place, 502, refusal.reason());
            return;
        }
        let exchange = self.exchanges.remove(place);
        let keeps = exchange.head.keeps_alive();
        self.refuse(exchange.caller, keeps, &exchange.ask, refusal, exchange.arrived);
    }

    /// Ends a request that may have run without an answer.
    pub(crate) fn fail_exchange(&mut self, place: usize, status: u16, reason: &'static str) {
        self.release_attempt(place, true);
        let Some(exchange) = self.exchanges.get(place) else { return };
        if exchange.delivery.has_begun {
            self.abort_stream(place, reason);
            return;
        }
        let exchange = self.exchanges.remove(place);
        let body = error_body(reason);
        let extra = self.dialect.refusal(exchange.ask.id.as_deref(), None);
        self.journal
            .line(self.now, "failed")
            .text("request", exchange.id())
            .text("reason", reason)
            .number("status", status)
            .number("runs", exchange.runs)
            .number("sends", exchange.sends)
            .ms("after_ms", self.now.since(exchange.arrived));
        self.stats.failed(&exchange.route);
        let keeps = exchange.head.keeps_alive();
        self.answer_caller(exchange.caller, status, &body, &extra, keeps);
    }

    /// Breaks the caller's connection: what it has must not look complete.
    pub(crate) fn abort_stream(&mut self, place: usize, reason: &'static str) {
        self.release_attempt(place, true);
        let exchange = self.exchanges.remove(place);
        self.journal
            .line(self.now, "broken_off")
            .text("request", exchange.id())
            .text("reason", reason)
            .number("last_event", exchange.delivery.last_event.unwrap_or(0))
            .ms("after_ms", self.now.since(exchange.arrived));
        self.stats.failed(&exchange.route);
        self.close_connection(exchange.caller);
    }

    /// The caller went away: nobody waits for the answer.
    pub(crate) fn abandon_exchange(&mut self, place: usize) {
        self.release_attempt(place, true);
        let exchange = self.exchanges.remove(place);
        self.journal
            .line(self.now, "abandoned")
            .text("request", exchange.id())
            .number("runs", exchange.runs)
            .ms("after_ms", self.now.since(exchange.arrived));
        self.stats.abandoned();
    }

    /// Answers a request that hasn't run.
    pub(crate) fn refuse(
        &mut self,
        caller: Key,
        keeps_alive: bool,
        ask: &Ask,
        refusal: Refusal,
        arrived: Time,
    ) {
        let version = self.version_in_force();
        self.journal
            .line(self.now, "refused")
            .text("request", ask.id.as_deref().unwrap_or_default())
            .text("reason", refusal.reason())
            .number("status", refusal.status())
            .ms("wait_ms", refusal.expected_wait())
            .number("configuration", version)
            .ms("after_ms", self.now.since(arrived));
        self.stats.refused(refusal.reason());
        let extra = self.dialect.refusal(ask.id.as_deref(), refusal.retry_after());
        let body = error_body(refusal.reason());
        self.answer_caller(caller, refusal.status(), &body, &extra, keeps_alive);
    }

    fn answer_caller(
        &mut self,
        caller: Key,
        status: u16,
        body: &[u8],
        extra: &[(&'static str, String)],
        keeps_alive: bool,
    ) {
        let keeps = keeps_alive && self.leaving_since.is_none();
        let mut extra = extra.to_vec();
        if !keeps {
            extra.push(("Connection", "close".into()));
        }
        let bytes = write::response(status, "application/json", body, &extra);
        self.net.send(caller, &bytes);
        self.caller_answer_sent(caller, keeps);
    }
}

/// The body of an answer that this instance gives itself.
pub(crate) fn error_body(reason: &str) -> Vec<u8> {
    format!("{{\"error\":\"{reason}\"}}").into_bytes()
}
