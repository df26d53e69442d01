//! Sockets of the reactor: listeners, streams and the datagram socket between instances.
//!
//! This module is independent of protocols. [`Net::poll`] appends received bytes to the sockets' input
//! buffers and returns events; [`Net::send`] appends to an output buffer.

mod accept;
mod descriptors;
mod output;
mod socket;
#[cfg(test)]
mod tests;

use std::{
    io::{self, ErrorKind},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use slab::Slab;

use crate::{
    host::{
        network::{Datagrams, Listener, Network, Ready, Stream},
        system::network::KEEPALIVE_INTERVAL,
    },
    memory::{Account, Body},
};

use descriptors::Descriptors;
use socket::IDLE_BYTES;
pub(crate) use socket::Socket;

/// Time limit for opening a connection. TCP sends a lost SYN again only after a second, so that trying
/// another peer is faster.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Bytes read from one socket per round; more are read in further rounds.
const READ_CHUNK_BYTES: usize = 32 * 1024;
/// Size of a socket's input buffer from which on reading pauses until the input is consumed.
const MAX_INPUT_BYTES: usize = 256 * 1024;
/// The same for requests to this instance, unless a longer one is expected.
const MAX_REQUEST_INPUT_BYTES: usize = 64 * 1024;
/// How long the kernel keeps a connection to a caller, an instance or the store on which nothing is acknowledged. An
/// interrupted link causes no reset; without this limit a write would hang until the request's deadline. The kernel
/// counts a peer that doesn't read as silent even if it answers; see [`DELIVERY_TIMEOUT`].
const PEER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longest time for which a sound backend server is expected to be silent before it goes on.
pub(crate) const LONGEST_SILENCE: Duration = Duration::from_millis(1_500);
/// How long the kernel keeps a connection to a backend server on which nothing is acknowledged: whenever a silence
/// begins, a probe after it is answered before that.
const SERVER_TIMEOUT: Duration =
    LONGEST_SILENCE.saturating_add(KEEPALIVE_INTERVAL.saturating_mul(2));
/// Longest time in which a peer has to take what it was sent. It holds instead of the limits above while the peer takes
/// no more, and after a long answer.
pub(crate) const DELIVERY_TIMEOUT: Duration = Duration::from_secs(30);
/// Length of an answer from which on it may not fit into what its caller receives without reading, bytes.
const LONG_ANSWER_BYTES: usize = 2 * 1024;
/// Bytes of refused requests that are read and dropped in one poll. They must not keep others waiting.
const MAX_DROPPED_BYTES: usize = 256 * 1024;
/// Longest wait for events while requests wait for memory to be read.
const MEMORY_WAIT: Duration = Duration::from_millis(10);
/// Maximum number of rounds in one poll.
const MAX_ROUNDS: usize = 64;
/// Token of the datagram socket; the other sockets' tokens count from zero.
const DATAGRAM_TOKEN: usize = usize::MAX - 1;
/// Maximum size of a received datagram.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;

/// How long a connection is kept on which the peer acknowledges nothing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Timeout {
    /// A caller, another instance or the store.
    Peer,
    /// A backend server.
    Server,
    /// A backend server for which no bytes may be on their way for longer than about twice this.
    Exactly(Duration),
}

impl Timeout {
    fn duration(self) -> Duration {
        match self {
            Self::Peer => PEER_TIMEOUT,
            Self::Server => SERVER_TIMEOUT,
            Self::Exactly(it) => it,
        }
    }
}

/// Identifies one socket. Unlike the index in the table, a key is never reused.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Key {
    index: usize,
    serial: u64,
}

/// What a listening socket serves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Endpoint {
    /// Callers' requests.
    Callers,
    /// Readiness probes of the platform.
    Ready,
    /// Callers' directory lookups.
    Directory,
    /// Requests of other instances.
    Peers,
    /// Requests for metrics.
    Metrics,
}

impl Endpoint {
    const COUNT: usize = Self::Metrics as usize + 1;

    /// Its name in logs, that of its address in the settings.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Callers => "callers",
            Self::Ready => "ready",
            Self::Directory => "directory",
            Self::Peers => "peers",
            Self::Metrics => "metrics",
        }
    }
}

/// Event on a socket.
#[derive(Debug)]
pub(crate) enum Event {
    /// A connection was accepted.
    Accepted(Key, Endpoint),
    /// Bytes were appended to the input buffer.
    Readable(Key),
    /// All output was passed to the kernel.
    Flushed(Key),
    /// The peer closed its side of the connection. All bytes before that are in the input buffer.
    PeerClosed(Key),
    /// The connection failed: it was reset, timed out or could not be established.
    Failed(Key, ErrorKind),
    /// A datagram arrived from another instance.
    Datagram(Box<[u8]>),
}

enum Slot {
    Listener(Box<dyn Listener>, Endpoint),
    Stream(Socket),
}

/// All sockets of the process.
pub(crate) struct Net {
    network: Box<dyn Network>,
    memory: Account,
    ready: Vec<Ready>,
    slots: Slab<(u64, Slot)>,
    datagrams: Option<Box<dyn Datagrams>>,
    next_serial: u64,
    descriptors: Descriptors,
    /// Listeners with connections that wait for a descriptor.
    blocked: Vec<Key>,
    /// Listeners that failed to accept a connection.
    failed: Vec<Key>,
    /// Streams that may have unread bytes in the kernel, for which no further edge-triggered event will come.
    unfinished_reads: Vec<Key>,
    /// Streams that aren't read before the next poll, and then only if there is memory for it.
    deferred: Vec<Key>,
    /// Bytes of refused requests that may still be read in this poll.
    droppable: usize,
    read_chunk: Box<[u8]>,
    datagram_buffer: Box<[u8]>,
}

impl Net {
    /// The reactor's sockets on `network`, none so far. What their buffers take is recorded in `memory`. The process may
    /// have `max_descriptors` open.
    pub(crate) fn new(network: Box<dyn Network>, memory: Account, max_descriptors: usize) -> Self {
        Self {
            network,
            memory,
            ready: Vec::new(),
            slots: Slab::new(),
            datagrams: None,
            next_serial: 0,
            descriptors: Descriptors::new(max_descriptors),
            blocked: Vec::new(),
            failed: Vec::new(),
            unfinished_reads: Vec::new(),
            deferred: Vec::new(),
            droppable: 0,
            read_chunk: vec![0; READ_CHUNK_BYTES].into(),
            datagram_buffer: vec![0; MAX_DATAGRAM_BYTES].into(),
        }
    }

    /// Listens at `address` for connections to `endpoint`.
    pub(crate) fn listen(&mut self, address: SocketAddr, endpoint: Endpoint) -> io::Result<Key> {
        let key = self.next_key();
        let mut listener = self.network.listen(address, key.index)?;
        if let Err(err) = listener.limit_unread(self.memory.unread_limit()) {
            log::warn!("failed to bound what connections receive: {err}");
        }
        self.slots.insert((key.serial, Slot::Listener(listener, endpoint)));
        Ok(key)
    }

    /// Receives datagrams of other instances at `address`.
    pub(crate) fn bind_datagrams(&mut self, address: SocketAddr) -> io::Result<()> {
        self.datagrams = Some(self.network.bind_datagrams(address, DATAGRAM_TOKEN)?);
        Ok(())
    }

    /// Sends one datagram. Datagrams may get lost anyway, so that an error is only logged.
    pub(crate) fn send_datagram(&self, to: SocketAddr, bytes: &[u8]) {
        let Some(socket) = &self.datagrams else { return };
        if let Err(err) = socket.send(to, bytes) {
            log::debug!("failed to send a datagram to {to}: {err}");
        }
    }

    /// Starts to connect to `address`. The outcome is known once the socket becomes writable.
    pub(crate) fn connect(&mut self, address: SocketAddr, timeout: Timeout) -> io::Result<Key> {
        let stream = self.network.connect(address)?;
        let key = self.add_stream(stream, timeout, None)?;
        if let Some(socket) = self.get_mut(key) {
            socket.is_connecting = true;
        }
        Ok(key)
    }

    /// The stream `key`, if it is open.
    pub(crate) fn get(&self, key: Key) -> Option<&Socket> {
        match self.slots.get(key.index) {
            Some((serial, Slot::Stream(socket))) if *serial == key.serial => Some(socket),
            _ => None,
        }
    }

    /// The stream `key`, if it is open.
    pub(crate) fn get_mut(&mut self, key: Key) -> Option<&mut Socket> {
        match self.slots.get_mut(key.index) {
            Some((serial, Slot::Stream(socket))) if *serial == key.serial => Some(socket),
            _ => None,
        }
    }

    /// Gives back room of buffers that are empty, beyond what a quick peer needs.
    pub(crate) fn trim(&mut self) {
        self.trim_to(IDLE_BYTES);
    }

    /// Gives back all room of buffers that are empty.
    pub(crate) fn trim_all(&mut self) {
        self.trim_to(0);
    }

    fn trim_to(&mut self, kept: usize) {
        for (_, (_, slot)) in &mut self.slots {
            if let Slot::Stream(socket) = slot {
                socket.trim(kept);
            }
        }
    }

    /// Records what the stream's buffers take after its input was parsed.
    pub(crate) fn measure(&mut self, key: Key) {
        if let Some(socket) = self.get_mut(key) {
            socket.measure();
        }
    }

    /// Appends `bytes` to the output buffer and writes as much as the kernel accepts. An error is returned as
    /// an event of a later poll.
    pub(crate) fn send(&mut self, key: Key, bytes: &[u8]) {
        if let Some(socket) = self.get_mut(key) {
            socket.push(bytes);
        }
    }

    /// Like [`Net::send`], with `shared` after `bytes`, which isn't copied.
    pub(crate) fn send_shared(&mut self, key: Key, bytes: &[u8], shared: Rc<Body>) {
        if let Some(socket) = self.get_mut(key) {
            socket.push_shared(bytes, shared);
        }
    }

    /// Handles that the output since the last request is complete and nothing runs for the peer any more.
    pub(crate) fn end_answer(&mut self, key: Key) {
        if let Some(socket) = self.get_mut(key) {
            socket.end_answer();
        }
    }

    /// Changes how long the connection is kept on which the peer acknowledges nothing.
    pub(crate) fn set_timeout(&mut self, key: Key, timeout: Timeout) {
        if let Some(socket) = self.get_mut(key) {
            socket.set_timeout(timeout.duration());
        }
    }

    /// Closes the socket. The kernel still sends bytes that it has accepted, unless it resets the connection because
    /// of unread input.
    pub(crate) fn close(&mut self, key: Key) {
        if !matches!(self.slots.get(key.index), Some((serial, _)) if *serial == key.serial) {
            return;
        }
        if let (_, Slot::Stream(Socket { endpoint: Some(endpoint), .. })) =
            self.slots.remove(key.index)
        {
            self.descriptors.close(endpoint);
        }
    }

    /// Closes the socket so that its peer gets a reset.
    pub(crate) fn reset(&mut self, key: Key) {
        if let Some(socket) = self.get_mut(key) {
            socket.reset_on_close();
        }
        self.close(key);
    }

    /// Waits up to `timeout` for events and appends them to `events`, with all that are ready by then.
    ///
    /// Time limits are checked after this. After a pause of the process, what has arrived must be read before.
    pub(crate) fn poll(&mut self, timeout: Duration, events: &mut Vec<Event>) -> io::Result<()> {
        self.droppable = MAX_DROPPED_BYTES;
        let is_due = !self.unfinished_reads.is_empty() || self.may_resume_accepting();
        let mut timeout = match self.deferred.is_empty() {
            _ if is_due => Duration::ZERO,
            true => timeout,
            false if self.is_short() => timeout.min(MEMORY_WAIT),
            false => Duration::ZERO,
        };
        self.resume_deferred();
        for _ in 0..MAX_ROUNDS {
            if !self.poll_round(timeout, events)? {
                break;
            }
            timeout = Duration::ZERO;
        }
        Ok(())
    }

    /// Tries again to read the streams that were deferred.
    fn resume_deferred(&mut self) {
        let keys = std::mem::take(&mut self.deferred);
        for key in &keys {
            if let Some(socket) = self.get_mut(*key) {
                socket.is_deferred = false;
            }
        }
        self.unfinished_reads.extend(keys);
    }

    /// Whether streams wait for memory to be read.
    pub(crate) fn is_short(&self) -> bool {
        !self.deferred.is_empty() && !self.memory.may_read(READ_CHUNK_BYTES)
    }

    /// Sets whether what arrives is dropped, so that it is read after what others send.
    pub(crate) fn set_dropping(&mut self, key: Key, is_dropping: bool) {
        if let Some(socket) = self.get_mut(key) {
            socket.is_dropping = is_dropping;
        }
    }

    /// Whether what arrives on the stream is dropped.
    pub(crate) fn is_dropping(&self, key: Key) -> bool {
        self.get(key).is_some_and(|it| it.is_dropping)
    }

    /// Whether the stream may be read now. What servers, the store and other instances answer is read in any case, but
    /// not much of it at a time unless memory is ample: what is read of many in one poll may become as many answers.
    fn may_read(&mut self, key: Key) -> bool {
        let has_memory = self.memory.may_read(READ_CHUNK_BYTES);
        let (may_drop, is_ample) = (0 < self.droppable, self.memory.is_ample());
        let Some(socket) = self.get_mut(key) else { return false };
        let may_read = match socket.endpoint {
            Some(_) if socket.is_dropping => may_drop,
            Some(_) => has_memory,
            None => is_ample || socket.input.is_empty(),
        };
        if may_read {
            return true;
        }
        socket.expect_unread(true);
        if !std::mem::replace(&mut socket.is_deferred, true) {
            self.deferred.push(key);
        }
        false
    }

    /// Handles the sockets that are ready. Returns whether more may be.
    fn poll_round(&mut self, timeout: Duration, events: &mut Vec<Event>) -> io::Result<bool> {
        let mut ready = std::mem::take(&mut self.ready);
        let polled = self.network.poll(timeout, &mut ready);
        for key in std::mem::take(&mut self.unfinished_reads) {
            self.read(key, false, events);
        }
        if self.may_resume_accepting() {
            for key in std::mem::take(&mut self.blocked) {
                self.accept(key, events);
            }
        }
        for it in ready.drain(..) {
            self.handle_ready(it, events);
        }
        self.ready = ready;
        polled
    }

    /// Resumes reading from a socket that was paused because its input buffer was full.
    pub(crate) fn resume_reading(&mut self, key: Key) {
        if let Some(socket) = self.get_mut(key)
            && std::mem::take(&mut socket.is_paused)
        {
            self.unfinished_reads.push(key);
        }
    }

    fn handle_ready(&mut self, ready: Ready, events: &mut Vec<Event>) {
        if ready.token == DATAGRAM_TOKEN {
            self.receive_datagrams(events);
            return;
        }
        let index = ready.token;
        let Some((serial, slot)) = self.slots.get_mut(index) else { return };
        let key = Key { index, serial: *serial };
        match slot {
            Slot::Listener(..) => self.accept(key, events),
            Slot::Stream(socket) => {
                if ready.is_writable && !socket.handle_writable(key, events) {
                    return;
                }
                if ready.is_readable {
                    self.read(key, ready.is_read_closed, events);
                }
            }
        }
    }

    /// `endpoint`: which one has accepted it, if any.
    fn add_stream(
        &mut self,
        mut stream: Box<dyn Stream>,
        timeout: Timeout,
        endpoint: Option<Endpoint>,
    ) -> io::Result<Key> {
        let key = self.next_key();
        let timeout = timeout.duration();
        stream.register(key.index, timeout)?;
        let socket = Socket::new(stream, timeout, endpoint, &self.memory);
        if let Some(endpoint) = endpoint {
            self.descriptors.open(endpoint);
        }
        self.slots.insert((key.serial, Slot::Stream(socket)));
        Ok(key)
    }

    fn read(&mut self, key: Key, is_read_closed: bool, events: &mut Vec<Event>) {
        if let Some(socket) = self.get_mut(key) {
            socket.is_read_closed |= is_read_closed;
        }
        if !self.may_read(key) {
            return;
        }
        let mut chunk = std::mem::take(&mut self.read_chunk);
        if let Some(socket) = self.get_mut(key) {
            let before = socket.input.len();
            let more = socket.read(key, &mut chunk, events);
            let (len, is_dropping) = (socket.input.len() - before, socket.is_dropping);
            if is_dropping {
                self.droppable = self.droppable.saturating_sub(len);
            }
            if more {
                self.unfinished_reads.push(key);
            }
        }
        self.read_chunk = chunk;
    }

    fn receive_datagrams(&mut self, events: &mut Vec<Event>) {
        let Some(socket) = &self.datagrams else { return };
        while let Ok(len) = socket.receive(&mut self.datagram_buffer) {
            events.push(Event::Datagram(self.datagram_buffer[..len].into()));
        }
    }

    fn next_key(&mut self) -> Key {
        self.next_serial += 1;
        Key { index: self.slots.vacant_key(), serial: self.next_serial }
    }
}

/// Reads once. Returns the number of bytes, or `None` if the read would block.
fn read_once(stream: &mut dyn Stream, chunk: &mut [u8]) -> io::Result<Option<usize>> {
    loop {
        return match stream.read(chunk) {
            Ok(len) => Ok(Some(len)),
            Err(err) if err.kind() == ErrorKind::WouldBlock => Ok(None),
            Err(err) if err.kind() == ErrorKind::Interrupted => continue,
            Err(err) => Err(err),
        };
    }
}
