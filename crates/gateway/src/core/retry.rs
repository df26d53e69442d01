//! Streams that have begun and wait to be sent to another server after they lost theirs.

use std::time::Duration;

use shallotlead_base::time::Time;

use crate::{
    core::{Core, Timer, copy, exchange::Exchange},
    pool,
    quarantine::Verdict,
};

/// Interval at which a waiting stream tries to draw on a spent retry budget. The budget grows with each request
/// and as its window moves on.
const BUDGET_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// When and why a waiting stream is sent again.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Retry {
    /// Why the last attempt ended.
    reason: &'static str,
    /// When it is checked next. A timer is set for that; other timers of the same exchange may fire before.
    due: Time,
    /// The stream has used up the attempts of its route. Runs at a server that has ended don't count, so that
    /// it gets one more if a liveness check finds that this server has.
    unless_ended: Option<pool::Id>,
}

impl Core {
    /// Resends a stream that a server declined, after `pause` or just before its caller leaves, and as soon as the
    /// retry budget allows it.
    ///
    /// An instance has only a small share of the budget, which a few streams that are declined together use up
    /// within milliseconds. Waiting lets the budget grow while the caller still waits; without it, streams that
    /// another server could finish in time would be aborted, with `broken_off` in the log right after
    /// `turned_away`.
    pub(crate) fn retry_stream_later(
        &mut self,
        index: usize,
        reason: &'static str,
        pause: Duration,
    ) {
        let Some(exchange) = self.exchanges.get(index) else { return };
        let (due, give_up_at) = (self.now + pause, exchange.give_up_at());
        let due = if self.now < give_up_at { due.min(give_up_at) } else { due };
        self.schedule_retry(index, Retry { reason, due, unless_ended: None });
    }

    /// Makes a stream wait that lost its server and can't be sent to another one now. Returns whether it waits.
    pub(crate) fn resume_later(&mut self, index: usize, reason: &'static str) -> bool {
        let Some(exchange) = self.exchanges.get(index) else { return false };
        let Some(lost) = exchange.attempt.as_ref().map(|it| it.server) else { return false };
        if !exchange.delivery.has_begun || !exchange.is_repeatable() {
            return false;
        }
        let give_up_at = exchange.give_up_at();
        let is_used_up = !exchange.has_attempts_left(&self.pool);
        if is_used_up && !self.may_have_ended(index, lost, reason) {
            return false;
        }
        self.release_attempt(index, true);
        if let Some(exchange) = self.exchanges.get_mut(index) {
            exchange.excluded.push(lost);
        }
        let (due, unless_ended) = match is_used_up {
            true => (give_up_at, Some(lost)),
            false => (self.now + BUDGET_RETRY_INTERVAL, None),
        };
        self.schedule_retry(index, Retry { reason, due, unless_ended });
        true
    }

    /// Sets the stream's next retry and a timer for it.
    fn schedule_retry(&mut self, index: usize, retry: Retry) {
        let Some(exchange) = self.exchanges.get_mut(index) else { return };
        exchange.retry = Some(retry);
        let serial = exchange.serial;
        self.set_timer(retry.due, Timer::Exchange(index, serial));
    }

    /// Whether a liveness check may still find that the stream's server has ended. A request that may have
    /// crashed several servers isn't sent to another one.
    fn may_have_ended(&mut self, index: usize, server: pool::Id, reason: &str) -> bool {
        copy::LOST_REASONS.contains(&reason)
            && self.pool.get(server).is_check_pending
            && self.quarantine_verdict(index) == Verdict::Clear
    }

    /// Takes the result of a server's liveness check: if the server has ended, streams that had used their last
    /// attempt there are sent to another server, otherwise they fail.
    ///
    /// Without this, a crash would end streams that had been migrated from another server for weights to load,
    /// as the migration used up their one retry. The number of servers that run such a stream at a time stays
    /// within the route's limit, since the server that has ended runs nothing.
    pub(crate) fn retry_after_liveness_check(&mut self, server: pool::Id, has_ended: bool) {
        let is_waiting = |it: &Exchange| it.retry.is_some_and(|it| it.unless_ended == Some(server));
        for index in self.exchanges_where(is_waiting) {
            let Some(exchange) = self.exchanges.get_mut(index) else { continue };
            let Some(retry) = &mut exchange.retry else { continue };
            if has_ended {
                (retry.due, retry.unless_ended) = (self.now, None);
                self.retry_if_due(index);
            } else {
                let reason = retry.reason;
                self.fail_exchange(index, 502, reason);
            }
        }
    }

    /// Sends a waiting stream again if that is due and the budget allows it, or fails it if it has waited for
    /// too long.
    pub(crate) fn retry_if_due(&mut self, index: usize) {
        let now = self.now;
        let Some(exchange) = self.exchanges.get(index) else { return };
        let Some(retry) = exchange.retry.filter(|it| it.due <= now) else { return };
        let is_last = exchange.give_up_at() <= now;
        if retry.unless_ended.is_some() {
            self.fail_exchange(index, 502, retry.reason);
            return;
        }
        let is_drawn = match is_last {
            true => self.draw_retry(index, retry.reason),
            false => self.try_draw_retry(index, retry.reason),
        };
        if is_drawn {
            if let Some(exchange) = self.exchanges.get_mut(index) {
                exchange.retry = None;
            }
            self.dispatch(index);
        } else if is_last {
            self.fail_exchange(index, 502, retry.reason);
        } else {
            self.schedule_retry(index, Retry { due: now + BUDGET_RETRY_INTERVAL, ..retry });
        }
    }
}
