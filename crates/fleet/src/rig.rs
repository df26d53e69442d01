//! Drives one part of many instances in one thread, over a fake object store and a fake network
//! with chosen loss, delay, pauses and clock rates.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use shallotlead_base::{
    id::Incarnation,
    name,
    store::{Call, Failure, Reply, Store as _, memory::Memory},
    time::Time,
};
use shallotlead_table::snapshot::Snapshot;

use crate::{
    context::Context,
    message::{self, Message},
    node::{Action, Source},
    outbox::Outbox,
    part::Part,
    view::{Entry, Member, State, View},
};

/// A fake of the platform's object store that counts calls.
#[derive(Debug, Default)]
pub(crate) struct Store {
    pub(crate) memory: Memory,
    pub(crate) reads: u64,
    pub(crate) writes: u64,
}

impl Store {
    pub(crate) fn apply(&mut self, call: Call) -> Reply {
        match call {
            Call::Get(_) | Call::List { .. } => self.reads += 1,
            Call::Put { .. } | Call::Delete { .. } => self.writes += 1,
            Call::Watch { .. } => unreachable!("no part watches"),
        }
        self.memory.call(call)
    }
}

/// What goes wrong, as probabilities from 0 to 1.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Faults {
    /// A message between instances is lost.
    pub(crate) message: f64,
    /// A message between instances arrives twice.
    pub(crate) double: f64,
    /// A call to the store never takes effect, and its answer never comes.
    pub(crate) request: f64,
    /// A call takes effect, but its answer is lost.
    pub(crate) reply: f64,
    /// The answer is lost at once, and the call takes effect later.
    pub(crate) late: f64,
    /// The store refuses every call.
    pub(crate) out: bool,
    /// Longest time that a message or call takes.
    pub(crate) delay: Duration,
}

impl Default for Faults {
    fn default() -> Self {
        let delay = Duration::from_millis(5);
        Self { message: 0., double: 0., request: 0., reply: 0., late: 0., out: false, delay }
    }
}

/// One instance.
#[derive(Debug)]
pub(crate) struct Bench<P> {
    pub(crate) member: Member,
    pub(crate) part: P,
    pub(crate) view: View,
    pub(crate) up: bool,
    /// It can't reach the store.
    pub(crate) offline: bool,
    /// Paused until then: whatever comes, comes after.
    pub(crate) paused: Time,
    /// Its clock's rate, in parts per million of the true one, and its origin.
    pub(crate) rate: u64,
    origin: u64,
    number: u64,
    due: Time,
    generation: u64,
}

impl<P> Bench<P> {
    pub(crate) fn clock(&self, time: Time) -> Time {
        Time(
            self.origin
                + time.0 / 1_000_000 * self.rate
                + time.0 % 1_000_000 * self.rate / 1_000_000,
        )
    }

    /// The true time at which its clock shows `local`, rounded up.
    fn true_time(&self, local: Time) -> Time {
        if local == Time::MAX {
            return Time::MAX;
        }
        let passed = u128::from(local.0.saturating_sub(self.origin));
        Time((passed * 1_000_000).div_ceil(u128::from(self.rate)) as u64)
    }
}

enum Event {
    Message { from: usize, message: Message },
    Call { life: Incarnation, number: u64, call: Call },
    Reply { life: Incarnation, number: u64, reply: Reply },
}

/// Something that an instance told its daemon.
#[derive(Debug)]
pub(crate) struct Told {
    pub(crate) node: usize,
    pub(crate) action: Action,
}

/// Many instances of one part.
pub(crate) struct Rig<P: Part> {
    pub(crate) now: Time,
    pub(crate) rng: SmallRng,
    pub(crate) store: Store,
    pub(crate) nodes: Vec<Bench<P>>,
    pub(crate) faults: Faults,
    pub(crate) table: Arc<Snapshot>,
    pub(crate) told: VecDeque<Told>,
    /// Pairs of instances that can't reach each other.
    pub(crate) cut: Vec<(usize, usize)>,
    pub(crate) messages: u64,
    pub(crate) bytes: u64,
    queue: BTreeMap<(Time, u64), (usize, Event)>,
    events: u64,
    open: fn() -> P,
    pick: fn(Message) -> Option<P::Message>,
}

const SOURCE: Source = Source::Duty;

impl<P: Part> Rig<P> {
    pub(crate) fn open(
        count: usize,
        seed: u64,
        open: fn() -> P,
        pick: fn(Message) -> Option<P::Message>,
    ) -> Self {
        let mut rig = Self {
            now: Time::ZERO,
            rng: SmallRng::seed_from_u64(seed),
            store: Store::default(),
            nodes: Vec::new(),
            faults: Faults::default(),
            table: Arc::default(),
            told: VecDeque::new(),
            cut: Vec::new(),
            messages: 0,
            bytes: 0,
            queue: BTreeMap::new(),
            events: 0,
            open,
            pick,
        };
        for index in 0..count {
            let member = member(index);
            rig.nodes.push(Bench {
                view: View::new(&member, 0, Vec::new()),
                member,
                part: open(),
                up: true,
                offline: false,
                paused: Time::ZERO,
                rate: 1_000_000,
                origin: 1_000_000_000 * (index as u64 + 1),
                number: 0,
                due: Time::ZERO,
                generation: 0,
            });
        }
        rig.look();
        rig
    }

    /// Tells all instances who is there now: those that are up.
    pub(crate) fn look(&mut self) {
        let entries = self
            .nodes
            .iter()
            .map(|it| Entry {
                member: it.member.clone(),
                state: if it.up { State::Alive } else { State::Dead },
                is_damped: false,
                is_reachable: true,
            })
            .collect::<Vec<_>>();
        for node in &mut self.nodes {
            node.generation += 1;
            node.due = Time::ZERO;
            node.view = View::new(&node.member, node.generation, entries.clone());
        }
    }

    /// Kills an instance.
    pub(crate) fn kill(&mut self, index: usize) {
        self.nodes[index].up = false;
    }

    /// Starts a killed instance again, with nothing kept.
    pub(crate) fn restart(&mut self, index: usize) {
        let open = self.open;
        let node = &mut self.nodes[index];
        node.up = true;
        node.part = open();
        node.member.incarnation.0 += 1;
        node.due = Time::ZERO;
        self.look();
    }

    /// Calls into one instance's part.
    pub(crate) fn call<T>(
        &mut self,
        index: usize,
        act: impl FnOnce(&mut P, &Context<'_>, &mut Outbox<'_>) -> T,
    ) -> T {
        let mut actions = Vec::new();
        let node = &mut self.nodes[index];
        let now = node.clock(self.now);
        let ctx = Context { now, me: &node.member.name, view: &node.view, table: &self.table };
        let mut out = Outbox::new(SOURCE, &mut node.number, &mut actions);
        let res = act(&mut node.part, &ctx, &mut out);
        node.due = Time::ZERO;
        self.carry_out(index, actions);
        res
    }

    /// Goes on until `until`, or until `stop` says so after an event.
    pub(crate) fn run(&mut self, until: Time, mut stop: impl FnMut(&mut Self) -> bool) -> bool {
        loop {
            if stop(self) {
                return true;
            }
            let Some(time) = self.next() else { break };
            if until < time {
                break;
            }
            self.now = self.now.max(time);
            self.step();
        }
        self.now = self.now.max(until);
        stop(self)
    }

    /// Goes on for `time`.
    pub(crate) fn pass(&mut self, time: Duration) {
        let until = self.now + time;
        self.run(until, |_| false);
    }

    fn next(&self) -> Option<Time> {
        let ticks = self
            .nodes
            .iter()
            .filter(|it| it.up)
            .map(|it| it.true_time(it.due).max(it.paused))
            .filter(|it| *it != Time::MAX);
        let event = self.queue.keys().next().map(|it| it.0);
        ticks.chain(event).min()
    }

    fn step(&mut self) {
        for index in 0..self.nodes.len() {
            let node = &self.nodes[index];
            if node.up && node.paused <= self.now && node.due <= node.clock(self.now) {
                self.tick(index);
            }
        }
        while let Some(entry) = self.queue.first_entry()
            && entry.key().0 <= self.now
        {
            let (index, event) = entry.remove();
            self.event(index, event);
        }
    }

    fn tick(&mut self, index: usize) {
        let next = self.call(index, |part, ctx, out| part.tick(ctx, out));
        let node = &mut self.nodes[index];
        let soonest = node.clock(self.now) + Duration::from_millis(1);
        node.due = next.max(soonest);
    }

    fn event(&mut self, index: usize, event: Event) {
        if let Event::Call { life, number, call } = event {
            let reply = self.store.apply(call);
            self.push(index, Event::Reply { life, number, reply });
            return;
        }
        let node = &self.nodes[index];
        if !node.up {
            return;
        }
        if self.now < node.paused {
            self.events += 1;
            self.queue.insert((node.paused, self.events), (index, event));
            return;
        }
        match event {
            Event::Message { from, message } => {
                let from = self.nodes[from].member.name.clone();
                let Some(message) = (self.pick)(message) else { return };
                self.call(index, |part, ctx, out| part.message(ctx, &from, message, out));
            }
            Event::Reply { life, number, reply } if life == node.member.incarnation => {
                self.call(index, |part, ctx, out| part.reply(ctx, number, reply, out));
            }
            Event::Reply { .. } | Event::Call { .. } => {}
        }
    }

    fn push(&mut self, index: usize, event: Event) {
        let delay = self.rng.random_range(1..=self.faults.delay.as_micros() as u64);
        self.events += 1;
        let at = self.now + Duration::from_micros(delay);
        self.queue.insert((at, self.events), (index, event));
    }

    fn carry_out(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message, .. } => self.send(index, &to, message),
                Action::Call { id, call } => self.ask(index, id.number, call),
                action => {
                    self.told.push_back(Told { node: index, action });
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: &name::Instance, message: Message) {
        let bytes = message::encode(&message);
        assert!(bytes.len() <= message::MAX_MESSAGE, "a message of {} bytes", bytes.len());
        self.messages += 1;
        self.bytes += bytes.len() as u64;
        let Some(to) = self.nodes.iter().position(|it| it.member.name == *to) else { return };
        let is_cut = |it: &(usize, usize)| *it == (from, to) || *it == (to, from);
        if self.cut.iter().any(is_cut) || self.rng.random_bool(self.faults.message) {
            return;
        }
        let message = message::decode(&bytes).expect("an encoded message decodes");
        if self.rng.random_bool(self.faults.double) {
            self.push(to, Event::Message { from, message: message.clone() });
        }
        self.push(to, Event::Message { from, message });
    }

    fn ask(&mut self, index: usize, number: u64, call: Call) {
        let life = self.nodes[index].member.incarnation;
        let lost = Event::Reply { life, number, reply: Reply::Failed(Failure::Unknown) };
        let faults = self.faults;
        if faults.out {
            let retry_after = Duration::from_secs(1);
            let reply = Reply::Failed(Failure::NotApplied { retry_after });
            self.push(index, Event::Reply { life, number, reply });
        } else if self.nodes[index].offline || self.rng.random_bool(faults.request) {
            self.push(index, lost);
        } else if self.rng.random_bool(faults.reply) {
            self.store.apply(call);
            self.push(index, lost);
        } else if self.rng.random_bool(faults.late) {
            self.push(index, lost);
            let at = self.now + Duration::from_millis(self.rng.random_range(1..8_000));
            self.events += 1;
            // The answer to a late call finds nobody who waits for it.
            self.queue.insert(
                (at, self.events),
                (index, Event::Call { life: Incarnation(0), number, call }),
            );
        } else {
            self.push(index, Event::Call { life, number, call });
        }
    }
}

/// The member with number `index`.
pub(crate) fn member(index: usize) -> Member {
    let port = 7000 + index as u16;
    Member {
        name: format!("e{index}").into(),
        centre: "cluj-a".into(),
        region: "ro-nord".into(),
        address: ([127, 0, 0, 1], port).into(),
        peer: ([127, 0, 0, 1], port + 1000).into(),
        incarnation: Incarnation(1),
    }
}
