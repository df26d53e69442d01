//! Rate limits that backend servers advertise, enforced across all instances together.
//!
//! Covers a server with a low rate limit behind many instances: each sends it a fraction of all
//! requests, and an even share of two requests a second is next to nothing. One instance, the
//! limit's owner, holds a token bucket; a request is sent with a permit, which the other instances
//! request from the owner while the request waits for some milliseconds. Does no I/O: the caller
//! carries permit requests and replies between instances.

mod bucket;
pub mod endpoint;

use std::time::Duration;

use serde::{Deserialize, Serialize};
use shallotlead_base::time::Time;

use bucket::Bucket;

/// How long another request may use a permit if the request that it was obtained for has gone
/// elsewhere. With a longer validity, permits of many instances would add up to a burst.
const PERMIT_VALIDITY: Duration = Duration::from_millis(500);
/// How long a server counts as closed when its limit's owner didn't reply: the owner has ended, or
/// can't be reached.
const TIMEOUT_PAUSE: Duration = Duration::from_millis(500);
/// How long a server counts as closed when the instance that was asked doesn't see itself as the
/// limit's owner: such views converge within one or two periods of the gossip.
const NOT_OWNER_PAUSE: Duration = Duration::from_millis(300);
/// How long after an announcement of a limit it is announced again, while the server still
/// advertises it, for instances that have started since.
const REANNOUNCE_INTERVAL: Duration = Duration::from_secs(3);
/// Change of a rate, relative to the previous one, that is announced to other instances at once.
const NOTABLE_CHANGE: f64 = 0.1;

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

/// Whether two advertised limits differ by enough to matter.
pub fn is_notable_change(before: Option<f64>, after: Option<f64>) -> bool {
    match (before, after) {
        (Some(before), Some(after)) => NOTABLE_CHANGE * before < (after - before).abs(),
        (before, after) => before.is_some() != after.is_some(),
    }
}

/// What a server advertised last.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Advertised {
    /// Requests a second that it accepts, if it advertises a limit.
    per_second: Option<f64>,
    /// When it did so.
    at: Time,
}

/// One server's limit as one instance knows it.
#[derive(Clone, Debug, Default)]
pub struct Limit {
    advertised: Option<Advertised>,
    /// What other instances learned of it last.
    announced: Option<Advertised>,
    /// Permits that are left, and until when they may be used.
    permits: u32,
    valid_until: Time,
    /// Until when no permit can be obtained.
    closed_until: Time,
    /// What this instance hands out while it owns the limit.
    bucket: Option<Bucket>,
}

impl Limit {
    /// Requests a second that the server accepts from all instances together; `None` if it
    /// advertises no limit.
    pub fn per_second(&self) -> Option<f64> {
        self.advertised?.per_second
    }

    /// How long ago the server advertised it.
    pub fn age(&self, now: Time) -> Duration {
        self.advertised.map_or(Duration::ZERO, |it| now.since(it.at))
    }

    /// Applies what the server advertised `at`. Returns whether other instances should learn of it.
    ///
    /// A response without a limit counts from when its request was sent: it may have been made
    /// before one that advertises a limit and have stayed unread since, as in an instance that was
    /// suspended.
    pub fn observe(&mut self, at: Time, per_second: Option<f64>) -> bool {
        if !self.apply(at, per_second) {
            return false;
        }
        let should_announce = match self.announced {
            None => per_second.is_some(),
            Some(announced) => {
                let is_due = per_second.is_some() && REANNOUNCE_INTERVAL <= at.since(announced.at);
                is_due || is_notable_change(announced.per_second, per_second)
            }
        };
        if should_announce {
            self.announced = self.advertised;
        }
        should_announce
    }

    /// Applies what the server advertised `at`, as another instance announces.
    pub fn adopt(&mut self, at: Time, per_second: Option<f64>) {
        if self.apply(at, per_second) {
            self.announced = self.advertised;
        }
    }

    /// Applies what the server advertised, if it is the latest.
    fn apply(&mut self, at: Time, per_second: Option<f64>) -> bool {
        if self.advertised.is_some_and(|it| at <= it.at) {
            return false;
        }
        if self.per_second().is_none() {
            // What was sent before the limit was advertised isn't known to the owner either.
            self.bucket = None;
        }
        self.advertised = Some(Advertised { per_second, at });
        true
    }

    /// Whether a request can't be sent now, and asking for a permit is pointless.
    pub fn is_closed(&self, now: Time) -> bool {
        self.per_second().is_some() && now < self.closed_until && !self.has_permit(now)
    }

    /// When asking for a permit may succeed again.
    pub fn opens_at(&self) -> Time {
        self.closed_until
    }

    /// Takes a permit for one request. `share`: the fraction of the limit that this instance hands
    /// out, if it owns the limit.
    pub fn acquire(&mut self, now: Time, share: Option<f64>) -> Permission {
        let Some(rate) = self.per_second() else { return Permission::Granted };
        if self.has_permit(now) {
            self.permits -= 1;
            return Permission::Granted;
        }
        if now < self.closed_until {
            return Permission::Denied;
        }
        let Some(share) = share else {
            self.bucket = None;
            return Permission::Ask;
        };
        match self.bucket(now, rate * share).take(now, rate * share) {
            Ok(()) => Permission::Granted,
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
            self.bucket = None;
            return denied(NOT_OWNER_PAUSE);
        };
        // This instance knows of the end of a limit of which the other doesn't.
        let Some(rate) = self.per_second() else { return Reply::Granted(1) };
        match self.bucket(now, rate * share).take_batch(now, rate * share) {
            Ok(permits) => Reply::Granted(permits),
            Err(wait) => denied(wait),
        }
    }

    /// Applies the owner's reply.
    pub fn apply_reply(&mut self, now: Time, reply: Reply) {
        match reply {
            Reply::Granted(permits) => {
                let left = if self.has_permit(now) { self.permits } else { 0 };
                self.permits = left + u32::from(permits);
                self.valid_until = now + PERMIT_VALIDITY;
                self.closed_until = now;
            }
            Reply::Denied(ms) => {
                let until = now + Duration::from_millis(u64::from(ms));
                self.closed_until = self.closed_until.max(until);
            }
        }
    }

    /// Records that the owner didn't reply in time.
    pub fn record_timeout(&mut self, now: Time) {
        self.closed_until = self.closed_until.max(now + TIMEOUT_PAUSE);
    }

    fn has_permit(&self, now: Time) -> bool {
        0 < self.permits && now < self.valid_until
    }

    fn bucket(&mut self, now: Time, rate: f64) -> &mut Bucket {
        self.bucket.get_or_insert_with(|| Bucket::new(now, rate))
    }
}
