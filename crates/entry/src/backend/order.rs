//! Orders to servers.

use serde::Serialize;
use shallotlead_base::{
    id::{Fence, Weights},
    name,
};
use shallotlead_table::server::Role;

/// An order with its fencing token.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Order {
    /// What to do.
    pub(crate) kind: Kind,
    /// The model meant.
    pub(crate) model: name::Model,
    /// Version of the weights.
    pub(crate) weights: Weights,
    /// The adapter meant.
    pub(crate) adapter: Option<String>,
    /// The role to take.
    pub(crate) role: Role,
    /// Token of the lease under which the order is given.
    pub(crate) fence: Fence,
}

/// What an order asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Kind {
    /// Load weights or an adapter.
    Load,
    /// Change role.
    Role,
    /// Finish what runs and take nothing new.
    Drain,
}
