//! Servers whose entries are removed while they don't respond.
//!
//! Such a server may have ended, or it leaves and goes on. What ran there stays, and nothing counts as crashed before
//! the silence has lasted longer than that of a sound server.

use crate::{
    core::{Core, Timer},
    net::LONGEST_SILENCE,
    pool::{self, Presence},
};

impl Core {
    /// Handles the removal of a server's entry as evidence against what ran there.
    pub(crate) fn record_removal(&mut self, id: pool::Id) {
        let server = self.pool.get(id);
        let silence = server.health.unresponsive_for(self.now).filter(|_| !server.has_ended);
        let Some(silence) = silence else {
            self.handle_crash(id);
            return;
        };
        let servers = self.pool.usable(&server.service).count();
        self.quarantine.record_removal(self.now, server.incarnation_id(), servers);
        if self.quarantine.has_runs() {
            let due = self.now + LONGEST_SILENCE.saturating_sub(silence);
            self.set_timer(due, Timer::Removal(id));
        }
    }

    /// Checks whether a removed server has ended, if it is still silent.
    pub(crate) fn check_removal(&mut self, id: pool::Id) {
        let server = self.pool.get(id);
        if server.presence != Presence::Gone || server.has_ended {
            return;
        }
        match server.health.unresponsive_for(self.now) {
            Some(_) => self.check_liveness(id),
            None => self.quarantine.record_alive(server.incarnation_id()),
        }
    }

    /// Whether a server's entry was removed, and it has been silent for longer than a sound one.
    pub(crate) fn is_removed_and_silent(&self, id: pool::Id) -> bool {
        let server = self.pool.get(id);
        let silence = server.health.unresponsive_for(self.now);
        server.presence == Presence::Gone && silence.is_some_and(|it| LONGEST_SILENCE <= it)
    }
}
