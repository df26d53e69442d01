//! How the table lies in the object store.
//!
//! One object, the head, is the only point of acceptance: it names the segments that hold the table
//! up to a truncation point, and carries the log of changes since. A change is one conditional
//! write of the head. Compaction writes new segments under new names, then swaps the head; the log
//! keeps some changes from before the truncation point, so that a watcher that lags needs the head
//! alone. A reader needs the head and a handful of segments and can then take over at once. The
//! idea of a manifest with a truncation point is that of "Cloud Topics: the metastore" (Redpanda,
//! 2026), with a conditional write in the place of a consensus log.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use shallotlead_base::{
    id::Version,
    store::{Key, MAX_VALUE},
};

use crate::{
    change::Change, error::Error, model::Model, organisation::Organisation, server::Server,
    snapshot::Snapshot,
};

/// Kind of the head, the only object of its kind, so that a watch of the kind is a watch of it.
pub const HEAD_KIND: &str = "table";
/// Name of the head.
pub const HEAD_NAME: &str = "head";
/// Kind of segments.
pub const SEGMENT_KIND: &str = "table-segment";
/// Kind of archived parts of the log, named by their first and last version.
pub const HISTORY_KIND: &str = "table-history";

/// Largest segment, in bytes. Well below the platform's bound, so that a reader's calls stay short.
const SEGMENT_BYTES: usize = 256 << 10;
/// The log is compacted from this many changes on.
const LOG_MAX: usize = 128;
/// Changes that stay in the log after compaction. A lost write is settled by finding the change in
/// the log, so this must exceed the changes that others can make meanwhile.
const LOG_KEPT: usize = 64;
/// Largest log, in bytes: compaction comes earlier, and fewer changes stay, when they are large.
const LOG_BYTES: usize = 128 << 10;
/// Version of this layout.
const FORMAT: u32 = 1;

/// Key of the head.
pub fn head_key() -> Key {
    Key::new(HEAD_KIND, HEAD_NAME)
}

/// The head.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Head {
    format: u32,
    /// The table's version.
    pub version: Version,
    /// Where the table up to the truncation point is stored.
    pub manifest: Manifest,
    /// Recent changes, oldest first, without gaps up to `version`. May begin before the truncation
    /// point.
    pub log: Vec<Change>,
}

/// The segments that hold the table at one version.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Manifest {
    /// The truncation point: the version that the segments hold.
    pub version: Version,
    /// Names of the segments.
    pub segments: Vec<Arc<str>>,
}

/// Part of the table's rows.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Segment {
    /// Organisations.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub organisations: Vec<Organisation>,
    /// Models and plain services.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub models: Vec<Model>,
    /// Backend servers.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub servers: Vec<Server>,
}

/// One object to write before the head is swapped.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Part {
    /// Where.
    pub key: Key,
    /// What.
    pub value: Arc<[u8]>,
}

/// A compacted head and what must be stored before it may be written.
#[derive(Clone, Debug, PartialEq)]
pub struct Compaction {
    /// The new segments and the archived part of the log.
    pub parts: Vec<Part>,
    /// The new head.
    pub head: Head,
}

impl Default for Head {
    fn default() -> Self {
        Self { format: FORMAT, version: Version(0), manifest: Manifest::default(), log: Vec::new() }
    }
}

impl Head {
    /// Decodes a stored head.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        let head = decode::<Head>(HEAD_NAME, bytes)?;
        if head.format != FORMAT {
            let reason = format!("layout {} is newer than {FORMAT}", head.format);
            return Err(Error::Stored { name: HEAD_NAME.to_owned(), reason });
        }
        Ok(head)
    }

    /// The head as stored; fails when it would not fit an object.
    pub fn encode(&self) -> Result<Arc<[u8]>, Error> {
        let bytes = encode(HEAD_NAME, self)?;
        if MAX_VALUE < bytes.len() {
            return Err(Error::TooLarge { bytes: bytes.len(), max: MAX_VALUE });
        }
        Ok(bytes)
    }

    /// Keys of the segments to read.
    pub fn segment_keys(&self) -> impl Iterator<Item = Key> {
        self.manifest.segments.iter().map(|it| Key::new(SEGMENT_KIND, it))
    }

    /// The table at the head's version, from the values of all its segments.
    pub fn load(&self, segments: &[Arc<[u8]>]) -> Result<Snapshot, Error> {
        let mut snapshot = Snapshot { version: self.manifest.version, ..Snapshot::default() };
        for (name, bytes) in self.manifest.segments.iter().zip(segments) {
            let part = decode::<Segment>(name, bytes)?;
            let organisations = part.organisations.into_iter().map(|it| (it.name.clone(), it));
            snapshot.organisations.extend(organisations);
            snapshot.models.extend(part.models.into_iter().map(|it| (it.name.clone(), it)));
            snapshot.servers.extend(part.servers.into_iter().map(|it| (it.name.clone(), it)));
        }
        self.catch_up(snapshot)
    }

    /// Brings `snapshot` to the head's version by the log alone; fails when the log begins later.
    pub fn catch_up(&self, mut snapshot: Snapshot) -> Result<Snapshot, Error> {
        for change in &self.log {
            snapshot.replay(change)?;
        }
        if snapshot.version < self.version {
            let reason = format!("the log doesn't reach {}", self.version);
            return Err(Error::Stored { name: HEAD_NAME.to_owned(), reason });
        }
        Ok(snapshot)
    }

    /// Whether the log alone brings a table at `version` up to date.
    pub fn reaches(&self, version: Version) -> bool {
        self.log.first().map_or(self.version <= version, |it| it.version.0 <= version.0 + 1)
    }

    /// Changes after `version`, or `None` when the log begins later.
    pub fn since(&self, version: Version) -> Option<&[Change]> {
        if !self.reaches(version) {
            return None;
        }
        let start = self.log.partition_point(|it| it.version <= version);
        Some(&self.log[start..])
    }

    /// The accepted change with this id, when the log still holds it.
    pub fn find(&self, id: u128) -> Option<&Change> {
        self.log.iter().rev().find(|it| it.proposal.id == id)
    }

    /// The head with one more change.
    pub fn append(&self, change: Change) -> Head {
        let mut next = self.clone();
        next.version = change.version;
        next.log.push(change);
        next
    }

    /// Whether the log since the truncation point has grown enough to compact.
    pub fn is_long(&self) -> bool {
        // Guards against compacting the same changes again and again: a large one stays in the log for
        // a while. It shows as a whole table written with each change; and as segments lost, when two
        // compactions at one version use the same names and the second sweeps those of the first. The
        // guard holds because only changes that the segments don't hold yet count.
        let start = self.log.partition_point(|it| it.version <= self.manifest.version);
        let fresh = &self.log[start..];
        LOG_MAX < fresh.len() || LOG_BYTES < encode(HEAD_NAME, &fresh).map_or(0, |it| it.len())
    }

    /// Moves the truncation point to the head's version. `snapshot` must be at that version.
    pub fn compact(&self, snapshot: &Snapshot) -> Result<Compaction, Error> {
        debug_assert_eq!(self.version, snapshot.version);
        let mut parts = segments(snapshot)?;
        let names = parts.iter().map(|it| it.key.name.clone()).collect();
        let (old, kept) = self.log.split_at(self.log.len() - self.kept());
        parts.extend(archive(old)?);
        let manifest = Manifest { version: snapshot.version, segments: names };
        let head = Head { format: FORMAT, version: self.version, manifest, log: kept.to_vec() };
        Ok(Compaction { parts, head })
    }

    /// How many of the latest changes stay in the log: the last always, more as far as they are
    /// neither many nor large.
    fn kept(&self) -> usize {
        let mut bytes = 0;
        let fits = |it: &&Change| {
            bytes += encode(HEAD_NAME, it).map_or(LOG_BYTES, |it| it.len());
            bytes <= LOG_BYTES
        };
        let kept = self.log.iter().rev().take(LOG_KEPT).take_while(fits).count();
        kept.max(1).min(self.log.len())
    }
}

/// Splits `snapshot` into segments of at most [`SEGMENT_BYTES`].
fn segments(snapshot: &Snapshot) -> Result<Vec<Part>, Error> {
    let mut parts = Vec::new();
    let mut push = |segment: &Segment| -> Result<(), Error> {
        let name = format!("{}-{}", snapshot.version, parts.len());
        let value = encode(&name, segment)?;
        parts.push(Part { key: Key::new(SEGMENT_KIND, &name), value });
        Ok(())
    };
    let models = snapshot.models.values().cloned().collect();
    push(&Segment { models, ..Segment::default() })?;
    for organisations in chunks(snapshot.organisations.values())? {
        push(&Segment { organisations, ..Segment::default() })?;
    }
    for servers in chunks(snapshot.servers.values())? {
        push(&Segment { servers, ..Segment::default() })?;
    }
    Ok(parts)
}

fn chunks<'a, T: Clone + Serialize + 'a>(
    rows: impl Iterator<Item = &'a T>,
) -> Result<Vec<Vec<T>>, Error> {
    let mut chunks = Vec::new();
    let mut chunk = Vec::new();
    let mut size = 0;
    for row in rows {
        let bytes = encode("row", row)?.len() + 1;
        if SEGMENT_BYTES < size + bytes && !chunk.is_empty() {
            chunks.push(std::mem::take(&mut chunk));
            size = 0;
        }
        size += bytes;
        chunk.push(row.clone());
    }
    if !chunk.is_empty() {
        chunks.push(chunk);
    }
    Ok(chunks)
}

fn archive(log: &[Change]) -> Result<Option<Part>, Error> {
    let (Some(first), Some(last)) = (log.first(), log.last()) else { return Ok(None) };
    // Zero-padded, so that names sort by version.
    let name = format!("{:012}-{:012}", first.version.0, last.version.0);
    let value = encode(&name, &log)?;
    Ok(Some(Part { key: Key::new(HISTORY_KIND, &name), value }))
}

/// Decodes an archived part of the log.
pub fn decode_history(name: &str, bytes: &[u8]) -> Result<Vec<Change>, Error> {
    decode(name, bytes)
}

fn decode<T: for<'de> Deserialize<'de>>(name: &str, bytes: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(bytes)
        .map_err(|it| Error::Stored { name: name.to_owned(), reason: it.to_string() })
}

fn encode<T: Serialize>(name: &str, value: &T) -> Result<Arc<[u8]>, Error> {
    match serde_json::to_vec(value) {
        Ok(bytes) => Ok(bytes.into()),
        Err(it) => Err(Error::Stored { name: name.to_owned(), reason: it.to_string() }),
    }
}
