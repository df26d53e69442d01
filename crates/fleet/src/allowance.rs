//! Distributes limits over all instances, by allowances that expire.
//!
//! Each instance *owns* an equal share of every limit: the limit divided by
//! [`Input::MaxInstances`], the most instances that may ever run at once. Shares are the only source
//! of capacity, so their sum cannot exceed the limit, even when instances crash, the network is
//! partitioned or messages are lost. An instance lends the unused part of its share for
//! [`LOAN_TERM`] to the limit's broker, the instance that rendezvous hashing selects. The broker
//! grants it for [`GRANT_TERM`] to instances that need more than their own share.
//!
//! Terms are safe without synchronized clocks: the giving side counts from its answer, the receiving
//! side from its own, earlier request, each on its monotonic clock, and the giving side adds a margin
//! for clock drift. No call to the platform is made, so its outages have no effect. Limits without
//! demand cause no messages.
//!
//! An instance never lends [`RESERVED_FRACTION`] of its share, so that it can still use that part
//! when its allowance expires and no other instance answers.
//!
//! Usage: pass [`Input::MaxInstances`] once, from the settings, and [`Input::Demand`] several times a
//! second. Each [`Output::Allow`] replaces the previous one for its scope. Once it has expired, the
//! instance may use only [`RESERVED_FRACTION`] of its equal share.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};
use shallotlead_base::{hash, id::Incarnation, name, store::Reply, time::Time};
use shallotlead_table::{limit::Limits, snapshot::Snapshot};

use crate::{
    allowance::{account::Account, amount::Amount, broker::Broker},
    component::Component,
    context::Context,
    delivery::Delivery,
    node::Action,
    outbox::Outbox,
    view::State,
};

pub(crate) mod account;
pub mod amount;
pub(crate) mod broker;

#[cfg(test)]
mod tests;

/// Fraction of an instance's own share that it never lends.
pub const RESERVED_FRACTION: f64 = 0.2;
/// How long the broker may use a loan, counted from its request.
pub const LOAN_TERM: Duration = Duration::from_secs(10);
/// How long a borrower may use a grant, counted from its request.
pub const GRANT_TERM: Duration = Duration::from_millis(2200);
/// Time between the grant requests of an instance that needs more than its share.
pub const RENEWAL_PERIOD: Duration = Duration::from_millis(750);
/// How long after its start an instance neither lends nor uses the lendable part of its share, so
/// that all others have counted it and the loans of its previous incarnation have expired.
pub const JOIN_WAIT: Duration = Duration::from_secs(15);

/// Demand older than this counts as zero.
const DEMAND_TTL: Duration = Duration::from_secs(1);
/// Shortest time between two updates of all accounts.
const UPDATE_PERIOD: Duration = Duration::from_millis(100);

/// `duration` as the giving side counts it: 5% longer, to allow for clock drift.
pub(crate) fn with_drift_margin(duration: Duration) -> Duration {
    duration + duration / 20
}

/// What a limit applies to.
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
    /// The limits that `table` sets for this scope.
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

/// A message between instances.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// To the broker: requests this much beyond the sender's own share. From now on the sender uses no
    /// more than that.
    GrantRequest {
        /// The limit.
        scope: Scope,
        /// The requester's incarnation.
        incarnation: Incarnation,
        /// Number of the request, increasing within an incarnation.
        number: u64,
        /// How much.
        amount: Amount,
    },
    /// From the broker: the receiver may use this much until [`GRANT_TERM`] after its request.
    Grant {
        /// The limit.
        scope: Scope,
        /// The requester's incarnation.
        incarnation: Incarnation,
        /// Number of the request.
        number: u64,
        /// How much.
        amount: Amount,
    },
    /// From the broker: requests a loan of the unused part of the receiver's share.
    LoanRequest {
        /// The limit.
        scope: Scope,
        /// The broker's incarnation.
        incarnation: Incarnation,
        /// Number of the request, increasing within an incarnation.
        number: u64,
    },
    /// From the broker: gives back everything that was lent up to this request.
    LoanReturn {
        /// The limit.
        scope: Scope,
        /// The broker's incarnation.
        incarnation: Incarnation,
        /// Number of the last request.
        number: u64,
    },
    /// To the broker: it may use this much until [`LOAN_TERM`] after its request, in place of earlier
    /// loans.
    Loan {
        /// The limit.
        scope: Scope,
        /// The broker's incarnation.
        incarnation: Incarnation,
        /// Number of the request.
        number: u64,
        /// How much.
        amount: Amount,
    },
}

/// How much of a limit this instance could use.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// The limit.
    pub scope: Scope,
    /// Requests a second.
    pub requests_per_second: f64,
    /// Tokens a minute.
    pub tokens_per_minute: f64,
    /// Concurrent requests.
    pub concurrency: u32,
}

/// An input from the daemon.
#[derive(Clone, Debug)]
pub enum Input {
    /// The most entry instances that may run at once; any beyond that own no share.
    MaxInstances(u32),
    /// How much this instance could use of each limit that has demand.
    Demand(Vec<Demand>),
}

/// A part of a limit that this instance may use until a point in time.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    /// The limit.
    pub scope: Scope,
    /// Requests a second; `None` when the table sets no limit.
    pub requests_per_second: Option<f64>,
    /// Tokens a minute; `None` when the table sets no limit.
    pub tokens_per_minute: Option<f64>,
    /// Concurrent requests; `None` when the table sets no limit.
    pub concurrency: Option<u32>,
    /// When it expires, on this process's clock.
    pub until: Time,
}

/// An output to the daemon.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Replaces the allowance of the same scope.
    Allow(Share),
}

/// Shares, loans and grants as this instance knows them.
#[derive(Debug, Default)]
pub struct Allowance {
    max_instances: u32,
    /// The most members that were known at the same time.
    most_members: u32,
    view_generation: u64,
    /// Whether this instance is among the first [`Input::MaxInstances`] by name.
    has_share: bool,
    started_at: Option<Time>,
    last_number: u64,
    accounts: BTreeMap<Scope, Account>,
    brokers: BTreeMap<Scope, Broker>,
    next_update: Time,
}

impl Component for Allowance {
    type Input = Input;
    type Message = Message;

    fn handle(&mut self, ctx: &Context<'_>, input: Input, _out: &mut Outbox<'_>) {
        match input {
            Input::MaxInstances(max_instances) => {
                self.max_instances = max_instances;
                self.view_generation = 0;
            }
            Input::Demand(demands) => {
                for it in demands {
                    let amount = Amount::from_demand(&it);
                    let account = self.accounts.entry(it.scope).or_default();
                    // New demand is served at once instead of with the next update.
                    if account.set_demand(ctx.now, amount) {
                        self.next_update = ctx.now;
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
            Message::GrantRequest { scope, incarnation, number, amount } => {
                let broker = self.brokers.entry(scope.clone()).or_default();
                broker.update_request(ctx.now, from, (incarnation, number), amount);
                self.serve_borrowers(ctx, &scope, out);
            }
            Message::LoanRequest { scope, incarnation, number } => {
                let own = self.own_share(ctx, &scope);
                let account = self.accounts.entry(scope.clone()).or_default();
                let lent = account.lend(ctx.now, from, (incarnation, number), own.lendable);
                if let Some(amount) = lent {
                    let scope = scope.clone();
                    let message = Message::Loan { scope, incarnation, number, amount };
                    out.send(from, message, Delivery::Datagram);
                }
                self.emit_share(ctx, &scope, out);
            }
            Message::LoanReturn { scope, incarnation, number } => {
                if let Some(account) = self.accounts.get_mut(&scope) {
                    account.end_loans(from, (incarnation, number));
                }
            }
            // Ignores answers to an earlier incarnation of this instance, which numbered its requests
            // from the same start: applying one would let two instances use the same share.
            Message::Loan { incarnation, .. } | Message::Grant { incarnation, .. }
                if ctx.incarnation() != Some(incarnation) => {}
            Message::Loan { scope, number, amount, .. } => {
                let Some(broker) = self.brokers.get_mut(&scope) else { return };
                broker.apply_loan(from, number, amount);
                self.serve_borrowers(ctx, &scope, out);
            }
            Message::Grant { scope, number, amount, .. } => {
                let Some(account) = self.accounts.get_mut(&scope) else { return };
                account.apply_grant(ctx.now, number, amount);
                self.emit_share(ctx, &scope, out);
            }
        }
    }

    fn reply(&mut self, _ctx: &Context<'_>, _number: u64, _reply: Reply, _out: &mut Outbox<'_>) {}

    fn tick(&mut self, ctx: &Context<'_>, out: &mut Outbox<'_>) -> Time {
        self.started_at.get_or_insert(ctx.now);
        if self.view_generation != ctx.view.generation() {
            self.view_generation = ctx.view.generation();
            self.count_members(ctx);
        }
        if ctx.now < self.next_update {
            return if self.is_idle() { Time::MAX } else { self.next_update };
        }
        self.next_update = ctx.now + UPDATE_PERIOD;
        for scope in self.accounts.keys().cloned().collect::<Vec<_>>() {
            self.request_grant(ctx, &scope, out);
            self.emit_share(ctx, &scope, out);
        }
        self.accounts.retain(|_, it| !it.is_unused(ctx.now));
        for scope in self.brokers.keys().cloned().collect::<Vec<_>>() {
            self.serve_borrowers(ctx, &scope, out);
        }
        self.return_loans(ctx, out);
        if self.is_idle() { Time::MAX } else { self.next_update }
    }
}

/// The part of a limit that this instance owns.
#[derive(Clone, Copy, Debug, Default)]
struct OwnShare {
    reserve: Amount,
    lendable: Amount,
}

impl Allowance {
    fn is_idle(&self) -> bool {
        self.accounts.is_empty() && self.brokers.is_empty()
    }

    /// Counts the members. Shares shrink at once when members join. They never grow again, because a
    /// member that seems to be gone may only be partitioned.
    fn count_members(&mut self, ctx: &Context<'_>) {
        let members = ctx.view.entries().iter().filter(|it| it.state < State::Dead);
        let before = members.clone().filter(|it| it.member.name < *ctx.me).count();
        self.most_members =
            self.most_members.max(u32::try_from(members.count()).unwrap_or(u32::MAX));
        // With more instances than `max_instances`, their shares would sum up to more than the limit,
        // for example while an operator scales out. So only the first ones by name own a share. This
        // is safe because each instance decides only about itself.
        self.has_share = self.max_instances == 0 || before < self.max_instances as usize;
    }

    /// The number of shares that each limit is divided into.
    fn share_count(&self) -> u64 {
        match self.max_instances {
            0 => self.most_members.max(1).into(),
            max_instances => max_instances.into(),
        }
    }

    fn own_share(&self, ctx: &Context<'_>, scope: &Scope) -> OwnShare {
        // A new instance that used its share before the others have reduced theirs would exceed
        // limits. The wait is sufficient as long as gossip spreads faster than that.
        let has_joined = self.started_at.is_some_and(|it| it + JOIN_WAIT <= ctx.now);
        if !self.has_share || !has_joined && self.max_instances == 0 {
            return OwnShare::default();
        }
        let share = Amount::from_limits(&scope.limits(ctx.table)).divide(self.share_count());
        let reserve = share.scale(RESERVED_FRACTION);
        let lendable = if has_joined { share.minus(reserve) } else { Amount::default() };
        OwnShare { reserve, lendable }
    }

    /// Requests a grant from the broker when demand exceeds the own share.
    fn request_grant(&mut self, ctx: &Context<'_>, scope: &Scope, out: &mut Outbox<'_>) {
        let limit = Amount::from_limits(&scope.limits(ctx.table));
        let own = self.own_share(ctx, scope);
        let Some(account) = self.accounts.get_mut(scope) else { return };
        let Some(amount) = account.next_request(ctx.now, own.reserve, own.lendable, limit) else {
            return;
        };
        let Some(broker_name) = ctx.view.global_owner(scope.hash()) else { return };
        let Some(incarnation) = ctx.incarnation() else { return };
        self.last_number += 1;
        let number = self.last_number;
        account.record_request(ctx.now, number, amount);
        let message = Message::GrantRequest { scope: scope.clone(), incarnation, number, amount };
        out.send(broker_name, message, Delivery::Datagram);
    }

    /// Outputs this instance's allowance when it has changed or expires soon.
    fn emit_share(&mut self, ctx: &Context<'_>, scope: &Scope, out: &mut Outbox<'_>) {
        let limits = scope.limits(ctx.table);
        let own = self.own_share(ctx, scope);
        let Some(account) = self.accounts.get_mut(scope) else { return };
        let Some((amount, until)) = account.next_share(ctx.now, own.reserve, own.lendable) else {
            return;
        };
        let share = amount.share(scope.clone(), &limits, until);
        out.push(Action::Allowance(Output::Allow(share)));
    }

    /// As the broker of a limit: grants what was lent and requests the loans that are missing.
    fn serve_borrowers(&mut self, ctx: &Context<'_>, scope: &Scope, out: &mut Outbox<'_>) {
        let share = Amount::from_limits(&scope.limits(ctx.table)).divide(self.share_count());
        let lendable = share.minus(share.scale(RESERVED_FRACTION));
        let Some(broker) = self.brokers.get_mut(scope) else { return };
        for grant in broker.next_grants(ctx.now) {
            let ((incarnation, number), amount) = (grant.request, grant.amount);
            let message = Message::Grant { scope: scope.clone(), incarnation, number, amount };
            out.send(&grant.to, message, Delivery::Datagram);
        }
        let Some(incarnation) = ctx.incarnation() else { return };
        for lender in broker.next_lenders(ctx.now, lendable, ctx.view, scope.hash()) {
            self.last_number += 1;
            let number = self.last_number;
            broker.record_loan_request(ctx.now, &lender, number);
            let message = Message::LoanRequest { scope: scope.clone(), incarnation, number };
            out.send(&lender, message, Delivery::Datagram);
        }
    }

    /// Gives back the loans of limits that no borrower requests from this instance any more.
    fn return_loans(&mut self, ctx: &Context<'_>, out: &mut Outbox<'_>) {
        let Some(incarnation) = ctx.incarnation() else { return };
        let number = self.last_number;
        self.brokers.retain(|scope, broker| {
            let is_unused = broker.is_unused(ctx.now);
            for lender in broker.active_lenders(ctx.now).filter(|_| is_unused) {
                let message = Message::LoanReturn { scope: scope.clone(), incarnation, number };
                out.send(lender, message, Delivery::Datagram);
            }
            !is_unused
        });
    }
}
