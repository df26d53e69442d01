//! Streams that have begun, between the server that they have lost and the next one.

use std::time::Duration;

use shallotlead_base::time::Time;

use crate::{
    budget::Purpose,
    core::{Core, Timer},
};

/// Pause between two tries to draw on a retry budget that is spent. It grows with each request, and as its window
/// moves on.
const DRAW_AGAIN: Duration = Duration::from_millis(50);

/// A stream that waits to be sent again.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Retry {
    reason: &'static str,
    /// Until then whatever turned it away is still there.
    from: Time,
}

impl Core {
    /// Sends a stream again that has lost its server, after `pause` and as soon as the retry budget allows it.
    ///
    /// Guards against a stream that is broken off though another server could finish it in time: an instance has a
    /// small part of the budget, which a few streams that are turned away together use up within milliseconds. It
    /// shows as `broken_off` right behind `turned_away`. It holds since the budget grows while the caller still waits.
    pub(crate) fn await_retry(&mut self, place: usize, reason: &'static str, pause: Duration) {
        let from = self.now + pause;
        let Some(exchange) = self.exchanges.get_mut(place) else { return };
        exchange.retry = Some(Retry { reason, from });
        self.retry_due(place);
    }

    /// The stream was cut, and the budget doesn't allow to send it on now. Says whether it waits for that.
    pub(crate) fn await_resumption(&mut self, place: usize, reason: &'static str) -> bool {
        let Some(exchange) = self.exchanges.get(place) else { return false };
        let may_go_on = exchange.delivery.has_begun
            && exchange.is_repeatable()
            && exchange.runs < exchange.route.attempts;
        if !may_go_on {
            return false;
        }
        let lost = self.release_attempt(place, true);
        if let Some(exchange) = self.exchanges.get_mut(place) {
            exchange.excluded.extend(lost.map(|it| it.server));
        }
        self.await_retry(place, reason, Duration::ZERO);
        true
    }

    /// Sends the stream again if that is due and the budget allows it, or ends it when it has waited for too long.
    pub(crate) fn retry_due(&mut self, place: usize) {
        let now = self.now;
        let Some(exchange) = self.exchanges.get(place) else { return };
        let Some(retry) = exchange.retry else { return };
        let (serial, service) = (exchange.serial, exchange.service.clone());
        if now < retry.from {
            self.at(retry.from, Timer::Exchange(place, serial));
            return;
        }
        let instances = self.members.sharers();
        if self.budget.withdraw(now, &service, instances, Purpose::Stream) {
            self.stats.resent(retry.reason);
            if let Some(exchange) = self.exchanges.get_mut(place) {
                exchange.retry = None;
            }
            self.dispatch(place);
        } else if exchange.patience() <= now {
            self.no_budget(place, retry.reason, Purpose::Stream);
            self.fail(place, 502, retry.reason);
        } else {
            self.at(now + DRAW_AGAIN, Timer::Exchange(place, serial));
        }
    }
}
