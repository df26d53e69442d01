//! What follows when an attempt brings no answer: its server declined the request or wasn't reached, or the answer
//! broke.

use std::time::Duration;

use crate::{
    core::{Core, copy, exchange::Exchange, refusal::Refusal, reply::Reply},
    placement::Shortage,
    pool::Switch,
    quarantine::Verdict,
};

/// Why an attempt ends whose server has no room for it.
pub(super) const REASON_FULL: &str = "full";
/// How often a stream that has begun is sent again after a server declined it. Without the bound, streams
/// that every server declines would be sent hundreds of times.
const MAX_RESENDS: u8 = 6;
/// Pause before a declined stream is sent again, which doubles each time.
const RESEND_PAUSE: Duration = Duration::from_millis(80);
/// How long a server that declined a request because of its weights is assumed to be loading the next
/// version, unless it reports its weights before.
const WEIGHTS_MISMATCH_PAUSE: Duration = Duration::from_millis(400);

impl Core {
    /// Handles the server's answer that it didn't run the request.
    pub(crate) fn handle_declined_attempt(&mut self, index: usize) {
        let now = self.now;
        let Some(exchange) = self.exchanges.get_mut(index) else { return };
        let Some(attempt) = &exchange.attempt else { return };
        let Some(Reply { head, answer }) = &attempt.reply else { return };
        exchange.delivery.pending.clear();
        let server = attempt.server;
        let weights = attempt.weights;
        let entry = self.pool.get_mut(server);
        let reason = match head.status {
            421 if answer.names_another(&entry.name) => "other-server",
            421 => "other-weights",
            _ if attempt.is_from_copy => "no-copy",
            _ => REASON_FULL,
        };
        match reason {
            "other-server" => self.pool.mark_replaced(server),
            "other-weights" => {
                let version = weights.unwrap_or(0) + 1;
                entry.switch.get_or_insert(Switch { version, until: now + WEIGHTS_MISMATCH_PAUSE });
            }
            _ => {}
        }
        self.log
            .line(now, "turned_away")
            .text("request", exchange.id())
            .text("server", &self.pool.get(server).name)
            .text("reason", reason)
            .number("status", head.status)
            .ms("retry_after_ms", answer.retry_after.time().unwrap_or_default())
            .ms("after_ms", now.since(exchange.arrived));
        match reason {
            "other-server" => self.handle_crash(server),
            "other-weights" => self.probe_late(server),
            _ => {}
        }
        self.handle_unrun_attempt(index, reason, false);
    }

    /// Handles an attempt that certainly did not run, so that the request may be sent elsewhere.
    ///
    /// `is_failure`: no connection could be opened. This counts against the server's health, and the next
    /// attempt draws nothing from the retry budget, since no server received this one.
    pub(crate) fn handle_unrun_attempt(
        &mut self,
        index: usize,
        reason: &'static str,
        is_failure: bool,
    ) {
        let Some(attempt) = self.release_attempt(index, true) else { return };
        let Some(exchange) = self.exchanges.get_mut(index) else { return };
        exchange.forget_run(attempt.server);
        exchange.excluded.push(attempt.server);
        let is_rerun_forbidden = exchange.is_rerun_forbidden();
        self.stats.servers.at(self.pool.get(attempt.server).address).count_not_run();
        if is_failure {
            exchange.attempts_made -= 1;
            self.record_unreached(attempt.server);
            let Some(exchange) = self.exchanges.get(index) else { return };
            self.log
                .line(self.now, "not_sent")
                .text("request", exchange.id())
                .text("server", &self.pool.get(attempt.server).name)
                .text("reason", reason);
            if self.pool.get_mut(attempt.server).health.record_failure(self.now) {
                self.log_ejected(attempt.server, reason);
            }
            // Other requests may be about to be sent there; the probe's result spares them the attempt.
            self.probe_late(attempt.server);
            if self.resume_standby(index) {
                return;
            }
            if self.has_valid_draw(index) {
                self.dispatch(index);
            }
            return;
        }
        if self.resume_standby(index) {
            return;
        }
        if is_rerun_forbidden {
            self.fail_exchange(index, 502, "copy-gone");
            return;
        }
        let Some(exchange) = self.exchanges.get_mut(index) else { return };
        if exchange.delivery.has_begun {
            if exchange.resends < MAX_RESENDS {
                let pause = RESEND_PAUSE * (1 << exchange.resends);
                exchange.resends += 1;
                self.retry_stream_later(index, reason, pause);
            } else {
                self.refuse_declined(index);
            }
            return;
        }
        if self.refuse_rejected(index, attempt.server, reason) {
            return;
        }
        if self.draw_retry(index, reason) {
            self.dispatch(index);
        } else {
            self.refuse_declined(index);
        }
    }

    /// Refuses a request that servers declined. If all want no requests for a while, its caller should come back when
    /// the first one does.
    fn refuse_declined(&mut self, index: usize) {
        let Some(exchange) = self.exchanges.get(index) else { return };
        let build = exchange.binding.build();
        let refusal = match self.pool.backed_off_until(self.now, &exchange.service, build) {
            Some(it) => Refusal::Shortage(Shortage::BackedOff { after: it.since(self.now) }),
            None => Refusal::Declined,
        };
        self.refuse_or_fail(index, refusal);
    }

    /// Handles an attempt that may have run and won't bring a complete answer.
    pub(crate) fn handle_broken_attempt(&mut self, index: usize, reason: &'static str) {
        let Some(exchange) = self.exchanges.get_mut(index) else { return };
        let Some(attempt) = &exchange.attempt else { return };
        let server = attempt.server;
        let first_event = attempt.run.map_or(attempt.sent, |it| it.first_event());
        let last_event = attempt.run.map_or(attempt.sent, |it| it.last_event());
        exchange.delivery.pending.clear();
        self.log
            .line(self.now, "broken")
            .text("request", exchange.id())
            .text("identity", &exchange.identity().to_string())
            .text("prefix", &exchange.prefix())
            .text("server", &self.pool.get(server).name)
            .text("build", self.pool.get(server).build.as_deref().unwrap_or_default())
            .text("reason", reason)
            .number("last_event", exchange.delivery.last_event.unwrap_or(0))
            .ms("sent_ms", self.now.since(attempt.sent))
            .ms("first_event_ms", first_event.since(attempt.sent))
            .ms("heard_ms", last_event.since(attempt.sent));
        if self.pool.get_mut(server).health.record_failure(self.now) {
            self.log_ejected(server, reason);
        }
        self.stats.count_broken(reason);
        self.stats.servers.at(self.pool.get(server).address).count_broken();
        if copy::LOST_REASONS.contains(&reason) {
            self.record_loss(index);
            // The exchange may have been ended together with others of the same request.
            if !self.exchanges.contains(index) {
                return;
            }
        }
        let has_other_run = |it: &Exchange| it.delivery.has_begun && it.standby.is_some();
        if self.exchanges.get(index).is_some_and(has_other_run) {
            self.release_attempt(index, true);
            self.resume_standby(index);
            return;
        }
        // A suspected request might crash the server that has its copy as well.
        let continues = match self.quarantine_verdict(index) {
            Verdict::Clear => {
                self.continue_at_copy(index, reason) || self.retry_elsewhere(index, reason)
            }
            Verdict::Suspect => self.retry_elsewhere(index, reason),
            Verdict::Held | Verdict::Quarantined => {
                self.fail_exchange(index, 502, "quarantined");
                return;
            }
        };
        if !continues && !self.resume_later(index, reason) {
            self.fail_exchange(index, 502, reason);
        }
    }

    /// Sends an idempotent request to another server, if attempts and retry budget allow it. Returns
    /// whether it was sent.
    pub(crate) fn retry_elsewhere(&mut self, index: usize, reason: &'static str) -> bool {
        let Some(exchange) = self.exchanges.get(index) else { return false };
        if !exchange.is_repeatable() {
            return false;
        }
        if exchange.standby.is_some() {
            self.release_attempt(index, true);
            return self.resume_standby(index);
        }
        if !exchange.has_attempts_left(&self.pool) {
            self.log_no_attempt(index, reason);
            return false;
        }
        if !self.draw_retry(index, reason) {
            return false;
        }
        let attempt = self.release_attempt(index, true);
        let Some(exchange) = self.exchanges.get_mut(index) else { return false };
        exchange.delivery.pending.clear();
        exchange.excluded.extend(attempt.map(|it| it.server));
        self.dispatch(index);
        true
    }

    /// Logs that an idempotent request has run as often as its route allows.
    fn log_no_attempt(&mut self, index: usize, reason: &str) {
        let Some(exchange) = self.exchanges.get(index) else { return };
        self.log
            .line(self.now, "no_attempt")
            .text("request", exchange.id())
            .text("reason", reason)
            .number("has_begun", exchange.delivery.has_begun)
            .number("runs", exchange.ran_at.len())
            .number("sends", exchange.attempts_made)
            .number("attempts", exchange.route.max_attempts)
            .number("handovers", exchange.handovers);
    }
}
