//! Brings the named weights to the backend servers, a few at a time. Pure: the holder of the lease
//! carries out the steps.

use std::{sync::Arc, time::Duration};

use shallotlead_base::{hash::Map, time::Time};

use crate::{
    dialect::{OrderReply, Report},
    pool::{self, Pool, Presence},
};

/// Part of a model's servers that load at once, rounded. Loading slows down beyond two of nine, three of
/// eighteen and twelve of sixty servers, and servers that load take no requests.
const AT_ONCE: f64 = 0.193;
/// Servers that may finish their requests before loading, for each that loads. Finishing takes as
/// long as loading.
const FINISHING: f64 = 0.5;
/// Time between the word that a server is about to load and the order: requests that wait there
/// begin, and streams that can go on elsewhere leave.
const DRAIN: Duration = Duration::from_millis(120);
/// How long an order waits for the requests that wait at its server.
const EMPTYING: Duration = Duration::from_millis(450);
/// Time after an order until its end is asked for first: loading takes 0.57 s at least.
const FIRST_LOOK: Duration = Duration::from_millis(550);
/// Time between further questions.
const LOOK: Duration = Duration::from_millis(120);
/// Time without a sign of an order after which it is given again. `expected` keeps a late copy from
/// being carried out.
const LOST: Duration = Duration::from_millis(900);
/// How long an order may take in all before its server counts as stuck.
const STUCK: Duration = Duration::from_secs(6);
/// How much dearer reading a prompt again is than the time that it takes: others that run there stand still for it,
/// and others that wait begin later. With 1 in place of 3 two thirds of the gain are lost, in 12 of those pairs.
const DEARER: f64 = 3.0;
/// Pause before a server that failed is tried again.
const AGAIN: Duration = Duration::from_millis(500);

/// How long a server counts as about to load when no order follows: its holder may have ended.
pub const ANNOUNCEMENT_TTL: Duration = Duration::from_millis(700);
/// How long a server counts as loading without further word.
pub const LOADING_TTL: Duration = Duration::from_secs(4);

/// Whether a running stream leaves a server that is about to load, to go on elsewhere. `again`: how long its
/// prompt keeps another server; `running`: how long it has run here, which is as long as it may be expected to
/// go on.
///
/// Answers roll-outs on a busy fleet: the server waits for the last of its streams, but one that leaves is read
/// again from the start, and keeps others waiting where it goes. Where only streams of 17,000 tokens can leave,
/// worth rises by 0.023 ± 0.004 against letting all leave, in 24 paired simulated days with roll-outs and bursts;
/// where only short ones can, it is the same within the error (18 pairs).
pub fn should_move_stream(again: Duration, running: Duration) -> bool {
    again.mul_f64(DEARER) < running
}

/// What is to be done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Tell all instances that the server is about to load a version.
    Announce(pool::Id, Arc<str>, u64),
    /// Ask the server for its state.
    Query(pool::Id),
    /// Order the server to load a version; it must have accepted so many orders.
    Order(pool::Id, Arc<str>, u64, u64),
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    /// Its state is being asked for, before the order.
    Asking,
    /// The order is on its way; so many were accepted before.
    Ordering(u64),
    /// It was accepted, or its answer was lost; so many were accepted before.
    Loading(u64),
    /// It failed; it is left alone for a while.
    Resting,
}

#[derive(Clone, Debug)]
struct Task {
    model: Arc<str>,
    version: u64,
    stage: Stage,
    since: Time,
    begun: Time,
    next: Time,
    /// A question or order is under way.
    is_open: bool,
}

/// The state of all roll-outs.
#[derive(Debug, Default)]
pub struct Rollout {
    tasks: Map<pool::Id, Task>,
}

impl Rollout {
    /// Forgets everything: the lease is gone, and so is the right to go on.
    pub fn clear(&mut self) {
        self.tasks.clear();
    }

    /// What is due now.
    pub fn tick(&mut self, now: Time, pool: &Pool) -> Vec<Step> {
        self.tasks.retain(|id, task| {
            let server = pool.get(*id);
            let has = server.version(&task.model).unwrap_or(0);
            let is_over = task.stage == Stage::Resting && task.next <= now;
            server.presence == Presence::Ready && has < task.version && !is_over
        });
        let mut steps = self.begin(now, pool);
        for (id, task) in &mut self.tasks {
            if task.is_open || now < task.next || task.stage == Stage::Resting {
                continue;
            }
            task.is_open = true;
            steps.push(Step::Query(*id));
        }
        steps
    }

    /// When the next step is due.
    pub fn next_due(&self) -> Option<Time> {
        self.tasks.values().filter(|it| !it.is_open).map(|it| it.next).min()
    }

    /// Servers that are being worked on.
    pub fn active_tasks(&self) -> usize {
        self.tasks.len()
    }

    fn begin(&mut self, now: Time, pool: &Pool) -> Vec<Step> {
        let mut steps = Vec::new();
        for (model, named) in pool.all_named() {
            let version = named.newest();
            let serving = |it: &&(pool::Id, &pool::Server)| it.1.version(model).is_some();
            let servers: Vec<_> = pool.listed().filter(|it| serving(&it)).collect();
            let loading = ((servers.len() as f64 * AT_ONCE).round() as usize).max(1);
            let most = (loading as f64 * (1.0 + FINISHING)).round() as usize;
            let mut old: Vec<_> = servers
                .into_iter()
                .filter(|it| it.1.presence == Presence::Ready)
                .filter(|it| it.1.version(model).is_some_and(|it| it < version))
                .filter(|it| !self.tasks.contains_key(&it.0))
                .collect();
            old.sort_by_key(|it| {
                (it.1.version(model), it.1.load.map_or(0, |it| it.0.running), it.0)
            });
            let active =
                self.tasks.values().filter(|it| it.model == *model && it.stage != Stage::Resting);
            let free = most.saturating_sub(active.count());
            for (id, _) in old.into_iter().take(free) {
                let task = Task {
                    model: model.clone(),
                    version,
                    stage: Stage::Asking,
                    since: now,
                    begun: now,
                    next: now + DRAIN,
                    is_open: false,
                };
                self.tasks.insert(id, task);
                steps.push(Step::Announce(id, model.clone(), version));
            }
        }
        steps
    }

    /// The server told its state; `None` when it didn't answer. Returns the order that follows.
    pub fn handle_report(
        &mut self,
        now: Time,
        pool: &Pool,
        id: pool::Id,
        report: Option<&Report>,
    ) -> Option<Step> {
        let task = self.tasks.get_mut(&id)?;
        task.is_open = false;
        task.next = now + LOOK;
        if STUCK < now.since(task.begun) {
            task.rest(now);
            return None;
        }
        let Some(report) = report else {
            task.next = now + AGAIN;
            return None;
        };
        let named = pool.named(&task.model).map_or(task.version, |it| it.newest());
        match task.stage {
            Stage::Asking if report.is_busy => None,
            // Requests that wait there would be turned away by the order.
            Stage::Asking if 0 < report.load.waiting && now.since(task.begun) < EMPTYING => None,
            Stage::Asking => Some(task.order(now, id, named, report.orders)),
            Stage::Ordering(orders) | Stage::Loading(orders) => {
                let has_begun = report.is_busy || orders < report.orders;
                if has_begun {
                    task.since = now;
                } else if LOST <= now.since(task.since) {
                    return Some(task.order(now, id, named, report.orders));
                }
                if orders < report.orders && !report.is_busy {
                    // Something else was carried out, such as an older order that came late.
                    task.stage = Stage::Asking;
                }
                None
            }
            Stage::Resting => None,
        }
    }

    /// The order can't be given yet: another holder's may still arrive at the server.
    pub fn postpone(&mut self, now: Time, id: pool::Id) {
        if let Some(task) = self.tasks.get_mut(&id) {
            task.is_open = false;
            task.stage = Stage::Asking;
            task.next = now + LOOK;
        }
    }

    /// The server answered an order, or `None` when the answer was lost.
    pub fn handle_order_reply(&mut self, now: Time, id: pool::Id, reply: Option<OrderReply>) {
        let Some(task) = self.tasks.get_mut(&id) else { return };
        task.is_open = false;
        let Stage::Ordering(orders) = task.stage else { return };
        match reply {
            Some(OrderReply::Accepted | OrderReply::Holds) => {
                task.stage = Stage::Loading(orders);
                task.next = now + FIRST_LOOK;
            }
            None => {
                task.stage = Stage::Loading(orders);
                task.next = now + LOOK;
            }
            Some(OrderReply::Conflict) => {
                task.stage = Stage::Asking;
                task.next = now + LOOK;
            }
            Some(OrderReply::Fenced | OrderReply::Elsewhere | OrderReply::Refused) => {
                task.rest(now)
            }
        }
    }
}

impl Task {
    fn order(&mut self, now: Time, id: pool::Id, named: u64, orders: u64) -> Step {
        self.version = named;
        self.stage = Stage::Ordering(orders);
        self.since = now;
        self.is_open = true;
        Step::Order(id, self.model.clone(), named, orders)
    }

    fn rest(&mut self, now: Time) {
        self.stage = Stage::Resting;
        self.next = now + AGAIN;
    }
}
