//! Reach of the services' servers, from what becomes of requests and probes.

use std::{sync::Arc, time::Duration};

use rand::seq::IteratorRandom;
use shallotlead_base::time::Time;

use crate::{
    core::Core,
    pool::{self, Presence},
    reach::{Change, Reach},
};

/// Interval between probes of servers of a service that is out of reach.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// Number of servers that are probed at a time.
const PROBED_SERVERS: usize = 3;

impl Core {
    /// Records that a server answered a request that was sent at `sent`.
    pub(crate) fn record_reached(&mut self, id: pool::Id, sent: Time) {
        let server = self.pool.get_mut(id);
        if server.presence != Presence::Gone {
            // A connection that is refused on the way looks like the end of the process.
            server.has_ended = false;
        }
        let service = server.service.clone();
        let reach = self.reach.entry(service.clone()).or_default();
        let change = reach.record_answer(self.now, sent);
        self.handle_reach_change(&service, change);
    }

    /// Records that a server couldn't be reached, or is silent.
    pub(crate) fn record_unreached(&mut self, id: pool::Id) {
        if self.pool.get(id).is_instance {
            return;
        }
        let service = self.pool.get(id).service.clone();
        let servers = self.pool.usable(&service).count();
        let reach = self.reach.entry(service.clone()).or_default();
        let change = reach.record_failure(self.now, id, servers);
        self.handle_reach_change(&service, change);
    }

    /// Records that requests of the service can't be sent to any server, if all are ejected. Answers on connections
    /// that live on may keep failures from being seen in a row. Returns whether the reach was lost by that.
    pub(crate) fn check_all_ejected(&mut self, service: &Arc<str>) -> bool {
        let servers = self.usable_ids(service);
        let is_in_rotation = |id: &pool::Id| self.pool.get(*id).health.is_in_rotation();
        if servers.is_empty() || servers.iter().any(is_in_rotation) {
            return false;
        }
        let change = self.reach.entry(service.clone()).or_default().record_loss(self.now);
        self.handle_reach_change(service, change);
        change.is_some()
    }

    fn handle_reach_change(&mut self, service: &Arc<str>, change: Option<Change>) {
        match change {
            None => {}
            Some(Change::Lost) => {
                self.log_reach(service, "reach_lost");
                self.close_idle_to(service);
                self.probe_reach();
            }
            Some(Change::Regained) => {
                self.log_reach(service, "reach_regained");
                // One server at a time would get all requests.
                for id in self.usable_ids(service) {
                    self.pool.get_mut(id).health.end_pause(self.now);
                }
                self.sweep_probes();
            }
        }
    }

    fn usable_ids(&self, service: &str) -> Vec<pool::Id> {
        self.pool.usable(service).map(|it| it.0).collect()
    }

    /// Closes all idle connections to the service's servers: that they are open says nothing about new ones.
    fn close_idle_to(&mut self, service: &str) {
        for id in self.usable_ids(service) {
            self.close_idle(id);
            self.close_idle_control(self.pool.get(id).address);
        }
    }

    fn log_reach(&mut self, service: &Arc<str>, event: &'static str) {
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

    /// Probes some servers of services that are out of reach, which get no requests that would show their return. The
    /// probes of ejected ones come too rarely for that. While one service is out of reach, the others are probed as
    /// well: one that gets no requests may be out of reach, too.
    pub(crate) fn probe_reach(&mut self) {
        let now = self.now;
        if self.reach.values().all(|it| it.lost_since().is_none()) {
            return;
        }
        let services: Vec<Arc<str>> = self.services_with_servers().cloned().collect();
        for service in services {
            if !self.reach.entry(service.clone()).or_default().begin_probe(now, PROBE_INTERVAL) {
                continue;
            }
            let all = self.usable_ids(&service);
            let live = all.iter().copied().filter(|it| !self.pool.get(*it).has_ended);
            let live: Vec<pool::Id> = live.collect();
            let candidates = if live.is_empty() { all } else { live };
            for id in candidates.into_iter().choose_multiple(&mut self.rng, PROBED_SERVERS) {
                let health = &mut self.pool.get_mut(id).health;
                match health.is_in_rotation() {
                    true => self.probe_reachable(id),
                    false => health.end_pause(now),
                }
            }
        }
    }

    /// Whether this instance reaches no server at all while others do.
    pub(crate) fn is_cut_off(&self) -> bool {
        let has_lost = |it: &Arc<str>| self.is_out_of_reach(it);
        self.cut_off_services().next().is_some() && self.services_with_servers().all(has_lost)
    }

    /// Whether this instance can't order servers to load weights while others can.
    pub(crate) fn is_cut_off_from_engines(&self) -> bool {
        let has_engine = |it: &Arc<str>| self.service(it).is_some_and(|it| it.engine.is_some());
        self.cut_off_services().any(has_engine)
    }

    /// Number of services whose servers are out of reach.
    pub(crate) fn services_out_of_reach(&self) -> usize {
        self.services_with_servers().filter(|it| self.is_out_of_reach(it)).count()
    }

    /// Whether no server of the service is reached.
    fn is_out_of_reach(&self, service: &str) -> bool {
        self.reach.get(service).is_some_and(|it| it.lost_since().is_some())
    }

    /// Whether other instances are known to reach servers of the service that this one doesn't reach.
    pub(crate) fn is_cut_off_from(&self, service: &str) -> bool {
        self.reach.get(service).is_some_and(Reach::is_cut_off)
    }

    /// Services with usable servers from which this instance is cut off.
    fn cut_off_services(&self) -> impl Iterator<Item = &Arc<str>> {
        let services = self.reach.keys().filter(|it| self.is_cut_off_from(it));
        services.filter(|it| self.has_servers(it))
    }

    /// Services that have usable servers. The others can't show whether they are reached.
    fn services_with_servers(&self) -> impl Iterator<Item = &Arc<str>> {
        let services = self.config.iter().flat_map(|it| it.services.keys());
        services.filter(|it| self.has_servers(it))
    }

    fn has_servers(&self, service: &str) -> bool {
        self.pool.usable(service).next().is_some()
    }
}
