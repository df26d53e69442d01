//! The JSON of the endpoint that lists servers with a rate limit.

use serde::{Deserialize, Serialize};

/// Path of the list.
pub const PATH: &str = "/limits";

/// One server in the list, as the instance that responds knows it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Entry {
    /// Name of the server.
    pub server: String,
    /// Its service.
    pub service: String,
    /// Requests a second that it accepts from all instances together.
    pub per_second: f64,
    /// How long ago it advertised that, ms.
    pub age_ms: u64,
    /// The instance that hands out permits.
    pub home: String,
    /// How long this instance requests no permit, ms; zero: the next request may ask for one.
    pub closed_ms: u64,
}
