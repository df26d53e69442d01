//! Limits that a row can carry.

use serde::{Deserialize, Serialize};

/// Largest weight of a row.
pub const MAX_WEIGHT: f64 = 1000.0;

/// Limits of one row. `None` means no limit.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Limits {
    /// Requests a second, over all instances.
    pub requests_per_second: Option<f64>,
    /// Prompt and generated tokens a minute, over all instances.
    pub tokens_per_minute: Option<f64>,
    /// Requests that run at once, over all instances.
    pub concurrency: Option<u32>,
}
