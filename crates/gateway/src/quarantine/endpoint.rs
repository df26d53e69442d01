//! What the page of requests in quarantine answers, as JSON.

use serde::{Deserialize, Serialize};

/// Where the list is; a request's own place is below it, by its identity.
pub const PATH: &str = "/quarantine";

/// One request in the list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Its identity: 32 hexadecimal digits.
    pub identity: String,
    /// Servers that crashed under it.
    pub crashes: usize,
    /// How long ago it came last at the instance that answers, ms.
    pub last_seen_ms: u64,
}

/// The answer to a release.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Release {
    /// Nothing speaks against the request any more.
    pub released: bool,
}

/// Why nothing was done.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Problem {
    /// The reason, with what was expected.
    pub error: String,
}
