//! What an instance has read of servers' entries, and has still to tell its neighbours.

use std::io;

use crate::gossip::{Entries, Entry};

/// Entries in one datagram: 40 of about 400 bytes are below 16 KB, and a few KB when packed.
const MAX_ENTRIES: usize = 40;

/// Entries that were read from the store since the neighbours were told last.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    entries: Vec<Entry>,
    /// The neighbours were told all that changed up to here since this instance began to follow the store.
    complete_after: u64,
    /// Up to where the store was read.
    complete_until: u64,
}

impl Outbox {
    /// An entry was read, or a server was found to be gone.
    pub(crate) fn add(&mut self, entry: Entry) {
        self.entries.push(entry);
    }

    /// All that changed between two revisions was read. Without `after` it was a list of all, of which what changed
    /// before isn't told whole.
    pub(crate) fn mark_read(&mut self, after: Option<u64>, until: u64) {
        let after = after.unwrap_or(until);
        // Others may have told of what lies between, and been heard here only.
        if after != self.complete_until {
            self.complete_after = after;
        }
        self.complete_until = until;
    }

    /// Takes what is to be told now.
    pub(crate) fn take(&mut self) -> Self {
        let taken = Self { entries: std::mem::take(&mut self.entries), ..*self };
        if !taken.is_empty() {
            self.complete_after = self.complete_until;
        }
        taken
    }

    /// Whether there is nothing to tell.
    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Packs it, for a datagram each. Each says between which revisions it has all that changed, so that whoever
    /// misses none has nothing to make up for.
    pub(crate) fn into_datagrams(mut self) -> Vec<io::Result<Entries>> {
        self.entries.sort_by_key(|it| it.revision);
        let mut after = self.complete_after;
        let mut chunks = self.entries.chunks(MAX_ENTRIES).peekable();
        let mut all = Vec::new();
        while let Some(chunk) = chunks.next() {
            let last = chunk.last().map_or(self.complete_until, |it| it.revision);
            let is_end = chunks.peek().is_none();
            let until =
                if is_end { self.complete_until } else { last.min(self.complete_until).max(after) };
            all.push(Entries::pack(chunk, after, until));
            after = until;
        }
        all
    }
}
