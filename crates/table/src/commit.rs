//! Acceptance of changes in the object store.

use std::{sync::Arc, time::Duration};

use shallotlead_base::{
    id::Version,
    store::{Call, Failure, Object, Reply, Store},
};

use crate::{
    change::{Change, Proposal},
    error::Error,
    layout::{Compaction, HEAD_NAME, HISTORY_KIND, Head, Manifest, SEGMENT_KIND, head_key},
    snapshot::Snapshot,
};

/// Rounds of read and conditional write before a change is given up as contended.
const MAX_ROUNDS: u32 = 16;
/// Reads in a row that may fail while a lost answer is being settled.
const MAX_READ_FAILURES: u32 = 5;
/// When to try again, if the platform didn't say.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The table as read from the store, kept between changes so that segments are read once.
#[derive(Debug, Default)]
pub struct Committer {
    loaded: Option<Arc<Snapshot>>,
}

/// An accepted change and the table that it led to.
#[derive(Clone, Debug)]
pub struct Accepted {
    /// The change.
    pub change: Change,
    /// The table at its version, or later.
    pub snapshot: Arc<Snapshot>,
}

struct Current {
    head: Head,
    object_version: Version,
    snapshot: Arc<Snapshot>,
}

impl Committer {
    /// The table as it is in the store.
    pub fn read(&mut self, store: &mut dyn Store) -> Result<Arc<Snapshot>, Error> {
        Ok(self.current(store)?.snapshot)
    }

    /// The head's log, oldest first.
    pub fn log(&mut self, store: &mut dyn Store) -> Result<Vec<Change>, Error> {
        Ok(self.current(store)?.head.log)
    }

    /// The table after `proposal`, without changing anything.
    pub fn preview(
        &mut self,
        store: &mut dyn Store,
        proposal: &Proposal,
    ) -> Result<Snapshot, Error> {
        self.current(store)?.snapshot.propose(proposal)
    }

    /// Accepts `proposal`, or says why not. [`Error::Unknown`] alone leaves open whether it was
    /// accepted.
    pub fn commit(
        &mut self,
        store: &mut dyn Store,
        proposal: &Proposal,
    ) -> Result<Accepted, Error> {
        // Guards against a write whose answer is lost after it took effect: a blind retry would
        // apply the change twice, or report a conflict with itself. It shows as a second log entry
        // with the same id. The guard holds because every round looks for the id in the log before
        // it writes, and a write that is still under way is bound to the head's old version: either
        // it or ours takes effect, and the next round finds it. For the same reason an error after a
        // lost write is the truth: the proposal fitted the version that the write was bound to, so
        // the head has moved on without it.
        let mut lost = false;
        let mut failures = 0;
        for _ in 0..MAX_ROUNDS {
            let current = match self.current(store) {
                Ok(it) => it,
                Err(it) if !lost => return Err(it),
                Err(_) if failures < MAX_READ_FAILURES => {
                    failures += 1;
                    continue;
                }
                Err(_) => return Err(Error::Unknown),
            };
            if let Some(change) = current.head.find(proposal.id) {
                let change = change.clone();
                return Ok(Accepted { change, snapshot: current.snapshot });
            }
            let next = match current.snapshot.propose(proposal) {
                Ok(it) => Arc::new(it),
                Err(it) => return Err(it),
            };
            let change = Change { version: next.version, proposal: proposal.clone() };
            let head = current.head.append(change.clone());
            match write(store, current.object_version, &head)? {
                Write::Done => {
                    self.loaded = Some(next.clone());
                    return Ok(Accepted { change, snapshot: next });
                }
                Write::Conflict => {}
                Write::Refused(_) if lost => {
                    failures += 1;
                    if MAX_READ_FAILURES < failures {
                        return Err(Error::Unknown);
                    }
                }
                Write::Refused(retry_after) => return Err(Error::Unavailable { retry_after }),
                Write::Lost => lost = true,
            }
        }
        if lost { Err(Error::Unknown) } else { Err(Error::Contended) }
    }

    /// Compacts the log when it is long. Any number of processes may do so at once: the parts' names
    /// are new with each version, and one swap of the head wins. Returns whether the head was
    /// swapped.
    pub fn compact(&mut self, store: &mut dyn Store) -> Result<bool, Error> {
        let current = self.current(store)?;
        if !current.head.is_long() {
            return Ok(false);
        }
        let Compaction { parts, head } = current.head.compact(&current.snapshot)?;
        for part in parts {
            let call = Call::Put { key: part.key, expected: Version(0), value: part.value };
            match store.call(call) {
                // A conflict means that another process, or a write whose answer was lost, put the
                // same content there: it is a function of the version in its name.
                Reply::Done(_) | Reply::Conflict(_) => {}
                reply => return Err(unavailable(&reply)),
            }
        }
        let old = current.head.manifest;
        let new = head.manifest.clone();
        let swapped = matches!(write(store, current.object_version, &head)?, Write::Done);
        if swapped {
            self.sweep(store, &old, &new);
        }
        Ok(swapped)
    }

    /// Parts of the log that were archived, oldest first.
    pub fn history(&mut self, store: &mut dyn Store) -> Result<Vec<Change>, Error> {
        let objects = match store.call(Call::List { kind: HISTORY_KIND.into() }) {
            Reply::Listed { objects, .. } => objects,
            reply => return Err(unavailable(&reply)),
        };
        let mut changes = Vec::new();
        for object in &objects {
            changes.extend(crate::layout::decode_history(&object.key.name, &object.value)?);
        }
        let log = self.log(store)?;
        let archived = changes.last().map_or(Version(0), |it| it.version);
        changes.extend(log.into_iter().filter(|it| archived < it.version));
        changes.sort_by_key(|it| it.version);
        changes.dedup_by_key(|it| it.version);
        Ok(changes)
    }

    fn current(&mut self, store: &mut dyn Store) -> Result<Current, Error> {
        for _ in 0..MAX_ROUNDS {
            let (head, object_version) = match store.call(Call::Get(head_key())) {
                Reply::Got(Some(Object { version, value, .. })) => (Head::decode(&value)?, version),
                Reply::Got(None) => (Head::default(), Version(0)),
                reply => return Err(unavailable(&reply)),
            };
            // `None` says that a segment is gone: the head was swapped since, so read it again.
            if let Some(snapshot) = self.load(store, &head)? {
                self.loaded = Some(snapshot.clone());
                return Ok(Current { head, object_version, snapshot });
            }
        }
        let reason = "the head names segments that don't exist".to_owned();
        Err(Error::Stored { name: HEAD_NAME.to_owned(), reason })
    }

    fn load(&self, store: &mut dyn Store, head: &Head) -> Result<Option<Arc<Snapshot>>, Error> {
        if let Some(loaded) = &self.loaded {
            let version = loaded.version;
            if version == head.version {
                return Ok(Some(loaded.clone()));
            }
            if version < head.version && head.reaches(version) {
                let snapshot = Snapshot::clone(loaded);
                return Ok(Some(Arc::new(head.catch_up(snapshot)?)));
            }
        }
        let mut segments = Vec::new();
        for key in head.segment_keys() {
            match store.call(Call::Get(key)) {
                Reply::Got(Some(object)) => segments.push(object.value),
                Reply::Got(None) => return Ok(None),
                reply => return Err(unavailable(&reply)),
            }
        }
        Ok(Some(Arc::new(head.load(&segments)?)))
    }

    /// Removes segments that no head names any more. A reader that still holds the old head finds a
    /// segment gone and reads the head again.
    fn sweep(&self, store: &mut dyn Store, old: &Manifest, new: &Manifest) {
        for name in old.segments.iter().filter(|it| !new.segments.contains(it)) {
            let key = shallotlead_base::store::Key::new(SEGMENT_KIND, name);
            if let Reply::Got(Some(object)) = store.call(Call::Get(key.clone())) {
                store.call(Call::Delete { key, expected: object.version });
            }
        }
    }
}

enum Write {
    Done,
    Conflict,
    Refused(Duration),
    Lost,
}

fn write(store: &mut dyn Store, expected: Version, head: &Head) -> Result<Write, Error> {
    let value = head.encode()?;
    Ok(match store.call(Call::Put { key: head_key(), expected, value }) {
        Reply::Done(_) => Write::Done,
        Reply::Conflict(_) => Write::Conflict,
        Reply::Failed(Failure::NotApplied { retry_after }) => Write::Refused(retry_after),
        _ => Write::Lost,
    })
}

fn unavailable(reply: &Reply) -> Error {
    match reply {
        Reply::Failed(Failure::NotApplied { retry_after }) => {
            Error::Unavailable { retry_after: *retry_after }
        }
        _ => Error::Unavailable { retry_after: RETRY_AFTER },
    }
}
