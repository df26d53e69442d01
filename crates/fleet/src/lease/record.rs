//! What the platform stores of a lease.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use shallotlead_base::{
    id::{Fence, Incarnation, Version},
    name,
};

use crate::context::Context;

/// One life of one instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Holder {
    /// The instance.
    pub(crate) instance: name::Instance,
    /// Its life.
    pub(crate) incarnation: Incarnation,
}

impl Holder {
    /// This process.
    pub(crate) fn current(ctx: &Context<'_>) -> Option<Self> {
        let incarnation = ctx.incarnation()?;
        Some(Self { instance: ctx.me.clone(), incarnation })
    }
}

/// What the platform stores of a lease.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Record {
    /// Who holds it; `None` when it was given up.
    pub(crate) holder: Option<Holder>,
    /// Number of the claim within the holder's life.
    pub(crate) claim_number: u64,
    /// Number of the write within the claim, from zero.
    pub(crate) write_number: u32,
    /// The fencing token; `None` in the write that grants the lease, whose version is the token.
    pub(crate) fence: Option<Fence>,
    /// How long nobody else may act after this write, in milliseconds: zero when given up.
    pub(crate) term_ms: u32,
    /// What the successor has to know.
    pub(crate) payload: Arc<[u8]>,
}

impl Record {
    pub(crate) fn encode(&self) -> Arc<[u8]> {
        // Writing plain data to a vector can't fail.
        postcard::to_allocvec(self).unwrap_or_default().into()
    }

    pub(crate) fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }

    /// The fencing token of a record that was stored at `version`.
    pub(crate) fn fence_at(&self, version: Version) -> Fence {
        self.fence.unwrap_or(Fence(version.0))
    }

    /// Whether both records are of one grant.
    pub(crate) fn is_same_claim(&self, other: &Record) -> bool {
        self.holder == other.holder && self.claim_number == other.claim_number
    }
}
