//! The sockets of an emulated process that isn't an instance.

use std::{
    io::{ErrorKind, Read, Write},
    net::SocketAddr,
    time::Duration,
};

use shallotlead_base::hash::Map;
use shallotlead_gateway::host::network::{Listener, Network, Stream};

use crate::network::Handle;

/// Bytes that are read at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// Identifies a connection; never used again.
pub(crate) type Id = usize;

/// What has happened to a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Event {
    /// Bytes have arrived.
    Input(Id),
    /// The peer has closed it properly. All bytes before that are in the input.
    Closed(Id),
    /// It has failed or couldn't be opened.
    Failed(Id, ErrorKind),
}

struct Connection {
    stream: Box<dyn Stream>,
    input: Vec<u8>,
    output: Vec<u8>,
}

/// All sockets of a process.
pub(crate) struct Sockets {
    handle: Handle,
    /// Silence after which a connection is given up.
    longest_silence: Duration,
    listeners: Map<Id, Box<dyn Listener>>,
    connections: Map<Id, Connection>,
    next: Id,
}

impl Sockets {
    pub(crate) fn new(handle: Handle, longest_silence: Duration) -> Self {
        Self {
            handle,
            longest_silence,
            listeners: Map::default(),
            connections: Map::default(),
            next: 0,
        }
    }

    pub(crate) fn listen(&mut self, address: SocketAddr) {
        self.next += 1;
        if let Ok(listener) = self.handle.listen(address, self.next) {
            self.listeners.insert(self.next, listener);
        }
    }

    pub(crate) fn connect(&mut self, address: SocketAddr) -> Option<Id> {
        let stream = self.handle.connect(address).ok()?;
        self.add(stream)
    }

    fn add(&mut self, mut stream: Box<dyn Stream>) -> Option<Id> {
        self.next += 1;
        let connection = {
            stream.register(self.next, self.longest_silence).ok()?;
            Connection { stream, input: Vec::new(), output: Vec::new() }
        };
        self.connections.insert(self.next, connection);
        Some(self.next)
    }

    /// The bytes that have arrived and weren't taken.
    pub(crate) fn input(&mut self, id: Id) -> Option<&mut Vec<u8>> {
        self.connections.get_mut(&id).map(|it| &mut it.input)
    }

    /// Whether a connection has been opened. Nothing is sent before.
    pub(crate) fn is_open(&self, id: Id) -> bool {
        self.connections.get(&id).is_some_and(|it| it.stream.peer_address().is_ok())
    }

    pub(crate) fn send(&mut self, id: Id, bytes: &[u8]) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.output.extend_from_slice(bytes);
            connection.flush();
        }
    }

    pub(crate) fn close(&mut self, id: Id) {
        self.connections.remove(&id);
    }

    /// Reads and writes what is possible.
    pub(crate) fn poll(&mut self) -> Vec<Event> {
        let mut ready = Vec::new();
        let mut events = Vec::new();
        if self.handle.poll(Duration::ZERO, &mut ready).is_err() {
            return events;
        }
        for it in ready {
            if self.listeners.contains_key(&it.token) {
                self.accept(it.token);
            } else if let Some(connection) = self.connections.get_mut(&it.token) {
                connection.flush();
                connection.read(it.token, &mut events);
            }
        }
        events
    }

    fn accept(&mut self, listener: Id) {
        loop {
            let Some(it) = self.listeners.get_mut(&listener) else { return };
            let Ok(stream) = it.accept() else { return };
            // Registering it returns its events with the next poll.
            self.add(stream);
        }
    }
}

impl Connection {
    fn flush(&mut self) {
        while !self.output.is_empty() {
            // A failure is read as well.
            let Ok(len) = self.stream.write(&self.output) else { return };
            self.output.drain(..len);
        }
    }

    fn read(&mut self, id: Id, events: &mut Vec<Event>) {
        let mut chunk = [0; CHUNK_BYTES];
        let mut has_input = false;
        let end = loop {
            match self.stream.read(&mut chunk) {
                Ok(0) => break Some(Event::Closed(id)),
                Ok(len) => {
                    self.input.extend_from_slice(&chunk[..len]);
                    has_input = true;
                }
                Err(err) if err.kind() == ErrorKind::WouldBlock => break None,
                Err(err) => break Some(Event::Failed(id, err.kind())),
            }
        };
        events.extend(has_input.then_some(Event::Input(id)));
        events.extend(end);
    }
}
