//! Chooses the server for a second attempt, which must be sure to respond.

use std::time::Duration;

use crate::{
    core::{Core, attempt::Attempt, probe::PROBE_TIMEOUT},
    placement::{Candidates, Choice},
    pool,
    quarantine::Verdict,
};

/// How long ago a server was heard of at the latest for it to count as responsive. One that fell silent looks idle, as
/// the load that it last reported is old.
const MAX_SILENCE: Duration = PROBE_TIMEOUT;

impl Core {
    /// The server that would take the request at once in place of the current attempt's, or why there is none.
    ///
    /// If none was heard of lately, the best of the others is probed, and the request considered again when it
    /// responds.
    pub(super) fn choose_elsewhere(&mut self, index: usize) -> Result<Choice, &'static str> {
        if self.quarantine_verdict(index) != Verdict::Clear {
            return Err("quarantined");
        }
        let since = self.now - MAX_SILENCE;
        // Instances with the same view of the servers would otherwise all choose the same few.
        for candidates in [Candidates::Sample { since }, Candidates::Responsive { since }] {
            if let Some(choice) = self.choose_other(index, candidates) {
                return Ok(choice);
            }
        }
        let unheard = self.choose_other(index, Candidates::All).ok_or("none-ready")?;
        if !self.may_probe_late(unheard.server) {
            return Ok(unheard);
        }
        if let Some(attempt) = self.exchanges.get_mut(index).and_then(|it| it.attempt.as_mut()) {
            attempt.awaited = Some(unheard.server);
        }
        self.probe_late(unheard.server);
        Err("unheard")
    }

    /// Considers second attempts that waited for a sign of this server.
    pub(super) fn reconsider_second_attempts(&mut self, server: pool::Id) {
        let awaits = |it: &Attempt| it.awaited == Some(server);
        for index in self.exchanges_where(|it| it.attempt.as_ref().is_some_and(awaits)) {
            let Some(exchange) = self.exchanges.get_mut(index) else { continue };
            let Some(attempt) = &mut exchange.attempt else { continue };
            attempt.awaited = None;
            if attempt.migration_check.is_scheduled() {
                self.schedule_check(index, self.now, |it| {
                    Some(&mut it.attempt.as_mut()?.migration_check)
                });
            } else {
                self.hedge(index, None);
            }
        }
    }

    /// The best of the servers other than the current attempt's.
    fn choose_other(&mut self, index: usize, candidates: Candidates) -> Option<Choice> {
        let exchange = self.exchanges.get_mut(index)?;
        let current = exchange.attempt.as_ref()?.server;
        exchange.excluded.push(current);
        let chosen = self.choose_among(index, Verdict::Clear, candidates);
        self.exchanges.get_mut(index)?.excluded.pop();
        chosen.ok().filter(|it| it.server != current && self.has_connection(it.server))
    }
}
