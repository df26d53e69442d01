//! A stream socket with its buffers.

use std::{
    io::{self, ErrorKind},
    rc::Rc,
    time::Duration,
};

use crate::{
    host::network::Stream,
    memory::{Account, Body, Hold},
};

use super::{
    DELIVERY_TIMEOUT, Endpoint, Event, Key, LONG_ANSWER_BYTES, MAX_INPUT_BYTES,
    MAX_REQUEST_INPUT_BYTES, READ_CHUNK_BYTES, output::Output, read_once,
};

/// Capacity that an empty buffer keeps at most.
pub(super) const IDLE_BYTES: usize = 4 * 1024;

/// An open stream with its buffers.
pub(crate) struct Socket {
    stream: Box<dyn Stream>,
    /// Which endpoint has accepted it, if any.
    pub(super) endpoint: Option<Endpoint>,
    /// Received bytes that are not consumed yet.
    pub(crate) input: Vec<u8>,
    output: Output,
    /// Covers the buffers, without shared ones.
    hold: Hold,
    /// Bytes that the kernel receives at most before they are read.
    unread_limit: usize,
    /// Covers what the kernel may have received, while there is more to read.
    unread: Hold,
    pub(super) is_connecting: bool,
    /// Length of the input from which on reading pauses until it is consumed.
    max_input: usize,
    /// Whether reading is paused because the input buffer is full.
    pub(super) is_paused: bool,
    /// Whether what arrives is dropped.
    pub(super) is_dropping: bool,
    /// Whether reading is put off because the memory for requests is used up.
    pub(super) is_deferred: bool,
    /// Whether the kernel has signalled that the peer closed its side. Bytes before that may still be unread.
    pub(super) is_read_closed: bool,
    /// Whether the end of the input, or an error, was reached.
    is_read_finished: bool,
    /// The error that a write has met. The kernel returns it once, and reads say afterwards that the peer closed its side.
    write_error: Option<ErrorKind>,
    /// How long the peer may acknowledge nothing while it isn't waited for to read.
    timeout: Duration,
    /// Whether [`DELIVERY_TIMEOUT`] is in force instead, as the peer may only be slow to read.
    is_extended: bool,
    /// Number of bytes that were sent since the last request.
    answer_bytes: usize,
    /// Whether a long answer is complete that the kernel may still hold.
    is_delivering: bool,
}

impl Socket {
    pub(super) fn new(
        stream: Box<dyn Stream>,
        timeout: Duration,
        endpoint: Option<Endpoint>,
        memory: &Account,
    ) -> Self {
        Self {
            stream,
            endpoint,
            input: Vec::new(),
            output: Output::default(),
            hold: memory.empty_hold(),
            unread_limit: endpoint.map_or(0, |_| memory.unread_limit()),
            unread: memory.empty_unread(),
            is_connecting: false,
            max_input: if endpoint.is_some() { MAX_REQUEST_INPUT_BYTES } else { MAX_INPUT_BYTES },
            is_paused: false,
            is_dropping: false,
            is_deferred: false,
            is_read_closed: false,
            is_read_finished: false,
            write_error: None,
            timeout,
            is_extended: false,
            answer_bytes: 0,
            is_delivering: false,
        }
    }

    /// Sets how long the connection is kept on which the peer acknowledges nothing.
    pub(super) fn set_timeout(&mut self, timeout: Duration) {
        self.timeout = timeout;
        self.apply_timeout();
    }

    fn apply_timeout(&mut self) {
        let timeout = if self.is_extended { DELIVERY_TIMEOUT } else { self.timeout };
        if let Err(err) = self.stream.set_timeout(timeout) {
            log::debug!("failed to set a connection's time limit: {err}");
        }
    }

    /// Makes closing it reset the connection.
    pub(super) fn reset_on_close(&mut self) {
        if let Err(err) = self.stream.reset_on_close() {
            log::warn!("failed to prepare a reset: {err}");
        }
    }

    /// Gives back the room of empty buffers beyond `kept` bytes for each.
    pub(super) fn trim(&mut self, kept: usize) {
        self.output.trim(kept);
        if self.input.is_empty() {
            self.input.shrink_to(kept);
        }
        self.measure();
    }

    /// Records what its buffers take. An emptied one keeps the room for one read until it is trimmed.
    pub(crate) fn measure(&mut self) {
        if self.input.is_empty() {
            self.input.shrink_to(READ_CHUNK_BYTES);
        }
        self.hold.record(self.input.capacity() + self.output.buffered_bytes());
    }

    /// Bytes that its buffers took when they were last measured.
    pub(crate) fn held_bytes(&self) -> usize {
        self.hold.bytes()
    }

    /// Lets the input grow to `bytes` at least before reading pauses.
    pub(crate) fn expect_input(&mut self, bytes: usize) {
        self.max_input = self.max_input.max(bytes);
    }

    /// Number of output bytes that the kernel has not accepted yet.
    pub(crate) fn unsent_bytes(&self) -> usize {
        self.output.unsent_bytes()
    }

    /// Whether the connection is not established yet, so that nothing was sent on it.
    pub(crate) fn is_connecting(&self) -> bool {
        self.is_connecting
    }

    /// The error that has ended the connection, also behind the end of what was received.
    pub(crate) fn take_error(&mut self) -> Option<ErrorKind> {
        let own = self.stream.take_error().ok().flatten().map(|it| it.kind());
        self.write_error.or(own)
    }

    /// Whether bytes have arrived that were not read from the kernel.
    pub(crate) fn has_unread(&mut self) -> bool {
        self.stream.peek(&mut [0]).is_ok_and(|it| 0 < it)
    }

    /// Whether nothing has arrived that was not read, neither bytes nor the end of the connection.
    pub(crate) fn is_quiet(&self) -> bool {
        let is_empty = |err: &io::Error| err.kind() == ErrorKind::WouldBlock;
        !self.is_read_finished && self.stream.peek(&mut [0]).is_err_and(|it| is_empty(&it))
    }

    /// Begins to count the bytes of an answer.
    pub(crate) fn begin_answer(&mut self) {
        self.answer_bytes = 0;
        self.is_delivering = false;
        self.adapt_timeout();
    }

    /// Ends it: nothing runs for the peer any more.
    pub(super) fn end_answer(&mut self) {
        self.is_delivering = LONG_ANSWER_BYTES <= self.answer_bytes;
        self.adapt_timeout();
    }

    /// Chooses how long the peer may acknowledge nothing. The kernel doesn't tell one that has vanished from one that
    /// doesn't read.
    fn adapt_timeout(&mut self) {
        let is_extended = self.is_delivering || 0 < self.unsent_bytes();
        if is_extended == self.is_extended || self.is_connecting {
            return;
        }
        self.is_extended = is_extended;
        self.apply_timeout();
    }

    /// Appends to the output buffer and writes as much as the kernel accepts at once.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        let was_empty = self.unsent_bytes() == 0;
        self.output.push(bytes);
        self.answer_bytes += bytes.len();
        if was_empty {
            self.begin_flush();
        }
        self.measure();
    }

    /// Like [`Socket::push`], with `shared` after `bytes`, which isn't copied.
    pub(super) fn push_shared(&mut self, bytes: &[u8], shared: Rc<Body>) {
        let was_empty = self.unsent_bytes() == 0;
        self.answer_bytes += bytes.len() + shared.len();
        self.output.push(bytes);
        self.output.push_shared(shared);
        if was_empty {
            self.begin_flush();
        }
        self.measure();
    }

    fn begin_flush(&mut self) {
        if !self.is_connecting {
            // The kernel reports a failure as an event as well, with what arrived before it; only that one ends the
            // connection.
            let _ = self.flush();
        }
    }

    /// Handles that the stream has become writable. Returns `false` if the connection has failed.
    pub(super) fn handle_writable(&mut self, key: Key, events: &mut Vec<Event>) -> bool {
        if self.is_connecting {
            let failed = self.stream.take_error().ok().flatten();
            if let Some(err) = failed.or_else(|| self.stream.peer_address().err()) {
                if err.kind() == ErrorKind::NotConnected {
                    return true;
                }
                events.push(Event::Failed(key, err.kind()));
                return false;
            }
            self.is_connecting = false;
        }
        if self.unsent_bytes() == 0 {
            return true;
        }
        let flushed = self.flush();
        self.measure();
        match flushed {
            Ok(()) if self.unsent_bytes() == 0 => events.push(Event::Flushed(key)),
            Ok(()) => {}
            Err(kind) => {
                events.push(Event::Failed(key, kind));
                return false;
            }
        }
        true
    }

    /// Reads up to one chunk. Returns whether more bytes may be available.
    pub(super) fn read(&mut self, key: Key, chunk: &mut [u8], events: &mut Vec<Event>) -> bool {
        let more = self.read_chunk(key, chunk, events);
        self.expect_unread(more || self.is_paused);
        more
    }

    /// Records whether there is more to read.
    pub(super) fn expect_unread(&mut self, has_more: bool) {
        self.unread.record(if has_more { self.unread_limit } else { 0 });
    }

    fn read_chunk(&mut self, key: Key, chunk: &mut [u8], events: &mut Vec<Event>) -> bool {
        if self.is_read_finished || self.is_connecting {
            return false;
        }
        if self.max_input <= self.input.len() {
            self.is_paused = true;
            return false;
        }
        let room = chunk.len().min(self.max_input - self.input.len());
        let chunk = &mut chunk[..room];
        match read_once(&mut *self.stream, chunk) {
            Ok(None) => false,
            Ok(Some(0)) => {
                self.is_read_finished = true;
                events.push(match self.write_error {
                    Some(kind) => Event::Failed(key, kind),
                    None => Event::PeerClosed(key),
                });
                false
            }
            Ok(Some(len)) => {
                self.append(&chunk[..len]);
                self.measure();
                events.push(Event::Readable(key));
                // A short read has emptied the kernel's buffer, so that a second one would block.
                len == chunk.len() || self.is_read_closed
            }
            Err(err) => {
                self.is_read_finished = true;
                events.push(Event::Failed(key, err.kind()));
                false
            }
        }
    }

    /// Appends to the input. Buffers have few sizes, so that each fits where another one was.
    fn append(&mut self, bytes: &[u8]) {
        if self.input.capacity() - self.input.len() < bytes.len() {
            let needed = self.input.len() + bytes.len();
            let capacity = needed.next_power_of_two().max(IDLE_BYTES);
            self.input.reserve_exact(capacity - self.input.len());
        }
        self.input.extend_from_slice(bytes);
    }

    fn flush(&mut self) -> Result<(), ErrorKind> {
        while 0 < self.output.unsent_bytes() {
            match self.stream.write(self.output.next()) {
                Ok(0) => return Err(ErrorKind::WriteZero),
                Ok(len) => self.output.advance(len),
                Err(err) if err.kind() == ErrorKind::WouldBlock => break,
                Err(err) if err.kind() == ErrorKind::Interrupted => {}
                Err(err) => {
                    self.write_error = Some(err.kind());
                    return Err(err.kind());
                }
            }
        }
        self.adapt_timeout();
        Ok(())
    }
}
