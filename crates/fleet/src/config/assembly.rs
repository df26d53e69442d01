//! Assembly of a whole table from chunks.

use shallotlead_base::{hash, id::Version};
use shallotlead_table::snapshot::Snapshot;

use crate::config::message::ChunkRequest;

/// Largest encoded table: some tens of thousands of rows.
const MAX_TABLE_BYTES: u32 = 16 << 20;

/// A table that is being assembled from chunks.
#[derive(Debug)]
pub(crate) struct Assembly {
    pub(crate) version: Version,
    hash: u64,
    total: usize,
    bytes: Vec<u8>,
}

impl Assembly {
    /// Starts to assemble a table of `total` bytes, unless that is too large.
    pub(crate) fn open(version: Version, hash: u64, total: u32) -> Option<Self> {
        if MAX_TABLE_BYTES < total {
            return None;
        }
        Some(Self { version, hash, total: total as usize, bytes: Vec::new() })
    }

    /// Adds the chunk at `offset`, if it is the next one.
    pub(crate) fn push(&mut self, offset: u32, bytes: &[u8]) {
        let fits = bytes.len() <= self.total - self.bytes.len();
        if offset as usize == self.bytes.len() && fits {
            self.bytes.extend_from_slice(bytes);
        }
    }

    /// The request for the next chunk.
    pub(crate) fn next_request(&self) -> ChunkRequest {
        ChunkRequest { version: self.version, offset: self.bytes.len() as u32 }
    }

    pub(crate) fn is_complete(&self) -> bool {
        self.bytes.len() == self.total
    }

    /// The table, if it has the announced hash and version.
    pub(crate) fn finish(self) -> Option<Snapshot> {
        if hash::stable(&self.bytes) != self.hash {
            return None;
        }
        let snapshot = postcard::from_bytes::<Snapshot>(&self.bytes).ok()?;
        (snapshot.version == self.version).then_some(snapshot)
    }
}
