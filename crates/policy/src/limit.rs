//! Limits of organisations, models and backend servers: exact on one instance, shared between
//! instances by expiring allowances.

mod account;
mod history;
mod window;

use std::time::Duration;

use shallotlead_base::{hash::Map, time::Time};
use shallotlead_table::{limit::Limits, snapshot::Snapshot};

use crate::{
    input::{Allowance, Scope},
    overview,
};

pub(crate) use self::account::Verdict;
use self::{account::Account, history::Peak};

/// Part of each limit that is divided evenly between the instances that hold no allowance. Whoever
/// hands out allowances hands out the rest, `1 - FALLBACK`, at most.
pub const FALLBACK: f64 = 0.2;

/// What this instance wants of a limit, for whoever hands out allowances.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// The limit's scope.
    pub scope: Scope,
    /// Requests a second that came, refused ones included.
    pub requests_per_second: f64,
    /// Tokens a minute that came, refused ones included.
    pub tokens_per_minute: f64,
    /// Requests that run or wait.
    pub concurrency: u32,
    /// When the allowance in force ends, if there is one.
    pub allowed_until: Option<Time>,
}

/// Tokens that an accepted request holds of its limits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Charge {
    /// When it was accepted.
    pub(crate) at: Time,
    /// Tokens reserved.
    pub(crate) tokens: f64,
}

/// All limits, with what was used of them.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    accounts: Map<Scope, Account>,
    peak: Peak,
}

impl Ledger {
    /// Takes a new version of the table.
    pub(crate) fn table(&mut self, now: Time, table: &Snapshot) {
        let rows = rows(table).collect::<Map<_, _>>();
        self.accounts.retain(|scope, it| rows.contains_key(scope) || it.busy());
        let instances = self.peak.get(now);
        for (scope, limits) in rows {
            if let Some(account) = self.accounts.get_mut(&scope) {
                account.limit(now, limits, instances);
            } else if limits != Limits::default() {
                self.accounts.insert(scope, Account::open(now, limits, instances));
            }
        }
    }

    /// Takes the number of live entry instances.
    pub(crate) fn instances(&mut self, now: Time, n: u32) {
        let before = self.peak.get(now);
        self.peak.push(now, n);
        let after = self.peak.get(now);
        if before == after {
            return;
        }
        for account in self.accounts.values_mut() {
            account.divide(now, after);
        }
    }

    /// Takes an allowance.
    pub(crate) fn allow(&mut self, now: Time, allowance: Allowance) {
        let instances = self.peak.get(now);
        if let Some(account) = self.accounts.get_mut(&allowance.scope) {
            account.allow(now, allowance, instances);
        }
    }

    /// Whether one request with `tokens` tokens fits the rates of all `scopes` now.
    pub(crate) fn check(&mut self, now: Time, scopes: &[Scope], tokens: f64) -> Verdict {
        let instances = self.peak.get(now);
        let mut worst = Verdict::Fits;
        for scope in scopes {
            if let Some(account) = self.accounts.get_mut(scope) {
                account.refresh(now, instances);
                worst = worst.worse(account.check(now, tokens, scope));
            }
        }
        worst
    }

    /// Whether one more request with `tokens` tokens fits all of `scope`.
    pub(crate) fn admits(&mut self, now: Time, scope: &Scope, tokens: f64) -> bool {
        let scope = std::slice::from_ref(scope);
        self.has_slot(now, scope) && self.check(now, scope, tokens) == Verdict::Fits
    }

    /// Counts one request with `tokens` tokens against the rates of all `scopes`.
    pub(crate) fn charge(&mut self, now: Time, scopes: &[Scope], tokens: f64) -> Charge {
        for scope in scopes {
            if let Some(account) = self.accounts.get_mut(scope) {
                account.charge(now, tokens);
            }
        }
        Charge { at: now, tokens }
    }

    /// Gives back the tokens of `charge` that weren't used.
    pub(crate) fn settle(&mut self, now: Time, scopes: &[Scope], charge: Charge, used: f64) {
        let unused = (charge.tokens - used).max(0.0);
        for scope in scopes {
            if let Some(account) = self.accounts.get_mut(scope) {
                account.give_back(now, charge.at, unused);
            }
        }
    }

    /// Gives back all of `charge`: the request didn't run.
    pub(crate) fn cancel(&mut self, now: Time, scopes: &[Scope], charge: Charge) {
        for scope in scopes {
            if let Some(account) = self.accounts.get_mut(scope) {
                account.give_back(now, charge.at, charge.tokens);
                account.give_back_request(now, charge.at);
            }
        }
    }

    /// Notes that a request came, for [`Demand`].
    pub(crate) fn wanted(&mut self, now: Time, scopes: &[Scope], tokens: f64) {
        for scope in scopes {
            if let Some(account) = self.accounts.get_mut(scope) {
                account.wanted(now, tokens);
            }
        }
    }

    /// Whether one more request may run at once in all `scopes`.
    pub(crate) fn has_slot(&mut self, now: Time, scopes: &[Scope]) -> bool {
        let instances = self.peak.get(now);
        scopes.iter().all(|scope| {
            self.accounts.get_mut(scope).is_none_or(|it| {
                it.refresh(now, instances);
                it.has_slot()
            })
        })
    }

    /// A request starts to run.
    pub(crate) fn start(&mut self, scopes: &[Scope]) {
        self.each(scopes, |it| it.running += 1);
    }

    /// A request no longer runs.
    pub(crate) fn stop(&mut self, scopes: &[Scope]) {
        self.each(scopes, |it| it.running = it.running.saturating_sub(1));
    }

    /// A request begins to wait.
    pub(crate) fn wait(&mut self, scopes: &[Scope]) {
        self.each(scopes, |it| it.waiting += 1);
    }

    /// A request no longer waits.
    pub(crate) fn leave(&mut self, scopes: &[Scope]) {
        self.each(scopes, |it| it.waiting = it.waiting.saturating_sub(1));
    }

    fn each(&mut self, scopes: &[Scope], change: impl Fn(&mut Account)) {
        for scope in scopes {
            if let Some(account) = self.accounts.get_mut(scope) {
                change(account);
            }
        }
    }

    /// What this instance wants of each limit in use.
    pub(crate) fn demands(&self, now: Time) -> Vec<Demand> {
        let mut demands = self
            .accounts
            .iter()
            .filter_map(|(scope, it)| it.demand(now, scope))
            .collect::<Vec<_>>();
        demands.sort_by(|a, b| a.scope.cmp(&b.scope));
        demands
    }

    /// Limits that were asked for lately, by scope.
    pub(crate) fn limits(&mut self, now: Time) -> Vec<overview::Limit> {
        let instances = self.peak.get(now);
        let mut limits = Vec::new();
        for (scope, account) in &mut self.accounts {
            account.refresh(now, instances);
            limits.extend(account.limits(now, scope));
        }
        limits.sort_by(|a, b| a.scope.cmp(&b.scope).then(a.column.cmp(&b.column)));
        limits
    }

    /// Whether limits are shared with other instances.
    pub(crate) fn shared(&self, now: Time) -> bool {
        1 < self.peak.get(now)
    }
}

/// The largest delay in [`Verdict::Later`] that is worth telling a caller.
pub(crate) const LONGEST_RETRY: Duration = Duration::from_secs(120);

fn rows(table: &Snapshot) -> impl Iterator<Item = (Scope, Limits)> {
    let organisations =
        table.organisations.values().map(|it| (Scope::Organisation(it.name.clone()), it.limits));
    let models = table.models.values().map(|it| (Scope::Model(it.name.clone()), it.limits));
    let servers = table.servers.values().map(|it| (Scope::Server(it.name.clone()), it.limits));
    organisations.chain(models).chain(servers)
}
