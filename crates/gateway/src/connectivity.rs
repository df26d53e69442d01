//! Whether the platform's store answers this instance, by what became of its calls.
//!
//! The load pattern to bear: the store turns some instances away, or falls silent to them, while it serves the others.
//! Among them may be all that watch it for a large fleet, which make no other calls than their watches.

use std::time::Duration;

use shallotlead_base::time::Time;

/// This instance's contact with the store.
///
/// Guards against an instance that watches for others and is cut off without noticing: the store may cut a waiting
/// watch at any time, so that one that breaks off is no sign of an outage, and a watch was all that it ever asked. It
/// shows as changes that are in force nowhere for as long as the cut lasts. It holds since the watch after a broken one
/// doesn't wait: it is answered at once, or the store is lost.
#[derive(Debug)]
pub struct Connectivity {
    /// When the store last answered; the start before the first time.
    answered: Time,
    /// Since when it doesn't.
    lost_since: Option<Time>,
    /// Watches that have broken off since it last answered.
    broken_watches: u32,
}

impl Connectivity {
    /// Before the first call.
    pub fn new(now: Time) -> Self {
        Self { answered: now, lost_since: None, broken_watches: 0 }
    }

    /// Since when the store doesn't answer this instance.
    pub fn lost_since(&self) -> Option<Time> {
        self.lost_since
    }

    /// Time since it last answered.
    pub fn age(&self, now: Time) -> Duration {
        now.since(self.answered)
    }

    /// Watches that have broken off since it last answered.
    pub fn broken_watches(&self) -> u32 {
        self.broken_watches
    }

    /// How long the next watch may wait, of `wait` at most.
    pub fn watch_timeout(&self, wait: Duration) -> Duration {
        if self.broken_watches == 0 { wait } else { Duration::ZERO }
    }

    /// A call was answered. Returns how long the store was lost, if it was.
    pub fn answered(&mut self, now: Time) -> Option<Duration> {
        (self.answered, self.broken_watches) = (now, 0);
        self.lost_since.take().map(|it| now.since(it))
    }

    /// A call had no answer, or a refusal. Says whether the store is lost by that.
    pub fn failed(&mut self, now: Time) -> bool {
        let is_news = self.lost_since.is_none();
        self.lost_since.get_or_insert(now);
        is_news
    }

    /// A watch broke off that might have waited for `wait`. Says whether the store is lost by that.
    pub fn watch_broke(&mut self, now: Time, wait: Duration) -> bool {
        self.broken_watches += 1;
        wait.is_zero() && self.failed(now)
    }
}
