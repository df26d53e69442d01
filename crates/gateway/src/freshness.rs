//! How current the configuration of an instance is: when the store last confirmed it, here or to another one.
//!
//! The load pattern to bear: all that watch the store for a data centre are paused, cut off or gone at the same moment,
//! and the others take them for alive for seconds yet. Nobody may miss a change for long, and not all may watch at once.

use std::time::Duration;

use shallotlead_base::time::Time;

/// How long an instance of a large fleet waits for the watchers' word, which comes each second. A change is to be in
/// force everywhere within 3 s: one word may be lost, and there is time left to read the change and to tell it.
const OVERDUE: Duration = Duration::from_secs(2);
/// Time between two that begin to watch in place of others: the word of the first reaches the next one before.
const TURN: Duration = Duration::from_millis(300);

/// How current this instance's configuration is.
///
/// Guards against an instance that doesn't watch and can't tell a quiet store from watchers that are gone. It shows as
/// changes that are in force nowhere until the watchers count as dead. It holds since those that watch say each second
/// that there is nothing newer, and where that stays away others watch, one after the other.
#[derive(Debug, Default)]
pub struct Freshness {
    /// When the store last confirmed the configuration in force; nothing before the first time.
    confirmed: Option<Time>,
    /// When an instance that watches before this one last told so, or had to.
    told: Option<Time>,
}

impl Freshness {
    /// The store has confirmed this instance's configuration to itself.
    pub fn record_confirmation(&mut self, now: Time) {
        self.confirmed = Some(now);
        self.told.get_or_insert(now);
    }

    /// Another instance said that the store confirmed the same configuration, at `at`. `is_before`: it watches before
    /// this one, or this one doesn't watch.
    pub fn record_peer_confirmation(&mut self, at: Time, is_before: bool) {
        self.confirmed = self.confirmed.max(Some(at));
        if is_before {
            self.told = self.told.max(Some(at));
        }
    }

    /// This instance is one of those that watch for the others, and hears of nobody before it.
    pub fn mark_watching(&mut self, now: Time) {
        self.told = Some(now);
    }

    /// Time since the store confirmed the configuration in force, as far as known here.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.confirmed.map(|it| now.since(it))
    }

    /// Whether this instance, the one at `place` behind those that watch, is to watch in their place.
    pub fn is_overdue(&self, now: Time, place: usize) -> bool {
        let turn = TURN * u32::try_from(place).unwrap_or(u32::MAX);
        self.told.is_some_and(|it| OVERDUE + turn <= now.since(it))
    }
}
