//! The sending end of the node's thread.

use std::sync::{
    Arc, Weak,
    atomic::{AtomicUsize, Ordering},
    mpsc,
};

use crate::peers::message::Message;

/// Messages from peers that may wait. Further ones are dropped, as on a bad link: a peer that sends
/// without end must not fill this instance's memory.
const MAX_WAITING: usize = 4_096;

/// Keeps the node's thread running as long as it exists.
#[derive(Clone, Debug)]
pub(crate) struct Inbox {
    channel: Arc<Channel>,
}

#[derive(Debug)]
struct Channel {
    sender: mpsc::Sender<Message>,
    waiting: Arc<AtomicUsize>,
}

/// The receiving end.
#[derive(Debug)]
pub(crate) struct Outlet {
    pub(crate) messages: mpsc::Receiver<Message>,
    waiting: Arc<AtomicUsize>,
}

/// Both ends.
pub(crate) fn channel() -> (Inbox, Outlet) {
    let (sender, messages) = mpsc::channel();
    let waiting = Arc::<AtomicUsize>::default();
    let channel = Arc::new(Channel { sender, waiting: waiting.clone() });
    (Inbox { channel }, Outlet { messages, waiting })
}

impl Outlet {
    /// Notes that a peer's message was taken.
    pub(crate) fn taken(&self) {
        self.waiting.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Inbox {
    /// Tells the node. One that has ended needs no messages.
    pub(crate) fn send(&self, message: Message) {
        let _ = self.channel.sender.send(message);
    }

    /// A sending end that doesn't keep the thread running.
    pub(crate) fn downgrade(&self) -> WeakInbox {
        WeakInbox { channel: Arc::downgrade(&self.channel) }
    }
}

/// A sending end that doesn't keep the node's thread running.
#[derive(Clone, Debug)]
pub(crate) struct WeakInbox {
    channel: Weak<Channel>,
}

impl WeakInbox {
    /// Tells the node, if it runs.
    pub(crate) fn send(&self, message: Message) {
        if let Some(channel) = self.channel.upgrade() {
            let _ = channel.sender.send(message);
        }
    }

    /// Hands in a peer's message, unless too many wait.
    pub(crate) fn send_peer(&self, message: Message) {
        let Some(channel) = self.channel.upgrade() else { return };
        if MAX_WAITING <= channel.waiting.fetch_add(1, Ordering::AcqRel) {
            channel.waiting.fetch_sub(1, Ordering::AcqRel);
            metrics::counter!("shallotlead_peer_messages_dropped_total").increment(1);
            return;
        }
        let _ = channel.sender.send(message);
    }
}
