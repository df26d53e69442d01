//! Messages between instances over QUIC links.

use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    thread::{self, JoinHandle},
    time::Duration,
};

use shallotlead_base::{code::Code, hash::Map, name};
use shallotlead_fleet::{delivery::Delivery, view::View};
use shallotlead_link::{
    handle::{Handle, Peer},
    inbox::Inbox,
};

use crate::peers::{self, message::Message, publisher::Publisher, transport::Transport};

/// How long a message on a stream may take.
const DEADLINE: Duration = Duration::from_secs(3);

/// The sending side of a link.
#[derive(Debug)]
pub(crate) struct Wire {
    link: Handle,
    publisher: Publisher,
    addresses: Map<name::Instance, SocketAddr>,
}

impl Wire {
    /// Sends over `link`, whose trust `publisher` keeps.
    pub(crate) fn new(link: Handle, publisher: Publisher) -> Self {
        Self { link, publisher, addresses: Map::default() }
    }
}

impl Transport for Wire {
    fn send(&mut self, to: &name::Instance, bytes: Vec<u8>, delivery: Delivery) {
        let Some(&address) = self.addresses.get(to) else { return };
        let peer = Peer { name: to.clone(), address };
        match delivery {
            Delivery::Datagram => {
                // A message that can't be sent is dropped, as the delivery mode allows.
                let _ = self.link.send(peer, bytes);
            }
            // A request goes on a stream whatever its size. The answer is empty.
            Delivery::Stream => self.link.request(peer, bytes, DEADLINE, drop),
        }
    }

    fn set_members(&mut self, view: &View) {
        let members = view.entries().iter().map(|it| &it.member);
        self.addresses = members.map(|it| (it.name.clone(), it.peer)).collect();
        self.publisher.set_members(view.live_members().map(|it| it.name.clone()).collect());
    }

    fn measure(&self) {
        let stats = self.link.stats();
        metrics::gauge!("shallotlead_links_open").set(stats.open as f64);
        metrics::counter!("shallotlead_link_sent_bytes_total").absolute(stats.sent_bytes);
        metrics::counter!("shallotlead_link_received_bytes_total").absolute(stats.received_bytes);
        metrics::counter!("shallotlead_link_dropped_total").absolute(stats.dropped);
        let refused = |code: Code, count| {
            let code = code.number().to_string();
            metrics::counter!("shallotlead_link_refused_total", "code" => code).absolute(count);
        };
        refused(Code::PeerUnknown, stats.peers_unknown);
        refused(Code::MessageInvalid, stats.messages_invalid);
        refused(Code::VersionUnsupported, stats.versions_unsupported);
        refused(Code::PeerUnreachable, stats.unreachable);
    }
}

/// Starts the thread that hands received messages to the node. It ends with the link.
pub(crate) fn receive(
    mut inbox: Inbox,
    node: peers::inbox::WeakInbox,
) -> io::Result<JoinHandle<()>> {
    let run = move || {
        while let Some(received) = inbox.recv() {
            node.send_peer(Message::Peer { from: received.peer, bytes: Arc::from(received.body) });
            if let Some(responder) = received.responder {
                responder.send(Vec::new());
            }
        }
    };
    thread::Builder::new().name("link-inbox".to_owned()).spawn(run)
}
