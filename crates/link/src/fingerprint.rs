//! SHA-256 fingerprints of certificates.

use std::{fmt, str::FromStr};

use sha2::{Digest, Sha256};
use thiserror::Error;

/// SHA-256 of a certificate's DER form. Written as 64 hexadecimal digits.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Fingerprint(pub [u8; 32]);

impl Fingerprint {
    /// The fingerprint of a certificate in DER form.
    pub fn of(der: &[u8]) -> Self {
        Self(Sha256::digest(der).into())
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|it| write!(f, "{it:02x}"))
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// Text that is no fingerprint.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("a fingerprint has 64 hexadecimal digits")]
pub struct Malformed;

impl FromStr for Fingerprint {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() != 64 || !text.bytes().all(|it| it.is_ascii_hexdigit()) {
            return Err(Malformed);
        }
        let mut bytes = [0; 32];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[index * 2..index * 2 + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| Malformed)?;
        }
        Ok(Self(bytes))
    }
}
