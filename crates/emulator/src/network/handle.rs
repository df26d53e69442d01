//! The network as the process of one machine sees it.

use std::{
    io::{self, ErrorKind, Read, Write},
    net::SocketAddr,
    time::Duration,
};

use shallotlead_gateway::host::network::{self, Ready};

use super::{Datagrams, Host, Id, Listener, Shared, State};

/// A machine's access to the network.
#[derive(Clone)]
pub(crate) struct Handle {
    pub(crate) network: Shared,
    pub(crate) host: Host,
}

impl network::Network for Handle {
    fn listen(
        &mut self,
        address: SocketAddr,
        token: usize,
    ) -> io::Result<Box<dyn network::Listener>> {
        let listener = Listener { host: self.host, token, backlog: Default::default() };
        self.network.borrow_mut().listeners.insert(address, listener);
        Ok(Box::new(Bound { handle: self.clone(), address, token }))
    }

    fn bind_datagrams(
        &mut self,
        address: SocketAddr,
        token: usize,
    ) -> io::Result<Box<dyn network::Datagrams>> {
        let datagrams = Datagrams { host: self.host, token, received: Default::default() };
        self.network.borrow_mut().datagrams.insert(address, datagrams);
        Ok(Box::new(Bound { handle: self.clone(), address, token }))
    }

    fn connect(&mut self, address: SocketAddr) -> io::Result<Box<dyn network::Stream>> {
        let id = self.network.borrow_mut().connect(self.host, address);
        Ok(Box::new(Stream { network: self.network.clone(), id }))
    }

    /// Returns at once: the emulation calls a process only when it is due or has ready sockets.
    fn poll(&mut self, _timeout: Duration, ready: &mut Vec<Ready>) -> io::Result<bool> {
        ready.append(&mut self.network.borrow_mut().machines[self.host].ready);
        Ok(false)
    }
}

/// A socket that is bound to an address.
struct Bound {
    handle: Handle,
    address: SocketAddr,
    token: usize,
}

impl network::Listener for Bound {
    fn accept(&mut self) -> io::Result<Box<dyn network::Stream>> {
        let mut network = self.handle.network.borrow_mut();
        let listener = network.listeners.get_mut(&self.address);
        let id = listener.and_then(|it| it.backlog.pop_front()).ok_or(ErrorKind::WouldBlock)?;
        Ok(Box::new(Stream { network: self.handle.network.clone(), id }))
    }
}

impl network::Datagrams for Bound {
    fn send(&self, to: SocketAddr, bytes: &[u8]) -> io::Result<()> {
        self.handle.network.borrow_mut().send_datagram(self.handle.host, to, bytes);
        Ok(())
    }

    fn receive(&self, buf: &mut [u8]) -> io::Result<usize> {
        let mut network = self.handle.network.borrow_mut();
        let socket = network.datagrams.get_mut(&self.address);
        let bytes = socket.and_then(|it| it.received.pop_front()).ok_or(ErrorKind::WouldBlock)?;
        let len = bytes.len().min(buf.len());
        buf[..len].copy_from_slice(&bytes[..len]);
        Ok(len)
    }
}

impl Drop for Bound {
    fn drop(&mut self) {
        let mut network = self.handle.network.borrow_mut();
        let (host, token) = (self.handle.host, self.token);
        // A process that has started again may have bound it.
        let is_own = |it: &&mut Listener| it.host == host && it.token == token;
        let Some(listener) = network.listeners.get_mut(&self.address).filter(is_own) else {
            return;
        };
        let backlog: Vec<Id> = listener.backlog.drain(..).collect();
        network.listeners.remove(&self.address);
        backlog.into_iter().for_each(|it| network.close_socket(it, true));
    }
}

/// One end of a connection.
struct Stream {
    network: Shared,
    id: Id,
}

impl Read for Stream {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        self.network.borrow_mut().read(self.id, buf)
    }
}

impl Write for Stream {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.network.borrow_mut().write(self.id, buf)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl network::Stream for Stream {
    fn register(&mut self, token: usize, timeout: Duration) -> io::Result<()> {
        self.network.borrow_mut().register(self.id, token, timeout);
        Ok(())
    }

    fn set_timeout(&mut self, timeout: Duration) -> io::Result<()> {
        self.network.borrow_mut().set_silence(self.id, timeout);
        Ok(())
    }

    fn peek(&self, buf: &mut [u8]) -> io::Result<usize> {
        let network = self.network.borrow();
        network.sockets.get(&self.id).ok_or(ErrorKind::NotConnected)?.peek(buf)
    }

    fn take_error(&self) -> io::Result<Option<io::Error>> {
        let mut network = self.network.borrow_mut();
        let socket = network.sockets.get_mut(&self.id).ok_or(ErrorKind::NotConnected)?;
        Ok(socket.error.take().map(io::Error::from))
    }

    fn peer_address(&self) -> io::Result<SocketAddr> {
        let network = self.network.borrow();
        let socket = network.sockets.get(&self.id).ok_or(ErrorKind::NotConnected)?;
        match socket.state {
            State::Connecting => Err(ErrorKind::NotConnected.into()),
            State::Open | State::Failed => Ok(socket.address),
        }
    }

    fn reset_on_close(&mut self) -> io::Result<()> {
        let mut network = self.network.borrow_mut();
        let socket = network.sockets.get_mut(&self.id).ok_or(ErrorKind::NotConnected)?;
        socket.is_reset_on_close = true;
        Ok(())
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        self.network.borrow_mut().close_socket(self.id, false);
    }
}
