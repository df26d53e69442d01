//! What instances announce to each other about requests in quarantine.

use serde::{Deserialize, Serialize};

use super::{Identity, IncarnationId};

/// A request that is in quarantine, or was released.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// The request.
    pub identity: Identity,
    /// The incarnations of the servers that crashed while running it.
    pub incarnations: Vec<IncarnationId>,
    /// How long ago it last arrived, or was released, ms.
    pub age_ms: u64,
    /// Whether these incarnations no longer count as evidence against it.
    pub is_released: bool,
}
