//! A server that isn't used though the store says that it is ready.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::adapter::EntryVersion;

/// A server that another instance holds back.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Withheld {
    /// The server.
    pub server: Arc<str>,
    /// The last word that it wrote.
    pub beat: EntryVersion,
    /// For how long it has been held back, ms.
    pub age_ms: u64,
}
