//! Probes of backend servers.

use std::time::Duration;

use crate::{
    core::{
        Core,
        control::{Outcome, Purpose},
    },
    pool,
    rate_limit::Permission,
};

/// Time limit of a probe. A healthy server answers within milliseconds.
pub(super) const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// Shortest time between two probes of a server that is late but not ejected.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(400);

impl Core {
    /// Probes ejected servers for which a probe is due.
    pub(crate) fn sweep_probes(&mut self) {
        let now = self.now;
        let listed: Vec<pool::Id> = self.pool.listed().map(|it| it.0).collect();
        for id in listed {
            let is_due = self.pool.get(id).health.is_probe_due(now);
            if is_due && self.may_probe(id) && self.pool.get_mut(id).health.begin_probe(now) {
                self.probe(id);
            }
        }
    }

    /// Whether a probe may be sent. A server that limits its request rate, or wants no requests for a while, may count
    /// probes as well.
    fn may_probe(&mut self, id: pool::Id) -> bool {
        if self.pool.get(id).backoff.is_active(self.now) {
            return false;
        }
        if self.pool.get(id).limit.per_second().is_none() && self.is_engine(id) {
            return true;
        }
        match self.acquire_permit(id) {
            Permission::Granted => true,
            Permission::Denied => false,
            Permission::Ask => {
                self.request_permit(id);
                false
            }
        }
    }

    /// Probes a server of a service that is out of reach.
    pub(super) fn probe_reachable(&mut self, id: pool::Id) {
        if self.may_probe(id) {
            self.probe(id);
        }
    }

    /// Probes a server that is late with an answer, or that another instance reports as unresponsive, unless it
    /// was probed a moment ago. A server that limits its rate, or wants no requests for a while, is expected to be
    /// late, and a probe would take the place of a request there.
    pub(crate) fn probe_late(&mut self, id: pool::Id) {
        if self.may_probe_late(id)
            && MIN_PROBE_INTERVAL <= self.now.since(self.pool.get(id).checked_at)
        {
            self.pool.get_mut(id).checked_at = self.now;
            self.probe(id);
        }
    }

    /// Whether the server is probed when it is late.
    pub(super) fn may_probe_late(&self, id: pool::Id) -> bool {
        let is_engine = self.is_engine(id);
        let server = self.pool.get(id);
        // Engines answer probes without a free slot.
        let is_at_risk = server.limit.tolerance().is_some() && !is_engine;
        let is_limited = server.limit.per_second().is_some() || is_at_risk;
        !server.is_instance
            && !is_limited
            && !server.backoff.is_active(self.now)
            && server.health.is_in_rotation()
    }

    fn probe(&mut self, id: pool::Id) {
        self.ask_server(id, PROBE_TIMEOUT, Purpose::Probe(id));
    }

    /// Requests what `purpose` needs of a server: its report, or its health.
    pub(super) fn ask_server(&mut self, id: pool::Id, timeout: Duration, purpose: Purpose) {
        let request = match (&purpose, self.health_path(id)) {
            (Purpose::UnframedEndHealth(..), Some(path)) => self.adapter.health_request(path),
            (Purpose::UnframedEndHealth(..), None) => {
                self.handle_control_outcome(purpose, Outcome::NotSent);
                return;
            }
            _ => self.adapter.report_request(),
        };
        self.stats.count_server_call(purpose.name());
        let address = self.pool.get(id).address;
        self.send_control(address, &request, timeout, purpose);
    }

    /// Handles the outcome of a probe.
    pub(crate) fn handle_probe_reply(&mut self, id: pool::Id, outcome: &Outcome) {
        let is_responsive = match outcome {
            // A server that has reached its connection limit resets further connections.
            Outcome::Answered { .. } | Outcome::Reset | Outcome::TooLong => true,
            Outcome::NotSent | Outcome::Refused => false,
            // Engines answer probes without a free slot. Other servers queue them like requests, so that a
            // missing answer on an open connection says nothing about their health.
            Outcome::Lost => !self.is_engine(id),
        };
        self.apply_report(id, outcome);
        match outcome {
            Outcome::Answered { .. } => {
                self.pool.get_mut(id).responded_at = Some(self.now);
                self.record_reached(id, self.now);
                self.reconsider_second_attempts(id);
            }
            _ if !is_responsive => self.record_unreached(id),
            _ => {}
        }
        let server = self.pool.get_mut(id);
        if server.health.is_in_rotation() {
            match outcome {
                Outcome::Refused => self.handle_ended_server(id),
                _ if !is_responsive => self.handle_unresponsive_server(id),
                _ => {}
            }
            return;
        }
        if server.health.finish_probe(self.now, is_responsive) {
            self.log
                .line(self.now, "server_taken_in")
                .text("server", &self.pool.get(id).name)
                .text("reason", "probe answered");
        }
    }

    /// Path at which the server answers whether it is healthy.
    fn health_path(&self, id: pool::Id) -> Option<&str> {
        self.service(&self.pool.get(id).service)?.health_path.as_deref()
    }

    pub(super) fn is_engine(&self, id: pool::Id) -> bool {
        self.service(&self.pool.get(id).service).is_some_and(|it| it.engine.is_some())
    }
}
