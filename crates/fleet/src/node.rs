//! The coordination state machine of one instance, composed of its components.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use shallotlead_base::{
    id::{Incarnation, Version},
    name,
    store::{Call, Reply},
    time::Time,
};
use shallotlead_table::{change::Change, error::Error, snapshot::Snapshot};

use crate::{
    allowance::{self, Allowance},
    component::Component,
    config::{self, Config},
    context::Context,
    delivery::Delivery,
    directory::{self, Directory},
    dispatch::{self, Dispatch},
    duty::{self, Duty},
    intent::{self, Intent},
    keeper::{self, Keeper},
    load::{
        self, Load,
        report::{Report, Summary},
    },
    membership::{Event, Membership, fact::Status},
    message::{self, Message},
    outbox::Outbox,
    view::{Member, View},
};

/// Interval between reads of the platform's instance list by an instance that watches the platform.
const WATCHER_LIST_INTERVAL: Duration = Duration::from_secs(10);
/// Interval between reads of the instance list by the other instances.
const LIST_INTERVAL: Duration = Duration::from_secs(300);

/// Shortest interval between two reports of messages that can't be decoded.
const DECODE_REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// The component that made a call to the platform.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Source {
    /// The membership protocol, which makes no calls.
    Membership,
    /// Load reports, which make no calls.
    Load,
    /// The replica of the configuration table.
    Config,
    /// The distributed directory of cached prefixes.
    Directory,
    /// The exchange of attempts that were sent, which makes no calls.
    Dispatch,
    /// Keepers of servers' event streams.
    Keeper,
    /// Shares of rate and concurrency limits.
    Allowance,
    /// Duties of the lease's holder.
    Duty,
    /// Intent records of requests with an idempotency key.
    Intent,
}

/// Identifies one call to the platform, uniquely within a process.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CallId {
    /// The component that waits for the reply.
    pub source: Source,
    /// Sequence number within the process.
    pub number: u64,
}

/// One row of the platform's instance list, which lags behind.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedInstance {
    /// The member. Its incarnation is ignored, as the list doesn't know it.
    pub member: Member,
    /// Whether the list shows it as shutting down.
    pub is_leaving: bool,
}

/// State of a backend server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum ServerState {
    /// It accepts requests, in this incarnation.
    Up(Incarnation),
    /// It completes its requests and accepts no new ones.
    Leaving,
    /// It doesn't respond.
    Down,
}

/// An event that the node has to process.
#[derive(Clone, Debug)]
pub enum Input {
    /// The platform's instance list, as just read.
    InstanceList(Vec<ListedInstance>),
    /// The reply to a call.
    Reply {
        /// The call, as in [`Action::Call`].
        id: CallId,
        /// The reply.
        reply: Reply,
    },
    /// A message was received from a peer that the link has authenticated.
    Message {
        /// The peer.
        from: name::Instance,
        /// The encoded message.
        bytes: Arc<[u8]>,
    },
    /// A health check of a server completed. Results for servers that this instance doesn't keep
    /// are ignored; hand in every result, changed or not.
    Server {
        /// The server.
        name: name::Server,
        /// Its state.
        state: ServerState,
    },
    /// This instance begins to shut down: announce it at once and take on nothing new.
    Drain,
    /// A server that this instance keeps reported its load.
    Load(Report),
    /// An operator's change was accepted through this instance: it is applied here at once and
    /// spread to the others.
    ChangeAccepted(Change),
    /// An input of the directory.
    Directory(directory::Input),
    /// An input of the exchange of attempts.
    Dispatch(dispatch::Input),
    /// An input of the keeper.
    Keeper(keeper::Input),
    /// An input of the allowances.
    Allowance(allowance::Input),
    /// An input of the duties.
    Duty(duty::Input),
    /// An input of the intents.
    Intent(intent::Input),
}

/// An effect that the caller has to carry out.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a message to a peer. Drop it if there is no link.
    Send {
        /// The peer.
        to: name::Instance,
        /// The message, to be encoded with [`message::encode`].
        message: Message,
        /// How to send it.
        delivery: Delivery,
    },
    /// Call the platform and hand the reply in as [`Input::Reply`].
    Call {
        /// Identifies the call.
        id: CallId,
        /// The call to make.
        call: Call,
    },
    /// The view of the members changed.
    Members(Arc<View>),
    /// A newer table is in force from now on.
    Apply(Arc<Snapshot>),
    /// A server's state changed.
    Server {
        /// The server.
        name: name::Server,
        /// Its state.
        state: ServerState,
    },
    /// Load reports of servers in this data centre were received.
    LoadReports(Vec<Report>),
    /// Summaries of the load in other data centres were received.
    LoadSummaries(Vec<Summary>),
    /// The table versions in force in each data centre, as last received.
    CentreStatuses(Vec<Status>),
    /// An accepted change can't be applied here. The table in force stays as it is.
    ChangeRejected {
        /// The table version that the change leads to.
        version: Version,
        /// Why.
        error: Error,
    },
    /// A message of a peer can't be decoded and was dropped. Reported at most every ten seconds.
    DecodeFailed {
        /// The peer.
        from: name::Instance,
        /// Why.
        error: message::Error,
    },
    /// Read the platform's instance list and hand it in as [`Input::InstanceList`].
    ReadInstanceList,
    /// An output of the directory.
    Directory(directory::Output),
    /// An output of the exchange of attempts.
    Dispatch(dispatch::Output),
    /// An output of the keeper.
    Keeper(keeper::Output),
    /// An output of the allowances.
    Allowance(allowance::Output),
    /// An output of the duties.
    Duty(duty::Output),
    /// An output of the intents.
    Intent(intent::Output),
}

/// The coordination state machine of one instance.
#[derive(Debug)]
pub struct Node {
    me: name::Instance,
    last_call: u64,
    actions: Vec<Action>,
    view: Arc<View>,
    table: Arc<Snapshot>,
    /// When a message that can't be decoded was last reported.
    last_decode_report: Option<Time>,
    /// When the instance list was last requested.
    last_list_read: Option<Time>,
    membership: Membership,
    config: Config,
    load: Load,
    directory: Directory,
    dispatch: Dispatch,
    keeper: Keeper,
    allowance: Allowance,
    duty: Duty,
    intent: Intent,
}

/// Calls `$method` of the component `$field` with a context and an outbox.
macro_rules! component {
    ($node:ident, $now:ident, $field:ident, $source:ident, $method:ident($($arg:expr),*)) => {{
        let ctx =
            Context { now: $now, me: &$node.me, view: &$node.view, table: &$node.table };
        let mut out = Outbox::new(Source::$source, &mut $node.last_call, &mut $node.actions);
        $node.$field.$method(&ctx, $($arg,)* &mut out)
    }};
}

impl Node {
    /// Creates the node of `me`, whose incarnation must be higher than that of every earlier run.
    /// Equal seeds, inputs and times give equal actions.
    pub fn new(now: Time, me: Member, seed: u64) -> Self {
        let name = me.name.clone();
        let membership = Membership::new(now, me, seed);
        Self {
            me: name,
            last_call: 0,
            actions: vec![Action::Members(membership.view().clone())],
            view: membership.view().clone(),
            table: Arc::default(),
            last_decode_report: None,
            last_list_read: None,
            membership,
            config: Config::new(now, seed),
            load: Load::new(now, seed),
            directory: Directory::default(),
            dispatch: Dispatch::default(),
            keeper: Keeper::default(),
            allowance: Allowance::default(),
            duty: Duty::default(),
            intent: Intent::default(),
        }
    }

    /// Returns the members as known here.
    pub fn view(&self) -> &Arc<View> {
        &self.view
    }

    /// Returns the table in force here.
    pub fn table(&self) -> &Arc<Snapshot> {
        &self.table
    }

    /// Processes one event. Its actions are returned by the next [`Self::tick`].
    pub fn handle(&mut self, now: Time, input: Input) {
        match input {
            Input::InstanceList(rows) => self.membership.add_listed(now, &rows),
            Input::Reply { id, reply } => self.handle_reply(now, id, reply),
            Input::Message { from, bytes } => match message::decode(&bytes) {
                Ok(it) => {
                    self.membership.record_contact(now, &from);
                    self.handle_message(now, &from, it);
                }
                Err(error) => self.report_decode_error(now, from, error),
            },
            Input::Server { name, state } => self.record_server_state(now, &name, state),
            Input::Drain => {
                self.membership.announce_leaving(now);
                self.duty.begin_shutdown();
            }
            Input::Load(report) => {
                self.membership.record_load_report(&report.server, report.incarnation);
                self.load.add_report(now, report);
            }
            Input::ChangeAccepted(change) => self.config.apply_accepted(change),
            Input::Directory(it) => component!(self, now, directory, Directory, handle(it)),
            Input::Dispatch(it) => component!(self, now, dispatch, Dispatch, handle(it)),
            Input::Keeper(it) => component!(self, now, keeper, Keeper, handle(it)),
            Input::Allowance(it) => component!(self, now, allowance, Allowance, handle(it)),
            Input::Duty(it) => component!(self, now, duty, Duty, handle(it)),
            Input::Intent(it) => component!(self, now, intent, Intent, handle(it)),
        }
        self.propagate(now);
    }

    /// Runs the timers that are due and appends all pending actions to `actions`. Returns when to
    /// call again if no input arrives before.
    pub fn tick(&mut self, now: Time, actions: &mut Vec<Action>) -> Time {
        let last_platform_answer = self.membership.last_platform_answer();
        let config = component!(self, now, config, Config, tick(last_platform_answer));
        self.propagate(now);
        let mut out = Outbox::new(Source::Membership, &mut self.last_call, &mut self.actions);
        self.membership.tick(now, &mut out);
        self.propagate(now);
        let next = [
            config,
            self.membership.next_due(),
            component!(self, now, load, Load, tick()),
            component!(self, now, directory, Directory, tick()),
            component!(self, now, dispatch, Dispatch, tick()),
            component!(self, now, keeper, Keeper, tick()),
            component!(self, now, allowance, Allowance, tick()),
            component!(self, now, duty, Duty, tick()),
            component!(self, now, intent, Intent, tick()),
            self.read_list(now),
        ];
        let is_local = self.deliver_local(now);
        actions.append(&mut self.actions);
        if is_local { now } else { next.into_iter().min().unwrap_or(Time::MAX) }
    }

    /// Delivers the messages that this instance sends to itself. Returns whether there were any, as
    /// their responses are due at once.
    fn deliver_local(&mut self, now: Time) -> bool {
        let is_local = |it: &Action| matches!(it, Action::Send { to, .. } if *to == self.me);
        let local = self.actions.extract_if(.., |it| is_local(it)).collect::<Vec<_>>();
        let has_messages = !local.is_empty();
        let me = self.me.clone();
        for action in local {
            if let Action::Send { message, .. } = action {
                self.handle_message(now, &me, message);
            }
        }
        has_messages
    }

    /// Reports a message that can't be decoded, at a limited rate: a peer of another release may
    /// send many.
    fn report_decode_error(&mut self, now: Time, from: name::Instance, error: message::Error) {
        if self.last_decode_report.is_none_or(|it| DECODE_REPORT_INTERVAL <= now.since(it)) {
            self.last_decode_report = Some(now);
            self.actions.push(Action::DecodeFailed { from, error });
        }
    }

    /// Passes events between the membership and the configuration until none is left.
    fn propagate(&mut self, now: Time) {
        loop {
            let events = self.membership.take_events();
            let news = self.config.take_effects();
            let idle = events.is_empty() && news.is_empty();
            for event in events {
                self.handle_event(now, event);
            }
            self.apply_config_news(now, news);
            if idle {
                break;
            }
        }
        let view = self.membership.view();
        if view.generation() != self.view.generation() {
            self.view = view.clone();
            self.actions.push(Action::Members(view.clone()));
        }
    }

    fn handle_event(&mut self, now: Time, event: Event) {
        match event {
            Event::Version { from, version } => {
                self.config.record_peer_version(now, &from, version)
            }
            Event::Change(change) => self.config.apply_accepted(change),
            Event::Server { name, state } => self.actions.push(Action::Server { name, state }),
            Event::CentreStatus => {
                self.actions.push(Action::CentreStatuses(self.membership.statuses()))
            }
        }
    }

    fn apply_config_news(&mut self, now: Time, news: config::Effects) {
        if news.has_platform_answered {
            self.membership.record_platform_answer(now);
        }
        if let Some(table) = news.snapshot {
            self.membership.set_table(now, &table);
            self.table = table.clone();
            self.actions.push(Action::Apply(table));
        }
        for change in news.changes {
            self.membership.gossip_change(now, change);
        }
        if let Some((version, error)) = news.rejected {
            self.actions.push(Action::ChangeRejected { version, error });
        }
    }

    fn record_server_state(&mut self, now: Time, name: &name::Server, state: ServerState) {
        let Some(row) = self.table.servers.get(name) else { return };
        if self.view.keeper(name, &row.centre) == Some(&self.me) {
            self.membership.record_server_state(now, name, state);
        }
    }

    /// Requests the instance list when it is due. Instances that watch the platform read it often;
    /// the others learn of new members by gossip and read it rarely.
    fn read_list(&mut self, now: Time) -> Time {
        let reads_often = self.config.is_watcher() || self.view.entries().len() < 2;
        let interval = if reads_often { WATCHER_LIST_INTERVAL } else { LIST_INTERVAL };
        let due = self.last_list_read.map_or(now, |it| it + interval);
        if now < due {
            return due;
        }
        self.last_list_read = Some(now);
        self.actions.push(Action::ReadInstanceList);
        now + WATCHER_LIST_INTERVAL
    }

    fn handle_reply(&mut self, now: Time, id: CallId, reply: Reply) {
        let number = id.number;
        match id.source {
            Source::Membership | Source::Load => {}
            Source::Config => component!(self, now, config, Config, handle_reply(number, reply)),
            Source::Directory => component!(self, now, directory, Directory, reply(number, reply)),
            Source::Dispatch => component!(self, now, dispatch, Dispatch, reply(number, reply)),
            Source::Keeper => component!(self, now, keeper, Keeper, reply(number, reply)),
            Source::Allowance => component!(self, now, allowance, Allowance, reply(number, reply)),
            Source::Duty => component!(self, now, duty, Duty, reply(number, reply)),
            Source::Intent => component!(self, now, intent, Intent, reply(number, reply)),
        }
    }

    fn handle_load_message(&mut self, now: Time, message: load::message::Message) {
        let ctx = Context { now, me: &self.me, view: &self.view, table: &self.table };
        let news = self.load.handle_message(&ctx, message);
        for report in &news.reports {
            self.membership.record_load_report(&report.server, report.incarnation);
        }
        if !news.reports.is_empty() {
            self.actions.push(Action::LoadReports(news.reports));
        }
        if !news.summaries.is_empty() {
            self.actions.push(Action::LoadSummaries(news.summaries));
        }
    }

    fn handle_message(&mut self, now: Time, from: &name::Instance, message: Message) {
        match message {
            Message::Membership(it) => {
                let mut out =
                    Outbox::new(Source::Membership, &mut self.last_call, &mut self.actions);
                self.membership.handle_message(now, from, it, &mut out);
            }
            Message::Config(it) => component!(self, now, config, Config, handle_message(from, it)),
            Message::Load(it) => self.handle_load_message(now, it),
            Message::Directory(it) => {
                component!(self, now, directory, Directory, message(from, it))
            }
            Message::Dispatch(it) => component!(self, now, dispatch, Dispatch, message(from, it)),
            Message::Keeper(it) => component!(self, now, keeper, Keeper, message(from, it)),
            Message::Allowance(it) => {
                component!(self, now, allowance, Allowance, message(from, it))
            }
            Message::Duty(it) => component!(self, now, duty, Duty, message(from, it)),
            Message::Intent(it) => component!(self, now, intent, Intent, message(from, it)),
        }
    }
}
