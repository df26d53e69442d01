//! Splits a byte stream into server-sent events.

use crate::http::has_blank_line;

/// Complete events that can be forwarded.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Chunk {
    /// The events' bytes, unchanged.
    pub bytes: Vec<u8>,
    /// Number of the last forwarded event.
    pub last_event: Option<u64>,
    /// Version of the weights that an event names.
    pub weights: Option<u64>,
}

/// Longest event, bytes. A faulty server may send bytes without end that never become one.
pub const MAX_EVENT_BYTES: usize = 512 * 1024;

/// Why what a stream has brought can't be forwarded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Invalid {
    /// An event's number does not follow the previous one.
    OutOfOrder,
    /// An event is longer than [`MAX_EVENT_BYTES`].
    TooLong,
}

impl Invalid {
    /// Its name in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::OutOfOrder => "events-out-of-order",
            Self::TooLong => "event-too-long",
        }
    }
}

/// The stream has ended inside an event, so that it was broken off.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BrokenOff;

/// Appends `bytes` to `pending`, and takes the complete events from its front, as [`take_complete`] does.
///
/// Takes time in proportion to the bytes, however small the pieces are in which an event arrives.
pub fn extend(pending: &mut Vec<u8>, bytes: &[u8], last: Option<u64>) -> Result<Chunk, Invalid> {
    // What came before has no blank line, but may have the first bytes of one.
    let from = pending.len().saturating_sub(2);
    pending.extend_from_slice(bytes);
    if from == 0 || has_blank_line(&pending[from..]) {
        return take_complete(pending, last);
    }
    match pending.len() <= MAX_EVENT_BYTES {
        true => Ok(Chunk { last_event: last, ..Chunk::default() }),
        false => Err(Invalid::TooLong),
    }
}

/// Takes the complete events from the front of `pending`. Events up to `last` are dropped, as the caller has them.
pub fn take_complete(pending: &mut Vec<u8>, last: Option<u64>) -> Result<Chunk, Invalid> {
    let mut chunk = Chunk { last_event: last, ..Chunk::default() };
    let mut at = 0;
    while let Some(len) = event_length(&pending[at..]) {
        let event = &pending[at..at + len];
        at += len;
        let number = parse_number(event, b"id:");
        if let Some(it) = number {
            if chunk.last_event.is_some_and(|last| it <= last) {
                if last.is_some_and(|last| it <= last) {
                    continue;
                }
                return Err(Invalid::OutOfOrder);
            }
            chunk.last_event = Some(it);
        }
        chunk.weights = parse_number(event, b"weight-versions:").or(chunk.weights);
        chunk.bytes.extend_from_slice(event);
    }
    pending.drain(..at);
    match pending.len() <= MAX_EVENT_BYTES || !chunk.bytes.is_empty() {
        true => Ok(chunk),
        false => Err(Invalid::TooLong),
    }
}

/// Takes what remains after the last event of a stream that has ended.
pub fn take_rest(pending: &mut Vec<u8>) -> Result<Vec<u8>, BrokenOff> {
    match is_inside_event(pending) {
        true => Err(BrokenOff),
        false => Ok(std::mem::take(pending)),
    }
}

/// Whether `pending`, the bytes after a stream's last complete event, are a part of a further one. Blank lines and
/// whole lines of comment are none.
pub fn is_inside_event(pending: &[u8]) -> bool {
    let is_event = |line: &[u8]| match line.strip_suffix(b"\n") {
        Some(line) => !line.is_empty() && line != b"\r" && !line.starts_with(b":"),
        None => true,
    };
    pending.split_inclusive(|it| *it == b'\n').any(is_event)
}

/// Length of the first event including the blank line that ends it, if it is complete.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let mut at = 0;
    while let Some(end) = bytes[at..].iter().position(|it| *it == b'\n') {
        let line = &bytes[at..at + end];
        at += end + 1;
        if line.is_empty() || line == b"\r" {
            return Some(at);
        }
    }
    None
}

/// The number in the line of `event` that starts with `name`.
fn parse_number(event: &[u8], name: &[u8]) -> Option<u64> {
    let mut lines = event.split(|it| *it == b'\n');
    let value = lines.find_map(|it| it.strip_prefix(name))?;
    std::str::from_utf8(value.trim_ascii()).ok()?.parse().ok()
}
