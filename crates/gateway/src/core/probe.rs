//! Whether backend servers and the store of cached prompts live.

use std::{net::SocketAddr, time::Duration};

use shallotlead_base::time::Time;

use crate::{
    core::{
        Core,
        errand::{Purpose, Result},
    },
    pool,
};

/// How long a probe of a server may take. A server that lives answers in some milliseconds.
const PROBE: Duration = Duration::from_millis(200);
/// Least time between two probes of a server that is late but not left out.
const LOOK_AGAIN: Duration = Duration::from_millis(400);
/// Pause between two calls to the store of cached prompts. Each call waits for events up to a second.
const CACHE_PAUSE: Duration = Duration::from_millis(250);
/// How long such a call may take: its wait, and a little more.
const CACHE_TIMEOUT: Duration = Duration::from_millis(1_250);
/// How long another instance's word on it counts.
const TOLD: Duration = Duration::from_secs(4);
/// How long the store may take to accept a connection and answer for the first time.
const CACHE_FIRST: Duration = Duration::from_millis(1_250);

/// The store of cached prompts, as this instance sees it.
///
/// Guards against a store that is down: each request that names it as a source would wait some
/// hundred milliseconds for nothing. It shows as first tokens that are all late by that time. It
/// holds since a call is always waiting there, which ends when the store does.
#[derive(Debug, Default)]
pub(crate) struct CacheStore {
    address: Option<SocketAddr>,
    is_alive: bool,
    is_open: bool,
    since: u64,
    next: Time,
    /// What another instance has said last, and when.
    told: Option<(bool, Time)>,
    /// Whether this instance looks itself.
    is_looking: bool,
}

impl CacheStore {
    /// Its address, while it lives.
    pub(crate) fn address(&self, now: Time) -> Option<SocketAddr> {
        let told = self.told.is_some_and(|it| it.0 && now.since(it.1) < TOLD);
        self.address.filter(|_| if self.is_looking { self.is_alive } else { told })
    }

    /// Whether it lives, if this instance looks itself.
    pub(crate) fn seen(&self) -> Option<(SocketAddr, bool)> {
        self.address.filter(|_| self.is_looking).map(|it| (it, self.is_alive))
    }

    /// Another instance that looks itself says whether it lives.
    pub(crate) fn told(&mut self, now: Time, address: SocketAddr, is_alive: bool) {
        if self.address == Some(address) {
            self.told = Some((is_alive, now));
        }
    }
}

impl Core {
    pub(crate) fn tick_probes(&mut self) {
        let now = self.now;
        let address = self.catalog.as_ref().and_then(|it| it.cache_store(&self.settings.centre));
        if self.cache_store.address != address {
            let is_open = self.cache_store.is_open;
            self.cache_store = CacheStore { address, is_open, ..CacheStore::default() };
        }
        self.cache_store.is_looking = self.members.is_looking(now);
        if let Some(address) = address
            && self.cache_store.is_looking
            && !self.cache_store.is_open
            && self.cache_store.next <= now
        {
            self.cache_store.is_open = true;
            let timeout = if self.cache_store.is_alive { CACHE_TIMEOUT } else { CACHE_FIRST };
            let errand = self.dialect.cache_call(self.cache_store.since);
            self.run_errand(address, &errand, timeout, Purpose::CacheStore);
        }
    }

    /// Probes servers that are left out and whose pause is over.
    pub(crate) fn sweep_probes(&mut self) {
        let now = self.now;
        let listed: Vec<pool::Id> = self.pool.listed().map(|it| it.0).collect();
        for id in listed {
            if self.pool.get_mut(id).health.probe(now) {
                self.probe(id);
            }
        }
    }

    /// A server is late with an answer, or another instance says that it is silent.
    pub(crate) fn look_at(&mut self, id: pool::Id) {
        let now = self.now;
        let server = self.pool.get_mut(id);
        if !server.health.is_in() || now.since(server.looked_at) < LOOK_AGAIN {
            return;
        }
        server.looked_at = now;
        self.probe(id);
    }

    fn probe(&mut self, id: pool::Id) {
        let errand = self.dialect.report_call();
        let address = self.pool.get(id).address;
        self.run_errand(address, &errand, PROBE, Purpose::Probe(id));
    }

    pub(crate) fn server_probed(&mut self, id: pool::Id, result: &Result) {
        let is_well = match result {
            // A server that is full breaks connections beyond those that it takes.
            Result::Answered { .. } | Result::Reset => true,
            Result::NotSent => false,
            // Engines answer without a slot. On other servers a probe waits for one like a request,
            // so that silence behind an open connection tells nothing.
            Result::Lost => !self.is_engine(id),
        };
        self.take_report(id, result);
        let server = self.pool.get_mut(id);
        if server.health.is_in() {
            if !is_well {
                self.server_silent(id);
            }
            return;
        }
        if server.health.probed(self.now, is_well) {
            self.journal
                .line(self.now, "server_taken_in")
                .text("server", &self.pool.get(id).name)
                .text("reason", "probe answered");
        }
    }

    fn is_engine(&self, id: pool::Id) -> bool {
        let service = &self.pool.get(id).service;
        let service = self.catalog.as_ref().and_then(|it| it.services.get(service));
        service.is_some_and(|it| it.engine.is_some())
    }

    pub(crate) fn cache_store_answered(&mut self, result: &Result) {
        let now = self.now;
        let next = match result {
            Result::Answered { status: 200, body, .. } => self.dialect.cache_reply(body),
            // Too many instances ask at once: it lives.
            Result::Answered { status: 429, .. } => Some(self.cache_store.since),
            Result::Answered { .. } | Result::NotSent | Result::Reset | Result::Lost => None,
        };
        let store = &mut self.cache_store;
        store.is_open = false;
        store.next = now + CACHE_PAUSE;
        store.since = next.unwrap_or(0);
        let is_alive = next.is_some();
        if store.is_alive != is_alive {
            store.is_alive = is_alive;
            self.journal.line(now, "cache_store").number("is_alive", is_alive);
            self.tell_all();
        }
    }
}
