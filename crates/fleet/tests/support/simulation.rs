//! Simulates many nodes in one thread and in virtual time, with configurable loss, pauses and
//! partitions. Messages pass through the real codec, and every byte is counted.

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
    delivery::Delivery,
    load::report::Report,
    membership::fact::Status,
    message::{self, Message},
    node::{Action, CallId, Input, ListedInstance, Node, ServerState},
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

/// Bytes of one packet besides its message: IPv4 20, UDP 8, QUIC short header with an 8-byte
/// connection id 11, authentication tag 16, frame 3, rounded up.
pub(crate) const PACKET_OVERHEAD: u64 = 60;
/// Bytes of messages in one packet.
const PACKET_PAYLOAD: u64 = 1_140;
/// Duration of one call to the platform.
const CALL_DURATION: Duration = Duration::from_millis(4);
/// Interval between health checks, and between load reports, of a server.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time until the platform's instance list shows a change.
const LIST_LAG: Duration = Duration::from_secs(12);

/// Kinds of messages that are counted separately.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum MessageKind {
    Membership,
    Config,
    Load,
    Other,
}

/// Counters of one instance since the last reset.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Stats {
    pub(crate) sent: u64,
    pub(crate) sent_bytes: u64,
    pub(crate) received: u64,
    pub(crate) received_bytes: u64,
    /// Bytes sent, by [`MessageKind`].
    pub(crate) bytes_by_kind: [u64; 4],
    /// Most bytes sent within one second.
    pub(crate) peak_bytes: u64,
    second: u64,
    second_bytes: u64,
    pub(crate) ticks: u64,
    pub(crate) busy: Duration,
}

/// One simulated instance.
pub(crate) struct Instance {
    pub(crate) member: Member,
    pub(crate) node: Option<Node>,
    pub(crate) stats: Stats,
    pub(crate) applied: Version,
    pub(crate) applied_at: Time,
    /// All table versions that were in force since the start, in order.
    pub(crate) applied_versions: Vec<Version>,
    pub(crate) statuses: Vec<Status>,
    pub(crate) servers: BTreeMap<name::Server, ServerState>,
    pub(crate) load_reports: Map<name::Server, (Time, Report)>,
    pub(crate) summary_times: BTreeMap<name::Centre, Time>,
    seen_dead: HashSet<(name::Instance, Incarnation)>,
    kept_servers: ((u64, u64, Version), Arc<[name::Server]>),
    pub(crate) is_draining: bool,
    /// Number of starts. Events for an earlier run are dropped.
    epoch: u64,
    next_tick: Time,
    paused_until: Time,
    /// What the platform's list shows from which time on: `None` if the instance isn't listed,
    /// otherwise whether it is listed as leaving.
    list_states: Vec<(Time, Option<bool>)>,
}

enum Event {
    Wake(usize),
    Deliver { to: usize, from: usize, epoch: u64, bytes: Arc<[u8]> },
    Reply { to: usize, epoch: u64, id: CallId, reply: Reply },
    Platform,
    Check,
}

/// The nodes, the network between them, and the platform.
pub(crate) struct Simulation {
    pub(crate) now: Time,
    pub(crate) instances: Vec<Instance>,
    pub(crate) platform: Platform,
    pub(crate) committer: Committer,
    /// Probability that a packet is lost: a lost datagram isn't repeated, a packet of a stream is.
    pub(crate) packet_loss: f64,
    /// Instances that can't reach the platform.
    pub(crate) without_platform: HashSet<usize>,
    /// Pairs of regions or data centres that can't reach each other, by name.
    pub(crate) partitions: Vec<(String, String)>,
    pub(crate) list_reads: u64,
    /// Most calls to the platform within one second, reads of the instance list included.
    pub(crate) peak_calls_per_second: u64,
    calls_second: (u64, u64),
    /// How often an instance declared a running one dead.
    pub(crate) false_deaths: u64,
    /// The actual states of the servers. Servers that are missing are up in incarnation 1.
    pub(crate) actual_servers: BTreeMap<name::Server, ServerState>,
    pub(crate) is_checking: bool,
    /// Whether the instance list can be read while the object store is down.
    pub(crate) list_survives_outage: bool,
    /// Actions that the simulation doesn't carry out, with the instance's index.
    pub(crate) unhandled: Vec<(usize, Action)>,
    rng: SmallRng,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    events: Map<u64, Event>,
    sequence: u64,
    proposals: u128,
    indices: Map<name::Instance, usize>,
}

impl Simulation {
    /// Creates instances in data centres that are given by region, name and number of instances.
    /// None of them runs yet, but the platform's list shows them all.
    pub(crate) fn new(seed: u64, shape: &[(&str, &str, usize)]) -> Self {
        let mut sim = Self {
            now: Time::from_millis(1_000_000),
            instances: Vec::new(),
            platform: Platform::default(),
            committer: Committer::default(),
            packet_loss: 0.0,
            without_platform: HashSet::new(),
            partitions: Vec::new(),
            list_reads: 0,
            peak_calls_per_second: 0,
            calls_second: (0, 0),
            false_deaths: 0,
            actual_servers: Default::default(),
            is_checking: false,
            list_survives_outage: false,
            unhandled: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            events: Default::default(),
            sequence: 0,
            proposals: 0,
            indices: Map::default(),
        };
        for &(region, centre, count) in shape {
            for number in 0..count {
                sim.add_instance(region, centre, &format!("{centre}-{number}"));
            }
        }
        sim
    }

    /// Adds an instance, which the list shows at once.
    pub(crate) fn add_instance(&mut self, region: &str, centre: &str, name: &str) -> usize {
        let number = self.instances.len() as u16;
        let address = SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 7_000));
        let member = Member {
            name: name.into(),
            centre: centre.into(),
            region: region.into(),
            address,
            peer: address,
            incarnation: Incarnation(0),
        };
        self.instances.push(Instance {
            member,
            node: None,
            stats: Stats::default(),
            applied: Version(0),
            applied_at: Time::ZERO,
            applied_versions: Vec::new(),
            statuses: Vec::new(),
            servers: Default::default(),
            load_reports: Default::default(),
            summary_times: Default::default(),
            seen_dead: HashSet::new(),
            kept_servers: Default::default(),
            is_draining: false,
            epoch: 0,
            next_tick: Time::MAX,
            paused_until: Time::ZERO,
            list_states: vec![(Time::ZERO, Some(false))],
        });
        let index = self.instances.len() - 1;
        self.indices.insert(self.instances[index].member.name.clone(), index);
        index
    }

    /// Starts an instance.
    pub(crate) fn start(&mut self, index: usize) {
        self.start_with_clock(index, 1_790_000_000_000 + self.now.as_millis());
    }

    /// Starts an instance while its wall clock shows `millis`, in milliseconds.
    pub(crate) fn start_with_clock(&mut self, index: usize, millis: u64) {
        let seed = self.rng.random();
        let instance = &mut self.instances[index];
        instance.epoch += 1;
        instance.is_draining = false;
        instance.paused_until = self.now;
        instance.member.incarnation = Incarnation(millis);
        instance.node = Some(Node::new(self.now, instance.member.clone(), seed));
        instance.applied = Version(0);
        instance.applied_versions.clear();
        instance.servers.clear();
        self.set_list_state(index, Some(false));
        self.run_node(index, |_, _| {});
    }

    /// Starts all instances in random order, evenly over `span`.
    pub(crate) fn start_all(&mut self, span: Duration) {
        let mut order = (0..self.instances.len()).collect::<Vec<_>>();
        rand::seq::SliceRandom::shuffle(&mut order[..], &mut self.rng);
        let step = span / order.len() as u32;
        for index in order {
            self.start(index);
            self.run(step);
        }
    }

    /// Stops an instance without notice. The list shows it until the lag has passed.
    pub(crate) fn crash(&mut self, index: usize) {
        self.instances[index].node = None;
        self.set_list_state(index, None);
    }

    /// Begins the shutdown of an instance, which goes on running.
    pub(crate) fn drain(&mut self, index: usize) {
        self.set_list_state(index, Some(true));
        self.instances[index].is_draining = true;
        self.run_node(index, |node, now| node.handle(now, Input::Drain));
    }

    /// Pauses an instance for `span`. Events for it are delayed.
    pub(crate) fn pause(&mut self, index: usize, span: Duration) {
        self.instances[index].paused_until = self.now + span;
        let wake_at = self.instances[index].paused_until;
        self.instances[index].next_tick = wake_at;
        self.push(wake_at, Event::Wake(index));
    }

    /// Fixes what the list shows of an instance until its next start, shutdown or crash.
    pub(crate) fn pin_list_state(&mut self, index: usize, leaving: Option<bool>) {
        self.instances[index].list_states = vec![(Time::ZERO, leaving)];
    }

    fn set_list_state(&mut self, index: usize, state: Option<bool>) {
        let at = self.now + LIST_LAG;
        self.instances[index].list_states.push((at, state));
    }

    /// Adds rows to the table through the object store, with the servers spread over the data
    /// centres.
    pub(crate) fn populate_table(&mut self, organisations: usize, models: usize, servers: usize) {
        let mut centres =
            self.instances.iter().map(|it| it.member.centre.clone()).collect::<Vec<_>>();
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
        // Several changes, each well below the head's size limit, with compactions between them.
        for edits in edits.chunks(400) {
            self.propose(edits.to_vec()).expect("the store is up");
            self.committer.compact(&mut self.platform).expect("the store is up");
        }
        // As in normal operation, the log holds only small changes.
        for it in 0..140 {
            self.set_weight("org-0000", it);
        }
        self.committer.compact(&mut self.platform).expect("the store is up");
    }

    /// Commits a change to the object store. Nodes learn of it only by their watches.
    pub(crate) fn propose(&mut self, edits: Vec<Edit>) -> Result<Change, Error> {
        let change = self.propose_without_watch(edits)?;
        self.push(self.now, Event::Platform);
        Ok(change)
    }

    /// Commits a change to the object store without a notice to the watches.
    pub(crate) fn propose_without_watch(&mut self, edits: Vec<Edit>) -> Result<Change, Error> {
        self.proposals += 1;
        let id = self.proposals | 0x5a5a_5a5a_0000_0000_0000_0000_0000_0000;
        let proposal = Proposal { id, operator: "op".into(), at: 1_790_000_000_000, edits };
        let Accepted { change, .. } = self.committer.commit(&mut self.platform, &proposal)?;
        Ok(change)
    }

    /// Sets an organisation's weight and returns the table's new version.
    pub(crate) fn set_weight(&mut self, organisation: &str, weight: u32) -> Version {
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

    /// Passes an input to a node.
    pub(crate) fn handle_input(&mut self, index: usize, input: Input) {
        self.run_node(index, |node, now| node.handle(now, input));
    }

    /// Runs for `span`.
    pub(crate) fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.step(end) {}
        self.now = end;
    }

    /// Runs until `done` returns true, checked every 5 ms, and returns the time that took, or `None`
    /// after `limit`.
    pub(crate) fn run_until(
        &mut self,
        limit: Duration,
        mut done: impl FnMut(&Simulation) -> bool,
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

    /// Returns the running instances.
    pub(crate) fn running(&self) -> impl Iterator<Item = &Instance> {
        self.instances.iter().filter(|it| it.node.is_some())
    }

    /// Whether all running instances see exactly the running instances as live.
    pub(crate) fn views_agree(&self) -> bool {
        let live = self.running().map(|it| &it.member.name).collect::<HashSet<_>>();
        self.running().all(|instance| {
            let view = instance.node.as_ref().map(Node::view);
            let seen = view.into_iter().flat_map(|it| it.live_members()).map(|it| &it.name);
            seen.collect::<HashSet<_>>() == live
        })
    }

    /// Whether all other running instances see `index` as live, or none of them if `live` is false.
    pub(crate) fn all_see(&self, index: usize, live: bool) -> bool {
        let name = &self.instances[index].member.name;
        let others = self.running().filter(|it| it.member.name != *name);
        others.filter_map(|it| it.node.as_ref()).all(|it| it.view().is_live(name) == live)
    }

    /// Whether `version` or a later one is in force at every running instance.
    pub(crate) fn all_apply(&self, version: Version) -> bool {
        self.running().all(|it| version <= it.applied)
    }

    /// Returns the number of data centres.
    pub(crate) fn centre_count(&self) -> usize {
        self.instances.iter().map(|it| &it.member.centre).collect::<HashSet<_>>().len()
    }

    /// Returns the table's version in the object store.
    pub(crate) fn stored_version(&self) -> Version {
        let head = self.platform.get(&head_key());
        let head = head.map(|it| Head::decode(&it.value).expect("the head is well formed"));
        head.map_or(Version(0), |it| it.version)
    }

    /// Whether the same table is in force at all running instances.
    pub(crate) fn tables_agree(&self) -> bool {
        let tables = self.running().filter_map(|it| it.node.as_ref()).map(Node::table);
        let tables = tables.collect::<Vec<_>>();
        tables.windows(2).all(|it| it[0] == it[1])
    }

    /// Returns the names of all servers in the table, in order.
    pub(crate) fn servers(&self) -> Vec<name::Server> {
        let node = self.running().find_map(|it| it.node.as_ref());
        node.map(|it| it.table().servers.keys().cloned().collect()).unwrap_or_default()
    }

    /// Returns the first running instance that is a server's keeper by its own view.
    pub(crate) fn keeper(&self, server: &name::Server) -> Option<usize> {
        let is_keeper = |instance: &Instance| {
            let Some(node) = &instance.node else { return false };
            let Some(row) = node.table().servers.get(server) else { return false };
            node.view().keeper(server, &row.centre) == Some(&instance.member.name)
        };
        self.instances.iter().position(is_keeper)
    }

    /// Resets all counters.
    pub(crate) fn reset_stats(&mut self) {
        self.instances.iter_mut().for_each(|it| it.stats = Stats::default());
        self.platform.calls = 0;
        self.platform.bytes = 0;
        self.list_reads = 0;
        self.peak_calls_per_second = 0;
    }

    /// Starts the servers' health checks and load reports.
    pub(crate) fn start_checks(&mut self) {
        self.is_checking = true;
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
                if self.instances[index].next_tick <= self.now {
                    self.run_node(index, |_, _| {});
                }
            }
            Event::Deliver { to, from, epoch, bytes } => self.deliver(to, from, epoch, bytes),
            Event::Reply { to, epoch, id, reply } => {
                if self.instances[to].epoch != epoch || self.is_paused(to) {
                    if self.instances[to].epoch == epoch && self.instances[to].node.is_some() {
                        let at = self.instances[to].paused_until;
                        self.push(at, Event::Reply { to, epoch, id, reply });
                    }
                    return true;
                }
                self.run_node(to, |node, now| node.handle(now, Input::Reply { id, reply }));
            }
            Event::Platform => self.reply_to_watches(),
            Event::Check => self.run_checks(),
        }
        true
    }

    fn is_paused(&self, index: usize) -> bool {
        self.now < self.instances[index].paused_until
    }

    fn deliver(&mut self, to: usize, from: usize, epoch: u64, bytes: Arc<[u8]>) {
        if self.instances[to].node.is_none() || self.instances[to].epoch != epoch {
            return;
        }
        if self.is_paused(to) {
            let at = self.instances[to].paused_until;
            self.push(at, Event::Deliver { to, from, epoch, bytes });
            return;
        }
        let bytes_on_wire = wire_bytes(bytes.len());
        let stats = &mut self.instances[to].stats;
        stats.received += 1;
        stats.received_bytes += bytes_on_wire;
        let from = self.instances[from].member.name.clone();
        self.run_node(to, |node, now| node.handle(now, Input::Message { from, bytes }));
    }

    fn reply_to_watches(&mut self) {
        for (node, id, reply) in self.platform.take_finished_watches(self.now) {
            let epoch = self.instances[node].epoch;
            let is_unreachable = self.without_platform.contains(&node);
            let reply = if is_unreachable { Reply::Failed(Failure::Unknown) } else { reply };
            self.push(self.now + CALL_DURATION, Event::Reply { to: node, epoch, id, reply });
        }
        let next = self.platform.next_deadline();
        if next < Time::MAX {
            self.push(next, Event::Platform);
        }
    }

    fn run_node(&mut self, index: usize, input: impl FnOnce(&mut Node, Time)) {
        if self.is_paused(index) {
            return;
        }
        let now = self.now;
        let instance = &mut self.instances[index];
        let Some(node) = &mut instance.node else { return };
        let start = Instant::now();
        input(node, now);
        let mut actions = Vec::new();
        let next = node.tick(now, &mut actions);
        instance.stats.busy += start.elapsed();
        instance.stats.ticks += 1;
        assert!(now <= next, "the next time lies in the past");
        // As a real timer, it has a limited resolution.
        let next = next.max(now + Duration::from_micros(200));
        if next < instance.next_tick || instance.next_tick <= now {
            instance.next_tick = next;
            self.push(next, Event::Wake(index));
        }
        for action in actions {
            self.execute(index, action);
        }
    }

    fn execute(&mut self, index: usize, action: Action) {
        match action {
            Action::Send { to, message, delivery } => self.send(index, &to, &message, delivery),
            Action::Call { id, call } => {
                self.count_call();
                let epoch = self.instances[index].epoch;
                let is_unreachable = self.without_platform.contains(&index);
                let reply = if is_unreachable {
                    Some(Reply::Failed(Failure::Unknown))
                } else {
                    self.platform.submit(self.now, index, id, call)
                };
                match reply {
                    Some(reply) => {
                        self.push(
                            self.now + CALL_DURATION,
                            Event::Reply { to: index, epoch, id, reply },
                        );
                    }
                    None => self.push(self.platform.next_deadline(), Event::Platform),
                }
            }
            Action::Apply(table) => {
                let instance = &mut self.instances[index];
                assert!(instance.applied < table.version, "the table version didn't increase");
                instance.applied = table.version;
                instance.applied_at = self.now;
                instance.applied_versions.push(table.version);
            }
            Action::Server { name, state } => {
                self.instances[index].servers.insert(name, state);
            }
            Action::LoadReports(reports) => {
                let now = self.now;
                let loads = reports.into_iter().map(|it| (it.server.clone(), (now - it.age, it)));
                self.instances[index].load_reports.extend(loads);
            }
            Action::LoadSummaries(summaries) => {
                let now = self.now;
                let centres = summaries.into_iter().map(|it| (it.centre, now));
                self.instances[index].summary_times.extend(centres);
            }
            Action::Members(view) => self.count_false_deaths(index, &view),
            Action::CentreStatuses(statuses) => self.instances[index].statuses = statuses,
            Action::ReadInstanceList => self.send_list(index),
            Action::ChangeRejected { version, error } => {
                panic!("change {version} was rejected: {error}")
            }
            action => self.unhandled.push((index, action)),
        }
    }

    fn count_false_deaths(&mut self, index: usize, view: &View) {
        let dead = view.entries().iter().filter(|it| it.state == State::Dead);
        let dead = dead.map(|it| (it.member.name.clone(), it.member.incarnation));
        let dead = dead.collect::<HashSet<_>>();
        let runs = |name: &name::Instance, incarnation: Incarnation| {
            let instance = self.indices.get(name).map(|it| &self.instances[*it]);
            let started = instance.filter(|it| it.node.is_some()).map(|it| it.member.incarnation);
            started.is_some_and(|it| it <= incarnation)
        };
        let old = &self.instances[index].seen_dead;
        let new = dead.iter().filter(|it| !old.contains(it) && runs(&it.0, it.1)).count();
        self.false_deaths += new as u64;
        self.instances[index].seen_dead = dead;
    }

    fn send_list(&mut self, index: usize) {
        self.list_reads += 1;
        self.count_call();
        if (self.platform.is_down && !self.list_survives_outage)
            || self.without_platform.contains(&index)
        {
            return;
        }
        let now = self.now;
        let rows = self.instances.iter().filter_map(|it| {
            let state = it.list_states.iter().rev().find(|(at, _)| *at <= now)?.1?;
            Some(ListedInstance { member: it.member.clone(), is_leaving: state })
        });
        let rows = rows.collect();
        if let Some(node) = &mut self.instances[index].node {
            node.handle(now, Input::InstanceList(rows));
        }
        self.push(now, Event::Wake(index));
        self.instances[index].next_tick = now;
    }

    fn send(&mut self, from: usize, to: &name::Instance, message: &Message, delivery: Delivery) {
        let bytes: Arc<[u8]> = message::encode(message).into();
        let limit = match delivery {
            Delivery::Datagram => message::MAX_DATAGRAM_BYTES,
            Delivery::Stream => message::MAX_MESSAGE_BYTES,
        };
        assert!(bytes.len() <= limit, "{} bytes of {delivery:?}: {message:?}", bytes.len());
        self.count_sent(from, message, wire_bytes(bytes.len()));
        let Some(&to) = self.indices.get(to) else { return };
        if self.is_partitioned(from, to) {
            return;
        }
        let mut delay = self.delay(from, to);
        while self.rng.random_bool(self.packet_loss) {
            if delivery == Delivery::Datagram {
                return;
            }
            // A lost packet of a stream is retransmitted after a round trip and QUIC's probe timeout.
            delay += delay * 2 + Duration::from_millis(25);
        }
        let epoch = self.instances[to].epoch;
        self.push(self.now + delay, Event::Deliver { to, from, epoch, bytes });
    }

    fn count_call(&mut self) {
        let second = self.now.as_millis() / 1_000;
        if self.calls_second.0 != second {
            self.calls_second = (second, 0);
        }
        self.calls_second.1 += 1;
        self.peak_calls_per_second = self.peak_calls_per_second.max(self.calls_second.1);
    }

    fn count_sent(&mut self, from: usize, message: &Message, bytes: u64) {
        let kind = match message {
            Message::Membership(_) => MessageKind::Membership,
            Message::Config(_) => MessageKind::Config,
            Message::Load(_) => MessageKind::Load,
            _ => MessageKind::Other,
        };
        let second = self.now.as_millis() / 1_000;
        let stats = &mut self.instances[from].stats;
        stats.sent += 1;
        stats.sent_bytes += bytes;
        stats.bytes_by_kind[kind as usize] += bytes;
        if stats.second != second {
            stats.second = second;
            stats.second_bytes = 0;
        }
        stats.second_bytes += bytes;
        stats.peak_bytes = stats.peak_bytes.max(stats.second_bytes);
    }

    fn is_partitioned(&self, from: usize, to: usize) -> bool {
        let location = |it: usize| {
            let member = &self.instances[it].member;
            [member.region.as_str().to_owned(), member.centre.as_str().to_owned()]
        };
        if self.partitions.is_empty() {
            return false;
        }
        let (from, to) = (location(from), location(to));
        self.partitions.iter().any(|(a, b)| {
            (from.contains(a) && to.contains(b)) || (from.contains(b) && to.contains(a))
        })
    }

    fn delay(&mut self, from: usize, to: usize) -> Duration {
        let (a, b) = (&self.instances[from].member, &self.instances[to].member);
        let micros = match () {
            () if a.centre == b.centre => 150,
            () if a.region == b.region => 1_000,
            () => 15_000,
        };
        Duration::from_micros(self.rng.random_range(micros..micros * 3 / 2))
    }

    /// Runs the health checks of all instances for the servers that they keep.
    fn run_checks(&mut self) {
        if !self.is_checking {
            return;
        }
        self.push(self.now + CHECK_INTERVAL, Event::Check);
        for index in 0..self.instances.len() {
            let kept = self.kept_servers(index);
            for name in kept.iter().cloned() {
                let real = self.actual_servers.get(&name).copied();
                let state = real.unwrap_or(ServerState::Up(Incarnation(1)));
                let load = self.load_report(&name, state);
                self.run_node(index, |node, now| {
                    node.handle(now, Input::Server { name, state });
                    load.into_iter().for_each(|it| node.handle(now, Input::Load(it)));
                });
            }
        }
    }

    /// Returns the servers that an instance keeps.
    fn kept_servers(&mut self, index: usize) -> Arc<[name::Server]> {
        let instance = &mut self.instances[index];
        let Some(node) = &instance.node else { return Arc::default() };
        let (view, table) = (node.view(), node.table());
        let cache_key = (instance.epoch, view.generation(), table.version);
        if instance.kept_servers.0 != cache_key {
            let centre = &instance.member.centre;
            let in_centre = table.servers.values().filter(|it| it.centre == *centre);
            let kept =
                in_centre.filter(|it| view.keeper(&it.name, centre) == Some(&instance.member.name));
            instance.kept_servers = (cache_key, kept.map(|it| it.name.clone()).collect());
        }
        instance.kept_servers.1.clone()
    }

    fn load_report(&mut self, server: &name::Server, state: ServerState) -> Option<Report> {
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

/// Bytes on the wire of a message of `len` bytes, packet overhead included.
fn wire_bytes(len: usize) -> u64 {
    let len = len as u64;
    len + len.div_ceil(PACKET_PAYLOAD).max(1) * PACKET_OVERHEAD
}
