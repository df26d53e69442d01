//! Reach of the services' servers, from what becomes of requests and probes.

use std::sync::Arc;

use crate::{
    core::Core,
    pool,
    reach::{Change, Reach},
};

impl Core {
    /// Records that a server answered.
    pub(crate) fn record_reached(&mut self, id: pool::Id) {
        let (service, servers) = self.service_of(id);
        let change =
            self.reach.entry(service.clone()).or_default().record_answer(self.now, id, servers);
        self.log_reach(&service, change);
    }

    /// Records that a server couldn't be reached, or is silent.
    pub(crate) fn record_unreached(&mut self, id: pool::Id) {
        let (service, servers) = self.service_of(id);
        let change =
            self.reach.entry(service.clone()).or_default().record_failure(self.now, id, servers);
        self.log_reach(&service, change);
    }

    /// The server's service, and how many usable servers that has.
    fn service_of(&self, id: pool::Id) -> (Arc<str>, usize) {
        let service = self.pool.get(id).service.clone();
        let servers = self.pool.usable(&service).count();
        (service, servers)
    }

    fn log_reach(&mut self, service: &Arc<str>, change: Option<Change>) {
        let Some(change) = change else { return };
        let event = match change {
            Change::Lost => "reach_lost",
            Change::Regained => "reach_regained",
        };
        let (answered_at, failed) =
            self.reach.get(service).map_or((self.now, 0), |it| (it.answered_at(), it.failed()));
        let usable = self.pool.usable(service);
        let in_rotation = usable.filter(|it| it.1.health.is_in_rotation()).count();
        self.log
            .line(self.now, event)
            .text("service", service)
            .number("failed", failed)
            .number("in_rotation", in_rotation)
            .ms("answered_before_ms", self.now.since(answered_at));
        self.stats.count_reach_change(event);
    }

    /// Number of services whose servers are out of reach.
    pub(crate) fn services_out_of_reach(&self) -> usize {
        self.reach.values().filter(|it: &&Reach| it.lost_since().is_some()).count()
    }
}
