//! One limit as its home brokers it: who wants, who lent, who was granted.

use std::{collections::BTreeMap, time::Duration};

use shallotlead_base::{id::Incarnation, name, time::Time};

use crate::{
    allowance::{
        GRANT_TERM, LOAN_TERM, RENEWAL_PERIOD,
        account::{Expiring, largest},
        amount::Amount,
        with_drift_margin,
    },
    view::{self, View},
};

/// How long a want counts without being repeated.
const REQUEST_TTL: Duration = Duration::from_millis(1800);
/// Time between two questions to one lender.
const LOAN_REQUEST_PERIOD: Duration = Duration::from_millis(500);
/// Time between two questions to one lender that lent less than it owns.
const PARTIAL_LOAN_PERIOD: Duration = Duration::from_secs(3);
/// A loan that ends within this time is renewed.
const LOAN_RENEWAL_LEAD: Duration = Duration::from_millis(3000);

#[derive(Debug)]
struct Borrower {
    /// Its last question.
    last_request: (Incarnation, u64),
    want: Amount,
    requested_at: Time,
    /// The answer to the latest question.
    last_grant: Option<Amount>,
    entries: Vec<Expiring>,
}

#[derive(Debug, Default)]
struct Lender {
    /// The question that may still be answered, and when it was sent.
    pending: Option<(u64, Time)>,
    asked_at: Option<Time>,
    entries: Vec<Expiring>,
}

/// A grant to send.
#[derive(Debug)]
pub(crate) struct Grant {
    pub(crate) to: name::Instance,
    pub(crate) request: (Incarnation, u64),
    pub(crate) amount: Amount,
}

/// One limit as its home brokers it.
#[derive(Debug, Default)]
pub(crate) struct Broker {
    borrowers: BTreeMap<name::Instance, Borrower>,
    lenders: BTreeMap<name::Instance, Lender>,
}

impl Broker {
    /// Takes in what `from` wants: from now on it uses no more than that.
    pub(crate) fn record_request(
        &mut self,
        now: Time,
        from: &name::Instance,
        question: (Incarnation, u64),
        want: Amount,
    ) {
        let taker = self.borrowers.entry(from.clone()).or_insert(Borrower {
            last_request: (Incarnation(0), 0),
            want,
            requested_at: now,
            last_grant: None,
            entries: Vec::new(),
        });
        // Guards against an old question that comes late: the asker may use more by now. It shows
        // as a grant that is counted too small. The order of its questions holds.
        if question <= taker.last_request {
            return;
        }
        taker.last_request = question;
        taker.want = want;
        taker.requested_at = now;
        taker.last_grant = None;
        for it in &mut taker.entries {
            it.amount = it.amount.min(want);
        }
    }

    /// Notes that `lender` was asked.
    pub(crate) fn record_loan_request(&mut self, now: Time, lender: &name::Instance, number: u64) {
        let it = self.lenders.entry(lender.clone()).or_default();
        it.pending = Some((number, now));
        it.asked_at = Some(now);
    }

    /// Takes in a loan, once.
    pub(crate) fn apply_loan(&mut self, from: &name::Instance, number: u64, amount: Amount) {
        let Some(lender) = self.lenders.get_mut(from) else { return };
        let Some((_, sent)) = lender.pending.filter(|it| it.0 == number) else { return };
        lender.pending = None;
        lender.entries.push(Expiring { amount, until: sent + LOAN_TERM });
    }

    /// The members whose loans have not ended, and those that may have lent.
    pub(crate) fn active_lenders(&self, now: Time) -> impl Iterator<Item = &name::Instance> {
        let is_lent =
            move |it: &Lender| it.pending.is_some() || it.entries.iter().any(|it| now < it.until);
        self.lenders.iter().filter(move |(_, it)| is_lent(it)).map(|(name, _)| name)
    }

    /// Whether nothing is wanted or granted, so that the loans may lapse.
    pub(crate) fn is_idle(&self, now: Time) -> bool {
        let is_over = |it: &Borrower| {
            it.requested_at + REQUEST_TTL <= now && it.entries.iter().all(|it| it.until <= now)
        };
        self.borrowers.values().all(is_over)
    }

    /// The grants to send now. The sum of what may be in use stays within the loans at any time: a
    /// grant is given only as far as loans that outlive it exceed all other grants that are not
    /// over.
    pub(crate) fn next_grants(&mut self, now: Time) -> Vec<Grant> {
        let until = now + with_drift_margin(GRANT_TERM);
        let pool = self.available(until);
        for it in self.borrowers.values_mut() {
            it.entries.retain(|it| now < it.until);
        }
        self.borrowers
            .retain(|_, it| now < it.requested_at + REQUEST_TTL || !it.entries.is_empty());
        let level = self.fair_levels(now, pool);
        let names = self.borrowers.keys().cloned().collect::<Vec<_>>();
        let mut grants = Vec::new();
        for name in names {
            let others = self.borrowers.iter().filter(|(it, _)| **it != name);
            let others =
                others.fold(Amount::default(), |sum, (_, it)| sum.plus(largest(&it.entries, now)));
            let Some(taker) = self.borrowers.get_mut(&name) else { continue };
            if taker.requested_at + REQUEST_TTL <= now || taker.want.is_zero() {
                continue;
            }
            let amount = taker.want.min(level).min(pool.minus(others));
            // A little more isn't worth a message to each taker whenever one of them changes.
            let is_more = |it: Amount| !amount.minus(it.plus(it.scale(0.25))).is_zero();
            if amount.is_zero() || taker.last_grant.is_some_and(|it| !is_more(it)) {
                continue;
            }
            taker.last_grant = Some(amount);
            taker.entries.push(Expiring { amount, until });
            grants.push(Grant { to: name, request: taker.last_request, amount });
        }
        grants
    }

    /// The members to ask for loans now.
    pub(crate) fn next_lenders(
        &mut self,
        now: Time,
        lendable: Amount,
        view: &View,
        hash: u64,
    ) -> Vec<name::Instance> {
        self.lenders.retain(|_, it| {
            it.entries.retain(|it| now < it.until);
            !it.entries.is_empty() || it.asked_at.is_some_and(|it| now < it + LOAN_REQUEST_PERIOD)
        });
        let ahead = now + LOAN_RENEWAL_LEAD.max(with_drift_margin(GRANT_TERM));
        let fresh = self.borrowers.values().filter(|it| now < it.requested_at + REQUEST_TTL);
        let wanted = fresh.fold(Amount::default(), |sum, it| sum.plus(it.want));
        // Asking for a little more than is wanted saves the next round.
        let need = wanted.plus(wanted.scale(0.1)).minus(self.available(ahead));
        let count = need.count_shares(lendable);
        if count == 0 {
            return Vec::new();
        }
        let is_taker = |name: &name::Instance| {
            self.borrowers
                .get(name)
                .is_some_and(|it| now < it.requested_at + REQUEST_TTL && !it.want.is_zero())
        };
        // Who wants more has nothing to lend; who lent a part only may have more after a while.
        let can_lend = |name: &&name::Instance| {
            !is_taker(name)
                && self.lenders.get(*name).is_none_or(|it| {
                    let last = it.entries.last().filter(|it| ahead < it.until);
                    let is_full = last.is_some_and(|it| lendable.minus(it.amount).is_zero());
                    let wait =
                        if last.is_some() { PARTIAL_LOAN_PERIOD } else { LOAN_REQUEST_PERIOD };
                    !is_full && it.asked_at.is_none_or(|it| it + wait <= now)
                })
        };
        let members = view::best(view.live(), hash, usize::MAX);
        members.into_iter().filter(can_lend).take(count).cloned().collect()
    }

    /// What was lent until `until` at least.
    fn available(&self, until: Time) -> Amount {
        let lasting = |it: &Lender| {
            let entries = it.entries.iter().filter(|it| until <= it.until);
            entries.fold(Amount::default(), |sum, it| sum.max(it.amount))
        };
        self.lenders.values().map(lasting).fold(Amount::default(), Amount::plus)
    }

    /// The most that one taker gets when `pool` is divided fairly: who wants less gets that.
    fn fair_levels(&self, now: Time, pool: Amount) -> Amount {
        let fresh = self.borrowers.values().filter(|it| now < it.requested_at + REQUEST_TTL);
        let wants = fresh.map(|it| it.want).collect::<Vec<_>>();
        let level =
            |of: fn(&Amount) -> u64| max_min_level(of(&pool), wants.iter().map(of).collect());
        Amount {
            requests: level(|it| it.requests),
            tokens: level(|it| it.tokens),
            concurrency: level(|it| it.concurrency),
        }
    }
}

/// Max-min fair level of `wants` within `pool`.
fn max_min_level(pool: u64, mut wants: Vec<u64>) -> u64 {
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
const _: () = assert!(RENEWAL_PERIOD.as_millis() * 2 <= REQUEST_TTL.as_millis());
