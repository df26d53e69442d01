//! Fetches a newer configuration from other instances.
//!
//! In a large fleet few instances watch the store, so all others request the same large response at the same moment,
//! over links on which one response takes a good part of a second.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use shallotlead_base::time::Time;

/// Maximum number of remembered peers: enough that some are idle, however many announce a version.
const MAX_PEERS: usize = 32;
/// Maximum random delay before the first request. It keeps the whole fleet from asking the first instance that
/// announces a version, and gives nearby instances time to announce it too.
const MAX_FIRST_DELAY: Duration = Duration::from_millis(60);
/// Extra delay of an instance that watches the store itself: it gets the configuration from there some milliseconds
/// later.
const WATCHER_DELAY: Duration = Duration::from_millis(200);
/// Maximum random delay after a peer was busy or failed. Peers admit about one response per tenth of a second on a
/// link of 10 Mbit/s.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(100);
/// How long an instance waits for its peers before it reads the store itself. Peers alone spread a configuration of
/// 300 KB through a fleet of 420 with links of 10 Mbit/s faster than that.
const STORE_FALLBACK_AFTER: Duration = Duration::from_millis(1_200);

/// An instance that has a newer configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Peer {
    /// Address for requests.
    pub address: SocketAddr,
    /// Data centre of the instance.
    pub centre: Arc<str>,
    /// Version that it has.
    pub version: u64,
}

/// Outcome of a request to a peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// The peer's configuration was received.
    Received,
    /// The peer's link is taken up by other responses.
    Busy,
    /// The peer could not be reached, or its response was lost.
    Failed,
}

/// What an outdated instance knows of newer configurations, and which peer it asks next.
///
/// Guards against a fleet that asks one and the same instance, which then serves nobody in time. It shows as requests
/// that time out while that instance's link is full. Each instance chooses at random among all that have the version,
/// and becomes a choice for the others once it has it.
#[derive(Debug, Default)]
pub struct Catchup {
    behind_since: Option<Time>,
    peers: Vec<Peer>,
    next_request_at: Time,
    is_request_open: bool,
    /// The last peer was busy, so peers of other data centres are considered too.
    was_busy: bool,
}

impl Catchup {
    /// Records that a peer announces a newer configuration than this instance has. Returns whether the instance was up
    /// to date before. `chance` is any random number.
    pub fn record_announcement(
        &mut self,
        now: Time,
        peer: Peer,
        is_watcher: bool,
        chance: u64,
    ) -> bool {
        let was_current = self.behind_since.is_none();
        if was_current {
            self.behind_since = Some(now);
            let wait = if is_watcher { WATCHER_DELAY } else { Duration::ZERO };
            self.next_request_at = now + wait + random_part(MAX_FIRST_DELAY, chance);
        }
        self.remember(peer);
        was_current
    }

    fn remember(&mut self, peer: Peer) {
        let known = self.peers.iter_mut().find(|it| it.address == peer.address);
        if let Some(it) = known {
            it.version = it.version.max(peer.version);
            return;
        }
        if self.peers.len() < MAX_PEERS {
            self.peers.push(peer);
            return;
        }
        // A peer with an older version is replaced.
        let oldest = self.peers.iter_mut().min_by_key(|it| it.version);
        if let Some(it) = oldest.filter(|it| it.version < peer.version) {
            *it = peer;
        }
    }

    /// Records that this instance now has `version` in force.
    pub fn record_applied(&mut self, version: u64) {
        self.peers.retain(|it| version < it.version);
        if self.peers.is_empty() {
            self.reset();
        }
    }

    /// Forgets all peers after the store was read, as none has anything newer.
    pub fn reset(&mut self) {
        self.peers.clear();
        self.behind_since = None;
        self.was_busy = false;
    }

    /// When the next request is due, if any.
    pub fn next_due(&self) -> Option<Time> {
        (self.behind_since.is_some() && !self.is_request_open && !self.peers.is_empty())
            .then_some(self.next_request_at)
    }

    /// Whether a request is due now.
    pub fn is_due(&self, now: Time) -> bool {
        self.next_due().is_some_and(|it| it <= now)
    }

    /// Whether the peers have failed for so long that the store must be read.
    pub fn needs_store(&self, now: Time) -> bool {
        self.behind_since.is_some_and(|it| STORE_FALLBACK_AFTER <= now.since(it))
    }

    /// The peer to ask now: one with the newest version, in the data centre `centre` unless those are busy. `chance`
    /// is any random number.
    pub fn next_request(&mut self, now: Time, centre: &str, chance: u64) -> Option<Peer> {
        if !self.is_due(now) {
            return None;
        }
        let newest = self.peers.iter().map(|it| it.version).max()?;
        let current = || self.peers.iter().filter(move |it| it.version == newest);
        let local: Vec<&Peer> = current().filter(|it| *it.centre == *centre).collect();
        let choice = if local.is_empty() || self.was_busy { current().collect() } else { local };
        let peer = choice.get((chance % choice.len().max(1) as u64) as usize).copied().cloned();
        self.is_request_open = peer.is_some();
        peer
    }

    /// Records the outcome of the request to the peer at `address`. `chance` is any random number.
    pub fn finish_request(&mut self, now: Time, address: SocketAddr, answer: Answer, chance: u64) {
        self.is_request_open = false;
        self.was_busy = answer == Answer::Busy;
        if answer == Answer::Failed {
            self.peers.retain(|it| it.address != address);
        }
        self.next_request_at = now + random_part(MAX_RETRY_DELAY, chance);
    }
}

/// A random part of `whole`.
fn random_part(whole: Duration, chance: u64) -> Duration {
    whole.mul_f64((chance % 1_000) as f64 / 1e3)
}
