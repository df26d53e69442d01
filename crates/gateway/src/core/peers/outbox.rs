//! Servers' entries that were read from the store and are to be sent to the neighbours.

use std::io;

use crate::gossip::{Entries, Entry};

#[cfg(test)]
mod tests;

/// Most entries in one datagram: 40 entries of about 400 bytes are less than 16 KB, and a few KB
/// when compressed.
const MAX_ENTRIES: usize = 40;
/// Longest text of several entries in one datagram, bytes. Long ones may not compress.
const MAX_BYTES: usize = 32 * 1024;

/// Entries that were read since the last message to the neighbours.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    entries: Vec<Entry>,
    /// Revision after which all changes are in the outbox or were sent.
    complete_after: u64,
    /// Revision up to which the store was read.
    complete_until: u64,
}

impl Outbox {
    /// Adds an entry that was read, or the removal of a server.
    pub(crate) fn add(&mut self, entry: Entry) {
        self.entries.push(entry);
    }

    /// Marks all changes between two revisions as read. `after` is `None` for a full list, which
    /// doesn't contain the removals before it.
    pub(crate) fn mark_read(&mut self, after: Option<u64>, until: u64) {
        let after = after.unwrap_or(until);
        // The entries in between were received from other instances and aren't in this outbox.
        if after != self.complete_until {
            self.complete_after = after;
        }
        self.complete_until = until;
    }

    /// Takes the entries that are to be sent now.
    pub(crate) fn take(&mut self) -> Self {
        let taken = Self { entries: std::mem::take(&mut self.entries), ..*self };
        if !taken.is_empty() {
            self.complete_after = self.complete_until;
        }
        taken
    }

    /// Whether there is nothing to send.
    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Compresses the entries into messages of one datagram each. Each message names the revisions
    /// between which it is complete, so that a receiver can tell whether it has missed any.
    pub(crate) fn into_datagrams(mut self) -> Vec<io::Result<Entries>> {
        self.entries.sort_by_key(|it| it.revision);
        let mut after = self.complete_after;
        let mut rest = self.entries.as_slice();
        let mut all = Vec::new();
        while !rest.is_empty() {
            let (chunk, later) = rest.split_at(datagram_len(rest));
            rest = later;
            let last = chunk.last().map_or(self.complete_until, |it| it.revision);
            let until = match rest {
                [] => self.complete_until,
                _ => last.min(self.complete_until).max(after),
            };
            all.push(Entries::pack(chunk, after, until));
            after = until;
        }
        all
    }
}

/// Number of entries from the first one on that one datagram takes; at least one.
fn datagram_len(entries: &[Entry]) -> usize {
    let bytes = entries.iter().scan(0, |sum, it| {
        *sum += it.server.len() + it.value.as_ref().map_or(0, Vec::len);
        Some(*sum)
    });
    bytes.take(MAX_ENTRIES).take_while(|it| *it <= MAX_BYTES).count().max(1)
}
