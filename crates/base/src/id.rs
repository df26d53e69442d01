//! Identifiers of requests, attempts, incarnations and versions.

use std::{fmt, num::ParseIntError, str::FromStr};

use serde::{Deserialize, Serialize};

/// A request, unique over all entry instances: 64 bits of the accepting instance's identity and
/// incarnation, 64 bits of counter and random.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Request(pub u128);

impl fmt::Display for Request {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for Request {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Self)
    }
}

/// One attempt of a request at one backend server. Answers carry it, so that a late or crossed
/// answer is matched to its attempt or dropped.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Attempt {
    /// The request that the attempt serves.
    pub request: Request,
    /// Number of the attempt, from 1.
    pub number: u8,
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.request, self.number)
    }
}

macro_rules! number {
    ($(#[$doc:meta])* $type:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
        )]
        #[serde(transparent)]
        pub struct $type(pub u64);

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }
    };
}

number! {
    /// One life of a process or engine: a higher number is a later life, with empty caches.
    Incarnation
}
number! {
    /// Fencing token: grows with each grant of a lease.
    Fence
}
number! {
    /// Version of a stored object or of the table. Zero means absent.
    ///
    /// Where the store may come back from a copy it is a position: the store's era above, the revision below. So
    /// versions are in order over all restores, and none is given out twice.
    Version
}

impl Version {
    /// Bits of the revision: a trillion changes. With eras up to [`Version::MAX_ERA`] a position stays a whole
    /// number below 2^53, which all JSON readers keep.
    const REVISION_BITS: u32 = 40;
    /// The highest era, and so the most restores.
    pub const MAX_ERA: u64 = (1 << 13) - 1;

    /// The position of `revision` in `era`.
    pub const fn at(era: u64, revision: u64) -> Self {
        Self(era << Self::REVISION_BITS | revision)
    }

    /// The store's era: how often it has come back from a copy, as far as it says.
    pub const fn era(self) -> u64 {
        self.0 >> Self::REVISION_BITS
    }

    /// The revision within its era.
    pub const fn revision(self) -> u64 {
        self.0 & ((1 << Self::REVISION_BITS) - 1)
    }
}
number! {
    /// Version of a model's weights.
    Weights
}

/// Hash of one block of a prompt and all blocks before it, salted by organisation, model and weights
/// version, so that equal hashes across those can't occur but by a 64-bit collision.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Block(pub u64);
