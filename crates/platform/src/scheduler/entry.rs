//! State of a submitted call.

use std::time::Duration;

use shallotlead_base::{
    store::{Call, Key},
    time::Time,
};

use crate::{backoff::Backoff, budget::Family, scheduler::Ticket};

/// Shortest delay between two attempts of a call.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Longest delay between two attempts of a call.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Purpose of the next or current attempt of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Stage {
    /// The call itself. No earlier attempt can have had an effect.
    Initial,
    /// A read that shows whether the write took effect.
    ReadBack,
    /// The write again, after the read-back found the object still at the expected version.
    Resend,
}

/// Whether a call waits or is in flight.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum State {
    /// Waiting to be sent.
    Waiting {
        /// Earliest time at which it may be sent.
        not_before: Time,
    },
    /// In flight.
    InFlight {
        /// Whether another equal read may share the reply.
        is_joinable: bool,
    },
}

/// A call with the tickets of all submitters that wait for its reply.
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

    /// Returns the call to send to the platform next.
    pub(super) fn next_call(&self) -> Call {
        match (&self.call, self.stage) {
            (Call::Put { key, .. } | Call::Delete { key, .. }, Stage::ReadBack) => {
                Call::Get(key.clone())
            }
            (call, _) => call.clone(),
        }
    }

    /// Returns the family of the next attempt.
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

    /// Makes a read-back the next attempt, as the write may have taken effect.
    pub(super) fn start_settling(&mut self, deadline: Time) {
        if self.stage == Stage::Initial {
            self.deadline = deadline;
        }
        self.stage = Stage::ReadBack;
    }

    /// Whether `call` is an equal read that may share this one's reply.
    pub(super) fn can_join(&self, call: &Call) -> bool {
        let is_joinable = match self.state {
            State::Waiting { .. } => true,
            State::InFlight { is_joinable } => is_joinable,
        };
        is_joinable && !self.is_write() && self.call == *call
    }

    /// Lets no further reads share the reply if it may lack a write of `key`.
    pub(super) fn forbid_joining(&mut self, key: &Key) {
        let is_affected = match &self.call {
            Call::Get(read) => read == key,
            Call::List { kind } => *kind == key.kind,
            Call::Put { .. } | Call::Delete { .. } | Call::Watch { .. } => false,
        };
        if let State::InFlight { is_joinable } = &mut self.state
            && is_affected
        {
            *is_joinable = false;
        }
    }
}
