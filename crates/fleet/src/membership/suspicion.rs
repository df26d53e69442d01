//! The suspicion of a member that doesn't answer, which precedes its death.

use std::time::Duration;

use shallotlead_base::{name, time::Time};

/// Timeout of a suspicion that no other instance confirms.
const MAX_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Timeout of a suspicion that enough others confirm.
const MIN_TIMEOUT: Duration = Duration::from_millis(600);
/// Added to the timeout at instances that don't observe the member. They act only when all its
/// observers failed with it.
const NON_OBSERVER_DELAY: Duration = Duration::from_secs(3);

/// A suspicion. The member counts as dead at its end unless it refutes it before. The more instances
/// confirm it independently, the shorter it lasts (Lifeguard).
#[derive(Clone, Debug)]
pub(crate) struct Suspicion {
    since: Time,
    by: Vec<name::Instance>,
}

impl Suspicion {
    pub(crate) fn new(now: Time, by: name::Instance) -> Self {
        Self { since: now, by: vec![by] }
    }

    /// Adds a confirmation by `by`. Returns whether it is new.
    pub(crate) fn confirm(&mut self, by: &name::Instance) -> bool {
        let new = !self.by.contains(by);
        if new {
            self.by.push(by.clone());
        }
        new
    }

    /// Restarts the timeout.
    pub(crate) fn restart(&mut self, now: Time) {
        self.since = now;
    }

    /// When the member counts as dead. `observers` is how many instances observe it; `health_penalty` is
    /// this instance's own, by which it waits longer.
    pub(crate) fn deadline(&self, observers: usize, observed: bool, health_penalty: u32) -> Time {
        let needed = observers.saturating_sub(1).max(1);
        let confirmed = (self.by.len() - 1).min(needed);
        let span = (MAX_TIMEOUT - MIN_TIMEOUT) * confirmed as u32 / needed as u32;
        // There is nobody who could confirm the suspicion of a sole observer.
        let wait = if observers < 2 { MIN_TIMEOUT * 2 } else { MAX_TIMEOUT - span };
        let extra = if observed { Duration::ZERO } else { NON_OBSERVER_DELAY };
        self.since + wait * (1 + health_penalty) + extra
    }
}
