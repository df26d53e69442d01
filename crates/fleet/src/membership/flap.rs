//! Flap damping: members that return from the dead too often are held back.

use std::time::Duration;

use shallotlead_base::time::Time;

/// Time in which a penalty halves.
const HALF_LIFE: Duration = Duration::from_secs(60);
/// Above this penalty, a member is held back.
const HOLD_THRESHOLD: f64 = 2.5;
/// At or below this penalty, it counts as live again.
const RELEASE_THRESHOLD: f64 = 1.2;
/// Upper limit of the penalty, which bounds how long a member is held back.
const MAX_PENALTY: f64 = 6.0;

/// Decaying count of a member's recent returns from the dead. Each change of the live members moves
/// owners of prefixes, so a flapping member costs all the others; one that returned three times
/// within a minute is held back until it has stayed up for a while.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Flap {
    penalty: f64,
    at: Time,
    held: bool,
}

impl Flap {
    /// Records that the member returned from the dead.
    pub(crate) fn record_return(&mut self, now: Time) {
        self.penalty = (self.current(now) + 1.0).min(MAX_PENALTY);
        self.at = now;
        self.held = self.is_held(now) || HOLD_THRESHOLD < self.penalty;
    }

    /// Whether the member is held back.
    pub(crate) fn is_held(&self, now: Time) -> bool {
        self.held && RELEASE_THRESHOLD < self.current(now)
    }

    /// Ends the hold once the penalty has decayed. Returns whether it ended now.
    pub(crate) fn release(&mut self, now: Time) -> bool {
        let over = self.held && !self.is_held(now);
        self.held &= !over;
        over
    }

    fn current(&self, now: Time) -> f64 {
        let halves = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.penalty * 0.5f64.powf(halves)
    }
}
