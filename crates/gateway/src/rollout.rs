//! Rolls out published weights to the backend servers, a few at a time. Does no I/O: the lease holder carries out the
//! steps.

use std::{sync::Arc, time::Duration};

use shallotlead_base::{hash::Map, time::Time};

use crate::{
    adapter::{OrderReply, Report},
    pool::{self, Pool, Presence},
};

/// Share of a model's servers that load at once, rounded to whole servers: they take no requests meanwhile, so that the
/// others have a quarter more work.
const LOADING_SHARE: f64 = 0.2;
/// Servers that may drain before they load, per server that loads. Draining takes as long as loading.
const DRAINING_PER_LOADING: f64 = 0.5;
/// Time between the announcement of a load and the order, in which queued requests start and streams that can
/// continue elsewhere move away.
const ANNOUNCEMENT_LEAD: Duration = Duration::from_millis(120);
/// How long an order is held back for requests queued at its server.
const MAX_QUEUE_WAIT: Duration = Duration::from_millis(450);
/// Interval of queries of a server that may have loaded.
const QUERY_INTERVAL: Duration = Duration::from_millis(120);
/// Time without a sign of an order after which it is repeated. The expected order count keeps a late copy from taking
/// effect.
const ORDER_LOST_AFTER: Duration = Duration::from_millis(900);
/// How long an order may take in total before its server counts as stuck.
const TASK_TIMEOUT: Duration = Duration::from_secs(6);
/// Cost of prefilling a prompt again, relative to its duration: other answers on that engine stall meanwhile, and queued
/// prompts start later.
const PREFILL_COST_FACTOR: f64 = 3.0;
/// Delay before a failed server is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// How long a server counts as about to load if no order follows, as when the holder has ended.
pub const ANNOUNCEMENT_TTL: Duration = Duration::from_millis(700);
/// How long a server counts as loading unless a later message says otherwise.
pub const LOADING_TTL: Duration = Duration::from_secs(4);

/// Whether a running stream moves away from a server that is about to load. `prefill`: how long prefilling its prompt
/// occupies another engine; `running`: how long it has run, which is also the estimate of its remaining time.
///
/// The load waits for the last stream on its server, but a stream that moves is prefilled again from the start and
/// delays others at its new server. This pays off only if the prompt is short for the time that the stream still
/// runs.
pub fn should_move_stream(prefill: Duration, running: Duration) -> bool {
    prefill.mul_f64(PREFILL_COST_FACTOR) < running
}

/// A step of a rollout.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Announce to all instances that the server is about to load a version.
    Announce(pool::Id, Arc<str>, u64),
    /// Query the server's state.
    Query(pool::Id),
    /// Order the server to load a version, provided that it has accepted this number of orders.
    Order(pool::Id, Arc<str>, u64, u64),
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    /// The server's state is queried before the order.
    Querying,
    /// The order was sent. Contains the number of orders accepted before.
    Ordering(u64),
    /// The order was accepted or its reply was lost. Contains the number of orders accepted before.
    Loading(u64),
    /// The server failed and is left alone for a while.
    BackingOff,
}

#[derive(Clone, Debug)]
struct Task {
    model: Arc<str>,
    version: u64,
    stage: Stage,
    /// When the last order was sent.
    ordered_at: Time,
    progress_at: Time,
    started_at: Time,
    next_query_at: Time,
    /// A query or order is open.
    is_call_open: bool,
}

/// State of all rollouts.
#[derive(Debug, Default)]
pub struct Rollout {
    tasks: Map<pool::Id, Task>,
    /// The shortest time by model from an order until its server was known to have loaded. Until then, asking is in vain.
    shortest_loads: Map<Arc<str>, Duration>,
}

impl Rollout {
    /// Discards all tasks, as the lease was lost and with it the right to continue.
    pub fn clear(&mut self) {
        self.tasks.clear();
    }

    /// Steps that are due now.
    pub fn tick(&mut self, now: Time, pool: &Pool) -> Vec<Step> {
        let Self { tasks, shortest_loads } = self;
        tasks.retain(|id, task| {
            let server = pool.get(*id);
            let has_loaded = server.version(&task.model).is_some_and(|it| task.version <= it);
            if has_loaded && matches!(task.stage, Stage::Loading(_)) {
                let took = now.since(task.ordered_at);
                let shortest = shortest_loads.entry(task.model.clone()).or_insert(took);
                *shortest = took.min(*shortest);
            }
            let is_over = task.stage == Stage::BackingOff && task.next_query_at <= now;
            server.presence == Presence::Ready && !has_loaded && !is_over
        });
        let mut steps = self.start_tasks(now, pool);
        for (id, task) in &mut self.tasks {
            let is_due = !task.is_call_open && task.next_query_at <= now;
            let is_backed_off = pool.get(*id).backoff.is_active(now);
            if !is_due || is_backed_off || task.stage == Stage::BackingOff {
                continue;
            }
            task.is_call_open = true;
            steps.push(Step::Query(*id));
        }
        steps
    }

    /// When the next step is due.
    pub fn next_due(&self) -> Option<Time> {
        self.tasks.values().filter(|it| !it.is_call_open).map(|it| it.next_query_at).min()
    }

    /// Number of servers being updated.
    pub fn active_tasks(&self) -> usize {
        self.tasks.len()
    }

    fn start_tasks(&mut self, now: Time, pool: &Pool) -> Vec<Step> {
        let mut steps = Vec::new();
        for (model, versions) in pool.all_weight_versions() {
            let version = versions.newest();
            let serving = |it: &&(pool::Id, &pool::Server)| it.1.version(model).is_some();
            let servers: Vec<_> = pool.listed().filter(|it| serving(&it)).collect();
            let loading = ((servers.len() as f64 * LOADING_SHARE).round() as usize).max(1);
            let max_active = (loading as f64 * (1.0 + DRAINING_PER_LOADING)).round() as usize;
            let mut outdated: Vec<_> = servers
                .into_iter()
                .filter(|it| it.1.presence == Presence::Ready)
                .filter(|it| it.1.version(model).is_some_and(|it| it < version))
                .filter(|it| !self.tasks.contains_key(&it.0))
                .collect();
            outdated.sort_by_key(|it| {
                (it.1.version(model), it.1.load.map_or(0, |it| it.0.running), it.0)
            });
            let active = self
                .tasks
                .values()
                .filter(|it| it.model == *model && it.stage != Stage::BackingOff);
            let free = max_active.saturating_sub(active.count());
            for (id, _) in outdated.into_iter().take(free) {
                let task = Task {
                    model: model.clone(),
                    version,
                    stage: Stage::Querying,
                    ordered_at: now,
                    progress_at: now,
                    started_at: now,
                    next_query_at: now + ANNOUNCEMENT_LEAD,
                    is_call_open: false,
                };
                self.tasks.insert(id, task);
                steps.push(Step::Announce(id, model.clone(), version));
            }
        }
        steps
    }

    /// Handles a server's state, or `None` if it did not answer. Returns the order that follows, if any.
    pub fn handle_report(
        &mut self,
        now: Time,
        pool: &Pool,
        id: pool::Id,
        report: Option<&Report>,
    ) -> Option<Step> {
        if pool.get(id).presence != Presence::Ready {
            // It may have said so in this report.
            self.tasks.remove(&id);
            return None;
        }
        let task = self.tasks.get_mut(&id)?;
        task.is_call_open = false;
        task.next_query_at = now + QUERY_INTERVAL;
        if TASK_TIMEOUT < now.since(task.started_at) {
            task.back_off(now);
            return None;
        }
        let is_backed_off = pool.get(id).backoff.is_active(now);
        let Some(report) = report.filter(|_| !is_backed_off) else {
            task.next_query_at = now + RETRY_DELAY;
            return None;
        };
        let newest = pool.weight_versions(&task.model).map_or(task.version, |it| it.newest());
        match task.stage {
            Stage::Querying if report.is_busy => None,
            // The order would make the server decline its queued requests.
            Stage::Querying
                if 0 < report.load.waiting && now.since(task.started_at) < MAX_QUEUE_WAIT =>
            {
                None
            }
            Stage::Querying => Some(task.order(now, id, newest, report.accepted_orders)),
            Stage::Ordering(orders) | Stage::Loading(orders) => {
                let has_started = report.is_busy || orders < report.accepted_orders;
                if has_started {
                    task.progress_at = now;
                } else if ORDER_LOST_AFTER <= now.since(task.progress_at) {
                    return Some(task.order(now, id, newest, report.accepted_orders));
                }
                if orders < report.accepted_orders && !report.is_busy {
                    // The server has carried out something else, such as an older order that came late.
                    task.stage = Stage::Querying;
                }
                None
            }
            Stage::BackingOff => None,
        }
    }

    /// Postpones an order, as another holder's order may still arrive at the server.
    pub fn postpone(&mut self, now: Time, id: pool::Id) {
        if let Some(task) = self.tasks.get_mut(&id) {
            task.is_call_open = false;
            task.stage = Stage::Querying;
            task.next_query_at = now + QUERY_INTERVAL;
        }
    }

    /// Handles the reply to an order, or `None` if it was lost.
    pub fn handle_order_reply(&mut self, now: Time, id: pool::Id, reply: Option<OrderReply>) {
        let Some(task) = self.tasks.get_mut(&id) else { return };
        task.is_call_open = false;
        let Stage::Ordering(orders) = task.stage else { return };
        match reply {
            Some(OrderReply::Accepted | OrderReply::Holds) => {
                task.stage = Stage::Loading(orders);
                let shortest = self.shortest_loads.get(&task.model).copied().unwrap_or_default();
                // A load that ends sooner than any before is noticed too.
                let delay = shortest.saturating_sub(QUERY_INTERVAL).max(QUERY_INTERVAL);
                task.next_query_at = now + delay;
            }
            None => {
                task.stage = Stage::Loading(orders);
                task.next_query_at = now + QUERY_INTERVAL;
            }
            Some(OrderReply::Conflict) => {
                task.stage = Stage::Querying;
                task.next_query_at = now + QUERY_INTERVAL;
            }
            Some(OrderReply::Fenced | OrderReply::Elsewhere | OrderReply::Refused) => {
                task.back_off(now)
            }
        }
    }
}

impl Task {
    fn order(&mut self, now: Time, id: pool::Id, newest: u64, orders: u64) -> Step {
        self.version = newest;
        self.stage = Stage::Ordering(orders);
        self.ordered_at = now;
        self.progress_at = now;
        self.is_call_open = true;
        Step::Order(id, self.model.clone(), newest, orders)
    }

    fn back_off(&mut self, now: Time) {
        self.stage = Stage::BackingOff;
        self.next_query_at = now + RETRY_DELAY;
    }
}
