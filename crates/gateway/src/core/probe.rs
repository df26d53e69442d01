//! Whether backend servers live.

use std::time::Duration;

use crate::{
    core::{
        Core,
        control::{Outcome, Purpose},
    },
    pool,
    rate_limit::Permission,
};

/// How long a probe of a server may take. A server that lives answers in some milliseconds.
pub(super) const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// Least time between two probes of a server that is late but not left out.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(400);

impl Core {
    /// Probes servers that are left out and whose pause is over.
    pub(crate) fn sweep_probes(&mut self) {
        let now = self.now;
        let listed: Vec<pool::Id> = self.pool.listed().map(|it| it.0).collect();
        for id in listed {
            let is_due = self.pool.get(id).health.is_due(now);
            if is_due && self.may_probe(id) && self.pool.get_mut(id).health.probe(now) {
                self.probe(id);
            }
        }
    }

    /// Whether a probe may be sent: a server that limits its rate may count it like a request.
    fn may_probe(&mut self, id: pool::Id) -> bool {
        match self.acquire_permit(id) {
            Permission::Granted => true,
            Permission::Denied => false,
            Permission::Ask => {
                self.ask_permit(id);
                false
            }
        }
    }

    /// A server is late with an answer, or another instance says that it is silent. One that limits its rate is
    /// expected to be late, and takes requests in place of such questions.
    pub(crate) fn probe_late(&mut self, id: pool::Id) {
        let now = self.now;
        let server = self.pool.get_mut(id);
        let is_limited = server.limit.per_second().is_some();
        if is_limited || !server.health.is_in() || now.since(server.looked_at) < MIN_PROBE_INTERVAL
        {
            return;
        }
        server.looked_at = now;
        self.probe(id);
    }

    fn probe(&mut self, id: pool::Id) {
        self.request_report(id, PROBE_TIMEOUT, Purpose::Probe(id));
    }

    /// Asks a server for its state.
    pub(crate) fn request_report(&mut self, id: pool::Id, timeout: Duration, purpose: Purpose) {
        self.stats.server_called(purpose.name());
        let errand = self.dialect.report_call();
        let address = self.pool.get(id).address;
        self.send_control(address, &errand, timeout, purpose);
    }

    pub(crate) fn server_probed(&mut self, id: pool::Id, outcome: &Outcome) {
        let is_well = match outcome {
            // A server that is full breaks connections beyond those that it takes.
            Outcome::Answered { .. } | Outcome::Reset => true,
            Outcome::NotSent | Outcome::Refused => false,
            // Engines answer without a slot. On other servers a probe waits for one like a request,
            // so that silence behind an open connection tells nothing.
            Outcome::Lost => !self.is_engine(id),
        };
        self.take_report(id, outcome);
        let server = self.pool.get_mut(id);
        if server.health.is_in() {
            if !is_well {
                self.server_unresponsive(id);
            }
            return;
        }
        if server.health.probed(self.now, is_well) {
            self.journal
                .line(self.now, "server_taken_in")
                .text("server", &self.pool.get(id).name)
                .text("reason", "probe answered");
        }
    }

    fn is_engine(&self, id: pool::Id) -> bool {
        self.service(&self.pool.get(id).service).is_some_and(|it| it.engine.is_some())
    }
}
