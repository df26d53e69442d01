//! Health of the stores of cached prompts, as seen by this instance.

#[cfg(test)]
mod tests;

use std::{net::SocketAddr, time::Duration};

use shallotlead_base::{hash, time::Time};

use crate::{
    broadcast::Update,
    core::{
        Core,
        control::{Outcome, Purpose},
    },
};

/// Pause between two calls to a store. Each call is a long poll of up to a second.
const CALL_PAUSE: Duration = Duration::from_millis(250);
/// Time limit of a call: its long poll, and a little more.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_250);
/// How long another instance's report on a store is valid.
const PEER_REPORT_TTL: Duration = Duration::from_secs(4);

/// All stores of cached prompts. Each shared prefix is assigned to one of them by rendezvous hashing, so that
/// the memory of all stores is used and all instances choose the same one.
///
/// A store that is down must not be used: each request with it as a source would wait some hundred
/// milliseconds in vain, and all first tokens would be late by that time. Since a long poll is open at the store
/// nearly all the time, its end is noticed at once.
#[derive(Debug, Default)]
pub(crate) struct Stores {
    stores: Vec<Store>,
    /// Whether this instance polls the stores itself; the others rely on its reports.
    is_polling: bool,
}

#[derive(Debug)]
struct Store {
    address: SocketAddr,
    /// The address as text, for hashing.
    name: String,
    is_alive: bool,
    /// Whether a call is in progress.
    has_open_call: bool,
    /// Number of the event from which the next call continues.
    next_event: u64,
    /// When the next call is due.
    next_call: Time,
    /// Whether the store is alive according to another instance's last report, and when it was made.
    peer_report: Option<(bool, Time)>,
}

impl Store {
    fn new(address: SocketAddr) -> Self {
        Self {
            address,
            name: address.to_string(),
            is_alive: false,
            has_open_call: false,
            next_event: 0,
            next_call: Time::ZERO,
            peer_report: None,
        }
    }
}

impl Stores {
    /// The store of the prefix `key`, if it is alive.
    pub(crate) fn store_for(&self, now: Time, key: u64) -> Option<SocketAddr> {
        let store = self.stores.iter().max_by_key(|it| hash::weight(&it.name, key))?;
        let is_reported_alive =
            store.peer_report.is_some_and(|it| it.0 && now.since(it.1) < PEER_REPORT_TTL);
        let is_alive = if self.is_polling { store.is_alive } else { is_reported_alive };
        is_alive.then_some(store.address)
    }

    /// Whether each store is alive; empty if this instance doesn't poll them itself.
    pub(crate) fn observed(&self) -> Vec<(SocketAddr, bool)> {
        let observed = self.stores.iter().filter(|_| self.is_polling);
        observed.map(|it| (it.address, it.is_alive)).collect()
    }

    /// Records another instance's report, made at `at`, on whether a store is alive. A report that arrives late
    /// doesn't replace a newer one.
    pub(crate) fn record_peer_report(&mut self, at: Time, address: SocketAddr, is_alive: bool) {
        if let Some(store) = self.find(address)
            && store.peer_report.is_none_or(|it| it.1 <= at)
        {
            store.peer_report = Some((is_alive, at));
        }
    }

    fn find(&mut self, address: SocketAddr) -> Option<&mut Store> {
        self.stores.iter_mut().find(|it| it.address == address)
    }

    /// Adds and removes stores according to the configuration.
    fn update(&mut self, addresses: &[SocketAddr]) {
        self.stores.retain(|it| addresses.contains(&it.address));
        for address in addresses {
            if self.find(*address).is_none() {
                self.stores.push(Store::new(*address));
            }
        }
    }
}

impl Core {
    /// Calls the stores for which a call is due, if this instance polls them.
    pub(crate) fn poll_cache_stores(&mut self) {
        let now = self.now;
        self.cache_stores.is_polling = self.members.is_cache_store_prober(now);
        if !self.cache_stores.is_polling {
            return;
        }
        let due = self
            .cache_stores
            .stores
            .iter_mut()
            .filter(|it| !it.has_open_call && it.next_call <= now);
        let mut calls = Vec::new();
        for store in due {
            store.has_open_call = true;
            calls.push((store.address, store.next_event));
        }
        for (address, next_event) in calls {
            let request = self.adapter.cache_events_request(next_event);
            self.send_control(address, &request, CALL_TIMEOUT, Purpose::CacheStore(address));
        }
    }

    /// Takes over the stores of the configuration in force.
    pub(crate) fn update_cache_stores(&mut self) {
        let addresses = self.config.as_ref().map(|it| it.cache_stores()).unwrap_or_default();
        self.cache_stores.update(&addresses);
    }

    /// Handles the outcome of a call, and announces whether the store is alive if that changed.
    pub(crate) fn handle_cache_store_reply(&mut self, address: SocketAddr, outcome: &Outcome) {
        let now = self.now;
        let Some(store) = self.cache_stores.find(address) else { return };
        let next_event = match outcome {
            Outcome::Answered { status: 200, body, .. } => self.adapter.parse_cache_events(body),
            // The store limits concurrent calls, so it is alive.
            Outcome::Answered { status: 429, .. } => Some(store.next_event),
            Outcome::Answered { .. }
            | Outcome::NotSent
            | Outcome::Refused
            | Outcome::Reset
            | Outcome::TooLong
            | Outcome::Lost => None,
        };
        store.has_open_call = false;
        store.next_call = now + CALL_PAUSE;
        store.next_event = next_event.unwrap_or(0);
        let is_alive = next_event.is_some();
        if store.is_alive != is_alive {
            store.is_alive = is_alive;
            self.log
                .line(now, "cache_store")
                .text("address", &address.to_string())
                .number("is_alive", is_alive);
            self.broadcast(Update::CacheStore(address, is_alive));
        }
    }
}
