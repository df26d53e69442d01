//! Stores quarantined requests, so that they survive a restart of all instances.

use std::{collections::VecDeque, time::Duration};

use serde::{Deserialize, Serialize};
use shallotlead_base::{
    hash::{Map, Set},
    id::Version,
    store::{Call, Key, Object, Reply},
    time::Time,
};

use crate::{
    core::{Core, storage::Pending},
    quarantine::{Identity, IncarnationId, Record},
};

/// Kind of the records, which are named by the identities of their requests.
pub(super) const KIND: &str = "quarantine";
/// Delay before a failed write is retried.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Most queued changes; older ones are dropped, so that the queue stays bounded while the store is
/// unreachable.
const MAX_QUEUED: usize = 64;

/// A record's value in the store.
#[derive(Debug, Deserialize, Serialize)]
struct Stored {
    /// The server processes that crashed while they ran it.
    #[serde(rename = "lives")]
    incarnations: Vec<IncarnationId>,
    /// When the request was last seen, Unix seconds.
    seen_s: u64,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Change {
    Write,
    Remove,
}

/// Pending changes of the stored records, which are written one at a time.
#[derive(Debug, Default)]
pub(crate) struct Records {
    queue: VecDeque<(Identity, Change)>,
    is_in_flight: bool,
    next_at: Time,
    /// Known versions of the records.
    versions: Map<Identity, Version>,
    /// When each record was last written or read as current.
    refreshed: Map<Identity, Time>,
    /// Records that this instance has written.
    written: Set<Identity>,
    /// Recently removed records, which a restore from an older copy would bring back.
    removed: Map<Identity, Time>,
}

/// How long a removal is repeated if the store is restored from an older copy.
const REMOVAL_RETENTION: Duration = Duration::from_secs(60);

impl Records {
    fn push(&mut self, identity: Identity, change: Change) {
        self.queue.retain(|it| it.0 != identity);
        if MAX_QUEUED <= self.queue.len() {
            self.queue.pop_front();
        }
        self.queue.push_back((identity, change));
    }

    /// After a restore of the store from an older copy, queues the records that this instance had
    /// written, and its recent removals, again.
    pub(super) fn handle_restore(&mut self, now: Time) {
        self.versions.clear();
        let written: Vec<Identity> = self.written.iter().copied().collect();
        written.into_iter().for_each(|it| self.push(it, Change::Write));
        self.removed.retain(|_, it| now.since(*it) < REMOVAL_RETENTION);
        let removed: Vec<Identity> = self.removed.keys().copied().collect();
        removed.into_iter().for_each(|it| self.push(it, Change::Remove));
    }

    /// Whether a further change can be queued without dropping another.
    fn has_room(&self) -> bool {
        self.queue.len() < MAX_QUEUED
    }

    /// When the next change may be written, if there is one.
    pub(super) fn next_due(&self) -> Option<Time> {
        (!self.is_in_flight && !self.queue.is_empty()).then_some(self.next_at)
    }
}

impl Core {
    /// Queues the record of a request that was quarantined.
    pub(crate) fn queue_record_write(&mut self, identity: Identity) {
        self.storage.quarantine.push(identity, Change::Write);
        self.storage.quarantine.removed.remove(&identity);
        self.storage.quarantine.refreshed.insert(identity, self.now);
    }

    /// Rewrites the record of a quarantined request that came again, once half of its retention
    /// time is over.
    pub(crate) fn refresh_record(&mut self, identity: Identity) {
        let half = self.quarantine.retention(&identity, 0) / 2;
        let refreshed = self.storage.quarantine.refreshed.entry(identity).or_insert(self.now);
        if half <= self.now.since(*refreshed) {
            self.queue_record_write(identity);
        }
    }

    /// Queues the removal of the record of a request that was released.
    pub(crate) fn queue_record_removal(&mut self, identity: Identity) {
        self.storage.quarantine.refreshed.remove(&identity);
        let now = self.now;
        let removed = &mut self.storage.quarantine.removed;
        removed.retain(|_, it| now.since(*it) < REMOVAL_RETENTION);
        removed.insert(identity, now);
        self.storage.quarantine.push(identity, Change::Remove);
    }

    /// Removes the record of a request whose quarantine ended, if this instance has written or read
    /// it.
    pub(crate) fn remove_known_record(&mut self, identity: Identity) {
        if self.storage.quarantine.versions.contains_key(&identity) {
            self.queue_record_removal(identity);
        }
    }

    pub(super) fn tick_quarantine(&mut self) {
        if self.storage.quarantine.next_due().is_none_or(|it| self.now < it) {
            return;
        }
        let Some((identity, change)) = self.storage.quarantine.queue.front().copied() else {
            return;
        };
        let key = Key::new(KIND, &identity.to_string());
        let expected = self.storage.quarantine.versions.get(&identity).copied().unwrap_or_default();
        let call = match change {
            Change::Write => match self.encode_record(&identity) {
                Some(value) => Call::Put { key, expected, value: value.into() },
                None => {
                    // The request was released in the meantime.
                    self.storage.quarantine.queue.pop_front();
                    return;
                }
            },
            Change::Remove => Call::Delete { key, expected },
        };
        self.storage.quarantine.is_in_flight = true;
        self.storage.submit(self.now, Pending::Quarantine(identity), call);
    }

    fn encode_record(&self, identity: &Identity) -> Option<Vec<u8>> {
        let records = self.quarantine.records(self.now);
        let record = records.into_iter().find(|it| it.identity == *identity)?;
        let seen_s = self.clock.unix_time().as_secs().saturating_sub(record.age_ms / 1_000);
        serde_json::to_vec(&Stored { incarnations: record.incarnations, seen_s }).ok()
    }

    pub(super) fn handle_record_reply(&mut self, identity: Identity, reply: &Reply) {
        let quarantine = &mut self.storage.quarantine;
        quarantine.is_in_flight = false;
        let change = quarantine.queue.front().filter(|it| it.0 == identity).map(|it| it.1);
        let is_done = match reply {
            Reply::Done(version) => {
                quarantine.versions.insert(identity, *version);
                if change == Some(Change::Write) {
                    quarantine.written.insert(identity);
                }
                true
            }
            // Another instance has written the record. A removal is retried with its version.
            Reply::Conflict(Some(object)) => {
                quarantine.versions.insert(identity, object.version);
                change != Some(Change::Remove)
            }
            Reply::Conflict(None) => {
                quarantine.versions.remove(&identity);
                change == Some(Change::Remove)
            }
            Reply::Failed(_) | Reply::Got(_) | Reply::Listed { .. } | Reply::Changed { .. } => {
                quarantine.next_at = self.now + RETRY_DELAY;
                false
            }
        };
        if !is_done || change.is_none() {
            return;
        }
        quarantine.queue.pop_front();
        if change == Some(Change::Remove) {
            quarantine.versions.remove(&identity);
            quarantine.written.remove(&identity);
        }
    }

    /// Applies a record from the store; removes it if its retention time is over.
    pub(crate) fn apply_quarantine_record(&mut self, object: &Object) {
        let stored = serde_json::from_slice::<Stored>(&object.value);
        let (Ok(identity), Ok(stored)) = (object.key.name.parse::<Identity>(), stored) else {
            self.log.line(self.now, "quarantine_unreadable").text("name", &object.key.name);
            return;
        };
        let age =
            Duration::from_secs(self.clock.unix_time().as_secs().saturating_sub(stored.seen_s));
        if self.quarantine.retention(&identity, stored.incarnations.len()) <= age {
            // Others are removed when they are read again.
            if self.storage.quarantine.has_room() {
                self.storage.quarantine.versions.insert(identity, object.version);
                self.queue_record_removal(identity);
            }
            return;
        }
        // What this instance finds itself, or hears of, goes before records of which there are too many.
        if !self.quarantine.has_room(&identity) {
            return;
        }
        let age_ms = age.as_millis() as u64;
        let record =
            Record { identity, incarnations: stored.incarnations, age_ms, is_released: false };
        self.adopt_records(&[record], "store");
        if self.quarantine.is_tracked(&identity) {
            self.storage.quarantine.versions.insert(identity, object.version);
            self.storage.quarantine.refreshed.insert(identity, self.now - age);
        }
    }
}
