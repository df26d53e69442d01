//! What is known of a backend server, by its health checks.

use serde::{Deserialize, Serialize};
use shallotlead_base::{
    id::{Incarnation, Weights},
    name,
    time::Time,
};
use shallotlead_table::server::Role;

/// What a health check found.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// The server.
    pub server: name::Server,
    /// Its life.
    pub incarnation: Incarnation,
    /// Whether it takes work.
    pub is_available: bool,
    /// Whether it finishes what it has and takes nothing new.
    pub is_leaving: bool,
    /// The model that it has loaded.
    pub model: Option<name::Model>,
    /// The version of the loaded weights.
    pub weights: Option<Weights>,
    /// Its role.
    pub role: Option<Role>,
}

/// A status and when it was heard.
#[derive(Clone, Debug)]
pub struct Observation {
    /// The status.
    pub status: Status,
    /// When it was heard last.
    pub received_at: Time,
}
