//! The instance's event loop: one thread that owns all connections and all state.

mod alternative;
mod answer;
mod attempt;
mod backend;
mod build;
mod cache;
mod caller;
mod check;
mod copy;
mod dispatch;
mod ejection;
mod ingest;
mod ending;
mod control;
mod exchange;
mod endpoints;
mod failure;
mod handover;
mod hedge;
mod idle;
mod migration;
mod peers;
mod probe;
mod quarantine;
mod quota;
mod rate_limit;
mod reach;
mod refusal;
mod removal;
mod reply;
mod retry;
mod retry_budget;
mod rollout;
mod services;
mod shedding;
mod shutdown;
mod signals;
mod stall;
mod staleness;
mod standby;
mod state;
mod stats;
mod storage;
mod time_limit;
mod tolerance;
mod unframed;
mod weights;

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    io,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use exchange::Exchange;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use shallotlead_base::{hash::Map, time::Time};
use slab::Slab;
use stats::Stats;

use crate::{
    adapter::Adapter,
    answer_time,
    budget::Budget,
    build::{Lifetime, Streams},
    clock::Clock,
    config::{Config, Service},
    gossip::{Member, Members},
    host::Host,
    json_log::Log,
    lease::Lease,
    limits, memory,
    net::{Endpoint, Event, Key, Net},
    placement::PrefixIndex,
    pool::{self, Pool},
    quarantine::Quarantine,
    quota::Account,
    rate_limit::Unsettled,
    reach::Reach,
    rollout::Rollout,
    settings::Settings,
    shutdown::Shutdown,
    uplink::Uplink,
};

pub(crate) use shutdown::Signals;

/// Longest wait in one poll of the sockets.
const MAX_POLL_WAIT: Duration = Duration::from_millis(250);
/// A longer pause of the process makes what it reads next no proof that the sender lives on.
const MAX_PAUSE: Duration = Duration::from_millis(500);
/// Interval between sweeps over idle connections and the other periodic checks.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Time that the log's writer thread gets for the last lines.
const LOG_FLUSH_TIME: Duration = Duration::from_millis(20);
/// Name of the lease whose holder has the servers load weights.
const LEASE_NAME: &str = "weights";

/// What a connection is used for.
pub(crate) enum Role {
    /// From a caller.
    Caller(caller::Caller),
    /// To a backend server, for callers' requests.
    Backend(backend::Backend),
    /// To the store, a backend server or another instance, for control requests.
    Control(control::Connection),
    /// From a client of one of the instance's own endpoints.
    Endpoint(endpoints::Client),
}

/// Work that is due at a point in time.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Timer {
    /// A time limit of the exchange at this index. The serial number tells it apart from later
    /// exchanges at the same index.
    Exchange(usize, u64),
    /// A time limit of the control request at this index, with its serial number.
    Control(usize, u64),
    /// A liveness check of a server that lost its runs.
    Liveness(pool::Id),
    /// A check of a server whose entry was removed while it didn't respond.
    Removal(pool::Id),
    /// A check of a server for answers that ended with their connections.
    UnframedEnd(pool::Id),
    /// A report to the other instances of the requests that ran at a server when it crashed.
    CrashReport(pool::Id),
    /// Reports of what became of requests to servers at risk.
    Settlement,
    /// The end of the requests that are left in a shutdown.
    RequestsEnd,
    /// The exit of the process after a shutdown.
    Exit,
}

/// The state of one instance.
pub(crate) struct Core {
    settings: Settings,
    adapter: Box<dyn Adapter>,
    clock: Rc<dyn Clock>,
    net: Net,
    /// Empty; keeps its capacity between turns.
    events: Vec<Event>,
    roles: Map<Key, Role>,
    /// Callers' connections that were answered and have further input to be read in this turn.
    answered_callers: Vec<Key>,
    /// Callers' connections whose input is dropped, in the order in which that began, and others that are gone.
    dropping: VecDeque<Key>,
    /// Listening sockets for callers; closed during shutdown.
    listeners: Vec<Key>,
    now: Time,
    /// When the process started.
    started: Time,
    /// Upper bound of the time that datagrams read in this turn of the loop waited in the socket's buffer,
    /// for example while the process was paused.
    receive_delay: Duration,
    rng: SmallRng,
    timers: BinaryHeap<Reverse<(Time, Timer)>>,
    exchanges: Slab<Exchange>,
    next_serial: u64,
    control_requests: Slab<control::Request>,
    config: Option<Arc<Config>>,
    /// Services that the configuration in force lacks and requests in progress still use.
    removed_services: Map<Arc<str>, Service>,
    /// The limits on callers' requests.
    limits: limits::History,
    /// What is held for callers and peers.
    memory: memory::Account,
    /// Requests that were refused since the last sweep, as there was no memory for them.
    memory_refusals: u32,
    /// Connections that were shed since the last sweep, as memory was short.
    memory_sheds: u32,
    /// When connections may be looked through again for some to shed, as memory is short.
    next_memory_search: Time,
    /// The same, as descriptors are short.
    next_connection_search: Time,
    pool: Pool,
    prefixes: PrefixIndex,
    cache_stores: cache::Stores,
    quarantine: Quarantine,
    /// Reach of the servers, by service.
    reach: Map<Arc<str>, Reach>,
    /// The builds that began streams, which callers may take up.
    streams: Streams,
    stream_lifetime: Lifetime,
    /// Requests that were sent with permits to servers at risk from rejections.
    unsettled: Unsettled,
    budget: Budget,
    /// Quotas by organisation.
    quotas: Map<Arc<str>, Account>,
    storage: storage::Storage,
    members: Members,
    peers: peers::Peers,
    lease: Lease,
    /// Whether this instance leaves the lease to others, as it can't order servers.
    stands_back: bool,
    rollout: Rollout,
    log: Log,
    stats: Stats,
    signals: Signals,
    /// Publications of each model's weights in the lease record, oldest first; each one replaced the one before.
    recorded_weights: Map<Arc<str>, Vec<(u64, Time)>>,
    /// Whether publications of weights were applied since they were last handed to the lease.
    has_new_publications: bool,
    /// The graceful shutdown, once it has begun.
    shutdown: Option<Shutdown>,
    /// How long the answers of each route took lately.
    answer_times: answer_time::History,
    /// When the last sweep ran.
    last_sweep: Time,
    /// Limits how much of the link long answers to other instances use.
    uplink: Uplink,
}

/// A wait for events.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Wait {
    /// When it began.
    began: Time,
    /// Time until the next work is due.
    pub(crate) timeout: Duration,
}

/// Runs the event loop until the instance has shut down.
///
/// # Errors
///
/// When polling the sockets fails.
pub(crate) fn run(mut core: Core) -> io::Result<()> {
    core.log_start();
    while !core.has_finished() {
        let wait = core.begin_wait();
        core.turn(wait)?;
    }
    core.log_stop();
    // The log's writer thread needs some time for the last lines.
    std::thread::sleep(LOG_FLUSH_TIME);
    Ok(())
}

impl Core {
    /// Binds all addresses and builds the initial state.
    ///
    /// # Errors
    ///
    /// When an address can't be bound.
    pub(crate) fn bind(
        settings: Settings,
        adapter: Box<dyn Adapter>,
        signals: Signals,
        host: Host,
    ) -> io::Result<Self> {
        let Host { clock, network, log, metrics, seed } = host;
        let now = clock.now();
        let listen = settings.listen;
        let memory = memory::Account::new(settings.memory_bytes);
        let mut net = Net::new(network, memory.clone(), settings.max_descriptors);
        let endpoints = [
            (listen.callers, Endpoint::Callers),
            (listen.ready, Endpoint::Ready),
            (listen.directory, Endpoint::Directory),
            (listen.peers, Endpoint::Peers),
            (listen.metrics, Endpoint::Metrics),
        ];
        let mut listeners = Vec::new();
        for (address, endpoint) in endpoints {
            let with_address =
                |err: io::Error| io::Error::new(err.kind(), format!("{address}: {err}"));
            let key = net.listen(address, endpoint).map_err(with_address)?;
            if endpoint == Endpoint::Callers {
                listeners.push(key);
            }
        }
        net.bind_datagrams(listen.peers)?;
        // The start time in microseconds tells the incarnations of one instance apart.
        let incarnation = clock.unix_time().as_micros() as u64;
        let me = Member {
            name: settings.name.clone(),
            incarnation,
            beat: 0,
            centre: settings.centre.clone(),
            callers: listen.callers,
            peers: settings.advertised,
            is_ready: false,
            is_leaving: false,
            is_watching: true,
            is_away: false,
        };
        let holder = Arc::from(format!("{}#{incarnation}", settings.name));
        Ok(Self {
            budget: Budget::new(settings.retries),
            quotas: Map::default(),
            storage: storage::Storage::new(&settings, &*adapter, seed, now),
            log: Log::new(&settings.name, settings.log_lines_per_s, clock.clone(), log),
            lease: Lease::new(LEASE_NAME, holder, settings.order_gap),
            stands_back: false,
            members: Members::new(me),
            peers: peers::Peers::default(),
            stats: Stats::open(metrics),
            adapter,
            clock,
            net,
            events: Vec::new(),
            roles: Map::default(),
            answered_callers: Vec::new(),
            dropping: VecDeque::new(),
            listeners,
            now,
            started: now,
            receive_delay: Duration::ZERO,
            rng: SmallRng::seed_from_u64(seed),
            timers: BinaryHeap::new(),
            exchanges: Slab::new(),
            next_serial: 0,
            control_requests: Slab::new(),
            config: None,
            removed_services: Map::default(),
            limits: limits::History::default(),
            memory,
            memory_refusals: 0,
            memory_sheds: 0,
            next_memory_search: now,
            next_connection_search: now,
            pool: Pool::default(),
            prefixes: PrefixIndex::default(),
            cache_stores: cache::Stores::default(),
            quarantine: Quarantine::new(settings.quarantine),
            reach: Map::default(),
            streams: Streams::default(),
            stream_lifetime: Lifetime::default(),
            unsettled: Unsettled::default(),
            rollout: Rollout::default(),
            signals,
            shutdown: None,
            answer_times: answer_time::History::default(),
            last_sweep: now,
            recorded_weights: Map::default(),
            has_new_publications: false,
            uplink: Uplink::new(settings.link_bytes_per_s),
            settings,
        })
    }

    /// Begins to wait for events.
    pub(crate) fn begin_wait(&mut self) -> Wait {
        Wait { timeout: self.poll_timeout(), began: self.clock.now() }
    }

    /// Waits for events, and handles them and what is due.
    ///
    /// # Errors
    ///
    /// When polling the sockets fails.
    pub(crate) fn turn(&mut self, wait: Wait) -> io::Result<()> {
        let mut events = std::mem::take(&mut self.events);
        self.net.poll(wait.timeout, &mut events)?;
        let now = self.clock.now();
        // A datagram that arrives during the poll ends it at once, so that the poll's timeout doesn't count.
        self.receive_delay =
            wait.began.since(self.now) + now.since(wait.began).saturating_sub(wait.timeout);
        if MAX_POLL_WAIT + MAX_PAUSE < now.since(self.now) {
            self.quarantine.discard_starts();
        }
        self.now = now;
        for event in events.drain(..) {
            self.handle_event(event);
        }
        self.events = events;
        self.read_answered_callers();
        self.tick();
        self.read_answered_callers();
        self.shed_connections();
        self.shed_memory();
        Ok(())
    }

    /// Writes the last lines of the log.
    pub(crate) fn log_stop(&mut self) {
        self.log_traffic(true);
        self.log.line(self.now, "stop").number("open_requests", self.exchanges.len());
        self.log.flush(self.now, true);
    }

    pub(crate) fn log_start(&mut self) {
        let Settings { name, centre, listen, store, .. } = &self.settings;
        self.log
            .line(self.now, "start")
            .text("version", env!("CARGO_PKG_VERSION"))
            .text("name", name)
            .text("data_centre", centre)
            .text("callers", &listen.callers.to_string())
            .text("store", &store.to_string());
    }

    /// Dispatches an event of a socket to the handler for the connection's role.
    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Accepted(key, endpoint) => self.on_accepted(key, endpoint),
            Event::Readable(key) => self.on_readable(key),
            Event::Flushed(key) => self.on_flushed(key),
            Event::PeerClosed(key) => self.on_ended(key, None),
            Event::Failed(key, kind) => self.on_ended(key, Some(kind)),
            Event::Datagram(bytes) => self.handle_datagram(&bytes, self.receive_delay),
        }
    }

    fn on_accepted(&mut self, key: Key, endpoint: Endpoint) {
        let role = match endpoint {
            Endpoint::Callers => Role::Caller(caller::Caller::new(self.now)),
            endpoint => Role::Endpoint(endpoints::Client { endpoint, since: self.now }),
        };
        self.roles.insert(key, role);
    }

    fn on_readable(&mut self, key: Key) {
        match self.roles.get(&key) {
            Some(Role::Caller(_)) => self.read_caller(key),
            Some(Role::Backend(_)) => self.receive_backend(key),
            Some(Role::Control(_)) => self.read_control(key),
            Some(Role::Endpoint(_)) => self.read_endpoint(key),
            None => self.net.close(key),
        }
        self.net.measure(key);
    }

    fn on_flushed(&mut self, key: Key) {
        match self.roles.get(&key) {
            Some(Role::Caller(_)) => self.handle_caller_flushed(key),
            Some(Role::Endpoint(_)) => {
                self.net.resume_reading(key);
                self.read_endpoint(key);
            }
            Some(Role::Backend(_) | Role::Control(_)) | None => {}
        }
    }

    /// Handles the end of a connection. `kind` is the error, or `None` if the peer closed it properly.
    fn on_ended(&mut self, key: Key, kind: Option<io::ErrorKind>) {
        match self.roles.get(&key) {
            Some(Role::Caller(_)) => self.handle_caller_end(key, kind),
            Some(Role::Backend(_)) => self.handle_backend_end(key, kind),
            Some(Role::Control(_)) => {
                let end = match kind {
                    None => control::End::Closed,
                    Some(io::ErrorKind::TimedOut) => control::End::TimedOut,
                    Some(_) => control::End::Reset,
                };
                self.end_control(key, end);
            }
            Some(Role::Endpoint(_)) | None => self.close_connection(key),
        }
    }

    /// Closes a connection and removes its role.
    fn close_connection(&mut self, key: Key) {
        self.net.close(key);
        self.roles.remove(&key);
    }

    /// Runs all work that is due.
    fn tick(&mut self) {
        self.handle_signals();
        while let Some(Reverse((at, timer))) = self.timers.peek().copied()
            && at <= self.now
        {
            self.timers.pop();
            match timer {
                Timer::Exchange(index, serial) => self.handle_exchange_timer(index, serial),
                Timer::Control(index, serial) => self.handle_control_timer(index, serial),
                Timer::Liveness(id) => self.check_liveness(id),
                Timer::Removal(id) => self.check_removal(id),
                Timer::UnframedEnd(id) => self.check_unframed_ends(id),
                Timer::CrashReport(id) => self.broadcast_crash(id),
                Timer::Settlement => self.report_unsettled(),
                Timer::RequestsEnd | Timer::Exit => self.end_requests(),
            }
        }
        self.tick_storage();
        self.tick_rollout();
        self.poll_cache_stores();
        self.tick_peers();
        if SWEEP_INTERVAL <= self.now.since(self.last_sweep) {
            self.last_sweep = self.now;
            self.sweep();
            self.log_traffic(false);
        }
        self.log.flush(self.now, false);
    }

    fn sweep(&mut self) {
        if self.has_stopped_accepting() {
            for key in std::mem::take(&mut self.listeners) {
                self.net.close(key);
            }
        }
        self.net.retry_accepting();
        self.sweep_callers();
        self.sweep_memory();
        self.sweep_services();
        self.sweep_backends();
        self.sweep_control();
        self.sweep_probes();
        self.sweep_quarantine();
        self.sweep_withheld();
        self.sweep_streams();
        for id in self.pool.expire(self.now, self.storage.is_unreachable()) {
            if self.storage.is_watcher {
                self.relay_removal(id);
            }
            self.handle_server_gone(id, "missing after the store's return");
            self.record_removal(id);
        }
        self.probe_reach();
        self.update_readiness();
        self.update_lease_candidacy();
        self.update_watching();
    }

    /// Announces whether callers should choose this instance: if it accepts requests, unless it is cut off from all
    /// servers. Then it goes on to serve the callers that it has.
    fn update_readiness(&mut self) {
        let is_cut_off = self.is_cut_off();
        let is_ready = self.is_ready() && !is_cut_off;
        if self.members.me().is_ready == is_ready {
            return;
        }
        self.members.me_mut().is_ready = is_ready;
        self.log
            .line(self.now, "ready")
            .number("is_ready", is_ready)
            .number("is_cut_off", is_cut_off);
        self.announce_to_few();
    }

    /// Leaves the lease to an instance that can order servers, while this one can't.
    fn update_lease_candidacy(&mut self) {
        let stands_back = self.is_cut_off_from_engines();
        if std::mem::replace(&mut self.stands_back, stands_back) == stands_back {
            return;
        }
        self.log.line(self.now, "lease").number("stands_back", stands_back);
        if stands_back {
            self.lease.release();
            self.rollout.clear();
        } else if self.shutdown.is_none() {
            self.lease.rejoin();
        }
    }

    /// Decides whether this instance watches the store for others, and announces changes.
    fn update_watching(&mut self) {
        let is_away = self.is_store_unreachable();
        let is_watcher = match self.members.standby_rank(self.now) {
            None => {
                self.peers.freshness.mark_watching(self.now);
                true
            }
            Some(rank) => self.peers.freshness.is_overdue(self.now, rank),
        };
        if is_watcher && !self.storage.is_watcher {
            self.storage.take_over_watch();
        }
        self.storage.is_watcher = is_watcher;
        let is_watching = self.storage.is_watcher && !is_away;
        let stands_back = is_away || self.stands_back;
        let me = self.members.me_mut();
        let has_changed = me.is_away != stands_back;
        me.is_away = stands_back;
        if me.is_watching != is_watching {
            me.is_watching = is_watching;
            self.log
                .line(self.now, "watching")
                .number("is_watching", is_watching)
                .number("is_away", is_away);
        }
        // Announced at once, so that another instance takes over the watch or the lease without waiting
        // seconds for gossip.
        if has_changed {
            self.broadcast_membership();
        }
    }

    /// Time until the next work is due.
    fn poll_timeout(&mut self) -> Duration {
        let timer = self.timers.peek().map(|it| it.0.0);
        let storage = self.storage.next_due(self.now);
        let catchup = self.peers.catchup.next_due();
        let push = self.peers.broadcasts.next_due();
        let next =
            [timer, storage, self.rollout.next_due(), catchup, push].into_iter().flatten().min();
        next.map_or(MAX_POLL_WAIT, |it| it.since(self.now).min(MAX_POLL_WAIT))
    }

    /// Whether this instance accepts requests.
    fn is_ready(&self) -> bool {
        self.shutdown.is_none() && self.config.is_some()
    }

    fn allocate_serial(&mut self) -> u64 {
        self.next_serial += 1;
        self.next_serial
    }

    fn set_timer(&mut self, time: Time, timer: Timer) {
        self.timers.push(Reverse((time, timer)));
    }

    fn random(&mut self) -> u64 {
        self.rng.random()
    }
}
