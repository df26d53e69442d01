//! Polls of backend servers: life, load and cache events, one thread for each server that this
//! instance keeps.

#[cfg(test)]
mod tests;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
        mpsc,
    },
    thread,
    time::Duration,
};

use shallotlead_base::{hash::Map, id::Incarnation, name, time::Time};
use shallotlead_fleet::{
    duty::{self, status::Status},
    keeper,
    node::ServerState,
};
use shallotlead_policy::input::{Batch, Event, Input, State};
use shallotlead_table::{model::Kind, server::Server, snapshot::Snapshot};

use crate::{
    backend::{
        Backend,
        failure::Failure,
        feed::{Contents, Feed},
        health::{Health, Readiness},
    },
    peers::{inbox::WeakInbox, message::Message},
    shell::{clock::Clock, inbox},
};

/// Time between two polls of one server. Each costs the processor time of three short calls.
const INTERVAL: Duration = Duration::from_secs(1);
/// Least time between two polls for cache events. A busy engine has news at any moment; without a
/// pause, each event would cost a call.
const GATHER: Duration = Duration::from_millis(500);
/// Lost polls in a row after which a server counts as down. A refused connection counts at once.
const LOST: u32 = 2;
/// Stack of a poll's thread, in bytes.
const STACK: usize = 512 << 10;

/// The polls under way.
#[derive(Debug)]
pub(crate) struct Poller {
    backend: Arc<dyn Backend>,
    node: WeakInbox,
    router: inbox::WeakInbox,
    clock: Clock,
    polls: Map<name::Server, Poll>,
}

#[derive(Debug)]
struct Poll {
    address: SocketAddr,
    kind: Kind,
    /// The whole cache must be read.
    resync: Arc<AtomicBool>,
    /// Dropping it ends the poll's thread.
    _stop: mpsc::Sender<()>,
}

impl Poller {
    /// Polls nothing yet.
    pub(crate) fn new(
        backend: Arc<dyn Backend>,
        node: WeakInbox,
        router: inbox::WeakInbox,
        clock: Clock,
    ) -> Self {
        Self { backend, node, router, clock, polls: Map::default() }
    }

    /// Polls exactly `servers` of `table`.
    pub(crate) fn keep(&mut self, servers: &[&Server], table: &Snapshot) {
        let kind = |it: &Server| table.models.get(&it.model).map_or(Kind::Engine, |it| it.kind);
        let kept = servers.iter().map(|it| (&it.name, *it)).collect::<Map<_, _>>();
        self.polls.retain(|name, poll| {
            kept.get(name).is_some_and(|it| it.address == poll.address && kind(it) == poll.kind)
        });
        for server in servers {
            if !self.polls.contains_key(&server.name) {
                self.start(&server.name, server.address, kind(server));
            }
        }
    }

    /// Has the whole cache of `server` read.
    pub(crate) fn resync(&self, server: &name::Server) {
        if let Some(poll) = self.polls.get(server) {
            poll.resync.store(true, Ordering::Release);
        }
    }

    fn start(&mut self, server: &name::Server, address: SocketAddr, kind: Kind) {
        let (stop, stopped) = mpsc::channel();
        let resync = Arc::<AtomicBool>::default();
        let task = Task {
            backend: self.backend.clone(),
            node: self.node.clone(),
            router: self.router.clone(),
            clock: self.clock,
            server: server.clone(),
            address,
            kind,
            stopped,
            due: Time::ZERO,
            state: None,
            lost: 0,
            seen: None,
            resync: resync.clone(),
        };
        let thread = thread::Builder::new().name("poll".to_owned()).stack_size(STACK);
        match thread.spawn(move || task.run()) {
            Ok(_) => {
                self.polls.insert(server.clone(), Poll { address, kind, resync, _stop: stop });
            }
            Err(error) => log::error!("no thread to poll {server}: {error}"),
        }
    }
}

/// One server's poll.
#[derive(Debug)]
struct Task {
    backend: Arc<dyn Backend>,
    node: WeakInbox,
    router: inbox::WeakInbox,
    clock: Clock,
    server: name::Server,
    address: SocketAddr,
    kind: Kind,
    stopped: mpsc::Receiver<()>,
    /// When the server's health and load are asked for next.
    due: Time,
    state: Option<State>,
    lost: u32,
    seen: Option<Seen>,
    resync: Arc<AtomicBool>,
}

/// The last cache event that was taken in.
#[derive(Clone, Copy, Debug)]
struct Seen {
    incarnation: Incarnation,
    seq: u64,
}

impl Task {
    fn run(mut self) {
        loop {
            let now = self.clock.now();
            if self.due <= now {
                self.due = now + INTERVAL;
                self.poll_health();
                if self.is_up() {
                    self.poll_load();
                }
            }
            let mut pause = Duration::MAX;
            if self.is_up() && self.kind == Kind::Engine {
                self.poll_events(self.left());
                pause = GATHER;
            }
            match self.stopped.recv_timeout(pause.min(self.left())) {
                Err(mpsc::RecvTimeoutError::Timeout) => {}
                Ok(()) | Err(mpsc::RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    /// Time until the server's health is asked for next.
    fn left(&self) -> Duration {
        self.due.since(self.clock.now())
    }

    fn is_up(&self) -> bool {
        matches!(self.state, Some(State::Up(_)))
    }

    fn poll_health(&mut self) {
        let asked = self.clock.now();
        match self.backend.health(self.address) {
            Ok(health) => {
                self.lost = 0;
                self.tell(health.state(), asked);
                if self.kind == Kind::Engine {
                    self.tell_status(health);
                }
            }
            Err(Failure::Unreachable) => self.tell(State::Down, asked),
            Err(_) => {
                self.lost += 1;
                if LOST <= self.lost {
                    self.tell(State::Down, asked);
                }
            }
        }
    }

    /// Tells those who plan loads what the engine has.
    fn tell_status(&self, health: Health) {
        self.node.send(Message::Duty(duty::Input::Status(Status {
            server: self.server.clone(),
            incarnation: health.incarnation,
            is_available: health.state == Readiness::Up,
            is_leaving: health.state == Readiness::Leaving,
            model: health.model.map(name::Model::from),
            weights: health.weights,
            role: health.role,
        })));
    }

    /// Tells of the server's state, each time: an attempt may have found it otherwise since, and the
    /// node wants each finding.
    fn tell(&mut self, state: State, asked: Time) {
        if self.state != Some(state) {
            log::info!("server={} state={state:?}", self.server);
            self.state = Some(state);
        }
        self.node.send(Message::Server { name: self.server.clone(), state: fleet_state(state) });
        if let Some(router) = self.router.upgrade() {
            router.found(&self.server, state, asked);
        }
    }

    fn poll_load(&mut self) {
        if let Ok(report) = self.backend.load(&self.server, self.address) {
            self.node.send(Message::Load(report.clone()));
            self.router.input(Input::Load(report));
        }
    }

    /// Waits for cache events, for at most `wait`.
    fn poll_events(&mut self, wait: Duration) {
        let Some(State::Up(incarnation)) = self.state else { return };
        let seen = match self.seen {
            Some(seen) if seen.incarnation == incarnation => seen,
            _ => return self.read_contents(),
        };
        if self.resync.swap(false, Ordering::AcqRel) {
            return self.read_contents();
        }
        match self.backend.events(self.address, incarnation, seen.seq, wait) {
            Ok(feed) if feed.incarnation != incarnation => self.read_contents(),
            Ok(feed) => self.take_in(feed, seen),
            // The next poll of the server's health finds out what is wrong.
            Err(_) => {}
        }
    }

    fn take_in(&mut self, feed: Feed, seen: Seen) {
        let Feed { incarnation, mut first, mut events } = feed;
        // Events that were already taken in may come again after a lost answer.
        let known = usize::try_from((seen.seq + 1).saturating_sub(first)).unwrap_or(usize::MAX);
        events.drain(..known.min(events.len()));
        first = first.max(seen.seq + 1);
        if events.is_empty() {
            return;
        }
        if seen.seq + 1 < first {
            // The node sees the gap, and asks for the whole cache where it matters.
            metrics::counter!("shallotlead_cache_event_gaps_total").increment(1);
        }
        metrics::counter!("shallotlead_cache_events_total").increment(events.len() as u64);
        let seq = first + events.len() as u64 - 1;
        self.seen = Some(Seen { incarnation, seq });
        let server = self.server.clone();
        self.node.send(Message::Keeper(keeper::Input::Events {
            server: server.clone(),
            incarnation,
            first,
            events: events.iter().copied().map(fleet_event).collect(),
        }));
        self.router.input(Input::Cache(Batch { server, incarnation, first, events }));
    }

    /// Replaces what is known of the cache by its contents.
    fn read_contents(&mut self) {
        let Ok(contents) = self.backend.contents(self.address) else { return };
        let Contents { incarnation, seq, blocks } = contents;
        self.seen = Some(Seen { incarnation, seq });
        let events = std::iter::once(Event::Cleared)
            .chain(blocks.iter().copied().map(Event::Stored))
            .collect::<Vec<_>>();
        let server = self.server.clone();
        self.node.send(Message::Keeper(keeper::Input::Snapshot {
            server: server.clone(),
            incarnation,
            seq,
            blocks,
        }));
        // The batch ends with event `seq`; its first number is below those of its events.
        let first = (seq + 1).saturating_sub(events.len() as u64);
        self.router.input(Input::Cache(Batch { server, incarnation, first, events }));
    }
}

fn fleet_event(event: Event) -> keeper::Event {
    match event {
        Event::Stored(block) => keeper::Event::Stored(block),
        Event::Evicted(block) => keeper::Event::Evicted(block),
        Event::Cleared => keeper::Event::Cleared,
    }
}

fn fleet_state(state: State) -> ServerState {
    match state {
        State::Up(incarnation) => ServerState::Up(incarnation),
        State::Leaving => ServerState::Leaving,
        State::Down => ServerState::Down,
    }
}
