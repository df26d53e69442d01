//! The status of a backend server according to health checks.

use serde::{Deserialize, Serialize};
use shallotlead_base::{
    id::{Incarnation, Weights},
    name,
    time::Time,
};
use shallotlead_table::server::Role;

/// The result of a health check.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// The server.
    pub server: name::Server,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Whether it accepts requests.
    pub is_available: bool,
    /// Whether it only finishes its running requests and accepts no new ones.
    pub is_leaving: bool,
    /// The model whose weights are loaded.
    pub model: Option<name::Model>,
    /// The version of the loaded weights.
    pub weights: Option<Weights>,
    /// Its role.
    pub role: Option<Role>,
}

/// A status and when it was received.
#[derive(Clone, Debug)]
pub struct Observation {
    /// The status.
    pub status: Status,
    /// When it was received last.
    pub received_at: Time,
}
