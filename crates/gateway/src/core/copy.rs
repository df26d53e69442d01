//! Answers that go on at a copy of their run's memory when their server is lost.

use crate::{
    budget::Purpose,
    copies,
    core::Core,
    placement::Choice,
    pool::{self, Presence},
    rate_limit::Permission,
};

/// Ends of an attempt after which its server doesn't work on it any more, as far as this instance can
/// tell. An answer of no sense comes from one that may, and so does silence: a server with a long queue
/// answers probes too late.
pub(super) const LOST_REASONS: [&str; 4] = ["closed", "reset", "connection-lost", "restarted"];

impl Core {
    /// Where the run that begins at the chosen server gets its copy: those that may run again need none.
    pub(crate) fn copy_target(&self, place: usize, choice: &Choice) -> Option<pool::Id> {
        let exchange = self.exchanges.get(place)?;
        let engine = self.service(&exchange.service)?.engine.as_ref()?;
        if engine.copies_kept.is_none() || exchange.is_repeatable() || !exchange.route.is_stream {
            return None;
        }
        copies::target(&self.pool, self.now, &self.wish(exchange), choice)
    }

    /// The server of a run that must not be repeated is lost: goes on at its copy, as the same run. Says
    /// whether it does.
    ///
    /// It holds that nothing runs twice: the connection to the first server is closed before, and the second
    /// one should have the copy, so that it can only go on.
    pub(crate) fn continue_at_copy(&mut self, place: usize, reason: &'static str) -> bool {
        if !LOST_REASONS.contains(&reason) {
            return false;
        }
        let Some((copy, weights)) = self.usable_copy(place) else { return false };
        // What waits for a permit would be a pause in the caller's stream.
        if self.acquire_permit(copy) != Permission::Granted {
            return false;
        }
        let instances = self.members.sharers();
        let Some(service) = self.exchanges.get(place).map(|it| it.service.clone()) else {
            return false;
        };
        if !self.budget.withdraw(self.now, &service, instances, Purpose::Stream) {
            self.log_no_budget(place, reason, Purpose::Stream);
            return false;
        }
        let lost = self.release_attempt(place, true);
        let Some(exchange) = self.exchanges.get_mut(place) else { return false };
        let server = self.pool.get(copy);
        exchange.delivery.pending.clear();
        exchange.excluded.extend(lost.map(|it| it.server));
        exchange.goes_on_from = Some(server.address);
        self.journal
            .line(self.now, "goes_on")
            .text("request", exchange.id())
            .text("server", &server.name)
            .text("reason", reason)
            .number("last_event", exchange.delivery.last_event.unwrap_or(0));
        self.stats.went_on();
        let expected_ms = self.pool.pace(&service).first();
        self.send_attempt(place, &continuation(copy, weights, expected_ms));
        true
    }

    /// The copy of the attempt's run and the version of its weights, if it should have one and its server can go
    /// on with it.
    fn usable_copy(&self, place: usize) -> Option<(pool::Id, Option<u64>)> {
        let exchange = self.exchanges.get(place)?;
        let attempt = exchange.attempt.as_ref()?;
        let (copy, weights) = (exchange.copy?, attempt.weights);
        let kept = self.service(&exchange.service)?.engine.as_ref()?.copies_kept?;
        let server = self.pool.get(copy);
        let is_fit = attempt.run.is_some_and(|it| it.has_copy(self.now, kept))
            && server.presence == Presence::Ready
            && copies::can_go_on(self.now, &self.wish(exchange), weights, copy, server);
        is_fit.then_some((copy, weights))
    }
}

/// The copy's server, which has read everything.
fn continuation(server: pool::Id, weights: Option<u64>, expected_ms: f64) -> Choice {
    Choice {
        server,
        weights,
        unread: 0,
        added: 0,
        wait_ms: 0.0,
        expected_ms,
        score: 0.0,
        fetch_from: None,
        save_to: None,
        candidates: 1,
    }
}
