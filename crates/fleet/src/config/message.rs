//! What replicas of the table tell each other.

use serde::{Deserialize, Serialize};
use shallotlead_base::id::Version;
use shallotlead_table::change::Change;

/// The piece that is wanted next.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChunkRequest {
    /// The table's version.
    pub version: Version,
    /// Where the piece begins, in bytes.
    pub offset: u32,
}

/// What replicas of the table tell each other. The order of the variants is the wire format: append
/// only.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// What is newer than this?
    Request {
        /// The version in force at the sender.
        have: Version,
        /// The piece that the sender wants, if it is in the midst of a table.
        want: Option<ChunkRequest>,
    },
    /// Changes, oldest first, without gaps.
    Changes(Vec<Change>),
    /// A piece of a whole table.
    Chunk {
        /// The table's version.
        version: Version,
        /// Hash of the whole.
        hash: u64,
        /// Bytes of the whole.
        total: u32,
        /// Where the piece begins, in bytes.
        offset: u32,
        /// The piece.
        bytes: Vec<u8>,
    },
    /// I know nothing newer.
    NotAhead,
}
