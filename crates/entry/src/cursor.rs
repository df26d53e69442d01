//! Event ids: where in whose stream a caller is, signed so that any instance can trust it.
//!
//! An id reads `{request}.{token number}.{mac}`. The mac is HMAC-SHA-256 over request, number,
//! organisation and the request's digest, cut to 16 bytes, under a key that all instances share.

use std::fmt;

use hmac::{Hmac, Mac};
use sha2::{Digest, Sha256};
use shallotlead_base::{id::Request, name};

use crate::settings::Keys;

#[cfg(test)]
mod tests;

const MAC_BYTES: usize = 16;
const REQUEST_DIGITS: usize = 32;
// Longest number that fits 32 bits.
const NUMBER_DIGITS: usize = 10;

/// SHA-256 of a request's path and body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Fingerprint([u8; 32]);

impl Fingerprint {
    /// The fingerprint of `body` sent to `path`.
    pub(crate) fn new(path: &str, body: &[u8]) -> Self {
        let mut hash = Sha256::new();
        hash.update((path.len() as u64).to_be_bytes());
        hash.update(path);
        hash.update(body);
        Self(hash.finalize().into())
    }
}

/// What an id is bound to.
#[derive(Clone, Debug)]
pub(crate) struct Scope {
    /// The organisation that asked.
    pub(crate) organisation: name::Organisation,
    /// What it asked.
    pub(crate) fingerprint: Fingerprint,
}

/// A trusted position in a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Cursor {
    /// The request whose stream it was.
    pub(crate) request: Request,
    /// The last token that the caller holds.
    pub(crate) number: u32,
}

/// The id was not made by this system for this organisation and request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Invalid;

/// Makes and checks event ids.
#[derive(Clone)]
pub(crate) struct Signer {
    current: Hmac<Sha256>,
    previous: Option<Hmac<Sha256>>,
}

impl fmt::Debug for Signer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Signer(..)")
    }
}

impl Signer {
    /// A signer with the instances' shared keys.
    pub(crate) fn new(keys: &Keys) -> Self {
        Self {
            current: keyed(&keys.event_id),
            previous: keys.event_id_previous.as_ref().map(keyed),
        }
    }

    /// The id of the event that ends with token `cursor.number`.
    pub(crate) fn sign(&self, cursor: Cursor, scope: &Scope) -> String {
        let mac = seal(self.current.clone(), cursor, scope).finalize().into_bytes();
        let mut id = format!("{}.{}.", cursor.request, cursor.number);
        for byte in &mac[..MAC_BYTES] {
            id.push(digit(byte >> 4));
            id.push(digit(byte & 15));
        }
        id
    }

    /// The position that `id` stands for, when it is genuine and made for `scope`.
    pub(crate) fn verify(&self, id: &[u8], scope: &Scope) -> Result<Cursor, Invalid> {
        let (cursor, mac) = split(id).ok_or(Invalid)?;
        let trusted = |key: &Hmac<Sha256>| {
            seal(key.clone(), cursor, scope).verify_truncated_left(&mac).is_ok()
        };
        if trusted(&self.current) || self.previous.as_ref().is_some_and(trusted) {
            Ok(cursor)
        } else {
            Err(Invalid)
        }
    }
}

fn keyed(key: &[u8; crate::settings::KEY_BYTES]) -> Hmac<Sha256> {
    #[expect(clippy::expect_used, reason = "HMAC takes keys of any length")]
    Hmac::new_from_slice(key).expect("any length is valid")
}

fn seal(mut mac: Hmac<Sha256>, cursor: Cursor, scope: &Scope) -> Hmac<Sha256> {
    // Every part but the last has a fixed length, so that no two inputs run into one another.
    mac.update(&cursor.request.0.to_be_bytes());
    mac.update(&cursor.number.to_be_bytes());
    mac.update(&scope.fingerprint.0);
    mac.update(scope.organisation.as_str().as_bytes());
    mac
}

fn split(id: &[u8]) -> Option<(Cursor, [u8; MAC_BYTES])> {
    let text = std::str::from_utf8(id).ok()?;
    let (request, rest) = text.split_once('.')?;
    let (number, mac) = rest.split_once('.')?;
    let canonical = request.len() == REQUEST_DIGITS
        && number.len() <= NUMBER_DIGITS
        && !number.starts_with('0')
        && number.bytes().all(|it| it.is_ascii_digit())
        && mac.len() == 2 * MAC_BYTES
        && [request, mac].iter().all(|it| it.bytes().all(is_digit));
    if !canonical {
        return None;
    }
    let cursor = Cursor { request: request.parse().ok()?, number: number.parse().ok()? };
    let mut bytes = [0; MAC_BYTES];
    for (n, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&mac[2 * n..2 * n + 2], 16).ok()?;
    }
    Some((cursor, bytes))
}

fn is_digit(byte: u8) -> bool {
    matches!(byte, b'0'..=b'9' | b'a'..=b'f')
}

fn digit(nibble: u8) -> char {
    char::from(b"0123456789abcdef"[usize::from(nibble & 15)])
}
