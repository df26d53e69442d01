//! Which builds of a service may have begun streams, as recorded in the platform's store.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use shallotlead_base::{hash::Map, id::Version, time::Time};

use super::Id;

/// A build is obsolete once no server of it has been listed for this many lifetimes of a stream. The second one covers
/// instances that still send streams to it, as they haven't heard that its servers have left.
const OBSOLETE_LIFETIMES: u32 = 2;

/// Most builds in a record: as many as a service has servers, each with a build of its own.
const MAX_BUILDS: usize = 5_000;

/// The builds of one service that may have begun streams which callers can still take up.
///
/// A build is recorded before the first stream is sent to one of its servers. So a read of the record shows all builds
/// that can have begun a stream of a request that arrived before the read was sent, however little the reader itself
/// has heard. If there is only one, it is the stream's.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// The recorded builds, as last read or written.
    builds: Vec<Id>,
    version: Version,
    /// When the call was sent that last read or wrote the record.
    read_at: Option<Time>,
    /// When a server of each build was last listed, or the build was first read from the record.
    listed_at: Map<Id, Time>,
    /// Recorded builds whose servers were gone for so long that others may have removed them since the last read.
    lapsed: Vec<Id>,
    /// When another instance last announced a stream that it had sent to a server of each build. Those are recorded.
    announced_at: Map<Id, Time>,
    /// Builds that a store may have lost which was restored from an older copy.
    lost: Vec<Id>,
}

/// The record's content in the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Content {
    builds: Vec<Id>,
}

impl Content {
    /// Reads what was written. A record that can't be read, or has more builds than any service, may have had any.
    pub fn parse(written: &[u8]) -> Self {
        let content = serde_json::from_slice::<Self>(written).ok();
        let is_usable = |it: &Self| it.builds.len() <= MAX_BUILDS;
        content.filter(is_usable).unwrap_or_else(|| Self::of(&[Id::UNNAMED]))
    }

    /// The content with these builds.
    pub fn of(builds: &[Id]) -> Self {
        Self { builds: builds.to_vec() }
    }
}

impl Record {
    /// The record's version; zero if there is none.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Adopts what a call that was sent at `sent_at` has read or written; `None` if there is no record.
    pub fn adopt(&mut self, now: Time, sent_at: Time, stored: Option<(Version, Content)>) {
        let (version, content) = stored.unwrap_or((Version(0), Content::of(&[])));
        self.version = version;
        self.builds = content.builds;
        self.read_at = Some(sent_at);
        self.lapsed.clear();
        self.lost.retain(|it| !self.builds.contains(it));
        let builds = &self.builds;
        self.listed_at.retain(|it, _| builds.contains(it));
        for it in builds {
            self.listed_at.entry(*it).or_insert(now);
        }
    }

    /// The store was restored from an older copy, in which builds may be missing.
    pub fn handle_restore(&mut self) {
        self.lost.append(&mut self.builds);
        self.version = Version(0);
        self.read_at = None;
    }

    /// Takes note of the builds of the servers that are listed now.
    pub fn observe(&mut self, now: Time, listed: &[Id], lifetime: Duration) {
        for it in listed {
            if self.builds.contains(it) {
                self.listed_at.insert(*it, now);
            }
        }
        self.announced_at.retain(|_, it| now.since(*it) < lifetime);
        for it in &self.builds {
            if self.is_missing_for(now, *it, lifetime) && !self.lapsed.contains(it) {
                self.lapsed.push(*it);
            }
        }
    }

    fn is_missing_for(&self, now: Time, build: Id, duration: Duration) -> bool {
        self.listed_at.get(&build).is_none_or(|it| duration <= now.since(*it))
    }

    /// Whether streams may be sent to servers of this build.
    pub fn contains(&self, build: Id) -> bool {
        let is_current = self.builds.contains(&build) && !self.lapsed.contains(&build);
        is_current || self.announced_at.contains_key(&build)
    }

    /// Another instance has sent a stream to a server of this build, so that it is recorded. An instance that the store
    /// doesn't answer can send streams there as well.
    pub fn record_announcement(&mut self, now: Time, build: Id) {
        self.announced_at.insert(build, now);
    }

    /// Whether the record was read by a call that was sent at this time or later.
    pub fn is_read_since(&self, time: Time) -> bool {
        self.read_at.is_some_and(|it| time <= it)
    }

    /// Whether it has to be read before streams can be sent to servers of all `listed` builds.
    pub fn needs_read(&self, listed: &[Id]) -> bool {
        self.read_at.is_none() || listed.iter().any(|it| self.lapsed.contains(it))
    }

    /// The only recorded build.
    pub fn only(&self) -> Option<Id> {
        match &self.builds[..] {
            [build] if *build != Id::UNNAMED => Some(*build),
            _ => None,
        }
    }

    /// Number of recorded builds.
    pub fn len(&self) -> usize {
        self.builds.len()
    }

    /// Whether no build is recorded.
    pub fn is_empty(&self) -> bool {
        self.builds.is_empty()
    }

    /// Whether streams may have begun at several builds.
    pub fn is_mixed(&self) -> bool {
        1 < self.builds.len()
    }

    /// What is to be written: the content with all `listed` builds and without obsolete ones. `None` if that is
    /// recorded.
    pub fn update(&self, now: Time, listed: &[Id], lifetime: Duration) -> Option<Content> {
        let is_obsolete = |it: &Id| {
            !listed.contains(it) && self.is_missing_for(now, *it, lifetime * OBSOLETE_LIFETIMES)
        };
        let mut builds: Vec<Id> =
            self.builds.iter().filter(|it| !is_obsolete(it)).copied().collect();
        for it in listed.iter().chain(&self.lost) {
            if !builds.contains(it) {
                builds.push(*it);
            }
        }
        // The last known build stays, so that a service without servers needs no writes.
        (builds != self.builds && !builds.is_empty()).then_some(Content { builds })
    }
}
