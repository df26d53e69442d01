//! Orders to backend servers, and their answers.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use shallotlead_base::{
    id::{Fence, Incarnation, Weights},
    name,
    time::Time,
};
use shallotlead_table::server::Role;

/// What an order asks for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Kind {
    /// Load weights or an adapter.
    Load,
    /// Change role.
    Role,
    /// Finish what runs and take nothing new.
    Drain,
}

/// An order to one server.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    /// Number of the order within this process.
    pub number: u64,
    /// The server.
    pub server: name::Server,
    /// The life of the server that is meant.
    pub incarnation: Incarnation,
    /// What to do.
    pub kind: Kind,
    /// The model.
    pub model: name::Model,
    /// The version of its weights.
    pub weights: Weights,
    /// The adapter; `None` for the weights themselves.
    pub adapter: Option<Arc<str>>,
    /// The role.
    pub role: Role,
    /// The fencing token.
    pub fence: Fence,
    /// The order must not be sent from then on.
    pub until: Time,
    /// Why, in a word or two, for the log.
    pub reason: &'static str,
}

impl Order {
    /// What is done once it was accepted.
    pub(crate) fn task(&self) -> Task {
        Task {
            server: self.server.clone(),
            incarnation: self.incarnation,
            kind: self.kind,
            weights: self.weights,
            adapter: self.adapter.clone(),
            role: (self.kind == Kind::Role).then_some(self.role),
        }
    }
}

/// What one life of a server was asked for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Task {
    pub(crate) server: name::Server,
    pub(crate) incarnation: Incarnation,
    pub(crate) kind: Kind,
    pub(crate) weights: Weights,
    pub(crate) adapter: Option<Arc<str>>,
    pub(crate) role: Option<Role>,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// The server accepted it (202).
    Accepted,
    /// The server has seen a newer fencing token (409).
    Fenced,
    /// It was refused, or certainly not sent.
    Rejected,
    /// Nobody knows.
    Unknown,
}
