//! Streams that are migrated from a working server.

use std::time::Duration;

use crate::{
    budget::Purpose,
    core::{Core, exchange::Exchange},
    pool, rollout,
};

/// Retries that the budget keeps when streams are migrated from a working server, for migrated streams that
/// the next server declines.
const RESERVED_RETRIES: f64 = 3.0;
/// Why a stream is migrated from a working server; it may also stay there.
pub(super) const REASON_LOADING: &str = "loading";

impl Core {
    /// Migrates resumable streams from a server that is about to load weights. The server waits for the last
    /// of its runs, which takes longer than loading.
    pub(crate) fn migrate_streams(&mut self, server: pool::Id) {
        let is_migratable = |it: &Exchange| {
            let at_server =
                it.attempt.as_ref().is_some_and(|it| it.server == server && it.reply.is_some());
            let may_rerun = it.is_repeatable() && it.has_attempts_left(&self.pool);
            at_server
                && it.delivery.has_begun
                && may_rerun
                && !self.is_quarantined(it)
                && self.has_other_server(it, server)
                && self.is_worth_migrating(it)
        };
        for index in self.exchanges_where(is_migratable) {
            let share = self.retry_share();
            let Some(service) = self.exchanges.get(index).map(|it| it.service.clone()) else {
                continue;
            };
            if self.budget.remaining(self.now, &service, share, Purpose::Request) < RESERVED_RETRIES
            {
                return;
            }
            if let Some(exchange) = self.exchanges.get_mut(index) {
                exchange.migrations = exchange.migrations.saturating_add(1);
                self.log
                    .line(self.now, "moved")
                    .text("request", exchange.id())
                    .text("server", &self.pool.get(server).name)
                    .number("last_event", exchange.delivery.last_event.unwrap_or(0))
                    .ms("gap_ms", self.now.since(exchange.delivery.last_sent));
                self.stats.count_migration("sent");
            }
            self.retry_elsewhere(index, REASON_LOADING);
        }
    }

    /// Weighs the prefill that the stream would cost another server against the time that it is expected to
    /// run on at this one.
    fn is_worth_migrating(&self, exchange: &Exchange) -> bool {
        let Some(begun) = exchange.delivery.first_sent else { return false };
        let tokens = exchange.info.parts.iter().map(|it| it.tokens).sum();
        let prefill_ms = self.pool.cost(&exchange.service).occupancy_ms(tokens);
        rollout::should_move_stream(
            Duration::from_secs_f64(prefill_ms / 1e3),
            self.now.since(begun),
        )
    }
}
