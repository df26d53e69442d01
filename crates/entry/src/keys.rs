//! API keys: from a caller's key to its organisation. Only hashes of keys are kept.

use std::{
    fmt::Write,
    sync::{Arc, PoisonError, RwLock},
};

use sha2::{Digest, Sha256};
use shallotlead_base::{hash::Map, name};
use shallotlead_table::{organisation::Organisation, snapshot::Snapshot};

/// SHA-256 of an API key in lowercase hexadecimal, as in the organisation's row.
pub fn hash(key: &str) -> String {
    let mut text = String::with_capacity(64);
    for byte in Sha256::digest(key) {
        // Writing to a string doesn't fail.
        let _ = write!(text, "{byte:02x}");
    }
    text
}

/// Finds organisations by their keys' hashes, for the newest table seen.
#[derive(Debug, Default)]
pub(crate) struct Index {
    built: RwLock<Built>,
}

#[derive(Debug, Default)]
struct Built {
    table: Arc<Snapshot>,
    names: Map<String, name::Organisation>,
}

impl Index {
    /// The row of the organisation that owns `key` in `table`.
    pub(crate) fn find<'a>(&self, table: &'a Arc<Snapshot>, key: &str) -> Option<&'a Organisation> {
        let hash = hash(key);
        if let Some(name) = self.cached(table, &hash) {
            return table.organisations.get(&name?);
        }
        let mut built = self.built.write().unwrap_or_else(PoisonError::into_inner);
        *built = build(Arc::clone(table));
        table.organisations.get(built.names.get(&hash)?)
    }

    fn cached(&self, table: &Arc<Snapshot>, hash: &str) -> Option<Option<name::Organisation>> {
        let built = self.built.read().unwrap_or_else(PoisonError::into_inner);
        Arc::ptr_eq(&built.table, table).then(|| built.names.get(hash).cloned())
    }
}

fn build(table: Arc<Snapshot>) -> Built {
    let mut names = Map::default();
    for row in table.organisations.values() {
        for hash in &row.key_hashes {
            names.insert(hash.to_ascii_lowercase(), row.name.clone());
        }
    }
    Built { table, names }
}
