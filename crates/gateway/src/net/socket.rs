//! One open stream with its buffers.

use std::io::{ErrorKind, Write};

use mio::net::TcpStream;

use super::{Event, Key, MAX_UNREAD, read_once};

/// Output that was sent is dropped from the buffer once it is this long.
const COMPACT: usize = 64 * 1024;

/// One open stream with its buffers.
pub(crate) struct Socket {
    stream: TcpStream,
    /// Bytes that arrived and were not taken yet.
    pub(crate) input: Vec<u8>,
    output: Vec<u8>,
    /// How much of `output` the kernel has.
    written: usize,
    pub(super) is_connecting: bool,
    /// Nothing is read since the input is full.
    pub(super) is_paused: bool,
    /// The kernel said that the other side ended the connection.
    pub(super) is_ending: bool,
    has_ended: bool,
}

impl Socket {
    pub(super) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            input: Vec::new(),
            output: Vec::new(),
            written: 0,
            is_connecting: false,
            is_paused: false,
            is_ending: false,
            has_ended: false,
        }
    }

    pub(super) fn stream(&mut self) -> &mut TcpStream {
        &mut self.stream
    }

    /// Bytes that the kernel has not taken yet.
    pub(crate) fn unsent_bytes(&self) -> usize {
        self.output.len() - self.written
    }

    /// Whether the connection never came about so far, and so carried nothing.
    pub(crate) fn is_connecting(&self) -> bool {
        self.is_connecting
    }

    /// Appends to the output and writes what the kernel takes at once.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        let was_empty = self.unsent_bytes() == 0;
        self.output.extend_from_slice(bytes);
        if was_empty && !self.is_connecting {
            // A failure comes back as an error event, which ends the connection in one place.
            let _ = self.flush();
        }
    }

    /// Takes that the stream is writable. Says whether it still works.
    pub(super) fn write(&mut self, key: Key, events: &mut Vec<Event>) -> bool {
        if self.is_connecting {
            let failed = self.stream.take_error().ok().flatten();
            if let Some(err) = failed.or_else(|| self.stream.peer_addr().err()) {
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
        match self.flush() {
            Ok(()) if self.unsent_bytes() == 0 => events.push(Event::Flushed(key)),
            Ok(()) => {}
            Err(kind) => {
                events.push(Event::Failed(key, kind));
                return false;
            }
        }
        true
    }

    /// Reads what is there, up to one chunk. Says whether there may be more.
    pub(super) fn read(&mut self, key: Key, chunk: &mut [u8], events: &mut Vec<Event>) -> bool {
        if self.has_ended || self.is_connecting {
            return false;
        }
        if MAX_UNREAD <= self.input.len() {
            self.is_paused = true;
            return false;
        }
        match read_once(&mut self.stream, chunk) {
            Ok(None) => false,
            Ok(Some(0)) => {
                self.has_ended = true;
                events.push(Event::PeerClosed(key));
                false
            }
            Ok(Some(len)) => {
                self.input.extend_from_slice(&chunk[..len]);
                events.push(Event::Readable(key));
                // A short read took all that was there, so that a second one would find nothing.
                len == chunk.len() || self.is_ending
            }
            Err(err) => {
                self.has_ended = true;
                events.push(Event::Failed(key, err.kind()));
                false
            }
        }
    }

    fn flush(&mut self) -> Result<(), ErrorKind> {
        while self.written < self.output.len() {
            match self.stream.write(&self.output[self.written..]) {
                Ok(0) => return Err(ErrorKind::WriteZero),
                Ok(len) => self.written += len,
                Err(err) if err.kind() == ErrorKind::WouldBlock => break,
                Err(err) if err.kind() == ErrorKind::Interrupted => {}
                Err(err) => return Err(err.kind()),
            }
        }
        if self.written == self.output.len() {
            self.output.clear();
            self.output.shrink_to(COMPACT);
            self.written = 0;
        } else if COMPACT <= self.written {
            self.output.drain(..self.written);
            self.written = 0;
        }
        Ok(())
    }
}
