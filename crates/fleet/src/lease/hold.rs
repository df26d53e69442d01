//! A lease that this instance holds.

use std::sync::Arc;

use shallotlead_base::{
    id::{Fence, Version},
    store::{Call, Key, Object, Reply},
    time::Time,
};

use crate::lease::{self, DRIFT_MARGIN, Grant, RENEWAL_PERIOD, TERM, record::Record, watch::Watch};

/// A lease that this instance holds, until its term ends.
#[derive(Debug)]
pub(crate) struct Hold {
    key: Key,
    fence: Fence,
    granted_at: Time,
    /// Version and content of the last write that certainly took effect.
    version: Version,
    stored: Record,
    /// When that write was sent.
    sent_at: Time,
    /// Later writes that may or may not have taken effect.
    pending: Vec<Write>,
    /// The record must be read before the next write.
    needs_read: bool,
    /// Number of the last write.
    write_count: u32,
}

#[derive(Debug)]
struct Write {
    record: Record,
    sent_at: Time,
}

/// The state of a held lease after an answer.
#[derive(Debug)]
pub(crate) enum Outcome {
    /// It is still held, unless its term has ended.
    Held(Hold),
    /// The record isn't this instance's any more.
    Lost(Watch),
}

impl Hold {
    /// The lease that was granted by the write of `record`, sent at `sent_at` and stored at `version`.
    pub(crate) fn new(
        key: Key,
        version: Version,
        record: Record,
        sent_at: Time,
        granted_at: Time,
    ) -> Self {
        Self {
            key,
            fence: record.fence_at(version),
            granted_at,
            version,
            write_count: record.write_number,
            stored: record,
            sent_at,
            pending: Vec::new(),
            needs_read: false,
        }
    }

    /// When the term ends.
    pub(crate) fn until(&self) -> Time {
        self.sent_at + (TERM - DRIFT_MARGIN)
    }

    /// When the next renewal is due.
    pub(crate) fn due(&self) -> Time {
        self.sent_at + RENEWAL_PERIOD
    }

    /// The permission to act, unless the term has ended.
    pub(crate) fn grant(&self, now: Time) -> Option<Grant> {
        let until = self.until();
        (now < until).then_some(Grant { fence: self.fence, until, granted_at: self.granted_at })
    }

    /// The record that is certainly stored.
    pub(crate) fn stored(&self) -> &Record {
        &self.stored
    }

    /// The call that renews the lease or stores `payload`, if one is due.
    pub(crate) fn renew(&mut self, now: Time, payload: &Arc<[u8]>) -> Option<Call> {
        if self.needs_read {
            return Some(Call::Get(self.key.clone()));
        }
        if now < self.due() && *payload == self.stored.payload {
            return None;
        }
        self.write_count += 1;
        let record = Record {
            write_number: self.write_count,
            fence: Some(self.fence),
            payload: payload.clone(),
            ..self.stored.clone()
        };
        let call = self.put(&record);
        self.pending.push(Write { record, sent_at: now });
        Some(call)
    }

    /// The call that releases the lease.
    pub(crate) fn release(&self) -> Call {
        let stored = self.stored.clone();
        let record = Record { holder: None, term_ms: 0, fence: Some(self.fence), ..stored };
        self.put(&record)
    }

    /// Handles the answer to a write or a read.
    pub(crate) fn answer(mut self, now: Time, reply: &Reply) -> Outcome {
        match reply {
            Reply::Done(version) => {
                if let Some(write) = self.pending.pop() {
                    self.confirm_write(*version, write);
                }
                Outcome::Held(self)
            }
            Reply::Got(object) | Reply::Conflict(object) => self.reconcile(now, object.as_ref()),
            Reply::Failed(_) => {
                // A rejected call had no effect, but an earlier write may still be pending.
                self.needs_read = true;
                Outcome::Held(self)
            }
            Reply::Listed { .. } | Reply::Changed { .. } => Outcome::Held(self),
        }
    }

    fn reconcile(mut self, now: Time, object: Option<&Object>) -> Outcome {
        let (version, record) = lease::decode_record(object);
        self.needs_read = false;
        if version == self.version {
            return Outcome::Held(self);
        }
        let found = record.as_ref().and_then(|it| {
            let is_same = |write: &Write| {
                it.is_same_claim(&write.record) && it.write_number == write.record.write_number
            };
            self.pending.iter().position(is_same)
        });
        if let Some(index) = found {
            let write = self.pending.swap_remove(index);
            self.confirm_write(version, write);
            return Outcome::Held(self);
        }
        let mut watch = Watch::default();
        watch.observe(now, object);
        Outcome::Lost(watch)
    }

    fn confirm_write(&mut self, version: Version, write: Write) {
        // The version has changed, so pending writes that expect an older one can't take effect.
        self.pending.clear();
        self.version = version;
        self.stored = write.record;
        self.sent_at = write.sent_at;
    }

    fn put(&self, record: &Record) -> Call {
        Call::Put { key: self.key.clone(), expected: self.version, value: record.encode() }
    }
}
