//! How long a run is known to have lasted, from the events of its answer.

use std::time::Duration;

use shallotlead_base::time::Time;

/// Longest time between two parts of a copy: engines send what is new several times a second, taken as three.
const PERIOD: Duration = Duration::from_millis(350);
/// What the pause before an event may count at most. A longer one may lie on the way: in a link that stalled, or
/// in an instance that stood still, behind which the event came long after it was made.
const LONGEST_PAUSE: Duration = Duration::from_millis(100);

/// A run that has sent events.
///
/// Guards against a second run of what may run once: a server without a copy should answer that it ran nothing,
/// but one that loses its answers begins with the request. How long ago the run was sent proves nothing, as it may
/// have been lost long before its instance learns of it. What remains is a server that had no room for the copy,
/// or a slow link to it: nobody tells of those.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Run {
    first: Time,
    last: Time,
    lasted: Duration,
}

impl Run {
    /// Its first event came.
    pub fn new(now: Time) -> Self {
        Self { first: now, last: now, lasted: Duration::ZERO }
    }

    /// Another event came.
    pub fn record_event(&mut self, now: Time) {
        self.lasted += now.since(self.last).min(LONGEST_PAUSE);
        self.last = now;
    }

    /// When its first event came.
    pub fn first_event(&self) -> Time {
        self.first
    }

    /// When its last event came.
    pub fn last_event(&self) -> Time {
        self.last
    }

    /// Whether it lasted long enough to be copied, and the copy is still `kept` for so long after its last part.
    pub fn has_copy(&self, now: Time, kept: Duration) -> bool {
        PERIOD <= self.lasted && now.since(self.last) < kept
    }
}
