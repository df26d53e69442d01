//! A lease that this instance has claimed, as long as the result is not certain.

use shallotlead_base::{
    id::Version,
    store::{Call, Failure, Key, Object, Reply},
    time::Time,
};

use crate::lease::{self, hold::Hold, record::Record, watch::Watch};

/// A claim whose result is not certain yet.
#[derive(Debug)]
pub(crate) struct Claim {
    key: Key,
    expected: Version,
    record: Record,
    /// When the first write was sent.
    sent_at: Time,
    /// When the record was last read back, the claim had not taken effect.
    is_unapplied: bool,
    /// The result of an earlier write is unknown: it may still take effect.
    is_uncertain: bool,
}

/// The state of a claim after an answer.
#[derive(Debug)]
pub(crate) enum Outcome {
    /// It was accepted.
    Granted(Hold),
    /// The result is not known yet.
    Pending(Claim),
    /// It was rejected and can't be accepted later.
    Lost(Watch),
}

impl Claim {
    /// Claims the lease by replacing version `expected` with `record`. Returns the call to make.
    pub(crate) fn new(now: Time, key: Key, expected: Version, record: Record) -> (Self, Call) {
        let claim =
            Self { key, expected, record, sent_at: now, is_unapplied: false, is_uncertain: false };
        let call = claim.put();
        (claim, call)
    }

    /// The call to make after a claim got no answer. The record is always read back first, and the
    /// same write is sent again only when it had not taken effect. Both writes expect the same
    /// version, so that at most one takes effect, and both carry the same claim.
    pub(crate) fn next_call(&mut self) -> Call {
        match std::mem::take(&mut self.is_unapplied) {
            true => self.put(),
            false => Call::Get(self.key.clone()),
        }
    }

    /// Handles the answer to a write or a read.
    pub(crate) fn answer(mut self, now: Time, reply: &Reply) -> Outcome {
        match reply {
            Reply::Done(version) => {
                Outcome::Granted(Hold::new(self.key, *version, self.record, self.sent_at, now))
            }
            Reply::Got(object) | Reply::Conflict(object) => self.reconcile(now, object.as_ref()),
            Reply::Failed(Failure::NotApplied { .. }) if !self.is_uncertain => {
                Outcome::Lost(Watch::default())
            }
            Reply::Failed(_) => {
                self.is_uncertain = true;
                self.is_unapplied = false;
                Outcome::Pending(self)
            }
            Reply::Listed { .. } | Reply::Changed { .. } => Outcome::Pending(self),
        }
    }

    fn reconcile(mut self, now: Time, object: Option<&Object>) -> Outcome {
        let (version, record) = lease::decode_record(object);
        if let Some(record) = record
            && record.is_same_claim(&self.record)
        {
            return Outcome::Granted(Hold::new(self.key, version, record, self.sent_at, now));
        }
        if version == self.expected {
            self.is_unapplied = true;
            return Outcome::Pending(self);
        }
        let mut watch = Watch::default();
        watch.observe(now, object);
        Outcome::Lost(watch)
    }

    fn put(&self) -> Call {
        Call::Put { key: self.key.clone(), expected: self.expected, value: self.record.encode() }
    }
}
