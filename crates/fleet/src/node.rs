//! One instance's coordination, composed of its parts.

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
    class::Class,
    config::{self, Config},
    context::Context,
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
    part::Part,
    view::{Member, View},
};

/// Time between reads of the platform's list by a watcher.
const LIST: Duration = Duration::from_secs(10);
/// Time between reads of the list by the others.
const LIST_RARELY: Duration = Duration::from_secs(300);

/// Time between reports of messages that can't be read.
const COMPLAINTS: Duration = Duration::from_secs(10);

/// The part that a call to the platform comes from.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Source {
    /// The membership, which makes no calls.
    Membership,
    /// Load reports, which make no calls.
    Load,
    /// The replica of the table.
    Config,
    /// Homes of prefixes.
    Directory,
    /// Attempts that were sent, which makes no calls.
    Dispatch,
    /// Keepers of event streams.
    Keeper,
    /// Shares of limits.
    Allowance,
    /// Duties by lease.
    Duty,
    /// Intent records.
    Intent,
}

/// One call to the platform, unique within a process.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CallId {
    /// The part that waits for the answer.
    pub source: Source,
    /// Number within the process.
    pub number: u64,
}

/// One row of the platform's lagging list of instances.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listed {
    /// The member; its incarnation is zero, as the list doesn't know it.
    pub member: Member,
    /// Whether the list says that it leaves.
    pub leaving: bool,
}

/// Life of a backend server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum ServerState {
    /// It takes work.
    Up(Incarnation),
    /// It finishes what it has and takes nothing new.
    Leaving,
    /// It doesn't answer.
    Down,
}

/// One thing that happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// The platform's list of instances, as read now.
    Listed(Vec<Listed>),
    /// The answer to a call.
    Reply {
        /// The call.
        id: CallId,
        /// The answer.
        reply: Reply,
    },
    /// A message came from a peer that the link has authenticated.
    Message {
        /// The peer.
        from: name::Instance,
        /// The message as received.
        bytes: Arc<[u8]>,
    },
    /// A health check found a server's state. Only that of the servers that this instance keeps
    /// counts; tell each finding, changed or not.
    Server {
        /// The server.
        name: name::Server,
        /// Its state.
        state: ServerState,
    },
    /// This instance shuts down: say so at once and take nothing new.
    Drain,
    /// A server that this instance keeps reported its load.
    Load(Report),
    /// A change was accepted through this instance: in force here at once, and passed on.
    Accepted(Change),
    /// For the directory.
    Directory(directory::Input),
    /// Of attempts that were sent.
    Dispatch(dispatch::Input),
    /// For the keeper.
    Keeper(keeper::Input),
    /// For the allowances.
    Allowance(allowance::Input),
    /// For the duties.
    Duty(duty::Input),
    /// For the intents.
    Intent(intent::Input),
}

/// One thing to do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a message to a peer; drop it when there is no link.
    Send {
        /// The peer.
        to: name::Instance,
        /// The message, to be encoded by [`message::encode`].
        message: Message,
        /// How it travels.
        class: Class,
    },
    /// Call the platform and hand the answer back as [`Input::Reply`].
    Call {
        /// The call.
        id: CallId,
        /// What to ask.
        call: Call,
    },
    /// The members changed.
    Members(Arc<View>),
    /// A newer table is in force.
    Apply(Arc<Snapshot>),
    /// A server's state changed.
    Server {
        /// The server.
        name: name::Server,
        /// Its state.
        state: ServerState,
    },
    /// Reports of servers of this data centre came.
    Loads(Vec<Report>),
    /// Sums of the load in other data centres came.
    Summaries(Vec<Summary>),
    /// What is in force in each data centre, as last heard.
    Centres(Vec<Status>),
    /// A change can't be applied here: the table in force stays.
    Refused {
        /// The table's version from that change on.
        version: Version,
        /// Why.
        error: Error,
    },
    /// A peer sent a message that can't be read; it was dropped. Told at most every ten seconds.
    Undecoded {
        /// The peer.
        from: name::Instance,
        /// Why.
        error: message::Error,
    },
    /// Read the platform's list of instances and hand it in as [`Input::Listed`].
    List,
    /// From the directory.
    Directory(directory::Output),
    /// Of attempts that others sent.
    Dispatch(dispatch::Output),
    /// From the keeper.
    Keeper(keeper::Output),
    /// From the allowances.
    Allowance(allowance::Output),
    /// From the duties.
    Duty(duty::Output),
    /// From the intents.
    Intent(intent::Output),
}

/// One instance's coordination.
#[derive(Debug)]
pub struct Node {
    me: name::Instance,
    number: u64,
    actions: Vec<Action>,
    view: Arc<View>,
    table: Arc<Snapshot>,
    /// When a message that can't be read was last reported.
    complained: Option<Time>,
    /// When the list was last read.
    listed: Option<Time>,
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

/// Calls `$method` of the part `$field` with a context and an outbox.
macro_rules! part {
    ($node:ident, $now:ident, $field:ident, $source:ident, $method:ident($($arg:expr),*)) => {{
        let ctx =
            Context { now: $now, me: &$node.me, view: &$node.view, table: &$node.table };
        let mut out = Outbox::new(Source::$source, &mut $node.number, &mut $node.actions);
        $node.$field.$method(&ctx, $($arg,)* &mut out)
    }};
}

impl Node {
    /// A node of `me`, whose incarnation must be higher than that of its earlier lives. The same
    /// `seed` and inputs give the same actions.
    pub fn open(now: Time, me: Member, seed: u64) -> Self {
        let name = me.name.clone();
        let membership = Membership::new(now, me, seed);
        Self {
            me: name,
            number: 0,
            actions: vec![Action::Members(membership.view().clone())],
            view: membership.view().clone(),
            table: Arc::default(),
            complained: None,
            listed: None,
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

    /// The members as known here.
    pub fn view(&self) -> &Arc<View> {
        &self.view
    }

    /// The table in force here.
    pub fn table(&self) -> &Arc<Snapshot> {
        &self.table
    }

    /// Takes in one thing that happened.
    pub fn handle(&mut self, now: Time, input: Input) {
        match input {
            Input::Listed(rows) => self.membership.add_listed(now, &rows),
            Input::Reply { id, reply } => self.reply(now, id, reply),
            Input::Message { from, bytes } => match message::decode(&bytes) {
                Ok(it) => {
                    self.membership.record_contact(now, &from);
                    self.message(now, &from, it);
                }
                Err(error) => self.undecoded(now, from, error),
            },
            Input::Server { name, state } => self.server(now, &name, state),
            Input::Drain => {
                self.membership.announce_leaving(now);
                self.duty.close();
            }
            Input::Load(report) => {
                self.membership.record_load_report(&report.server, report.incarnation);
                self.load.add_report(now, report);
            }
            Input::Accepted(change) => self.config.apply_accepted(change),
            Input::Directory(it) => part!(self, now, directory, Directory, handle(it)),
            Input::Dispatch(it) => part!(self, now, dispatch, Dispatch, handle(it)),
            Input::Keeper(it) => part!(self, now, keeper, Keeper, handle(it)),
            Input::Allowance(it) => part!(self, now, allowance, Allowance, handle(it)),
            Input::Duty(it) => part!(self, now, duty, Duty, handle(it)),
            Input::Intent(it) => part!(self, now, intent, Intent, handle(it)),
        }
        self.settle(now);
    }

    /// Runs what is due; appends to `actions`. Returns when to call again even if nothing happens.
    pub fn tick(&mut self, now: Time, actions: &mut Vec<Action>) -> Time {
        let heard = self.membership.last_platform_answer();
        let config = part!(self, now, config, Config, tick(heard));
        self.settle(now);
        let mut out = Outbox::new(Source::Membership, &mut self.number, &mut self.actions);
        self.membership.tick(now, &mut out);
        self.settle(now);
        let next = [
            config,
            self.membership.next_due(),
            part!(self, now, load, Load, tick()),
            part!(self, now, directory, Directory, tick()),
            part!(self, now, dispatch, Dispatch, tick()),
            part!(self, now, keeper, Keeper, tick()),
            part!(self, now, allowance, Allowance, tick()),
            part!(self, now, duty, Duty, tick()),
            part!(self, now, intent, Intent, tick()),
            self.read_list(now),
        ];
        let is_own = self.loop_back(now);
        actions.append(&mut self.actions);
        if is_own { now } else { next.into_iter().min().unwrap_or(Time::MAX) }
    }

    /// Hands messages of one part to another part of this instance over. Returns whether there were
    /// any: their answers are due at once.
    fn loop_back(&mut self, now: Time) -> bool {
        let is_own = |it: &Action| matches!(it, Action::Send { to, .. } if *to == self.me);
        let own = self.actions.extract_if(.., |it| is_own(it)).collect::<Vec<_>>();
        let found = !own.is_empty();
        let me = self.me.clone();
        for action in own {
            if let Action::Send { message, .. } = action {
                self.message(now, &me, message);
            }
        }
        found
    }

    /// Reports a message that can't be read, once in a while: a peer of another release may send many.
    fn undecoded(&mut self, now: Time, from: name::Instance, error: message::Error) {
        if self.complained.is_none_or(|it| COMPLAINTS <= now.since(it)) {
            self.complained = Some(now);
            self.actions.push(Action::Undecoded { from, error });
        }
    }

    /// Carries what one part found out to the others until nothing is left.
    fn settle(&mut self, now: Time) {
        loop {
            let events = self.membership.take_events();
            let news = self.config.take_effects();
            let idle = events.is_empty() && news.is_empty();
            for event in events {
                self.event(now, event);
            }
            self.config_news(now, news);
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

    fn event(&mut self, now: Time, event: Event) {
        match event {
            Event::Version { from, version } => {
                self.config.record_peer_version(now, &from, version)
            }
            Event::Change(change) => self.config.apply_accepted(change),
            Event::Server { name, state } => self.actions.push(Action::Server { name, state }),
            Event::CentreStatus => self.actions.push(Action::Centres(self.membership.statuses())),
        }
    }

    fn config_news(&mut self, now: Time, news: config::Effects) {
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
            self.actions.push(Action::Refused { version, error });
        }
    }

    fn server(&mut self, now: Time, name: &name::Server, state: ServerState) {
        let Some(row) = self.table.servers.get(name) else { return };
        if self.view.keeper(name, &row.centre) == Some(&self.me) {
            self.membership.record_server_state(now, name, state);
        }
    }

    /// The list is read by those that watch the platform; the others hear of new members by gossip
    /// and read it rarely.
    fn read_list(&mut self, now: Time) -> Time {
        let often = self.config.is_watcher() || self.view.entries().len() < 2;
        let period = if often { LIST } else { LIST_RARELY };
        let due = self.listed.map_or(now, |it| it + period);
        if now < due {
            return due;
        }
        self.listed = Some(now);
        self.actions.push(Action::List);
        now + LIST
    }

    fn reply(&mut self, now: Time, id: CallId, reply: Reply) {
        let number = id.number;
        match id.source {
            Source::Membership | Source::Load => {}
            Source::Config => part!(self, now, config, Config, handle_reply(number, reply)),
            Source::Directory => part!(self, now, directory, Directory, reply(number, reply)),
            Source::Dispatch => part!(self, now, dispatch, Dispatch, reply(number, reply)),
            Source::Keeper => part!(self, now, keeper, Keeper, reply(number, reply)),
            Source::Allowance => part!(self, now, allowance, Allowance, reply(number, reply)),
            Source::Duty => part!(self, now, duty, Duty, reply(number, reply)),
            Source::Intent => part!(self, now, intent, Intent, reply(number, reply)),
        }
    }

    fn load_message(&mut self, now: Time, message: load::message::Message) {
        let ctx = Context { now, me: &self.me, view: &self.view, table: &self.table };
        let news = self.load.handle_message(&ctx, message);
        for report in &news.reports {
            self.membership.record_load_report(&report.server, report.incarnation);
        }
        if !news.reports.is_empty() {
            self.actions.push(Action::Loads(news.reports));
        }
        if !news.summaries.is_empty() {
            self.actions.push(Action::Summaries(news.summaries));
        }
    }

    fn message(&mut self, now: Time, from: &name::Instance, message: Message) {
        match message {
            Message::Membership(it) => {
                let mut out = Outbox::new(Source::Membership, &mut self.number, &mut self.actions);
                self.membership.handle_message(now, from, it, &mut out);
            }
            Message::Config(it) => part!(self, now, config, Config, handle_message(from, it)),
            Message::Load(it) => self.load_message(now, it),
            Message::Directory(it) => part!(self, now, directory, Directory, message(from, it)),
            Message::Dispatch(it) => part!(self, now, dispatch, Dispatch, message(from, it)),
            Message::Keeper(it) => part!(self, now, keeper, Keeper, message(from, it)),
            Message::Allowance(it) => part!(self, now, allowance, Allowance, message(from, it)),
            Message::Duty(it) => part!(self, now, duty, Duty, message(from, it)),
            Message::Intent(it) => part!(self, now, intent, Intent, message(from, it)),
        }
    }
}
