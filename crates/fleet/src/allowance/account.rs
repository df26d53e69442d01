//! One limit as an instance uses it: its demand, what it lent, what it was granted.

use shallotlead_base::{id::Incarnation, name, time::Time};

use crate::allowance::{
    DEMAND_TTL, GRANT_TERM, LOAN_TERM, RENEWAL_PERIOD, UPDATE_PERIOD, amount::Amount,
    with_drift_margin,
};

/// An amount until a time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Expiring {
    pub(crate) amount: Amount,
    pub(crate) until: Time,
}

/// The largest of `entries` at `now`: a later one replaces an earlier, but until the earlier has
/// ended nobody knows which of them the other side goes by.
pub(crate) fn largest(entries: &[Expiring], now: Time) -> Amount {
    let live = entries.iter().filter(|it| now < it.until);
    live.fold(Amount::default(), |sum, it| sum.max(it.amount))
}

#[derive(Debug)]
struct Loans {
    broker: name::Instance,
    /// The last question of the home that was answered.
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

/// One limit as an instance uses it.
#[derive(Debug, Default)]
pub(crate) struct Account {
    demand: Amount,
    demanded_at: Option<Time>,
    lent: Vec<Loans>,
    /// Questions that may still be answered, the latest last.
    pending_requests: Vec<Request>,
    /// Answers to earlier questions are void: less was asked for since.
    min_number: u64,
    grant: Option<Grant>,
    announced: Option<Expiring>,
}

impl Account {
    /// Takes in what could be used. Returns whether much more is wanted than was asked for.
    pub(crate) fn set_demand(&mut self, now: Time, amount: Amount) -> bool {
        let before = if self.has_demand(now) { self.demand } else { Amount::default() };
        self.demand = amount;
        self.demanded_at = Some(now);
        !amount.minus(before.plus(before.scale(0.5))).is_zero()
    }

    /// Whether nothing is wanted, lent or granted, and the daemon goes by nothing that it was told.
    pub(crate) fn is_idle(&self, now: Time) -> bool {
        let is_told = self.announced.is_some_and(|it| now < it.until);
        let is_used = !self.lent_amount(now).is_zero() || !self.granted_amount(now).is_zero();
        !self.has_demand(now) && !is_used && !is_told
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

    /// Lends `home` what isn't used of `lendable`. Returns how much, unless the question is old.
    pub(crate) fn lend(
        &mut self,
        now: Time,
        home: &name::Instance,
        question: (Incarnation, u64),
        lendable: Amount,
    ) -> Option<Amount> {
        let kept = if self.has_demand(now) { self.demand } else { Amount::default() };
        self.lent.retain(|it| it.entries.iter().any(|it| now < it.until));
        // A new life of the home doesn't know what the one before granted, so its loans count apart.
        let is_same = |it: &Loans| it.broker == *home && it.last_request.0 == question.0;
        let others = self.lent.iter().filter(|it| !is_same(it));
        let others = others.fold(Amount::default(), |sum, it| sum.plus(largest(&it.entries, now)));
        let amount = lendable.minus(kept).minus(others);
        let entry = Expiring { amount, until: now + with_drift_margin(LOAN_TERM) };
        match self.lent.iter_mut().find(|it| is_same(it)) {
            Some(it) if question <= it.last_request => return None,
            Some(it) => {
                it.last_request = question;
                it.entries.retain(|it| now < it.until);
                it.entries.push(entry);
            }
            None => {
                let home = home.clone();
                self.lent.push(Loans {
                    broker: home,
                    last_request: question,
                    entries: vec![entry],
                });
            }
        }
        Some(amount)
    }

    /// `home` uses nothing any more of what was lent up to its `question`.
    pub(crate) fn end_loans(&mut self, home: &name::Instance, question: (Incarnation, u64)) {
        let is_same = |it: &Loans| it.broker == *home && it.last_request.0 == question.0;
        self.lent.retain(|it| !is_same(it) || question < it.last_request);
    }

    /// What to ask the home for, if it is time to.
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
        let grown = !amount.minus(last.amount.plus(last.amount.scale(0.25))).is_zero();
        let wait = if grown { UPDATE_PERIOD } else { RENEWAL_PERIOD };
        let is_over = amount.is_zero() && last.amount.is_zero();
        (!is_over && last.sent_at + wait <= now).then_some(amount)
    }

    /// Notes a question that was sent. What was granted before shrinks to what is asked for now.
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

    /// Takes in the answer to a question.
    pub(crate) fn apply_grant(&mut self, now: Time, number: u64, amount: Amount) {
        let Some(question) = self.pending_requests.iter().find(|it| it.number == number) else {
            return;
        };
        let is_old = self.grant.is_some_and(|it| number < it.number);
        if number < self.min_number || is_old {
            return;
        }
        // Counted from when the question was sent: the home counts from its answer, later.
        let until = question.sent_at + GRANT_TERM;
        let amount = amount.min(question.amount);
        if now < until {
            self.grant = Some(Grant { number, expiring: Expiring { amount, until } });
        }
    }

    /// What may be used and until when, if that is news.
    pub(crate) fn next_share(
        &mut self,
        now: Time,
        reserve: Amount,
        lendable: Amount,
    ) -> Option<(Amount, Time)> {
        let granted = self.granted_amount(now);
        let amount = reserve.plus(lendable.minus(self.lent_amount(now))).plus(granted);
        let told = self.announced.filter(|it| now < it.until);
        if !self.has_demand(now) && granted.is_zero() {
            // Nobody waits for it, but what was told may be too much now.
            let told = told.filter(|it| !it.amount.minus(amount).is_zero())?;
            self.announced = Some(Expiring { amount, until: told.until });
            return Some((amount, told.until));
        }
        let until = match &self.grant {
            Some(it) if !granted.is_zero() => it.expiring.until,
            _ => now + GRANT_TERM,
        };
        let is_news = told.is_none_or(|it| {
            it.amount != amount || it.until <= now + RENEWAL_PERIOD && it.until < until
        });
        if !is_news {
            return None;
        }
        self.announced = Some(Expiring { amount, until });
        Some((amount, until))
    }
}
