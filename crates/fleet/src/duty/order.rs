//! Orders to backend servers, and their results.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use shallotlead_base::{
    id::{Fence, Incarnation, Weights},
    name,
    time::Time,
};
use shallotlead_table::server::Role;

/// What an order tells a server to do.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Kind {
    /// Load weights or an adapter.
    Load,
    /// Change the role.
    Role,
    /// Finish the running requests and accept no new ones.
    Drain,
}

/// An order to one server.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    /// Number of the order within this process.
    pub number: u64,
    /// The server.
    pub server: name::Server,
    /// The incarnation of the server that the order is for.
    pub incarnation: Incarnation,
    /// What the server is to do.
    pub kind: Kind,
    /// The model.
    pub model: name::Model,
    /// The version of its weights.
    pub weights: Weights,
    /// The adapter; `None` for the weights themselves.
    pub adapter: Option<Arc<str>>,
    /// The role that the server is to have.
    pub role: Role,
    /// The fencing token.
    pub fence: Fence,
    /// The order must not be sent at or after this time.
    pub until: Time,
    /// The reason in a few words, for the log.
    pub reason: &'static str,
}

impl Order {
    /// The task of the order, by which repetitions are recognized.
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

/// What one incarnation of a server is to do: an order without its number, fencing token and reason.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Task {
    pub(crate) server: name::Server,
    pub(crate) incarnation: Incarnation,
    pub(crate) kind: Kind,
    pub(crate) weights: Weights,
    pub(crate) adapter: Option<Arc<str>>,
    pub(crate) role: Option<Role>,
}

/// The result of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// The server accepted it (202).
    Accepted,
    /// The server has seen a newer fencing token (409).
    Fenced,
    /// The server rejected it, or it was certainly not sent.
    Rejected,
    /// It is not known whether the server received it.
    Unknown,
}
