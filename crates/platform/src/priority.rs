//! Order in which calls are sent when the rate budget is short.

use std::time::Duration;

use shallotlead_base::store::Call;

/// Priority of a call, by the kind of its object. The first variant is sent first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Priority {
    /// Leases and intents: a caller waits for the reply, which expires.
    Urgent,
    /// Reads of the table and all other calls.
    Normal,
    /// Writes of status, each of which is replaced by the next one.
    Background,
}

impl Priority {
    /// Returns the priority of `call`.
    pub fn of(call: &Call) -> Self {
        // Objects of one sort may be distributed over several kinds with a common prefix, such as
        // `intent-07`.
        let kind = kind(call).split('-').next().unwrap_or_default();
        match (kind, call) {
            ("lease" | "intent", _) => Self::Urgent,
            ("status", Call::Put { .. } | Call::Delete { .. }) => Self::Background,
            _ => Self::Normal,
        }
    }

    /// How long a call may wait to be sent before it fails as not applied.
    pub const fn max_wait(self) -> Duration {
        match self {
            Self::Urgent => Duration::from_secs(2),
            Self::Normal => Duration::from_secs(10),
            Self::Background => Duration::from_secs(30),
        }
    }
}

fn kind(call: &Call) -> &str {
    match call {
        Call::Get(key) | Call::Put { key, .. } | Call::Delete { key, .. } => &key.kind,
        Call::List { kind } | Call::Watch { kind, .. } => kind,
    }
}
