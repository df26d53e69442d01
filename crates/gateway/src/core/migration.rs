//! Streams that are migrated from a working server.
//!
//! The first server's attempt stays open until the second server has sent an event, so that nothing is lost if that one
//! declines the stream, breaks, or doesn't respond.

use std::time::Duration;

use rand::Rng;

use crate::{
    budget::Purpose,
    core::{Core, exchange::Exchange, standby::Cause},
    pool, rollout,
};

/// Why a stream is migrated from a working server; it may also stay there.
pub(super) const REASON_LOADING: &str = "loading";
/// For how long what the first server sends is held back while the second one is to send an event. The first one works
/// on meanwhile, and its caller waits.
const MAX_HANDOFF_TIME: Duration = Duration::from_millis(250);
/// Time over which the instances spread the migrations from a server that they hear of in the same moment.
const SPREAD: Duration = Duration::from_millis(100);
/// Interval at which a stream is considered again that couldn't be migrated.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

impl Core {
    /// Migrates resumable streams from a server that is about to load weights. The server waits for the last
    /// of its runs, which takes longer than loading.
    pub(crate) fn migrate_streams(&mut self, server: pool::Id) {
        for index in self.exchanges_where(|it| it.is_at(server) && it.is_migratable()) {
            let due = self.now + SPREAD.mul_f64(self.rng.random());
            self.schedule_check(index, due, |it| Some(&mut it.attempt.as_mut()?.migration_check));
        }
    }

    /// Migrates the stream if it is due and possible, and considers it again later otherwise, until its server loads.
    pub(crate) fn migrate_if_due(&mut self, index: usize) {
        let now = self.now;
        let Some(exchange) = self.exchanges.get_mut(index) else { return };
        let is_migratable = exchange.is_migratable();
        let Some(attempt) = exchange.attempt.as_mut() else { return };
        if !attempt.migration_check.is_due(now) {
            return;
        }
        attempt.migration_check.cancel();
        let switch = self.pool.get(attempt.server).switch;
        if !is_migratable || switch.is_none_or(|it| it.until <= now) {
            return;
        }
        if !self.migrate(index) {
            let due = now + CHECK_INTERVAL;
            self.schedule_check(index, due, |it| Some(&mut it.attempt.as_mut()?.migration_check));
        }
    }

    /// Sends the stream to a second server, to continue there. Returns false if it stays for now.
    fn migrate(&mut self, index: usize) -> bool {
        let end = self.now + MAX_HANDOFF_TIME;
        let is_worthwhile = self
            .exchanges
            .get(index)
            .is_some_and(|it| end < it.deadline && self.is_worth_migrating(it));
        if !is_worthwhile || self.is_backpressured(index) || !self.has_spare_retry(index) {
            return false;
        }
        let Ok(choice) = self.choose_second(index, Some(MAX_HANDOFF_TIME), REASON_LOADING) else {
            return false;
        };
        let Some(exchange) = self.exchanges.get_mut(index) else { return false };
        exchange.migrations = exchange.migrations.saturating_add(1);
        let Some(attempt) = &exchange.attempt else { return false };
        self.log
            .line(self.now, "moved")
            .text("request", exchange.id())
            .text("server", &self.pool.get(attempt.server).name)
            .number("last_event", exchange.delivery.last_event.unwrap_or(0))
            .ms("gap_ms", self.now.since(exchange.delivery.last_sent));
        self.stats.count_migration("sent");
        self.set_aside(index, Cause::Migration { until: end });
        self.send_attempt(index, &choice);
        true
    }

    /// Whether the retry budget would still cover all open streams of the service, if they lost their servers.
    fn has_spare_retry(&mut self, index: usize) -> bool {
        let Some(service) = self.exchanges.get(index).map(|it| it.service.clone()) else {
            return false;
        };
        let streams = self.exchanges.iter().filter(|it| it.1.service == service);
        let open = streams.filter(|it| it.1.is_migratable()).count();
        let share = self.retry_share();
        open as f64 + 1.0 <= self.budget.remaining(self.now, &service, share, Purpose::Stream)
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

impl Exchange {
    /// Whether its stream may continue at another server though its own one works.
    fn is_migratable(&self) -> bool {
        self.delivery.has_begun && self.reply().is_some() && self.is_repeatable()
    }
}
