//! Quotas of organisations, and the units that requests take from them.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use rand::Rng;
use shallotlead_base::{
    hash::{self, Map},
    time::Time,
};

use crate::{
    admission::spread_retry_after,
    core::{
        Core, Timer,
        exchange::Exchange,
        refusal::{RETRY_AFTER, Refusal},
    },
    gossip::{Datagram, QuotaReply, QuotaRequest},
    quota::{Account, MAX_QUESTIONS, Permission, Reply, SETTLING_TIME, Share},
};

/// Longest time for which one owner's reply is awaited: ten times the round trip between nearby data centres.
const REPLY_TIMEOUT: Duration = Duration::from_millis(25);

/// A request's wait for units of its organisation's quota.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QuotaWait {
    /// The owner that was asked.
    owner: SocketAddr,
    /// Units that the request counts as.
    cost: f64,
    /// When the wait ends.
    until: Time,
}

impl Core {
    /// Applies the quotas of a new configuration.
    pub(crate) fn replace_quotas(&mut self) {
        let Some(config) = &self.config else { return };
        let mut before = std::mem::take(&mut self.quotas);
        let mut quotas: Map<Arc<str>, Account> = Map::default();
        for (name, limit) in config.quotas() {
            if quotas.contains_key(name) {
                continue;
            }
            let known = before.remove(name);
            let mut account =
                known.unwrap_or_else(|| Account::new(limit, self.settings.quota_window));
            account.set_limit(limit);
            quotas.insert(name.clone(), account);
        }
        self.quotas = quotas;
        self.update_quota_owners();
    }

    /// Applies which instances are alive to who owns the quotas.
    pub(crate) fn update_quota_owners(&mut self) {
        if self.quotas.is_empty() {
            return;
        }
        let Self { quotas, members, now, .. } = self;
        let own = &members.me().name;
        let reachable = members.presumed_fraction(*now);
        // All that a new process hands out is more than before.
        let settling = if members.is_new(*now) { Duration::ZERO } else { SETTLING_TIME };
        for (name, account) in quotas {
            let key = hash::stable(name.as_bytes());
            let owners = members.owners(*now, key, account.limit().owners());
            let is_owner = owners.iter().any(|it| it.name == *own);
            let share = reachable.filter(|_| is_owner).map(|it| Share::of(owners.len(), it));
            let others = owners.iter().filter(|it| it.name != *own).map(|it| it.peers);
            account.set_owners(*now, others.collect(), share, settling);
        }
    }

    /// Takes what the request counts as from its organisation's quota. Otherwise the request waits for an owner's
    /// reply, or is refused.
    pub(crate) fn has_quota(&mut self, index: usize) -> bool {
        let Some(exchange) = self.exchanges.get(index) else { return false };
        let Some((organisation, cost)) = exchange.unpaid_quota() else { return true };
        if self.quotas.get(&organisation).is_some_and(|it| !it.has_owners()) {
            // A new process learns within milliseconds who else is.
            self.update_quota_owners();
        }
        let Some(exchange) = self.exchanges.get_mut(index) else { return false };
        let Some(account) = self.quotas.get_mut(&organisation) else { return true };
        match account.acquire(self.now, cost, self.rng.random()) {
            Permission::Granted => {
                exchange.quota_units = Some(cost);
                self.stats.count_quota("admitted");
                true
            }
            Permission::Ask(owner) if exchange.quota_questions < MAX_QUESTIONS => {
                self.ask_quota_owner(index, organisation, owner, cost);
                false
            }
            Permission::Ask(_) => {
                self.deny_quota(index, &organisation, cost, RETRY_AFTER);
                false
            }
            Permission::Denied(wait) => {
                self.deny_quota(index, &organisation, cost, wait);
                false
            }
        }
    }

    fn ask_quota_owner(
        &mut self,
        index: usize,
        organisation: Arc<str>,
        owner: SocketAddr,
        cost: f64,
    ) {
        let now = self.now;
        let Some(exchange) = self.exchanges.get_mut(index) else { return };
        let until = (now + REPLY_TIMEOUT).min(exchange.deadline);
        exchange.quota_wait = Some(QuotaWait { owner, cost, until });
        exchange.quota_questions += 1;
        let serial = exchange.serial;
        self.set_timer(until, Timer::Exchange(index, serial));
        let reply_to = self.members.me().peers;
        let request = QuotaRequest { organisation, cost, owner, reply_to, asked: Some(now) };
        self.send_to(&[owner], &Datagram::QuotaRequest(request));
        self.stats.count_quota("asked");
    }

    fn deny_quota(&mut self, index: usize, organisation: &Arc<str>, cost: f64, wait: Duration) {
        let Some(exchange) = self.exchanges.get(index) else { return };
        let Some(account) = self.quotas.get_mut(organisation) else { return };
        account.count_denied();
        let limit = account.limit();
        self.log
            .line(self.now, "over_quota")
            .text("request", exchange.id())
            .text("organisation", organisation)
            .text("unit", limit.unit_name())
            .number("cost", cost)
            .number("per_second", format_args!("{:.0}", limit.per_second))
            .ms("wait_ms", wait);
        self.stats.count_quota("denied");
        let after = spread_retry_after(wait.max(RETRY_AFTER), self.rng.random());
        self.refuse_or_fail(index, Refusal::OverQuota { after });
    }

    /// Checks on a request that may be waiting for an owner's reply. Returns whether it keeps waiting.
    pub(crate) fn check_quota_wait(&mut self, index: usize) -> bool {
        let Some(exchange) = self.exchanges.get_mut(index) else { return false };
        let Some(wait) = exchange.quota_wait else { return false };
        if self.now < wait.until {
            return true;
        }
        exchange.quota_wait = None;
        self.stats.count_quota("unanswered");
        let organisation = exchange.organisation.as_ref().map(|it| it.name.clone());
        if let Some(it) = organisation.and_then(|it| self.quotas.get_mut(&it)) {
            it.record_timeout(self.now, wait.owner);
        }
        false
    }

    /// Answers another instance's question.
    pub(crate) fn handle_quota_request(&mut self, request: QuotaRequest) {
        let QuotaRequest { organisation, cost, owner, reply_to, asked } = request;
        let reply = match self.quotas.get_mut(&organisation) {
            Some(it) => it.grant(self.now, cost),
            // The other instance knows an earlier or later configuration.
            None if self.config.is_some() => Reply::Granted(cost),
            None => return,
        };
        let message = QuotaReply { organisation, cost, owner, reply, asked };
        self.send_to(&[reply_to], &Datagram::QuotaReply(message));
    }

    /// Handles an owner's reply: dispatches the requests that it lets go on, the most urgent first.
    pub(crate) fn handle_quota_reply(&mut self, message: &QuotaReply) {
        let QuotaReply { organisation, cost, owner, reply, asked } = message;
        let asked = self.asked_at(*asked);
        let Some(account) = self.quotas.get_mut(organisation) else { return };
        account.apply_reply(self.now, asked, *owner, *cost, *reply);
        let is_denied = matches!(reply, Reply::Denied(_));
        let is_waiting = |it: &Exchange| {
            let wait = it.quota_wait.filter(|_| it.has_organisation(organisation));
            wait.is_some_and(|it| !is_denied || (it.owner == *owner && *cost <= it.cost))
        };
        let waiting = self.exchanges.iter().filter(|it| is_waiting(it.1));
        let mut waiting: Vec<(u8, Time, usize)> =
            waiting.map(|it| (it.1.priority(), it.1.arrived, it.0)).collect();
        waiting.sort_unstable();
        for (.., index) in waiting {
            if is_denied || self.has_obtained_quota(index) {
                self.dispatch(index);
            }
        }
    }

    fn has_obtained_quota(&self, index: usize) -> bool {
        let cost = self.exchanges.get(index).and_then(Exchange::unpaid_quota);
        let account = |name: &Arc<str>| self.quotas.get(name);
        cost.is_some_and(|it| account(&it.0).is_none_or(|a| a.has_obtained(self.now, it.1)))
    }

    /// Returns the units of a request that ends without having run.
    pub(crate) fn return_quota(&mut self, index: usize) {
        let Some(exchange) = self.exchanges.get_mut(index) else { return };
        let Some(units) = exchange.quota_units.take() else { return };
        let organisation = exchange.organisation.as_ref().map(|it| it.name.clone());
        if let Some(it) = organisation.and_then(|it| self.quotas.get_mut(&it)) {
            it.put_back(self.now, units);
        }
    }
}

impl Exchange {
    /// The organisation whose quota it counts in and what it counts as, unless it has been counted.
    fn unpaid_quota(&self) -> Option<(Arc<str>, f64)> {
        let organisation = self.organisation.as_ref().filter(|_| self.quota_units.is_none())?;
        let cost = organisation.quota?.cost(self.info.tokens);
        Some((organisation.name.clone(), cost))
    }

    fn has_organisation(&self, name: &str) -> bool {
        self.organisation.as_ref().is_some_and(|it| *it.name == *name)
    }
}
