//! A lease in the platform's object API, with a fencing token.
//!
//! At most one instance acts under a lease, however answers are lost and holders paused:
//!
//! - The record is written by conditional update only, so that of two claims one is accepted.
//! - The fencing token is the store's version of the write that granted the lease. Versions grow
//!   over the whole store, so tokens grow with each grant, also when the record was deleted.
//! - The holder counts its term from the moment *before* it sent the write, and ends it a margin
//!   early. A candidate counts from the moment *after* it read the record, and waits a margin
//!   longer. Both use only their own monotonic clocks, which may drift by the margin in a term.
//! - A write whose answer was lost is settled by reading the record back: each carries its
//!   claimant, the claim's number and the write's number.
//! - A missing record is no free record: somebody may have deleted it under a holder. An empty one
//!   is written in its place and waited out like a stranger's.
//!
//! How to use it: own a [`Lease`] in a part; call [`Lease::tick`] from `tick`, and [`Lease::reply`]
//! from `reply`; act only under [`Lease::grant`], and let whoever carries out the act compare
//! [`Grant::until`] with the clock once more right before. The clock must count the time in which
//! the machine sleeps. [`Lease::keep`] stores a note with the lease, which the successor inherits.
//!
//! Life cycle, one type a state: [`watch::Watch`] → [`claim::Claim`] → [`hold::Hold`] → `Watch`.

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
pub mod held;
pub(crate) mod hold;
pub(crate) mod record;
pub(crate) mod watch;

#[cfg(test)]
mod tests;

/// Length of a term.
pub const LENGTH: Duration = Duration::from_secs(9);
/// What the holder ends early and a candidate waits longer.
pub const MARGIN: Duration = Duration::from_secs(1);
/// How often the holder renews, and how often candidates look.
pub const PERIOD: Duration = Duration::from_secs(3);
/// Instances that watch one lease, the holder included.
pub const CANDIDATES: usize = 3;
/// How much later each next candidate takes over.
const STAGGER: Duration = Duration::from_secs(2);
/// Pause before the next try after a failed call.
const RETRY: Duration = Duration::from_millis(500);
/// How often that pause doubles: up to 16 s.
const MAX_DOUBLINGS: u32 = 5;

/// The right to act, as long as the clock is before `until`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Grant {
    /// The fencing token, to be sent with each order.
    pub fence: Fence,
    /// When the right ends, on this process's clock.
    pub until: Time,
    /// When the lease was granted, on this process's clock.
    pub since: Time,
}

#[derive(Debug)]
enum Stage {
    Watch(Watch),
    Claim(Claim),
    Hold(Hold),
}

/// One lease as seen by one instance.
#[derive(Debug)]
pub struct Lease {
    key: Key,
    stage: Stage,
    claims: u64,
    /// The call under way.
    call: Option<u64>,
    /// No call before this time.
    not_before: Time,
    /// Calls that failed in a row.
    failures: u32,
    note: Arc<[u8]>,
    released: bool,
    /// The place among the candidates, with the generation of the view that it was taken from.
    ranked: Option<(u64, Option<usize>)>,
}

impl Lease {
    /// The lease called `name`; nothing is asked yet.
    pub fn open(name: &str) -> Self {
        Self {
            key: Key::new(held::KIND, name),
            stage: Stage::Watch(Watch::default()),
            claims: 0,
            call: None,
            not_before: Time::ZERO,
            failures: 0,
            note: Arc::from([]),
            released: false,
            ranked: None,
        }
    }

    /// The right to act now, if there is one.
    pub fn grant(&self, now: Time) -> Option<Grant> {
        match &self.stage {
            Stage::Hold(it) if !self.released => it.grant(now),
            _ => None,
        }
    }

    /// The note that is stored for certain: the predecessor's after a grant, then what was kept.
    pub fn note(&self) -> &[u8] {
        match &self.stage {
            Stage::Hold(it) => &it.stored().note,
            _ => &[],
        }
    }

    /// Stores `note` with the lease, with the next write, which is made at once. It counts as
    /// stored once [`Lease::note`] returns it.
    pub fn keep(&mut self, note: Arc<[u8]>) {
        self.note = note;
    }

    /// Gives the lease up for good: another instance may take it at once. No act may be under way.
    pub fn release(&mut self) {
        self.released = true;
    }

    /// Stops acting under the lease at once: a server has seen a newer token.
    pub(crate) fn lose(&mut self) {
        if let Stage::Hold(_) = self.stage {
            self.stage = Stage::Watch(Watch::default());
        }
    }

    /// Runs what is due. Returns when to call again.
    pub fn tick(&mut self, ctx: &Context<'_>, out: &mut Outbox<'_>) -> Time {
        self.lapse(ctx.now);
        if self.call.is_some() {
            return self.end();
        }
        if ctx.now < self.not_before {
            return self.not_before.min(self.end());
        }
        match &mut self.stage {
            Stage::Watch(_) => self.watch(ctx, out),
            Stage::Claim(it) => self.call = Some(out.call(it.settle())),
            Stage::Hold(it) => {
                let call = match self.released {
                    true => Some(it.release()),
                    false => it.renew(ctx.now, &self.note),
                };
                self.call = call.map(|it| out.call(it));
                if self.released {
                    // Whatever becomes of the write, nothing is done under this grant any more.
                    self.stage = Stage::Watch(Watch::default());
                }
            }
        }
        let next = self.next(ctx.now);
        next.min(self.end())
    }

    /// Takes in the answer to call `number`. Returns whether it was this lease's.
    pub fn reply(&mut self, ctx: &Context<'_>, number: u64, reply: &Reply) -> bool {
        if self.call != Some(number) {
            return false;
        }
        self.call = None;
        self.back_off(ctx.now, reply);
        self.advance(ctx.now, reply);
        self.lapse(ctx.now);
        true
    }

    /// Waits longer after each failure in a row. A holder tries often, as its term ends soon.
    fn back_off(&mut self, now: Time, reply: &Reply) {
        let Reply::Failed(failure) = reply else {
            self.failures = 0;
            return;
        };
        let doublings = match &self.stage {
            Stage::Hold(_) => 1,
            Stage::Watch(_) | Stage::Claim(_) => self.failures.min(MAX_DOUBLINGS),
        };
        let asked = match failure {
            Failure::NotApplied { retry_after } => *retry_after,
            Failure::Unknown | Failure::Compacted => Duration::ZERO,
        };
        self.failures += 1;
        self.not_before = now + asked.max(RETRY * (1 << doublings));
    }

    fn advance(&mut self, now: Time, reply: &Reply) {
        let stage = std::mem::replace(&mut self.stage, Stage::Watch(Watch::default()));
        self.stage = match stage {
            Stage::Watch(mut it) => {
                if let Reply::Got(object) | Reply::Conflict(object) = reply {
                    it.see(now, object.as_ref());
                }
                Stage::Watch(it)
            }
            Stage::Claim(it) => match it.answer(now, reply) {
                claim::Outcome::Granted(it) => {
                    self.note = it.stored().note.clone();
                    Stage::Hold(it)
                }
                claim::Outcome::Open(it) => Stage::Claim(it),
                claim::Outcome::Lost(it) => Stage::Watch(it),
            },
            Stage::Hold(it) => match it.answer(now, reply) {
                hold::Outcome::Held(it) => Stage::Hold(it),
                hold::Outcome::Lost(it) => Stage::Watch(it),
            },
        };
    }

    // Guards against a paused holder: after a long pause the lease may belong to another instance,
    // and both would give orders. It shows as two fencing tokens in one server's log. The check
    // holds because the term is counted from before the write was sent, on this clock alone.
    fn lapse(&mut self, now: Time) {
        if let Stage::Hold(it) = &self.stage
            && it.grant(now).is_none()
        {
            self.stage = Stage::Watch(Watch::default());
        }
    }

    fn watch(&mut self, ctx: &Context<'_>, out: &mut Outbox<'_>) {
        if !matches!(self.stage, Stage::Watch(_)) {
            return;
        }
        let Some(rank) = self.rank(ctx) else { return };
        let Stage::Watch(watch) = &self.stage else { return };
        let Some(me) = Holder::of(ctx) else { return };
        if self.released {
            return;
        }
        let patience = STAGGER * u32::try_from(rank).unwrap_or(u32::MAX);
        if watch.is_free(ctx.now, &me, patience) {
            self.claims += 1;
            let (claim, call) = watch.claim(ctx.now, self.key.clone(), me, self.claims);
            self.stage = Stage::Claim(claim);
            self.call = Some(out.call(call));
        } else if let Some(call) = watch.create(&self.key) {
            self.call = Some(out.call(call));
            // Whatever becomes of it, the next look tells.
            self.stage = Stage::Watch(Watch::default());
        } else if watch.is_stale(ctx.now) {
            self.call = Some(out.call(Call::Get(self.key.clone())));
        }
    }

    /// This instance's place among the candidates. Looked up once for each view: it weighs all members.
    fn rank(&mut self, ctx: &Context<'_>) -> Option<usize> {
        let generation = ctx.view.generation();
        if let Some((known, rank)) = self.ranked
            && known == generation
        {
            return rank;
        }
        let key = hash::stable(self.key.name.as_bytes());
        let candidates = view::highest_weighted(ctx.view.live_members(), key, CANDIDATES);
        let rank = candidates.iter().position(|it| *it == ctx.me);
        self.ranked = Some((generation, rank));
        rank
    }

    fn next(&self, now: Time) -> Time {
        match &self.stage {
            _ if self.call.is_some() => Time::MAX,
            Stage::Watch(_) if self.released => Time::MAX,
            Stage::Watch(_) | Stage::Claim(_) => now + RETRY,
            Stage::Hold(it) => it.due(),
        }
    }

    fn end(&self) -> Time {
        match &self.stage {
            Stage::Hold(it) => it.until(),
            _ => Time::MAX,
        }
    }
}

/// The record in `object`, if there is one that can be read.
fn read(object: Option<&Object>) -> (Version, Option<Record>) {
    match object {
        Some(it) => (it.version, Record::decode(&it.value)),
        None => (Version(0), None),
    }
}
