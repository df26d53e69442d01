//! Hedged requests: a second attempt beside one whose server doesn't respond.
//!
//! A sound server may be silent for a second and go on. Its runs stay there until the connection shows that they are
//! lost, and until then a request may be sent to a second server as well. Whichever responds first is used, and the
//! other attempt is withdrawn. If the second attempt fails, the first one still counts.

use std::time::Duration;

use crate::{
    core::{Core, ejection::REASON_UNRESPONSIVE, standby::Cause},
    placement::Choice,
    pool,
    rate_limit::Permission,
};

/// How long a sound server that doesn't respond is expected to be silent.
const TYPICAL_SILENCE: Duration = Duration::from_secs(1);
/// Interval at which a request at a server that doesn't respond is considered for a second attempt.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

impl Core {
    /// Considers second attempts for the requests at a server that doesn't respond.
    pub(crate) fn hedge_requests_at(&mut self, server: pool::Id) {
        for index in self.exchanges_where(|it| it.is_at(server)) {
            self.hedge_unresponsive(index);
        }
    }

    /// Considers a second attempt for a request whose server doesn't respond, now and again until it does: one that is
    /// expected to bring a first token before the server goes on.
    pub(crate) fn hedge_unresponsive(&mut self, index: usize) {
        let now = self.now;
        let Some(exchange) = self.exchanges.get(index) else { return };
        let Some(attempt) = exchange.attempt.as_ref().filter(|it| it.hedge_check.is_due(now))
        else {
            return;
        };
        let Some(silence) = self.pool.get(attempt.server).health.unresponsive_for(now) else {
            return;
        };
        self.schedule_check(index, now + CHECK_INTERVAL, |it| {
            Some(&mut it.attempt.as_mut()?.hedge_check)
        });
        self.hedge(index, TYPICAL_SILENCE.checked_sub(silence));
    }

    /// Sends a request to a second server while the first one doesn't respond, if the request may be repeated, a server
    /// takes it at once, and the retry budget allows it. `within`: only if its first token is expected by then. Returns
    /// whether it was sent.
    pub(crate) fn hedge(&mut self, index: usize, within: Option<Duration>) -> bool {
        match self.choose_second(index, within, REASON_UNRESPONSIVE) {
            Ok(choice) => {
                self.record_silent_run(index);
                self.log_hedged(index);
                self.set_aside(index, Cause::Unresponsive);
                self.send_attempt(index, &choice);
                true
            }
            Err(reason) => {
                self.log_kept(index, reason);
                false
            }
        }
    }

    /// The server for a second attempt, if one may be made now. Takes the permit and the retry that it needs.
    pub(super) fn choose_second(
        &mut self,
        index: usize,
        within: Option<Duration>,
        reason: &'static str,
    ) -> Result<Choice, &'static str> {
        let exchange = self.exchanges.get(index).ok_or("ended")?;
        let attempt = exchange.attempt.as_ref().ok_or("ended")?;
        if exchange.standby.is_some() {
            return Err("hedged");
        }
        if !exchange.is_repeatable() || !exchange.has_attempts_left(&self.pool) {
            return Err("no-attempt");
        }
        if self.is_connecting(attempt.connection) || self.is_handed_over(exchange) {
            return Err("not-sent");
        }
        if attempt.end.is_some() {
            return Err("answered");
        }
        let choice = self.choose_elsewhere(index)?;
        if within.is_some_and(|it| it < choice.work.first_token) {
            return Err("slower");
        }
        let retry = self.offer_retry(index, reason);
        if !retry.is_covered() {
            return Err("no-budget");
        }
        if self.acquire_permit(choice.server) != Permission::Granted {
            return Err("no-permit");
        }
        self.take_retry(index, retry);
        Ok(choice)
    }

    fn log_hedged(&mut self, index: usize) {
        let Some(exchange) = self.exchanges.get(index) else { return };
        let Some(attempt) = &exchange.attempt else { return };
        let server = self.pool.get(attempt.server);
        let silence = server.health.unresponsive_for(self.now).unwrap_or_default();
        self.log
            .line(self.now, "hedged")
            .text("request", exchange.id())
            .text("server", &server.name)
            .number("has_begun", exchange.delivery.has_begun)
            .number("last_event", exchange.delivery.last_event.unwrap_or(0))
            .ms("silent_ms", silence)
            .ms("sent_ms", self.now.since(attempt.sent));
        self.stats.count_hedge("sent");
    }

    /// Logs, once for each attempt, why a request stays at a server that doesn't respond.
    fn log_kept(&mut self, index: usize, reason: &'static str) {
        let Some(exchange) = self.exchanges.get(index) else { return };
        let has_begun = exchange.delivery.has_begun;
        let last_event = exchange.delivery.last_event.unwrap_or(0);
        let Some(line) = self.log_once(index, "kept", |it| &mut it.is_kept) else { return };
        line.text("reason", reason).number("has_begun", has_begun).number("last_event", last_event);
        self.stats.count_hedge("kept");
    }
}
