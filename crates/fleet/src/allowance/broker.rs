//! One limit as its home brokers it: who wants, who lent, who was granted.

use std::{collections::BTreeMap, time::Duration};

use shallotlead_base::{id::Incarnation, name, time::Time};

use crate::{
    allowance::{
        GRANT, LOAN, RENEW,
        account::{Until, largest},
        amount::Amount,
        giver,
    },
    view::{self, View},
};

/// How long a want counts without being repeated.
const WANT_LIFE: Duration = Duration::from_millis(1800);
/// Time between two questions to one lender.
const ASK_PERIOD: Duration = Duration::from_millis(500);
/// Time between two questions to one lender that lent less than it owns.
const PARTIAL_PERIOD: Duration = Duration::from_secs(3);
/// A loan that ends within this time is renewed.
const ASK_AHEAD: Duration = Duration::from_millis(3000);

#[derive(Debug)]
struct Taker {
    /// Its last question.
    last: (Incarnation, u64),
    want: Amount,
    at: Time,
    /// The answer to the latest question.
    answered: Option<Amount>,
    entries: Vec<Until>,
}

#[derive(Debug, Default)]
struct Lender {
    /// The question that may still be answered, and when it was sent.
    open: Option<(u64, Time)>,
    asked: Option<Time>,
    entries: Vec<Until>,
}

/// A grant to send.
#[derive(Debug)]
pub(crate) struct Grant {
    pub(crate) to: name::Instance,
    pub(crate) question: (Incarnation, u64),
    pub(crate) amount: Amount,
}

/// One limit as its home brokers it.
#[derive(Debug, Default)]
pub(crate) struct Broker {
    takers: BTreeMap<name::Instance, Taker>,
    lenders: BTreeMap<name::Instance, Lender>,
}

impl Broker {
    /// Takes in what `from` wants: from now on it uses no more than that.
    pub(crate) fn want(
        &mut self,
        now: Time,
        from: &name::Instance,
        question: (Incarnation, u64),
        want: Amount,
    ) {
        let taker = self.takers.entry(from.clone()).or_insert(Taker {
            last: (Incarnation(0), 0),
            want,
            at: now,
            answered: None,
            entries: Vec::new(),
        });
        // Guards against an old question that comes late: the asker may use more by now. It shows
        // as a grant that is counted too small. The order of its questions holds.
        if question <= taker.last {
            return;
        }
        taker.last = question;
        taker.want = want;
        taker.at = now;
        taker.answered = None;
        for it in &mut taker.entries {
            it.amount = it.amount.min(want);
        }
    }

    /// Notes that `lender` was asked.
    pub(crate) fn asked(&mut self, now: Time, lender: &name::Instance, number: u64) {
        let it = self.lenders.entry(lender.clone()).or_default();
        it.open = Some((number, now));
        it.asked = Some(now);
    }

    /// Takes in a loan, once.
    pub(crate) fn lend(&mut self, from: &name::Instance, number: u64, amount: Amount) {
        let Some(lender) = self.lenders.get_mut(from) else { return };
        let Some((_, sent)) = lender.open.filter(|it| it.0 == number) else { return };
        lender.open = None;
        lender.entries.push(Until { amount, until: sent + LOAN });
    }

    /// The members whose loans have not ended, and those that may have lent.
    pub(crate) fn lent(&self, now: Time) -> impl Iterator<Item = &name::Instance> {
        let is_lent =
            move |it: &Lender| it.open.is_some() || it.entries.iter().any(|it| now < it.until);
        self.lenders.iter().filter(move |(_, it)| is_lent(it)).map(|(name, _)| name)
    }

    /// Whether nothing is wanted or granted, so that the loans may lapse.
    pub(crate) fn is_over(&self, now: Time) -> bool {
        let is_over =
            |it: &Taker| it.at + WANT_LIFE <= now && it.entries.iter().all(|it| it.until <= now);
        self.takers.values().all(is_over)
    }

    /// The grants to send now. The sum of what may be in use stays within the loans at any time: a
    /// grant is given only as far as loans that outlive it exceed all other grants that are not
    /// over.
    pub(crate) fn grants(&mut self, now: Time) -> Vec<Grant> {
        let until = now + giver(GRANT);
        let pool = self.pool(until);
        for it in self.takers.values_mut() {
            it.entries.retain(|it| now < it.until);
        }
        self.takers.retain(|_, it| now < it.at + WANT_LIFE || !it.entries.is_empty());
        let level = self.level(now, pool);
        let names = self.takers.keys().cloned().collect::<Vec<_>>();
        let mut grants = Vec::new();
        for name in names {
            let others = self.takers.iter().filter(|(it, _)| **it != name);
            let others =
                others.fold(Amount::default(), |sum, (_, it)| sum.plus(largest(&it.entries, now)));
            let Some(taker) = self.takers.get_mut(&name) else { continue };
            if taker.at + WANT_LIFE <= now || taker.want.is_zero() {
                continue;
            }
            let amount = taker.want.min(level).min(pool.minus(others));
            // A little more isn't worth a message to each taker whenever one of them changes.
            let is_more = |it: Amount| !amount.minus(it.plus(it.scale(0.25))).is_zero();
            if amount.is_zero() || taker.answered.is_some_and(|it| !is_more(it)) {
                continue;
            }
            taker.answered = Some(amount);
            taker.entries.push(Until { amount, until });
            grants.push(Grant { to: name, question: taker.last, amount });
        }
        grants
    }

    /// The members to ask for loans now.
    pub(crate) fn lenders(
        &mut self,
        now: Time,
        lendable: Amount,
        view: &View,
        hash: u64,
    ) -> Vec<name::Instance> {
        self.lenders.retain(|_, it| {
            it.entries.retain(|it| now < it.until);
            !it.entries.is_empty() || it.asked.is_some_and(|it| now < it + ASK_PERIOD)
        });
        let ahead = now + ASK_AHEAD.max(giver(GRANT));
        let fresh = self.takers.values().filter(|it| now < it.at + WANT_LIFE);
        let wanted = fresh.fold(Amount::default(), |sum, it| sum.plus(it.want));
        // Asking for a little more than is wanted saves the next round.
        let need = wanted.plus(wanted.scale(0.1)).minus(self.pool(ahead));
        let count = need.shares(lendable);
        if count == 0 {
            return Vec::new();
        }
        let is_taker = |name: &name::Instance| {
            self.takers.get(name).is_some_and(|it| now < it.at + WANT_LIFE && !it.want.is_zero())
        };
        // Who wants more has nothing to lend; who lent a part only may have more after a while.
        let can_lend = |name: &&name::Instance| {
            !is_taker(name)
                && self.lenders.get(*name).is_none_or(|it| {
                    let last = it.entries.last().filter(|it| ahead < it.until);
                    let is_full = last.is_some_and(|it| lendable.minus(it.amount).is_zero());
                    let wait = if last.is_some() { PARTIAL_PERIOD } else { ASK_PERIOD };
                    !is_full && it.asked.is_none_or(|it| it + wait <= now)
                })
        };
        let members = view::highest_weighted(view.live_members(), hash, usize::MAX);
        members.into_iter().filter(can_lend).take(count).cloned().collect()
    }

    /// What was lent until `until` at least.
    fn pool(&self, until: Time) -> Amount {
        let lasting = |it: &Lender| {
            let entries = it.entries.iter().filter(|it| until <= it.until);
            entries.fold(Amount::default(), |sum, it| sum.max(it.amount))
        };
        self.lenders.values().map(lasting).fold(Amount::default(), Amount::plus)
    }

    /// The most that one taker gets when `pool` is divided fairly: who wants less gets that.
    fn level(&self, now: Time, pool: Amount) -> Amount {
        let fresh = self.takers.values().filter(|it| now < it.at + WANT_LIFE);
        let wants = fresh.map(|it| it.want).collect::<Vec<_>>();
        let level = |of: fn(&Amount) -> u64| fair(of(&pool), wants.iter().map(of).collect());
        Amount {
            requests: level(|it| it.requests),
            tokens: level(|it| it.tokens),
            concurrency: level(|it| it.concurrency),
        }
    }
}

/// Max-min fair level of `wants` within `pool`.
fn fair(pool: u64, mut wants: Vec<u64>) -> u64 {
    wants.sort_unstable();
    let mut left = pool;
    let count = wants.len() as u64;
    for (taken, want) in (0..).zip(&wants) {
        let level = left / (count - taken);
        if level < *want {
            return level;
        }
        left -= want;
    }
    u64::MAX
}

// The time between two questions must leave room for a lost one.
const _: () = assert!(RENEW.as_millis() * 2 <= WANT_LIFE.as_millis());
