//! A transport that tells a connection that was lost from one that was closed.

use std::io;

use ureq::{
    Error,
    unversioned::transport::{Buffers, NextTimeout, Transport},
};

/// Wraps a transport. `ureq` ends a body that has neither a length nor chunks in good order also when
/// the connection is reset, so that a part of it would pass for the whole.
#[derive(Debug)]
pub(crate) struct Stream<T> {
    inner: T,
}

impl<T> Stream<T> {
    pub(crate) fn new(inner: T) -> Self {
        Self { inner }
    }
}

impl<T: Transport> Transport for Stream<T> {
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.inner.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        self.inner.transmit_output(amount, timeout)
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        self.inner.await_input(timeout).map_err(|error| match error {
            Error::Io(it) => Error::Io(io::Error::other(it)),
            it => it,
        })
    }

    fn is_open(&mut self) -> bool {
        self.inner.is_open()
    }

    fn is_tls(&self) -> bool {
        self.inner.is_tls()
    }
}
