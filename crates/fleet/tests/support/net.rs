//! Many nodes in one thread and in virtual time, with chosen loss, delay, pauses and cuts. Messages
//! go through the real codec, and every byte is counted.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use shallotlead_base::{
    hash::Map,
    id::{Incarnation, Version},
    name,
    store::{Failure, Reply},
    time::Time,
};
use shallotlead_fleet::{
    class::Class,
    load::report::Report,
    membership::fact::Status,
    message::{self, Message},
    node::{Action, CallId, Input, Listed, Node, ServerState},
    view::{Member, State, View},
};
use shallotlead_table::{
    change::{Change, Edit, Entry, Proposal},
    column::Column,
    commit::{Accepted, Committer},
    error::Error,
    layout::{Head, head_key},
    row,
};

use super::platform::Platform;

/// Bytes that one packet costs beside its message: IPv4 20, UDP 8, QUIC short header with an 8-byte
/// connection id 11, authentication tag 16, frame 3, rounded up.
pub(crate) const PACKET_OVERHEAD: u64 = 60;
/// Message bytes in one packet.
const PACKET: u64 = 1_140;
/// Time for one call to the platform.
const CALL: Duration = Duration::from_millis(4);
/// Time between health checks and load reports of a server.
const CHECK: Duration = Duration::from_secs(1);
/// Later than this the platform's list shows a change.
const LIST_LAG: Duration = Duration::from_secs(12);

/// Kinds of messages that are counted apart.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Part {
    Membership,
    Config,
    Load,
    Other,
}

/// What one node sent and received.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Count {
    pub(crate) sent: u64,
    pub(crate) sent_bytes: u64,
    pub(crate) received: u64,
    pub(crate) received_bytes: u64,
    /// Bytes sent by [`Part`].
    pub(crate) parts: [u64; 4],
    /// The largest burst: most bytes sent within one second.
    pub(crate) peak_bytes: u64,
    second: u64,
    second_bytes: u64,
    pub(crate) ticks: u64,
    pub(crate) busy: Duration,
}

/// One instance.
pub(crate) struct Slot {
    pub(crate) member: Member,
    pub(crate) node: Option<Node>,
    pub(crate) count: Count,
    pub(crate) applied: Version,
    pub(crate) applied_at: Time,
    /// Versions that were put in force, in order.
    pub(crate) history: Vec<Version>,
    pub(crate) statuses: Vec<Status>,
    pub(crate) servers: BTreeMap<name::Server, ServerState>,
    pub(crate) loads: Map<name::Server, (Time, Report)>,
    pub(crate) centres: BTreeMap<name::Centre, Time>,
    dead: HashSet<(name::Instance, Incarnation)>,
    kept: ((u64, u64, Version), Arc<[name::Server]>),
    pub(crate) draining: bool,
    lives: u64,
    wake: Time,
    paused: Time,
    /// Since when, and how, the platform's list shows it.
    listed: Vec<(Time, Option<bool>)>,
}

enum Event {
    Wake(usize),
    Deliver { to: usize, from: usize, life: u64, bytes: Arc<[u8]> },
    Reply { to: usize, life: u64, id: CallId, reply: Reply },
    Platform,
    Check,
}

/// Nodes, the network between them, and the platform.
pub(crate) struct Net {
    pub(crate) now: Time,
    pub(crate) slots: Vec<Slot>,
    pub(crate) platform: Platform,
    pub(crate) committer: Committer,
    /// Share of datagrams that are lost.
    pub(crate) loss: f64,
    /// Instances that can't reach the platform.
    pub(crate) cut_off: HashSet<usize>,
    /// Pairs of regions or data centres that can't reach each other.
    pub(crate) cuts: Vec<(String, String)>,
    pub(crate) list_calls: u64,
    /// Calls to the platform, reads of the list included, in the busiest second.
    pub(crate) most_calls: u64,
    calls_second: (u64, u64),
    /// How often an instance came to see a running one as dead.
    pub(crate) deaths: u64,
    /// What the servers really are; the default is up in their first life.
    pub(crate) real: BTreeMap<name::Server, ServerState>,
    pub(crate) checks: bool,
    /// Whether the list answers while the object store is down.
    pub(crate) list_when_down: bool,
    /// What the parts told their daemons, where the net makes nothing of it.
    pub(crate) told: Vec<(usize, Action)>,
    rng: SmallRng,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    events: Map<u64, Event>,
    sequence: u64,
    proposals: u128,
    names: Map<name::Instance, usize>,
}

impl Net {
    /// A net of `shape`: for each data centre its region, its name and its instances. Nothing runs
    /// yet, but the platform's list shows all.
    pub(crate) fn new(seed: u64, shape: &[(&str, &str, usize)]) -> Self {
        let mut net = Self {
            now: Time::from_millis(1_000_000),
            slots: Vec::new(),
            platform: Platform::default(),
            committer: Committer::default(),
            loss: 0.0,
            cut_off: HashSet::new(),
            cuts: Vec::new(),
            list_calls: 0,
            most_calls: 0,
            calls_second: (0, 0),
            deaths: 0,
            real: Default::default(),
            checks: false,
            list_when_down: false,
            told: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            events: Default::default(),
            sequence: 0,
            proposals: 0,
            names: Map::default(),
        };
        for &(region, centre, count) in shape {
            for number in 0..count {
                net.add(region, centre, &format!("{centre}-{number}"));
            }
        }
        net
    }

    /// Adds an instance; the list shows it at once.
    pub(crate) fn add(&mut self, region: &str, centre: &str, name: &str) -> usize {
        let number = self.slots.len() as u16;
        let address = SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 7_000));
        let member = Member {
            name: name.into(),
            centre: centre.into(),
            region: region.into(),
            address,
            peer: address,
            incarnation: Incarnation(0),
        };
        self.slots.push(Slot {
            member,
            node: None,
            count: Count::default(),
            applied: Version(0),
            applied_at: Time::ZERO,
            history: Vec::new(),
            statuses: Vec::new(),
            servers: Default::default(),
            loads: Default::default(),
            centres: Default::default(),
            dead: HashSet::new(),
            kept: Default::default(),
            draining: false,
            lives: 0,
            wake: Time::MAX,
            paused: Time::ZERO,
            listed: vec![(Time::ZERO, Some(false))],
        });
        let index = self.slots.len() - 1;
        self.names.insert(self.slots[index].member.name.clone(), index);
        index
    }

    /// Starts an instance's next life.
    pub(crate) fn start(&mut self, index: usize) {
        self.start_by_clock(index, 1_790_000_000_000 + self.now.as_millis());
    }

    /// Starts an instance's next life when its wall clock shows `millis`.
    pub(crate) fn start_by_clock(&mut self, index: usize, millis: u64) {
        let seed = self.rng.random();
        let slot = &mut self.slots[index];
        slot.lives += 1;
        slot.draining = false;
        slot.paused = self.now;
        slot.member.incarnation = Incarnation(millis);
        slot.node = Some(Node::open(self.now, slot.member.clone(), seed));
        slot.applied = Version(0);
        slot.history.clear();
        slot.servers.clear();
        self.list(index, Some(false));
        self.run_node(index, |_, _| {});
    }

    /// Starts all instances within `span`.
    pub(crate) fn start_all(&mut self, span: Duration) {
        let mut order = (0..self.slots.len()).collect::<Vec<_>>();
        rand::seq::SliceRandom::shuffle(&mut order[..], &mut self.rng);
        let step = span / order.len() as u32;
        for index in order {
            self.start(index);
            self.run(step);
        }
    }

    /// Ends an instance without a word; the list shows it for a while.
    pub(crate) fn crash(&mut self, index: usize) {
        self.slots[index].node = None;
        self.list(index, None);
    }

    /// Lets an instance say that it leaves.
    pub(crate) fn drain(&mut self, index: usize) {
        self.list(index, Some(true));
        self.slots[index].draining = true;
        self.run_node(index, |node, now| node.handle(now, Input::Drain));
    }

    /// Holds an instance still; what it is sent waits.
    pub(crate) fn pause(&mut self, index: usize, span: Duration) {
        self.slots[index].paused = self.now + span;
        let wake = self.slots[index].paused;
        self.slots[index].wake = wake;
        self.push(wake, Event::Wake(index));
    }

    /// Shows an instance in the list from now on, whatever it does.
    pub(crate) fn list_stays(&mut self, index: usize, leaving: Option<bool>) {
        self.slots[index].listed = vec![(Time::ZERO, leaving)];
    }

    fn list(&mut self, index: usize, state: Option<bool>) {
        let at = self.now + LIST_LAG;
        self.slots[index].listed.push((at, state));
    }

    /// Adds rows through the object store, before anything runs: servers spread over the centres.
    pub(crate) fn seed_table(&mut self, organisations: usize, models: usize, servers: usize) {
        let mut centres = self.slots.iter().map(|it| it.member.centre.clone()).collect::<Vec<_>>();
        centres.sort();
        centres.dedup();
        let add = |kind, name: String, cells: Vec<(Column, String)>| Edit::Add {
            row: row::Key::new(kind, &name).expect("the name is allowed"),
            cells: cells
                .into_iter()
                .map(|(column, it)| Entry { column, value: it.into() })
                .collect(),
        };
        let mut edits = Vec::new();
        for it in 0..models {
            edits.push(add(row::Kind::Model, format!("model-{it}"), vec![]));
        }
        for it in 0..organisations {
            let weight = vec![(Column::Weight, "2".to_owned())];
            edits.push(add(row::Kind::Organisation, format!("org-{it:04}"), weight));
        }
        for it in 0..servers {
            let cells = vec![
                (Column::Address, format!("10.1.{}.{}:8000", it >> 8, it & 255)),
                (Column::Centre, centres[it % centres.len()].to_string()),
                (Column::Model, format!("model-{}", it % models)),
            ];
            edits.push(add(row::Kind::Server, format!("gpu-{it:05}"), cells));
        }
        // Several changes, each well below the head's bound, and compactions between them.
        for edits in edits.chunks(400) {
            self.propose(edits.to_vec()).expect("the store is up");
            self.committer.compact(&mut self.platform).expect("the store is up");
        }
        // As after a while of work: the log holds small changes only.
        for it in 0..140 {
            self.change("org-0000", it);
        }
        self.committer.compact(&mut self.platform).expect("the store is up");
    }

    /// Accepts a change in the object store; no node is told but by its watch.
    pub(crate) fn propose(&mut self, edits: Vec<Edit>) -> Result<Change, Error> {
        let change = self.propose_unseen(edits)?;
        self.push(self.now, Event::Platform);
        Ok(change)
    }

    /// Accepts a change in the object store; the watches don't see it yet.
    pub(crate) fn propose_unseen(&mut self, edits: Vec<Edit>) -> Result<Change, Error> {
        self.proposals += 1;
        let id = self.proposals | 0x5a5a_5a5a_0000_0000_0000_0000_0000_0000;
        let proposal = Proposal { id, operator: "op".into(), at: 1_790_000_000_000, edits };
        let Accepted { change, .. } = self.committer.commit(&mut self.platform, &proposal)?;
        Ok(change)
    }

    /// Changes one cell of an organisation's row.
    pub(crate) fn change(&mut self, organisation: &str, weight: u32) -> Version {
        let cell = shallotlead_table::cell::Cell::new(
            row::Key::new(row::Kind::Organisation, organisation).expect("the name is allowed"),
            Column::Weight,
        );
        let edit = Edit::Set {
            cell: cell.expect("the row has the column"),
            expected: None,
            value: weight.to_string().into(),
        };
        self.propose(vec![edit]).expect("the store is up").version
    }

    /// Hands an input to a node.
    pub(crate) fn input(&mut self, index: usize, input: Input) {
        self.run_node(index, |node, now| node.handle(now, input));
    }

    /// Runs on for `span`.
    pub(crate) fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.step(end) {}
        self.now = end;
    }

    /// Runs on until `done`, looked at every 5 ms, and returns how long that took; `None` after
    /// `limit`.
    pub(crate) fn run_until(
        &mut self,
        limit: Duration,
        mut done: impl FnMut(&Net) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while !done(self) {
            if limit <= self.now.since(start) {
                return None;
            }
            self.run(Duration::from_millis(5));
        }
        Some(self.now.since(start))
    }

    /// Instances that run.
    pub(crate) fn running(&self) -> impl Iterator<Item = &Slot> {
        self.slots.iter().filter(|it| it.node.is_some())
    }

    /// Whether all running instances see exactly the running instances as live.
    pub(crate) fn agrees(&self) -> bool {
        let live = self.running().map(|it| &it.member.name).collect::<HashSet<_>>();
        self.running().all(|slot| {
            let view = slot.node.as_ref().map(Node::view);
            let seen = view.into_iter().flat_map(|it| it.live_members()).map(|it| &it.name);
            seen.collect::<HashSet<_>>() == live
        })
    }

    /// Whether every running instance but itself sees `index` as live, or none does.
    pub(crate) fn all_see(&self, index: usize, live: bool) -> bool {
        let name = &self.slots[index].member.name;
        let others = self.running().filter(|it| it.member.name != *name);
        others.filter_map(|it| it.node.as_ref()).all(|it| it.view().is_live(name) == live)
    }

    /// Whether `version`, or a later one, is in force at every running instance.
    pub(crate) fn all_apply(&self, version: Version) -> bool {
        self.running().all(|it| version <= it.applied)
    }

    /// How many data centres there are.
    pub(crate) fn centres(&self) -> usize {
        self.slots.iter().map(|it| &it.member.centre).collect::<HashSet<_>>().len()
    }

    /// The table's version in the object store.
    pub(crate) fn accepted(&self) -> Version {
        let head = self.platform.get(&head_key());
        let head = head.map(|it| Head::decode(&it.value).expect("the head is well formed"));
        head.map_or(Version(0), |it| it.version)
    }

    /// Whether all running instances have the same table in force.
    pub(crate) fn same_tables(&self) -> bool {
        let tables = self.running().filter_map(|it| it.node.as_ref()).map(Node::table);
        let tables = tables.collect::<Vec<_>>();
        tables.windows(2).all(|it| it[0] == it[1])
    }

    /// Names of all servers in the table, in order.
    pub(crate) fn servers(&self) -> Vec<name::Server> {
        let node = self.running().find_map(|it| it.node.as_ref());
        node.map(|it| it.table().servers.keys().cloned().collect()).unwrap_or_default()
    }

    /// The running instance that keeps a server, as it sees it itself.
    pub(crate) fn keeper(&self, server: &name::Server) -> Option<usize> {
        let keeps = |slot: &Slot| {
            let Some(node) = &slot.node else { return false };
            let Some(row) = node.table().servers.get(server) else { return false };
            node.view().keeper(server, &row.centre) == Some(&slot.member.name)
        };
        self.slots.iter().position(keeps)
    }

    /// Starts counting anew.
    pub(crate) fn reset_counts(&mut self) {
        self.slots.iter_mut().for_each(|it| it.count = Count::default());
        self.platform.calls = 0;
        self.platform.bytes = 0;
        self.list_calls = 0;
        self.most_calls = 0;
    }

    /// Starts the servers' health checks and load reports.
    pub(crate) fn start_checks(&mut self) {
        self.checks = true;
        self.push(self.now, Event::Check);
    }

    fn push(&mut self, at: Time, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence)));
        self.events.insert(self.sequence, event);
    }

    fn step(&mut self, end: Time) -> bool {
        let Some(Reverse((at, sequence))) = self.queue.peek().copied() else { return false };
        if end < at {
            return false;
        }
        self.queue.pop();
        self.now = self.now.max(at);
        let Some(event) = self.events.remove(&sequence) else { return true };
        match event {
            Event::Wake(index) => {
                if self.slots[index].wake <= self.now {
                    self.run_node(index, |_, _| {});
                }
            }
            Event::Deliver { to, from, life, bytes } => self.deliver(to, from, life, bytes),
            Event::Reply { to, life, id, reply } => {
                if self.slots[to].lives != life || self.hold(to) {
                    if self.slots[to].lives == life && self.slots[to].node.is_some() {
                        let at = self.slots[to].paused;
                        self.push(at, Event::Reply { to, life, id, reply });
                    }
                    return true;
                }
                self.run_node(to, |node, now| node.handle(now, Input::Reply { id, reply }));
            }
            Event::Platform => self.end_watches(),
            Event::Check => self.check(),
        }
        true
    }

    fn hold(&self, index: usize) -> bool {
        self.now < self.slots[index].paused
    }

    fn deliver(&mut self, to: usize, from: usize, life: u64, bytes: Arc<[u8]>) {
        if self.slots[to].node.is_none() || self.slots[to].lives != life {
            return;
        }
        if self.hold(to) {
            let at = self.slots[to].paused;
            self.push(at, Event::Deliver { to, from, life, bytes });
            return;
        }
        let cost = cost(bytes.len());
        let count = &mut self.slots[to].count;
        count.received += 1;
        count.received_bytes += cost;
        let from = self.slots[from].member.name.clone();
        self.run_node(to, |node, now| node.handle(now, Input::Message { from, bytes }));
    }

    fn end_watches(&mut self) {
        for (node, id, reply) in self.platform.ended(self.now) {
            let life = self.slots[node].lives;
            let cut = self.cut_off.contains(&node);
            let reply = if cut { Reply::Failed(Failure::Unknown) } else { reply };
            self.push(self.now + CALL, Event::Reply { to: node, life, id, reply });
        }
        let next = self.platform.next();
        if next < Time::MAX {
            self.push(next, Event::Platform);
        }
    }

    fn run_node(&mut self, index: usize, input: impl FnOnce(&mut Node, Time)) {
        if self.hold(index) {
            return;
        }
        let now = self.now;
        let slot = &mut self.slots[index];
        let Some(node) = &mut slot.node else { return };
        let start = Instant::now();
        input(node, now);
        let mut actions = Vec::new();
        let next = node.tick(now, &mut actions);
        slot.count.busy += start.elapsed();
        slot.count.ticks += 1;
        assert!(now <= next, "the next time lies in the past");
        // A daemon's timer has some grain.
        let next = next.max(now + Duration::from_micros(200));
        if next < slot.wake || slot.wake <= now {
            slot.wake = next;
            self.push(next, Event::Wake(index));
        }
        for action in actions {
            self.act(index, action);
        }
    }

    fn act(&mut self, index: usize, action: Action) {
        match action {
            Action::Send { to, message, class } => self.send(index, &to, &message, class),
            Action::Call { id, call } => {
                self.count_call();
                let life = self.slots[index].lives;
                let cut = self.cut_off.contains(&index);
                let reply = if cut {
                    Some(Reply::Failed(Failure::Unknown))
                } else {
                    self.platform.submit(self.now, index, id, call)
                };
                match reply {
                    Some(reply) => {
                        self.push(self.now + CALL, Event::Reply { to: index, life, id, reply });
                    }
                    None => self.push(self.platform.next(), Event::Platform),
                }
            }
            Action::Apply(table) => {
                let slot = &mut self.slots[index];
                assert!(slot.applied < table.version, "a version fell or came twice");
                slot.applied = table.version;
                slot.applied_at = self.now;
                slot.history.push(table.version);
            }
            Action::Server { name, state } => {
                self.slots[index].servers.insert(name, state);
            }
            Action::Loads(reports) => {
                let now = self.now;
                let loads = reports.into_iter().map(|it| (it.server.clone(), (now - it.age, it)));
                self.slots[index].loads.extend(loads);
            }
            Action::Summaries(summaries) => {
                let now = self.now;
                let centres = summaries.into_iter().map(|it| (it.centre, now));
                self.slots[index].centres.extend(centres);
            }
            Action::Members(view) => self.count_deaths(index, &view),
            Action::Centres(statuses) => self.slots[index].statuses = statuses,
            Action::List => self.answer_list(index),
            Action::Refused { version, error } => panic!("change {version} was refused: {error}"),
            action => self.told.push((index, action)),
        }
    }

    fn count_deaths(&mut self, index: usize, view: &View) {
        let dead = view.entries().iter().filter(|it| it.state == State::Dead);
        let dead = dead.map(|it| (it.member.name.clone(), it.member.incarnation));
        let dead = dead.collect::<HashSet<_>>();
        let runs = |name: &name::Instance, incarnation: Incarnation| {
            let slot = self.names.get(name).map(|it| &self.slots[*it]);
            let started = slot.filter(|it| it.node.is_some()).map(|it| it.member.incarnation);
            started.is_some_and(|it| it <= incarnation)
        };
        let old = &self.slots[index].dead;
        let new = dead.iter().filter(|it| !old.contains(it) && runs(&it.0, it.1)).count();
        self.deaths += new as u64;
        self.slots[index].dead = dead;
    }

    fn answer_list(&mut self, index: usize) {
        self.list_calls += 1;
        self.count_call();
        if (self.platform.down && !self.list_when_down) || self.cut_off.contains(&index) {
            return;
        }
        let now = self.now;
        let rows = self.slots.iter().filter_map(|it| {
            let state = it.listed.iter().rev().find(|(at, _)| *at <= now)?.1?;
            Some(Listed { member: it.member.clone(), leaving: state })
        });
        let rows = rows.collect();
        if let Some(node) = &mut self.slots[index].node {
            node.handle(now, Input::Listed(rows));
        }
        self.push(now, Event::Wake(index));
        self.slots[index].wake = now;
    }

    fn send(&mut self, from: usize, to: &name::Instance, message: &Message, class: Class) {
        let bytes: Arc<[u8]> = message::encode(message).into();
        let limit = match class {
            Class::Datagram => message::MAX_DATAGRAM,
            Class::Stream => message::MAX_MESSAGE,
        };
        assert!(bytes.len() <= limit, "{} bytes of {class:?}: {message:?}", bytes.len());
        self.count_sent(from, message, cost(bytes.len()));
        let Some(&to) = self.names.get(to) else { return };
        if self.is_cut(from, to) {
            return;
        }
        let mut delay = self.delay(from, to);
        while self.rng.random_bool(self.loss) {
            if class == Class::Datagram {
                return;
            }
            // A stream's packet is sent again after a round trip and QUIC's probe timeout.
            delay += delay * 2 + Duration::from_millis(25);
        }
        let life = self.slots[to].lives;
        self.push(self.now + delay, Event::Deliver { to, from, life, bytes });
    }

    fn count_call(&mut self) {
        let second = self.now.as_millis() / 1_000;
        if self.calls_second.0 != second {
            self.calls_second = (second, 0);
        }
        self.calls_second.1 += 1;
        self.most_calls = self.most_calls.max(self.calls_second.1);
    }

    fn count_sent(&mut self, from: usize, message: &Message, cost: u64) {
        let part = match message {
            Message::Membership(_) => Part::Membership,
            Message::Config(_) => Part::Config,
            Message::Load(_) => Part::Load,
            _ => Part::Other,
        };
        let second = self.now.as_millis() / 1_000;
        let count = &mut self.slots[from].count;
        count.sent += 1;
        count.sent_bytes += cost;
        count.parts[part as usize] += cost;
        if count.second != second {
            count.second = second;
            count.second_bytes = 0;
        }
        count.second_bytes += cost;
        count.peak_bytes = count.peak_bytes.max(count.second_bytes);
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        let place = |it: usize| {
            let member = &self.slots[it].member;
            [member.region.as_str().to_owned(), member.centre.as_str().to_owned()]
        };
        if self.cuts.is_empty() {
            return false;
        }
        let (from, to) = (place(from), place(to));
        self.cuts.iter().any(|(a, b)| {
            (from.contains(a) && to.contains(b)) || (from.contains(b) && to.contains(a))
        })
    }

    fn delay(&mut self, from: usize, to: usize) -> Duration {
        let (a, b) = (&self.slots[from].member, &self.slots[to].member);
        let micros = match () {
            () if a.centre == b.centre => 150,
            () if a.region == b.region => 1_000,
            () => 15_000,
        };
        Duration::from_micros(self.rng.random_range(micros..micros * 3 / 2))
    }

    /// Lets each instance check the servers that it keeps.
    fn check(&mut self) {
        if !self.checks {
            return;
        }
        self.push(self.now + CHECK, Event::Check);
        for index in 0..self.slots.len() {
            let kept = self.kept(index);
            for name in kept.iter().cloned() {
                let real = self.real.get(&name).copied();
                let state = real.unwrap_or(ServerState::Up(Incarnation(1)));
                let load = self.load(&name, state);
                self.run_node(index, |node, now| {
                    node.handle(now, Input::Server { name, state });
                    load.into_iter().for_each(|it| node.handle(now, Input::Load(it)));
                });
            }
        }
    }

    /// Servers that an instance keeps.
    fn kept(&mut self, index: usize) -> Arc<[name::Server]> {
        let slot = &mut self.slots[index];
        let Some(node) = &slot.node else { return Arc::default() };
        let (view, table) = (node.view(), node.table());
        let stamp = (slot.lives, view.generation(), table.version);
        if slot.kept.0 != stamp {
            let centre = &slot.member.centre;
            let near = table.servers.values().filter(|it| it.centre == *centre);
            let kept = near.filter(|it| view.keeper(&it.name, centre) == Some(&slot.member.name));
            slot.kept = (stamp, kept.map(|it| it.name.clone()).collect());
        }
        slot.kept.1.clone()
    }

    fn load(&mut self, server: &name::Server, state: ServerState) -> Option<Report> {
        let ServerState::Up(incarnation) = state else { return None };
        Some(Report {
            server: server.clone(),
            incarnation,
            age: Duration::from_millis(self.rng.random_range(5..400)),
            waiting: self.rng.random_range(0..40),
            running: self.rng.random_range(0..200),
            waiting_tokens: self.rng.random_range(0..100_000),
            used_blocks: self.rng.random_range(0..31_250),
            total_blocks: 31_250,
        })
    }
}

/// Bytes on the wire of one message of `len` bytes.
fn cost(len: usize) -> u64 {
    let len = len as u64;
    len + len.div_ceil(PACKET).max(1) * PACKET_OVERHEAD
}
