//! Bodies with neither a length nor chunks, which end with their connection.

use std::{
    io::{self, Read},
    net::{SocketAddr, TcpStream},
    thread,
    time::Duration,
};

use crate::backend::http::CONNECT_TIMEOUT;

/// Delay between the end of a body and the check of its server. By then a crash has closed the listening socket.
const CHECK_DELAY: Duration = Duration::from_millis(5);

/// A body that ends with an error if its server no longer accepts connections at its end. A crash ends a
/// connection like a close.
#[derive(Debug)]
pub(crate) struct Body<R> {
    inner: R,
    server: SocketAddr,
}

impl<R> Body<R> {
    /// The body `inner` of an answer of the server at `server`.
    pub(crate) fn new(inner: R, server: SocketAddr) -> Self {
        Self { inner, server }
    }
}

impl<R: Read> Read for Body<R> {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        let count = self.inner.read(buf)?;
        if count == 0 && !buf.is_empty() {
            thread::sleep(CHECK_DELAY);
            TcpStream::connect_timeout(&self.server, CONNECT_TIMEOUT)?;
        }
        Ok(count)
    }
}
