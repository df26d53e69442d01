//! Orders and their fencing numbers.

use serde::{Deserialize, Serialize};

/// One order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// What to do.
    pub kind: Kind,
    /// The model to load or unload.
    #[serde(default)]
    pub model: Option<String>,
    /// Version of the weights to load.
    #[serde(default)]
    pub weights: Option<u64>,
    /// The adapter to load or unload, instead of a model.
    #[serde(default)]
    pub adapter: Option<String>,
    /// The role to take.
    #[serde(default)]
    pub role: Option<String>,
    /// Fencing number of the lease that the sender holds.
    pub fence: u64,
}

/// Kind of an order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Load a model's weights, or an adapter.
    Load,
    /// Unload the model, or an adapter.
    Unload,
    /// Take a role.
    Role,
    /// Leave: finish what runs, and expect nothing new.
    Drain,
}

impl Order {
    /// What is missing for the order's kind, if anything.
    pub(crate) fn missing(&self) -> Option<&'static str> {
        match self.kind {
            Kind::Load if self.adapter.is_none() && self.model.is_none() => Some("model"),
            Kind::Load if self.adapter.is_none() && self.weights.is_none() => Some("weights"),
            Kind::Role if self.role.is_none() => Some("role"),
            _ => None,
        }
    }
}

/// Accepted orders.
#[derive(Debug, Default)]
pub(crate) struct Log {
    highest: u64,
    pub(crate) accepted: Vec<Order>,
}

impl Log {
    /// Accepts an order. An engine that checks fencing numbers refuses one that is lower than one
    /// it has seen.
    ///
    /// # Errors
    /// The highest fencing number seen.
    pub(crate) fn accept(&mut self, order: Order, checks_fence: bool) -> Result<(), u64> {
        if checks_fence && order.fence < self.highest {
            return Err(self.highest);
        }
        self.highest = self.highest.max(order.fence);
        self.accepted.push(order);
        Ok(())
    }
}
