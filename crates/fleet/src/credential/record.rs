//! The stored record of an instance's certificates.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use shallotlead_base::id::Incarnation;

use crate::credential::Fingerprint;

/// Version of the stored format. Later versions append fields.
const FORMAT: u8 = 1;

/// The stored record of an instance's certificates.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct Record {
    /// The incarnation that wrote it. Together with the fingerprints it makes the value unique.
    pub(super) incarnation: Incarnation,
    /// Fingerprints of its certificates.
    pub(super) fingerprints: Vec<Fingerprint>,
}

impl Record {
    pub(super) fn encode(&self) -> Arc<[u8]> {
        // Serializing plain data to a vector can't fail.
        let bytes = postcard::to_extend(self, vec![FORMAT]).unwrap_or_default();
        Arc::from(bytes)
    }

    pub(super) fn decode(bytes: &[u8]) -> Option<Self> {
        let (&format, body) = bytes.split_first()?;
        if format < FORMAT {
            return None;
        }
        postcard::take_from_bytes(body).ok().map(|it| it.0)
    }
}
