//! What passes between a caller's connection and the shell that runs the decisions.

use std::{sync::Arc, time::Duration};

use shallotlead_base::{
    code::Refusal,
    id::{Attempt, Request},
    name,
};
use shallotlead_policy::request::Repeat;
use tokio::sync::mpsc;

/// Pieces that may wait for a slow reader. When the channel is full, the attempt's thread stops
/// reading from its server, so that a slow caller slows its own stream only.
pub(crate) const PIECES: usize = 32;

/// A caller's request, checked and ready for a decision.
#[derive(Debug)]
pub(crate) struct Exchange {
    /// The system's id.
    pub(crate) id: Request,
    /// Who asks.
    pub(crate) organisation: name::Organisation,
    /// The model or plain service.
    pub(crate) model: name::Model,
    /// What is asked of it.
    pub(crate) operation: Operation,
    /// The body as it came.
    pub(crate) body: Arc<[u8]>,
    /// The prompt's text in a canonical form, the input of the block chain.
    pub(crate) prompt: Arc<[u8]>,
    /// Most tokens to generate.
    pub(crate) max_tokens: u32,
    /// 0 (bulk) to 9 (urgent).
    pub(crate) priority: u8,
    /// Time to first token allowed, counted from arrival.
    pub(crate) deadline: Option<Duration>,
    /// May it run twice?
    pub(crate) repeat: Repeat,
    /// The caller's idempotency key.
    pub(crate) idempotency_key: Option<Arc<str>>,
    /// Tokens that the caller already holds.
    pub(crate) resume_at: u32,
    /// Where the answer goes. The receiver's end is the caller's: it went away.
    pub(crate) pieces: mpsc::Sender<Piece>,
}

/// What is asked of a model or service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Operation {
    /// `POST /v1/chat/completions`.
    Chat {
        /// As a stream of events, or whole.
        stream: bool,
    },
    /// `POST /v1/completions`.
    Completion {
        /// As a stream of events, or whole.
        stream: bool,
    },
    /// A call of a plain service.
    Service {
        /// The method.
        method: Arc<str>,
        /// Path and query under the service's root, with the leading slash.
        path: Arc<str>,
        /// `Content-Type` of the body.
        content_type: Option<Arc<str>>,
    },
}

/// One piece of an answer, in order.
#[derive(Clone, Debug)]
pub(crate) enum Piece {
    /// The answer begins. Sent once, by the attempt whose answer goes to the caller.
    Head(Head),
    /// One event of a stream: the `data:` text, and its token's number.
    Event {
        /// Number of the last token in the event, from 1.
        number: u32,
        /// The `data:` text.
        data: Arc<str>,
    },
    /// Bytes of a whole answer.
    Body(Arc<[u8]>),
    /// The answer is complete.
    End,
    /// The request was refused or given up. Nothing follows.
    Refused(Refusal),
}

/// The answer's head.
#[derive(Clone, Debug)]
pub(crate) struct Head {
    /// The server's HTTP status.
    pub(crate) status: u16,
    /// The server's content type.
    pub(crate) content_type: Arc<str>,
    /// The attempt that answers.
    pub(crate) attempt: Attempt,
    /// The server that answers.
    pub(crate) server: name::Server,
    /// Prompt tokens taken from the cache, when the server said.
    pub(crate) cached_tokens: Option<u32>,
}
