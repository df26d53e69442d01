//! What a link did so far.

use std::sync::atomic::{AtomicU64, Ordering};

use shallotlead_base::code::Code;

/// Totals since the start, for metrics.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Stats {
    /// Connections open now.
    pub open: u64,
    /// Connections that came about.
    pub opened: u64,
    /// Bytes of UDP payload sent, handshakes and retransmissions included.
    pub sent_bytes: u64,
    /// Bytes of UDP payload received.
    pub received_bytes: u64,
    /// UDP datagrams sent.
    pub sent_datagrams: u64,
    /// UDP datagrams received.
    pub received_datagrams: u64,
    /// Messages given to the inbox.
    pub messages: u64,
    /// Messages dropped: full inbox or outbox, or no connection.
    pub dropped: u64,
    /// Peers refused because they are not known, or that refused us ([`Code::PeerUnknown`]).
    pub peers_unknown: u64,
    /// Frames refused ([`Code::MessageInvalid`]).
    pub messages_invalid: u64,
    /// Connections without a common version ([`Code::VersionUnsupported`]).
    pub versions_unsupported: u64,
    /// Connections that did not come about for other reasons ([`Code::PeerUnreachable`]).
    pub unreachable: u64,
}

/// Counters shared by the tasks of a link.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    pub(crate) opened: AtomicU64,
    pub(crate) messages: AtomicU64,
    pub(crate) dropped: AtomicU64,
    peers_unknown: AtomicU64,
    messages_invalid: AtomicU64,
    versions_unsupported: AtomicU64,
    unreachable: AtomicU64,
}

impl Counters {
    pub(crate) fn add(counter: &AtomicU64) {
        counter.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn refuse(&self, code: Code) {
        let counter = match code {
            Code::PeerUnknown => &self.peers_unknown,
            Code::MessageInvalid => &self.messages_invalid,
            Code::VersionUnsupported => &self.versions_unsupported,
            _ => &self.unreachable,
        };
        Self::add(counter);
    }

    pub(crate) fn read(&self) -> Stats {
        let get = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        Stats {
            opened: get(&self.opened),
            messages: get(&self.messages),
            dropped: get(&self.dropped),
            peers_unknown: get(&self.peers_unknown),
            messages_invalid: get(&self.messages_invalid),
            versions_unsupported: get(&self.versions_unsupported),
            unreachable: get(&self.unreachable),
            ..Stats::default()
        }
    }
}
