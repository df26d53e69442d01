//! Processes, as the emulation runs them.

use shallotlead_base::time::Time;

/// A process. Dropping it is its end.
pub(crate) trait Process {
    /// Handles the sockets that are ready and what is due.
    fn turn(&mut self, now: Time) -> Next;
    /// Asks it to end by itself.
    fn begin_shutdown(&mut self) {}
}

/// When a process has its next turn.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Next {
    /// At this time, or when a socket is ready.
    At(Time),
    /// When a socket is ready.
    Event,
    /// Never: it has ended.
    Ended,
}

impl Next {
    /// The earlier one of its next turn and `time`.
    pub(crate) fn or_at(time: Option<Time>) -> Self {
        time.map_or(Self::Event, Self::At)
    }
}
