//! The stored record of one request with an idempotency key.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use shallotlead_base::{hash, id::Incarnation, name};

use crate::{
    context::Context,
    intent::{MAX_KEY_BYTES, MAX_RESPONSE_BYTES, SHARDS},
};

/// An idempotency key within its organisation. Both are stored in full: a hash could collide, and
/// disclose one organisation's result to another.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Key {
    /// The organisation that the key belongs to.
    pub organisation: name::Organisation,
    /// The idempotency key.
    pub key: Arc<str>,
}

impl Key {
    pub(crate) fn is_valid(&self) -> bool {
        !self.key.is_empty() && self.key.len() <= MAX_KEY_BYTES
    }

    /// Number of the shard that contains the key.
    pub(crate) fn shard(&self) -> u64 {
        let organisation = hash::stable(self.organisation.as_str().as_bytes());
        hash::seeded(self.key.as_bytes(), organisation) % SHARDS
    }

    /// The hash that decides the owner: the same for all keys of a shard.
    pub(crate) fn hash(&self) -> u64 {
        owner_hash(self.shard())
    }
}

/// The hash that decides the owner of shard `number`.
pub(crate) fn owner_hash(number: u64) -> u64 {
    hash::seeded(b"intent", number)
}

/// The incarnation of an instance that runs a request.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Executor {
    /// The instance.
    pub instance: name::Instance,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

impl Executor {
    pub(crate) fn of(ctx: &Context<'_>) -> Option<Self> {
        let incarnation = ctx.incarnation()?;
        Some(Self { instance: ctx.me.clone(), incarnation })
    }
}

/// A response, as stored for repeats of its request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Its `Content-Type`.
    pub content_type: Arc<str>,
    /// Its body; `None` if it was larger than [`MAX_RESPONSE_BYTES`] or the shard is full.
    pub body: Option<Arc<[u8]>>,
}

/// State of a request with a key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum State {
    /// It is about to be sent, or is running.
    Intended,
    /// It ran, with this response.
    Done(StoredResponse),
    /// It may have run.
    Unknown,
    /// It provably was never sent: a repeat may run.
    Void,
}

impl State {
    /// The same state without a body that is too large to store.
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

/// The stored record of one request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// The key.
    pub key: Key,
    /// Hash of the request's path and body.
    pub body_hash: u128,
    /// The instance that runs it.
    pub executor: Executor,
    /// Number of the attempt within the executor's incarnation.
    pub attempt: u64,
    /// State of the request.
    pub state: State,
}

impl Entry {
    /// Whether both records are for the same attempt.
    pub(crate) fn is_same_attempt(&self, other: &Entry) -> bool {
        self.attempt == other.attempt && self.executor == other.executor
    }
}
