//! What the router is told.

use std::{sync::Arc, time::Duration};

use shallotlead_base::{
    code::Code,
    id::{Attempt, Incarnation, Request},
    name,
};
use shallotlead_table::snapshot::Snapshot;

use crate::{chain::Block, load::Report, request::Arrival};

/// One thing that happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// A request came.
    Arrive(Box<Arrival>),
    /// An attempt's first token came back.
    FirstToken {
        /// The attempt.
        attempt: Attempt,
        /// Prompt tokens that the server took from its cache, when it said.
        cached_tokens: Option<u32>,
    },
    /// An attempt ended.
    Ended {
        /// The attempt.
        attempt: Attempt,
        /// How.
        outcome: Outcome,
    },
    /// The caller went away.
    Abandoned(Request),
    /// A server's load report.
    Load(Report),
    /// Changes in a server's cache.
    Cache(Batch),
    /// Attempts that other instances sent, as they tell each other at once. Load reports lag by a
    /// second or more; without this each instance sees only its own part of a queue.
    Placed(Vec<Placement>),
    /// What is known of a server's life: from health checks, lists and answers.
    Server {
        /// The server.
        server: name::Server,
        /// Its state.
        state: State,
    },
    /// A new version of the table is in force.
    Table(Arc<Snapshot>),
    /// The number of live entry instances, this one included.
    Instances(u32),
    /// An allowance of a limit, good until it ends.
    Allowance(Allowance),
    /// The instance shuts down: nothing new is taken.
    Drain,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The answer is complete.
    Complete {
        /// Tokens that were generated.
        tokens: u32,
    },
    /// Nothing was sent, or the server said that it didn't run it.
    NotRun(Code),
    /// It broke after it may have started.
    Broken {
        /// Tokens that the caller already has.
        delivered: u32,
    },
    /// The server answered with an error that a retry won't mend.
    Failed(Code),
}

/// Life of a server as seen from here.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// It takes work.
    Up(Incarnation),
    /// It finishes what it has and takes nothing new.
    Leaving,
    /// It doesn't answer.
    Down,
}

/// Cache events of one server.
#[derive(Clone, Debug)]
pub struct Batch {
    /// The server.
    pub server: name::Server,
    /// Its life.
    pub incarnation: Incarnation,
    /// Sequence number of the first event.
    pub first: u64,
    /// The events, without gaps inside.
    pub events: Vec<Event>,
}

/// Most blocks that a [`Placement`] carries.
pub const ANCHORS: usize = 4;

/// An attempt that another instance sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// Where it was sent.
    pub server: name::Server,
    /// The life that was meant.
    pub incarnation: Incarnation,
    /// Prompt tokens that the server is expected to compute: those of the chosen candidate.
    pub uncached_tokens: u32,
    /// Some blocks of the prompt: its [`crate::chain::Chain::anchors`], up to [`ANCHORS`].
    pub anchors: Vec<Block>,
    /// How long ago it was sent.
    pub age: Duration,
}

/// One cache event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// The block is cached now.
    Stored(Block),
    /// The block was evicted.
    Evicted(Block),
    /// All blocks were dropped.
    Cleared,
}

/// What a limit is for.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Scope {
    /// One organisation.
    Organisation(name::Organisation),
    /// One model.
    Model(name::Model),
    /// One backend server.
    Server(name::Server),
}

/// A share of a limit that this instance may use until it ends.
#[derive(Clone, Debug, PartialEq)]
pub struct Allowance {
    /// The limit's scope.
    pub scope: Scope,
    /// Requests a second.
    pub requests_per_second: Option<f64>,
    /// Tokens a minute.
    pub tokens_per_minute: Option<f64>,
    /// Requests at once.
    pub concurrency: Option<u32>,
    /// When it ends, on this process's clock.
    pub until: shallotlead_base::time::Time,
}
