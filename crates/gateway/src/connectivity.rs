//! Whether the platform's store answers this instance, judged by the outcome of its calls.
//!
//! The store may refuse some instances, or stop answering them, while it serves the others. These may include all
//! watchers of a large fleet, which make no calls other than their watches.

use std::time::Duration;

use shallotlead_base::time::Time;

use crate::pool::{MIN_OUTAGE, RECOVERY_GRACE};

/// This instance's connectivity to the store.
///
/// Guards against a watcher that is cut off without noticing: the store may end a waiting watch at any time, so a
/// broken watch alone is no sign of an outage, and a watcher may make no other calls. It shows as changes that are
/// not in force anywhere until the connection is back. The watch after a broken one does not wait: it is answered at
/// once, or the store counts as lost.
#[derive(Debug)]
pub struct Connectivity {
    /// When the store last answered; the start time before the first answer.
    answered_at: Time,
    /// Since when it has answered all along.
    steady_since: Time,
    /// When the store was lost, if it is.
    lost_since: Option<Time>,
    /// Broken watches since the last answer.
    broken_watches: u32,
}

impl Connectivity {
    /// The state before the first call, which counts as answered at `now`.
    pub fn new(now: Time) -> Self {
        Self { answered_at: now, steady_since: now, lost_since: None, broken_watches: 0 }
    }

    /// When the store was lost, if it is.
    pub fn lost_since(&self) -> Option<Time> {
        self.lost_since
    }

    /// Time since the last answer.
    pub fn age(&self, now: Time) -> Duration {
        now.since(self.answered_at)
    }

    /// Whether the store has answered all along for so long that no entry is missing because of an outage.
    pub fn is_steady(&self, now: Time) -> bool {
        let is_answering = self.lost_since.is_none() && self.age(now) <= MIN_OUTAGE;
        is_answering && RECOVERY_GRACE <= now.since(self.steady_since)
    }

    /// Broken watches since the last answer.
    pub fn broken_watches(&self) -> u32 {
        self.broken_watches
    }

    /// How long the next watch may wait; at most `wait`.
    pub fn watch_timeout(&self, wait: Duration) -> Duration {
        if self.broken_watches == 0 { wait } else { Duration::ZERO }
    }

    /// Records that a call was answered. Returns how long the store was lost, if it was.
    pub fn record_answer(&mut self, now: Time) -> Option<Duration> {
        if self.lost_since.is_some() || MIN_OUTAGE < self.age(now) {
            self.steady_since = now;
        }
        (self.answered_at, self.broken_watches) = (now, 0);
        self.lost_since.take().map(|it| now.since(it))
    }

    /// Records that a call had no answer or was refused. Returns whether the store is lost as of now.
    pub fn record_failure(&mut self, now: Time) -> bool {
        let is_newly_lost = self.lost_since.is_none();
        self.lost_since.get_or_insert(now);
        is_newly_lost
    }

    /// Records that a watch broke that could have waited for `wait`. Returns whether the store is lost as of now.
    pub fn record_broken_watch(&mut self, now: Time, wait: Duration) -> bool {
        self.broken_watches += 1;
        wait.is_zero() && self.record_failure(now)
    }
}
