//! The JSON of the endpoint that lists requests in quarantine.

use serde::{Deserialize, Serialize};

/// Path of the list; the path of a single request is this, followed by its identity.
pub const PATH: &str = "/quarantine";

/// One request or part in the list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Its identity: 32 hexadecimal digits.
    pub identity: String,
    /// Id of the part of prompts, hexadecimal as callers send it; empty for a request.
    #[serde(default)]
    pub part: String,
    /// Number of servers that crashed while running it.
    pub crashes: usize,
    /// How long ago it last arrived at the instance that responds, ms.
    pub last_seen_ms: u64,
}

/// The response to a release.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Release {
    /// Whether the request was released.
    pub released: bool,
}

/// Why nothing was done.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Problem {
    /// The reason, with what was expected.
    pub error: String,
}
