//! Tasks that one instance performs for all: loading weights and adapters on backend servers,
//! changing their roles and draining them.
//!
//! The instance that holds the lease `duty` makes plans ([`planner`]) and sends orders. Each order
//! carries the lease's fencing token. Loads are written into the lease's payload *before* they are
//! ordered, so that a successor knows which loads use the weight store, and never more servers load
//! at once than the models' `load_concurrency` allows.
//!
//! Before it sends orders to servers that don't check the token, a successor waits for
//! [`MAX_ORDER_DELAY`], the longest time after which an order of its predecessor may still arrive.
//! Servers that check the token reject such orders themselves.
//!
//! Usage: pass [`Input::Status`] for each server that this instance keeps, whenever its health was
//! read; it is sent to the candidates for the lease. Pass [`Input::Demand`] every few seconds. Carry
//! out each [`Output::Order`]: compare [`order::Order::until`] with the clock right before the bytes
//! are sent, stop waiting after [`ORDER_TIMEOUT`], and pass [`Input::Answered`] in any case. Log the
//! order with its reason.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};
use shallotlead_base::{hash, name, store::Reply, time::Time};

use crate::{
    component::Component,
    context::Context,
    delivery::Delivery,
    duty::{
        handover::{Handover, Load},
        order::{Answer, Order, Task},
        planner::{Demand, Planner},
        status::{Observation, Status},
    },
    lease::{Grant, Lease, MAX_CANDIDATES},
    node::Action,
    outbox::Outbox,
    view,
};

pub(crate) mod handover;
pub mod order;
pub mod planner;
pub mod status;

#[cfg(test)]
mod tests;

/// Name of the lease.
pub const LEASE_NAME: &str = "duty";
/// How long the daemon may take to send an order and to wait for its answer.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(5);
/// How long after the end of its sender's term an order may still take effect.
pub const MAX_ORDER_DELAY: Duration = Duration::from_secs(15);
/// How long a load counts against the weight store when no status shows that it has ended.
pub const LOAD_TIMEOUT: Duration = Duration::from_secs(1800);

/// Time between two plans.
const PLAN_PERIOD: Duration = Duration::from_secs(1);
/// Time after which an unchanged status is sent again.
const STATUS_REFRESH_PERIOD: Duration = Duration::from_secs(60);
/// Delay before the next order to a server that rejected one or didn't answer.
const RETRY_DELAY: Duration = Duration::from_secs(10);
/// The most statuses in one message.
const MAX_STATUSES_PER_MESSAGE: usize = 200;

/// A message between instances.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// To the candidates for the lease: the statuses of servers that the sender keeps.
    Statuses(Vec<Status>),
}

/// An input from the daemon.
#[derive(Clone, Debug)]
pub enum Input {
    /// The result of a health check.
    Status(Status),
    /// The demand of callers, over all instances.
    Demand(Vec<Demand>),
    /// The result of an order.
    Answered {
        /// Number of the order.
        number: u64,
        /// Its result.
        answer: Answer,
    },
}

/// An output to the daemon.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send this order to its server.
    Order(Box<Order>),
}

/// The lease, and what is known of the servers.
#[derive(Debug)]
pub struct Duty {
    lease: Lease,
    /// Statuses of the servers that this instance keeps, and when each was sent last.
    own_statuses: BTreeMap<name::Server, (Status, Option<Time>)>,
    candidates: Vec<name::Instance>,
    view_generation: u64,
    observations: BTreeMap<name::Server, Observation>,
    demand: Vec<Demand>,
    term: Option<Term>,
    last_number: u64,
    is_shutting_down: bool,
    next_plan: Time,
}

/// State that exists only while the lease is held.
#[derive(Debug)]
struct Term {
    grant: Grant,
    loads: Vec<Slot>,
    /// Orders without an answer.
    pending_orders: BTreeMap<u64, Order>,
    /// When servers may be sent orders again after a rejected or lost one.
    retry_at: BTreeMap<name::Server, Time>,
    /// Tasks that the servers accepted under this grant, and when.
    accepted: Vec<(Task, Time)>,
}

/// A load that counts against the weight store.
#[derive(Debug)]
struct Slot {
    load: Load,
    started_at: Time,
    /// Whether it may have been ordered.
    is_ordered: bool,
}

impl Default for Duty {
    fn default() -> Self {
        Self {
            lease: Lease::new(LEASE_NAME),
            own_statuses: BTreeMap::new(),
            candidates: Vec::new(),
            view_generation: 0,
            observations: BTreeMap::new(),
            demand: Vec::new(),
            term: None,
            last_number: 0,
            is_shutting_down: false,
            next_plan: Time::ZERO,
        }
    }
}

impl Component for Duty {
    type Input = Input;
    type Message = Message;

    fn handle(&mut self, ctx: &Context<'_>, input: Input, out: &mut Outbox<'_>) {
        match input {
            Input::Status(status) => self.update_status(ctx, status, out),
            Input::Demand(demand) => self.demand = demand,
            Input::Answered { number, answer } => self.handle_answer(ctx, number, answer),
        }
    }

    fn message(
        &mut self,
        ctx: &Context<'_>,
        _from: &name::Instance,
        message: Message,
        _out: &mut Outbox<'_>,
    ) {
        let Message::Statuses(statuses) = message;
        for status in statuses {
            self.record_status(ctx.now, status);
        }
    }

    fn reply(&mut self, ctx: &Context<'_>, number: u64, reply: Reply, _out: &mut Outbox<'_>) {
        self.lease.reply(ctx, number, &reply);
    }

    fn tick(&mut self, ctx: &Context<'_>, out: &mut Outbox<'_>) -> Time {
        self.update_candidates(ctx);
        // Without servers there is nothing to order, and no instance needs the lease.
        let is_needed = !ctx.table.servers.is_empty() || self.term.is_some();
        let next = if is_needed { self.lease.tick(ctx, out) } else { Time::MAX };
        self.sync_term(ctx.now);
        if self.is_shutting_down && self.term.as_ref().is_none_or(|it| it.pending_orders.is_empty())
        {
            self.lease.release();
        }
        if self.next_plan <= ctx.now {
            self.next_plan = ctx.now + PLAN_PERIOD;
            self.resend_statuses(ctx, out);
            self.plan_loads(ctx);
        }
        self.send_orders(ctx, out);
        next.min(self.next_plan)
    }
}

impl Duty {
    /// Sends no further orders and releases the lease once all orders are answered.
    pub(crate) fn begin_shutdown(&mut self) {
        self.is_shutting_down = true;
    }

    fn update_status(&mut self, ctx: &Context<'_>, status: Status, out: &mut Outbox<'_>) {
        let server = status.server.clone();
        let is_new = self.own_statuses.get(&server).is_none_or(|(it, _)| *it != status);
        let sent_at = self.own_statuses.get(&server).and_then(|it| it.1);
        self.own_statuses
            .insert(server, (status.clone(), if is_new { Some(ctx.now) } else { sent_at }));
        if is_new {
            self.send_statuses(ctx, &[status], out);
        }
    }

    /// Sends the candidates the statuses that are due.
    fn resend_statuses(&mut self, ctx: &Context<'_>, out: &mut Outbox<'_>) {
        let is_kept = |name: &name::Server| {
            let row = ctx.table.servers.get(name);
            row.and_then(|it| ctx.view.keeper(name, &it.centre)).is_some_and(|it| it == ctx.me)
        };
        let mut due = Vec::new();
        self.own_statuses.retain(|name, (status, sent_at)| {
            let is_due = sent_at.is_none_or(|it| it + STATUS_REFRESH_PERIOD <= ctx.now);
            if is_due && !is_kept(name) {
                return false;
            }
            if is_due {
                *sent_at = Some(ctx.now);
                due.push(status.clone());
            }
            true
        });
        for statuses in due.chunks(MAX_STATUSES_PER_MESSAGE) {
            self.send_statuses(ctx, statuses, out);
        }
    }

    fn send_statuses(&mut self, ctx: &Context<'_>, statuses: &[Status], out: &mut Outbox<'_>) {
        for to in &self.candidates {
            if to != ctx.me {
                out.send(to, Message::Statuses(statuses.to_vec()), Delivery::Stream);
            }
        }
        if self.candidates.contains(ctx.me) {
            for status in statuses {
                self.record_status(ctx.now, status.clone());
            }
        }
    }

    fn record_status(&mut self, now: Time, status: Status) {
        let known = self.observations.get(&status.server);
        // A late status of an earlier incarnation is obsolete.
        if known.is_some_and(|it| status.incarnation < it.status.incarnation) {
            return;
        }
        self.observations.insert(status.server.clone(), Observation { status, received_at: now });
    }

    /// Determines the candidates for the lease. When they change, all statuses are sent again.
    fn update_candidates(&mut self, ctx: &Context<'_>) {
        if self.view_generation == ctx.view.generation() {
            return;
        }
        self.view_generation = ctx.view.generation();
        let key = hash::stable(LEASE_NAME.as_bytes());
        let candidates = view::highest_weighted(ctx.view.live_members(), key, MAX_CANDIDATES);
        let candidates = candidates.into_iter().cloned().collect::<Vec<_>>();
        if candidates != self.candidates {
            self.candidates = candidates;
            self.own_statuses.values_mut().for_each(|it| it.1 = None);
        }
    }

    /// Begins or ends the term when the lease was granted or lost.
    fn sync_term(&mut self, now: Time) {
        let grant = self.lease.grant(now);
        let held = self.term.as_ref().map(|it| it.grant.fence);
        if held == grant.map(|it| it.fence) {
            if let (Some(term), Some(grant)) = (&mut self.term, grant) {
                term.grant = grant;
            }
            return;
        }
        let inherited = Handover::decode(self.lease.payload()).loads;
        self.term = grant.map(|grant| Term {
            grant,
            // The loads that the predecessor stored may be in progress, even if it never sent the order.
            loads: inherited
                .into_iter()
                .map(|load| Slot { load, started_at: now, is_ordered: true })
                .collect(),
            pending_orders: BTreeMap::new(),
            retry_at: BTreeMap::new(),
            accepted: Vec::new(),
        });
    }

    /// Removes loads that ended, and stores new ones in the lease's payload.
    fn plan_loads(&mut self, ctx: &Context<'_>) {
        if self.is_shutting_down {
            return;
        }
        let Some(term) = &mut self.term else { return };
        let planner = Planner {
            now: ctx.now,
            table: ctx.table,
            observations: &self.observations,
            demand: &self.demand,
        };
        term.drop_finished(ctx.now, &self.observations);
        for slot in &mut term.loads {
            // When the table has changed, the server loads other weights and keeps its slot.
            if let Some(load) = planner.replacement(&slot.load) {
                slot.load = load;
            }
        }
        term.loads.retain(|it| it.is_ordered || planner.load_order(&it.load).is_some());
        let loads = term.loads.iter().map(|it| it.load.clone()).collect::<Vec<_>>();
        let accepted_tasks = term.accepted.iter().map(|it| it.0.clone()).collect::<Vec<_>>();
        for load in
            planner.next_loads(&loads, &accepted_tasks, |server| term.may_order(ctx, server))
        {
            term.loads.push(Slot { load, started_at: ctx.now, is_ordered: false });
        }
        let loads = term.loads.iter().map(|it| it.load.clone()).collect();
        self.lease.set_payload(Handover { loads }.encode());
    }

    /// Sends the orders that may be sent now.
    fn send_orders(&mut self, ctx: &Context<'_>, out: &mut Outbox<'_>) {
        // The term may have ended since the plan was made: an order after its end would show as two
        // fencing tokens in one server's log. The lease decides by this process's clock alone.
        let Some(grant) = self.lease.grant(ctx.now).filter(|_| !self.is_shutting_down) else {
            return;
        };
        let Some(term) = &mut self.term else { return };
        let stored = Handover::decode(self.lease.payload()).loads;
        let planner = Planner {
            now: ctx.now,
            table: ctx.table,
            observations: &self.observations,
            demand: &self.demand,
        };
        let accepted_tasks = term.accepted.iter().map(|it| it.0.clone()).collect::<Vec<_>>();
        let mut orders = Vec::new();
        for slot in &term.loads {
            // Only loads that are certainly stored are ordered. A successor wouldn't know of any other,
            // and one more server would load at once than allowed.
            if stored.contains(&slot.load) && !accepted_tasks.contains(&slot.load.task()) {
                orders.extend(planner.load_order(&slot.load));
            }
        }
        orders.extend(planner.role_and_drain_orders(&accepted_tasks));
        for order in orders {
            if !term.may_order(ctx, &order.server) {
                continue;
            }
            self.last_number += 1;
            let (number, fence, until) = (self.last_number, grant.fence, grant.until);
            let order = Order { number, fence, until, ..order };
            term.mark_ordered(&order);
            out.push(Action::Duty(Output::Order(Box::new(order))));
        }
    }

    fn handle_answer(&mut self, ctx: &Context<'_>, number: u64, answer: Answer) {
        let Some(term) = &mut self.term else { return };
        let Some(order) = term.pending_orders.remove(&number) else { return };
        match answer {
            Answer::Accepted => term.accepted.push((order.task(), ctx.now)),
            Answer::Rejected => {
                term.loads.retain(|it| it.load.task() != order.task());
                term.retry_at.insert(order.server, ctx.now + RETRY_DELAY);
            }
            // It may have been accepted: a load keeps its slot, and the order is sent again.
            Answer::Unknown => {
                term.retry_at.insert(order.server, ctx.now + RETRY_DELAY);
            }
            // Another instance holds the lease with a newer token.
            Answer::Fenced => {
                self.term = None;
                self.lease.mark_lost();
            }
        }
    }
}

impl Term {
    fn mark_ordered(&mut self, order: &Order) {
        for slot in self.loads.iter_mut().filter(|it| it.load.task() == order.task()) {
            slot.is_ordered = true;
        }
        self.pending_orders.insert(order.number, order.clone());
    }

    /// Removes loads that have ended according to `observations` or have timed out, and tasks that were
    /// accepted too long ago or by an earlier incarnation.
    fn drop_finished(&mut self, now: Time, observations: &BTreeMap<name::Server, Observation>) {
        let status = |server: &name::Server| observations.get(server).map(|it| &it.status);
        let accepted = &self.accepted;
        self.loads.retain(|it| {
            let is_over = it.started_at + LOAD_TIMEOUT <= now;
            let is_accepted = accepted.iter().any(|(task, _)| *task == it.load.task());
            let has_ended = |status| it.load.has_ended(status, is_accepted);
            !is_over && !status(&it.load.server).is_some_and(has_ended)
        });
        self.accepted.retain(|(task, at)| {
            let is_old = status(&task.server).is_some_and(|it| task.incarnation < it.incarnation);
            now < *at + LOAD_TIMEOUT && !is_old
        });
    }

    /// Whether an order may be sent to `server` now.
    fn may_order(&self, ctx: &Context<'_>, server: &name::Server) -> bool {
        let Some(row) = ctx.table.servers.get(server) else { return false };
        let is_pending = self.pending_orders.values().any(|it| it.server == *server);
        let is_delayed = self.retry_at.get(server).is_some_and(|until| ctx.now < *until);
        // An order of the predecessor may still arrive at a server that doesn't check tokens, and undo
        // a newer one. Waiting prevents this as long as no order takes longer than
        // `MAX_ORDER_DELAY`.
        let is_waiting = !row.checks_fence && ctx.now < self.grant.granted_at + MAX_ORDER_DELAY;
        !is_pending && !is_delayed && !is_waiting
    }
}
