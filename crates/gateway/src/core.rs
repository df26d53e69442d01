//! The instance: one thread that owns all connections and all decisions.

mod answer;
mod attempt;
mod backend;
mod cache;
mod caller;
mod copy;
mod duties;
mod ending;
mod control;
mod exchange;
mod knowledge;
mod endpoints;
mod peers;
mod probe;
mod quarantine;
mod rate_limit;
mod refusal;
mod retry;
mod state;
mod stats;
mod storage;

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use shallotlead_base::{hash::Map, time::Time};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use slab::Slab;

use crate::{
    budget::Budget,
    catalog::Catalog,
    clock,
    dialect::Dialect,
    gossip::{Member, Members},
    journal::Journal,
    lease::Lease,
    net::{Door, Event, Key, Net},
    placement::Memory,
    pool::{self, Pool},
    quarantine::Quarantine,
    rollout::Rollout,
    settings::Settings,
    uplink::Uplink,
};

use exchange::Exchange;
use stats::Stats;

/// Longest sleep between two looks at what is due.
const IDLE: Duration = Duration::from_millis(250);
/// How often idle connections and silent members are looked through.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Time after SIGTERM in which new connections and requests are still taken: callers keep an answer of
/// the directory for some seconds. What is taken later may not end before the process must.
const ACCEPT_AFTER_SIGTERM: Duration = Duration::from_millis(2_000);
/// Time after SIGTERM from which on idle connections of callers are closed.
const KEEP_IDLE_AFTER_SIGTERM: Duration = Duration::from_millis(1_500);
/// Time after SIGTERM until which the process stays at least, for callers that still hold open
/// connections.
const MIN_TIME_AFTER_SIGTERM: Duration = Duration::from_millis(3_000);
/// Time before the forced end at which the process leaves by itself.
const EXIT_MARGIN: Duration = Duration::from_millis(400);
/// What the thread that writes the log needs for the last lines.
const LOG_FLUSH_TIME: Duration = Duration::from_millis(20);
/// The lease under which weights are loaded.
const LEASE_NAME: &str = "weights";

/// What a connection is for.
pub(crate) enum Role {
    /// A caller's connection.
    Caller(caller::Caller),
    /// A connection to a backend server.
    Backend(backend::Backend),
    /// A connection for one small request: to the store, a server or another instance.
    Control(control::Connection),
    /// A connection to one of the pages.
    Endpoint(Door),
}

/// Something that is due at a time.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Timer {
    /// An exchange's bound; the number tells the exchange apart from later ones at its place.
    Exchange(usize, u64),
    /// A small request's bound.
    Control(usize, u64),
    /// A server has lost its runs: does it live?
    Liveness(pool::Id),
    /// The others are to be told what ran at a server that crashed.
    CrashReport(pool::Id),
}

/// What the instance is asked to do from outside its reactor.
#[derive(Clone, Debug, Default)]
pub(crate) struct Signals {
    /// Leave in good order.
    pub(crate) shutdown: Arc<AtomicBool>,
    /// The settings file has changed.
    pub(crate) reload: Arc<AtomicBool>,
    /// End at once, as a kill would.
    pub(crate) abort: Arc<AtomicBool>,
}

impl Signals {
    /// Takes the process's signals as signals.
    pub(crate) fn from_signals() -> io::Result<Self> {
        let signals = Self::default();
        for signal in [SIGTERM, SIGINT] {
            signal_hook::flag::register(signal, Arc::clone(&signals.shutdown))?;
        }
        signal_hook::flag::register(SIGHUP, Arc::clone(&signals.reload))?;
        Ok(signals)
    }
}

/// One instance.
pub(crate) struct Core {
    settings: Settings,
    dialect: Box<dyn Dialect>,
    net: Net,
    roles: Map<Key, Role>,
    /// Where callers' connections are accepted; closed while leaving.
    listeners: Vec<Key>,
    now: Time,
    /// How long datagrams that were read at this time may have waited in their socket, as in a process that was
    /// paused.
    receive_delay: Duration,
    rng: SmallRng,
    timers: BinaryHeap<Reverse<(Time, Timer)>>,
    exchanges: Slab<Exchange>,
    next_serial: u64,
    control_requests: Slab<control::Request>,
    catalog: Option<Arc<Catalog>>,
    pool: Pool,
    memory: Memory,
    cache_stores: cache::Stores,
    quarantine: Quarantine,
    budget: Budget,
    storage: storage::Storage,
    members: Members,
    peers: peers::Peers,
    lease: Lease,
    rollout: Rollout,
    journal: Journal,
    stats: Stats,
    signals: Signals,
    started: Time,
    /// Weights that the lease's record names, and since when.
    recorded_weights: Map<Arc<str>, (u64, Time)>,
    /// Weights that lay in the store at the start, before the lease's record was read.
    undated_weights: Vec<(Arc<str>, u64)>,
    /// When SIGTERM came.
    leaving_since: Option<Time>,
    swept: Time,
    /// What long answers to other instances may take of the link.
    uplink: Uplink,
}

/// Serves until the instance is asked to end.
pub(crate) fn run(mut core: Core) -> io::Result<()> {
    core.log_start();
    let mut events = Vec::new();
    while !core.has_finished() {
        let pause = core.poll_timeout();
        let polled = clock::now();
        core.net.poll(pause, &mut events)?;
        let now = clock::now();
        // The time since the last look, but for the wait in which whatever comes ends the wait.
        core.receive_delay = polled.since(core.now) + now.since(polled).saturating_sub(pause);
        core.now = now;
        for event in events.drain(..) {
            core.handle_event(event);
        }
        core.tick();
    }
    core.log_traffic(true);
    core.journal.line(core.now, "stop").number("open_requests", core.exchanges.len());
    core.journal.flush(core.now, true);
    // The writing thread gets the last lines out.
    std::thread::sleep(LOG_FLUSH_TIME);
    Ok(())
}

impl Core {
    /// Binds all addresses.
    pub(crate) fn bind(
        settings: Settings,
        dialect: Box<dyn Dialect>,
        signals: Signals,
    ) -> io::Result<Self> {
        let now = clock::now();
        let seed = getrandom::u64().map_err(io::Error::other)?;
        let listen = settings.listen;
        let mut net = Net::open()?;
        let doors = [
            (listen.callers, Door::Callers),
            (listen.ready, Door::Ready),
            (listen.directory, Door::Directory),
            (listen.peers, Door::Peers),
            (listen.metrics, Door::Metrics),
        ];
        let mut listeners = Vec::new();
        for (address, door) in doors {
            let named = |err: io::Error| io::Error::new(err.kind(), format!("{address}: {err}"));
            let key = net.listen(address, door).map_err(named)?;
            if door == Door::Callers {
                listeners.push(key);
            }
        }
        net.take_datagrams(listen.peers)?;
        // Lives of one instance are told apart by the time of their start.
        let started = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let incarnation = started.as_micros() as u64;
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
        let life = Arc::from(format!("{}#{incarnation}", settings.name));
        Ok(Self {
            budget: Budget::open(settings.retries),
            storage: storage::Storage::open(&settings, &*dialect, seed, now),
            journal: Journal::open(&settings.name, settings.log_rate)?,
            lease: Lease::open(LEASE_NAME, life, settings.order_gap),
            members: Members::open(me),
            peers: peers::Peers::default(),
            stats: Stats::open().map_err(io::Error::other)?,
            dialect,
            net,
            roles: Map::default(),
            listeners,
            now,
            receive_delay: Duration::ZERO,
            rng: SmallRng::seed_from_u64(seed),
            timers: BinaryHeap::new(),
            exchanges: Slab::new(),
            next_serial: 0,
            control_requests: Slab::new(),
            catalog: None,
            pool: Pool::default(),
            memory: Memory::default(),
            cache_stores: cache::Stores::default(),
            quarantine: Quarantine::open(settings.quarantine),
            rollout: Rollout::default(),
            signals,
            leaving_since: None,
            swept: now,
            started: now,
            recorded_weights: Map::default(),
            undated_weights: Vec::new(),
            uplink: Uplink::open(settings.link_bytes_per_s),
            settings,
        })
    }

    fn log_start(&mut self) {
        let Settings { name, centre, listen, store, .. } = &self.settings;
        self.journal
            .line(self.now, "start")
            .text("version", env!("CARGO_PKG_VERSION"))
            .text("name", name)
            .text("data_centre", centre)
            .text("callers", &listen.callers.to_string())
            .text("store", &store.to_string());
    }

    /// Takes one thing that happened to a socket.
    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Accepted(key, door) => self.on_accepted(key, door),
            Event::Readable(key) => self.on_readable(key),
            Event::Flushed(key) => self.on_flushed(key),
            Event::Ended(key) => self.on_ended(key, None),
            Event::Broken(key, kind) => self.on_ended(key, Some(kind)),
            Event::Datagram(bytes) => self.datagram(&bytes, self.receive_delay),
        }
    }

    fn on_accepted(&mut self, key: Key, door: Door) {
        let role = match door {
            Door::Callers => Role::Caller(caller::Caller::new(self.now)),
            door => Role::Endpoint(door),
        };
        self.roles.insert(key, role);
    }

    fn on_readable(&mut self, key: Key) {
        match self.roles.get(&key) {
            Some(Role::Caller(_)) => self.caller_readable(key),
            Some(Role::Backend(_)) => self.backend_readable(key),
            Some(Role::Control(_)) => self.control_readable(key),
            Some(Role::Endpoint(_)) => self.endpoint_readable(key),
            None => self.net.close(key),
        }
    }

    fn on_flushed(&mut self, key: Key) {
        match self.roles.get(&key) {
            Some(Role::Caller(_)) => self.caller_flushed(key),
            Some(Role::Backend(_) | Role::Control(_) | Role::Endpoint(_)) | None => {}
        }
    }

    /// A connection ended; `kind`: why, unless the other side closed it properly.
    fn on_ended(&mut self, key: Key, kind: Option<io::ErrorKind>) {
        match self.roles.get(&key) {
            Some(Role::Caller(_)) => self.caller_ended(key),
            Some(Role::Backend(_)) => self.backend_ended(key, kind),
            Some(Role::Control(_)) => {
                let end = match kind {
                    None => control::End::Closed,
                    Some(io::ErrorKind::TimedOut) => control::End::TimedOut,
                    Some(_) => control::End::Reset,
                };
                self.control_ended(key, end);
            }
            Some(Role::Endpoint(_)) | None => self.close_connection(key),
        }
    }

    /// Closes a connection and forgets what it was for.
    fn close_connection(&mut self, key: Key) {
        self.net.close(key);
        self.roles.remove(&key);
    }

    /// Runs what is due.
    fn tick(&mut self) {
        self.handle_signals();
        while let Some(Reverse((at, timer))) = self.timers.peek().copied()
            && at <= self.now
        {
            self.timers.pop();
            match timer {
                Timer::Exchange(place, serial) => self.exchange_due(place, serial),
                Timer::Control(place, serial) => self.control_due(place, serial),
                Timer::Liveness(id) => self.check_liveness(id),
                Timer::CrashReport(id) => self.tell_crashed(id),
            }
        }
        self.tick_storage();
        self.tick_duties();
        self.poll_cache_stores();
        self.tick_peers();
        if SWEEP_INTERVAL <= self.now.since(self.swept) {
            self.swept = self.now;
            self.sweep();
            self.log_traffic(false);
        }
        self.journal.flush(self.now, false);
    }

    fn sweep(&mut self) {
        if self.has_stopped_accepting() {
            for key in std::mem::take(&mut self.listeners) {
                self.net.close(key);
            }
        }
        self.sweep_callers();
        self.sweep_backends();
        self.sweep_control();
        self.sweep_probes();
        self.sweep_quarantine();
        self.sweep_withheld();
        for id in self.pool.expire(self.now, self.storage.is_away()) {
            if self.storage.is_watcher {
                self.tell_gone(id);
            }
            self.server_gone(id, "missing after the store's return");
        }
        let is_ready = self.is_ready();
        if self.members.me().is_ready != is_ready {
            self.members.me_mut().is_ready = is_ready;
            self.journal.line(self.now, "ready").number("is_ready", is_ready);
            self.tell_few();
        }
        self.update_watching();
    }

    /// Decides whether this instance watches the store for others, and says so.
    fn update_watching(&mut self) {
        let is_away = self.is_cut_off();
        self.storage.is_watcher = match self.members.watch_place(self.now) {
            None => {
                self.peers.currency.watches(self.now);
                true
            }
            Some(place) => self.peers.currency.is_overdue(self.now, place),
        };
        let is_watching = self.storage.is_watcher && !is_away;
        let me = self.members.me_mut();
        let is_news = me.is_away != is_away;
        me.is_away = is_away;
        if me.is_watching != is_watching {
            me.is_watching = is_watching;
            self.journal
                .line(self.now, "watching")
                .number("is_watching", is_watching)
                .number("is_away", is_away);
        }
        // The next one watches, or stands for the lease, at once rather than after seconds of gossip.
        if is_news {
            self.tell_own_state();
        }
    }

    /// How long nothing is due.
    fn poll_timeout(&mut self) -> Duration {
        let timer = self.timers.peek().map(|it| it.0.0);
        let storage = self.storage.next(self.now);
        let catchup = self.peers.catchup.next();
        let push = self.peers.board.next();
        let next = [timer, storage, self.rollout.next(), catchup, push].into_iter().flatten().min();
        next.map_or(IDLE, |it| it.since(self.now).min(IDLE))
    }

    fn handle_signals(&mut self) {
        if self.signals.reload.swap(false, Ordering::Relaxed) {
            self.journal.line(self.now, "reload").text("result", "settings need a restart");
        }
        if self.leaving_since.is_none() && self.signals.shutdown.load(Ordering::Relaxed) {
            self.leaving_since = Some(self.now);
            self.members.me_mut().is_leaving = true;
            self.members.me_mut().is_ready = false;
            self.lease.release();
            self.rollout.clear();
            self.journal.line(self.now, "leaving").number("open_requests", self.exchanges.len());
            self.tell_own_state();
        }
    }

    /// Whether this instance takes requests.
    fn is_ready(&self) -> bool {
        self.leaving_since.is_none() && self.catalog.is_some()
    }

    /// Whether the time in which a leaving instance takes requests is over.
    fn has_stopped_accepting(&self) -> bool {
        self.leaving_since.is_some_and(|it| ACCEPT_AFTER_SIGTERM <= self.now.since(it))
    }

    fn has_finished(&self) -> bool {
        if self.signals.abort.load(Ordering::Relaxed) {
            return true;
        }
        let Some(since) = self.leaving_since else { return false };
        let passed = self.now.since(since);
        let force = self.settings.grace.saturating_sub(EXIT_MARGIN);
        force <= passed
            || (MIN_TIME_AFTER_SIGTERM <= passed
                && self.exchanges.is_empty()
                && self.has_sent_all())
    }

    fn has_sent_all(&self) -> bool {
        self.roles.keys().all(|it| self.net.get(*it).is_none_or(|it| it.unsent() == 0))
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
