//! Servers that are not used although the store lists them as ready.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::adapter::EntryVersion;

/// A server that another instance does not use because its entry in the store is outdated.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Withheld {
    /// Name of the server.
    pub server: Arc<str>,
    /// Version of the latest entry that the server wrote.
    pub beat: EntryVersion,
    /// How long the server has been withheld, in ms.
    pub age_ms: u64,
}
