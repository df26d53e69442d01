//! Stored format of a shard: one head, written by conditional update, and sealed segments that
//! never change.
//!
//! A commit writes the head alone, with the records since the last seal, so its size doesn't grow
//! with the number of keys that are remembered. The records of a full head move to a segment named
//! by the head's version: that version was written only once, so the name determines the content,
//! and two writers that seal concurrently write the same. A segment is part of the shard only once
//! a head lists it.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use shallotlead_base::{id::Version, store::Key};

use crate::intent::{RETENTION, entry::Entry};

/// Name of the head object.
pub(crate) const HEAD: &str = "head";
/// Size of the encoded records, in bytes, beyond which they are sealed.
pub(crate) const SEAL_BYTES: usize = 8 * 1024;

/// A record with its time of writing.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct Stamped {
    /// Time of writing on the shard's clock, in milliseconds.
    pub(crate) at_ms: u64,
    /// The record.
    pub(crate) entry: Entry,
}

/// One sealed segment, as listed in the head.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct Sealed {
    /// Version of the head whose records it contains, which is also its name.
    pub(crate) head_version: Version,
    /// Version of the segment's object.
    pub(crate) object_version: Version,
    /// Time of writing of its newest record on the shard's clock, in milliseconds.
    pub(crate) newest_ms: u64,
}

/// The head of a shard.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct Head {
    /// The shard's clock, in milliseconds: each writer adds the time that passed on its own
    /// monotonic clock since it read the head, so it never runs ahead of true time, and no two
    /// clocks are compared.
    pub(crate) clock_ms: u64,
    /// Segments of the shard, oldest first.
    pub(crate) sealed: Vec<Sealed>,
    /// Records since the last seal, oldest first.
    pub(crate) entries: Vec<Stamped>,
}

impl Head {
    /// Removes the segments whose records have all expired from the list, and returns them.
    pub(crate) fn remove_expired(&mut self) -> Vec<Sealed> {
        let clock_ms = self.clock_ms;
        let (expired, kept) = self.sealed.iter().partition(|it| is_expired(it.newest_ms, clock_ms));
        self.sealed = kept;
        expired
    }
}

/// Whether a record written at `at_ms` has expired at `clock_ms`.
pub(crate) fn is_expired(at_ms: u64, clock_ms: u64) -> bool {
    at_ms + millis(RETENTION) <= clock_ms
}

/// Whole milliseconds of `duration`.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Encodes a head or a segment.
pub(crate) fn encode<T: Serialize>(value: &T) -> Arc<[u8]> {
    // Serializing plain data to a vector can't fail.
    postcard::to_allocvec(value).unwrap_or_default().into()
}

/// Kind of the stored objects of shard `number`.
pub(crate) fn kind(number: u64) -> String {
    format!("intent-{number:02}")
}

/// Key of the head of shard `number`.
pub(crate) fn head_key(number: u64) -> Key {
    Key::new(&kind(number), HEAD)
}

/// Key of the segment of shard `number` with the records of the head at `head_version`.
pub(crate) fn segment_key(number: u64, head_version: Version) -> Key {
    Key::new(&kind(number), &format!("{:020}", head_version.0))
}

/// The head's version in the name of a segment; `None` if the name is no segment's.
pub(crate) fn parse_segment_name(name: &str) -> Option<Version> {
    name.parse().ok().map(Version)
}
