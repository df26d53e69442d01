//! What one instance's routing looks like at one moment, for operators.

use std::time::Duration;

use shallotlead_base::name;
use shallotlead_table::column::Column;

use crate::{
    chain::Block,
    input::{Scope, State},
};

/// Servers, queues, hot prefixes and limits.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Overview {
    /// Servers, by name.
    pub servers: Vec<Server>,
    /// Requests that wait in this instance's queues.
    pub waiting: usize,
    /// Hot prefixes, hottest first.
    pub prefixes: Vec<Prefix>,
    /// Limits that were asked for lately, by scope.
    pub limits: Vec<Limit>,
}

/// One backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// Its name.
    pub name: name::Server,
    /// Its state, once known.
    pub state: Option<State>,
    /// Attempts of this instance there.
    pub inflight: u32,
    /// Its last load report.
    pub seen: Option<Seen>,
}

/// Figures of a load report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Seen {
    /// Age of the figures.
    pub age: Duration,
    /// Requests that waited.
    pub waiting: u32,
    /// Requests that ran.
    pub running: u32,
    /// Used share of the cache, 0 to 1.
    pub cache_used: f64,
}

/// One hot prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Prefix {
    /// Its block.
    pub block: Block,
    /// Requests a second at this instance that begin with it.
    pub rate: f64,
    /// Servers believed to hold it.
    pub replicas: usize,
}

/// One limit in play.
#[derive(Clone, Debug, PartialEq)]
pub struct Limit {
    /// What it limits.
    pub scope: Scope,
    /// The cell.
    pub column: Column,
    /// The limit over all instances.
    pub total: f64,
    /// This instance's share now.
    pub share: f64,
    /// What is used of the share.
    pub used: f64,
}
