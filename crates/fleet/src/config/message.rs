//! Messages between replicas of the table.

use serde::{Deserialize, Serialize};
use shallotlead_base::id::Version;
use shallotlead_table::change::Change;

/// A request for the next chunk of a table.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChunkRequest {
    /// The table's version.
    pub version: Version,
    /// Start of the chunk, in bytes.
    pub offset: u32,
}

/// A message between replicas of the table. The order of the variants is the wire format: append
/// only.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// Asks for what is newer than the version in force at the sender.
    Request {
        /// The version in force at the sender.
        have: Version,
        /// The next chunk that the sender needs, if it is assembling a table.
        want: Option<ChunkRequest>,
    },
    /// The changes that follow, oldest first, without gaps.
    Changes(Vec<Change>),
    /// A chunk of a whole table.
    Chunk {
        /// The table's version.
        version: Version,
        /// Hash of the encoded table.
        hash: u64,
        /// Size of the encoded table, in bytes.
        total: u32,
        /// Start of the chunk, in bytes.
        offset: u32,
        /// The chunk.
        bytes: Vec<u8>,
    },
    /// The sender has nothing newer.
    NotAhead,
}
