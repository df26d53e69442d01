//! Bytes that wait to be sent on a socket.

use std::{collections::VecDeque, rc::Rc};

use crate::memory::Body;

/// Length of the sent part of a buffer from which on it is removed, and capacity that an emptied buffer keeps.
const COMPACT_BYTES: usize = 64 * 1024;

/// What is still to be sent, in order.
#[derive(Debug, Default)]
pub(super) struct Output {
    parts: VecDeque<Part>,
    /// Length of the sent part of the first part.
    written: usize,
    /// Bytes that are not sent yet.
    unsent: usize,
}

#[derive(Debug)]
enum Part {
    Owned(Vec<u8>),
    /// A segment of a body, by its index.
    Shared(Rc<Body>, usize),
}

impl Part {
    fn bytes(&self) -> &[u8] {
        match self {
            Self::Owned(it) => it,
            Self::Shared(it, segment) => it.get(*segment),
        }
    }
}

impl Output {
    /// Number of bytes that are not sent yet.
    pub(super) fn unsent_bytes(&self) -> usize {
        self.unsent
    }

    /// Gives back the room of an empty buffer beyond `kept` bytes.
    pub(super) fn trim(&mut self, kept: usize) {
        if self.unsent == 0
            && let Some(Part::Owned(it)) = self.parts.front_mut()
        {
            it.shrink_to(kept);
        }
    }

    /// Number of bytes that its own buffers take.
    pub(super) fn buffered_bytes(&self) -> usize {
        let owned = |it: &Part| if let Part::Owned(it) = it { it.capacity() } else { 0 };
        self.parts.iter().map(owned).sum()
    }

    /// Appends a copy of `bytes`.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        self.unsent += bytes.len();
        match self.parts.back_mut() {
            Some(Part::Owned(it)) => it.extend_from_slice(bytes),
            _ => self.parts.push_back(Part::Owned(bytes.to_vec())),
        }
    }

    /// Appends `bytes` without copying them.
    pub(super) fn push_shared(&mut self, bytes: Rc<Body>) {
        if bytes.is_empty() {
            return;
        }
        if self.unsent == 0 {
            self.parts.clear();
        }
        self.unsent += bytes.len();
        let segments = 0..bytes.count();
        self.parts.extend(segments.map(|it| Part::Shared(Rc::clone(&bytes), it)));
    }

    /// The bytes to send next; empty if there are none.
    pub(super) fn next(&self) -> &[u8] {
        self.parts.front().map_or(&[], |it| &it.bytes()[self.written..])
    }

    /// Removes the first `len` of the next bytes, which were sent.
    pub(super) fn advance(&mut self, len: usize) {
        self.written += len;
        self.unsent -= len;
        let is_last = self.parts.len() == 1;
        match self.parts.front_mut() {
            // Mostly the only part there ever is, so that its buffer is used again.
            Some(Part::Owned(it)) if is_last && it.len() <= self.written => {
                it.clear();
                it.shrink_to(COMPACT_BYTES);
                self.written = 0;
            }
            Some(it) if it.bytes().len() <= self.written => {
                self.parts.pop_front();
                self.written = 0;
            }
            Some(Part::Owned(it)) if COMPACT_BYTES <= self.written => {
                it.drain(..self.written);
                self.written = 0;
            }
            _ => {}
        }
    }
}
