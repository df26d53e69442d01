//! The backend servers as this instance knows them.

mod availability;
mod backlog;
mod backoff;
mod health;
pub mod pace;
mod server;
mod versions;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use shallotlead_base::{
    hash::{Map, Set},
    time::Time,
};

use crate::{
    adapter::{Incarnation, Load, ServerEntry},
    build,
    cost::Estimate,
    generation,
    quarantine::IncarnationId,
    start_delay::StartDelay,
};

pub use availability::Unavailability;
pub use backlog::{Backlog, Progress};
pub use backoff::Backoff;
pub use health::Health;
pub use pace::Pace;
pub use server::{Presence, Server, Switch};
pub use versions::{Currency, News, Publication, Versions, linked};

/// How long an entry that is missing after an outage of the store is kept: servers write their
/// entries again within about two seconds of the store's recovery. Once it is over, no entry is
/// missing because of that outage.
pub(crate) const RECOVERY_GRACE: Duration = Duration::from_millis(2_200);
/// Shortest outage of the store in which entries expire: servers write them every 1.2 s, and they
/// expire when three have failed to come.
pub(crate) const MIN_OUTAGE: Duration = Duration::from_millis(1_800);

/// Fraction of the servers whose entries must expire together to look like an outage of the store.
const MASS_EXPIRY_FRACTION: f64 = 0.25;
/// How long entries that expired together are kept: servers renew their entries every 1.2 s, and
/// planned shutdowns, which may look the same, must take effect within two seconds.
const MASS_EXPIRY_GRACE: Duration = Duration::from_millis(1_600);

/// How long an incarnation is remembered that is said to drain, and of which no entry is known.
const MAX_DRAINING_AGE: Duration = Duration::from_secs(600);

/// Index in the pool of one incarnation of a server.
pub type Id = usize;

/// All backend servers that are or were registered.
#[derive(Debug, Default)]
pub struct Pool {
    servers: Vec<Server>,
    ids_by_name: Map<Arc<str>, Id>,
    /// Other instances, by name.
    instances: Map<Arc<str>, Id>,
    /// Entries that are removed before then may come back.
    lenient_until: Time,
    /// Published weights by model.
    versions: Map<Arc<str>, Versions>,
    /// Cost of prompts by service.
    costs: Map<Arc<str>, Estimate>,
    /// How long answers to prompts take to generate, by service.
    generations: Map<Arc<str>, generation::Routes>,
    /// How late prompts begin, by service.
    start_delays: Map<Arc<str>, StartDelay>,
    /// Incarnations that drain according to other instances, and whose entries aren't known yet.
    draining: Map<IncarnationId, Time>,
    /// The services of the configuration, once it is known.
    services: Option<Set<Arc<str>>>,
}

/// What a change of an entry meant.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// The server is new, or is back.
    Joined(Id),
    /// The server restarted under its name: the first incarnation has ended, the second one is new.
    Restarted(Id, Id),
    /// The server started draining.
    Leaving(Id),
    /// The server is gone.
    Gone(Id),
    /// The server loaded other weights.
    Loaded(Id),
    /// Nothing relevant changed.
    None,
}

impl Pool {
    /// Number of servers' incarnations that are or were registered.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether none ever was.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// The server at `id`.
    pub fn get(&self, id: Id) -> &Server {
        &self.servers[id]
    }

    /// The server at `id`.
    pub fn get_mut(&mut self, id: Id) -> &mut Server {
        &mut self.servers[id]
    }

    /// The newest incarnation of the server `name`.
    pub fn find(&self, name: &str) -> Option<Id> {
        self.ids_by_name.get(name).copied()
    }

    /// The server with this incarnation.
    pub fn find_by_incarnation_id(&self, incarnation_id: IncarnationId) -> Option<Id> {
        self.servers.iter().rposition(|it| it.incarnation_id() == incarnation_id)
    }

    /// Incarnations before `id` at the same address: they have ended.
    pub fn earlier_at_address(&self, id: Id) -> impl Iterator<Item = Id> {
        let address = self.servers[id].address;
        let earlier = self.servers[..id].iter().enumerate();
        earlier.filter(move |it| it.1.address == address).map(|it| it.0)
    }

    /// Whether a server that has joined after `id` has its address: this one has ended.
    pub fn is_followed(&self, id: Id) -> bool {
        let address = self.servers[id].address;
        let mut later = self.servers[id + 1..].iter();
        later.any(|it| it.address == address && !it.is_instance && self.has_service(&it.service))
    }

    /// The newest incarnation of the server `name`, if it is `incarnation`.
    ///
    /// Guards against late messages about an earlier incarnation: prompts that were sent to it
    /// would count as cached by the new one, and its queue as the new one's. Right after a restart,
    /// parts would be recomputed that were expected to be cached.
    pub fn find_incarnation(&self, name: &str, incarnation: Option<Incarnation>) -> Option<Id> {
        self.find(name).filter(|it| self.servers[*it].incarnation == incarnation)
    }

    /// The instance `name` at `address`, to which requests are handed over. It belongs to no service and is never
    /// listed.
    pub fn instance(&mut self, name: &Arc<str>, address: SocketAddr) -> Id {
        let known = self.instances.get(name).filter(|it| self.servers[**it].address == address);
        if let Some(id) = known {
            return *id;
        }
        let entry = ServerEntry {
            build: None,
            service: Arc::from(""),
            address,
            centre: Arc::from(""),
            is_draining: false,
            models: Vec::new(),
            incarnation: None,
            sequence: 0,
        };
        let id = self.servers.len();
        let mut server = Server::new(name.clone(), 0, entry);
        (server.presence, server.is_instance) = (Presence::Gone, true);
        self.servers.push(server);
        self.instances.insert(name.clone(), id);
        id
    }

    /// All servers that are registered, of services in the configuration.
    pub fn listed(&self) -> impl Iterator<Item = (Id, &Server)> {
        self.registered().filter(|it| self.has_service(&it.1.service))
    }

    /// All servers that have an entry, also of services that aren't configured.
    fn registered(&self) -> impl Iterator<Item = (Id, &Server)> {
        self.servers.iter().enumerate().filter(|it| it.1.presence != Presence::Gone)
    }

    /// Sets the services of the configuration.
    ///
    /// Guards against entries that another writer left in the store: a server of a service that
    /// isn't configured would be probed and ordered to load weights, and could claim a live
    /// server's address.
    pub fn set_services(&mut self, names: impl Iterator<Item = Arc<str>>) {
        self.services = Some(names.collect());
    }

    fn has_service(&self, service: &str) -> bool {
        self.services.as_ref().is_none_or(|it| it.contains(service))
    }

    /// The cost of prompts at the engines of `service`.
    pub fn cost(&self, service: &str) -> Estimate {
        self.costs.get(service).copied().unwrap_or_default()
    }

    /// The cost of prompts at one server now.
    pub fn cost_at(&self, now: Time, id: Id) -> Estimate {
        let server = &self.servers[id];
        self.cost(&server.service).at_pace(server.pace.factor(now))
    }

    /// The cost of a service's prompts, for updates.
    pub fn cost_mut(&mut self, service: &Arc<str>) -> &mut Estimate {
        self.costs.entry(service.clone()).or_default()
    }

    /// How long answers on the routes to `service` take to generate.
    pub fn generations(&self, service: &str) -> Option<&generation::Routes> {
        self.generations.get(service)
    }

    /// The same, for updates.
    pub fn generations_mut(&mut self, service: &Arc<str>) -> &mut generation::Routes {
        self.generations.entry(service.clone()).or_default()
    }

    /// How much later than expected prompts of `service` may begin.
    pub fn start_delay(&self, service: &str) -> Duration {
        self.start_delays.get(service).copied().unwrap_or_default().get()
    }

    /// The same, for updates.
    pub fn start_delay_mut(&mut self, service: &Arc<str>) -> &mut StartDelay {
        self.start_delays.entry(service.clone()).or_default()
    }

    /// The costs of prompts of all services.
    pub fn costs(&self) -> impl Iterator<Item = (&Arc<str>, &Estimate)> {
        self.costs.iter()
    }

    /// The versions of the weights that were published for `model`.
    pub fn weight_versions(&self, model: &str) -> Option<&Versions> {
        self.versions.get(model)
    }

    /// The published versions of all models' weights.
    pub fn all_weight_versions(&self) -> impl Iterator<Item = (&Arc<str>, &Versions)> {
        self.versions.iter()
    }

    /// Records that `version` was published at the time `at`, directly after the newest known one. Returns whether it
    /// is new.
    pub fn add_version(&mut self, at: Time, model: &Arc<str>, version: u64) -> bool {
        let newest = self.weight_versions(model).map_or(0, Versions::newest);
        let replaces = Some(newest).filter(|it| *it < version);
        self.add_publication(model, Publication::new(version, at, replaces)) == News::Newest
    }

    /// Records a publication of weights, in any order.
    pub fn add_publication(&mut self, model: &Arc<str>, publication: Publication) -> News {
        self.versions.entry(model.clone()).or_default().insert(publication)
    }

    /// Records that the store is available again after an outage of this length.
    ///
    /// Guards against dropping the whole pool: the entries of servers that can't renew them during
    /// the outage expire, and no request would find a server right after it. Live servers register
    /// again before the grace period ends. Those whose grace period the outage has interrupted get
    /// it anew.
    pub fn record_store_recovery(&mut self, now: Time, outage: Duration) {
        self.lenient_until = now + RECOVERY_GRACE;
        if outage < MIN_OUTAGE {
            return;
        }
        let lost_at = now - outage;
        let deadlines = self.servers.iter_mut().filter_map(|it| it.missing_until.as_mut());
        for it in deadlines.filter(|it| lost_at < **it) {
            *it = now + RECOVERY_GRACE;
        }
    }

    /// Grants a short grace period to `removed` entries that were removed at once, if they are so
    /// many that the store was probably down without this instance noticing. `is_steady`: it has
    /// answered this instance all along, so that it wasn't.
    pub fn check_mass_expiry(&mut self, now: Time, removed: usize, is_steady: bool) {
        let listed = self.registered().filter(|it| it.1.presence == Presence::Ready).count();
        if !is_steady && 2 <= removed && listed as f64 * MASS_EXPIRY_FRACTION <= removed as f64 {
            self.lenient_until = self.lenient_until.max(now + MASS_EXPIRY_GRACE);
        }
    }

    /// Applies a server's entry.
    pub fn put(&mut self, now: Time, name: &Arc<str>, revision: u64, entry: ServerEntry) -> Change {
        let Some(id) = self.find(name) else {
            return Change::Joined(self.add(name, revision, entry));
        };
        let server = &mut self.servers[id];
        if revision <= server.revision || entry.incarnation < server.incarnation {
            return Change::None;
        }
        // A process keeps its build, so that another one is another incarnation.
        if server.incarnation < entry.incarnation || server.build != entry.build {
            server.presence = Presence::Gone;
            return Change::Restarted(id, self.add(name, revision, entry));
        }
        server.revision = revision;
        server.missing_until = None;
        // It may run under its name again, without a new incarnation where servers report none.
        server.has_ended = false;
        let previous = server.presence;
        let has_loaded = server.apply_entry(now, entry);
        match (previous, server.presence) {
            (Presence::Ready, Presence::Draining) => Change::Leaving(id),
            (Presence::Gone, Presence::Ready) => Change::Joined(id),
            _ if has_loaded => Change::Loaded(id),
            _ => Change::None,
        }
    }

    /// The builds of the service's listed servers, as they are recorded.
    pub fn listed_builds(&self, service: &str) -> Vec<build::Id> {
        let of_service = self.listed().filter(|it| *it.1.service == *service);
        let mut builds: Vec<build::Id> = of_service.map(|it| it.1.recorded_build()).collect();
        builds.sort_unstable();
        builds.dedup();
        builds
    }

    fn add(&mut self, name: &Arc<str>, revision: u64, entry: ServerEntry) -> Id {
        if self.has_service(&entry.service) {
            self.release_address(entry.address);
        }
        let id = self.servers.len();
        self.ids_by_name.insert(name.clone(), id);
        let mut server = Server::new(name.clone(), revision, entry);
        if self.draining.remove(&server.incarnation_id()).is_some() {
            server.has_announced_drain = true;
            server.presence = Presence::Draining;
        }
        self.servers.push(server);
        id
    }

    /// A new server has `address`: any earlier one has ended, though its entry has not expired.
    fn release_address(&mut self, address: SocketAddr) {
        let previous = self.servers.iter_mut().filter(|it| it.address == address);
        previous.for_each(|it| it.presence = Presence::Gone);
    }

    /// Applies a server's load report, made at `at`.
    pub fn update_load(&mut self, id: Id, at: Time, load: Load) {
        let occupancy_ms = self.cost_at(at, id).mean_occupancy_ms();
        self.servers[id].apply_load(at, load, occupancy_ms);
    }

    /// A server's entry was removed at `revision`.
    pub fn remove(&mut self, now: Time, name: &str, revision: u64) -> Change {
        let Some(id) = self.find(name) else { return Change::None };
        let is_lenient = now < self.lenient_until;
        let server = &mut self.servers[id];
        if server.presence == Presence::Gone || revision < server.revision {
            return Change::None;
        }
        server.revision = revision;
        if is_lenient && server.presence == Presence::Ready {
            server.missing_until.get_or_insert(self.lenient_until);
            return Change::None;
        }
        server.presence = Presence::Gone;
        Change::Gone(id)
    }

    /// The server's entry has just been removed: it needs no longer than after a mass expiry to be
    /// back, and a server that leaves must be left in time.
    pub fn limit_grace(&mut self, now: Time, name: &str) {
        let known = self.find(name).and_then(|it| self.servers[it].missing_until.as_mut());
        if let Some(it) = known {
            *it = (*it).min(now + MASS_EXPIRY_GRACE);
        }
    }

    /// A server's entry was overwritten by one that can't be decoded: the server isn't used until a
    /// valid one follows.
    pub fn mark_unreadable(&mut self, name: &str, revision: u64) -> Change {
        let Some(id) = self.find(name) else { return Change::None };
        let server = &mut self.servers[id];
        if server.presence == Presence::Gone || revision <= server.revision {
            return Change::None;
        }
        server.revision = revision;
        server.presence = Presence::Gone;
        Change::Gone(id)
    }

    /// A server reports its incarnation. Returns whether it is the one that `id` stands for; a
    /// report of an older one is late, and one of a newer one ends this one.
    pub fn check_incarnation(&mut self, id: Id, incarnation: Option<Incarnation>) -> bool {
        let server = &mut self.servers[id];
        let is_newer = incarnation.is_some() && server.incarnation < incarnation;
        if is_newer && server.incarnation.is_some() {
            server.presence = Presence::Gone;
        }
        server.may_be(incarnation)
    }

    /// A whole list was read at `revision`: servers that aren't in `names` are missing.
    /// `is_steady`: as for [`Pool::check_mass_expiry`].
    pub fn retain(
        &mut self,
        now: Time,
        names: &[Arc<str>],
        revision: u64,
        is_steady: bool,
    ) -> Vec<Change> {
        let listed: Set<&str> = names.iter().map(|it| &**it).collect();
        let missing = self.registered().filter(|it| !listed.contains(&*it.1.name));
        let missing: Vec<Arc<str>> = missing.map(|it| it.1.name.clone()).collect();
        self.check_mass_expiry(now, missing.len(), is_steady);
        missing.iter().map(|it| self.remove(now, it, revision)).collect()
    }

    /// Removes servers whose entries stay missing. Each has its own time to come back, which no
    /// other removal extends. `is_away`: the store is unavailable.
    pub fn expire(&mut self, now: Time, is_away: bool) -> Vec<Id> {
        if is_away {
            return Vec::new();
        }
        let mut gone = Vec::new();
        for (id, server) in self.servers.iter_mut().enumerate() {
            if server.missing_until.take_if(|it| *it <= now).is_some() {
                server.presence = Presence::Gone;
                gone.push(id);
            }
        }
        gone
    }

    /// Another instance announces that the server was leaving, or gone, at `revision`.
    ///
    /// Guards against updates that outlive their cause: a server whose entry expired is back under
    /// a newer revision, while other instances still repeat that it is gone. It would never be used
    /// nor ordered to load weights again. Revisions of the store only grow, so that older ones are
    /// ignored.
    pub fn mark_leaving(&mut self, name: &str, revision: u64) -> Change {
        let Some(id) = self.find(name) else { return Change::None };
        let server = &mut self.servers[id];
        // A missing one is kept in doubt, which the other instance hasn't: the store has answered that one for longer.
        let is_news = server.revision < revision
            || server.missing_until.is_some() && server.revision == revision;
        if server.presence != Presence::Ready || !is_news {
            return Change::None;
        }
        server.revision = revision;
        server.presence = Presence::Draining;
        Change::Leaving(id)
    }

    /// A server has said that it drains. This is final for its incarnation, whatever its entry says.
    pub fn mark_draining(&mut self, id: Id) -> Change {
        let server = &mut self.servers[id];
        if std::mem::replace(&mut server.has_announced_drain, true)
            || server.presence == Presence::Gone
        {
            return Change::None;
        }
        server.presence = Presence::Draining;
        Change::Leaving(id)
    }

    /// Another instance announces that an incarnation has said that it drains.
    pub fn mark_incarnation_draining(
        &mut self,
        now: Time,
        incarnation_id: IncarnationId,
    ) -> Change {
        match self.find_by_incarnation_id(incarnation_id) {
            Some(id) => self.mark_draining(id),
            None => {
                self.draining.retain(|_, at| now.since(*at) < MAX_DRAINING_AGE);
                self.draining.insert(incarnation_id, now);
                Change::None
            }
        }
    }

    /// The registered incarnations that have said that they drain.
    pub fn announced_draining(&self) -> impl Iterator<Item = IncarnationId> {
        self.registered().filter(|it| it.1.has_announced_drain).map(|it| it.1.incarnation_id())
    }

    /// Stops using a server whose entry at `revision` is older than what another instance knows.
    pub fn stop_using(&mut self, name: &str, revision: u64) -> Option<Id> {
        let id = self.find(name)?;
        let server = &mut self.servers[id];
        if server.presence != Presence::Ready || revision < server.revision {
            return None;
        }
        server.presence = Presence::Draining;
        Some(id)
    }

    /// Another server responds at this one's address: this one has ended.
    pub fn mark_replaced(&mut self, id: Id) {
        self.servers[id].presence = Presence::Gone;
    }

    /// Whether the service has servers, all of which are draining.
    pub fn all_drain(&self, service: &str) -> bool {
        let mut servers = self.listed().filter(|it| *it.1.service == *service).peekable();
        servers.peek().is_some() && servers.all(|it| it.1.presence == Presence::Draining)
    }

    /// When the first of `service`'s servers wants requests again, if all that take new ones are backed off. `build`:
    /// only servers of this build count.
    pub fn backed_off_until(
        &self,
        now: Time,
        service: &str,
        build: Option<build::Id>,
    ) -> Option<Time> {
        let suitable = self.usable(service).filter(|it| build.is_none_or(|id| id == it.1.build_id));
        let ends: Option<Vec<Time>> = suitable.map(|it| it.1.backoff.ends_at(now)).collect();
        ends?.into_iter().min()
    }

    /// The registered servers of `service` that take new requests.
    pub fn usable<'a>(&'a self, service: &'a str) -> impl Iterator<Item = (Id, &'a Server)> {
        self.listed()
            .filter(move |it| it.1.presence == Presence::Ready && *it.1.service == *service)
    }
}
