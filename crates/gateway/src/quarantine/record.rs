//! What instances tell each other of requests in quarantine.

use serde::{Deserialize, Serialize};

use super::{Identity, IncarnationId};

/// A request that is in quarantine, or was released.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// The request.
    pub identity: Identity,
    /// Lives of the servers that crashed under it.
    pub incarnations: Vec<IncarnationId>,
    /// How long ago it came last, or was released, ms.
    pub age_ms: u64,
    /// These lives don't speak against it any more.
    pub is_released: bool,
}
