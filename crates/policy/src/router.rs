//! The router: tables of requests, attempts, servers and models, and the systems that run over them
//! each tick.

mod admit;
mod attempt;
mod dispatch;
mod finish;
mod outcome;
mod overview;
mod pool;
mod request;
mod server;
mod timer;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use rand::{SeedableRng, rngs::SmallRng};
use shallotlead_base::{
    hash::Map,
    id::{Attempt, Request},
    name,
    time::Time,
};
use shallotlead_table::snapshot::Snapshot;

use crate::{
    action::Action,
    explain::Decision,
    heat::Heat,
    input::{Input, State},
    limit::{Demand, Ledger},
    load::Report,
    placement::Planner,
    request::Arrival,
};

use self::{pool::Pool, timer::Timers};

/// Longest time between two ticks.
const IDLE: Duration = Duration::from_secs(1);
/// Time between two ticks while requests wait: expected waits shrink without any input.
const BUSY: Duration = Duration::from_millis(50);

/// One entry instance's routing state.
#[derive(Debug)]
pub struct Router {
    rng: SmallRng,
    table: Arc<Snapshot>,
    planner: Planner,
    ledger: Ledger,
    requests: Map<Request, request::Row>,
    attempts: Map<Attempt, attempt::Row>,
    servers: Map<name::Server, server::Row>,
    pools: BTreeMap<name::Model, Pool>,
    timers: Timers,
    arrivals: Vec<Arrival>,
    actions: Vec<Action>,
    heat: Heat,
    seq: u64,
    draining: bool,
}

/// What one model's queue holds, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct Backlog {
    /// The model.
    pub model: name::Model,
    /// Requests that wait.
    pub waiting: usize,
    /// Expected work that waits, in tokens.
    pub work: f64,
    /// Measured rate at which work leaves the queue, in tokens a second, when known.
    pub rate: Option<f64>,
    /// Servers whose circuit isn't closed.
    pub ejected: usize,
}

impl Router {
    /// A router with an empty table.
    pub fn open(seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            table: Arc::default(),
            planner: Planner::open(),
            ledger: Ledger::default(),
            requests: Map::default(),
            attempts: Map::default(),
            servers: Map::default(),
            pools: BTreeMap::new(),
            timers: Timers::default(),
            arrivals: Vec::new(),
            actions: Vec::new(),
            heat: Heat::default(),
            seq: 0,
            draining: false,
        }
    }

    /// Takes in one thing that happened.
    pub fn handle(&mut self, now: Time, input: Input) {
        match input {
            Input::Arrive(arrival) => self.arrivals.push(*arrival),
            Input::FirstToken { attempt, cached_tokens } => {
                self.first_token(now, attempt, cached_tokens);
            }
            Input::Ended { attempt, outcome } => self.ended(now, attempt, outcome),
            Input::Abandoned(request) => self.abandoned(now, request),
            Input::Load(report) => self.load(now, report),
            Input::Cache(batch) => self.planner.cache(now, batch),
            Input::Placed(placements) => self.planner.placed(now, &placements),
            Input::Server { server, state } => self.server(now, &server, state),
            Input::Table(table) => self.table(now, table),
            Input::Instances(n) => {
                self.planner.instances(n);
                self.ledger.instances(now, n);
            }
            Input::Allowance(allowance) => {
                self.ledger.allow(now, allowance);
                self.stir();
            }
            Input::Drain => self.draining = true,
        }
    }

    /// Decides; appends to `actions`. Returns when to call again even if nothing happens.
    pub fn tick(&mut self, now: Time, actions: &mut Vec<Action>) -> Time {
        for arrival in std::mem::take(&mut self.arrivals) {
            self.admit(now, arrival);
        }
        while let Some((request, kind)) = self.timers.pop(now) {
            self.fire(now, request, kind);
        }
        self.dispatch(now);
        let exports = self.planner.take_exports().into_iter();
        actions.extend(exports.map(|(server, block)| Action::Export { server, block }));
        actions.append(&mut self.actions);
        let wait = if self.pools.values().any(|it| !it.queue.is_empty()) { BUSY } else { IDLE };
        self.wake(now).min(now + wait)
    }

    /// What this instance wants of each limit in use, for whoever hands out allowances.
    pub fn demands(&self, now: Time) -> Vec<Demand> {
        self.ledger.demands(now)
    }

    /// What waits, by model.
    pub fn backlogs(&self) -> Vec<Backlog> {
        self.pools
            .iter()
            .map(|(model, it)| Backlog {
                model: model.clone(),
                waiting: it.queue.len(),
                work: it.queue.work(),
                rate: it.meter.rate(),
                ejected: it.ejected.len(),
            })
            .collect()
    }

    /// Requests without a final answer yet.
    pub fn open_requests(&self) -> usize {
        self.arrivals.len() + self.requests.values().filter(|it| !it.answered).count()
    }

    /// Attempts under way at `server`.
    pub fn inflight(&self, server: &name::Server) -> u32 {
        self.servers.get(server).map_or(0, |it| it.inflight)
    }

    fn load(&mut self, now: Time, report: Report) {
        if let Some(row) = self.servers.get_mut(&report.server)
            && row.state == State::Up(report.incarnation)
        {
            row.report(report.waiting);
            row.reported(now, &report);
        }
        self.stir_server(&report.server);
        self.planner.load(now, report);
    }

    fn server(&mut self, now: Time, server: &name::Server, state: State) {
        self.planner.server(now, server, state);
        match self.servers.get_mut(server) {
            None => {
                self.servers.insert(server.clone(), server::Row::new(now, state));
            }
            Some(row) => {
                if row.become_state(now, state) {
                    for pool in self.pools.values_mut() {
                        pool.ejected.remove(server);
                    }
                }
            }
        }
        self.stir_server(server);
    }

    fn table(&mut self, now: Time, table: Arc<Snapshot>) {
        self.planner.table(&table);
        self.ledger.table(now, &table);
        let mut servers = BTreeMap::<_, Vec<_>>::new();
        for server in table.servers.values() {
            servers.entry(server.model.clone()).or_default().push(server.name.clone());
        }
        self.pools.retain(|model, it| servers.contains_key(model) || !it.queue.is_empty());
        for (model, servers) in servers {
            let pool = self.pools.entry(model).or_insert_with(|| Pool::open(now));
            pool.ejected.retain(|it| servers.contains(it));
            pool.servers = servers;
            for organisation in table.organisations.values() {
                pool.queue.weigh(&organisation.name, organisation.weight);
            }
        }
        self.table = table;
        self.stir();
    }

    /// Lets the next tick try all queues again.
    fn stir(&mut self) {
        for pool in self.pools.values_mut() {
            pool.dirty = true;
        }
    }

    /// Lets the next tick try the queue before `server` again.
    fn stir_server(&mut self, server: &name::Server) {
        let Some(row) = self.table.servers.get(server) else { return };
        if let Some(pool) = self.pools.get_mut(&row.model) {
            pool.dirty = true;
        }
    }

    fn wake(&self, now: Time) -> Time {
        let expiry = self.pools.values().filter_map(|it| it.queue.next_expiry()).min();
        // An item expires after its latest time, not at it.
        let expiry = expiry.map(|it| it + Duration::from_micros(1));
        let next = [self.timers.next(), expiry].into_iter().flatten().min();
        next.unwrap_or(Time::MAX).max(now)
    }

    fn weight(&self, organisation: &name::Organisation) -> f64 {
        self.table.organisations.get(organisation).map_or(1.0, |it| it.weight)
    }

    fn decision(&self, request: Request, reason: &'static str, queued: Duration) -> Decision {
        Decision {
            request,
            table: self.table.version.0,
            chosen: None,
            reason,
            candidates: Vec::new(),
            queued,
        }
    }
}
