//! Load reports of backend servers.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{id::Incarnation, name};

/// What a backend server says of its load. Instances pass it on with less precision; see the fleet's
/// messages.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// The server.
    pub server: name::Server,
    /// Its life.
    pub incarnation: Incarnation,
    /// How old the figures are on arrival.
    pub age: Duration,
    /// Requests that wait for prefill.
    pub waiting: u32,
    /// Requests in the running batch.
    pub running: u32,
    /// Prompt tokens that wait for prefill.
    pub waiting_tokens: u32,
    /// Cache blocks in use.
    pub used_blocks: u32,
    /// Cache blocks in all.
    pub total_blocks: u32,
}
