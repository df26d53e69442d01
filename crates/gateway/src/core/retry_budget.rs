//! Draws on the retry budget, the only way to send a request again that a server may have received.

use std::time::Duration;

use crate::{
    budget::{DRAW_VALIDITY, Draw, Purpose},
    core::{Core, migration::REASON_LOADING, refusal::Refusal},
};

/// The retry budget's answer to a request that would be sent again.
pub(crate) struct Offer {
    reason: &'static str,
    /// The fraction of the budget's slack that this process may spend.
    share: f64,
    /// The retry, or what is left of less than one.
    draw: Result<Draw, f64>,
}

impl Offer {
    /// Whether a retry is left.
    pub(crate) fn is_covered(&self) -> bool {
        self.draw.is_ok()
    }
}

impl Core {
    /// Takes a retry for the request from its service's budget, if one is left, and logs either outcome.
    pub(crate) fn draw_retry(&mut self, index: usize, reason: &'static str) -> bool {
        let offer = self.offer_retry(index, reason);
        if let Err(left) = offer.draw {
            self.log_draw("no_budget", index, &offer, left);
        }
        self.take_retry(index, offer)
    }

    /// The same, without logging that none is left, for a request that will ask again.
    pub(crate) fn try_draw_retry(&mut self, index: usize, reason: &'static str) -> bool {
        let offer = self.offer_retry(index, reason);
        self.take_retry(index, offer)
    }

    /// Asks the budget of the request's service for a retry.
    pub(crate) fn offer_retry(&mut self, index: usize, reason: &'static str) -> Offer {
        let (share, purpose) = (self.retry_share(), self.retry_purpose(index, reason));
        let draw = match self.exchanges.get(index) {
            Some(it) => self.budget.offer(self.now, &it.service, share, purpose),
            None => Err(0.0),
        };
        Offer { reason, share, draw }
    }

    /// Takes the retry, if the budget has offered one.
    pub(crate) fn take_retry(&mut self, index: usize, offer: Offer) -> bool {
        let reason = offer.reason;
        let Ok(draw) = &offer.draw else { return false };
        self.budget.withdraw(draw);
        let left = draw.left();
        if let Some(exchange) = self.exchanges.get_mut(index) {
            exchange.drawn = Some((self.now, reason));
            self.stats.count_retry(&exchange.service);
        }
        self.stats.count_resend(reason);
        self.log_draw("retry", index, &offer, left);
        true
    }

    /// Whether the request, which no server has received since its last draw, may be sent now. If that draw is too old,
    /// it draws again: a stream that has begun waits for that, another request is refused if no retry is left.
    ///
    /// Guards against retries of a whole window that wait for the same server and reach it together.
    pub(crate) fn has_valid_draw(&mut self, index: usize) -> bool {
        let Some(exchange) = self.exchanges.get(index) else { return false };
        let expired = exchange.drawn.filter(|it| DRAW_VALIDITY <= self.now.since(it.0));
        let Some((_, reason)) = expired else { return true };
        if exchange.delivery.has_begun {
            self.retry_stream_later(index, reason, Duration::ZERO);
            return false;
        }
        let is_drawn = self.draw_retry(index, reason);
        if !is_drawn {
            self.refuse_or_fail(index, Refusal::Declined);
        }
        is_drawn
    }

    /// The fraction of the budget's slack that this process may spend.
    pub(crate) fn retry_share(&self) -> f64 {
        self.members.allowance_share(self.now.since(self.started), self.budget.span())
    }

    fn retry_purpose(&self, index: usize, reason: &'static str) -> Purpose {
        let has_begun = self.exchanges.get(index).is_some_and(|it| it.delivery.has_begun);
        match has_begun {
            _ if reason == REASON_LOADING => Purpose::Migration,
            true => Purpose::Stream,
            false => Purpose::Request,
        }
    }

    /// Logs the outcome of a draw with what decided it. `left`: retries that are left after it.
    fn log_draw(&mut self, line: &'static str, index: usize, offer: &Offer, left: f64) {
        let Offer { reason, share, .. } = offer;
        let instances = self.members.budget_sharers();
        let Some(exchange) = self.exchanges.get(index) else { return };
        let (requests, retries) = self.budget.counts(self.now, &exchange.service);
        self.log
            .line(self.now, line)
            .text("request", exchange.id())
            .text("service", &exchange.service)
            .text("reason", reason)
            .number("has_begun", exchange.delivery.has_begun)
            .number("resends", exchange.resends)
            .number("requests", requests)
            .number("retries", retries)
            .number("instances", instances)
            .number("share", format_args!("{share:.3}"))
            .ms("up_ms", self.now.since(self.started))
            .number("left", format_args!("{left:.2}"));
    }
}
