//! The machines of a deployment and what runs on them.

use std::{
    cell::Cell,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use shallotlead_base::time::Time;
use shallotlead_gateway::{
    budget,
    clock::ORIGIN,
    quarantine,
    settings::{Listen, Settings},
};

use crate::{
    backend::{
        Backend, Identity, Power,
        registration::{self, Registration},
    },
    caller::{Callers, Traffic},
    clock::{Clock, Machine},
    fault::Target,
    format::{self, Configuration, names},
    instance::Instance,
    journal::Journal,
    ledger::{Kind, Ledger, MAX_STALE_WEIGHTS},
    network::{Handle, Host, Links, Network, Quality, Shared},
    process::{Next, Process},
    scenario::{MODEL, Scenario},
    store::{Objects, Store},
};

/// How long the store takes for a call.
const STORE_LATENCY: Duration = Duration::from_millis(5);
/// The links between machines of one data centre.
const LINKS: Quality = Quality {
    delay: Duration::from_micros(200),
    jitter: Duration::from_micros(100),
    bytes_per_s: 12_500_000.0,
};
const CENTRE: &str = "a";
/// When the first requests are sent, after the start.
const FIRST_REQUEST: Duration = Duration::from_secs(3);

/// What a machine is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Role {
    Part(Target),
    Callers,
}

/// All machines.
pub(super) struct Deployment {
    pub(super) network: Shared,
    pub(super) loss: f64,
    scenario: Scenario,
    clock: Clock,
    rng: SmallRng,
    journal: Journal,
    ledger: Ledger,
    objects: Objects,
    store_latency: Rc<Cell<Duration>>,
    roles: Vec<Role>,
    configuration: Configuration,
    weights: u64,
    /// The backend servers, by machine.
    servers: Vec<Option<registration::Shared>>,
    /// By how much each machine's wall clock is ahead, ms.
    ahead_ms: Vec<Rc<Cell<i64>>>,
}

impl Deployment {
    pub(super) fn open(scenario: &Scenario, clock: Clock) -> (Self, Ledger) {
        let mut rng = SmallRng::seed_from_u64(scenario.seed);
        let mut links = Links::new(LINKS);
        links.loss = scenario.loss;
        let network = Network::open(clock.clone(), rng.random(), links);
        let instances = (0..scenario.instances).map(Target::Instance);
        let engines = (0..scenario.engines).map(Target::Engine);
        let plain = (0..scenario.plain).map(Target::Plain);
        let parts = [Target::Store].into_iter().chain(instances).chain(engines).chain(plain);
        let mut roles: Vec<Role> = parts.map(Role::Part).collect();
        roles.push(Role::Callers);
        for host in 0..roles.len() {
            network.borrow_mut().add_host(ip(host));
        }
        let journal = Journal::default();
        let ledger = Ledger::new(journal.clone());
        let servers = vec![None; roles.len()];
        let ahead_ms = (0..roles.len()).map(|it| Rc::new(Cell::new(7 * it as i64))).collect();
        let deployment = Self {
            objects: Objects::new(network.clone(), 0),
            network,
            loss: scenario.loss,
            scenario: scenario.clone(),
            clock,
            rng,
            journal,
            ledger: ledger.clone(),
            store_latency: Rc::new(Cell::new(STORE_LATENCY)),
            roles,
            configuration: configuration(scenario),
            weights: 1,
            servers,
            ahead_ms,
        };
        deployment.write_configuration();
        deployment.write_weights();
        (deployment, ledger)
    }

    /// Number of machines.
    pub(super) fn hosts(&self) -> usize {
        self.roles.len()
    }

    pub(super) fn ip(&self, host: Host) -> IpAddr {
        ip(host)
    }

    /// The machine of a part.
    pub(super) fn host(&self, target: Target) -> Host {
        self.roles.iter().position(|it| *it == Role::Part(target)).unwrap_or_default()
    }

    /// Starts the process of a machine.
    pub(super) fn spawn(&mut self, host: Host, now: Time) -> Box<dyn Process> {
        let handle = Handle { network: self.network.clone(), host };
        let seed = self.rng.random();
        match self.roles[host] {
            Role::Callers => {
                let end = ORIGIN + self.scenario.duration;
                let Scenario { requests_per_s, prefixes, patience, .. } = self.scenario;
                let traffic = Traffic::new(
                    self.rng.random(),
                    requests_per_s,
                    prefixes,
                    now + FIRST_REQUEST,
                    end,
                );
                let instances = (0..self.scenario.instances).map(Target::Instance);
                let instances = instances.map(|it| listen(self.host(it)).callers).collect();
                Box::new(Callers::open(
                    handle,
                    instances,
                    traffic,
                    patience,
                    self.ledger.clone(),
                    seed,
                ))
            }
            Role::Part(Target::Store) => {
                let latency = self.store_latency.clone();
                let address = store_address();
                let (objects, journal) = (self.objects.clone(), self.ledger.journal.clone());
                Box::new(Store::listen(handle, address, objects, latency, journal))
            }
            Role::Part(Target::Instance(_)) => self.spawn_instance(handle, seed),
            Role::Part(target @ Target::Engine(_)) => {
                let model = Some((Arc::from(MODEL), self.weights));
                self.spawn_server(handle, seed, target, Kind::Stream, model)
            }
            Role::Part(target @ Target::Plain(_)) => {
                self.spawn_server(handle, seed, target, Kind::Once, None)
            }
        }
    }

    fn spawn_instance(&self, handle: Handle, seed: u64) -> Box<dyn Process> {
        let host = handle.host;
        let machine = Machine {
            clock: self.clock.clone(),
            uptime: Duration::from_secs(1_000 * host as u64),
            ahead_ms: self.ahead_ms[host].clone(),
        };
        let settings = settings(host, self.host(Target::Instance(0)), self.scenario.retries);
        match Instance::open(settings, machine, handle, self.journal.clone(), seed) {
            Ok(it) => Box::new(it),
            Err(_) => Box::new(Nothing),
        }
    }

    fn spawn_server(
        &mut self,
        handle: Handle,
        seed: u64,
        target: Target,
        kind: Kind,
        model: Option<(Arc<str>, u64)>,
    ) -> Box<dyn Process> {
        let identity = Identity {
            name: Arc::from(target.server_name().unwrap_or_default()),
            service: Arc::from(kind.service()),
            address: SocketAddr::new(ip(handle.host), 80),
            incarnation: self.clock.now().as_millis(),
            model,
        };
        let registration = Registration::open(identity, CENTRE, self.objects.clone());
        let power: Power = self.scenario.power;
        self.servers[handle.host] = Some(registration.clone());
        Box::new(Backend::listen(handle, registration, power, self.ledger.clone(), seed))
    }

    /// Announces that a backend server leaves.
    pub(super) fn drain(&self, host: Host) {
        if let Some(it) = &self.servers[host] {
            it.borrow_mut().drain();
        }
    }

    /// Makes a backend server's entry unreadable, or readable again.
    pub(super) fn damage_entry(&self, host: Host, is_damaged: bool) {
        match &self.servers[host] {
            Some(it) if is_damaged => it.borrow().damage(),
            Some(it) => it.borrow_mut().write(),
            None => {}
        }
    }

    /// Sets a machine's wall clock forward or back.
    pub(super) fn step_clock(&self, host: Host, by_ms: i64) {
        let ahead = &self.ahead_ms[host];
        ahead.set(ahead.get() + by_ms);
    }

    /// Sets the time that the store's calls take; the usual one if there is none.
    pub(super) fn slow_store(&self, latency: Option<Duration>) {
        self.store_latency.set(latency.unwrap_or(STORE_LATENCY));
    }

    pub(super) fn publish_configuration(&mut self) {
        self.configuration.version += 1;
        self.write_configuration();
    }

    pub(super) fn publish_weights(&mut self) {
        self.weights += 1;
        self.write_weights();
    }

    fn write_configuration(&self) {
        let value = serde_json::to_vec(&self.configuration).unwrap_or_default();
        self.objects.put(names::CONFIGURATION, names::CONFIGURATION_NAME, value);
    }

    fn write_weights(&self) {
        self.ledger.published(self.clock.now());
        let weights = format::Weights { model: Arc::from(MODEL), version: self.weights };
        let value = serde_json::to_vec(&weights).unwrap_or_default();
        self.objects.put(names::PUBLISHED_WEIGHTS, MODEL, value);
    }
}

/// A process that couldn't be started.
struct Nothing;

impl Process for Nothing {
    fn turn(&mut self, _now: Time) -> Next {
        Next::Ended
    }
}

fn ip(host: Host) -> IpAddr {
    let [high, low] = (host as u16 + 1).to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(10, 0, high, low))
}

fn store_address() -> SocketAddr {
    SocketAddr::new(ip(0), 80)
}

fn listen(host: Host) -> Listen {
    let at = |port| SocketAddr::new(ip(host), port);
    Listen {
        callers: at(8_081),
        ready: at(8_082),
        directory: at(8_083),
        peers: at(8_084),
        metrics: at(8_085),
    }
}

fn settings(host: Host, seed: Host, retries: budget::Policy) -> Settings {
    let listen = listen(host);
    Settings {
        name: Arc::from(format!("i{host}")),
        centre: Arc::from(CENTRE),
        listen,
        store: store_address(),
        store_calls_per_s: (2_000.0, 400.0),
        seeds: if host == seed { Vec::new() } else { vec![self::listen(seed).peers] },
        advertised: listen.peers,
        link_bytes_per_s: LINKS.bytes_per_s,
        directory_ttl: Duration::from_secs(2),
        retries,
        quota_window: Duration::from_secs(10),
        order_gap: Duration::from_millis(300),
        max_stale_weights: MAX_STALE_WEIGHTS,
        quarantine: quarantine::Policy { crash_threshold: 3, retention: Duration::from_secs(600) },
        shutdown_grace: Duration::from_secs(10),
        memory_bytes: 110_000_000,
        max_descriptors: 4_100,
        log_lines_per_s: 400,
    }
}

fn configuration(scenario: &Scenario) -> Configuration {
    let route = |kind: Kind| format::Route {
        name: Arc::from(kind.route()),
        service: Arc::from(kind.service()),
        is_repeatable: kind.is_repeatable(),
        is_stream: kind.is_stream(),
        timeout_ms: if kind.is_stream() { 15_000 } else { 4_000 },
        target_ms: 500,
        max_attempts: 2,
    };
    let service = |kind: Kind, capacity_tokens| format::Service {
        name: Arc::from(kind.service()),
        max_connections: 200,
        capacity_tokens,
    };
    Configuration {
        version: 1,
        quota_per_s: scenario.quota_per_s,
        routes: Kind::ALL.into_iter().map(route).collect(),
        services: vec![
            service(Kind::Stream, Some(scenario.power.capacity_tokens)),
            service(Kind::Once, None),
        ],
    }
}
