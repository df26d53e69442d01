//! Requests in quarantine as they lie in the store, for a fleet that starts anew.

use std::{
    collections::VecDeque,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use serde::{Deserialize, Serialize};
use shallotlead_base::{
    hash::{Map, Set},
    id::Version,
    store::{Call, Key, Object, Reply},
    time::Time,
};

use crate::{
    core::{Core, storage::Want},
    quarantine::{Identity, IncarnationId, Record},
};

/// Kind of the records; each bears the name of its request.
pub(super) const KIND: &str = "quarantine";
/// Pause after a write that failed.
const AGAIN: Duration = Duration::from_secs(1);
/// Writes that may wait: a store that is away for long must not make them pile up.
const MOST_DUE: usize = 64;

/// What lies in the store.
#[derive(Debug, Deserialize, Serialize)]
struct Stored {
    /// Lives of the servers that crashed under the request.
    lives: Vec<IncarnationId>,
    /// When the request was known to have come last, Unix seconds.
    seen_s: u64,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Change {
    Write,
    Remove,
}

/// Changes of the records in the store, one after the other.
#[derive(Debug, Default)]
pub(crate) struct Records {
    due: VecDeque<(Identity, Change)>,
    is_open: bool,
    next: Time,
    /// The records' versions, as far as known.
    versions: Map<Identity, Version>,
    /// When each record was last known to be up to date.
    current: Map<Identity, Time>,
    /// Records that this instance has written.
    written: Set<Identity>,
    /// Records that were removed lately: an older copy of the store would bring them back.
    removed: Map<Identity, Time>,
}

/// How long a removal is done again if the store comes back from an older copy.
const REMOVED_AGAIN: Duration = Duration::from_secs(60);

impl Records {
    fn push(&mut self, identity: Identity, change: Change) {
        self.due.retain(|it| it.0 != identity);
        if MOST_DUE <= self.due.len() {
            self.due.pop_front();
        }
        self.due.push_back((identity, change));
    }

    /// The store came back from an older copy: what this instance wrote is written again, and what it removed lately is
    /// removed again.
    pub(super) fn restored(&mut self, now: Time) {
        self.versions.clear();
        let written: Vec<Identity> = self.written.iter().copied().collect();
        written.into_iter().for_each(|it| self.push(it, Change::Write));
        self.removed.retain(|_, it| now.since(*it) < REMOVED_AGAIN);
        let removed: Vec<Identity> = self.removed.keys().copied().collect();
        removed.into_iter().for_each(|it| self.push(it, Change::Remove));
    }

    /// When a change is due, if there is one.
    pub(super) fn next(&self) -> Option<Time> {
        (!self.is_open && !self.due.is_empty()).then_some(self.next)
    }
}

impl Core {
    /// A request was put in quarantine: its record is to be written.
    pub(crate) fn write_quarantine(&mut self, identity: Identity) {
        self.storage.quarantine.push(identity, Change::Write);
        self.storage.quarantine.removed.remove(&identity);
        self.storage.quarantine.current.insert(identity, self.now);
    }

    /// A request in quarantine has come again: its record is written anew once half of its time is over.
    pub(crate) fn refresh_quarantine(&mut self, identity: Identity) {
        let half = self.quarantine.retention() / 2;
        let current = self.storage.quarantine.current.entry(identity).or_insert(self.now);
        if half <= self.now.since(*current) {
            self.write_quarantine(identity);
        }
    }

    /// A request was released: its record is to be removed.
    pub(crate) fn remove_quarantine(&mut self, identity: Identity) {
        self.storage.quarantine.current.remove(&identity);
        let now = self.now;
        let removed = &mut self.storage.quarantine.removed;
        removed.retain(|_, it| now.since(*it) < REMOVED_AGAIN);
        removed.insert(identity, now);
        self.storage.quarantine.push(identity, Change::Remove);
    }

    /// A request's time in quarantine is over: whoever has written or read its record removes it.
    pub(crate) fn drop_quarantine(&mut self, identity: Identity) {
        if self.storage.quarantine.versions.contains_key(&identity) {
            self.remove_quarantine(identity);
        }
    }

    pub(super) fn tick_quarantine(&mut self) {
        if self.storage.quarantine.next().is_none_or(|it| self.now < it) {
            return;
        }
        let Some((identity, change)) = self.storage.quarantine.due.front().copied() else { return };
        let key = Key::new(KIND, &identity.to_string());
        let expected = self.storage.quarantine.versions.get(&identity).copied().unwrap_or_default();
        let call = match change {
            Change::Write => match self.stored(&identity) {
                Some(value) => Call::Put { key, expected, value: value.into() },
                None => {
                    // It was released meanwhile.
                    self.storage.quarantine.due.pop_front();
                    return;
                }
            },
            Change::Remove => Call::Delete { key, expected },
        };
        self.storage.quarantine.is_open = true;
        self.storage.submit(self.now, Want::Quarantine(identity), call);
    }

    fn stored(&self, identity: &Identity) -> Option<Vec<u8>> {
        let records = self.quarantine.records(self.now);
        let record = records.into_iter().find(|it| it.identity == *identity)?;
        let seen_s = unix_s().saturating_sub(record.age_ms / 1_000);
        serde_json::to_vec(&Stored { lives: record.incarnations, seen_s }).ok()
    }

    pub(super) fn quarantine_stored(&mut self, identity: Identity, reply: &Reply) {
        let quarantine = &mut self.storage.quarantine;
        quarantine.is_open = false;
        let change = quarantine.due.front().filter(|it| it.0 == identity).map(|it| it.1);
        let is_done = match reply {
            Reply::Done(version) => {
                quarantine.versions.insert(identity, *version);
                if change == Some(Change::Write) {
                    quarantine.written.insert(identity);
                }
                true
            }
            // Another instance has written it; to remove it, its version must be known.
            Reply::Conflict(Some(object)) => {
                quarantine.versions.insert(identity, object.version);
                change != Some(Change::Remove)
            }
            Reply::Conflict(None) => {
                quarantine.versions.remove(&identity);
                change == Some(Change::Remove)
            }
            Reply::Failed(_) | Reply::Got(_) | Reply::Listed { .. } | Reply::Changed { .. } => {
                quarantine.next = self.now + AGAIN;
                false
            }
        };
        if !is_done || change.is_none() {
            return;
        }
        quarantine.due.pop_front();
        if change == Some(Change::Remove) {
            quarantine.versions.remove(&identity);
            quarantine.written.remove(&identity);
        }
    }

    /// Takes a record from the store; one whose time is over is removed.
    pub(crate) fn take_quarantine(&mut self, object: &Object) {
        let stored = serde_json::from_slice::<Stored>(&object.value);
        let (Ok(identity), Ok(stored)) = (object.key.name.parse::<Identity>(), stored) else {
            self.journal.line(self.now, "quarantine_unreadable").text("name", &object.key.name);
            return;
        };
        self.storage.quarantine.versions.insert(identity, object.version);
        let age = Duration::from_secs(unix_s().saturating_sub(stored.seen_s));
        if self.quarantine.retention() <= age {
            self.remove_quarantine(identity);
            return;
        }
        self.storage.quarantine.current.insert(identity, self.now - age);
        let age_ms = age.as_millis() as u64;
        let record = Record { identity, incarnations: stored.lives, age_ms, is_released: false };
        self.adopt_records(&[record], "store");
    }
}

/// The time of day, Unix seconds.
fn unix_s() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs()
}
