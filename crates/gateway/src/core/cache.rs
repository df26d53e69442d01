//! The stores of cached prompts, as this instance sees them.

#[cfg(test)]
mod tests;

use std::{net::SocketAddr, time::Duration};

use shallotlead_base::{hash, time::Time};

use crate::{
    core::{
        Core,
        control::{Outcome, Purpose},
    },
    rumour::Rumour,
};

/// Pause between two calls to a store. Each call waits for events up to a second.
const PAUSE: Duration = Duration::from_millis(250);
/// How long a call may take: its wait, and a little more.
const TIMEOUT: Duration = Duration::from_millis(1_250);
/// How long another instance's word on a store counts.
const PEER_REPORT_TTL: Duration = Duration::from_secs(4);

/// All stores of cached prompts. Each shared prefix has one of them, so that all of their memory is
/// used and all instances look in the same place.
///
/// Guards against a store that is down: each request that names it as a source would wait some
/// hundred milliseconds for nothing. It shows as first tokens that are all late by that time. It
/// holds since a call is always waiting there, which ends when the store does.
#[derive(Debug, Default)]
pub(crate) struct Stores {
    stores: Vec<Store>,
    /// Whether this instance looks itself; others are told.
    is_polling: bool,
}

#[derive(Debug)]
struct Store {
    address: SocketAddr,
    /// The address as text, for hashing.
    name: String,
    is_alive: bool,
    is_open: bool,
    /// Where the next call goes on.
    since: u64,
    next: Time,
    /// What another instance has said last, and when.
    told: Option<(bool, Time)>,
}

impl Store {
    fn new(address: SocketAddr) -> Self {
        Self {
            address,
            name: address.to_string(),
            is_alive: false,
            is_open: false,
            since: 0,
            next: Time::ZERO,
            told: None,
        }
    }
}

impl Stores {
    /// The store that keeps the prefix `key`, while it lives.
    pub(crate) fn store_for(&self, now: Time, key: u64) -> Option<SocketAddr> {
        let store = self.stores.iter().max_by_key(|it| hash::weight(&it.name, key))?;
        let told = store.told.is_some_and(|it| it.0 && now.since(it.1) < PEER_REPORT_TTL);
        let is_alive = if self.is_polling { store.is_alive } else { told };
        is_alive.then_some(store.address)
    }

    /// Which stores live, if this instance looks itself.
    pub(crate) fn observed(&self) -> Vec<(SocketAddr, bool)> {
        let seen = self.stores.iter().filter(|_| self.is_polling);
        seen.map(|it| (it.address, it.is_alive)).collect()
    }

    /// Another instance that looks itself said at `at` whether a store lives. What comes late doesn't hide what was
    /// said after it.
    pub(crate) fn record_peer_report(&mut self, at: Time, address: SocketAddr, is_alive: bool) {
        if let Some(store) = self.find(address)
            && store.told.is_none_or(|it| it.1 <= at)
        {
            store.told = Some((is_alive, at));
        }
    }

    fn find(&mut self, address: SocketAddr) -> Option<&mut Store> {
        self.stores.iter_mut().find(|it| it.address == address)
    }

    /// Follows the configuration.
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
    pub(crate) fn poll_cache_stores(&mut self) {
        let now = self.now;
        self.cache_stores.is_polling = self.members.is_looking(now);
        if !self.cache_stores.is_polling {
            return;
        }
        let due = self.cache_stores.stores.iter_mut().filter(|it| !it.is_open && it.next <= now);
        let mut calls = Vec::new();
        for store in due {
            store.is_open = true;
            calls.push((store.address, store.since));
        }
        for (address, since) in calls {
            let errand = self.dialect.cache_call(since);
            self.send_control(address, &errand, TIMEOUT, Purpose::CacheStore(address));
        }
    }

    /// Follows the configuration's stores.
    pub(crate) fn update_cache_stores(&mut self) {
        let addresses = self.catalog.as_ref().map(|it| it.cache_stores()).unwrap_or_default();
        self.cache_stores.update(&addresses);
    }

    pub(crate) fn cache_store_answered(&mut self, address: SocketAddr, outcome: &Outcome) {
        let now = self.now;
        let Some(store) = self.cache_stores.find(address) else { return };
        let next = match outcome {
            Outcome::Answered { status: 200, body, .. } => self.dialect.cache_reply(body),
            // Too many instances ask at once: it lives.
            Outcome::Answered { status: 429, .. } => Some(store.since),
            Outcome::Answered { .. }
            | Outcome::NotSent
            | Outcome::Refused
            | Outcome::Reset
            | Outcome::Lost => None,
        };
        store.is_open = false;
        store.next = now + PAUSE;
        store.since = next.unwrap_or(0);
        let is_alive = next.is_some();
        if store.is_alive != is_alive {
            store.is_alive = is_alive;
            self.journal
                .line(now, "cache_store")
                .text("address", &address.to_string())
                .number("is_alive", is_alive);
            self.tell_all(Rumour::CacheStore(address, is_alive));
        }
    }
}
