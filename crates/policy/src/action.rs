//! What the router decides.

use std::{sync::Arc, time::Duration};

use shallotlead_base::{
    code::Code,
    id::{Attempt, Incarnation, Request},
    name,
};

use crate::explain::Decision;

/// One thing to do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send an attempt.
    Send(Box<Dispatch>),
    /// Refuse a request, or give it up.
    Refuse {
        /// The request.
        request: Request,
        /// Why.
        code: Code,
        /// When to come back.
        retry_after: Option<Duration>,
        /// The reasons.
        decision: Arc<Decision>,
    },
    /// Cancel an attempt at its server.
    Cancel {
        /// The attempt.
        attempt: Attempt,
        /// Where it runs.
        server: name::Server,
    },
    /// Export a prefix's KV cache to the KV store.
    Export {
        /// The server that holds it.
        server: name::Server,
        /// Last block of the prefix.
        block: crate::chain::Block,
    },
}

/// An attempt to send.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// The attempt.
    pub attempt: Attempt,
    /// Where to send it.
    pub server: name::Server,
    /// The life of the server that was meant. An engine that lives another one must be taken as new.
    pub incarnation: Incarnation,
    /// Priority for the engine's queue.
    pub priority: u8,
    /// Tokens that the caller already has: the stream resumes here.
    pub resume_at: u32,
    /// Prefix to import from the KV store first.
    pub import: Option<crate::chain::Block>,
    /// When the attempt has failed if no first token has come.
    pub first_token_timeout: Duration,
    /// The reasons.
    pub decision: Arc<Decision>,
}
