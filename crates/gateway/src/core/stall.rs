//! Streams that have begun and from which nothing comes any more.
//!
//! The connection may have gone silent for good while its server works on: no probe of the server shows that, and the
//! kernel gives the connection up too late for the caller.

use std::time::Duration;

use shallotlead_base::time::Time;

use crate::{
    core::{Core, exchange::Exchange},
    net::LONGEST_SILENCE,
};

/// Time without an event, while its caller takes what it is sent, after which a stream is continued elsewhere, if
/// possible. Callers wait longer.
const STALL_TIMEOUT: Duration = LONGEST_SILENCE;
/// Interval at which a stalled stream is tried again elsewhere.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Why a stream goes on elsewhere.
pub(super) const REASON_STALLED: &str = "stalled";

impl Core {
    /// Sets a timer for the time by which the stream's next event is due.
    pub(crate) fn watch_stall(&mut self, index: usize) {
        let Some(exchange) = self.exchanges.get_mut(index) else { return };
        if exchange.stall_check.is_scheduled() {
            return;
        }
        if let Some(due) = exchange.stall_due() {
            self.schedule_check(index, due, |it| Some(&mut it.stall_check));
        }
    }

    /// Has a stream that has stalled continued elsewhere. One that must not be repeated goes on at its copy, and only
    /// if its server doesn't respond.
    pub(crate) fn check_stall(&mut self, index: usize) {
        let now = self.now;
        let Some(exchange) = self.exchanges.get_mut(index) else { return };
        if !exchange.stall_check.is_due(now) {
            return;
        }
        exchange.stall_check.cancel();
        let is_due = exchange.stall_due().is_some_and(|due| due <= now);
        if !is_due {
            self.watch_stall(index);
            return;
        }
        let is_repeatable = exchange.is_repeatable();
        self.schedule_check(index, now + RETRY_INTERVAL, |it| Some(&mut it.stall_check));
        if self.is_backpressured(index) {
            return;
        }
        if is_repeatable {
            self.hedge(index, None);
        } else if self.is_at_unresponsive_server(index) {
            self.continue_at_copy(index, REASON_STALLED);
        }
    }

    fn is_at_unresponsive_server(&self, index: usize) -> bool {
        let attempt = self.exchanges.get(index).and_then(|it| it.attempt.as_ref());
        attempt
            .is_some_and(|it| self.pool.get(it.server).health.unresponsive_for(self.now).is_some())
    }
}

impl Exchange {
    /// When the next event of its stream is due at the latest, if it has begun.
    fn stall_due(&self) -> Option<Time> {
        let attempt = self.attempt.as_ref().filter(|_| self.delivery.has_begun)?;
        let heard = self.delivery.last_sent.max(attempt.sent).max(self.delivery.resumed);
        self.route.is_stream.then_some(heard + STALL_TIMEOUT)
    }
}
