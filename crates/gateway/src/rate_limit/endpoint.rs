//! The JSON of the endpoints that list servers with a rate limit, and servers at risk from rejections.

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

/// Path of the list of servers at risk.
pub const TOLERANCES_PATH: &str = "/tolerances";

/// One server in that list, as the instance that responds knows it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Tolerance {
    /// Name of the server.
    pub server: String,
    /// Its service.
    pub service: String,
    /// Rejections a second that it bears from all instances together.
    pub rejections_per_second: f64,
    /// How long ago it said that, ms.
    pub age_ms: u64,
    /// The instance that hands out permits.
    pub home: String,
    /// How long this instance requests no permit, ms; zero: the next request may ask for one.
    pub closed_ms: u64,
}
