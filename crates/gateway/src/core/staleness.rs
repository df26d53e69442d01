//! Keeps prompts from beginning on weights that were replaced too long ago.

use std::time::Duration;

use shallotlead_base::time::Time;

use crate::{
    core::{Core, Timer, attempt::Attempt, exchange::Exchange},
    placement,
    pool::Currency,
};

/// Why an attempt ends that would begin on weights replaced too long ago.
const REASON_STALE: &str = "old-weights";

impl Core {
    /// How long ago the weights `version` of `model` were replaced; the limit if that isn't known. `None` if they are
    /// the newest.
    pub(crate) fn staleness(&self, model: Option<&str>, version: Option<u64>) -> Option<Duration> {
        match self.pool.weight_versions(model?)?.currency(version?) {
            Currency::Newest => None,
            Currency::Replaced(at) => Some(self.now.since(at)),
            Currency::Outdated => Some(self.settings.max_stale_weights),
        }
    }

    /// Sets a timer for the time by which the open attempts have to have begun, if their weights were replaced.
    pub(crate) fn watch_start(&mut self, index: usize) {
        let Some(exchange) = self.exchanges.get(index) else { return };
        let due = exchange.open_attempts().filter_map(|it| self.begin_by(exchange, it)).min();
        if let Some(due) = due {
            let serial = exchange.serial;
            self.set_timer(due, Timer::Exchange(index, serial));
        }
    }

    /// The same for all attempts that haven't begun, after weights of `model` were published.
    pub(crate) fn watch_starts(&mut self, model: &str) {
        let is_concerned = |it: &Exchange| it.info.model.as_deref() == Some(model);
        for index in self.exchanges_where(is_concerned) {
            self.watch_start(index);
        }
    }

    /// Withdraws the current attempt from its server's queue if it hasn't begun in time, and sends the request
    /// elsewhere if it may be repeated. Returns whether it was withdrawn.
    ///
    /// A prompt that is sent in time may wait for longer than expected, as when a crash of other servers sends
    /// hundreds of streams to its server at once, and would begin on weights that must not be used any more.
    pub(crate) fn withdraw_stale(&mut self, index: usize) -> bool {
        let Some(exchange) = self.exchanges.get(index) else { return false };
        let Some(attempt) = &exchange.attempt else { return false };
        if self.begin_by(exchange, attempt).is_none_or(|due| self.now < due) {
            return false;
        }
        let staleness = self.staleness(exchange.info.model.as_deref(), attempt.weights);
        self.log
            .line(self.now, "withdrawn")
            .text("request", exchange.id())
            .text("server", &self.pool.get(attempt.server).name)
            .number("weights", attempt.weights.unwrap_or(0))
            .ms("replaced_ms", staleness.unwrap_or_default())
            .ms("sent_replaced_ms", attempt.staleness.unwrap_or_default())
            .ms("waited_ms", self.now.since(attempt.sent))
            .number("has_begun", exchange.delivery.has_begun)
            .number("is_repeatable", exchange.is_repeatable());
        self.stats.count_broken(REASON_STALE);
        self.record_start_delay(index);
        if !self.retry_elsewhere(index, REASON_STALE) && !self.resume_later(index, REASON_STALE) {
            self.fail_exchange(index, 502, REASON_STALE);
        }
        true
    }

    /// Learns from a prompt that begins now, or that still hasn't, how late prompts begin.
    pub(crate) fn record_start_delay(&mut self, index: usize) {
        let Some(exchange) = self.exchanges.get(index) else { return };
        let Some(attempt) = exchange.attempt.as_ref().filter(|it| !it.is_from_copy) else { return };
        if self.is_handed_over(exchange) {
            return;
        }
        let (expected, took) = attempt.start_times(self.now);
        self.pool.start_delay_mut(&exchange.service).observe(expected, took);
    }

    /// When the attempt has to have begun, if it hasn't and its weights were replaced.
    pub(crate) fn begin_by(&self, exchange: &Exchange, attempt: &Attempt) -> Option<Time> {
        if attempt.has_started(exchange) {
            return None;
        }
        let versions = self.pool.weight_versions(exchange.info.model.as_deref()?)?;
        let max_stale = self.settings.max_stale_weights;
        if versions.currency(attempt.weights?) == Currency::Outdated {
            // A later publication is known, and not yet which ones came before it: what was known at the time of
            // sending holds on.
            let left = max_stale.saturating_sub(attempt.staleness.unwrap_or_default());
            return Some(attempt.sent + left.saturating_sub(placement::STALE_START_LEAD));
        }
        placement::begin_by(Some(versions), attempt.weights, max_stale)
    }

    /// Logs that the current attempt's first event has arrived, if its weights have been replaced, and counts it if
    /// that was longer ago than allowed.
    pub(crate) fn record_stale_start(&mut self, index: usize) {
        let now = self.now;
        let Some(exchange) = self.exchanges.get(index) else { return };
        let Some(attempt) = &exchange.attempt else { return };
        let model = exchange.info.model.as_deref();
        let Some(staleness) = self.staleness(model, attempt.weights) else { return };
        let is_late = self.settings.max_stale_weights <= staleness;
        let newest = model.and_then(|it| self.pool.weight_versions(it)).map_or(0, |it| it.newest());
        let line = match is_late {
            true => self.log.priority_line(now, "began"),
            false => self.log.line(now, "began"),
        };
        line.text("request", exchange.id())
            .text("server", &self.pool.get(attempt.server).name)
            .number("weights", attempt.weights.unwrap_or(0))
            .number("newest", newest)
            .ms("replaced_ms", staleness)
            .ms("sent_replaced_ms", attempt.staleness.unwrap_or_default())
            .ms("took_ms", now.since(attempt.sent))
            .number("has_begun", exchange.delivery.has_begun)
            .number("is_late", is_late);
        if is_late {
            self.stats.count_stale_start();
        }
    }
}
