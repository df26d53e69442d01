//! The node's thread: takes messages, runs the node's tick, carries out its actions.

use std::{
    io,
    sync::{Arc, Weak, mpsc},
    thread::{self, JoinHandle},
    time::Duration,
};

use shallotlead_base::{code::Code, hash::Set, name, store::Call, time::Time};
use shallotlead_fleet::{
    allowance, directory, dispatch, duty, keeper,
    load::report::Report,
    message::encode,
    node::{Action, CallId, Input, Node, ServerState},
    view::View,
};
use shallotlead_platform::{budget::Sharers, client};
use shallotlead_policy::input::{self, State};
use shallotlead_table::snapshot::Snapshot;

use crate::{
    backend::Backend,
    peers::{
        UNKNOWN_PORT,
        board::Board,
        demand::Tally,
        inbox::{Outlet, WeakInbox},
        message::Message,
        orders::Orders,
        poller::Poller,
        probe,
        roll::Roll,
        transport::Transport,
    },
    shell::{Listing, Shared, clock::Clock, inbox, sentry::Sentry},
};

/// Messages taken before the next tick.
const BATCH: usize = 256;
/// Time between two measurements of the links.
const MEASURE: Duration = Duration::from_secs(1);
/// Least time between a node's word that it leaves and its end: two rounds of heartbeats carry it.
const LEAVE_SHORTEST: Duration = Duration::from_millis(600);
/// Longest time, as during an outage of the platform.
const LEAVE_LONGEST: Duration = Duration::from_secs(5);
/// How often a node that leaves looks whether it may end.
const LEAVE_PAUSE: Duration = Duration::from_millis(20);
/// Instances that hold watches of the platform; the others hear of changes from peers.
const WATCHERS: u32 = 8;

/// State of the node's thread.
#[derive(Debug)]
pub(crate) struct Driver {
    pub(crate) node: Node,
    pub(crate) clock: Clock,
    pub(crate) platform: client::Handle,
    pub(crate) transport: Box<dyn Transport>,
    pub(crate) inbox: WeakInbox,
    pub(crate) router: inbox::WeakInbox,
    pub(crate) shared: Weak<Shared>,
    pub(crate) poller: Poller,
    pub(crate) backend: Arc<dyn Backend>,
    pub(crate) seed: u64,
    /// Whether servers were asked for their first state.
    pub(crate) probed: bool,
    pub(crate) roll: Roll,
    pub(crate) orders: Orders,
    pub(crate) tally: Tally,
    pub(crate) board: Arc<Board>,
    /// Calls to the platform that are not answered, watches apart.
    pub(crate) calls: Set<CallId>,
}

impl Driver {
    /// Starts the thread. It ends when all inboxes are dropped.
    pub(crate) fn spawn(self, outlet: Outlet) -> io::Result<JoinHandle<()>> {
        let sentry = Sentry { shared: self.shared.clone(), router: self.router.clone() };
        let run = move || {
            let _sentry = sentry;
            self.run(&outlet);
        };
        thread::Builder::new().name("node".to_owned()).spawn(run)
    }

    fn run(mut self, outlet: &Outlet) {
        let messages = &outlet.messages;
        let mut actions = Vec::new();
        let mut next = self.clock.now();
        let mut measured = Time::ZERO;
        let mut leaving = None;
        loop {
            let wake = leaving.map_or(next, |_| next.min(self.clock.now() + LEAVE_PAUSE));
            let first = match messages.recv_timeout(wake.since(self.clock.now())) {
                Ok(message) => Some(message),
                Err(mpsc::RecvTimeoutError::Timeout) => None,
                Err(mpsc::RecvTimeoutError::Disconnected) => return,
            };
            for message in first.into_iter().chain(messages.try_iter()).take(BATCH) {
                match input(outlet, message) {
                    Told::Input(input) => self.take(*input),
                    Told::Leave => leaving = Some(self.clock.now()),
                    Told::Stop => return,
                }
            }
            let now = self.clock.now();
            if leaving.is_some_and(|since| self.may_leave(now, since)) {
                return;
            }
            if measured + MEASURE <= now {
                measured = now;
                self.transport.measure();
                self.tell_demand(now);
            }
            next = self.node.tick(now, &mut actions);
            // Messages to a new member need its address.
            actions.sort_by_key(|it| !matches!(it, Action::Members(_)));
            for action in actions.drain(..) {
                self.carry_out(action);
            }
        }
    }

    fn take(&mut self, input: Input) {
        match &input {
            Input::Reply { id, .. } => {
                self.calls.remove(id);
            }
            Input::Load(report) => self.tally.report(report),
            _ => {}
        }
        self.node.handle(self.clock.now(), input);
    }

    /// Whether a node that leaves since `since` may end: its peers heard of it, and what it handed
    /// to the platform is answered.
    fn may_leave(&self, now: Time, since: Time) -> bool {
        let left = now.since(since);
        LEAVE_LONGEST <= left || (LEAVE_SHORTEST <= left && self.calls.is_empty())
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send { to, message, delivery } => {
                self.transport.send(&to, encode(&message), delivery);
            }
            Action::Call { id, call } => {
                if !matches!(call, Call::Watch { .. }) {
                    self.calls.insert(id);
                }
                let inbox = self.inbox.clone();
                self.platform.submit(call, move |reply| inbox.send(Message::Reply { id, reply }));
            }
            Action::Members(view) => {
                self.members(&view);
                self.board.set_view(view);
            }
            Action::Apply(table) => self.apply(table),
            Action::Server { name, state } => self.server(name, state),
            Action::LoadReports(reports) => self.loads(reports),
            Action::ReadInstanceList => self.roll.read(),
            Action::CentreStatuses(it) => self.board.set_centres(it),
            Action::LoadSummaries(summaries) => {
                for it in summaries {
                    self.tally.summary(it);
                }
            }
            Action::ChangeRejected { version, error } => {
                log::error!("table version={version} cannot be applied: {error}");
            }
            Action::DecodeFailed { from, error } => {
                let code = Code::MessageInvalid.number();
                log::warn!("message from={from} code={code} dropped: {error}");
            }
            Action::Directory(directory::Output::Hints { request, hints }) => {
                self.router.hints(request, hints);
            }
            Action::Dispatch(dispatch::Output::Placed(placed)) => {
                let placed = placed.into_iter().map(placement).collect();
                self.router.input(input::Input::Placed(placed));
            }
            Action::Keeper(keeper::Output::Resync(server)) => self.poller.resync(&server),
            // The servers that this instance keeps are polled anyway.
            Action::Keeper(keeper::Output::OpenStream(_) | keeper::Output::CloseStream(_)) => {}
            Action::Allowance(allowance::Output::Allow(share)) => {
                self.router.input(input::Input::Allowance(converted(share)));
            }
            Action::Duty(duty::Output::Order(order)) => {
                let address = self.node.table().servers.get(&order.server).map(|it| it.address);
                self.orders.give(*order, address);
            }
            Action::Intent(it) => self.router.intent(it),
        }
    }

    /// Tells the duties what callers want.
    fn tell_demand(&mut self, now: Time) {
        let demand = self.tally.demand(self.node.table());
        self.node.handle(now, Input::Duty(duty::Input::Demand(demand)));
    }

    fn members(&mut self, view: &View) {
        let live = u32::try_from(view.live_members().count()).unwrap_or(u32::MAX).max(1);
        log::info!("members live={live} generation={}", view.generation());
        metrics::gauge!("shallotlead_members_live").set(f64::from(live));
        self.platform.set_sharers(Sharers { instances: live, watchers: live.min(WATCHERS) });
        self.router.input(input::Input::Instances(live));
        self.transport.set_members(view);
        if let Some(shared) = self.shared.upgrade() {
            let known = view.live_members().filter(|it| it.address.port() != UNKNOWN_PORT);
            shared.set_addresses(known.map(Listing::from).collect());
        }
        self.keep();
    }

    /// Polls the servers that this instance keeps.
    fn keep(&mut self) {
        let (view, table) = (self.node.view(), self.node.table());
        let alone = self.transport.alone();
        let kept = table
            .servers
            .values()
            .filter(|it| alone || view.keeper(&it.name, &it.centre) == Some(view.me()))
            .collect::<Vec<_>>();
        self.poller.keep(&kept, table);
    }

    fn apply(&mut self, table: Arc<Snapshot>) {
        log::info!("table version={} in force", table.version);
        if !std::mem::replace(&mut self.probed, true) {
            probe::spawn(&self.backend, &self.router, self.clock, &table, self.seed);
        }
        self.tally.retain(&table);
        self.router.input(input::Input::Table(table));
        self.keep();
    }

    fn loads(&mut self, reports: Vec<Report>) {
        for it in reports {
            self.tally.report(&it);
            self.router.input(input::Input::Load(it));
        }
    }

    fn server(&mut self, server: name::Server, state: ServerState) {
        let state = match state {
            ServerState::Up(incarnation) => State::Up(incarnation),
            ServerState::Leaving => State::Leaving,
            ServerState::Down => State::Down,
        };
        self.router.told(server, state);
    }
}

/// What a message says.
enum Told {
    Input(Box<Input>),
    Leave,
    Stop,
}

fn input(outlet: &Outlet, message: Message) -> Told {
    let input = match message {
        Message::Listed(listed) => Input::InstanceList(listed),
        Message::Reply { id, reply } => Input::Reply { id, reply },
        Message::Peer { from, bytes } => {
            outlet.taken();
            Input::Message { from, bytes }
        }
        Message::Server { name, state } => Input::Server { name, state },
        Message::Load(report) => Input::Load(report),
        Message::Accepted(change) => Input::ChangeAccepted(change),
        Message::Allowance(it) => Input::Allowance(it),
        Message::Sent(it) => Input::Dispatch(dispatch::Input::Sent(it)),
        Message::Duty(it) => Input::Duty(it),
        Message::Keeper(it) => Input::Keeper(it),
        Message::Directory(it) => Input::Directory(it),
        Message::Intent(it) => Input::Intent(it),
        Message::Drain => Input::Drain,
        Message::Leave => return Told::Leave,
        Message::Stop => return Told::Stop,
    };
    Told::Input(Box::new(input))
}

/// A share of a limit as the router takes it.
fn converted(share: allowance::Share) -> input::Allowance {
    let scope = match share.scope {
        allowance::Scope::Organisation(it) => input::Scope::Organisation(it),
        allowance::Scope::Model(it) => input::Scope::Model(it),
        allowance::Scope::Server(it) => input::Scope::Server(it),
    };
    input::Allowance {
        scope,
        requests_per_second: share.requests_per_second,
        tokens_per_minute: share.tokens_per_minute,
        concurrency: share.concurrency,
        until: share.until,
    }
}

fn placement(it: dispatch::Assignment) -> input::Placement {
    input::Placement {
        server: it.server,
        incarnation: it.incarnation,
        uncached_tokens: it.uncached_tokens,
        anchors: it.anchors,
        age: it.age,
    }
}
