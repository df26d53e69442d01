//! What the router's thread is told.

use std::sync::mpsc;

use shallotlead_base::{
    id::{Attempt, Request, Weights},
    name,
    time::Time,
};
use shallotlead_fleet::{
    directory,
    intent::{self, entry::StoredResponse},
};
use shallotlead_policy::{
    input::{Input, Outcome, State},
    overview::Overview,
};

use crate::shell::submission::Submission;

/// One message to the router's thread.
#[derive(Debug)]
pub(crate) enum Message {
    /// A caller's request.
    Submit(Box<Submission>),
    /// The caller of a request went away.
    Abandon(Request),
    /// An attempt ended.
    Ended {
        /// The attempt.
        attempt: Attempt,
        /// How.
        outcome: Outcome,
        /// Its whole answer, as kept for repeats.
        kept: Option<StoredResponse>,
    },
    /// What the home of a request's prefix believes.
    Hints {
        /// The request.
        request: Request,
        /// The beliefs; empty where nothing is known or nobody answered in time.
        hints: Vec<directory::Hint>,
    },
    /// What became of a request's intent record.
    Intent(intent::Output),
    /// This instance found a server's state, by an attempt or a poll.
    Found {
        /// The server.
        server: name::Server,
        /// Its state.
        state: State,
        /// When it was asked.
        asked: Time,
    },
    /// An engine refused because it has other weights loaded than were meant.
    Loaded {
        /// The engine.
        server: name::Server,
        /// The weights that it has.
        weights: Weights,
    },
    /// What the fleet holds of a server's state.
    Told {
        /// The server.
        server: name::Server,
        /// Its state.
        state: State,
    },
    /// Something that the router itself is told.
    Input(Input),
    /// An operator looks.
    Overview(mpsc::Sender<Overview>),
    /// The thread must end, and its attempts with it.
    Stop,
}
