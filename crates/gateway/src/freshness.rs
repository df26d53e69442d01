//! How long ago the store confirmed an instance's configuration, to itself or to another instance.
//!
//! The worst case is that all watchers of a data centre are paused, cut off or gone at the same moment while the
//! others still consider them alive for seconds. No instance may miss a change for long, and not all may start to
//! watch.

use std::time::Duration;

use shallotlead_base::time::Time;

/// How long an instance of a large fleet waits for the watchers' confirmation, which comes every second. A change
/// must be in force everywhere within 3 s: this leaves room for one lost confirmation and for reading and spreading
/// the change.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which standby instances start to watch, so that the first one's confirmation reaches the next in time.
const TAKEOVER_INTERVAL: Duration = Duration::from_millis(300);

/// How current this instance's configuration is.
///
/// Guards against an instance that does not watch and cannot tell an unchanged store from watchers that are gone. It
/// shows as changes that are not in force anywhere until the watchers count as dead. Watchers confirm every second
/// that there is nothing newer, and when confirmations stop, standby instances start to watch one after the other.
#[derive(Debug, Default)]
pub struct Freshness {
    /// When the store last confirmed the configuration in force; `None` before the first time.
    confirmed_at: Option<Time>,
    /// When an instance that precedes this one last confirmed it, or the time from which its confirmation is awaited.
    preceding_confirmed_at: Option<Time>,
}

impl Freshness {
    /// The store has confirmed the configuration to this instance.
    pub fn record_confirmation(&mut self, now: Time) {
        self.confirmed_at = Some(now);
        self.preceding_confirmed_at.get_or_insert(now);
    }

    /// Another instance reports that the store confirmed the same configuration at `at`. `is_preceding`: that instance
    /// precedes this one as a watcher, or this one does not watch.
    pub fn record_peer_confirmation(&mut self, at: Time, is_preceding: bool) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
        if is_preceding {
            self.preceding_confirmed_at = self.preceding_confirmed_at.max(Some(at));
        }
    }

    /// This instance is a watcher now, with no other preceding it.
    pub fn mark_watching(&mut self, now: Time) {
        self.preceding_confirmed_at = Some(now);
    }

    /// Time since the store confirmed the configuration in force, as far as known here.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.confirmed_at.map(|it| now.since(it))
    }

    /// Whether this instance must start to watch; `standby_rank` is its position behind the watchers.
    pub fn is_overdue(&self, now: Time, standby_rank: usize) -> bool {
        let delay = TAKEOVER_INTERVAL * u32::try_from(standby_rank).unwrap_or(u32::MAX);
        self.preceding_confirmed_at.is_some_and(|it| CONFIRMATION_TIMEOUT + delay <= now.since(it))
    }
}
