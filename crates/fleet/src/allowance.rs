//! Limits over all instances, by expiring allowances.
//!
//! Each instance *owns* an equal share of every limit: one part in [`Input::Slots`], the most
//! instances that may ever run at once. Nothing else creates capacity, so the sum cannot exceed the
//! limit, whatever crashes, is cut off or lost. What an owner doesn't use it lends for
//! [`LOAN`] to the limit's home, which grants it for [`GRANT`] to instances that want more. Every
//! step is safe by its clock: who gives counts from when it answered, who takes counts from when it
//! asked, each on its own clock, the giver a margin longer. No call to the platform is made, so an
//! outage of it changes nothing. Only limits with demand cost anything.
//!
//! [`RESERVE`] of the own share is never lent: it is what an instance falls back to when its
//! allowance has ended without word from anybody.
//!
//! How to use it: hand [`Input::Slots`] over once, from the settings, and [`Input::Demand`] several
//! times a second. Each [`Output::Allow`] replaces the one before for its scope. Past its end the
//! instance may use [`RESERVE`] of its even share, and no more.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};
use shallotlead_base::{hash, id::Incarnation, name, store::Reply, time::Time};
use shallotlead_table::{limit::Limits, snapshot::Snapshot};

use crate::{
    allowance::{account::Account, amount::Amount, broker::Broker},
    class::Class,
    context::Context,
    node::Action,
    outbox::Outbox,
    part::Part,
    view::State,
};

pub(crate) mod account;
pub mod amount;
pub(crate) mod broker;

#[cfg(test)]
mod tests;

/// Part of each own share that is never lent.
pub const RESERVE: f64 = 0.2;
/// How long a loan lasts for the home, from when it asked.
pub const LOAN: Duration = Duration::from_secs(10);
/// How long a grant lasts for its taker, from when it asked.
pub const GRANT: Duration = Duration::from_millis(2200);
/// Time between two questions of an instance that wants more.
pub const RENEW: Duration = Duration::from_millis(750);
/// How long a new instance lends and uses nothing of the lendable part, so that all others have
/// counted it and the loans of its life before have ended.
pub const JOIN_WAIT: Duration = Duration::from_secs(15);

/// Demand older than this is none.
const DEMAND_LIFE: Duration = Duration::from_secs(1);
/// Shortest time between two runs over all accounts.
const PERIOD: Duration = Duration::from_millis(100);

/// `duration` as counted by who gives: longer, as clocks drift apart.
pub(crate) fn giver(duration: Duration) -> Duration {
    duration + duration / 20
}

/// What a limit is for.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Scope {
    /// One organisation.
    Organisation(name::Organisation),
    /// One model.
    Model(name::Model),
    /// One backend server.
    Server(name::Server),
}

impl Scope {
    /// The limits of this scope's row.
    fn limits(&self, table: &Snapshot) -> Limits {
        let limits = match self {
            Scope::Organisation(it) => table.organisations.get(it).map(|it| it.limits),
            Scope::Model(it) => table.models.get(it).map(|it| it.limits),
            Scope::Server(it) => table.servers.get(it).map(|it| it.limits),
        };
        limits.unwrap_or_default()
    }

    fn hash(&self) -> u64 {
        let (kind, name) = match self {
            Scope::Organisation(it) => (1, it.as_str()),
            Scope::Model(it) => (2, it.as_str()),
            Scope::Server(it) => (3, it.as_str()),
        };
        hash::seeded(name.as_bytes(), kind)
    }
}

/// What peers tell each other.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// To the home: I want this much beyond my own share, and use no more than that from now on.
    Want {
        /// The limit.
        scope: Scope,
        /// The asker's life.
        incarnation: Incarnation,
        /// Number of the question, growing within a life.
        number: u64,
        /// How much.
        amount: Amount,
    },
    /// From the home: use this much until [`GRANT`] after you asked.
    Grant {
        /// The limit.
        scope: Scope,
        /// The asker's life.
        incarnation: Incarnation,
        /// Number of the question.
        number: u64,
        /// How much.
        amount: Amount,
    },
    /// From the home: lend me what you don't use.
    Ask {
        /// The limit.
        scope: Scope,
        /// The home's life.
        incarnation: Incarnation,
        /// Number of the question, growing within a life.
        number: u64,
    },
    /// From the home: all that you lent up to this question is yours again.
    Return {
        /// The limit.
        scope: Scope,
        /// The home's life.
        incarnation: Incarnation,
        /// Number of the last question.
        number: u64,
    },
    /// To the home: use this much until [`LOAN`] after you asked, in place of what I lent before.
    Lend {
        /// The limit.
        scope: Scope,
        /// The home's life.
        incarnation: Incarnation,
        /// Number of the question.
        number: u64,
        /// How much.
        amount: Amount,
    },
}

/// What this instance could use of a limit.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// The limit.
    pub scope: Scope,
    /// Requests a second.
    pub requests_per_second: f64,
    /// Tokens a minute.
    pub tokens_per_minute: f64,
    /// Requests at once.
    pub concurrency: u32,
}

/// What the daemon tells.
#[derive(Clone, Debug)]
pub enum Input {
    /// The most entry instances that may run at once; more of them own nothing.
    Slots(u32),
    /// What this instance could use of each limit in use.
    Demand(Vec<Demand>),
}

/// A share of a limit that this instance may use until it ends.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    /// The limit.
    pub scope: Scope,
    /// Requests a second; `None` where the row sets no limit.
    pub requests_per_second: Option<f64>,
    /// Tokens a minute.
    pub tokens_per_minute: Option<f64>,
    /// Requests at once.
    pub concurrency: Option<u32>,
    /// When it ends, on this process's clock.
    pub until: Time,
}

/// What the daemon is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Replaces the allowance of the same scope.
    Allow(Share),
}

/// State of this part.
#[derive(Debug, Default)]
pub struct Allowance {
    slots: u32,
    /// Most members that were known at once.
    peak: u32,
    generation: u64,
    /// Whether this instance is among the first [`Input::Slots`] by name.
    has_slot: bool,
    opened: Option<Time>,
    number: u64,
    accounts: BTreeMap<Scope, Account>,
    brokers: BTreeMap<Scope, Broker>,
    next: Time,
}

impl Part for Allowance {
    type Input = Input;
    type Message = Message;

    fn handle(&mut self, ctx: &Context<'_>, input: Input, _out: &mut Outbox<'_>) {
        match input {
            Input::Slots(slots) => {
                self.slots = slots;
                self.generation = 0;
            }
            Input::Demand(demands) => {
                for it in demands {
                    let amount = Amount::wanted(&it);
                    let account = self.accounts.entry(it.scope).or_default();
                    // What wasn't wanted before shouldn't wait for the next round.
                    if account.demand(ctx.now, amount) {
                        self.next = ctx.now;
                    }
                }
            }
        }
    }

    fn message(
        &mut self,
        ctx: &Context<'_>,
        from: &name::Instance,
        message: Message,
        out: &mut Outbox<'_>,
    ) {
        match message {
            Message::Want { scope, incarnation, number, amount } => {
                let broker = self.brokers.entry(scope.clone()).or_default();
                broker.want(ctx.now, from, (incarnation, number), amount);
                self.serve(ctx, &scope, out);
            }
            Message::Ask { scope, incarnation, number } => {
                let own = self.own(ctx, &scope);
                let account = self.accounts.entry(scope.clone()).or_default();
                let lent = account.lend(ctx.now, from, (incarnation, number), own.lendable);
                if let Some(amount) = lent {
                    let scope = scope.clone();
                    let message = Message::Lend { scope, incarnation, number, amount };
                    out.send(from, message, Class::Datagram);
                }
                self.allow(ctx, &scope, out);
            }
            Message::Return { scope, incarnation, number } => {
                if let Some(account) = self.accounts.get_mut(&scope) {
                    account.returned(from, (incarnation, number));
                }
            }
            // Guards against an answer to this instance's earlier life, which counted its questions
            // from the same start. It shows as a share used twice. The life in the answer holds.
            Message::Lend { incarnation, .. } | Message::Grant { incarnation, .. }
                if ctx.incarnation() != Some(incarnation) => {}
            Message::Lend { scope, number, amount, .. } => {
                let Some(broker) = self.brokers.get_mut(&scope) else { return };
                broker.lend(from, number, amount);
                self.serve(ctx, &scope, out);
            }
            Message::Grant { scope, number, amount, .. } => {
                let Some(account) = self.accounts.get_mut(&scope) else { return };
                account.grant(ctx.now, number, amount);
                self.allow(ctx, &scope, out);
            }
        }
    }

    fn reply(&mut self, _ctx: &Context<'_>, _number: u64, _reply: Reply, _out: &mut Outbox<'_>) {}

    fn tick(&mut self, ctx: &Context<'_>, out: &mut Outbox<'_>) -> Time {
        self.opened.get_or_insert(ctx.now);
        if self.generation != ctx.view.generation() {
            self.generation = ctx.view.generation();
            self.count(ctx);
        }
        if ctx.now < self.next {
            return if self.is_idle() { Time::MAX } else { self.next };
        }
        self.next = ctx.now + PERIOD;
        for scope in self.accounts.keys().cloned().collect::<Vec<_>>() {
            self.want(ctx, &scope, out);
            self.allow(ctx, &scope, out);
        }
        self.accounts.retain(|_, it| !it.is_over(ctx.now));
        for scope in self.brokers.keys().cloned().collect::<Vec<_>>() {
            self.serve(ctx, &scope, out);
        }
        self.close(ctx, out);
        if self.is_idle() { Time::MAX } else { self.next }
    }
}

/// What this instance owns of a limit.
#[derive(Clone, Copy, Debug, Default)]
struct Own {
    reserve: Amount,
    lendable: Amount,
}

impl Allowance {
    fn is_idle(&self) -> bool {
        self.accounts.is_empty() && self.brokers.is_empty()
    }

    /// Counts the members: the shares get smaller at once when there are more, and never larger
    /// again, as a member that seems gone may only be cut off.
    fn count(&mut self, ctx: &Context<'_>) {
        let members = ctx.view.entries().iter().filter(|it| it.state < State::Dead);
        let before = members.clone().filter(|it| it.member.name < *ctx.me).count();
        self.peak = self.peak.max(u32::try_from(members.count()).unwrap_or(u32::MAX));
        // Guards against more instances than slots: their shares would sum up to more than the
        // limit. It shows as limits overrun while an operator scales out. The order of the names
        // holds, as each instance decides about itself alone and at most that many are first.
        self.has_slot = self.slots == 0 || before < self.slots as usize;
    }

    /// Parts that each limit is divided into.
    fn parts(&self) -> u64 {
        match self.slots {
            0 => self.peak.max(1).into(),
            slots => slots.into(),
        }
    }

    fn own(&self, ctx: &Context<'_>, scope: &Scope) -> Own {
        // Guards against a share that is counted before the others have made room for it. It shows
        // as limits overrun while instances join. The wait holds while gossip is faster than it.
        let joined = self.opened.is_some_and(|it| it + JOIN_WAIT <= ctx.now);
        if !self.has_slot || !joined && self.slots == 0 {
            return Own::default();
        }
        let share = Amount::limit(&scope.limits(ctx.table)).divide(self.parts());
        let reserve = share.scale(RESERVE);
        let lendable = if joined { share.minus(reserve) } else { Amount::default() };
        Own { reserve, lendable }
    }

    /// Asks the home for more, where the own share doesn't do.
    fn want(&mut self, ctx: &Context<'_>, scope: &Scope, out: &mut Outbox<'_>) {
        let limit = Amount::limit(&scope.limits(ctx.table));
        let own = self.own(ctx, scope);
        let Some(account) = self.accounts.get_mut(scope) else { return };
        let Some(amount) = account.wants(ctx.now, own.reserve, own.lendable, limit) else { return };
        let Some(home) = ctx.view.global_owner(scope.hash()) else { return };
        let Some(incarnation) = ctx.incarnation() else { return };
        self.number += 1;
        let number = self.number;
        account.asked(ctx.now, number, amount);
        let message = Message::Want { scope: scope.clone(), incarnation, number, amount };
        out.send(home, message, Class::Datagram);
    }

    /// Tells the daemon what it may use, when that has changed or ends soon.
    fn allow(&mut self, ctx: &Context<'_>, scope: &Scope, out: &mut Outbox<'_>) {
        let limits = scope.limits(ctx.table);
        let own = self.own(ctx, scope);
        let Some(account) = self.accounts.get_mut(scope) else { return };
        let Some((amount, until)) = account.allow(ctx.now, own.reserve, own.lendable) else {
            return;
        };
        let share = amount.share(scope.clone(), &limits, until);
        out.push(Action::Allowance(Output::Allow(share)));
    }

    /// Grants what is in the pool of one limit and asks for more, as its home.
    fn serve(&mut self, ctx: &Context<'_>, scope: &Scope, out: &mut Outbox<'_>) {
        let share = Amount::limit(&scope.limits(ctx.table)).divide(self.parts());
        let lendable = share.minus(share.scale(RESERVE));
        let Some(broker) = self.brokers.get_mut(scope) else { return };
        for grant in broker.grants(ctx.now) {
            let ((incarnation, number), amount) = (grant.question, grant.amount);
            let message = Message::Grant { scope: scope.clone(), incarnation, number, amount };
            out.send(&grant.to, message, Class::Datagram);
        }
        let Some(incarnation) = ctx.incarnation() else { return };
        for lender in broker.lenders(ctx.now, lendable, ctx.view, scope.hash()) {
            self.number += 1;
            let number = self.number;
            broker.asked(ctx.now, &lender, number);
            let message = Message::Ask { scope: scope.clone(), incarnation, number };
            out.send(&lender, message, Class::Datagram);
        }
    }

    /// Gives the loans back of limits that nobody wants from this home any more.
    fn close(&mut self, ctx: &Context<'_>, out: &mut Outbox<'_>) {
        let Some(incarnation) = ctx.incarnation() else { return };
        let number = self.number;
        self.brokers.retain(|scope, broker| {
            let is_over = broker.is_over(ctx.now);
            for lender in broker.lent(ctx.now).filter(|_| is_over) {
                let message = Message::Return { scope: scope.clone(), incarnation, number };
                out.send(lender, message, Class::Datagram);
            }
            !is_over
        });
    }
}
