//! Damping of members that come and go.

use std::time::Duration;

use shallotlead_base::time::Time;

/// The penalty of one return halves in this time.
const HALF_LIFE: Duration = Duration::from_secs(60);
/// From this penalty on, a member is held back.
const HOLD_THRESHOLD: f64 = 2.5;
/// Below this penalty it counts again.
const RELEASE_THRESHOLD: f64 = 1.2;
/// The penalty grows no further.
const MAX_PENALTY: f64 = 6.0;

/// How often a member came back from the dead lately. Each change of the live members moves homes
/// of prefixes, so a member that flaps would cost all the others; one that came back three times
/// within a minute has to stay for a while first.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Flap {
    penalty: f64,
    at: Time,
    held: bool,
}

impl Flap {
    /// The member came back.
    pub(crate) fn record_return(&mut self, now: Time) {
        self.penalty = (self.current(now) + 1.0).min(MAX_PENALTY);
        self.at = now;
        self.held = self.is_held(now) || HOLD_THRESHOLD < self.penalty;
    }

    /// Whether the member is held back.
    pub(crate) fn is_held(&self, now: Time) -> bool {
        self.held && RELEASE_THRESHOLD < self.current(now)
    }

    /// Ends the hold when it is over. Returns whether it just ended.
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
