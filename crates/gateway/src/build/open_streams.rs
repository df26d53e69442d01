//! The streams of one instance that their callers might take up, as it writes them to the platform's store.

use std::{cmp::Reverse, time::Duration};

use shallotlead_base::time::Time;

use super::{Begun, Id, Stream, Streams};

/// Most streams that are written, the newest ones: as many as fit into 100 KB.
const MAX_WRITTEN: usize = 4_096;
/// Characters of a stream and its build in hexadecimal.
const STREAM_CHARS: usize = 16;
const ENTRY_CHARS: usize = STREAM_CHARS + 8;

/// Streams that this instance has sent to servers, and that haven't ended completely.
#[derive(Debug, Default)]
pub struct OpenStreams {
    streams: Streams,
    /// Whether one was sent since they were last written.
    is_changed: bool,
}

impl OpenStreams {
    /// Adds a stream that is sent to a server.
    pub fn record(&mut self, now: Time, begun: Begun) {
        self.is_changed |= self.streams.find(begun.stream) != Some(begun.build);
        self.streams.record(now, begun);
    }

    /// Adds a stream that was read from the store. Returns whether it is news.
    pub fn restore(&mut self, now: Time, begun: Begun) -> bool {
        self.streams.restore(now, begun)
    }

    /// Removes a stream whose caller has received all of it.
    pub fn finish(&mut self, stream: Stream) {
        self.streams.remove(stream);
    }

    /// Removes streams that were sent longer than `retention` ago.
    pub fn expire(&mut self, now: Time, retention: Duration) {
        self.streams.expire(now, retention);
    }

    /// Whether there is something to write.
    pub fn is_changed(&self) -> bool {
        self.is_changed
    }

    /// The last write has failed.
    pub fn mark_changed(&mut self) {
        self.is_changed = true;
    }

    /// What is to be written now.
    pub fn take_written(&mut self) -> String {
        self.is_changed = false;
        let mut newest: Vec<_> = self.streams.iter().collect();
        newest.sort_unstable_by_key(|(at, it)| (Reverse(*at), it.stream.0));
        newest.truncate(MAX_WRITTEN);
        let entries =
            newest.iter().map(|(_, it)| format!("{:016x}{:08x}", it.stream.0, it.build.0));
        entries.collect()
    }

    /// The streams in what was written, no more than are written. Parts that can't be read are skipped.
    pub fn parse(written: &[u8]) -> Vec<Begun> {
        let entries = written.chunks_exact(ENTRY_CHARS).take(MAX_WRITTEN);
        entries.filter_map(|it| std::str::from_utf8(it).ok().and_then(parse_entry)).collect()
    }
}

fn parse_entry(text: &str) -> Option<Begun> {
    let (stream, build) = text.split_at_checked(STREAM_CHARS)?;
    let stream = Stream(u64::from_str_radix(stream, 16).ok()?);
    Some(Begun { stream, build: Id(u32::from_str_radix(build, 16).ok()?) })
}
