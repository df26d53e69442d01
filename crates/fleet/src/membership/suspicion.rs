//! A member that some instance got no answer from.

use std::time::Duration;

use shallotlead_base::{name, time::Time};

/// How long a suspicion lasts when nobody confirms it.
const MAX_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long it lasts when enough others confirm it.
const MIN_TIMEOUT: Duration = Duration::from_millis(600);
/// Longer waits of those who don't observe the member themselves: they act only when all its
/// observers failed with it.
const NON_OBSERVER_DELAY: Duration = Duration::from_secs(3);

/// A suspicion, which ends in the member's death unless the member refutes it. It is the shorter
/// the more instances came to it by themselves (Lifeguard).
#[derive(Clone, Debug)]
pub(crate) struct Suspicion {
    since: Time,
    by: Vec<name::Instance>,
}

impl Suspicion {
    pub(crate) fn new(now: Time, by: name::Instance) -> Self {
        Self { since: now, by: vec![by] }
    }

    /// Adds a confirmation. Returns whether it is new.
    pub(crate) fn confirm(&mut self, by: &name::Instance) -> bool {
        let new = !self.by.contains(by);
        if new {
            self.by.push(by.clone());
        }
        new
    }

    /// Starts the wait again.
    pub(crate) fn restart(&mut self, now: Time) {
        self.since = now;
    }

    /// When the member counts as dead. `observers` is how many instances observe it; `strain` is
    /// this instance's own, by which it waits longer.
    pub(crate) fn deadline(&self, observers: usize, observed: bool, strain: u32) -> Time {
        let needed = observers.saturating_sub(1).max(1);
        let confirmed = (self.by.len() - 1).min(needed);
        let span = (MAX_TIMEOUT - MIN_TIMEOUT) * confirmed as u32 / needed as u32;
        // A sole observer has nobody who could confirm.
        let wait = if observers < 2 { MIN_TIMEOUT * 2 } else { MAX_TIMEOUT - span };
        let extra = if observed { Duration::ZERO } else { NON_OBSERVER_DELAY };
        self.since + wait * (1 + strain) + extra
    }
}
