//! Sockets of the reactor: listeners, streams and the datagram socket between instances.
//!
//! Nothing here knows a protocol. [`Net::poll`] appends what arrived to a socket's input and says
//! what happened; writers append to its output by [`Net::send`].

mod socket;

use std::{
    io::{self, ErrorKind, Read},
    net::SocketAddr,
    time::Duration,
};

use mio::{
    Events, Interest, Poll, Token,
    net::{TcpListener, TcpStream, UdpSocket},
};
use slab::Slab;
use socket2::{Domain, SockRef, Socket as RawSocket, TcpKeepalive, Type};

pub(crate) use socket::Socket;

/// Connections that the kernel keeps before they are accepted.
const BACKLOG: i32 = 1024;
/// Bytes read from one socket at a time. A longer backlog is read in further rounds.
const READ_CHUNK: usize = 32 * 1024;
/// Unread bytes of one socket from which on nothing more is read until they are taken.
const MAX_UNREAD: usize = 256 * 1024;
/// How long sent bytes may stay unacknowledged before the connection counts as broken. A cut link
/// shows no reset; without this bound a write hangs until the request's deadline.
const UNACKNOWLEDGED: Duration = Duration::from_millis(1_500);
/// Idle time before the kernel probes a peer, and the pause between probes. A connection that went
/// silent for good is found after about three of these.
const KEEPALIVE: Duration = Duration::from_secs(1);
/// Probes without an answer after which the connection is broken.
const KEEPALIVE_PROBES: u32 = 2;
/// Events taken from the kernel at once.
const EVENTS: usize = 256;
/// Token of the datagram socket; streams count from zero.
const DATAGRAMS: Token = Token(usize::MAX - 1);
/// Largest datagram that is taken.
const MAX_DATAGRAM: usize = 64 * 1024;

/// Names one socket. A key is never used again, unlike its place in the table.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Key {
    index: usize,
    serial: u64,
}

/// What a listener is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Endpoint {
    /// Callers' requests.
    Callers,
    /// The platform's question whether this instance takes requests.
    Ready,
    /// Callers' question which addresses to use.
    Directory,
    /// Other instances.
    Peers,
    /// Metrics.
    Metrics,
}

/// Something that happened to a socket.
#[derive(Debug)]
pub(crate) enum Event {
    /// A connection came in.
    Accepted(Key, Endpoint),
    /// Bytes were appended to the input.
    Readable(Key),
    /// All output was taken by the kernel.
    Flushed(Key),
    /// The other side ended the connection; the bytes before it are in the input.
    PeerClosed(Key),
    /// The connection broke: reset, timed out, or never came about.
    Failed(Key, ErrorKind),
    /// A datagram from another instance.
    Datagram(Box<[u8]>),
}

enum Slot {
    Listener(TcpListener, Endpoint),
    Stream(Socket),
}

/// All sockets of the process.
pub(crate) struct Net {
    poll: Poll,
    ready: Events,
    slots: Slab<(u64, Slot)>,
    datagrams: Option<UdpSocket>,
    next_serial: u64,
    /// Streams that have unread bytes in the kernel though no new edge will tell.
    unfinished: Vec<Key>,
    chunk: Box<[u8]>,
    /// Where a datagram is read to.
    datagram: Box<[u8]>,
}

impl Net {
    /// No sockets yet.
    pub(crate) fn open() -> io::Result<Self> {
        Ok(Self {
            poll: Poll::new()?,
            ready: Events::with_capacity(EVENTS),
            slots: Slab::new(),
            datagrams: None,
            next_serial: 0,
            unfinished: Vec::new(),
            chunk: vec![0; READ_CHUNK].into(),
            datagram: vec![0; MAX_DATAGRAM].into(),
        })
    }

    /// Listens at `address`.
    pub(crate) fn listen(&mut self, address: SocketAddr, door: Endpoint) -> io::Result<Key> {
        let socket = RawSocket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(BACKLOG)?;
        let mut listener = TcpListener::from_std(socket.into());
        let key = self.next_key();
        self.poll.registry().register(&mut listener, Token(key.index), Interest::READABLE)?;
        self.slots.insert((key.serial, Slot::Listener(listener, door)));
        Ok(key)
    }

    /// Takes datagrams of other instances at `address`.
    pub(crate) fn bind_datagrams(&mut self, address: SocketAddr) -> io::Result<()> {
        let mut socket = UdpSocket::bind(address)?;
        self.poll.registry().register(&mut socket, DATAGRAMS, Interest::READABLE)?;
        self.datagrams = Some(socket);
        Ok(())
    }

    /// Sends one datagram. It may get lost, so that a failure is only logged.
    pub(crate) fn send_datagram(&self, to: SocketAddr, bytes: &[u8]) {
        let Some(socket) = &self.datagrams else { return };
        if let Err(err) = socket.send_to(bytes, to) {
            log::debug!("a datagram to {to} was not sent: {err}");
        }
    }

    /// Starts to connect to `address`.
    pub(crate) fn connect(&mut self, address: SocketAddr) -> io::Result<Key> {
        let stream = TcpStream::connect(address)?;
        let key = self.add(stream)?;
        if let Some(socket) = self.get_mut(key) {
            socket.is_connecting = true;
        }
        Ok(key)
    }

    /// The stream `key`, while it is open.
    pub(crate) fn get(&self, key: Key) -> Option<&Socket> {
        match self.slots.get(key.index) {
            Some((serial, Slot::Stream(socket))) if *serial == key.serial => Some(socket),
            _ => None,
        }
    }

    /// The stream `key`, while it is open.
    pub(crate) fn get_mut(&mut self, key: Key) -> Option<&mut Socket> {
        match self.slots.get_mut(key.index) {
            Some((serial, Slot::Stream(socket))) if *serial == key.serial => Some(socket),
            _ => None,
        }
    }

    /// Appends `bytes` to the output and writes what the kernel takes. A failure shows as an event.
    pub(crate) fn send(&mut self, key: Key, bytes: &[u8]) {
        if let Some(socket) = self.get_mut(key) {
            socket.push(bytes);
        }
    }

    /// Closes the socket. What the kernel holds already is still sent, unless unread bytes make it
    /// a reset.
    pub(crate) fn close(&mut self, key: Key) {
        if !matches!(self.slots.get(key.index), Some((serial, _)) if *serial == key.serial) {
            return;
        }
        let (_, mut slot) = self.slots.remove(key.index);
        let registry = self.poll.registry();
        let result = match &mut slot {
            Slot::Listener(it, _) => registry.deregister(it),
            Slot::Stream(it) => registry.deregister(it.stream()),
        };
        if let Err(err) = result {
            log::debug!("a socket could not be deregistered: {err}");
        }
    }

    /// Waits up to `timeout` and appends what happened to `events`.
    pub(crate) fn poll(&mut self, timeout: Duration, events: &mut Vec<Event>) -> io::Result<()> {
        let timeout = if self.unfinished.is_empty() { timeout } else { Duration::ZERO };
        let mut ready = std::mem::replace(&mut self.ready, Events::with_capacity(0));
        let polled = self.poll.poll(&mut ready, Some(timeout));
        match polled {
            Err(err) if err.kind() == ErrorKind::Interrupted => ready.clear(),
            other => other?,
        }
        for key in std::mem::take(&mut self.unfinished) {
            self.read(key, false, events);
        }
        for event in &ready {
            self.take(event, events);
        }
        self.ready = ready;
        Ok(())
    }

    /// Reads on after the input of a full socket was taken.
    pub(crate) fn resume_reading(&mut self, key: Key) {
        if let Some(socket) = self.get_mut(key)
            && std::mem::take(&mut socket.is_paused)
        {
            self.unfinished.push(key);
        }
    }

    fn take(&mut self, event: &mio::event::Event, events: &mut Vec<Event>) {
        if event.token() == DATAGRAMS {
            self.receive(events);
            return;
        }
        let index = event.token().0;
        let Some((serial, slot)) = self.slots.get_mut(index) else { return };
        let key = Key { index, serial: *serial };
        match slot {
            Slot::Listener(_, door) => {
                let door = *door;
                self.accept(key, door, events);
            }
            Slot::Stream(socket) => {
                if event.is_writable() && !socket.write(key, events) {
                    return;
                }
                if event.is_readable() || event.is_read_closed() || event.is_error() {
                    self.read(key, event.is_read_closed(), events);
                }
            }
        }
    }

    fn accept(&mut self, listener: Key, door: Endpoint, events: &mut Vec<Event>) {
        loop {
            let Some((_, Slot::Listener(it, _))) = self.slots.get_mut(listener.index) else {
                return;
            };
            let stream = match it.accept() {
                Ok((stream, _)) => stream,
                Err(err) if err.kind() == ErrorKind::WouldBlock => return,
                Err(err) if err.kind() == ErrorKind::Interrupted => continue,
                Err(err) => {
                    log::warn!("a connection could not be accepted: {err}");
                    return;
                }
            };
            match self.add(stream) {
                Ok(key) => events.push(Event::Accepted(key, door)),
                Err(err) => log::warn!("an accepted connection could not be used: {err}"),
            }
        }
    }

    fn add(&mut self, mut stream: TcpStream) -> io::Result<Key> {
        stream.set_nodelay(true)?;
        let raw = SockRef::from(&stream);
        raw.set_tcp_user_timeout(Some(UNACKNOWLEDGED))?;
        let keepalive = TcpKeepalive::new()
            .with_time(KEEPALIVE)
            .with_interval(KEEPALIVE)
            .with_retries(KEEPALIVE_PROBES);
        raw.set_tcp_keepalive(&keepalive)?;
        let key = self.next_key();
        let interest = Interest::READABLE | Interest::WRITABLE;
        self.poll.registry().register(&mut stream, Token(key.index), interest)?;
        self.slots.insert((key.serial, Slot::Stream(Socket::new(stream))));
        Ok(key)
    }

    fn read(&mut self, key: Key, is_ending: bool, events: &mut Vec<Event>) {
        let mut chunk = std::mem::take(&mut self.chunk);
        if let Some(socket) = self.get_mut(key) {
            socket.is_ending |= is_ending;
            let more = socket.read(key, &mut chunk, events);
            if more {
                self.unfinished.push(key);
            }
        }
        self.chunk = chunk;
    }

    fn receive(&mut self, events: &mut Vec<Event>) {
        let Some(socket) = &self.datagrams else { return };
        while let Ok((len, _)) = socket.recv_from(&mut self.datagram) {
            events.push(Event::Datagram(self.datagram[..len].into()));
        }
    }

    fn next_key(&mut self) -> Key {
        self.next_serial += 1;
        Key { index: self.slots.vacant_key(), serial: self.next_serial }
    }
}

/// Reads once. Returns the number of bytes, or `None` when nothing is there.
fn read_once(stream: &mut TcpStream, chunk: &mut [u8]) -> io::Result<Option<usize>> {
    loop {
        return match stream.read(chunk) {
            Ok(len) => Ok(Some(len)),
            Err(err) if err.kind() == ErrorKind::WouldBlock => Ok(None),
            Err(err) if err.kind() == ErrorKind::Interrupted => continue,
            Err(err) => Err(err),
        };
    }
}
