//! Answers with neither a length nor chunks, which end with their connection.
//!
//! A connection ends in the same way whether its server has sent the whole answer or has crashed. Such an answer
//! counts as complete only if its server turns out to have lived on.

use std::{io::ErrorKind, time::Duration};

use shallotlead_base::time::Time;

use crate::{
    core::{
        Core, Timer,
        attempt::Attempt,
        control::{Outcome, Purpose},
        exchange::Exchange,
    },
    net::LONGEST_SILENCE,
    pool,
};

/// Delay between the end of a connection and the check of its server. By then a crash has closed the server's other
/// connections, so that none of them is reused for the check.
const CHECK_DELAY: Duration = Duration::from_millis(5);
/// Time limit of a check: longer than a sound server is expected to be silent, and less than callers wait.
const CHECK_TIMEOUT: Duration = LONGEST_SILENCE.saturating_add(Duration::from_millis(100));
/// Delay before a check is repeated that was reset: by a server that has reached its connection limit, or by a crash.
const RECHECK_DELAY: Duration = Duration::from_millis(25);
/// Number of resets in a row after which the server counts as alive. One that has crashed refuses connections.
const MAX_RESETS: u8 = 2;

/// State of an attempt whose connection has ended with its answer.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct End {
    /// When the check of its server was sent.
    checked: Option<Time>,
    /// How many checks were reset.
    resets: u8,
}

/// What a check shows of the server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Evidence {
    /// It is the one that sent the answer, and it is alive.
    Alive,
    /// It accepts no more connections.
    Resetting,
    /// It has ended, or may have.
    MayHaveEnded,
}

impl Core {
    /// Logs and counts the end of an answer with neither a length nor chunks.
    pub(super) fn record_unframed_end(
        &mut self,
        index: usize,
        body_bytes: u64,
        kind: Option<ErrorKind>,
    ) {
        let Some(exchange) = self.exchanges.get(index) else { return };
        let Some(attempt) = &exchange.attempt else { return };
        let position = exchange.body_position();
        let end = match kind {
            None => "closed",
            Some(ErrorKind::ConnectionReset) => "reset",
            Some(_) => "lost",
        };
        self.log
            .line(self.now, "unframed_end")
            .text("request", exchange.id())
            .text("server", &self.pool.get(attempt.server).name)
            .text("end", end)
            .text("position", position)
            .number("bytes", body_bytes)
            .number("last_event", exchange.delivery.last_event.unwrap_or(0));
        self.stats.count_unframed_end(end, position);
    }

    /// Handles an answer whose connection its server has closed properly.
    pub(super) fn handle_unframed_end(&mut self, index: usize) {
        let Some(exchange) = self.exchanges.get_mut(index) else { return };
        let Some(attempt) = &mut exchange.attempt else { return };
        let Some(reply) = &attempt.reply else { return };
        if reply.answer.is_declined || !reply.is_success() {
            // The head says all that counts.
            self.complete_unframed(index);
            return;
        }
        attempt.end = Some(End::default());
        let server = attempt.server;
        if exchange.is_cut_inside_event() {
            self.handle_broken_attempt(index, "closed");
            return;
        }
        self.set_timer(self.now + CHECK_DELAY, Timer::UnframedEnd(server));
    }

    /// Checks whether the server is alive, if answers wait for that.
    pub(super) fn check_unframed_ends(&mut self, server: pool::Id) {
        let now = self.now;
        let waiting = self.unframed_ends(server, None);
        if waiting.is_empty() {
            return;
        }
        for index in waiting {
            self.focus_server(index, server);
            if let Some(end) = self.exchanges.get_mut(index).and_then(Exchange::end_mut) {
                end.checked = Some(now);
            }
        }
        self.request_report(server, CHECK_TIMEOUT, Purpose::UnframedEnd(server, now));
    }

    /// Handles the outcome of the check that was sent at `sent`.
    pub(super) fn handle_unframed_check(
        &mut self,
        server: pool::Id,
        sent: Time,
        outcome: &Outcome,
    ) {
        let evidence = self.liveness_evidence(server, outcome);
        self.apply_report(server, outcome);
        for index in self.unframed_ends(server, Some(sent)) {
            self.focus_server(index, server);
            let Some(end) = self.exchanges.get_mut(index).and_then(Exchange::end_mut) else {
                continue;
            };
            match evidence {
                Evidence::Resetting if end.resets + 1 < MAX_RESETS => {
                    *end = End { checked: None, resets: end.resets + 1 };
                    self.set_timer(self.now + RECHECK_DELAY, Timer::UnframedEnd(server));
                }
                Evidence::Alive | Evidence::Resetting => self.complete_unframed(index),
                Evidence::MayHaveEnded => self.handle_broken_attempt(index, "closed"),
            }
        }
    }

    /// Exchanges whose answer from `server` waits for a check that was sent at `checked`, or for one to be sent.
    fn unframed_ends(&self, server: pool::Id, checked: Option<Time>) -> Vec<usize> {
        let is_waiting =
            |it: &Attempt| it.server == server && it.end.is_some_and(|it| it.checked == checked);
        self.exchanges_where(|it| it.open_attempts().any(is_waiting))
    }

    /// What the outcome of a check shows of `server`.
    fn liveness_evidence(&self, server: pool::Id, outcome: &Outcome) -> Evidence {
        match outcome {
            Outcome::Answered { status: 200, body, .. } => {
                let is_known = match self.adapter.parse_report(body) {
                    Some(report) => self.pool.get(server).may_be(report.incarnation),
                    // Another incarnation may have been cut off within its report. Only engines have one.
                    None => !self.is_engine(server),
                };
                match is_known {
                    true => Evidence::Alive,
                    false => Evidence::MayHaveEnded,
                }
            }
            Outcome::Answered { .. } => Evidence::Alive,
            Outcome::Reset => Evidence::Resetting,
            // Servers that are no engines queue reports like requests; an accepted connection shows their process.
            Outcome::Lost if !self.is_engine(server) => Evidence::Alive,
            Outcome::Lost | Outcome::NotSent | Outcome::Refused => Evidence::MayHaveEnded,
        }
    }

    /// Passes on the end of an answer that is complete.
    fn complete_unframed(&mut self, index: usize) {
        if self.receive_body(index, &[], true) {
            self.finish_exchange(index);
        }
    }
}

impl Exchange {
    fn end_mut(&mut self) -> Option<&mut End> {
        self.attempt.as_mut()?.end.as_mut()
    }
}
