//! Streams that have begun, between the server that they have lost and the next one.

use std::time::Duration;

use shallotlead_base::time::Time;

use crate::{
    budget::Purpose,
    core::{Core, Timer, copy, exchange::Exchange},
    pool,
    quarantine::Standing,
};

/// Pause between two tries to draw on a retry budget that is spent. It grows with each request, and as its window
/// moves on.
const BUDGET_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// A stream that waits to be sent again.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Retry {
    reason: &'static str,
    /// When it is looked at next. A timer is set for that; others of the same stream may go off before.
    due: Time,
    /// It has been sent as often as its route allows, unless this server has ended: those don't count.
    unless_ended: Option<pool::Id>,
}

impl Core {
    /// Sends a stream again that has lost its server, after `pause` and as soon as the retry budget allows it.
    ///
    /// Guards against a stream that is broken off though another server could finish it in time: an instance has a
    /// small part of the budget, which a few streams that are turned away together use up within milliseconds. It
    /// shows as `broken_off` right behind `turned_away`. It holds since the budget grows while the caller still waits.
    pub(crate) fn retry_stream_later(
        &mut self,
        place: usize,
        reason: &'static str,
        pause: Duration,
    ) {
        let due = self.now + pause;
        self.schedule_retry(place, Retry { reason, due, unless_ended: None });
    }

    /// The stream was cut, and can't be sent on now. Says whether it waits for that.
    pub(crate) fn resume_later(&mut self, place: usize, reason: &'static str) -> bool {
        let Some(exchange) = self.exchanges.get(place) else { return false };
        let Some(lost) = exchange.attempt.as_ref().map(|it| it.server) else { return false };
        if !exchange.delivery.has_begun || !exchange.is_repeatable() {
            return false;
        }
        let patience = exchange.patience();
        let is_used_up = exchange.route.attempts <= exchange.runs;
        if is_used_up && !self.may_have_ended(place, lost, reason) {
            return false;
        }
        self.release_attempt(place, true);
        if let Some(exchange) = self.exchanges.get_mut(place) {
            exchange.excluded.push(lost);
        }
        let (due, unless_ended) = match is_used_up {
            true => (patience, Some(lost)),
            false => (self.now + BUDGET_RETRY_INTERVAL, None),
        };
        self.schedule_retry(place, Retry { reason, due, unless_ended });
        true
    }

    fn schedule_retry(&mut self, place: usize, retry: Retry) {
        let Some(exchange) = self.exchanges.get_mut(place) else { return };
        exchange.retry = Some(retry);
        let serial = exchange.serial;
        self.set_timer(retry.due, Timer::Exchange(place, serial));
    }

    /// Whether it is being found out if the stream's server has ended. One that may have crashed several servers
    /// isn't sent to another one.
    fn may_have_ended(&mut self, place: usize, server: pool::Id, reason: &str) -> bool {
        copy::LOST_REASONS.contains(&reason)
            && self.pool.get(server).awaits_check
            && self.standing(place) == Standing::Clear
    }

    /// A server that lost its runs was looked at: if it has ended, streams go on for which it was the last one.
    ///
    /// Guards against streams that a crash ends because they had left another server before, for weights to load:
    /// each had one try, which the move had used. It holds that no more servers run them at a time than the route
    /// allows, since this one runs nothing any more.
    pub(crate) fn retry_after_liveness_check(&mut self, server: pool::Id, has_ended: bool) {
        let waits = |it: &Exchange| it.retry.is_some_and(|it| it.unless_ended == Some(server));
        let places = self.exchanges.iter().filter(|it| waits(it.1)).map(|it| it.0);
        for place in places.collect::<Vec<_>>() {
            let Some(exchange) = self.exchanges.get_mut(place) else { continue };
            let Some(retry) = &mut exchange.retry else { continue };
            if has_ended {
                (retry.due, retry.unless_ended) = (self.now, None);
                exchange.runs -= 1;
                self.retry_if_due(place);
            } else {
                let reason = retry.reason;
                self.fail_exchange(place, 502, reason);
            }
        }
    }

    /// Sends the stream again if that is due and the budget allows it, or ends it when it has waited for too long.
    pub(crate) fn retry_if_due(&mut self, place: usize) {
        let now = self.now;
        let Some(exchange) = self.exchanges.get_mut(place) else { return };
        let Some(retry) = exchange.retry.filter(|it| it.due <= now) else { return };
        let (service, patience) = (exchange.service.clone(), exchange.patience());
        let instances = self.members.sharers();
        if retry.unless_ended.is_some() {
            self.fail_exchange(place, 502, retry.reason);
        } else if self.budget.withdraw(now, &service, instances, Purpose::Stream) {
            exchange.retry = None;
            self.stats.resent(retry.reason);
            self.dispatch(place);
        } else if patience <= now {
            self.log_no_budget(place, retry.reason, Purpose::Stream);
            self.fail_exchange(place, 502, retry.reason);
        } else {
            self.schedule_retry(place, Retry { due: now + BUDGET_RETRY_INTERVAL, ..retry });
        }
    }
}
