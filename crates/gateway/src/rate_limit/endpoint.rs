//! What the page of servers that limit their rate answers, as JSON.

use serde::{Deserialize, Serialize};

/// Where the list is.
pub const PATH: &str = "/limits";

/// One server in the list, as the instance that answers knows it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Entry {
    /// The server.
    pub server: String,
    /// Its service.
    pub service: String,
    /// Requests a second that it takes from all instances together.
    pub per_second: f64,
    /// How long ago it said so, ms.
    pub age_ms: u64,
    /// The instance that hands out permits.
    pub home: String,
    /// How long this instance asks for none, ms; zero: the next request may ask.
    pub closed_ms: u64,
}
