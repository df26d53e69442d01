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

/// A lease that this instance doesn't hold, and what was last read of it.
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
    /// Takes in what was read at `now`.
    pub(crate) fn observe(&mut self, now: Time, object: Option<&Object>) {
        let (version, record) = lease::decode_record(object);
        let first = match &self.observed {
            Some(it) if it.version == version => it.first_read,
            _ => now,
        };
        self.observed = Some(Observed { version, record, first_read: first, last_read: now });
    }

    /// Whether it is time to read the record again.
    pub(crate) fn is_stale(&self, now: Time) -> bool {
        self.observed.as_ref().is_none_or(|it| it.last_read + RENEWAL_PERIOD <= now)
    }

    /// Whether `me` may claim the lease, `patience` after it ended.
    pub(crate) fn is_claimable(&self, now: Time, me: &Holder, patience: Duration) -> bool {
        let Some(seen) = &self.observed else { return false };
        match &seen.record {
            // This process has stopped acting under its record, or it would not be here.
            Some(Record { holder: Some(it), .. }) if it == me => true,
            Some(Record { holder: None, term_ms: 0, .. }) => seen.first_read + patience <= now,
            Some(it) => {
                let length = Duration::from_millis(it.term_ms.into());
                seen.first_read + length + DRIFT_MARGIN + patience <= now
            }
            None => false,
        }
    }

    /// The call that writes a record where there is none.
    ///
    /// Guards against a record deleted under its holder, who goes on until its term ends. It shows
    /// as two holders. Waiting while the record is missing would not do: it may have come and gone
    /// between two looks. A full term after this write holds, because no older renewal can take
    /// effect once the record has a new version.
    pub(crate) fn create_missing(&self, key: &Key) -> Option<Call> {
        let seen = self.observed.as_ref()?;
        if seen.record.is_some() {
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
        Some(Call::Put { key: key.clone(), expected: seen.version, value: record.encode() })
    }

    /// Claims the lease: the state that waits for the answer, and the call to make.
    pub(crate) fn claim(&self, now: Time, key: Key, me: Holder, claim: u64) -> (Claim, Call) {
        let expected = self.observed.as_ref().map_or(Version(0), |it| it.version);
        let note = self
            .observed
            .as_ref()
            .and_then(|it| it.record.as_ref())
            .map_or_else(|| Arc::from([]), |it| it.payload.clone());
        let record = Record {
            holder: Some(me),
            claim_number: claim,
            write_number: 0,
            fence: None,
            term_ms: TERM.as_millis() as u32,
            payload: note,
        };
        Claim::new(now, key, expected, record)
    }
}
