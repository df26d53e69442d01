//! Rate limits that backend servers name, kept by all instances together.
//!
//! Answers the load of a server in need behind many instances: each of these sends it a part of all requests, and
//! an even share of two requests a second is next to nothing. One instance, the limit's home, holds a token bucket;
//! a request is sent with a permit, which the others ask the home for while the request waits some milliseconds.
//! Pure: whoever uses it carries questions and answers between instances.

mod bucket;
pub mod endpoint;

use std::time::Duration;

use serde::{Deserialize, Serialize};
use shallotlead_base::time::Time;

use bucket::Bucket;

/// How long a permit may be used by another request, where the one that it was asked for has gone elsewhere. Kept for
/// longer, permits of many instances would add up to a burst.
const VALID: Duration = Duration::from_millis(500);
/// How long a server counts as closed when its limit's home didn't answer: it has ended, or is cut off.
const UNANSWERED: Duration = Duration::from_millis(500);
/// How long a server counts as closed when the instance that was asked isn't its limit's home as it sees it: such
/// views agree within a period or two of the gossip.
const NOT_HOME: Duration = Duration::from_millis(300);
/// How long after other instances heard of a limit they are told again, while its server names it: some have
/// started since.
const TOLD_AGAIN: Duration = Duration::from_secs(3);
/// Change of a rate, relative to the one before, that others should hear of at once.
const NOTABLE: f64 = 0.1;

/// Whether a request, or a probe, may be sent to a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Permission {
    /// It may, and counts.
    Granted,
    /// The limit's home has to be asked.
    Ask,
    /// Not now.
    Denied,
}

/// The home's answer to the question for a permit.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Reply {
    /// So many requests may be sent.
    Granted(u16),
    /// None may be sent, and asking again is of no use for so many milliseconds.
    Denied(u32),
}

/// Whether two words on a limit differ by so much that it matters.
pub fn is_notable_change(before: Option<f64>, after: Option<f64>) -> bool {
    match (before, after) {
        (Some(before), Some(after)) => NOTABLE * before < (after - before).abs(),
        (before, after) => before.is_some() != after.is_some(),
    }
}

/// What a server said last.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Word {
    /// Requests a second that it takes, if it names a limit.
    per_second: Option<f64>,
    /// When it said so.
    at: Time,
}

/// One server's limit as one instance knows it.
#[derive(Clone, Debug, Default)]
pub struct Limit {
    word: Option<Word>,
    /// What other instances heard of it last.
    told: Option<Word>,
    /// Permits that are left, and until when they may be used.
    permits: u32,
    valid_until: Time,
    /// Until when no permit is to be had.
    closed_until: Time,
    /// What this instance hands out while it is the limit's home.
    bucket: Option<Bucket>,
}

impl Limit {
    /// Requests a second that the server takes from all instances together; `None` if it names no limit.
    pub fn per_second(&self) -> Option<f64> {
        self.word?.per_second
    }

    /// How long ago the server said so.
    pub fn age(&self, now: Time) -> Duration {
        self.word.map_or(Duration::ZERO, |it| now.since(it.at))
    }

    /// The server said `at` what it takes. Says whether other instances should hear of it.
    ///
    /// An answer that names no limit speaks for the time at which its request was sent: it may have been made before
    /// one that names it and have lain unread since, as in an instance that was suspended.
    pub fn observe(&mut self, at: Time, per_second: Option<f64>) -> bool {
        if !self.take(at, per_second) {
            return false;
        }
        let is_news = match self.told {
            None => per_second.is_some(),
            Some(told) => {
                let is_due = per_second.is_some() && TOLD_AGAIN <= at.since(told.at);
                is_due || is_notable_change(told.per_second, per_second)
            }
        };
        if is_news {
            self.told = self.word;
        }
        is_news
    }

    /// Another instance tells what the server said `at`.
    pub fn adopt(&mut self, at: Time, per_second: Option<f64>) {
        if self.take(at, per_second) {
            self.told = self.word;
        }
    }

    /// Takes what the server said, if it is the latest.
    fn take(&mut self, at: Time, per_second: Option<f64>) -> bool {
        if self.word.is_some_and(|it| at <= it.at) {
            return false;
        }
        if self.per_second().is_none() {
            // What was sent without a limit isn't known here either.
            self.bucket = None;
        }
        self.word = Some(Word { per_second, at });
        true
    }

    /// Whether a request can't be sent now, and asking for a permit is of no use.
    pub fn is_closed(&self, now: Time) -> bool {
        self.per_second().is_some() && now < self.closed_until && !self.has_permit(now)
    }

    /// When it may be of use to ask for a permit again.
    pub fn opens_at(&self) -> Time {
        self.closed_until
    }

    /// Takes a permit for one request. `share`: the part of the limit that this instance hands out, if it is its home.
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

    /// Another instance asks for a permit; `share` as above.
    pub fn grant(&mut self, now: Time, share: Option<f64>) -> Reply {
        let denied = |wait: Duration| Reply::Denied(wait.as_millis() as u32);
        let Some(share) = share else {
            self.bucket = None;
            return denied(NOT_HOME);
        };
        // It has heard of an end that the other hasn't.
        let Some(rate) = self.per_second() else { return Reply::Granted(1) };
        match self.bucket(now, rate * share).take_some(now, rate * share) {
            Ok(permits) => Reply::Granted(permits),
            Err(wait) => denied(wait),
        }
    }

    /// The home has answered.
    pub fn apply_reply(&mut self, now: Time, reply: Reply) {
        match reply {
            Reply::Granted(permits) => {
                let left = if self.has_permit(now) { self.permits } else { 0 };
                self.permits = left + u32::from(permits);
                self.valid_until = now + VALID;
                self.closed_until = now;
            }
            Reply::Denied(ms) => {
                let until = now + Duration::from_millis(u64::from(ms));
                self.closed_until = self.closed_until.max(until);
            }
        }
    }

    /// The home hasn't answered in time.
    pub fn note_timeout(&mut self, now: Time) {
        self.closed_until = self.closed_until.max(now + UNANSWERED);
    }

    fn has_permit(&self, now: Time) -> bool {
        0 < self.permits && now < self.valid_until
    }

    fn bucket(&mut self, now: Time, rate: f64) -> &mut Bucket {
        self.bucket.get_or_insert_with(|| Bucket::open(now, rate))
    }
}
