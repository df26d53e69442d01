//! One organisation's quota as one instance knows it.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use shallotlead_base::{hash::Map, time::Time};

use crate::{
    quota::{Limit, Share},
    rate_limit::{
        NOT_OWNER_PAUSE, PERMIT_VALIDITY, TIMEOUT_PAUSE,
        bucket::{Bucket, Flow},
    },
};

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Permission {
    /// It may be sent, and counts.
    Granted,
    /// This owner has to be asked.
    Ask(SocketAddr),
    /// The quota is used up for this long.
    Denied(Duration),
}

/// An owner's reply to a question for tokens.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub enum Reply {
    /// Units that may be used.
    Granted(f64),
    /// Asking again for as many is pointless for this number of milliseconds.
    Denied(u32),
}

/// One organisation's quota as one instance knows it.
#[derive(Clone, Debug)]
pub struct Account {
    limit: Limit,
    /// The window over which the quota is checked; older debts are forgiven.
    window: Duration,
    /// Units that were obtained and not used yet, and until when they may be used.
    obtained: f64,
    valid_until: Time,
    /// The other owners.
    others: Vec<SocketAddr>,
    /// Owners that aren't asked for a while.
    closed: Map<SocketAddr, Closure>,
    /// The part that this instance hands out, if it is an owner.
    share: Option<Share>,
    /// Since when it might hand out more.
    raised_at: Option<Time>,
    bucket: Option<Bucket>,
    admitted: u64,
    denied: u64,
}

/// Why an owner isn't asked, and until when.
#[derive(Clone, Copy, Debug)]
struct Closure {
    until: Time,
    reason: Reason,
}

#[derive(Clone, Copy, Debug)]
enum Reason {
    /// It has denied this much; less may still be had.
    Denied(f64),
    /// It didn't reply. It is asked again where all others have denied or are silent as well: a single datagram may
    /// have been lost.
    Silent,
}

impl Closure {
    /// Whether asking for `cost` is pointless.
    fn denies(&self, now: Time, cost: f64) -> bool {
        now < self.until && matches!(self.reason, Reason::Denied(least) if least <= cost)
    }

    fn is_silent(&self, now: Time) -> bool {
        now < self.until && matches!(self.reason, Reason::Silent)
    }
}

impl Account {
    /// An account of which nothing is obtained yet.
    pub fn new(limit: Limit, window: Duration) -> Self {
        Self {
            limit,
            window,
            obtained: 0.0,
            valid_until: Time::ZERO,
            others: Vec::new(),
            closed: Map::default(),
            share: None,
            raised_at: None,
            bucket: None,
            admitted: 0,
            denied: 0,
        }
    }

    /// What the operator allows.
    pub fn limit(&self) -> &Limit {
        &self.limit
    }

    /// Applies a change by the operator.
    pub fn set_limit(&mut self, limit: Limit) {
        if self.limit != limit {
            self.limit = limit;
            self.closed.clear();
        }
    }

    /// Applies who owns the quota now. `share`: this instance's part, if it is an owner; a larger one than before
    /// counts once it has lasted for `settling`.
    ///
    /// The bucket of a new owner is empty, as another one may just have handed out a burst.
    pub fn set_owners(
        &mut self,
        now: Time,
        others: Vec<SocketAddr>,
        share: Option<Share>,
        settling: Duration,
    ) {
        self.closed.retain(|owner, it| now < it.until && others.contains(owner));
        self.others = others;
        let fraction = |it: Option<Share>| it.map_or(0.0, |it| it.fraction);
        let is_raised = fraction(self.share) < fraction(share);
        if !is_raised || settling <= now.since(*self.raised_at.get_or_insert(now)) {
            (self.share, self.raised_at) = (share, None);
        }
        self.refill(now);
    }

    /// The part that this instance hands out, and the units in its bucket; `None` if it isn't an owner.
    pub fn held(&self) -> Option<(f64, f64)> {
        Some((self.share?.fraction, self.bucket.as_ref()?.tokens()))
    }

    /// Whether any owner is known.
    pub fn has_owners(&self) -> bool {
        self.share.is_some() || !self.others.is_empty()
    }

    /// The other owners.
    pub fn others(&self) -> &[SocketAddr] {
        &self.others
    }

    /// Requests that were admitted here, and those that were denied.
    pub fn counts(&self) -> (u64, u64) {
        (self.admitted, self.denied)
    }

    /// Takes the units for one request. `random` spreads the questions over the owners.
    pub fn acquire(&mut self, now: Time, cost: f64, random: u64) -> Permission {
        let own = match self.take_obtained(now, cost) {
            true => Ok(()),
            false => self.take(now, cost),
        };
        let Err(wait) = own else {
            self.admitted += 1;
            return Permission::Granted;
        };
        match self.owner_to_ask(now, cost, random) {
            Some(owner) => Permission::Ask(owner),
            None => {
                let others = self.closed.values().map(|it| it.until.since(now));
                Permission::Denied(others.chain(self.share.map(|_| wait)).min().unwrap_or(wait))
            }
        }
    }

    /// Counts a request that goes without.
    pub fn count_denied(&mut self) {
        self.denied += 1;
    }

    fn owner_to_ask(&self, now: Time, cost: f64, random: u64) -> Option<SocketAddr> {
        let closure = |it: &SocketAddr| self.closed.get(it);
        let denies = |it: &&SocketAddr| closure(it).is_some_and(|it| it.denies(now, cost));
        let is_silent = |it: &&SocketAddr| closure(it).is_some_and(|it| it.is_silent(now));
        let may_grant: Vec<&SocketAddr> = self.others.iter().filter(|it| !denies(it)).collect();
        let open: Vec<&SocketAddr> =
            may_grant.iter().copied().filter(|it| !is_silent(it)).collect();
        match open.is_empty() {
            true => may_grant.into_iter().min_by_key(|it| closure(it).map(|it| it.until)).copied(),
            false => Some(*open[(random % open.len() as u64) as usize]),
        }
    }

    /// Whether a request may use what was obtained.
    pub fn has_obtained(&self, now: Time, cost: f64) -> bool {
        now < self.valid_until && cost <= self.obtained
    }

    /// Answers another instance's question.
    pub fn grant(&mut self, now: Time, cost: f64) -> Reply {
        if self.share.is_none() {
            return Reply::Denied(NOT_OWNER_PAUSE.as_millis() as u32);
        }
        match self.take(now, cost) {
            Ok(()) => Reply::Granted(cost),
            Err(wait) => Reply::Denied(wait.as_millis() as u32),
        }
    }

    /// Applies the reply of `owner`, which was asked for `cost` at `asked`. Units count from then: a reply may arrive or
    /// be read late, when as many have long been handed out again.
    pub fn apply_reply(
        &mut self,
        now: Time,
        asked: Time,
        owner: SocketAddr,
        cost: f64,
        reply: Reply,
    ) {
        match reply {
            Reply::Granted(units) => {
                self.closed.remove(&owner);
                self.add_obtained(now, asked, units);
            }
            Reply::Denied(ms) => {
                let before = self.closed.get(&owner).filter(|it| now < it.until);
                let least = match before.map(|it| it.reason) {
                    Some(Reason::Denied(least)) => least.min(cost),
                    Some(Reason::Silent) | None => cost,
                };
                let until = now + Duration::from_millis(u64::from(ms));
                let until = before.map_or(until, |it| it.until.max(until));
                self.closed.insert(owner, Closure { until, reason: Reason::Denied(least) });
            }
        }
    }

    /// Records that `owner` didn't reply in time.
    pub fn record_timeout(&mut self, now: Time, owner: SocketAddr) {
        let closure = Closure { until: now + TIMEOUT_PAUSE, reason: Reason::Silent };
        self.closed.insert(owner, closure);
    }

    /// Lets another request use the units of one that has not run.
    pub fn put_back(&mut self, now: Time, units: f64) {
        self.add_obtained(now, now, units);
    }

    /// Adds units that count from `from`.
    fn add_obtained(&mut self, now: Time, from: Time, units: f64) {
        let until = from + PERMIT_VALIDITY;
        if until <= now {
            return;
        }
        let left = if now < self.valid_until { self.obtained } else { 0.0 };
        self.obtained = left + units;
        self.valid_until = self.valid_until.max(until);
    }

    fn take_obtained(&mut self, now: Time, cost: f64) -> bool {
        let has_obtained = self.has_obtained(now, cost);
        if has_obtained {
            self.obtained -= cost;
        }
        has_obtained
    }

    /// Takes units from the own bucket, or returns how long it has none.
    fn take(&mut self, now: Time, cost: f64) -> Result<(), Duration> {
        self.refill(now);
        let may_overdraw = self.share.is_some_and(|it| it.may_overdraw);
        let bucket = self.bucket.as_mut().ok_or(NOT_OWNER_PAUSE)?;
        let missing = if may_overdraw { -bucket.tokens() } else { cost - bucket.tokens() };
        let is_covered = if may_overdraw { missing < 0.0 } else { missing <= 0.0 };
        if !is_covered {
            return Err(bucket.denial_wait(now, missing, cost));
        }
        bucket.take(cost);
        Ok(())
    }

    /// Fills the bucket, or drops it if another instance owns the quota.
    fn refill(&mut self, now: Time) {
        let Some(share) = self.share else {
            self.bucket = None;
            return;
        };
        let part = |it: f64| it * share.fraction;
        let flow = Flow::of_quota(part(self.limit.per_second), part(self.limit.burst), self.window);
        self.bucket.get_or_insert_with(|| Bucket::empty(now, flow)).refill(now, flow);
    }
}
