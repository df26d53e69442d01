//! Bounds on open connections, in total and for each peer.

use std::{
    net::IpAddr,
    sync::{Arc, Mutex, PoisonError},
};

use shallotlead_base::hash::Map;

/// Counts open connections.
#[derive(Debug)]
pub(crate) struct Floor {
    max: usize,
    max_per_peer: usize,
    counts: Mutex<Counts>,
}

#[derive(Debug, Default)]
struct Counts {
    total: usize,
    // Bounded by the total: an address goes with its last connection.
    peers: Map<IpAddr, usize>,
}

/// The right to hold one connection open.
#[derive(Debug)]
pub(crate) struct Place {
    floor: Arc<Floor>,
    peer: IpAddr,
}

impl Floor {
    pub(crate) fn new(max: usize, max_per_peer: usize) -> Self {
        Self { max, max_per_peer, counts: Mutex::default() }
    }

    /// A place for a connection from `peer`, while there is one.
    pub(crate) fn enter(self: &Arc<Self>, peer: IpAddr) -> Option<Place> {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let held = counts.peers.get(&peer).copied().unwrap_or(0);
        if self.max <= counts.total || self.max_per_peer <= held {
            return None;
        }
        counts.total += 1;
        counts.peers.insert(peer, held + 1);
        Some(Place { floor: Arc::clone(self), peer })
    }

    /// Connections open now.
    pub(crate) fn open(&self) -> usize {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner).total
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut counts = self.floor.counts.lock().unwrap_or_else(PoisonError::into_inner);
        counts.total -= 1;
        let held = counts.peers.get(&self.peer).copied().unwrap_or(0);
        if held <= 1 {
            counts.peers.remove(&self.peer);
        } else {
            counts.peers.insert(self.peer, held - 1);
        }
    }
}
