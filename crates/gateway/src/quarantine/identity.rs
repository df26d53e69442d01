//! Identifies what may crash servers: a request when it is retried, or a part that prompts share.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use shallotlead_base::hash;

use super::IncarnationId;

/// Upper bits of `caller` in the identity of a part. The hash of an organisation never has all of
/// them.
const PART_TAG: u64 = 0xffff << 48;

/// A request by its caller, path and body, or a part that prompts share. Attempts with the same
/// identity ask for the same.
///
/// The caller is hashed separately, so that no body makes one organisation's request look like
/// another's. A part has the same identity at all organisations, as its content is the same.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Identity {
    /// Hash of the organisation; of the model for a part.
    pub caller: u64,
    /// Hash of the method, host, target and body; the id of a part.
    pub content: u64,
}

impl Identity {
    /// Identity of a request of `organisation`, which is empty for callers without one. `target`:
    /// path and query.
    pub fn of(organisation: &str, method: &str, host: &str, target: &str, body: &[u8]) -> Self {
        Self::of_segments(organisation, method, host, target, [body])
    }

    /// Like [`Identity::of`], of a request whose body is in `segments`.
    pub fn of_segments<'a>(
        organisation: &str,
        method: &str,
        host: &str,
        target: &str,
        segments: impl IntoIterator<Item = &'a [u8]>,
    ) -> Self {
        let parts = [method.as_bytes(), host.as_bytes(), target.as_bytes()];
        let seed = parts.iter().fold(0, |seed, it| hash::seeded(it, seed));
        let caller = hash::stable(organisation.as_bytes());
        Self {
            caller: if is_tagged(caller) { !caller } else { caller },
            content: hash::seeded_parts(segments, seed),
        }
    }

    /// Identity of the part `id` in prompts for `model`.
    pub fn of_part(model: &str, id: u64) -> Self {
        Self { caller: hash::stable(model.as_bytes()) | PART_TAG, content: id }
    }

    /// The identity by which instances tell each other of a crash of this server; applied once more,
    /// it yields the identity itself.
    ///
    /// A part has another one for each server. Earlier releases take each identity for a request's,
    /// and would put sound parts that many prompts share in quarantine.
    pub fn masked(self, incarnation_id: IncarnationId) -> Self {
        match self.is_part() {
            true => Self { content: self.content ^ incarnation_id, ..self },
            false => self,
        }
    }

    /// The id of the part, hexadecimal; empty for a request.
    pub fn part_text(&self) -> String {
        if self.is_part() { format!("{:x}", self.content) } else { String::new() }
    }

    /// Whether it identifies a part, not a request.
    pub fn is_part(&self) -> bool {
        is_tagged(self.caller)
    }
}

fn is_tagged(caller: u64) -> bool {
    caller & PART_TAG == PART_TAG
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
