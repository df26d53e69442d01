//! Messages between the owners of prefixes, their callers and the keepers of servers.

use serde::{Deserialize, Serialize};
use shallotlead_base::{
    id::{Block, Incarnation},
    name,
};

use crate::directory::path::Path;

/// A server that is expected to have a prefix cached.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Hint {
    /// The server.
    pub server: name::Server,
    /// The incarnation of the server that it holds for.
    pub incarnation: Incarnation,
    /// Number of leading blocks expected to be cached.
    pub blocks: u32,
    /// Probability that it still holds, 0 to 1.
    pub confidence: f32,
    /// Time since it was last observed, in milliseconds.
    pub age_ms: u32,
}

/// A block that a server is expected to have cached, as transferred to a new owner.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Location {
    /// The block.
    pub block: Block,
    /// The block that decides its owner.
    pub key: Block,
    /// The server that has it cached.
    pub server: name::Server,
    /// The incarnation of the server that it holds for.
    pub incarnation: Incarnation,
    /// Time since it was last observed, in milliseconds.
    pub age_ms: u32,
    /// Whether the server itself reported it.
    pub is_confirmed: bool,
}

/// Messages of the directory between instances.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// To the owner: asks which servers have the prompt's prefix cached.
    Lookup {
        /// The caller's incarnation.
        incarnation: Incarnation,
        /// Number of the lookup within that incarnation.
        number: u32,
        /// The prompt.
        path: Path,
    },
    /// From the owner: the reply to a lookup.
    Hints {
        /// The caller's incarnation.
        incarnation: Incarnation,
        /// Number of the lookup.
        number: u32,
        /// Deepest first.
        hints: Vec<Hint>,
        /// Whether to choose the owner by a deeper block from now on.
        split: bool,
    },
    /// To the owner: an attempt with this prompt was sent.
    Placed {
        /// The prompt.
        path: Path,
        /// The server that it was sent to.
        server: name::Server,
        /// The incarnation of the server that it was meant for.
        incarnation: Incarnation,
    },
    /// To the owner: an attempt with the prompt of this lookup was sent.
    PlacedByLookup {
        /// The caller's incarnation.
        incarnation: Incarnation,
        /// Number of the lookup.
        number: u32,
        /// The server that it was sent to.
        server: name::Server,
        /// The incarnation of the server that it was meant for.
        server_incarnation: Incarnation,
    },
    /// From a server's keeper: watched blocks were stored or evicted.
    BlocksChanged {
        /// The server.
        server: name::Server,
        /// Its incarnation.
        incarnation: Incarnation,
        /// Blocks that are cached now.
        stored: Vec<Block>,
        /// Blocks that are no longer cached.
        evicted: Vec<Block>,
    },
    /// From a server's keeper: events were lost, so older locations are less certain.
    EventsLost {
        /// The server.
        server: name::Server,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// From a server's keeper: its cache is empty, or the server has restarted.
    Cleared {
        /// The server.
        server: name::Server,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// From the previous owner: locations of prefixes whose owner has changed.
    Transfer(Vec<Location>),
}
