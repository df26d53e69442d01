//! Determines whether a conditional write with a lost response took effect.
//!
//! The value identifies its writer: every value that this system writes is unique and names its
//! writer (lease holder and fencing token, request id, change number). An equal value at a later
//! version was therefore written by the same call.

use shallotlead_base::{
    id::Version,
    store::{Call, Object, Reply},
};

/// Effect of the write, as far as known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Settlement {
    /// The write took effect at this version; zero means that the object was deleted.
    Applied(Version),
    /// The object is still at the expected version. The lost attempt may still take effect later,
    /// but the write can be sent again: both expect the same version, so that at most one of them
    /// takes effect, and both have the same value.
    Unchanged,
    /// Another write took effect, and this one may have taken effect before it or not at all.
    Unknown,
}

/// Determines the effect from the reply to a read of the object.
pub(super) fn after_read_back(call: &Call, reply: &Reply) -> Settlement {
    match reply {
        Reply::Got(found) => classify(call, found.as_ref()),
        _ => Settlement::Unknown,
    }
}

/// Determines the effect from the reply to the same write, sent again.
pub(super) fn after_resend(call: &Call, reply: &Reply) -> Settlement {
    match reply {
        Reply::Done(version) => Settlement::Applied(*version),
        Reply::Conflict(found) => match classify(call, found.as_ref()) {
            // A conflict means that the object isn't at the expected version. Treating this as
            // unchanged could send the write again for ever.
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
