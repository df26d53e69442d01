//! Sockets, as the reactor uses them.

use std::{
    io::{self, Read, Write},
    net::SocketAddr,
    time::Duration,
};

/// Opens sockets and waits for their events.
///
/// Sockets don't block. An event is returned once, when a socket becomes ready; the next one follows only after reading
/// or writing would have blocked.
pub trait Network {
    /// Listens for connections at `address`.
    fn listen(&mut self, address: SocketAddr, token: usize) -> io::Result<Box<dyn Listener>>;
    /// Receives datagrams at `address`.
    fn bind_datagrams(
        &mut self,
        address: SocketAddr,
        token: usize,
    ) -> io::Result<Box<dyn Datagrams>>;
    /// Starts to connect to `address`. The outcome is known once the stream becomes writable.
    fn connect(&mut self, address: SocketAddr) -> io::Result<Box<dyn Stream>>;
    /// Waits up to `timeout` for events, and appends them to `ready`. Returns whether more may follow at once.
    fn poll(&mut self, timeout: Duration, ready: &mut Vec<Ready>) -> io::Result<bool>;
}

/// Sockets that have become ready.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Ready {
    /// The token that the socket was registered with.
    pub token: usize,
    /// Whether it may be read: there are bytes or connections, its peer has closed it, or it has failed.
    pub is_readable: bool,
    /// Whether the peer has closed its side.
    pub is_read_closed: bool,
    /// Whether it may be written, or the outcome of its connection attempt is known.
    pub is_writable: bool,
}

/// A listening socket. Dropping it closes it.
pub trait Listener {
    /// Accepts a connection.
    fn accept(&mut self) -> io::Result<Box<dyn Stream>>;
    /// Bounds what the connections that it accepts from now on may receive before it is read, in bytes.
    fn limit_unread(&mut self, _bytes: usize) -> io::Result<()> {
        Ok(())
    }
}

/// A connection. Dropping it closes it; bytes that were written are still sent.
pub trait Stream: Read + Write {
    /// Has [`Network::poll`] return this stream's events with `token`. The connection fails once its peer has
    /// acknowledged nothing for `timeout`, or no further byte, even if it is alive and only doesn't read.
    fn register(&mut self, token: usize, timeout: Duration) -> io::Result<()>;
    /// Changes that timeout.
    fn set_timeout(&mut self, timeout: Duration) -> io::Result<()>;
    /// Reads without consuming the bytes.
    fn peek(&self, buf: &mut [u8]) -> io::Result<usize>;
    /// Takes the error that has ended the connection or the attempt to open it.
    fn take_error(&self) -> io::Result<Option<io::Error>>;
    /// The peer's address. Fails with `NotConnected` until the connection is open.
    fn peer_address(&self) -> io::Result<SocketAddr>;
    /// Makes closing it reset the connection.
    fn reset_on_close(&mut self) -> io::Result<()>;
}

/// A socket for datagrams.
pub trait Datagrams {
    /// Sends a datagram.
    fn send(&self, to: SocketAddr, bytes: &[u8]) -> io::Result<()>;
    /// Receives a datagram, and returns its length.
    fn receive(&self, buf: &mut [u8]) -> io::Result<usize>;
}
