//! Calls to the platform's store and their answers.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use shallotlead_base::{
    id::Version,
    store::{Call, Change, Failure, Key, Object, Reply},
};
use shallotlead_platform::outcome::Outcome;

/// A call. Versions are revisions of the store.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) enum Query {
    Get(Key),
    Put { key: Key, expected: u64, value: Vec<u8> },
    Delete { key: Key, expected: u64 },
    List { kind: String },
    Watch { kind: String, after: u64, wait_ms: u64 },
}

/// An object with the revision of its last change.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Item {
    pub(crate) key: Key,
    pub(crate) revision: u64,
    pub(crate) value: Vec<u8>,
}

/// A change of an object; without an item, its removal.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Event {
    pub(crate) key: Key,
    pub(crate) revision: u64,
    pub(crate) value: Option<Vec<u8>>,
}

/// The answer to a call.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) enum Answer {
    Got(Option<Item>),
    Done(u64),
    Conflict(Option<Item>),
    Listed { items: Vec<Item>, revision: u64 },
    Changed { events: Vec<Event>, revision: u64 },
    Compacted,
    Unavailable,
}

impl From<&Call> for Query {
    fn from(call: &Call) -> Self {
        match call {
            Call::Get(key) => Self::Get(key.clone()),
            Call::Put { key, expected, value } => {
                Self::Put { key: key.clone(), expected: expected.revision(), value: value.to_vec() }
            }
            Call::Delete { key, expected } => {
                Self::Delete { key: key.clone(), expected: expected.revision() }
            }
            Call::List { kind } => Self::List { kind: kind.to_string() },
            Call::Watch { kind, after, wait } => Self::Watch {
                kind: kind.to_string(),
                after: after.revision(),
                wait_ms: wait.as_millis() as u64,
            },
        }
    }
}

impl Answer {
    /// The outcome of a call with this answer of a store in `era`.
    pub(crate) fn outcome(self, era: u64) -> Outcome {
        let version = |revision| Version::at(era, revision);
        let object = |it: Item| Object {
            key: it.key,
            version: version(it.revision),
            value: it.value.into(),
        };
        let change = |it: Event| match it.value {
            None => Change::Delete(it.key, version(it.revision)),
            Some(value) => Change::Put(Object {
                key: it.key,
                version: version(it.revision),
                value: value.into(),
            }),
        };
        Outcome::Answered(match self {
            Self::Got(item) => Reply::Got(item.map(object)),
            Self::Done(0) => Reply::Done(Version(0)),
            Self::Done(revision) => Reply::Done(version(revision)),
            Self::Conflict(item) => Reply::Conflict(item.map(object)),
            Self::Listed { items, revision } => Reply::Listed {
                objects: items.into_iter().map(object).collect(),
                version: version(revision),
            },
            Self::Changed { events, revision } => Reply::Changed {
                changes: events.into_iter().map(change).collect(),
                version: version(revision),
            },
            Self::Compacted => Reply::Failed(Failure::Compacted),
            Self::Unavailable => return Outcome::Unavailable { retry_after: None },
        })
    }
}

/// How long a watch may be held.
pub(crate) fn wait(query: &Query) -> Duration {
    match query {
        Query::Watch { wait_ms, .. } => Duration::from_millis(*wait_ms),
        _ => Duration::ZERO,
    }
}
