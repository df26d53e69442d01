//! What a read-back says about a conditional write whose answer was lost.
//!
//! The writer's marker is the value itself: every value that this system writes names its writer and
//! is unique (lease holder and fencing token, request id, change number). An equal value at a later
//! version is therefore the writer's own.

use shallotlead_base::{
    id::Version,
    store::{Call, Object, Reply},
};

/// What became of the write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Settlement {
    /// It took effect at this version (zero: the object is gone, as asked).
    Applied(Version),
    /// The expected version is still in force. The lost try may be on its way yet, and sending the
    /// same write again is safe: both ask for the same version, so at most one takes effect, and
    /// both carry the same value.
    Unchanged,
    /// Another write is in force: this one may have taken effect before it, or never.
    Unknown,
}

/// Judges by the answer of a read of the write's object.
pub(super) fn after_read_back(call: &Call, reply: &Reply) -> Settlement {
    match reply {
        Reply::Got(found) => classify(call, found.as_ref()),
        _ => Settlement::Unknown,
    }
}

/// Judges by the answer of the same write, sent again.
pub(super) fn after_resend(call: &Call, reply: &Reply) -> Settlement {
    match reply {
        Reply::Done(version) => Settlement::Applied(*version),
        Reply::Conflict(found) => match classify(call, found.as_ref()) {
            // A conflict says that the expected version is not in force; never loop on it.
            Settlement::Unchanged => Settlement::Unknown,
            settlement => settlement,
        },
        _ => Settlement::Unknown,
    }
}

fn classify(call: &Call, found: Option<&Object>) -> Settlement {
    let version = found.map_or(Version(0), |it| it.version);
    match (call, found) {
        (Call::Put { expected, value, .. }, Some(object))
            if *expected < object.version && object.value == *value =>
        {
            Settlement::Applied(version)
        }
        (Call::Delete { .. }, None) => Settlement::Applied(version),
        (Call::Put { expected, .. } | Call::Delete { expected, .. }, _) if *expected == version => {
            Settlement::Unchanged
        }
        _ => Settlement::Unknown,
    }
}
