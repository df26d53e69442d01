//! How long a run is known to have lasted, from the events of its response.

use std::time::Duration;

use shallotlead_base::time::Time;

/// Longest time between two updates of a copy: engines send new parts several times a second; three
/// times are assumed.
const COPY_PERIOD: Duration = Duration::from_millis(350);
/// Most that the pause before an event counts. A longer one may be a delay on the way, in a link
/// that stalled or an instance that was suspended, so that the event arrived long after it was
/// sent.
const MAX_COUNTED_PAUSE: Duration = Duration::from_millis(100);

/// A run that has sent events.
///
/// Guards against a second run of a request that may run once: a server without a copy should
/// answer that it ran nothing, but one that loses its responses starts the request. How long ago
/// the run was sent proves nothing, as it may have been lost long before its instance learns of it.
/// Not covered are a server that had no room for the copy and a slow link to it, as neither is
/// reported.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Run {
    first_event: Time,
    last_event: Time,
    duration: Duration,
}

impl Run {
    /// Starts with the first event.
    pub fn new(now: Time) -> Self {
        Self { first_event: now, last_event: now, duration: Duration::ZERO }
    }

    /// Records a further event.
    pub fn record_event(&mut self, now: Time) {
        self.duration += now.since(self.last_event).min(MAX_COUNTED_PAUSE);
        self.last_event = now;
    }

    /// When the first event arrived.
    pub fn first_event(&self) -> Time {
        self.first_event
    }

    /// When the last event arrived.
    pub fn last_event(&self) -> Time {
        self.last_event
    }

    /// Whether the run lasted long enough to be copied, and its copy, which is kept for `retention`
    /// after its last update, still exists.
    pub fn has_copy(&self, now: Time, retention: Duration) -> bool {
        COPY_PERIOD <= self.duration && now.since(self.last_event) < retention
    }
}
