//! A lease in the platform's object API, with a fencing token.
//!
//! At most one instance acts under a lease, even when answers are lost or holders are paused:
//!
//! - The record is written by conditional updates only, so that of two claims one is accepted.
//! - The fencing token is the store's version of the write that granted the lease. Versions grow
//!   over the whole store, so tokens grow with each grant, also when the record was deleted.
//! - The holder counts its term from the moment *before* it sent the write, and ends it
//!   [`DRIFT_MARGIN`] early. A candidate counts from the moment *after* it read the record, and waits
//!   the margin longer. Both use only their own monotonic clocks, which may drift by the margin
//!   within a term.
//! - When the answer to a write was lost, the record is read back: each write carries its claimant,
//!   the claim's number and the write's number.
//! - A missing record doesn't mean that the lease is free: it may have been deleted while the lease is
//!   held. An empty record is written in its place, and its term waited for as for another holder's.
//!
//! Usage: a part owns a [`Lease`], calls [`Lease::tick`] from `tick` and [`Lease::reply`] from `reply`.
//! It acts only under [`Lease::grant`], and the code that carries out an action compares
//! [`Grant::until`] with the clock again right before. That clock must include the time while the
//! machine is suspended. [`Lease::set_payload`] stores a payload with the lease, which the successor
//! inherits.
//!
//! State machine, one type for each state: [`watch::Watch`] → [`claim::Claim`] → [`hold::Hold`] →
//! `Watch`.

use std::{sync::Arc, time::Duration};

use shallotlead_base::{
    hash,
    id::{Fence, Version},
    store::{Call, Failure, Key, Object, Reply},
    time::Time,
};

use crate::{
    context::Context,
    lease::{
        claim::Claim,
        hold::Hold,
        record::{Holder, Record},
        watch::Watch,
    },
    outbox::Outbox,
    view,
};

pub(crate) mod claim;
pub mod summary;
pub(crate) mod hold;
pub(crate) mod record;
pub(crate) mod watch;

#[cfg(test)]
mod tests;

/// How long a lease is valid after each write of its holder.
pub const TERM: Duration = Duration::from_secs(9);
/// How much earlier the holder stops, and how much longer a candidate waits, to allow for clock drift.
pub const DRIFT_MARGIN: Duration = Duration::from_secs(1);
/// How often the holder renews, and how often candidates read the record.
pub const RENEWAL_PERIOD: Duration = Duration::from_secs(3);
/// The most instances that are candidates for one lease, its holder included.
pub const MAX_CANDIDATES: usize = 3;
/// How much longer each further candidate waits before it claims a free lease.
const TAKEOVER_STAGGER: Duration = Duration::from_secs(2);
/// Delay before the next call after a failed one.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// How often that delay doubles: up to 16 s.
const MAX_DOUBLINGS: u32 = 5;

/// The permission to act until `until`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Grant {
    /// The fencing token, which each order carries.
    pub fence: Fence,
    /// When the permission ends, on this process's clock.
    pub until: Time,
    /// When the lease was granted, on this process's clock.
    pub granted_at: Time,
}

#[derive(Debug)]
enum Stage {
    Watch(Watch),
    Claim(Claim),
    Hold(Hold),
}

/// One lease from the point of view of one instance.
#[derive(Debug)]
pub struct Lease {
    key: Key,
    stage: Stage,
    claim_count: u64,
    /// Number of the call that isn't answered yet.
    pending_call: Option<u64>,
    /// No call before this time.
    not_before: Time,
    /// Calls that failed since the last successful one.
    consecutive_failures: u32,
    payload: Arc<[u8]>,
    is_released: bool,
    /// The generation of the view, and this instance's rank among the candidates in it.
    cached_rank: Option<(u64, Option<usize>)>,
}

impl Lease {
    /// The lease called `name`; makes no call yet.
    pub fn new(name: &str) -> Self {
        Self {
            key: Key::new(summary::KIND, name),
            stage: Stage::Watch(Watch::default()),
            claim_count: 0,
            pending_call: None,
            not_before: Time::ZERO,
            consecutive_failures: 0,
            payload: Arc::from([]),
            is_released: false,
            cached_rank: None,
        }
    }

    /// The permission to act at `now`, if the lease is held.
    pub fn grant(&self, now: Time) -> Option<Grant> {
        match &self.stage {
            Stage::Hold(it) if !self.is_released => it.grant(now),
            _ => None,
        }
    }

    /// The payload that is certainly stored: after a grant the predecessor's, later this instance's.
    pub fn payload(&self) -> &[u8] {
        match &self.stage {
            Stage::Hold(it) => &it.stored().payload,
            _ => &[],
        }
    }

    /// Stores `payload` with the lease. The next [`Lease::tick`] writes it, without waiting for a
    /// renewal. It is certainly stored once [`Lease::payload`] returns it.
    pub fn set_payload(&mut self, payload: Arc<[u8]>) {
        self.payload = payload;
    }

    /// Releases the lease permanently: another instance may claim it at once. No action under the lease
    /// may be in progress.
    pub fn release(&mut self) {
        self.is_released = true;
    }

    /// Stops acting under the lease at once, after a server has seen a newer fencing token.
    pub(crate) fn mark_lost(&mut self) {
        if let Stage::Hold(_) = self.stage {
            self.stage = Stage::Watch(Watch::default());
        }
    }

    /// Makes the call that is due. Returns when to call this again.
    pub fn tick(&mut self, ctx: &Context<'_>, out: &mut Outbox<'_>) -> Time {
        self.expire(ctx.now);
        if self.pending_call.is_some() {
            return self.term_end();
        }
        if ctx.now < self.not_before {
            return self.not_before.min(self.term_end());
        }
        match &mut self.stage {
            Stage::Watch(_) => self.watch_record(ctx, out),
            Stage::Claim(it) => self.pending_call = Some(out.call(it.next_call())),
            Stage::Hold(it) => {
                let call = match self.is_released {
                    true => Some(it.release()),
                    false => it.renew(ctx.now, &self.payload),
                };
                self.pending_call = call.map(|it| out.call(it));
                if self.is_released {
                    // Nothing is done under this grant any more, whether the write succeeds or not.
                    self.stage = Stage::Watch(Watch::default());
                }
            }
        }
        let next = self.next_tick(ctx.now);
        next.min(self.term_end())
    }

    /// Handles the answer to call `number`. Returns whether the call was this lease's.
    pub fn reply(&mut self, ctx: &Context<'_>, number: u64, reply: &Reply) -> bool {
        if self.pending_call != Some(number) {
            return false;
        }
        self.pending_call = None;
        self.back_off(ctx.now, reply);
        self.apply_reply(ctx.now, reply);
        self.expire(ctx.now);
        true
    }

    /// Sets the time of the next call: exponential backoff after consecutive failures. A holder retries
    /// without long delays, because its term ends soon.
    fn back_off(&mut self, now: Time, reply: &Reply) {
        let Reply::Failed(failure) = reply else {
            self.consecutive_failures = 0;
            return;
        };
        let doublings = match &self.stage {
            Stage::Hold(_) => 1,
            Stage::Watch(_) | Stage::Claim(_) => self.consecutive_failures.min(MAX_DOUBLINGS),
        };
        let requested = match failure {
            Failure::NotApplied { retry_after } => *retry_after,
            Failure::Unknown | Failure::Compacted => Duration::ZERO,
        };
        self.consecutive_failures += 1;
        self.not_before = now + requested.max(RETRY_DELAY * (1 << doublings));
    }

    fn apply_reply(&mut self, now: Time, reply: &Reply) {
        let stage = std::mem::replace(&mut self.stage, Stage::Watch(Watch::default()));
        self.stage = match stage {
            Stage::Watch(mut it) => {
                if let Reply::Got(object) | Reply::Conflict(object) = reply {
                    it.observe(now, object.as_ref());
                }
                Stage::Watch(it)
            }
            Stage::Claim(it) => match it.answer(now, reply) {
                claim::Outcome::Granted(it) => {
                    self.payload = it.stored().payload.clone();
                    Stage::Hold(it)
                }
                claim::Outcome::Pending(it) => Stage::Claim(it),
                claim::Outcome::Lost(it) => Stage::Watch(it),
            },
            Stage::Hold(it) => match it.answer(now, reply) {
                hold::Outcome::Held(it) => Stage::Hold(it),
                hold::Outcome::Lost(it) => Stage::Watch(it),
            },
        };
    }

    /// Ends the hold when its term is over. After a long pause of this process another instance may
    /// hold the lease, and both would give orders: two fencing tokens in one server's log. The check is
    /// reliable because the term is counted from before the write was sent, on this clock alone.
    fn expire(&mut self, now: Time) {
        if let Stage::Hold(it) = &self.stage
            && it.grant(now).is_none()
        {
            self.stage = Stage::Watch(Watch::default());
        }
    }

    fn watch_record(&mut self, ctx: &Context<'_>, out: &mut Outbox<'_>) {
        if !matches!(self.stage, Stage::Watch(_)) {
            return;
        }
        let Some(rank) = self.rank(ctx) else { return };
        let Stage::Watch(watch) = &self.stage else { return };
        let Some(me) = Holder::current(ctx) else { return };
        if self.is_released {
            return;
        }
        let stagger = TAKEOVER_STAGGER * u32::try_from(rank).unwrap_or(u32::MAX);
        if watch.is_claimable(ctx.now, &me, stagger) {
            self.claim_count += 1;
            let (claim, call) = watch.claim(ctx.now, self.key.clone(), me, self.claim_count);
            self.stage = Stage::Claim(claim);
            self.pending_call = Some(out.call(call));
        } else if let Some(call) = watch.create_missing(&self.key) {
            self.pending_call = Some(out.call(call));
            // The next read shows whether the write succeeded.
            self.stage = Stage::Watch(Watch::default());
        } else if watch.is_stale(ctx.now) {
            self.pending_call = Some(out.call(Call::Get(self.key.clone())));
        }
    }

    /// This instance's rank among the candidates, by rendezvous hashing. Cached for each generation of
    /// the view, because it hashes all members.
    fn rank(&mut self, ctx: &Context<'_>) -> Option<usize> {
        let generation = ctx.view.generation();
        if let Some((known, rank)) = self.cached_rank
            && known == generation
        {
            return rank;
        }
        let key = hash::stable(self.key.name.as_bytes());
        let candidates = view::highest_weighted(ctx.view.live_members(), key, MAX_CANDIDATES);
        let rank = candidates.iter().position(|it| *it == ctx.me);
        self.cached_rank = Some((generation, rank));
        rank
    }

    fn next_tick(&self, now: Time) -> Time {
        match &self.stage {
            _ if self.pending_call.is_some() => Time::MAX,
            Stage::Watch(_) if self.is_released => Time::MAX,
            Stage::Watch(_) | Stage::Claim(_) => now + RETRY_DELAY,
            Stage::Hold(it) => it.due(),
        }
    }

    fn term_end(&self) -> Time {
        match &self.stage {
            Stage::Hold(it) => it.until(),
            _ => Time::MAX,
        }
    }
}

/// The version of `object` and its record, if it can be decoded; version 0 when there is none.
fn decode_record(object: Option<&Object>) -> (Version, Option<Record>) {
    match object {
        Some(it) => (it.version, Record::decode(&it.value)),
        None => (Version(0), None),
    }
}
