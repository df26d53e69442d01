//! What homes, askers and keepers tell each other.

use serde::{Deserialize, Serialize};
use shallotlead_base::{
    id::{Block, Incarnation},
    name,
};

use crate::directory::path::Path;

/// A belief that a server holds a prefix.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Hint {
    /// The server.
    pub server: name::Server,
    /// The life that the belief speaks of.
    pub incarnation: Incarnation,
    /// Leading blocks believed cached.
    pub blocks: u32,
    /// Probability that the belief still holds, 0 to 1.
    pub confidence: f32,
    /// Age of the belief, in milliseconds.
    pub age_ms: u32,
}

/// A belief as it is handed over.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Location {
    /// The block.
    pub block: Block,
    /// The block that decides its home.
    pub key: Block,
    /// Who holds it.
    pub server: name::Server,
    /// The life that the belief speaks of.
    pub incarnation: Incarnation,
    /// Its age, in milliseconds.
    pub age_ms: u32,
    /// Whether the server said so itself.
    pub confirmed: bool,
}

/// What peers tell each other.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// To the home: who holds this?
    Lookup {
        /// The asker's life.
        incarnation: Incarnation,
        /// Number of the question within that life.
        number: u32,
        /// The prompt.
        path: Path,
    },
    /// From the home.
    Hints {
        /// The life that asked.
        incarnation: Incarnation,
        /// Number of the question.
        number: u32,
        /// Deepest first.
        hints: Vec<Hint>,
        /// Look for a home by a deeper block from now on.
        split: bool,
    },
    /// To the home: an attempt with this prompt was sent.
    Placed {
        /// The prompt.
        path: Path,
        /// Where it was sent.
        server: name::Server,
        /// The life that was meant.
        incarnation: Incarnation,
    },
    /// To the home: an attempt with the prompt of this question was sent.
    PlacedByLookup {
        /// The asker's life.
        incarnation: Incarnation,
        /// Number of the question.
        number: u32,
        /// Where it was sent.
        server: name::Server,
        /// The life that was meant.
        server_incarnation: Incarnation,
    },
    /// From a server's keeper: blocks of interest came or went.
    BlocksChanged {
        /// The server.
        server: name::Server,
        /// Its life.
        incarnation: Incarnation,
        /// Blocks that are cached.
        stored: Vec<Block>,
        /// Blocks that are not.
        evicted: Vec<Block>,
    },
    /// From a server's keeper: events were lost, older beliefs are doubtful.
    EventsLost {
        /// The server.
        server: name::Server,
        /// Its life.
        incarnation: Incarnation,
    },
    /// From a server's keeper: its cache is empty, or it lives a new life.
    Cleared {
        /// The server.
        server: name::Server,
        /// Its life.
        incarnation: Incarnation,
    },
    /// From the home until now: beliefs about prefixes whose home has changed.
    Transfer(Vec<Location>),
}
