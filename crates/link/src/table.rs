//! The open connections.

#[cfg(test)]
mod tests;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use quinn::{Connection, ConnectionStats, FrameStats, VarInt};
use shallotlead_base::{hash::Map, name};

use crate::{gate::Gate, stats::Stats, tls};

/// Closes a connection to make room.
const MAKE_ROOM: VarInt = VarInt::from_u32(1);
/// Closes a connection whose peer is silent.
const SILENT: VarInt = VarInt::from_u32(2);
/// Closes a connection whose peer is trusted no more.
const UNTRUSTED: VarInt = VarInt::from_u32(3);

/// An open connection to a known peer.
#[derive(Clone, Debug)]
pub(crate) struct Link {
    pub(crate) peer: name::Instance,
    pub(crate) version: u8,
    pub(crate) connection: Connection,
}

/// The open connections, bounded in number.
#[derive(Debug)]
pub(crate) struct Table {
    rows: Mutex<Rows>,
    max: usize,
}

#[derive(Debug, Default)]
struct Rows {
    /// By the connection's stable id. Two peers that call each other at once have two.
    links: Map<usize, Row>,
    /// The newest connection of each peer.
    newest: Map<name::Instance, usize>,
    /// Taken while a connection to the peer is made.
    dials: Map<name::Instance, Arc<tokio::sync::Mutex<()>>>,
    /// Traffic of connections that ended.
    ended: Stats,
}

#[derive(Debug)]
struct Row {
    link: Link,
    used: Instant,
    pulse: Pulse,
}

/// Tells a silent peer from an idle one.
#[derive(Clone, Copy, Debug, Default)]
struct Pulse {
    /// Datagrams received.
    heard: u64,
    /// Frames sent, when a datagram was last received, that the peer must acknowledge.
    asked: u64,
    silent_since: Option<Instant>,
}

impl Table {
    pub(crate) fn new(max: usize) -> Self {
        Self { rows: Mutex::default(), max }
    }

    /// Adds a connection. When there are too many, the one unused for longest makes room.
    pub(crate) fn insert(&self, link: Link) {
        let mut rows = self.rows();
        if self.max <= rows.links.len()
            && let Some(row) = rows.links.values().min_by_key(|it| it.used)
        {
            row.link.connection.close(MAKE_ROOM, b"room for another");
            let id = row.link.connection.stable_id();
            rows.remove(id);
        }
        let id = link.connection.stable_id();
        rows.newest.insert(link.peer.clone(), id);
        rows.links.insert(id, Row { link, used: Instant::now(), pulse: Pulse::default() });
    }

    /// Removes a connection that ended.
    pub(crate) fn remove(&self, connection: &Connection) {
        self.rows().remove(connection.stable_id());
    }

    /// The open connection to `peer`, if it leads to `address`.
    pub(crate) fn get(&self, peer: &name::Instance, address: SocketAddr) -> Option<Link> {
        let mut rows = self.rows();
        let id = *rows.newest.get(peer)?;
        let row = rows.links.get_mut(&id)?;
        let connection = &row.link.connection;
        let usable = connection.close_reason().is_none() && connection.remote_address() == address;
        if !usable {
            return None;
        }
        row.used = Instant::now();
        Some(row.link.clone())
    }

    /// Notes that something was received.
    pub(crate) fn touch(&self, connection: &Connection) {
        if let Some(row) = self.rows().links.get_mut(&connection.stable_id()) {
            row.used = Instant::now();
        }
    }

    /// The version agreed with `peer`.
    pub(crate) fn version(&self, peer: &name::Instance) -> Option<u8> {
        let rows = self.rows();
        let id = rows.newest.get(peer)?;
        rows.links.get(id).map(|it| it.link.version)
    }

    /// The lock to hold while a connection to `peer` is made, so that it is made once.
    pub(crate) fn dial(&self, peer: &name::Instance) -> Arc<tokio::sync::Mutex<()>> {
        Arc::clone(self.rows().dials.entry(peer.clone()).or_default())
    }

    /// Closes connections whose peers are silent.
    ///
    /// Guards against half-open connections: a peer that lost its power or its network says no
    /// goodbye, and without keep-alives an idle timeout alone would let messages vanish for
    /// minutes. Each message must be acknowledged; a connection that asked and heard nothing for
    /// `silence` is dead, while one that did not ask is only idle.
    pub(crate) fn sweep(&self, silence: Duration) {
        let now = Instant::now();
        let mut rows = self.rows();
        for row in rows.links.values_mut() {
            if row.pulse.is_silent(&row.link.connection.stats(), silence, now) {
                log::info!("closing the silent connection to {}", row.link.peer);
                row.link.connection.close(SILENT, b"silent");
            }
        }
        rows.dials.retain(|_, lock| 1 < Arc::strong_count(lock));
    }

    /// Closes connections whose peers `gate` accepts no more.
    pub(crate) fn recheck(&self, gate: &Gate) {
        for row in self.rows().links.values() {
            let connection = &row.link.connection;
            let accepted = tls::certificate(connection).is_some_and(|it| gate.accepts(&it));
            if !accepted {
                log::warn!("closing the connection to {}: trusted no more", row.link.peer);
                connection.close(UNTRUSTED, b"trusted no more");
            }
        }
    }

    /// Traffic of all connections, open and ended.
    pub(crate) fn traffic(&self) -> Stats {
        let rows = self.rows();
        let mut stats = rows.ended;
        for row in rows.links.values() {
            add(&mut stats, &row.link.connection.stats());
        }
        stats.open = rows.links.len() as u64;
        stats
    }

    fn rows(&self) -> MutexGuard<'_, Rows> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Rows {
    fn remove(&mut self, id: usize) {
        let Some(row) = self.links.remove(&id) else {
            return;
        };
        add(&mut self.ended, &row.link.connection.stats());
        if self.newest.get(&row.link.peer) == Some(&id) {
            self.newest.remove(&row.link.peer);
        }
    }
}

impl Pulse {
    fn is_silent(&mut self, stats: &ConnectionStats, silence: Duration, now: Instant) -> bool {
        let asked = asked(&stats.frame_tx);
        if self.heard != stats.udp_rx.datagrams {
            *self = Self { heard: stats.udp_rx.datagrams, asked, silent_since: None };
            return false;
        }
        if asked <= self.asked {
            return false;
        }
        let since = *self.silent_since.get_or_insert(now);
        silence <= now.duration_since(since)
    }
}

/// Frames that the peer must acknowledge. After a loss, quinn probes with whatever is small, so that
/// counting data alone would miss the probes.
fn asked(sent: &FrameStats) -> u64 {
    let data = sent.crypto + sent.datagram + sent.stream;
    let streams = sent.reset_stream + sent.stop_sending;
    let room = sent.max_data + sent.max_stream_data + sent.data_blocked + sent.stream_data_blocked;
    let room = room + sent.max_streams_bidi + sent.max_streams_uni;
    let ids = sent.new_connection_id + sent.retire_connection_id;
    data + streams + room + ids + sent.ping + sent.immediate_ack
}

fn add(stats: &mut Stats, connection: &ConnectionStats) {
    stats.sent_bytes += connection.udp_tx.bytes;
    stats.received_bytes += connection.udp_rx.bytes;
    stats.sent_datagrams += connection.udp_tx.datagrams;
    stats.received_datagrams += connection.udp_rx.datagrams;
}
