//! What an attempt sends.

use std::{net::SocketAddr, sync::Arc};

use shallotlead_base::id::{Attempt, Incarnation, Weights};
use shallotlead_policy::chain::{Block, Chain};

use crate::exchange::Operation;

/// One attempt's request.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    /// The attempt.
    pub(crate) attempt: Attempt,
    /// Where the server listens.
    pub(crate) address: SocketAddr,
    /// The life of the server that is meant; none for plain services.
    pub(crate) incarnation: Option<Incarnation>,
    /// What is asked.
    pub(crate) operation: Operation,
    /// The body.
    pub(crate) body: Arc<[u8]>,
    /// The prompt's blocks; empty for plain services.
    pub(crate) chain: Chain,
    /// The weights that the blocks are for; none for plain services.
    pub(crate) weights: Option<Weights>,
    /// 0 (bulk) to 9 (urgent).
    pub(crate) priority: u8,
    /// Tokens that the caller already has.
    pub(crate) resume_at: u32,
    /// Prefix to import from the KV store first.
    pub(crate) import: Option<Block>,
}
