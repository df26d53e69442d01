//! The operating system's sockets.

use std::{
    io::{self, ErrorKind, Read, Write},
    net::SocketAddr,
    rc::Rc,
    thread,
    time::Duration,
};

use mio::{
    Events, Interest, Poll, Registry, Token,
    net::{TcpListener, TcpStream, UdpSocket},
};
use socket2::{Domain, SockRef, Socket as RawSocket, TcpKeepalive, Type};

use crate::host::network::{self, Ready};

/// Length of the kernel's queue of connections to accept.
const LISTEN_BACKLOG: i32 = 1024;
/// How long an address that is in use is tried again, and how often.
const BIND_TIMEOUT: Duration = Duration::from_secs(3);
const BIND_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Maximum number of kernel events per round of a poll.
const EVENT_CAPACITY: usize = 256;
/// Idle time before the kernel probes a peer, and interval between probes. With a time limit on unacknowledged bytes,
/// Linux doesn't count probes: it gives up a connection with an unanswered one once that limit has passed.
pub(crate) const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// All sockets of the process.
pub(crate) struct Network {
    poll: Poll,
    registry: Rc<Registry>,
    events: Events,
}

impl Network {
    /// Opens the poll instance, without any sockets.
    pub(crate) fn open() -> io::Result<Self> {
        let poll = Poll::new()?;
        let registry = Rc::new(poll.registry().try_clone()?);
        Ok(Self { poll, registry, events: Events::with_capacity(EVENT_CAPACITY) })
    }

    pub(crate) fn open_stream(&self, address: SocketAddr) -> io::Result<Stream> {
        Ok(Stream::new(TcpStream::connect(address)?, self.registry.clone()))
    }
}

impl network::Network for Network {
    fn listen(
        &mut self,
        address: SocketAddr,
        token: usize,
    ) -> io::Result<Box<dyn network::Listener>> {
        let socket = bind(|| {
            let socket = RawSocket::new(Domain::for_address(address), Type::STREAM, None)?;
            socket.set_reuse_address(true)?;
            socket.set_nonblocking(true)?;
            socket.bind(&address.into())?;
            socket.listen(LISTEN_BACKLOG)?;
            Ok(socket)
        })?;
        let mut listener = TcpListener::from_std(socket.into());
        self.registry.register(&mut listener, Token(token), Interest::READABLE)?;
        Ok(Box::new(Listener { listener, registry: self.registry.clone() }))
    }

    fn bind_datagrams(
        &mut self,
        address: SocketAddr,
        token: usize,
    ) -> io::Result<Box<dyn network::Datagrams>> {
        let mut socket = bind(|| UdpSocket::bind(address))?;
        self.registry.register(&mut socket, Token(token), Interest::READABLE)?;
        Ok(Box::new(Datagrams(socket)))
    }

    fn connect(&mut self, address: SocketAddr) -> io::Result<Box<dyn network::Stream>> {
        Ok(Box::new(self.open_stream(address)?))
    }

    fn poll(&mut self, timeout: Duration, ready: &mut Vec<Ready>) -> io::Result<bool> {
        match self.poll.poll(&mut self.events, Some(timeout)) {
            // A process that was stopped gets this as well.
            Err(err) if err.kind() == ErrorKind::Interrupted => return Ok(true),
            polled => polled?,
        }
        let mut count = 0;
        for event in &self.events {
            count += 1;
            ready.push(Ready {
                token: event.token().0,
                is_readable: event.is_readable() || event.is_read_closed() || event.is_error(),
                is_read_closed: event.is_read_closed(),
                is_writable: event.is_writable(),
            });
        }
        Ok(count == EVENT_CAPACITY)
    }
}

/// Binds an address. The process before this one may hold it for a moment longer.
fn bind<T>(open: impl Fn() -> io::Result<T>) -> io::Result<T> {
    let mut waited = Duration::ZERO;
    loop {
        match open() {
            Err(err) if err.kind() == ErrorKind::AddrInUse && waited < BIND_TIMEOUT => {
                thread::sleep(BIND_RETRY_DELAY);
                waited += BIND_RETRY_DELAY;
            }
            bound => return bound,
        }
    }
}

struct Listener {
    listener: TcpListener,
    registry: Rc<Registry>,
}

impl network::Listener for Listener {
    fn accept(&mut self) -> io::Result<Box<dyn network::Stream>> {
        let (stream, _) = self.listener.accept()?;
        Ok(Box::new(Stream::new(stream, self.registry.clone())))
    }

    fn limit_unread(&mut self, bytes: usize) -> io::Result<()> {
        SockRef::from(&self.listener).set_recv_buffer_size(bytes)
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        if let Err(err) = self.registry.deregister(&mut self.listener) {
            log::debug!("failed to deregister a socket: {err}");
        }
    }
}

/// A connection.
pub(crate) struct Stream {
    stream: TcpStream,
    registry: Rc<Registry>,
    is_registered: bool,
}

impl Stream {
    fn new(stream: TcpStream, registry: Rc<Registry>) -> Self {
        Self { stream, registry, is_registered: false }
    }

    /// The socket, for its options.
    pub(crate) fn raw(&self) -> SockRef<'_> {
        SockRef::from(&self.stream)
    }
}

impl Read for Stream {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        self.stream.read(buf)
    }
}

impl Write for Stream {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.stream.write(buf)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.stream.flush()
    }
}

impl network::Stream for Stream {
    fn register(&mut self, token: usize, timeout: Duration) -> io::Result<()> {
        self.stream.set_nodelay(true)?;
        self.set_timeout(timeout)?;
        let raw = self.raw();
        let keepalive =
            TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
        raw.set_tcp_keepalive(&keepalive)?;
        let interest = Interest::READABLE | Interest::WRITABLE;
        self.registry.register(&mut self.stream, Token(token), interest)?;
        self.is_registered = true;
        Ok(())
    }

    fn set_timeout(&mut self, timeout: Duration) -> io::Result<()> {
        self.raw().set_tcp_user_timeout(Some(timeout))
    }

    fn peek(&self, buf: &mut [u8]) -> io::Result<usize> {
        self.stream.peek(buf)
    }

    fn take_error(&self) -> io::Result<Option<io::Error>> {
        self.stream.take_error()
    }

    fn peer_address(&self) -> io::Result<SocketAddr> {
        self.stream.peer_addr()
    }

    fn reset_on_close(&mut self) -> io::Result<()> {
        self.raw().set_linger(Some(Duration::ZERO))
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        if !self.is_registered {
            return;
        }
        if let Err(err) = self.registry.deregister(&mut self.stream) {
            log::debug!("failed to deregister a socket: {err}");
        }
    }
}

struct Datagrams(UdpSocket);

impl network::Datagrams for Datagrams {
    fn send(&self, to: SocketAddr, bytes: &[u8]) -> io::Result<()> {
        self.0.send_to(bytes, to).map(|_| ())
    }

    fn receive(&self, buf: &mut [u8]) -> io::Result<usize> {
        self.0.recv_from(buf).map(|it| it.0)
    }
}
