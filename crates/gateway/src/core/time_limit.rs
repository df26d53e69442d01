//! Time limits of requests in progress.

use std::time::Duration;

use shallotlead_base::time::Time;

use crate::{
    core::{
        Core, answer::record_answer_time, attempt::Attempt, ejection::REASON_UNRESPONSIVE,
        exchange::Exchange, refusal::Refusal,
    },
    generation::End,
    json_log::Line,
    pool::{self, Pool},
};

/// Age up to which a server's report of its queue is considered.
const MAX_QUEUE_REPORT_AGE: Duration = Duration::from_millis(600);
/// Interval of the checks on a server that reports a queue.
const QUEUE_CHECK_INTERVAL: Duration = Duration::from_millis(450);

impl Core {
    /// Handles the exchange's timer: deadline, connect timeout, response timeout, or a due retry.
    pub(crate) fn handle_exchange_timer(&mut self, index: usize, serial: u64) {
        let now = self.now;
        let Some(exchange) = self.exchanges.get(index).filter(|it| it.serial == serial) else {
            return;
        };
        if exchange.deadline <= now {
            self.time_out(index);
            return;
        }
        if self.check_permit_wait(index)
            || self.check_quota_wait(index)
            || self.check_build_query(index)
        {
            return;
        }
        let Some(exchange) = self.exchanges.get(index) else { return };
        let Some(attempt) = &exchange.attempt else {
            match exchange.retry {
                Some(_) => self.retry_if_due(index),
                None => {
                    if self.has_valid_draw(index) {
                        self.dispatch(index);
                    }
                }
            }
            return;
        };
        if attempt.connect_deadline <= now && self.is_connecting(attempt.connection) {
            self.handle_unrun_attempt(index, "connect-timeout", true);
            return;
        }
        if self.release_held_back(index) {
            return;
        }
        self.expire_standby(index);
        if self.withdraw_stale(index) {
            return;
        }
        self.hedge_unresponsive(index);
        self.check_stall(index);
        self.migrate_if_due(index);
        let Some(exchange) = self.exchanges.get(index) else { return };
        let Some(attempt) = exchange.attempt.as_ref().filter(|it| it.reply.is_none()) else {
            return;
        };
        let server = attempt.server;
        let may_rerun = exchange.is_repeatable() && exchange.has_attempts_left(&self.pool);
        let response_due = exchange.response_due(attempt, &self.pool);
        let is_check_due = may_rerun && attempt.response_check.is_due(now);
        let is_expected = self.has_queue(server) || self.pool.get(server).backoff.is_active(now);
        if is_check_due && response_due <= now && !is_expected {
            self.record_overdue(index);
            if self.hedge(index, None) {
                return;
            }
        }
        let Some(exchange) = self.exchanges.get(index) else { return };
        let Some(attempt) = &exchange.attempt else { return };
        let is_late = attempt.answer_due <= now;
        let is_prompt = exchange.info.model.is_some();
        let cost = self.pool.cost(&exchange.service);
        let waited = cost.queueing_time(attempt.uncached_tokens, now.since(attempt.sent));
        if is_check_due {
            let due = response_due.max(now + QUEUE_CHECK_INTERVAL);
            self.schedule_check(index, due, |it| Some(&mut it.attempt.as_mut()?.response_check));
        }
        if is_late && is_prompt {
            self.pool.get_mut(server).record_wait(now, waited.as_millis() as u32);
        }
        if is_late {
            self.probe_late(server);
        }
    }

    /// Records once that the server hasn't begun to answer for so long that it counts as a failure. The attempt goes
    /// on, as the server may still answer.
    fn record_overdue(&mut self, index: usize) {
        let Some(attempt) = self.exchanges.get(index).and_then(|it| it.attempt.as_ref()) else {
            return;
        };
        let server = attempt.server;
        if self.log_once(index, "overdue", |it| &mut it.is_overdue).is_none() {
            return;
        }
        self.stats.count_broken(REASON_UNRESPONSIVE);
        if self.pool.get_mut(server).health.record_failure(self.now) {
            self.log_ejected(server, REASON_UNRESPONSIVE);
        }
    }

    /// Begins a log line about the current attempt, unless it was logged before according to `is_logged`.
    pub(crate) fn log_once(
        &mut self,
        index: usize,
        event: &str,
        is_logged: impl FnOnce(&mut Attempt) -> &mut bool,
    ) -> Option<Line<'_>> {
        let exchange = self.exchanges.get_mut(index)?;
        let attempt = exchange.attempt.as_mut()?;
        if std::mem::replace(is_logged(attempt), true) {
            return None;
        }
        let (server, sent) = (&self.pool.get(attempt.server).name, attempt.sent);
        let line = self.log.line(self.now, event).text("request", exchange.id());
        Some(line.text("server", server).ms("sent_ms", self.now.since(sent)))
    }

    /// Whether the server reported waiting requests recently.
    fn has_queue(&self, server: pool::Id) -> bool {
        let load = self.pool.get(server).load;
        load.is_some_and(|it| self.now.since(it.1) < MAX_QUEUE_REPORT_AGE && 0 < it.0.waiting)
    }

    /// Ends the request at its deadline.
    fn time_out(&mut self, index: usize) {
        let Some(exchange) = self.exchanges.get(index) else { return };
        self.answer_times.record(self.now, &exchange.route.name, self.now.since(exchange.arrived));
        self.end_unfinished(index, Refusal::TimeOut, 504);
    }

    /// Ends a request before its answer: refuses it if it didn't run, else fails it with `status`.
    pub(super) fn end_unfinished(&mut self, index: usize, refusal: Refusal, status: u16) {
        let Some(exchange) = self.exchanges.get(index) else { return };
        let connection = exchange.attempt.as_ref().map(|it| it.connection);
        let was_never_sent = connection.is_none_or(|it| self.is_connecting(it));
        // An attempt whose connection was never established counts as a run until it is released.
        let earlier_runs = exchange.ran_at.len() - usize::from(connection.is_some());
        let Some(exchange) = self.exchanges.get_mut(index) else { return };
        if was_never_sent && earlier_runs == 0 {
            exchange.ran_at.clear();
            self.refuse_or_fail(index, refusal);
        } else {
            self.record_cut_answer(index);
            self.fail_exchange(index, status, refusal.reason());
        }
    }

    /// Records that the answer was cut off at its deadline.
    fn record_cut_answer(&mut self, index: usize) {
        let Self { exchanges, pool, now, .. } = self;
        if let Some(exchange) = exchanges.get(index) {
            record_answer_time(pool, *now, exchange, End::Cut);
        }
    }
}

impl Exchange {
    /// When the request is sent to another server if this one hasn't begun to answer by then and doesn't report a queue,
    /// which a second attempt would only make longer. The time that its caller has is shared out evenly among this
    /// attempt and those that its route still allows.
    fn response_due(&self, attempt: &Attempt, pool: &Pool) -> Time {
        let attempts = 1 + u32::from(self.attempts_left(pool));
        let time_left = self.caller_deadline().leaves_at().since(attempt.sent);
        attempt.answer_due.max(attempt.sent + time_left / attempts)
    }
}
