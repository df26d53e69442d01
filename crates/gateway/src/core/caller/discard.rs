//! What is left of the body of a refused request.

use crate::http::body::{Framing, max_received_bytes};

/// The rest of a body that is read and dropped.
pub(super) struct Discard {
    framing: Framing,
    /// Number of bytes that are dropped at most.
    left: usize,
    /// The same, of the bytes that arrive for them.
    left_received: usize,
    /// Whether the connection is closed after it.
    pub(super) closes: bool,
}

/// What dropping has come to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Progress {
    /// More is to come.
    Incomplete,
    /// The body has ended, and the next request may follow.
    Complete,
    /// The body is longer than it may be, or malformed.
    Invalid,
}

impl Discard {
    /// The rest that `framing` describes, of a body of up to `max_bytes`.
    pub(super) fn new(framing: Framing, max_bytes: usize) -> Self {
        Self {
            framing,
            left: max_bytes,
            left_received: max_received_bytes(max_bytes),
            closes: false,
        }
    }

    /// Drops what has arrived of it from the front of `input`.
    pub(super) fn skip(&mut self, input: &mut Vec<u8>) -> Progress {
        let arrived = input.len();
        let mut dropped = Vec::new();
        let done = self.framing.decode(input, &mut dropped);
        self.left = self.left.saturating_sub(dropped.len());
        self.left_received = self.left_received.saturating_sub(arrived - input.len());
        match done {
            Ok(true) => Progress::Complete,
            Ok(false) if 0 < self.left && 0 < self.left_received => Progress::Incomplete,
            Ok(false) | Err(_) => Progress::Invalid,
        }
    }
}
