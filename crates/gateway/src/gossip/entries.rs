//! Batches of servers' store entries that instances send each other.

use std::{io, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::deflate;

/// Maximum size of an unpacked batch in bytes: twelve thousand entries of about 350 bytes each.
const MAX_LENGTH: u64 = 4 << 20;
/// Most bytes of the entries that are packed into one batch, unless a single one is longer. Compressing more would hold up
/// the instance, and the batch might begin later than the receiver waits.
const MAX_PART: usize = 512 << 10;
/// Most bytes that an entry takes in a batch beside its name and content.
const OVERHEAD: usize = 20;

/// A server's entry as stored in the platform's store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Name of the server.
    pub server: Arc<str>,
    /// Revision of the entry's last change.
    pub revision: u64,
    /// Content of the entry; `None` once the server is gone.
    pub value: Option<Vec<u8>>,
}

impl Entry {
    /// The entry of `server` as of its last change at `revision`.
    pub fn new(server: &Arc<str>, revision: u64, value: Option<&Arc<[u8]>>) -> Self {
        Self { server: server.clone(), revision, value: value.map(|it| it.to_vec()) }
    }

    fn max_packed_len(&self) -> usize {
        OVERHEAD + self.server.len() + self.value.as_ref().map_or(0, Vec::len)
    }
}

/// Compressed entries that changed between two revisions of the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entries {
    after: u64,
    until: u64,
    packed: Vec<u8>,
}

impl Entries {
    /// Compresses entries. A receiver that has all changes up to `after` has all up to `until` once it applies them.
    pub fn pack(entries: &[Entry], after: u64, until: u64) -> io::Result<Self> {
        let bytes = postcard::to_stdvec(entries).map_err(io::Error::other)?;
        Ok(Self { after, until, packed: deflate::compress(&bytes)? })
    }

    /// Compresses as many of the entries as fit into a batch, oldest first. A receiver that asks again with the revision
    /// that it has advanced to receives further ones.
    pub fn pack_oldest(mut entries: Vec<Entry>, after: u64, until: u64) -> io::Result<Self> {
        entries.sort_by_key(|it| it.revision);
        let bytes = entries.iter().scan(0, |sum, it| {
            *sum += it.max_packed_len();
            Some(*sum)
        });
        let count = bytes.take_while(|it| *it <= MAX_PART).count().max(1);
        let is_part = count < entries.len();
        entries.truncate(count);
        let last = entries.last().map(|it| it.revision).filter(|_| is_part);
        Self::pack(&entries, after, last.map_or(until, |it| it.min(until)))
    }

    /// The revision up to which a receiver has all changes once it applies this batch, if it had all up to `known`
    /// before.
    pub fn advance(&self, known: u64) -> u64 {
        if self.after <= known { known.max(self.until) } else { known }
    }

    /// Decompresses the entries. Fails if they are damaged or larger than any fleet needs.
    pub fn unpack(&self) -> io::Result<Vec<Entry>> {
        let bytes = deflate::decompress(&self.packed, MAX_LENGTH)?;
        postcard::from_bytes(&bytes).map_err(io::Error::other)
    }

    /// Compressed size in bytes.
    pub fn packed_len(&self) -> usize {
        self.packed.len()
    }
}
