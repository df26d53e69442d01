//! Plans which servers should load weights or adapters, change their role or drain. Pure: the same
//! state gives the same plan.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use shallotlead_base::{
    hash,
    id::{Fence, Incarnation, Weights},
    name,
    time::Time,
};
use shallotlead_table::{
    model::{Kind as ModelKind, Model},
    server::{Role, Server},
    snapshot::Snapshot,
};

use crate::duty::{
    handover::Load,
    order::{Kind, Order, Task},
    status::{Observation, Status},
};

/// Older statuses are ignored.
pub const MAX_STATUS_AGE: Duration = Duration::from_secs(180);
/// Planned servers as a multiple of those that demand needs.
const HEADROOM: f64 = 1.25;

/// Callers' demand for a model or an adapter, over all instances.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// The model.
    pub model: name::Model,
    /// The adapter; `None` for the model itself.
    pub adapter: Option<Arc<str>>,
    /// How many servers the demand would keep busy.
    pub servers: f64,
}

/// Makes plans from a state.
#[derive(Clone, Copy, Debug)]
pub struct Planner<'a> {
    /// The current time.
    pub now: Time,
    /// The table in force.
    pub table: &'a Snapshot,
    /// The latest status of each server.
    pub observations: &'a BTreeMap<name::Server, Observation>,
    /// The demand of callers.
    pub demand: &'a [Demand],
}

/// The servers of one model in their current state.
struct Pool<'a> {
    model: &'a Model,
    /// Servers that are configured for the model and available.
    size: usize,
    /// Those that serve it, with any version of its weights.
    serving: usize,
    /// Those that serve it with the configured weights.
    current: usize,
    /// Those that don't serve it and may load it: a load costs no capacity.
    empty: Vec<&'a Status>,
    /// Those that serve it with other weights: a load takes the server out of service.
    outdated: Vec<&'a Status>,
    wanted: usize,
}

impl<'a> Planner<'a> {
    /// Loads to begin, given those in progress, the tasks already accepted and the servers that may
    /// be sent orders. A model's loads begin only while the loads of all models are fewer than its
    /// `load_concurrency`, because models share the weight store.
    pub(crate) fn next_loads(
        &self,
        in_progress: &[Load],
        accepted: &[Task],
        may_order: impl Fn(&name::Server) -> bool,
    ) -> Vec<Load> {
        let mut pools = self.pools(in_progress, &may_order);
        // The model with the greatest need comes first: one that no server serves, then by the fraction
        // of servers that are missing.
        let need = |it: &Pool<'_>| {
            let missing = it.wanted.saturating_sub(it.current);
            (it.serving == 0, missing * 1000 / it.wanted.max(1))
        };
        pools.sort_by(|a, b| need(b).cmp(&need(a)).then(a.model.name.cmp(&b.model.name)));
        let mut loads = Vec::new();
        for pool in &mut pools {
            let most = pool.model.load_concurrency as usize;
            while in_progress.len() + loads.len() < most {
                let Some(status) = pool.next_server() else { break };
                loads.push(new_load(pool.model, status, None));
            }
        }
        for load in self.adapter_loads(in_progress, accepted, &may_order) {
            let most = self.table.models.get(&load.model).map_or(0, |it| it.load_concurrency);
            let is_busy = loads.iter().any(|it| it.server == load.server);
            if !is_busy && in_progress.len() + loads.len() < most as usize {
                loads.push(load);
            }
        }
        loads
    }

    /// The order for a load, unless the table or the server has changed since it was planned.
    pub(crate) fn load_order(&self, load: &Load) -> Option<Order> {
        let status = self.current_status(&load.server)?;
        let row = self.table.servers.get(&load.server)?;
        let model = self.table.models.get(&load.model)?;
        let is_due = row.model == load.model
            && model.weights == load.weights
            && status.incarnation == load.incarnation;
        let reason = match (&load.adapter, &status.model) {
            (Some(_), _) => "adapter wanted",
            (None, Some(it)) if *it == load.model => "new weights",
            (None, _) => "model missing",
        };
        is_due.then(|| Order {
            adapter: load.adapter.clone(),
            ..new_order(row, status, Kind::Load, load.weights, reason)
        })
    }

    /// What the server should load instead of `load`, when the table has changed since.
    pub(crate) fn replacement(&self, load: &Load) -> Option<Load> {
        let row = self.table.servers.get(&load.server).filter(|it| 0.0 < it.weight)?;
        let model = self.engine_model(&row.model)?;
        let is_different = model.name != load.model || model.weights != load.weights;
        let (server, incarnation) = (load.server.clone(), load.incarnation);
        (is_different && load.adapter.is_none()).then(|| Load {
            server,
            incarnation,
            model: model.name.clone(),
            weights: model.weights,
            adapter: None,
        })
    }

    /// Orders to change the role or to drain that are due and not accepted yet.
    pub(crate) fn role_and_drain_orders(&self, accepted: &[Task]) -> Vec<Order> {
        let mut orders = Vec::new();
        let mut changing = BTreeSet::new();
        for row in self.table.servers.values() {
            let Some(model) = self.engine_model(&row.model) else { continue };
            let Some(status) = self.current_status(&row.name).filter(|it| !it.is_leaving) else {
                continue;
            };
            if row.weight <= 0.0 {
                orders.push(new_order(row, status, Kind::Drain, model.weights, "weight zero"));
                continue;
            }
            let is_different = status.role.is_some_and(|it| it != row.role);
            // One server of each model at a time, so that no role is missing for long.
            if is_different && changing.insert(&row.model) {
                orders.push(new_order(row, status, Kind::Role, model.weights, "role changed"));
            }
        }
        orders.retain(|it| !accepted.contains(&it.task()));
        orders
    }

    fn pools(
        &self,
        in_progress: &[Load],
        may_order: &impl Fn(&name::Server) -> bool,
    ) -> Vec<Pool<'a>> {
        let mut pools = BTreeMap::new();
        for model in self.table.models.values().filter(|it| it.kind == ModelKind::Engine) {
            pools.insert(&model.name, Pool::new(model));
        }
        for row in self.table.servers.values().filter(|it| 0.0 < it.weight) {
            let Some(pool) = pools.get_mut(&row.model) else { continue };
            let Some(status) = self.current_status(&row.name).filter(|it| !it.is_leaving) else {
                continue;
            };
            pool.size += 1;
            if in_progress.iter().any(|it| it.server == row.name) {
                continue;
            }
            let serves = status.model.as_ref() == Some(&row.model);
            let is_current = serves && status.weights == Some(pool.model.weights);
            pool.serving += usize::from(serves);
            pool.current += usize::from(is_current);
            match (serves, is_current) {
                (_, true) => {}
                _ if !may_order(&row.name) => {}
                (true, _) => pool.outdated.push(status),
                (false, _) => pool.empty.push(status),
            }
        }
        let mut pools = pools.into_values().collect::<Vec<_>>();
        for pool in &mut pools {
            let wanted = (self.wanted_servers(&pool.model.name) * HEADROOM).ceil() as usize;
            pool.wanted = wanted.max(pool.model.min_replicas as usize).min(pool.size);
        }
        pools
    }

    /// Loads of adapters that have demand and are on too few servers. Rendezvous hashing keeps an
    /// adapter on the same servers as long as they are available.
    fn adapter_loads(
        &self,
        in_progress: &[Load],
        accepted: &[Task],
        may_order: &impl Fn(&name::Server) -> bool,
    ) -> Vec<Load> {
        let mut loads = Vec::new();
        for demand in self.demand {
            let Some(adapter) = demand.adapter.as_ref().filter(|_| 0.0 < demand.servers) else {
                continue;
            };
            let Some(model) = self.engine_model(&demand.model) else { continue };
            let mut ready = self.ready_servers(model);
            let key = hash::stable(adapter.as_bytes());
            ready.sort_by_key(|it| std::cmp::Reverse(hash::weight(it.server.as_str(), key)));
            let wanted = ((demand.servers * HEADROOM).ceil() as usize).max(1);
            for status in ready.into_iter().take(wanted) {
                let load = new_load(model, status, Some(adapter.clone()));
                let is_new = !in_progress.contains(&load) && !accepted.contains(&load.task());
                if is_new && may_order(&status.server) {
                    loads.push(load);
                }
            }
        }
        loads
    }

    fn ready_servers(&self, model: &Model) -> Vec<&'a Status> {
        let rows = self.table.servers.values();
        let rows = rows.filter(|it| it.model == model.name && 0.0 < it.weight);
        let is_ready = |it: &&Status| {
            !it.is_leaving
                && it.model.as_ref() == Some(&model.name)
                && it.weights == Some(model.weights)
        };
        rows.filter_map(|it| self.current_status(&it.name)).filter(is_ready).collect()
    }

    fn wanted_servers(&self, model: &name::Model) -> f64 {
        let is_for_model = |it: &&Demand| it.model == *model && it.adapter.is_none();
        self.demand.iter().filter(is_for_model).map(|it| it.servers).sum()
    }

    fn engine_model(&self, model: &name::Model) -> Option<&'a Model> {
        self.table.models.get(model).filter(|it| it.kind == ModelKind::Engine)
    }

    fn current_status(&self, server: &name::Server) -> Option<&'a Status> {
        let observation = self
            .observations
            .get(server)
            .filter(|it| self.now < it.received_at + MAX_STATUS_AGE)?;
        observation.status.is_available.then_some(&observation.status)
    }
}

impl<'a> Pool<'a> {
    fn new(model: &'a Model) -> Self {
        let (empty, outdated) = (Vec::new(), Vec::new());
        Self { model, size: 0, serving: 0, current: 0, empty, outdated, wanted: 0 }
    }

    /// The server that should load next. A server that serves is taken out of service only while
    /// enough others serve: as many as are wanted, or all but one when that is the whole pool.
    fn next_server(&mut self) -> Option<&'a Status> {
        if let Some(status) = self.empty.pop() {
            return Some(status);
        }
        let min_serving = self.wanted.min(self.size.saturating_sub(1));
        if self.serving <= min_serving {
            return None;
        }
        let status = self.outdated.pop()?;
        self.serving -= 1;
        Some(status)
    }
}

fn new_load(model: &Model, status: &Status, adapter: Option<Arc<str>>) -> Load {
    Load {
        server: status.server.clone(),
        incarnation: status.incarnation,
        model: model.name.clone(),
        weights: model.weights,
        adapter,
    }
}

fn new_order(
    row: &Server,
    status: &Status,
    kind: Kind,
    weights: Weights,
    reason: &'static str,
) -> Order {
    let role: Role = row.role;
    let incarnation: Incarnation = status.incarnation;
    Order {
        number: 0,
        server: row.name.clone(),
        incarnation,
        kind,
        model: row.model.clone(),
        weights,
        adapter: None,
        role,
        fence: Fence(0),
        until: Time::ZERO,
        reason,
    }
}
