//! The JSON of the endpoint that lists organisations with a quota.

use serde::{Deserialize, Serialize};

/// Path of the list.
pub const PATH: &str = "/quotas";

/// One organisation in the list, as the instance that responds knows it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Entry {
    /// Name of the organisation.
    pub organisation: String,
    /// What is counted: `requests` or `tokens`.
    pub unit: String,
    /// Units a second, from all instances together.
    pub per_second: f64,
    /// Units at once beyond that.
    pub burst: f64,
    /// The part that this instance hands out; zero if it doesn't own any.
    pub share: f64,
    /// Units that it has left of that; below zero: used in advance.
    pub left: f64,
    /// Addresses of the other instances that hand out a part.
    pub owners: Vec<String>,
    /// Requests that this instance has admitted under the quota.
    pub admitted: u64,
    /// Requests that this instance has refused for the quota.
    pub denied: u64,
}
