//! A lease that this instance holds.

use std::sync::Arc;

use shallotlead_base::{
    id::{Fence, Version},
    store::{Call, Key, Object, Reply},
    time::Time,
};

use crate::lease::{self, DRIFT_MARGIN, Grant, PERIOD, TERM, record::Record, watch::Watch};

/// A lease that this instance holds, until its term ends.
#[derive(Debug)]
pub(crate) struct Hold {
    key: Key,
    fence: Fence,
    since: Time,
    /// Version and content of the last write that took effect for certain.
    version: Version,
    stored: Record,
    /// When that write was sent.
    sent: Time,
    /// Writes since, whose answers are not known.
    open: Vec<Write>,
    /// The record must be read before the next write.
    unsettled: bool,
    /// Number of the last write.
    writes: u32,
}

#[derive(Debug)]
struct Write {
    record: Record,
    sent: Time,
}

/// What became of a held lease.
#[derive(Debug)]
pub(crate) enum Outcome {
    /// It is still held, as far as the clock allows.
    Held(Hold),
    /// Another instance has it.
    Lost(Watch),
}

impl Hold {
    /// The lease granted by the write of `record` that was sent at `sent` and stored at `version`.
    pub(crate) fn open(
        key: Key,
        version: Version,
        record: Record,
        sent: Time,
        since: Time,
    ) -> Self {
        Self {
            key,
            fence: record.fence_at(version),
            since,
            version,
            writes: record.write,
            stored: record,
            sent,
            open: Vec::new(),
            unsettled: false,
        }
    }

    /// When the term ends.
    pub(crate) fn until(&self) -> Time {
        self.sent + (TERM - DRIFT_MARGIN)
    }

    /// When the next renewal is due.
    pub(crate) fn due(&self) -> Time {
        self.sent + PERIOD
    }

    /// The right to act, unless the term has ended.
    pub(crate) fn grant(&self, now: Time) -> Option<Grant> {
        let until = self.until();
        (now < until).then_some(Grant { fence: self.fence, until, since: self.since })
    }

    /// The record that is stored for certain.
    pub(crate) fn stored(&self) -> &Record {
        &self.stored
    }

    /// The call that renews the lease or stores `note`, if one is due.
    pub(crate) fn renew(&mut self, now: Time, note: &Arc<[u8]>) -> Option<Call> {
        if self.unsettled {
            return Some(Call::Get(self.key.clone()));
        }
        if now < self.due() && *note == self.stored.note {
            return None;
        }
        self.writes += 1;
        let record = Record {
            write: self.writes,
            fence: Some(self.fence),
            note: note.clone(),
            ..self.stored.clone()
        };
        let call = self.put(&record);
        self.open.push(Write { record, sent: now });
        Some(call)
    }

    /// The call that gives the lease up.
    pub(crate) fn release(&self) -> Call {
        let stored = self.stored.clone();
        let record = Record { holder: None, length_ms: 0, fence: Some(self.fence), ..stored };
        self.put(&record)
    }

    /// Takes in the answer to a write or to reading back.
    pub(crate) fn answer(mut self, now: Time, reply: &Reply) -> Outcome {
        match reply {
            Reply::Done(version) => {
                if let Some(write) = self.open.pop() {
                    self.settle(*version, write);
                }
                Outcome::Held(self)
            }
            Reply::Got(object) | Reply::Conflict(object) => self.compare(now, object.as_ref()),
            Reply::Failed(_) => {
                // Refused calls had no effect, but an earlier write may still be open.
                self.unsettled = true;
                Outcome::Held(self)
            }
            Reply::Listed { .. } | Reply::Changed { .. } => Outcome::Held(self),
        }
    }

    fn compare(mut self, now: Time, object: Option<&Object>) -> Outcome {
        let (version, record) = lease::read(object);
        self.unsettled = false;
        if version == self.version {
            return Outcome::Held(self);
        }
        let found = record.as_ref().and_then(|it| {
            let open =
                |write: &Write| it.same_claim(&write.record) && it.write == write.record.write;
            self.open.iter().position(open)
        });
        if let Some(index) = found {
            let write = self.open.swap_remove(index);
            self.settle(version, write);
            return Outcome::Held(self);
        }
        let mut watch = Watch::default();
        watch.see(now, object);
        Outcome::Lost(watch)
    }

    fn settle(&mut self, version: Version, write: Write) {
        // A later write took effect, so none that expected an older version ever will.
        self.open.clear();
        self.version = version;
        self.stored = write.record;
        self.sent = write.sent;
    }

    fn put(&self, record: &Record) -> Call {
        Call::Put { key: self.key.clone(), expected: self.version, value: record.encode() }
    }
}
