//! What one instance does for all: weights, adapters, roles and draining of backend servers.
//!
//! The instance that holds the lease `duty` plans ([`planner`]) and orders. Each order carries the
//! lease's fencing token. Loads are written into the lease's note *before* they are ordered, so
//! that a successor knows what the store is busy with, and never more servers load at once than the
//! models' `load_concurrency` allows.
//!
//! Towards servers that don't check the token, a successor first waits out [`ORDER_LIFE`], the
//! longest time that an order of its predecessor may still be under way. Towards those that do, the
//! server itself refuses the predecessor.
//!
//! How to use it: hand [`Input::Status`] over for each server that this instance keeps, whenever
//! its health was read; it is passed on to those that may hold the lease. Hand over
//! [`Input::Demand`] every few seconds. Carry out [`Output::Order`]: compare [`order::Order::until`]
//! with the clock right before the bytes are sent, give up after [`ORDER_TIMEOUT`], and answer with
//! [`Input::Answered`] in any case. Log the order with its reason.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};
use shallotlead_base::{hash, name, store::Reply, time::Time};

use crate::{
    class::Class,
    context::Context,
    duty::{
        note::{Load, Note},
        order::{Answer, Done, Order},
        planner::{Demand, Plan},
        status::{Known, Status},
    },
    lease::{CANDIDATES, Grant, Lease},
    node::Action,
    outbox::Outbox,
    part::Part,
    view,
};

pub(crate) mod note;
pub mod order;
pub mod planner;
pub mod status;

#[cfg(test)]
mod tests;

/// Name of the lease.
pub const LEASE: &str = "duty";
/// How long the daemon may try to send an order and wait for its answer.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(5);
/// How long after the end of its sender's term an order may still take effect.
pub const ORDER_LIFE: Duration = Duration::from_secs(15);
/// How long a load counts against the store when nothing is heard of it.
pub const LOAD_LIFE: Duration = Duration::from_secs(1800);

/// Time between two plans.
const PERIOD: Duration = Duration::from_secs(1);
/// A status is told again after this long, though nothing changed.
const REFRESH: Duration = Duration::from_secs(60);
/// Pause before a server is ordered again after a refusal or without an answer.
const RETRY: Duration = Duration::from_secs(10);
/// Statuses in one message.
const MAX_REPORT: usize = 200;

/// What peers tell each other.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// To those that may hold the lease: what I know of the servers that I keep.
    Report(Vec<Status>),
}

/// What the daemon tells.
#[derive(Clone, Debug)]
pub enum Input {
    /// What a health check found.
    Status(Status),
    /// What callers want, over all instances.
    Demand(Vec<Demand>),
    /// What became of an order.
    Answered {
        /// Number of the order.
        number: u64,
        /// What became of it.
        answer: Answer,
    },
}

/// What the daemon is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Give this order.
    Order(Box<Order>),
}

/// State of this part.
#[derive(Debug)]
pub struct Duty {
    lease: Lease,
    /// What this instance keeps, and when it was told last.
    own: BTreeMap<name::Server, (Status, Option<Time>)>,
    candidates: Vec<name::Instance>,
    generation: u64,
    known: BTreeMap<name::Server, Known>,
    demand: Vec<Demand>,
    term: Option<Term>,
    number: u64,
    closing: bool,
    next: Time,
}

/// What is kept while the lease is held.
#[derive(Debug)]
struct Term {
    grant: Grant,
    loads: Vec<Slot>,
    /// Orders without an answer.
    open: BTreeMap<u64, Order>,
    /// Servers that are left alone until then.
    rest: BTreeMap<name::Server, Time>,
    /// What the servers have accepted under this grant, and when.
    accepted: Vec<(Done, Time)>,
}

/// A load that counts against the weight store.
#[derive(Debug)]
struct Slot {
    load: Load,
    since: Time,
    /// It may have been ordered.
    sent: bool,
}

impl Default for Duty {
    fn default() -> Self {
        Self {
            lease: Lease::open(LEASE),
            own: BTreeMap::new(),
            candidates: Vec::new(),
            generation: 0,
            known: BTreeMap::new(),
            demand: Vec::new(),
            term: None,
            number: 0,
            closing: false,
            next: Time::ZERO,
        }
    }
}

impl Part for Duty {
    type Input = Input;
    type Message = Message;

    fn handle(&mut self, ctx: &Context<'_>, input: Input, out: &mut Outbox<'_>) {
        match input {
            Input::Status(status) => self.status(ctx, status, out),
            Input::Demand(demand) => self.demand = demand,
            Input::Answered { number, answer } => self.answered(ctx, number, answer),
        }
    }

    fn message(
        &mut self,
        ctx: &Context<'_>,
        _from: &name::Instance,
        message: Message,
        _out: &mut Outbox<'_>,
    ) {
        let Message::Report(statuses) = message;
        for status in statuses {
            self.learn(ctx.now, status);
        }
    }

    fn reply(&mut self, ctx: &Context<'_>, number: u64, reply: Reply, _out: &mut Outbox<'_>) {
        self.lease.reply(ctx, number, &reply);
    }

    fn tick(&mut self, ctx: &Context<'_>, out: &mut Outbox<'_>) -> Time {
        self.find_candidates(ctx);
        // Without servers there is nothing to do, and nobody needs to hold the lease.
        let is_needed = !ctx.table.servers.is_empty() || self.term.is_some();
        let next = if is_needed { self.lease.tick(ctx, out) } else { Time::MAX };
        self.take_up(ctx.now);
        if self.closing && self.term.as_ref().is_none_or(|it| it.open.is_empty()) {
            self.lease.release();
        }
        if self.next <= ctx.now {
            self.next = ctx.now + PERIOD;
            self.refresh(ctx, out);
            self.plan(ctx);
        }
        self.order(ctx, out);
        next.min(self.next)
    }
}

impl Duty {
    /// Gives the duty up once all orders are answered: this instance shuts down.
    pub(crate) fn close(&mut self) {
        self.closing = true;
    }

    fn status(&mut self, ctx: &Context<'_>, status: Status, out: &mut Outbox<'_>) {
        let server = status.server.clone();
        let is_new = self.own.get(&server).is_none_or(|(it, _)| *it != status);
        let told = self.own.get(&server).and_then(|it| it.1);
        self.own.insert(server, (status.clone(), if is_new { Some(ctx.now) } else { told }));
        if is_new {
            self.report(ctx, &[status], out);
        }
    }

    /// Tells those that may hold the lease what is due.
    fn refresh(&mut self, ctx: &Context<'_>, out: &mut Outbox<'_>) {
        let is_kept = |name: &name::Server| {
            let row = ctx.table.servers.get(name);
            row.and_then(|it| ctx.view.keeper(name, &it.centre)).is_some_and(|it| it == ctx.me)
        };
        let mut due = Vec::new();
        self.own.retain(|name, (status, told)| {
            let is_due = told.is_none_or(|it| it + REFRESH <= ctx.now);
            if is_due && !is_kept(name) {
                return false;
            }
            if is_due {
                *told = Some(ctx.now);
                due.push(status.clone());
            }
            true
        });
        for statuses in due.chunks(MAX_REPORT) {
            self.report(ctx, statuses, out);
        }
    }

    fn report(&mut self, ctx: &Context<'_>, statuses: &[Status], out: &mut Outbox<'_>) {
        for to in &self.candidates {
            if to != ctx.me {
                out.send(to, Message::Report(statuses.to_vec()), Class::Stream);
            }
        }
        if self.candidates.contains(ctx.me) {
            for status in statuses {
                self.learn(ctx.now, status.clone());
            }
        }
    }

    fn learn(&mut self, now: Time, status: Status) {
        let known = self.known.get(&status.server);
        // A late report of an earlier life says nothing.
        if known.is_some_and(|it| status.incarnation < it.status.incarnation) {
            return;
        }
        self.known.insert(status.server.clone(), Known { status, at: now });
    }

    /// Finds who may hold the lease. New ones are told everything.
    fn find_candidates(&mut self, ctx: &Context<'_>) {
        if self.generation == ctx.view.generation() {
            return;
        }
        self.generation = ctx.view.generation();
        let key = hash::stable(LEASE.as_bytes());
        let candidates = view::highest_weighted(ctx.view.live_members(), key, CANDIDATES);
        let candidates = candidates.into_iter().cloned().collect::<Vec<_>>();
        if candidates != self.candidates {
            self.candidates = candidates;
            self.own.values_mut().for_each(|it| it.1 = None);
        }
    }

    /// Begins or ends a term as the lease says.
    fn take_up(&mut self, now: Time) {
        let grant = self.lease.grant(now);
        let held = self.term.as_ref().map(|it| it.grant.fence);
        if held == grant.map(|it| it.fence) {
            if let (Some(term), Some(grant)) = (&mut self.term, grant) {
                term.grant = grant;
            }
            return;
        }
        let inherited = Note::decode(self.lease.note()).loads;
        self.term = grant.map(|grant| Term {
            grant,
            // What the predecessor noted may be under way, also where it never sent the order.
            loads: inherited
                .into_iter()
                .map(|load| Slot { load, since: now, sent: true })
                .collect(),
            open: BTreeMap::new(),
            rest: BTreeMap::new(),
            accepted: Vec::new(),
        });
    }

    /// Takes loads off that ended, and puts new ones into the lease's note.
    fn plan(&mut self, ctx: &Context<'_>) {
        if self.closing {
            return;
        }
        let Some(term) = &mut self.term else { return };
        let plan =
            Plan { now: ctx.now, table: ctx.table, known: &self.known, demand: &self.demand };
        term.forget(ctx.now, &self.known);
        for slot in &mut term.loads {
            // The table has changed since: the same server loads something else, in the same slot.
            if let Some(load) = plan.replaced(&slot.load) {
                slot.load = load;
            }
        }
        term.loads.retain(|it| it.sent || plan.load_order(&it.load).is_some());
        let loads = term.loads.iter().map(|it| it.load.clone()).collect::<Vec<_>>();
        let done = term.accepted.iter().map(|it| it.0.clone()).collect::<Vec<_>>();
        for load in plan.loads(&loads, &done, |server| term.may_order(ctx, server)) {
            term.loads.push(Slot { load, since: ctx.now, sent: false });
        }
        let loads = term.loads.iter().map(|it| it.load.clone()).collect();
        self.lease.keep(Note { loads }.encode());
    }

    /// Gives the orders that may be given now.
    fn order(&mut self, ctx: &Context<'_>, out: &mut Outbox<'_>) {
        // Guards against a term that ended since the plan was made. It shows as two fencing tokens
        // in one server's log. The lease answers by this process's clock alone.
        let Some(grant) = self.lease.grant(ctx.now).filter(|_| !self.closing) else { return };
        let Some(term) = &mut self.term else { return };
        let noted = Note::decode(self.lease.note()).loads;
        let plan =
            Plan { now: ctx.now, table: ctx.table, known: &self.known, demand: &self.demand };
        let done = term.accepted.iter().map(|it| it.0.clone()).collect::<Vec<_>>();
        let mut orders = Vec::new();
        for slot in &term.loads {
            // Guards against a load that a successor doesn't know of. It shows as one more load at
            // once than allowed. Only what is stored for certain is ordered.
            if noted.contains(&slot.load) && !done.contains(&slot.load.done()) {
                orders.extend(plan.load_order(&slot.load));
            }
        }
        orders.extend(plan.roles_and_drains(&done));
        for order in orders {
            if !term.may_order(ctx, &order.server) {
                continue;
            }
            self.number += 1;
            let (number, fence, until) = (self.number, grant.fence, grant.until);
            let order = Order { number, fence, until, ..order };
            term.sent(&order);
            out.push(Action::Duty(Output::Order(Box::new(order))));
        }
    }

    fn answered(&mut self, ctx: &Context<'_>, number: u64, answer: Answer) {
        let Some(term) = &mut self.term else { return };
        let Some(order) = term.open.remove(&number) else { return };
        match answer {
            Answer::Accepted => term.accepted.push((order.done(), ctx.now)),
            Answer::Rejected => {
                term.loads.retain(|it| it.load.done() != order.done());
                term.rest.insert(order.server, ctx.now + RETRY);
            }
            // It may have been taken: a load goes on counting, and the order is given again.
            Answer::Unknown => {
                term.rest.insert(order.server, ctx.now + RETRY);
            }
            // Another instance holds the lease by a newer token.
            Answer::Fenced => {
                self.term = None;
                self.lease.lose();
            }
        }
    }
}

impl Term {
    fn sent(&mut self, order: &Order) {
        for slot in self.loads.iter_mut().filter(|it| it.load.done() == order.done()) {
            slot.sent = true;
        }
        self.open.insert(order.number, order.clone());
    }

    /// Takes off what ended: loads that `known` shows to be done, and what was accepted too long
    /// ago or by an earlier life.
    fn forget(&mut self, now: Time, known: &BTreeMap<name::Server, Known>) {
        let status = |server: &name::Server| known.get(server).map(|it| &it.status);
        let accepted = &self.accepted;
        self.loads.retain(|it| {
            let is_over = it.since + LOAD_LIFE <= now;
            let is_taken = accepted.iter().any(|(done, _)| *done == it.load.done());
            let has_ended = |status| it.load.has_ended(status, is_taken);
            !is_over && !status(&it.load.server).is_some_and(has_ended)
        });
        self.accepted.retain(|(done, at)| {
            let is_old = status(&done.server).is_some_and(|it| done.incarnation < it.incarnation);
            now < *at + LOAD_LIFE && !is_old
        });
    }

    /// Whether `server` may be given an order now.
    fn may_order(&self, ctx: &Context<'_>, server: &name::Server) -> bool {
        let Some(row) = ctx.table.servers.get(server) else { return false };
        let is_open = self.open.values().any(|it| it.server == *server);
        let rests = self.rest.get(server).is_some_and(|until| ctx.now < *until);
        // Guards against an order of the predecessor that is still under way to a server that
        // doesn't check tokens. It shows as an old order undoing a newer one. Waiting holds as long
        // as no order takes longer than that.
        let waits = !row.checks_fence && ctx.now < self.grant.since + ORDER_LIFE;
        !is_open && !rests && !waits
    }
}
