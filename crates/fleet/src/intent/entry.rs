//! One record: whose request with which key is in what state.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use shallotlead_base::{hash, id::Incarnation, name};

use crate::{
    context::Context,
    intent::{MAX_KEY_BYTES, MAX_RESPONSE_BYTES, SHARDS},
};

/// An idempotency key within its organisation. Both are stored in full: a hash could collide, and
/// show one organisation another's result.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Key {
    /// Whose key it is.
    pub organisation: name::Organisation,
    /// The key.
    pub key: Arc<str>,
}

impl Key {
    pub(crate) fn is_valid(&self) -> bool {
        !self.key.is_empty() && self.key.len() <= MAX_KEY_BYTES
    }

    /// Number of the shard that holds it.
    pub(crate) fn shard(&self) -> u64 {
        let organisation = hash::stable(self.organisation.as_str().as_bytes());
        hash::seeded(self.key.as_bytes(), organisation) % SHARDS
    }

    /// What decides the home: the same for all keys of a shard.
    pub(crate) fn hash(&self) -> u64 {
        owner_hash(self.shard())
    }
}

/// What decides the home of shard `number`.
pub(crate) fn owner_hash(number: u64) -> u64 {
    hash::seeded(b"intent", number)
}

/// The life of an instance that runs a request.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Executor {
    /// The instance.
    pub instance: name::Instance,
    /// Its life.
    pub incarnation: Incarnation,
}

impl Executor {
    pub(crate) fn of(ctx: &Context<'_>) -> Option<Self> {
        let incarnation = ctx.incarnation()?;
        Some(Self { instance: ctx.me.clone(), incarnation })
    }
}

/// An answer, as kept for repeats.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Its `Content-Type`.
    pub content_type: Arc<str>,
    /// Its body; `None` when it was larger than [`MAX_KEPT`] or the shard is full.
    pub body: Option<Arc<[u8]>>,
}

/// State of a request with a key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum State {
    /// It is about to be sent, or runs.
    Intended,
    /// It ran; this was answered.
    Done(StoredResponse),
    /// It may have run.
    Unknown,
    /// It provably never left its instance: a repeat may run.
    Void,
}

impl State {
    /// The same state without a body that is too large to keep.
    pub(crate) fn without_large_body(self) -> Self {
        match self {
            State::Done(StoredResponse { status, content_type, body: Some(body) })
                if MAX_RESPONSE_BYTES < body.len() =>
            {
                State::Done(StoredResponse { status, content_type, body: None })
            }
            it => it,
        }
    }
}

/// One record.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// The key.
    pub key: Key,
    /// Hash of the request's path and body.
    pub body_hash: u128,
    /// Who runs it.
    pub executor: Executor,
    /// Number of the attempt within the owner's life.
    pub attempt: u64,
    /// Its state.
    pub state: State,
}

impl Entry {
    /// Whether both records are of one attempt.
    pub(crate) fn is_same_attempt(&self, other: &Entry) -> bool {
        self.attempt == other.attempt && self.executor == other.executor
    }
}
