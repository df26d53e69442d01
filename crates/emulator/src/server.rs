//! The HTTP side of emulated servers.

use std::{net::SocketAddr, time::Duration};

use shallotlead_base::hash::Map;
use shallotlead_gateway::http::{
    body::Framing,
    head::{Fields, Request},
};

use crate::{
    network::Handle,
    sockets::{Event, Id, Sockets},
};

/// Silence after which a server gives a connection up.
const LONGEST_SILENCE: Duration = Duration::from_secs(15);
/// Longest head of a request.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// A complete request.
pub(crate) struct Call {
    pub(crate) connection: Id,
    pub(crate) head: Request,
    pub(crate) body: Vec<u8>,
}

impl Call {
    pub(crate) fn get(&self, name: &str) -> &str {
        self.head.fields.get(name).unwrap_or_default()
    }

    pub(crate) fn number(&self, name: &str) -> Option<u64> {
        number(&self.head.fields, name)
    }
}

/// The number in a header field.
pub(crate) fn number(fields: &Fields, name: &str) -> Option<u64> {
    fields.get(name)?.parse().ok()
}

/// What a server has received.
#[derive(Default)]
pub(crate) struct Received {
    pub(crate) calls: Vec<Call>,
    /// Connections that have ended.
    pub(crate) ended: Vec<Id>,
}

/// A listening HTTP server.
pub(crate) struct Server {
    sockets: Sockets,
    /// Heads of requests whose bodies are incomplete.
    partial: Map<Id, (Request, Framing, Vec<u8>)>,
}

impl Server {
    pub(crate) fn listen(handle: Handle, address: SocketAddr) -> Self {
        let mut sockets = Sockets::new(handle, LONGEST_SILENCE);
        sockets.listen(address);
        Self { sockets, partial: Map::default() }
    }

    pub(crate) fn send(&mut self, connection: Id, bytes: &[u8]) {
        self.sockets.send(connection, bytes);
    }

    /// Reads what has arrived.
    pub(crate) fn receive(&mut self) -> Received {
        let mut received = Received::default();
        for event in self.sockets.poll() {
            match event {
                Event::Input(id) => self.read(id, &mut received),
                Event::Closed(id) | Event::Failed(id, _) => {
                    self.close(id);
                    received.ended.push(id);
                }
            }
        }
        received
    }

    fn read(&mut self, id: Id, received: &mut Received) {
        loop {
            let Some(input) = self.sockets.input(id) else { return };
            let (head, mut framing, mut body) = match self.partial.remove(&id) {
                Some(it) => it,
                None => match Request::decode(input, MAX_HEAD_BYTES) {
                    Ok(Some(head)) => {
                        let framing = head.framing;
                        (head, framing, Vec::new())
                    }
                    Ok(None) => return,
                    Err(_) => {
                        self.close(id);
                        received.ended.push(id);
                        return;
                    }
                },
            };
            if !framing.decode(input, &mut body).unwrap_or(false) {
                self.partial.insert(id, (head, framing, body));
                return;
            }
            received.calls.push(Call { connection: id, head, body });
        }
    }

    /// Closes a connection, after what was sent.
    pub(crate) fn close(&mut self, id: Id) {
        self.partial.remove(&id);
        self.sockets.close(id);
    }
}
