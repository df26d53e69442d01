//! Servers that get no requests until a probe succeeds, and what runs there.

use crate::{core::Core, pool, quarantine::Verdict};

/// Why an attempt ends whose server doesn't respond.
pub(super) const REASON_UNRESPONSIVE: &str = "silent";

impl Core {
    /// Handles a server that doesn't respond at all: ejects it until a probe succeeds. What runs there stays, as the
    /// server may go on.
    pub(crate) fn handle_unresponsive_server(&mut self, server: pool::Id) {
        if self.eject_unresponsive(server) {
            self.hedge_requests_at(server);
        }
    }

    /// Handles a server that refuses connections, as if its process had ended: ejects it, and sends its idempotent
    /// requests elsewhere as well. Their connections show whether they are lost: it may be on the way that new ones are
    /// refused.
    pub(crate) fn handle_ended_server(&mut self, server: pool::Id) {
        if !self.eject_unresponsive(server) {
            return;
        }
        for index in self.exchanges_where(|it| {
            it.is_at(server) && self.has_sent(it, server) && it.is_repeatable()
        }) {
            self.record_loss(index);
            if self.quarantine_verdict(index) == Verdict::Clear {
                self.hedge(index, None);
            } else if self.exchanges.contains(index) {
                self.retry_elsewhere(index, REASON_UNRESPONSIVE);
            }
        }
        self.hedge_requests_at(server);
    }

    /// Ejects a server that doesn't respond, and tells other instances. Returns whether it was in rotation.
    fn eject_unresponsive(&mut self, server: pool::Id) -> bool {
        if !self.pool.get_mut(server).health.mark_unresponsive(self.now) {
            return false;
        }
        self.log_ejected(server, "silent");
        self.record_unreached(server);
        self.close_idle(server);
        self.broadcast_unresponsive(server);
        true
    }

    /// Logs that no requests are sent to the server until a probe succeeds.
    pub(crate) fn log_ejected(&mut self, server: pool::Id, reason: &str) {
        self.log
            .line(self.now, "server_left_out")
            .text("server", &self.pool.get(server).name)
            .text("reason", reason);
    }
}
