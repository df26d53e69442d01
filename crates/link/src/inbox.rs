//! Received messages.

use std::fmt;

use shallotlead_base::name;
use tokio::sync::{OwnedSemaphorePermit, mpsc, oneshot};

/// Received messages, in the order in which they became complete. Datagrams may be lost, and
/// messages may overtake each other.
#[derive(Debug)]
pub struct Inbox {
    rx: mpsc::Receiver<Received>,
}

impl Inbox {
    pub(crate) fn new(rx: mpsc::Receiver<Received>) -> Self {
        Self { rx }
    }

    /// Waits for the next message; `None` when the link has ended. Not for use in async tasks.
    pub fn recv(&mut self) -> Option<Received> {
        self.rx.blocking_recv()
    }

    /// The next message, if one is there.
    pub fn try_recv(&mut self) -> Option<Received> {
        self.rx.try_recv().ok()
    }
}

/// One received message.
pub struct Received {
    /// The instance that sent it, as its certificate names it.
    pub peer: name::Instance,
    /// The protocol version agreed with it.
    pub version: u8,
    /// Opaque content.
    pub body: Vec<u8>,
    /// Where an answer goes, if the sender waits for one.
    pub responder: Option<Responder>,
    /// Counts the body against the memory for received messages until it is taken.
    pub(crate) _memory: Option<OwnedSemaphorePermit>,
}

impl fmt::Debug for Received {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Received")
            .field("peer", &self.peer)
            .field("version", &self.version)
            .field("bytes", &self.body.len())
            .field("responder", &self.responder)
            .finish_non_exhaustive()
    }
}

/// Answers one request. Dropped without an answer, the sender hears a failure at once.
#[derive(Debug)]
pub struct Responder {
    pub(crate) tx: oneshot::Sender<Vec<u8>>,
}

impl Responder {
    /// Sends the answer, if the sender still waits.
    pub fn send(self, body: Vec<u8>) {
        // The request's deadline has passed, or its connection broke.
        let _ = self.tx.send(body);
    }
}
