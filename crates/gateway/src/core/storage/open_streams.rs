//! Keeps this instance's open streams in the store while several builds may have begun them, so that their builds are
//! known after all instances have ended.

use std::time::Duration;

use shallotlead_base::{
    id::Version,
    store::{Call, Key, Object, Reply},
    time::Time,
};

use crate::{
    build::{Begun, OpenStreams, Schedule},
    core::{Core, build::STARTUP_TIME, storage::Pending},
    gossip::Datagram,
};

/// Kind of the records, which are named by the instances.
const KIND: &str = "streams";
/// Least interval between two writes.
const MIN_INTERVAL: Duration = Duration::from_millis(200);
/// Share of the store's write rate that all instances together may use.
const RATE_SHARE: f64 = 0.1;
/// Interval at which others are told which streams were restored, for [`STARTUP_TIME`].
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

/// This instance's record.
#[derive(Debug, Default)]
pub(crate) struct Journal {
    pub(crate) open: OpenStreams,
    version: Version,
    /// Whether the record was read since the start.
    is_read: bool,
    is_in_flight: bool,
    schedule: Schedule,
    /// Streams of before the start.
    restored: Vec<Begun>,
    next_announcement: Time,
}

impl Journal {
    /// When the next call is due.
    pub(super) fn next_due(&self, is_mixed: bool) -> Option<Time> {
        let is_needed = is_mixed && !self.is_in_flight && (!self.is_read || self.open.is_changed());
        is_needed.then(|| self.schedule.next_at())
    }

    /// The store was restored from an older copy.
    pub(super) fn handle_restore(&mut self) {
        self.version = Version(0);
        self.open.mark_changed();
    }
}

impl Core {
    pub(super) fn tick_open_streams(&mut self) {
        let now = self.now;
        self.announce_restored_streams();
        let is_mixed = self.storage.builds.is_mixed();
        if self.storage.journal.next_due(is_mixed).is_none_or(|it| now < it) {
            return;
        }
        let interval = self.journal_interval();
        let journal = &mut self.storage.journal;
        let key = Key::new(KIND, &self.settings.name);
        let call = if journal.is_read {
            journal.open.expire(now, self.stream_lifetime.retention(now));
            let value = journal.open.take_written().into_bytes();
            Call::Put { key, expected: journal.version, value: value.into() }
        } else {
            Call::Get(key)
        };
        journal.is_in_flight = true;
        journal.schedule.record_call(now, interval);
        self.storage.submit(now, Pending::OpenStreams, call);
    }

    /// All instances together use only a share of the store's write rate.
    fn journal_interval(&self) -> Duration {
        let writes_per_s = (self.settings.store_calls_per_s.1 * RATE_SHARE).max(1.0);
        let shared = f64::from(self.members.budget_sharers()) / writes_per_s;
        MIN_INTERVAL.max(Duration::from_secs_f64(shared))
    }

    pub(super) fn handle_open_streams_reply(&mut self, reply: &Reply) {
        let (now, interval) = (self.now, self.journal_interval());
        let journal = &mut self.storage.journal;
        journal.is_in_flight = false;
        match reply {
            Reply::Got(object) => {
                journal.is_read = true;
                journal.schedule.record_read(now);
                if let Some(object) = object {
                    journal.version = object.version;
                    self.restore_open_streams(object);
                }
            }
            Reply::Done(version) => {
                journal.version = *version;
                journal.schedule.record_answer();
            }
            // An earlier write has taken effect after all.
            Reply::Conflict(object) => {
                journal.version = object.as_ref().map_or(Version(0), |it| it.version);
                journal.open.mark_changed();
                journal.schedule.record_answer();
            }
            Reply::Failed(_) | Reply::Listed { .. } | Reply::Changed { .. } => {
                journal.open.mark_changed();
                journal.schedule.record_failure(now, interval);
            }
        }
    }

    fn restore_open_streams(&mut self, object: &Object) {
        let now = self.now;
        for begun in OpenStreams::parse(&object.value) {
            if self.storage.journal.open.restore(now, begun) {
                self.streams.restore(now, begun);
                self.storage.journal.restored.push(begun);
                self.handle_build_reply(begun);
            }
        }
        let streams = self.storage.journal.restored.len();
        self.log.line(now, "streams_restored").number("streams", streams);
    }

    fn announce_restored_streams(&mut self) {
        let now = self.now;
        if self.storage.journal.restored.is_empty() || now < self.storage.journal.next_announcement
        {
            return;
        }
        self.storage.journal.next_announcement = now + ANNOUNCE_INTERVAL;
        let streams = self.storage.journal.restored.clone();
        if STARTUP_TIME < now.since(self.started) {
            self.storage.journal.restored.clear();
        }
        self.send_to(&self.neighbour_addresses(), &Datagram::RestoredStreams(streams));
    }
}
