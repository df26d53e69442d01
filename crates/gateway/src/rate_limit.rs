//! Limits that backend servers advertise, enforced across all instances together.
//!
//! Covers a server with a low rate limit behind many instances: each sends it a fraction of all
//! requests, and an even share of two requests a second is next to nothing. One instance, the
//! limit's owner, holds a token bucket; a request is sent with a permit, which the other instances
//! request from the owner while the request waits for some milliseconds. Does no I/O: the caller
//! carries permit requests and replies between instances.
//!
//! The same permits keep a server from more rejections than it bears. Each takes a token from a second bucket, which
//! comes back only once the server is known to have taken the request.

pub(crate) mod bucket;
pub mod endpoint;
mod ledger;
mod statement;
mod unsettled;

use std::time::Duration;

use serde::{Deserialize, Serialize};
use shallotlead_base::time::Time;

use bucket::{Bucket, Flow};
use ledger::Ledger;
use statement::Statement;

pub use statement::is_notable_change;
pub use unsettled::{Report, Serial, Unsettled};

/// How long another request may use a permit if the request that it was obtained for has gone
/// elsewhere. With a longer validity, permits of many instances would add up to a burst.
pub(crate) const PERMIT_VALIDITY: Duration = Duration::from_millis(500);
/// How long a server counts as closed when its limit's owner didn't reply: the owner has ended, or
/// can't be reached.
pub(crate) const TIMEOUT_PAUSE: Duration = Duration::from_millis(500);
/// How long a server counts as closed when the instance that was asked doesn't see itself as the
/// limit's owner: such views converge within one or two periods of the gossip.
pub(crate) const NOT_OWNER_PAUSE: Duration = Duration::from_millis(300);

/// Whether a request, or a probe, may be sent to a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Permission {
    /// It may be sent, and counts.
    Granted,
    /// The limit's owner has to be asked.
    Ask,
    /// Not now.
    Denied,
}

/// The owner's reply to a permit request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Reply {
    /// Number of requests that may be sent.
    Granted(u16),
    /// No request may be sent, and asking again is pointless for this number of milliseconds.
    Denied(u32),
}

/// One server's limit as one instance knows it.
#[derive(Clone, Debug, Default)]
pub struct Limit {
    rate: Statement,
    /// Rejections a second that the server bears from all instances together.
    tolerance: Statement,
    /// Permits that are left, and until when they may be used.
    permits: u32,
    valid_until: Time,
    /// Until when no permit can be obtained.
    closed_until: Time,
    /// What this instance hands out while it owns the limit.
    bucket: Option<Bucket>,
    /// The same for rejections.
    rejections: Option<Ledger>,
    /// Whether the server was known not to be at risk before it named its tolerance, so that nobody has handed out
    /// permits before.
    was_sound: bool,
}

impl Limit {
    /// Requests a second that the server accepts from all instances together; `None` if it
    /// advertises no limit.
    pub fn per_second(&self) -> Option<f64> {
        self.rate.per_second()
    }

    /// How long ago the server advertised it.
    pub fn age(&self, now: Time) -> Duration {
        self.rate.age(now)
    }

    /// Rejections a second that the server bears from all instances together; `None` if it names no number.
    pub fn tolerance(&self) -> Option<f64> {
        self.tolerance.per_second()
    }

    /// How long ago the server named that number.
    pub fn tolerance_age(&self, now: Time) -> Duration {
        self.tolerance.age(now)
    }

    /// Applies what the server advertised `at`. Returns whether other instances should learn of it.
    ///
    /// A response without a limit counts from when its request was sent: it may have been made
    /// before one that advertises a limit and have stayed unread since, as in an instance that was
    /// suspended.
    pub fn observe(&mut self, at: Time, per_second: Option<f64>) -> bool {
        self.apply(at, per_second) && self.rate.take_news(at)
    }

    /// Applies what the server advertised `at`, as another instance announces.
    pub fn adopt(&mut self, at: Time, per_second: Option<f64>) {
        if self.apply(at, per_second) {
            self.rate.mark_announced();
        }
    }

    /// Applies how many rejections a second the server said `at` that it bears. Returns whether other instances should
    /// learn of it.
    pub fn observe_tolerance(&mut self, at: Time, per_second: Option<f64>) -> bool {
        self.apply_tolerance(at, per_second) && self.tolerance.take_news(at)
    }

    /// The same, as another instance announces.
    pub fn adopt_tolerance(&mut self, at: Time, per_second: Option<f64>) {
        if self.apply_tolerance(at, per_second) {
            self.tolerance.mark_announced();
        }
    }

    /// Assumes a tolerance for a server that hasn't answered yet, until it does.
    pub fn presume_tolerance(&mut self, now: Time, per_second: f64) {
        if !self.tolerance.is_known() {
            self.apply_tolerance(now - Duration::from_millis(1), Some(per_second));
        }
    }

    /// Whether it is known if the server is at risk from rejections.
    pub fn is_tolerance_known(&self) -> bool {
        self.tolerance.is_known()
    }

    fn apply_tolerance(&mut self, at: Time, per_second: Option<f64>) -> bool {
        let (is_known, before) = (self.tolerance.is_known(), self.tolerance());
        let is_latest = self.tolerance.apply(at, per_second);
        if is_latest && before.is_none() && per_second.is_some() {
            self.rejections = None;
            self.was_sound = is_known;
        }
        is_latest
    }

    /// Applies what the server advertised, if it is the latest.
    fn apply(&mut self, at: Time, per_second: Option<f64>) -> bool {
        let before = self.per_second();
        let is_latest = self.rate.apply(at, per_second);
        if is_latest && before.is_none() {
            // What was sent before the limit was advertised isn't known to the owner either.
            self.bucket = None;
        }
        is_latest
    }

    /// Whether requests need a permit.
    pub fn needs_permit(&self) -> bool {
        self.per_second().is_some() || self.tolerance().is_some()
    }

    /// Whether a request can't be sent now, and asking for a permit is pointless.
    pub fn is_closed(&self, now: Time) -> bool {
        self.needs_permit() && now < self.closed_until && !self.has_permit(now)
    }

    /// When asking for a permit may succeed again.
    pub fn opens_at(&self) -> Time {
        self.closed_until
    }

    /// Takes a permit for one request. `share`: the fraction of the limit that this instance hands
    /// out, if it owns the limit.
    pub fn acquire(&mut self, now: Time, share: Option<f64>) -> Permission {
        if !self.needs_permit() {
            return Permission::Granted;
        }
        if self.has_permit(now) {
            self.permits -= 1;
            return Permission::Granted;
        }
        if now < self.closed_until {
            return Permission::Denied;
        }
        let Some(share) = share else {
            self.drop_buckets();
            return Permission::Ask;
        };
        match self.take(now, share, |_| 1.0) {
            Ok(_) => Permission::Granted,
            Err(wait) => {
                self.closed_until = now + wait;
                Permission::Denied
            }
        }
    }

    /// Answers another instance's permit request; `share` as for [`Limit::acquire`].
    pub fn grant(&mut self, now: Time, share: Option<f64>) -> Reply {
        let denied = |wait: Duration| Reply::Denied(wait.as_millis() as u32);
        let Some(share) = share else {
            self.drop_buckets();
            return denied(NOT_OWNER_PAUSE);
        };
        // This instance knows of the end of a limit of which the other doesn't.
        if !self.needs_permit() {
            return Reply::Granted(1);
        }
        match self.take(now, share, Bucket::batch) {
            Ok(permits) => Reply::Granted(permits),
            Err(wait) => denied(wait),
        }
    }

    /// Applies what an instance reports of the requests that it sent with permits, if this one owns the limit.
    pub fn settle(&mut self, now: Time, report: &Report) {
        if let Some(it) = &mut self.rejections {
            it.apply(now, report);
        }
    }

    /// Applies the owner's reply to the request for a permit that was sent at `asked`, from which permits count: a reply
    /// may arrive or be read late, when the owner has long handed out as many again. Returns whether requests that wait
    /// for a permit may go on.
    pub fn apply_reply(&mut self, now: Time, asked: Time, reply: Reply) -> bool {
        match reply {
            Reply::Granted(_) if asked + PERMIT_VALIDITY <= now => return false,
            Reply::Granted(permits) => {
                let left = if self.has_permit(now) { self.permits } else { 0 };
                self.permits = left + u32::from(permits);
                self.valid_until = self.valid_until.max(asked + PERMIT_VALIDITY);
                self.closed_until = now;
            }
            Reply::Denied(ms) => {
                let until = now + Duration::from_millis(u64::from(ms));
                self.closed_until = self.closed_until.max(until);
            }
        }
        true
    }

    /// Records that the owner didn't reply in time.
    pub fn record_timeout(&mut self, now: Time) {
        self.closed_until = self.closed_until.max(now + TIMEOUT_PAUSE);
    }

    fn has_permit(&self, now: Time) -> bool {
        0 < self.permits && now < self.valid_until
    }

    /// Takes tokens from all buckets, or returns how long one of them has none. `count`: how many a bucket gives.
    fn take(
        &mut self,
        now: Time,
        share: f64,
        count: impl Fn(&Bucket) -> f64,
    ) -> Result<u16, Duration> {
        let requests = self.per_second().map(|it| Flow::of_requests(it * share));
        let rejections = self.tolerance().map(|it| Flow::of_rejections(it * share));
        let was_sound = std::mem::take(&mut self.was_sound);
        let open = if was_sound { Bucket::full } else { Bucket::new };
        let mut buckets = Vec::with_capacity(2);
        if let Some(flow) = requests {
            let bucket = self.bucket.get_or_insert_with(|| Bucket::new(now, flow));
            bucket.refill(now, flow);
            buckets.push(bucket);
        }
        if let Some(flow) = rejections {
            let ledger = self.rejections.get_or_insert_with(|| Ledger::new(open(now, flow)));
            ledger.refill(now, flow);
            buckets.push(&mut ledger.bucket);
        }
        let empty = buckets.iter_mut().filter(|it| !it.has_token());
        if let Some(wait) = empty.map(|it| it.token_wait(now)).max() {
            return Err(wait);
        }
        let tokens = buckets.iter().map(|it| count(it)).fold(f64::INFINITY, f64::min);
        buckets.iter_mut().for_each(|it| it.take(tokens));
        Ok(tokens as u16)
    }

    /// Forgets what was handed out, as another instance owns the limit.
    fn drop_buckets(&mut self) {
        self.bucket = None;
        self.rejections = None;
        self.was_sound = false;
    }
}
