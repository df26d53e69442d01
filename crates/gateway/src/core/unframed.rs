//! Answers with neither a length nor chunks, which end with their connection.
//!
//! A connection ends in the same way whether its server has sent the whole answer or has crashed. Such an answer
//! counts as complete only if its server turns out to have lived on. Whatever answers at its address may be another one
//! that was started since, so that it has to name itself: by its incarnation in its report, or by its name in the
//! answer about its health.

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
/// Delay before a check is repeated that showed nothing; it doubles each time.
const RECHECK_DELAY: Duration = Duration::from_millis(25);
/// Number of checks in a row that show nothing after which the server may have ended.
const MAX_CHECKS: u8 = 7;

/// State of an attempt whose connection has ended with its answer.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct End {
    /// When its server is to be checked.
    due: Time,
    /// When the check of its server was sent.
    checked: Option<Time>,
    /// How many checks showed nothing.
    inconclusive: u8,
}

/// What a check shows of the server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Evidence {
    /// It is the one that sent the answer, and it is alive.
    Alive,
    /// It, or another one at its address, accepts no more connections or requests at the moment.
    Inconclusive,
    /// It doesn't name its incarnation.
    Unnamed,
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
        attempt.end = Some(End { due: self.now + CHECK_DELAY, ..End::default() });
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
        match self.pool.get(server).incarnation {
            Some(_) => {
                self.ask_server(server, CHECK_TIMEOUT, Purpose::UnframedEnd(server, now));
            }
            None => self.check_health(server, now),
        }
    }

    /// Asks the server for its health in a check that was begun at `begun`.
    fn check_health(&mut self, server: pool::Id, begun: Time) {
        self.ask_server(server, CHECK_TIMEOUT, Purpose::UnframedEndHealth(server, begun));
    }

    /// Handles the report that was requested for the check begun at `begun`.
    pub(super) fn handle_unframed_report(
        &mut self,
        server: pool::Id,
        begun: Time,
        outcome: &Outcome,
    ) {
        let evidence = self.evidence_of_report(server, outcome);
        self.apply_report(server, outcome);
        match evidence {
            Evidence::Unnamed => self.check_health(server, begun),
            it => self.judge_unframed_ends(server, begun, it),
        }
    }

    /// Handles the answer about its health that was requested for the check begun at `begun`.
    pub(super) fn handle_unframed_health(
        &mut self,
        server: pool::Id,
        begun: Time,
        outcome: &Outcome,
    ) {
        let evidence = self.evidence_of_health(server, outcome);
        self.judge_unframed_ends(server, begun, evidence);
    }

    /// Ends the answers that wait for the check begun at `begun`.
    fn judge_unframed_ends(&mut self, server: pool::Id, begun: Time, evidence: Evidence) {
        for index in self.unframed_ends(server, Some(begun)) {
            self.focus_server(index, server);
            if evidence == Evidence::Alive && self.is_connection_reset(index) {
                self.handle_broken_attempt(index, "reset");
                continue;
            }
            let Some(end) = self.exchanges.get_mut(index).and_then(Exchange::end_mut) else {
                continue;
            };
            match evidence {
                Evidence::Alive => self.complete_unframed(index),
                Evidence::Inconclusive if end.inconclusive + 1 < MAX_CHECKS => {
                    let delay = RECHECK_DELAY * (1 << end.inconclusive);
                    let due = self.now + delay;
                    *end = End { due, checked: None, inconclusive: end.inconclusive + 1 };
                    self.set_timer(due, Timer::UnframedEnd(server));
                }
                Evidence::Inconclusive | Evidence::Unnamed | Evidence::MayHaveEnded => {
                    self.handle_broken_attempt(index, "closed");
                }
            }
        }
    }

    /// Exchanges whose answer from `server` waits for a check that was sent at `checked`, or for one to be sent.
    fn unframed_ends(&self, server: pool::Id, checked: Option<Time>) -> Vec<usize> {
        let is_meant = |it: End| it.due <= self.now && it.checked == checked;
        let is_waiting = |it: &Attempt| it.server == server && it.end.is_some_and(is_meant);
        self.exchanges_where(|it| it.open_attempts().any(is_waiting))
    }

    /// What a report shows of `server`, whose incarnation is known.
    fn evidence_of_report(&self, server: pool::Id, outcome: &Outcome) -> Evidence {
        let report = match outcome {
            Outcome::Answered { status: 200, body, .. } => self.adapter.parse_report(body),
            Outcome::Answered { .. } => None,
            Outcome::Reset | Outcome::TooLong => return Evidence::Inconclusive,
            Outcome::Lost | Outcome::NotSent | Outcome::Refused => return Evidence::MayHaveEnded,
        };
        match report {
            Some(it) if it.incarnation.is_none() => Evidence::Unnamed,
            Some(it) if it.incarnation == self.pool.get(server).incarnation => Evidence::Alive,
            Some(_) => Evidence::MayHaveEnded,
            // Another incarnation may have been cut off within its report. Only engines have one.
            None if self.is_engine(server) => Evidence::MayHaveEnded,
            None => Evidence::Unnamed,
        }
    }

    /// What an answer about its health shows of `server`. What it says of its health doesn't matter.
    fn evidence_of_health(&self, server: pool::Id, outcome: &Outcome) -> Evidence {
        let known = self.pool.get(server);
        match outcome {
            _ if self.pool.is_followed(server) => Evidence::MayHaveEnded,
            Outcome::Answered { is_named: true, body, .. } => {
                let reported = self.adapter.parse_report(body).and_then(|it| it.incarnation);
                match known.may_be(reported) {
                    true => Evidence::Alive,
                    false => Evidence::MayHaveEnded,
                }
            }
            // A full server declines such requests like others.
            Outcome::Answered { is_named: false, .. } | Outcome::Reset | Outcome::TooLong => {
                Evidence::Inconclusive
            }
            Outcome::Lost | Outcome::NotSent | Outcome::Refused => Evidence::MayHaveEnded,
        }
    }

    /// Whether the answer's connection was reset after its end.
    fn is_connection_reset(&mut self, index: usize) -> bool {
        let attempt = self.exchanges.get(index).and_then(|it| it.attempt.as_ref());
        let connection = attempt.map(|it| it.connection);
        connection.is_some_and(|it| self.take_connection_error(it).is_some())
    }

    /// Passes on the end of an answer that is complete.
    fn complete_unframed(&mut self, index: usize) {
        let attempt = self.exchanges.get(index).and_then(|it| it.attempt.as_ref());
        if let Some(connection) = attempt.map(|it| it.connection) {
            self.close_backend(connection);
        }
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
