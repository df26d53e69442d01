//! Servers' entries on their way between instances.

use std::{io, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::packed;

/// Most bytes of entries that are unpacked: twelve thousand of about 350 bytes each.
const MAX_LENGTH: u64 = 4 << 20;

/// A server's entry as it lies in the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// The server.
    pub server: Arc<str>,
    /// The revision of its last change.
    pub revision: u64,
    /// Its content; nothing once the server is gone.
    pub value: Option<Vec<u8>>,
}

impl Entry {
    /// What the store has of `server` since `revision`.
    pub fn new(server: &Arc<str>, revision: u64, value: Option<&Arc<[u8]>>) -> Self {
        Self { server: server.clone(), revision, value: value.map(|it| it.to_vec()) }
    }
}

/// Entries that changed between two revisions of the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entries {
    after: u64,
    until: u64,
    packed: Vec<u8>,
}

impl Entries {
    /// Packs entries: whoever knew all as they were at `after` knows all as they were at `until` with these.
    pub fn pack(entries: &[Entry], after: u64, until: u64) -> io::Result<Self> {
        let bytes = postcard::to_stdvec(entries).map_err(io::Error::other)?;
        Ok(Self { after, until, packed: packed::pack(&bytes)? })
    }

    /// The revision up to which all is known with these entries, where all was known up to `known` before.
    pub fn advance(&self, known: u64) -> u64 {
        if self.after <= known { known.max(self.until) } else { known }
    }

    /// The entries, unless there are more bytes of them than any fleet has.
    pub fn unpack(&self) -> io::Result<Vec<Entry>> {
        let bytes = packed::unpack(&self.packed, MAX_LENGTH)?;
        postcard::from_bytes(&bytes).map_err(io::Error::other)
    }

    /// Bytes when packed.
    pub fn packed_len(&self) -> usize {
        self.packed.len()
    }
}
