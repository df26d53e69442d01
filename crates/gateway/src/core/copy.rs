//! Failover of runs that must not be repeated: they continue at a copy of their KV cache when their server is
//! lost.

use std::time::Duration;

use crate::{
    copies,
    core::{Core, stall::REASON_STALLED, standby::Cause},
    deadline::Work,
    placement::Choice,
    pool,
    rate_limit::Permission,
};

/// Reasons for the end of an attempt after which its server isn't expected to work on it any more. A malformed
/// answer is none of them, and neither is a missing one, since a server with a long queue answers probes too
/// late.
pub(super) const LOST_REASONS: [&str; 6] =
    ["closed", "reset", "timed-out", "stalled", "connection-lost", "restarted"];

impl Core {
    /// The server that gets a copy of the KV cache of the run that begins at the chosen one. `None` for
    /// idempotent requests, which can be repeated instead.
    pub(crate) fn copy_target(&self, index: usize, choice: &Choice) -> Option<pool::Id> {
        let exchange = self.exchanges.get(index)?;
        let engine = self.service(&exchange.service)?.engine.as_ref()?;
        if engine.copy_retention.is_none() || exchange.is_repeatable() || !exchange.route.is_stream
        {
            return None;
        }
        copies::target(&self.pool, self.now, &self.criteria(exchange), choice)
    }

    /// Continues a run that must not be repeated at the server with its copy, after its own server was lost.
    /// Returns whether it does.
    ///
    /// Nothing runs twice: the second server, which should have the copy, can only continue the run. The connection to
    /// the first server is closed before, or once the second one has taken over from one that doesn't respond.
    pub(crate) fn continue_at_copy(&mut self, index: usize, reason: &'static str) -> bool {
        if !LOST_REASONS.contains(&reason) {
            return false;
        }
        let Some((copy, weights)) = self.usable_copy(index) else { return false };
        // Waiting for a permit would pause the caller's stream.
        if self.acquire_permit(copy) != Permission::Granted {
            return false;
        }
        if !self.draw_retry(index, reason) {
            return false;
        }
        if reason == REASON_STALLED {
            self.set_aside(index, Cause::Unresponsive);
        } else {
            let lost = self.release_attempt(index, true);
            let Some(exchange) = self.exchanges.get_mut(index) else { return false };
            exchange.delivery.pending.clear();
            exchange.excluded.extend(lost.map(|it| it.server));
        }
        let Some(exchange) = self.exchanges.get_mut(index) else { return false };
        let server = self.pool.get(copy);
        exchange.resume_from = Some(server.address);
        self.log
            .line(self.now, "goes_on")
            .text("request", exchange.id())
            .text("server", &server.name)
            .text("reason", reason)
            .number("last_event", exchange.delivery.last_event.unwrap_or(0));
        self.stats.count_copy_used();
        let response_ms = self.pool.cost(&exchange.service).response_ms();
        let first_token = Duration::from_secs_f64(response_ms / 1e3);
        self.send_attempt(index, &continuation(copy, weights, first_token));
        true
    }

    /// The server with the copy of the attempt's run and the version of its weights, if the copy should exist
    /// and the server can continue with it.
    fn usable_copy(&self, index: usize) -> Option<(pool::Id, Option<u64>)> {
        let exchange = self.exchanges.get(index).filter(|it| it.standby.is_none())?;
        let attempt = exchange.attempt.as_ref()?;
        let (copy, weights) = (attempt.copy?, attempt.weights);
        let retention = self.service(&exchange.service)?.engine.as_ref()?.copy_retention?;
        let server = self.pool.get(copy);
        let is_usable = attempt.run.is_some_and(|it| it.has_copy(self.now, retention))
            && copies::can_resume(self.now, &self.criteria(exchange), weights, copy, server);
        is_usable.then_some((copy, weights))
    }
}

/// The placement of a run that continues at the server with its copy, which needs no prefill.
fn continuation(server: pool::Id, weights: Option<u64>, first_token: Duration) -> Choice {
    Choice {
        server,
        weights,
        uncached_tokens: 0,
        added_tokens: 0,
        wait_ms: 0.0,
        work: Work { first_token, ..Work::default() },
        excess: Duration::ZERO,
        pace: 1.0,
        score: 0.0,
        fetch_from: None,
        save_to: None,
        candidates: 1,
    }
}
