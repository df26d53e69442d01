//! The backend servers as this instance knows them.

mod health;
mod server;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use shallotlead_base::{
    hash::{Map, Set},
    time::Time,
};

use crate::{
    adapter::{Incarnation, Load, ServerEntry},
    pace::Pace,
    quarantine::Life,
};

pub use health::Health;
pub use server::{Presence, Server, Switch};

/// How long an entry that is missing after an outage of the store is kept: servers write theirs
/// again within about two seconds of its return.
const RETURN: Duration = Duration::from_millis(2_200);

/// Versions of a model's weights that are remembered: servers are a few behind at most.
const NAMED_KEPT: usize = 16;

/// Part of the servers whose entries must lapse together to look like an outage.
const TOGETHER: f64 = 0.25;
/// How long those are kept: servers renew their entries each 1.2 s, and planned departures, which may
/// look the same, must be heeded within two seconds.
const UNNOTICED: Duration = Duration::from_millis(1_600);

/// One life of a server: its place in the pool.
pub type Id = usize;

/// All backend servers that are or were listed.
#[derive(Debug, Default)]
pub struct Pool {
    servers: Vec<Server>,
    names: Map<Arc<str>, Id>,
    /// Until then missing entries may come back.
    lenient_until: Time,
    /// Named weights by model.
    weights: Map<Arc<str>, Named>,
    /// What prompts cost, by service.
    paces: Map<Arc<str>, Pace>,
    /// The services of the configuration, once one is known.
    services: Option<Set<Arc<str>>>,
}

/// The versions of one model's weights that were named, with the times at which this instance learnt
/// of them, oldest first.
#[derive(Clone, Debug, Default)]
pub struct Named(Vec<(u64, Time)>);

impl Named {
    /// The newest version.
    pub fn newest(&self) -> u64 {
        self.0.last().map_or(0, |it| it.0)
    }

    /// Since when `version` has been replaced by a newer one, if it has.
    pub fn replaced_since(&self, version: u64) -> Option<Time> {
        self.0.iter().find(|it| version < it.0).map(|it| it.1)
    }

    /// When the newest version was named.
    pub fn newest_at(&self) -> Time {
        self.0.last().map_or(Time::ZERO, |it| it.1)
    }

    fn push(&mut self, version: u64, at: Time) {
        self.0.push((version, at));
        if NAMED_KEPT < self.0.len() {
            self.0.remove(0);
        }
    }
}

/// What a change of an entry meant.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// The server is new.
    Joined(Id),
    /// The server started again under its name: the first life has ended, the second one is new.
    Reborn(Id, Id),
    /// It began to leave.
    Leaving(Id),
    /// It is gone.
    Gone(Id),
    /// It loaded other weights.
    Loaded(Id),
    /// Nothing that matters.
    None,
}

impl Pool {
    /// The server at `id`.
    pub fn get(&self, id: Id) -> &Server {
        &self.servers[id]
    }

    /// The server at `id`.
    pub fn get_mut(&mut self, id: Id) -> &mut Server {
        &mut self.servers[id]
    }

    /// The newest life of the server `name`.
    pub fn find(&self, name: &str) -> Option<Id> {
        self.names.get(name).copied()
    }

    /// The server that this life is one of.
    pub fn find_by_life(&self, life: Life) -> Option<Id> {
        self.servers.iter().rposition(|it| it.life() == life)
    }

    /// Lives before `id` at the same address: they have ended.
    pub fn earlier_at_address(&self, id: Id) -> impl Iterator<Item = Id> {
        let address = self.servers[id].address;
        let earlier = self.servers[..id].iter().enumerate();
        earlier.filter(move |it| it.1.address == address).map(|it| it.0)
    }

    /// The newest life of the server `name`, if that is the one that was `born` then.
    ///
    /// Guards against news of an earlier life that come late: prompts that were sent to it would count
    /// as cached, and its queue as the new life's. It shows as parts that are read where they were
    /// expected to be cached, right after a restart. It holds since each life has its own time of birth.
    pub fn find_life(&self, name: &str, born: Option<Incarnation>) -> Option<Id> {
        self.find(name).filter(|it| self.servers[*it].born == born)
    }

    /// All servers that are listed, of services that the configuration names.
    pub fn listed(&self) -> impl Iterator<Item = (Id, &Server)> {
        self.present().filter(|it| self.is_named(&it.1.service))
    }

    /// All servers that have an entry, also under a service that nobody knows.
    fn present(&self) -> impl Iterator<Item = (Id, &Server)> {
        self.servers.iter().enumerate().filter(|it| it.1.presence != Presence::Gone)
    }

    /// The services that the configuration names.
    ///
    /// Guards against entries that another writer left in the store: a server of a service that nobody
    /// named would be probed and ordered to load weights, and could claim a live server's address.
    pub fn name_services(&mut self, names: impl Iterator<Item = Arc<str>>) {
        self.services = Some(names.collect());
    }

    fn is_named(&self, service: &str) -> bool {
        self.services.as_ref().is_none_or(|it| it.contains(service))
    }

    /// What prompts cost the engines of `service`.
    pub fn pace(&self, service: &str) -> Pace {
        self.paces.get(service).copied().unwrap_or_default()
    }

    /// The same, to learn.
    pub fn pace_mut(&mut self, service: &Arc<str>) -> &mut Pace {
        self.paces.entry(service.clone()).or_default()
    }

    /// What was learnt of all services.
    pub fn paces(&self) -> impl Iterator<Item = (&Arc<str>, &Pace)> {
        self.paces.iter()
    }

    /// The weights named for `model`.
    pub fn named(&self, model: &str) -> Option<&Named> {
        self.weights.get(model)
    }

    /// All named weights.
    pub fn all_named(&self) -> impl Iterator<Item = (&Arc<str>, &Named)> {
        self.weights.iter()
    }

    /// Weights were named. Says whether that is news; versions only grow.
    ///
    /// `at`: when they were named, as far as known. An instance that starts late must not take them
    /// for new: it would begin requests on weights that were replaced long ago.
    pub fn name_weights(&mut self, at: Time, model: &Arc<str>, version: u64) -> bool {
        let named = self.weights.entry(model.clone()).or_default();
        if let Some(known) = named.0.iter_mut().find(|it| it.0 == version) {
            known.1 = known.1.min(at);
            return false;
        }
        if version <= named.newest() {
            return false;
        }
        named.push(version, at);
        true
    }

    /// The store has been away and is back.
    ///
    /// Guards against forgetting the whole pool: servers that can't renew their entries while the
    /// store is away lapse, and every request would find no server. It shows as a list that is
    /// empty right after an outage. It holds since live servers are back before the time is over.
    pub fn store_returned(&mut self, now: Time) {
        self.lenient_until = now + RETURN;
    }

    /// `gone` entries were removed at once. When many lapse together, the store was probably away
    /// without this instance noticing; they get a little time to come back.
    pub fn lapsed_together(&mut self, now: Time, gone: usize) {
        let listed = self.present().filter(|it| it.1.presence == Presence::Ready).count();
        if 2 <= gone && listed as f64 * TOGETHER <= gone as f64 {
            self.lenient_until = self.lenient_until.max(now + UNNOTICED);
        }
    }

    /// Takes a server's entry.
    pub fn put(&mut self, now: Time, name: &Arc<str>, revision: u64, entry: ServerEntry) -> Change {
        let Some(id) = self.find(name) else {
            return Change::Joined(self.join(name, revision, entry));
        };
        let server = &mut self.servers[id];
        if revision <= server.revision || entry.incarnation < server.born {
            return Change::None;
        }
        if server.born < entry.incarnation {
            server.presence = Presence::Gone;
            return Change::Reborn(id, self.join(name, revision, entry));
        }
        server.revision = revision;
        server.is_missing = false;
        let was = server.presence;
        let loaded = server.take(now, entry);
        match (was, server.presence) {
            (Presence::Ready, Presence::Draining) => Change::Leaving(id),
            (Presence::Gone, Presence::Ready) => Change::Joined(id),
            _ if loaded => Change::Loaded(id),
            _ => Change::None,
        }
    }

    fn join(&mut self, name: &Arc<str>, revision: u64, entry: ServerEntry) -> Id {
        if self.is_named(&entry.service) {
            self.take_over(entry.address);
        }
        let id = self.servers.len();
        self.names.insert(name.clone(), id);
        self.servers.push(Server::new(name.clone(), revision, entry));
        id
    }

    /// A new server has `address`: whoever had it before has ended, though its entry has not lapsed.
    fn take_over(&mut self, address: SocketAddr) {
        let before = self.servers.iter_mut().filter(|it| it.address == address);
        before.for_each(|it| it.presence = Presence::Gone);
    }

    /// A server told its load at `at`.
    pub fn told_load(&mut self, id: Id, at: Time, load: Load) {
        let prompt_ms = self.pace(&self.servers[id].service).waiting();
        self.servers[id].tells(at, load, prompt_ms);
    }

    /// A server's entry was removed at `revision`.
    pub fn remove(&mut self, now: Time, name: &str, revision: u64) -> Change {
        let Some(id) = self.find(name) else { return Change::None };
        let lenient = now < self.lenient_until;
        let server = &mut self.servers[id];
        if server.presence == Presence::Gone || revision < server.revision {
            return Change::None;
        }
        server.revision = revision;
        if lenient && server.presence == Presence::Ready {
            server.is_missing = true;
            return Change::None;
        }
        server.presence = Presence::Gone;
        Change::Gone(id)
    }

    /// A server's entry was overwritten by one that can't be read: it names no server to use, until a
    /// good one follows.
    pub fn unreadable(&mut self, name: &str, revision: u64) -> Change {
        let Some(id) = self.find(name) else { return Change::None };
        let server = &mut self.servers[id];
        if server.presence == Presence::Gone || revision <= server.revision {
            return Change::None;
        }
        server.revision = revision;
        server.presence = Presence::Gone;
        Change::Gone(id)
    }

    /// The server speaks as a life that was `born` then. Says whether it is the life that `id` stands for;
    /// an older one's word comes late, and after a newer one's this life has ended.
    pub fn heard(&mut self, id: Id, born: Option<Incarnation>) -> bool {
        let server = &mut self.servers[id];
        let is_newer = born.is_some() && server.born < born;
        if is_newer && server.born.is_some() {
            server.presence = Presence::Gone;
        }
        born.is_none() || server.born.is_none() || server.born == born
    }

    /// A whole list was read at `revision`: servers that aren't in `names` are missing.
    pub fn retain(&mut self, now: Time, names: &[Arc<str>], revision: u64) -> Vec<Change> {
        let listed: Set<&str> = names.iter().map(|it| &**it).collect();
        let missing = self.present().filter(|it| !listed.contains(&*it.1.name));
        let missing: Vec<Arc<str>> = missing.map(|it| it.1.name.clone()).collect();
        self.lapsed_together(now, missing.len());
        missing.iter().map(|it| self.remove(now, it, revision)).collect()
    }

    /// Servers whose entries stay missing are gone. `is_away`: the store can't be reached.
    pub fn expire(&mut self, now: Time, is_away: bool) -> Vec<Id> {
        if is_away || now < self.lenient_until {
            return Vec::new();
        }
        let mut gone = Vec::new();
        for (id, server) in self.servers.iter_mut().enumerate() {
            if std::mem::take(&mut server.is_missing) {
                server.presence = Presence::Gone;
                gone.push(id);
            }
        }
        gone
    }

    /// Another instance tells that the server was leaving, or gone, at `revision`.
    ///
    /// Guards against a rumour that outlives its cause: a server whose entry lapsed is back under a
    /// newer revision, while others still repeat that it is gone. It shows as servers that are never
    /// used nor loaded again. The check holds since revisions of the store only grow.
    pub fn told_leaving(&mut self, name: &str, revision: u64) -> Change {
        let Some(id) = self.find(name) else { return Change::None };
        let server = &mut self.servers[id];
        if server.presence != Presence::Ready || revision <= server.revision {
            return Change::None;
        }
        server.revision = revision;
        server.presence = Presence::Draining;
        Change::Leaving(id)
    }

    /// Stops using a server whose entry at `revision` is an older word than another instance has.
    pub fn withhold(&mut self, name: &str, revision: u64) -> Option<Id> {
        let id = self.find(name)?;
        let server = &mut self.servers[id];
        if server.presence != Presence::Ready || revision < server.revision {
            return None;
        }
        server.presence = Presence::Draining;
        Some(id)
    }

    /// Another server answers at this one's address: it has ended.
    pub fn replaced(&mut self, id: Id) {
        self.servers[id].presence = Presence::Gone;
    }

    /// The listed servers of `service` at which requests may begin.
    pub fn usable<'a>(&'a self, service: &'a str) -> impl Iterator<Item = (Id, &'a Server)> {
        self.listed()
            .filter(move |it| it.1.presence == Presence::Ready && *it.1.service == *service)
    }
}
