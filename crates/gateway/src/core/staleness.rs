//! Reports prompts that begin on replaced weights.

use std::time::Duration;

use crate::{core::Core, pool::Currency};

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
