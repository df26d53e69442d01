//! Identifies a request when it is retried.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use shallotlead_base::hash;

/// A request by its caller, path and body. Attempts with the same identity ask for the same.
///
/// The caller is hashed separately, so that no body makes one organisation's request look like
/// another's.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Identity {
    /// Hash of the organisation.
    pub caller: u64,
    /// Hash of the method, host, target and body.
    pub content: u64,
}

impl Identity {
    /// Identity of a request of `organisation`, which is empty for callers without one. `target`:
    /// path and query.
    pub fn of(organisation: &str, method: &str, host: &str, target: &str, body: &[u8]) -> Self {
        let parts = [method.as_bytes(), host.as_bytes(), target.as_bytes(), body];
        Self {
            caller: hash::stable(organisation.as_bytes()),
            content: parts.iter().fold(0, |seed, it| hash::seeded(it, seed)),
        }
    }
}

/// A text that isn't an identity.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("expected an identity: 32 hexadecimal digits")]
pub struct IdentityError;

impl FromStr for Identity {
    type Err = IdentityError;

    fn from_str(text: &str) -> Result<Self, IdentityError> {
        if text.len() != 32 || !text.bytes().all(|it| it.is_ascii_hexdigit()) {
            return Err(IdentityError);
        }
        let parse_half = |text: &str| u64::from_str_radix(text, 16).map_err(|_| IdentityError);
        Ok(Self { caller: parse_half(&text[..16])?, content: parse_half(&text[16..])? })
    }
}

impl fmt::Display for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}{:016x}", self.caller, self.content)
    }
}
