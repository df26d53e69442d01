//! A lease that this instance doesn't hold.

use std::{sync::Arc, time::Duration};

use shallotlead_base::{
    id::Version,
    store::{Call, Key, Object},
    time::Time,
};

use crate::lease::{
    self, DRIFT_MARGIN, RENEWAL_PERIOD, TERM,
    claim::Claim,
    record::{Holder, Record},
};

/// A lease that this instance doesn't hold, with its record as last read.
#[derive(Debug, Default)]
pub(crate) struct Watch {
    observed: Option<Observed>,
}

#[derive(Debug)]
struct Observed {
    version: Version,
    record: Option<Record>,
    /// When this version was first read.
    first_read: Time,
    /// When it was last read.
    last_read: Time,
}

impl Watch {
    /// Records what was read at `now`.
    pub(crate) fn observe(&mut self, now: Time, object: Option<&Object>) {
        let (version, record) = lease::decode_record(object);
        let first_read = match &self.observed {
            Some(it) if it.version == version => it.first_read,
            _ => now,
        };
        self.observed = Some(Observed { version, record, first_read, last_read: now });
    }

    /// Whether the record should be read again.
    pub(crate) fn is_stale(&self, now: Time) -> bool {
        self.observed.as_ref().is_none_or(|it| it.last_read + RENEWAL_PERIOD <= now)
    }

    /// Whether `me` may claim the lease: the last term has ended at least `stagger` ago.
    pub(crate) fn is_claimable(&self, now: Time, me: &Holder, stagger: Duration) -> bool {
        let Some(observed) = &self.observed else { return false };
        match &observed.record {
            // This process doesn't act under its own record any more, else its state would be `Hold`.
            Some(Record { holder: Some(it), .. }) if it == me => true,
            Some(Record { holder: None, term_ms: 0, .. }) => observed.first_read + stagger <= now,
            Some(it) => {
                let term = Duration::from_millis(it.term_ms.into());
                observed.first_read + term + DRIFT_MARGIN + stagger <= now
            }
            None => false,
        }
    }

    /// The call that creates a missing record.
    ///
    /// The record may have been deleted while the lease is held, and the holder acts until its term
    /// ends: claiming at once would make two holders. To wait while the record is missing isn't
    /// enough, because it may have been created and deleted between two reads. To wait a full term
    /// after this write is enough, because no older renewal can take effect once the record has a new
    /// version.
    pub(crate) fn create_missing(&self, key: &Key) -> Option<Call> {
        let observed = self.observed.as_ref()?;
        if observed.record.is_some() {
            return None;
        }
        let record = Record {
            holder: None,
            claim_number: 0,
            write_number: 0,
            fence: None,
            term_ms: TERM.as_millis() as u32,
            payload: Arc::from([]),
        };
        Some(Call::Put { key: key.clone(), expected: observed.version, value: record.encode() })
    }

    /// Claims the lease. Returns the state that waits for the answer, and the call to make.
    pub(crate) fn claim(
        &self,
        now: Time,
        key: Key,
        me: Holder,
        claim_number: u64,
    ) -> (Claim, Call) {
        let expected = self.observed.as_ref().map_or(Version(0), |it| it.version);
        let payload = self
            .observed
            .as_ref()
            .and_then(|it| it.record.as_ref())
            .map_or_else(|| Arc::from([]), |it| it.payload.clone());
        let record = Record {
            holder: Some(me),
            claim_number,
            write_number: 0,
            fence: None,
            term_ms: TERM.as_millis() as u32,
            payload,
        };
        Claim::new(now, key, expected, record)
    }
}
