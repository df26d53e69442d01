//! A call on its way through the client.

use std::time::Duration;

use shallotlead_base::{
    store::{Call, Key},
    time::Time,
};

use crate::{backoff::Backoff, budget::Family, scheduler::Ticket};

/// Shortest pause between two tries of one call.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Longest pause between two tries of one call.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// What the next or current try of a call is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Stage {
    /// The call itself; no earlier try of it can have had an effect.
    Initial,
    /// A read that tells whether the write took effect.
    ReadBack,
    /// The write once more, after a read-back found the expected version still in force.
    Resend,
}

/// Where a call is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum State {
    /// Waits to be sent.
    Waiting {
        /// Not before this time.
        not_before: Time,
    },
    /// In flight.
    InFlight {
        /// Whether an equal read may still share its answer.
        is_joinable: bool,
    },
}

/// One call with everyone who waits for its answer.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) tickets: Vec<Ticket>,
    pub(super) call: Call,
    pub(super) stage: Stage,
    pub(super) state: State,
    pub(super) deadline: Time,
    pub(super) backoff: Backoff,
}

impl Entry {
    pub(super) fn new(ticket: Ticket, call: Call, not_before: Time, deadline: Time) -> Self {
        Self {
            tickets: vec![ticket],
            call,
            stage: Stage::Initial,
            state: State::Waiting { not_before },
            deadline,
            backoff: Backoff::new(MIN_RETRY_DELAY, MAX_RETRY_DELAY),
        }
    }

    /// What goes to the platform next.
    pub(super) fn next_call(&self) -> Call {
        match (&self.call, self.stage) {
            (Call::Put { key, .. } | Call::Delete { key, .. }, Stage::ReadBack) => {
                Call::Get(key.clone())
            }
            (call, _) => call.clone(),
        }
    }

    /// What the platform counts the next try as.
    pub(super) fn family(&self) -> Family {
        match self.stage {
            Stage::ReadBack => Family::Read,
            Stage::Initial | Stage::Resend => Family::of(&self.call),
        }
    }

    pub(super) fn is_write(&self) -> bool {
        Family::of(&self.call) == Family::Write
    }

    pub(super) fn is_waiting(&self) -> bool {
        matches!(self.state, State::Waiting { .. })
    }

    pub(super) fn is_due(&self, now: Time) -> bool {
        matches!(self.state, State::Waiting { not_before } if not_before <= now)
    }

    pub(super) fn wait_until(&mut self, not_before: Time) {
        self.state = State::Waiting { not_before };
    }

    /// From here on, only a read-back can tell what the write did.
    pub(super) fn start_settling(&mut self, deadline: Time) {
        if self.stage == Stage::Initial {
            self.deadline = deadline;
        }
        self.stage = Stage::ReadBack;
    }

    /// Whether the answer of this read answers `call` too.
    pub(super) fn can_join(&self, call: &Call) -> bool {
        let joinable = match self.state {
            State::Waiting { .. } => true,
            State::InFlight { is_joinable: joinable } => joinable,
        };
        joinable && !self.is_write() && self.call == *call
    }

    /// Lets nobody join who must see a write of `key`.
    pub(super) fn forbid_joining(&mut self, key: &Key) {
        let touches = match &self.call {
            Call::Get(read) => read == key,
            Call::List { kind } => *kind == key.kind,
            Call::Put { .. } | Call::Delete { .. } | Call::Watch { .. } => false,
        };
        if let State::InFlight { is_joinable: joinable } = &mut self.state
            && touches
        {
            *joinable = false;
        }
    }
}
