//! How an instance that is behind gets a newer configuration from those that have it.
//!
//! In a large fleet few instances watch the store. The load pattern to bear is that of all others wanting
//! the same large answer at the same moment, over links on which one answer takes a good part of a second.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use shallotlead_base::time::Time;

/// Holders that are remembered: enough that some are free, however many announce themselves.
const MAX_PEERS: usize = 32;
/// Longest wait before the first question, chosen at random: the first instance to announce a version isn't
/// asked by all at once, and those nearby have announced it too by then.
const SPREAD: Duration = Duration::from_millis(60);
/// An instance that watches the store has it from there, some milliseconds later than the others' word.
const WATCHER_WAITS: Duration = Duration::from_millis(200);
/// Longest pause after a holder was busy or failed, chosen at random. Holders let about one answer a tenth
/// of a second go on a link of 10 Mbit/s.
const PAUSE: Duration = Duration::from_millis(100);
/// How long an instance is behind before it reads the store itself. A fleet of 420 with links of 10 Mbit/s
/// needs the holders alone for less than that for a configuration of 300 KB, simulated.
const TO_STORE: Duration = Duration::from_millis(1_200);

/// An instance that has a newer configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Peer {
    /// Where it is asked.
    pub address: SocketAddr,
    /// Its data centre.
    pub centre: Arc<str>,
    /// The version that it has.
    pub version: u64,
}

/// How a question ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// The holder told what it has.
    Received,
    /// Its link is taken up by answers to others.
    Busy,
    /// It couldn't be reached, or its answer was lost.
    Failed,
}

/// What an instance that is behind knows, and whom it asks next.
///
/// Guards against a fleet that asks one and the same instance, which then serves nobody in time. It shows as
/// questions that are given up while that instance's link is full. It holds since each one chooses at random
/// among all that have the version, and each one that gets it becomes a choice for the rest.
#[derive(Debug, Default)]
pub struct Catchup {
    since: Option<Time>,
    peers: Vec<Peer>,
    next: Time,
    is_asking: bool,
    /// The last holder was busy, so that those of other data centres are asked too.
    was_busy: bool,
}

impl Catchup {
    /// Another instance has a configuration that is newer than this one's. Says whether this instance
    /// wasn't behind before. `chance`: any random number.
    pub fn announced(&mut self, now: Time, peer: Peer, is_watcher: bool, chance: u64) -> bool {
        let is_news = self.since.is_none();
        if is_news {
            self.since = Some(now);
            let wait = if is_watcher { WATCHER_WAITS } else { Duration::ZERO };
            self.next = now + wait + part(SPREAD, chance);
        }
        self.remember(peer);
        is_news
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
        // One that has less gives way.
        let oldest = self.peers.iter_mut().min_by_key(|it| it.version);
        if let Some(it) = oldest.filter(|it| it.version < peer.version) {
            *it = peer;
        }
    }

    /// A configuration is in force here.
    pub fn applied(&mut self, version: u64) {
        self.peers.retain(|it| version < it.version);
        if self.peers.is_empty() {
            self.reset();
        }
    }

    /// The store was read: no instance has anything newer than what it said.
    pub fn reset(&mut self) {
        self.peers.clear();
        self.since = None;
        self.was_busy = false;
    }

    /// When the next question is due, if one is.
    pub fn next_due(&self) -> Option<Time> {
        (self.since.is_some() && !self.is_asking && !self.peers.is_empty()).then_some(self.next)
    }

    /// Whether a question is due now.
    pub fn is_due(&self, now: Time) -> bool {
        self.next_due().is_some_and(|it| it <= now)
    }

    /// Whether the holders have failed for so long that the store is to be read.
    pub fn needs_store(&self, now: Time) -> bool {
        self.since.is_some_and(|it| TO_STORE <= now.since(it))
    }

    /// The holder to be asked now: one that has the newest version, of the own data centre `centre` unless
    /// those are busy. `chance`: any random number.
    pub fn next_request(&mut self, now: Time, centre: &str, chance: u64) -> Option<Peer> {
        if !self.is_due(now) {
            return None;
        }
        let newest = self.peers.iter().map(|it| it.version).max()?;
        let current = || self.peers.iter().filter(move |it| it.version == newest);
        let near: Vec<&Peer> = current().filter(|it| *it.centre == *centre).collect();
        let choice = if near.is_empty() || self.was_busy { current().collect() } else { near };
        let peer = choice.get((chance % choice.len().max(1) as u64) as usize).copied().cloned();
        self.is_asking = peer.is_some();
        peer
    }

    /// The question to the holder at `address` has ended. `chance`: any random number.
    pub fn request_finished(
        &mut self,
        now: Time,
        address: SocketAddr,
        answer: Answer,
        chance: u64,
    ) {
        self.is_asking = false;
        self.was_busy = answer == Answer::Busy;
        if answer == Answer::Failed {
            self.peers.retain(|it| it.address != address);
        }
        self.next = now + part(PAUSE, chance);
    }
}

/// A random part of `whole`.
fn part(whole: Duration, chance: u64) -> Duration {
    whole.mul_f64((chance % 1_000) as f64 / 1e3)
}
