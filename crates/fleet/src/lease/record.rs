//! The record of a lease as stored in the platform.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use shallotlead_base::{
    id::{Fence, Incarnation, Version},
    name,
};

use crate::context::Context;

/// One incarnation of an instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Holder {
    /// The instance.
    pub(crate) instance: name::Instance,
    /// Its incarnation.
    pub(crate) incarnation: Incarnation,
}

impl Holder {
    /// This instance; `None` while its incarnation isn't known.
    pub(crate) fn current(ctx: &Context<'_>) -> Option<Self> {
        let incarnation = ctx.incarnation()?;
        Some(Self { instance: ctx.me.clone(), incarnation })
    }
}

/// The record of a lease.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Record {
    /// The holder; `None` when the lease was released or its record had to be created.
    pub(crate) holder: Option<Holder>,
    /// Number of the claim within the holder's incarnation.
    pub(crate) claim_number: u64,
    /// Number of the write within the claim, from zero.
    pub(crate) write_number: u32,
    /// The fencing token; `None` in the write that grants the lease, whose version is the token.
    pub(crate) fence: Option<Fence>,
    /// How long no other instance may act after this write, in milliseconds; zero after a release.
    pub(crate) term_ms: u32,
    /// Data for the successor.
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

    /// Whether both records belong to the same claim of the same holder.
    pub(crate) fn is_same_claim(&self, other: &Record) -> bool {
        self.holder == other.holder && self.claim_number == other.claim_number
    }
}
