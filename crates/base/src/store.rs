//! Vocabulary of the platform's object API: what pure code asks for and what comes back. The
//! platform client carries it out.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::id::Version;

pub mod memory;

/// Key of an object: a kind (`table`, `lease`, `intent`, `instance`, …) and a name within it.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Key {
    /// Kind of the object.
    pub kind: Arc<str>,
    /// Name within the kind: `[a-zA-Z0-9._-]`, up to 200 bytes.
    pub name: Arc<str>,
}

impl Key {
    /// The key of `name` within `kind`.
    pub fn new(kind: &str, name: &str) -> Self {
        Self { kind: Arc::from(kind), name: Arc::from(name) }
    }
}

/// A stored object. Values hold up to [`MAX_VALUE`] bytes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Object {
    /// Where it is stored.
    pub key: Key,
    /// Its version: grows with each write of any object.
    pub version: Version,
    /// Its content.
    pub value: Arc<[u8]>,
}

/// The largest value that the platform holds, in bytes.
pub const MAX_VALUE: usize = 1 << 20;

/// One call to the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Call {
    /// Read one object.
    Get(Key),
    /// Write one object when its version is still `expected` (zero: when it does not exist).
    Put {
        /// Where to write.
        key: Key,
        /// The version that must be in force.
        expected: Version,
        /// The new content.
        value: Arc<[u8]>,
    },
    /// Remove one object when its version is still `expected`.
    Delete {
        /// What to remove.
        key: Key,
        /// The version that must be in force.
        expected: Version,
    },
    /// Read all objects of one kind.
    List {
        /// The kind to read.
        kind: Arc<str>,
    },
    /// Wait for a change of one kind after `after`, for at most `wait`.
    Watch {
        /// The kind to watch.
        kind: Arc<str>,
        /// Changes up to and including this version are known.
        after: Version,
        /// How long the platform may hold the call.
        wait: Duration,
    },
}

/// Something that carries out calls and waits for their answers.
pub trait Store {
    /// Carries out one call.
    fn call(&mut self, call: Call) -> Reply;
}

/// Answer to one call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// The object, or `None` when it does not exist.
    Got(Option<Object>),
    /// The write took effect; the object's new version.
    Done(Version),
    /// The write did not take effect; the object as it is now.
    Conflict(Option<Object>),
    /// All objects asked for, and the store's version at that moment.
    Listed {
        /// The objects, in order of name.
        objects: Vec<Object>,
        /// Version from which to watch on.
        version: Version,
    },
    /// Changes since the watch's start, oldest first; empty when the wait ran out.
    Changed {
        /// The changes, in order of version.
        changes: Vec<Change>,
        /// Version from which to watch on.
        version: Version,
    },
    /// The call failed.
    Failed(Failure),
}

/// One change that a watch saw.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// The object was written.
    Put(Object),
    /// The object was removed at this version.
    Delete(Key, Version),
}

/// Why a call failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The call certainly had no effect: refused, over its rate, or never sent.
    NotApplied {
        /// When the platform, or our own budget, allows the next try.
        retry_after: Duration,
    },
    /// The answer was lost: a write may or may not have taken effect. Settle it by reading back.
    Unknown,
    /// The watch's start is too old; list again.
    Compacted,
}
