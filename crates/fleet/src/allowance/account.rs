//! One limit from the point of view of an instance that uses it: its demand, loans and grant.

use shallotlead_base::{id::Incarnation, name, time::Time};

use crate::allowance::{
    DEMAND_TTL, GRANT_TERM, LOAN_TERM, RENEWAL_PERIOD, UPDATE_PERIOD, amount::Amount,
    with_drift_margin,
};

/// An amount that is valid until a point in time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Expiring {
    pub(crate) amount: Amount,
    pub(crate) until: Time,
}

/// The largest amount of the `entries` that are valid at `now`. A later entry replaces an earlier
/// one, but until the earlier one has expired the other side may still be using it.
pub(crate) fn largest(entries: &[Expiring], now: Time) -> Amount {
    let live = entries.iter().filter(|it| now < it.until);
    live.fold(Amount::default(), |sum, it| sum.max(it.amount))
}

/// What was lent to one incarnation of a broker.
#[derive(Debug)]
struct Loans {
    broker: name::Instance,
    /// The last request of the broker that was answered.
    last_request: (Incarnation, u64),
    entries: Vec<Expiring>,
}

#[derive(Clone, Copy, Debug)]
struct Request {
    number: u64,
    amount: Amount,
    sent_at: Time,
}

#[derive(Clone, Copy, Debug)]
struct Grant {
    number: u64,
    expiring: Expiring,
}

/// One limit from the point of view of an instance that uses it.
#[derive(Debug, Default)]
pub(crate) struct Account {
    demand: Amount,
    demanded_at: Option<Time>,
    lent: Vec<Loans>,
    /// Requests that may still be answered, the latest last.
    pending_requests: Vec<Request>,
    /// Grants for requests before this number are ignored: a later request asked for less.
    min_number: u64,
    grant: Option<Grant>,
    announced: Option<Expiring>,
}

impl Account {
    /// Sets the current demand. Returns whether it exceeds the previous demand by more than half.
    pub(crate) fn set_demand(&mut self, now: Time, amount: Amount) -> bool {
        let before = if self.has_demand(now) { self.demand } else { Amount::default() };
        self.demand = amount;
        self.demanded_at = Some(now);
        !amount.minus(before.plus(before.scale(0.5))).is_zero()
    }

    /// Whether there is no demand, loan or grant, and no allowance of the daemon is still valid.
    pub(crate) fn is_unused(&self, now: Time) -> bool {
        let is_announced = self.announced.is_some_and(|it| now < it.until);
        let is_used = !self.lent_amount(now).is_zero() || !self.granted_amount(now).is_zero();
        !self.has_demand(now) && !is_used && !is_announced
    }

    fn has_demand(&self, now: Time) -> bool {
        self.demanded_at.is_some_and(|it| now < it + DEMAND_TTL)
    }

    fn lent_amount(&self, now: Time) -> Amount {
        let lent = self.lent.iter().map(|it| largest(&it.entries, now));
        lent.fold(Amount::default(), Amount::plus)
    }

    fn granted_amount(&self, now: Time) -> Amount {
        let live = self.grant.filter(|it| now < it.expiring.until);
        live.map_or(Amount::default(), |it| it.expiring.amount)
    }

    /// Lends the unused part of `lendable` to `broker`. Returns the amount; `None` when `request` is
    /// not newer than one already answered.
    pub(crate) fn lend(
        &mut self,
        now: Time,
        broker: &name::Instance,
        request: (Incarnation, u64),
        lendable: Amount,
    ) -> Option<Amount> {
        let used = if self.has_demand(now) { self.demand } else { Amount::default() };
        self.lent.retain(|it| it.entries.iter().any(|it| now < it.until));
        // A new incarnation of the broker doesn't know what the previous one granted, so loans to the
        // two are counted separately.
        let is_same = |it: &Loans| it.broker == *broker && it.last_request.0 == request.0;
        let others = self.lent.iter().filter(|it| !is_same(it));
        let others = others.fold(Amount::default(), |sum, it| sum.plus(largest(&it.entries, now)));
        let amount = lendable.minus(used).minus(others);
        let entry = Expiring { amount, until: now + with_drift_margin(LOAN_TERM) };
        match self.lent.iter_mut().find(|it| is_same(it)) {
            Some(it) if request <= it.last_request => return None,
            Some(it) => {
                it.last_request = request;
                it.entries.retain(|it| now < it.until);
                it.entries.push(entry);
            }
            None => {
                let broker = broker.clone();
                self.lent.push(Loans { broker, last_request: request, entries: vec![entry] });
            }
        }
        Some(amount)
    }

    /// Ends the loans to `broker` up to its `request`: it no longer uses them.
    pub(crate) fn end_loans(&mut self, broker: &name::Instance, request: (Incarnation, u64)) {
        let is_same = |it: &Loans| it.broker == *broker && it.last_request.0 == request.0;
        self.lent.retain(|it| !is_same(it) || request < it.last_request);
    }

    /// The amount to request from the broker, if a request is due.
    pub(crate) fn next_request(
        &self,
        now: Time,
        reserve: Amount,
        lendable: Amount,
        limit: Amount,
    ) -> Option<Amount> {
        let own = reserve.plus(lendable.minus(self.lent_amount(now)));
        let demand = if self.has_demand(now) { self.demand } else { Amount::default() };
        let amount = demand.min(limit).minus(own);
        let Some(last) = self.pending_requests.last() else {
            return (!amount.is_zero()).then_some(amount);
        };
        let has_grown = !amount.minus(last.amount.plus(last.amount.scale(0.25))).is_zero();
        let wait = if has_grown { UPDATE_PERIOD } else { RENEWAL_PERIOD };
        let is_over = amount.is_zero() && last.amount.is_zero();
        (!is_over && last.sent_at + wait <= now).then_some(amount)
    }

    /// Records a request that was sent. A valid grant shrinks to the requested amount.
    pub(crate) fn record_request(&mut self, now: Time, number: u64, amount: Amount) {
        let last = self.pending_requests.last().map_or(Amount::default(), |it| it.amount);
        if !last.minus(amount).is_zero() {
            self.min_number = number;
        }
        if let Some(grant) = &mut self.grant {
            grant.expiring.amount = grant.expiring.amount.min(amount);
        }
        self.pending_requests.retain(|it| now < it.sent_at + GRANT_TERM);
        self.pending_requests.push(Request { number, amount, sent_at: now });
    }

    /// Applies the grant for request `number`.
    pub(crate) fn apply_grant(&mut self, now: Time, number: u64, amount: Amount) {
        let Some(request) = self.pending_requests.iter().find(|it| it.number == number) else {
            return;
        };
        let is_old = self.grant.is_some_and(|it| number < it.number);
        if number < self.min_number || is_old {
            return;
        }
        // The term counts from the request. The broker counts from its answer, which is later.
        let until = request.sent_at + GRANT_TERM;
        let amount = amount.min(request.amount);
        if now < until {
            self.grant = Some(Grant { number, expiring: Expiring { amount, until } });
        }
    }

    /// The amount that may be used and its expiry, when an output to the daemon is due.
    pub(crate) fn next_share(
        &mut self,
        now: Time,
        reserve: Amount,
        lendable: Amount,
    ) -> Option<(Amount, Time)> {
        let granted = self.granted_amount(now);
        let amount = reserve.plus(lendable.minus(self.lent_amount(now))).plus(granted);
        let announced = self.announced.filter(|it| now < it.until);
        if !self.has_demand(now) && granted.is_zero() {
            // An increase isn't needed, but the announced amount may be too high by now.
            let announced = announced.filter(|it| !it.amount.minus(amount).is_zero())?;
            self.announced = Some(Expiring { amount, until: announced.until });
            return Some((amount, announced.until));
        }
        let until = match &self.grant {
            Some(it) if !granted.is_zero() => it.expiring.until,
            _ => now + GRANT_TERM,
        };
        let is_due = announced.is_none_or(|it| {
            it.amount != amount || it.until <= now + RENEWAL_PERIOD && it.until < until
        });
        if !is_due {
            return None;
        }
        self.announced = Some(Expiring { amount, until });
        Some((amount, until))
    }
}
