//! What a holder of the lease hands over to its successor: the loads that may be in progress.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use shallotlead_base::{
    id::{Incarnation, Weights},
    name,
};

use crate::duty::{
    order::{Kind, Task},
    status::Status,
};

/// One load that counts against the weight store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Load {
    /// The server that loads.
    pub(crate) server: name::Server,
    /// The incarnation of the server that the load is for.
    pub(crate) incarnation: Incarnation,
    /// The model.
    pub(crate) model: name::Model,
    /// The version of its weights.
    pub(crate) weights: Weights,
    /// The adapter; `None` for the weights themselves.
    pub(crate) adapter: Option<Arc<str>>,
}

impl Load {
    /// Whether `status` shows that the load has ended: the weights are loaded, or the server has a new
    /// incarnation. A status doesn't contain adapters. These are small, so that their loads count only
    /// until the order `is_accepted`.
    pub(crate) fn has_ended(&self, status: &Status, is_accepted: bool) -> bool {
        let is_loaded =
            status.model.as_ref() == Some(&self.model) && status.weights == Some(self.weights);
        let is_done = if self.adapter.is_some() { is_accepted } else { is_loaded };
        self.incarnation < status.incarnation || is_done
    }

    /// The task of the order for this load.
    pub(crate) fn task(&self) -> Task {
        Task {
            server: self.server.clone(),
            incarnation: self.incarnation,
            kind: Kind::Load,
            weights: self.weights,
            adapter: self.adapter.clone(),
            role: None,
        }
    }
}

/// The payload of the lease.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Handover {
    pub(crate) loads: Vec<Load>,
}

impl Handover {
    pub(crate) fn encode(&self) -> Arc<[u8]> {
        // Writing plain data to a vector can't fail.
        postcard::to_allocvec(self).unwrap_or_default().into()
    }

    /// The payload in `bytes`; an empty one when they can't be decoded.
    pub(crate) fn decode(bytes: &[u8]) -> Self {
        postcard::from_bytes(bytes).unwrap_or_default()
    }
}
