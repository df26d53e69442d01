//! Which calls go first when the budget is short.

use std::time::Duration;

use shallotlead_base::store::Call;

/// Priority of a call, from its object's kind. The first goes out first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Priority {
    /// Leases and intents: somebody waits for the answer, and it goes stale.
    Urgent,
    /// Reads of the table and everything else.
    Normal,
    /// Writes of status, which the next report replaces anyway.
    Background,
}

impl Priority {
    /// The class of `call`.
    pub fn of(call: &Call) -> Self {
        // Kinds that are spread over several begin alike: `intent-07`.
        let kind = kind(call).split('-').next().unwrap_or_default();
        match (kind, call) {
            ("lease" | "intent", _) => Self::Urgent,
            ("status", Call::Put { .. } | Call::Delete { .. }) => Self::Background,
            _ => Self::Normal,
        }
    }

    /// How long a call may wait to be sent before it is given back as not applied.
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
