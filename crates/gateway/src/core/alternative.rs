//! Chooses the server for a second attempt, which must be sure to respond.

use std::time::Duration;

use crate::{
    core::{Core, probe::PROBE_TIMEOUT},
    placement::{Candidates, Choice},
    quarantine::Verdict,
};

/// How long ago a server was heard of at the latest for it to count as responsive. One that fell silent looks idle, as
/// the load that it last reported is old.
const MAX_SILENCE: Duration = PROBE_TIMEOUT;

impl Core {
    /// The server that would take the request at once in place of the current attempt's, or why there is none.
    ///
    /// If none was heard of lately, the best of the others is probed, so that it is known a moment later.
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
        self.probe_late(unheard.server);
        Err("unheard")
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
