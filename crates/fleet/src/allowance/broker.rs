//! One limit from the point of view of its broker: requests, loans and grants.

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

/// How long a grant request counts without being repeated.
const REQUEST_TTL: Duration = Duration::from_millis(1800);
/// Time between two loan requests to one lender.
const LOAN_REQUEST_PERIOD: Duration = Duration::from_millis(500);
/// Time between two loan requests to a lender that lent only a part of its share.
const PARTIAL_LOAN_PERIOD: Duration = Duration::from_secs(3);
/// A loan that expires within this time is renewed.
const LOAN_RENEWAL_LEAD: Duration = Duration::from_millis(3000);

#[derive(Debug)]
struct Borrower {
    /// The last request.
    last_request: (Incarnation, u64),
    want: Amount,
    requested_at: Time,
    /// The amount granted in answer to the last request.
    last_grant: Option<Amount>,
    entries: Vec<Expiring>,
}

#[derive(Debug, Default)]
struct Lender {
    /// The request that may still be answered, and when it was sent.
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

/// One limit from the point of view of its broker.
#[derive(Debug, Default)]
pub(crate) struct Broker {
    borrowers: BTreeMap<name::Instance, Borrower>,
    lenders: BTreeMap<name::Instance, Lender>,
}

impl Broker {
    /// Applies a grant request: from now on `from` uses no more than it requested.
    pub(crate) fn update_request(
        &mut self,
        now: Time,
        from: &name::Instance,
        request: (Incarnation, u64),
        want: Amount,
    ) {
        let borrower = self.borrowers.entry(from.clone()).or_insert(Borrower {
            last_request: (Incarnation(0), 0),
            want,
            requested_at: now,
            last_grant: None,
            entries: Vec::new(),
        });
        // Ignores requests that arrive out of order: the borrower may use more by now, and its grant
        // would be counted too low.
        if request <= borrower.last_request {
            return;
        }
        borrower.last_request = request;
        borrower.want = want;
        borrower.requested_at = now;
        borrower.last_grant = None;
        for it in &mut borrower.entries {
            it.amount = it.amount.min(want);
        }
    }

    /// Records a loan request that was sent to `lender`.
    pub(crate) fn record_loan_request(&mut self, now: Time, lender: &name::Instance, number: u64) {
        let it = self.lenders.entry(lender.clone()).or_default();
        it.pending = Some((number, now));
        it.asked_at = Some(now);
    }

    /// Applies a loan; duplicates are ignored.
    pub(crate) fn apply_loan(&mut self, from: &name::Instance, number: u64, amount: Amount) {
        let Some(lender) = self.lenders.get_mut(from) else { return };
        let Some((_, sent)) = lender.pending.filter(|it| it.0 == number) else { return };
        lender.pending = None;
        lender.entries.push(Expiring { amount, until: sent + LOAN_TERM });
    }

    /// The members whose loans are valid, and those whose answer is pending: they may have lent.
    pub(crate) fn active_lenders(&self, now: Time) -> impl Iterator<Item = &name::Instance> {
        let is_lent =
            move |it: &Lender| it.pending.is_some() || it.entries.iter().any(|it| now < it.until);
        self.lenders.iter().filter(move |(_, it)| is_lent(it)).map(|(name, _)| name)
    }

    /// Whether nothing is requested or granted, so that the loans aren't needed.
    pub(crate) fn is_unused(&self, now: Time) -> bool {
        let is_expired = |it: &Borrower| {
            it.requested_at + REQUEST_TTL <= now && it.entries.iter().all(|it| it.until <= now)
        };
        self.borrowers.values().all(is_expired)
    }

    /// The grants to send now. At any time the amounts in use stay within the loans: a grant is
    /// limited to the loans that outlive it minus all other grants that are still valid.
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
            let Some(borrower) = self.borrowers.get_mut(&name) else { continue };
            if borrower.requested_at + REQUEST_TTL <= now || borrower.want.is_zero() {
                continue;
            }
            let amount = borrower.want.min(level).min(pool.minus(others));
            // An increase of up to a quarter isn't worth a message to every borrower whenever one of
            // them changes its request.
            let is_more = |it: Amount| !amount.minus(it.plus(it.scale(0.25))).is_zero();
            if amount.is_zero() || borrower.last_grant.is_some_and(|it| !is_more(it)) {
                continue;
            }
            borrower.last_grant = Some(amount);
            borrower.entries.push(Expiring { amount, until });
            grants.push(Grant { to: name, request: borrower.last_request, amount });
        }
        grants
    }

    /// The members to request loans from now, in the order of rendezvous hashing.
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
        // 10% more than is requested often saves another round of requests.
        let need = wanted.plus(wanted.scale(0.1)).minus(self.available(ahead));
        let count = need.count_shares(lendable);
        if count == 0 {
            return Vec::new();
        }
        let is_borrower = |name: &name::Instance| {
            self.borrowers
                .get(name)
                .is_some_and(|it| now < it.requested_at + REQUEST_TTL && !it.want.is_zero())
        };
        // Borrowers have nothing to lend. A member that lent only a part may have more later.
        let can_lend = |name: &&name::Instance| {
            !is_borrower(name)
                && self.lenders.get(*name).is_none_or(|it| {
                    let last = it.entries.last().filter(|it| ahead < it.until);
                    let is_full = last.is_some_and(|it| lendable.minus(it.amount).is_zero());
                    let wait =
                        if last.is_some() { PARTIAL_LOAN_PERIOD } else { LOAN_REQUEST_PERIOD };
                    !is_full && it.asked_at.is_none_or(|it| it + wait <= now)
                })
        };
        let members = view::highest_weighted(view.live_members(), hash, usize::MAX);
        members.into_iter().filter(can_lend).take(count).cloned().collect()
    }

    /// The sum of the loans that are valid at least until `until`.
    fn available(&self, until: Time) -> Amount {
        let lasting = |it: &Lender| {
            let entries = it.entries.iter().filter(|it| until <= it.until);
            entries.fold(Amount::default(), |sum, it| sum.max(it.amount))
        };
        self.lenders.values().map(lasting).fold(Amount::default(), Amount::plus)
    }

    /// The most that one borrower gets when `pool` is divided by max-min fairness, for each dimension.
    /// Borrowers that request less get what they request.
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

/// The max-min fair level of `wants` within `pool`; `u64::MAX` when `pool` suffices for all.
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

// A request stays valid when the next one is lost.
const _: () = assert!(RENEWAL_PERIOD.as_millis() * 2 <= REQUEST_TTL.as_millis());
