//! The plan: which server should load what next, change role or drain. Pure; the same state gives
//! the same plan.

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
    model::{Kind as Service, Model},
    server::{Role, Server},
    snapshot::Snapshot,
};

use crate::duty::{
    handover::Load,
    order::{Kind, Order, Task},
    status::{Observation, Status},
};

/// A status older than this says nothing.
pub const MAX_STATUS_AGE: Duration = Duration::from_secs(180);
/// Spare part on top of demand.
const HEADROOM: f64 = 1.25;

/// What callers want of a model or an adapter, over all instances.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// The model.
    pub model: name::Model,
    /// The adapter; `None` for the model itself.
    pub adapter: Option<Arc<str>>,
    /// How many servers it would keep busy.
    pub servers: f64,
}

/// What a plan is made from.
#[derive(Clone, Copy, Debug)]
pub struct Planner<'a> {
    /// The time.
    pub now: Time,
    /// The table in force.
    pub table: &'a Snapshot,
    /// What is known of the servers.
    pub observations: &'a BTreeMap<name::Server, Observation>,
    /// What callers want.
    pub demand: &'a [Demand],
}

/// One model's servers, as they are.
struct Pool<'a> {
    model: &'a Model,
    /// Servers that should hold it.
    size: usize,
    /// Those that serve it, with whichever weights.
    serving: usize,
    /// Those that serve it with the right weights.
    current: usize,
    /// Those that don't serve it and may load it: loading costs no capacity.
    empty: Vec<&'a Status>,
    /// Those that serve it with other weights: loading takes one out.
    outdated: Vec<&'a Status>,
    wanted: usize,
}

impl<'a> Planner<'a> {
    /// Loads to begin, given those under way and what may be ordered. All loads together stay within
    /// each model's `load_concurrency`, as models share their store.
    pub(crate) fn next_loads(
        &self,
        under_way: &[Load],
        done: &[Task],
        may_order: impl Fn(&name::Server) -> bool,
    ) -> Vec<Load> {
        let mut pools = self.pools(under_way, &may_order);
        // The model that lacks most comes first: one that nobody serves, then by missing part.
        let lack = |it: &Pool<'_>| {
            let missing = it.wanted.saturating_sub(it.current);
            (it.serving == 0, missing * 1000 / it.wanted.max(1))
        };
        pools.sort_by(|a, b| lack(b).cmp(&lack(a)).then(a.model.name.cmp(&b.model.name)));
        let mut loads = Vec::new();
        for pool in &mut pools {
            let most = pool.model.load_concurrency as usize;
            while under_way.len() + loads.len() < most {
                let Some(status) = pool.next_server() else { break };
                loads.push(new_load(pool.model, status, None));
            }
        }
        for load in self.adapter_loads(under_way, done, &may_order) {
            let most = self.table.models.get(&load.model).map_or(0, |it| it.load_concurrency);
            let is_busy = loads.iter().any(|it| it.server == load.server);
            if !is_busy && under_way.len() + loads.len() < most as usize {
                loads.push(load);
            }
        }
        loads
    }

    /// The order of a load, unless the table or the server has changed since.
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

    /// What the server should load instead of `load`, where the table has changed since.
    pub(crate) fn replacement(&self, load: &Load) -> Option<Load> {
        let row = self.table.servers.get(&load.server).filter(|it| 0.0 < it.weight)?;
        let model = self.engine_model(&row.model)?;
        let is_other = model.name != load.model || model.weights != load.weights;
        let (server, incarnation) = (load.server.clone(), load.incarnation);
        (is_other && load.adapter.is_none()).then(|| Load {
            server,
            incarnation,
            model: model.name.clone(),
            weights: model.weights,
            adapter: None,
        })
    }

    /// Orders to change role or drain that are due and not accepted yet.
    pub(crate) fn role_and_drain_orders(&self, done: &[Task]) -> Vec<Order> {
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
            let is_other = status.role.is_some_and(|it| it != row.role);
            // One at a time in each pool, so that it never lacks a role for long.
            if is_other && changing.insert(&row.model) {
                orders.push(new_order(row, status, Kind::Role, model.weights, "role changed"));
            }
        }
        orders.retain(|it| !done.contains(&it.task()));
        orders
    }

    fn pools(
        &self,
        under_way: &[Load],
        may_order: &impl Fn(&name::Server) -> bool,
    ) -> Vec<Pool<'a>> {
        let mut pools = BTreeMap::new();
        for model in self.table.models.values().filter(|it| it.kind == Service::Engine) {
            pools.insert(&model.name, Pool::new(model));
        }
        for row in self.table.servers.values().filter(|it| 0.0 < it.weight) {
            let Some(pool) = pools.get_mut(&row.model) else { continue };
            let Some(status) = self.current_status(&row.name).filter(|it| !it.is_leaving) else {
                continue;
            };
            pool.size += 1;
            if under_way.iter().any(|it| it.server == row.name) {
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

    /// Adapters that callers want and too few servers hold. They stay on the same servers as long
    /// as those live, by rendezvous.
    fn adapter_loads(
        &self,
        under_way: &[Load],
        done: &[Task],
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
                let is_new = !under_way.contains(&load) && !done.contains(&load.task());
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
        let is_it = |it: &&Demand| it.model == *model && it.adapter.is_none();
        self.demand.iter().filter(is_it).map(|it| it.servers).sum()
    }

    fn engine_model(&self, model: &name::Model) -> Option<&'a Model> {
        self.table.models.get(model).filter(|it| it.kind == Service::Engine)
    }

    fn current_status(&self, server: &name::Server) -> Option<&'a Status> {
        let known = self
            .observations
            .get(server)
            .filter(|it| self.now < it.received_at + MAX_STATUS_AGE)?;
        known.status.is_available.then_some(&known.status)
    }
}

impl<'a> Pool<'a> {
    fn new(model: &'a Model) -> Self {
        let (empty, outdated) = (Vec::new(), Vec::new());
        Self { model, size: 0, serving: 0, current: 0, empty, outdated, wanted: 0 }
    }

    /// The server that should load next. One that serves is taken out only as long as enough
    /// others serve: as many as are wanted, or all but one where that is the whole pool.
    fn next_server(&mut self) -> Option<&'a Status> {
        if let Some(status) = self.empty.pop() {
            return Some(status);
        }
        let keep = self.wanted.min(self.size.saturating_sub(1));
        if self.serving <= keep {
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
