//! Runs one component of many instances in one thread, over a fake object store and a fake network
//! with configurable loss, delay, pauses and clock rates.

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
    component::Component,
    context::Context,
    message::{self, Message},
    node::{Action, Source},
    outbox::Outbox,
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
            Call::Watch { .. } => unreachable!("no component watches"),
        }
        self.memory.call(call)
    }
}

/// The faults to inject, as probabilities from 0 to 1 unless noted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Faults {
    /// Probability that a message between instances is lost.
    pub(crate) message_loss: f64,
    /// Probability that a message between instances arrives twice.
    pub(crate) message_duplication: f64,
    /// Probability that a call to the store has no effect and its outcome stays unknown.
    pub(crate) call_loss: f64,
    /// Probability that a call takes effect but its reply is lost.
    pub(crate) reply_loss: f64,
    /// Probability that the reply is lost at once and the call takes effect later.
    pub(crate) delayed_call: f64,
    /// Whether the store rejects every call.
    pub(crate) is_store_down: bool,
    /// Longest time that a message or a call takes.
    pub(crate) max_delay: Duration,
}

impl Default for Faults {
    fn default() -> Self {
        let max_delay = Duration::from_millis(5);
        Self {
            message_loss: 0.,
            message_duplication: 0.,
            call_loss: 0.,
            reply_loss: 0.,
            delayed_call: 0.,
            is_store_down: false,
            max_delay,
        }
    }
}

/// One simulated instance.
#[derive(Debug)]
pub(crate) struct Instance<P> {
    pub(crate) member: Member,
    pub(crate) component: P,
    pub(crate) view: View,
    pub(crate) is_up: bool,
    /// Whether the instance can't reach the store.
    pub(crate) is_offline: bool,
    /// Until then the instance is paused: events for it are delayed.
    pub(crate) paused_until: Time,
    /// Rate of its clock, in parts per million of the true rate.
    pub(crate) clock_rate_ppm: u64,
    /// What its clock shows at time zero.
    clock_origin: u64,
    last_call: u64,
    due: Time,
    generation: u64,
}

impl<P> Instance<P> {
    pub(crate) fn local_time(&self, time: Time) -> Time {
        Time(
            self.clock_origin
                + time.0 / 1_000_000 * self.clock_rate_ppm
                + time.0 % 1_000_000 * self.clock_rate_ppm / 1_000_000,
        )
    }

    /// The simulated time at which its clock shows `local`, rounded up.
    fn global_time(&self, local: Time) -> Time {
        if local == Time::MAX {
            return Time::MAX;
        }
        let passed = u128::from(local.0.saturating_sub(self.clock_origin));
        Time((passed * 1_000_000).div_ceil(u128::from(self.clock_rate_ppm)) as u64)
    }
}

enum Event {
    Message { from: usize, message: Message },
    Call { incarnation: Incarnation, number: u64, call: Call },
    Reply { incarnation: Incarnation, number: u64, reply: Reply },
}

/// An action of an instance that the harness doesn't carry out.
#[derive(Debug)]
pub(crate) struct Emitted {
    pub(crate) index: usize,
    pub(crate) action: Action,
}

/// Many instances of one component, with their network and store.
pub(crate) struct Harness<P: Component> {
    pub(crate) now: Time,
    pub(crate) rng: SmallRng,
    pub(crate) store: Store,
    pub(crate) instances: Vec<Instance<P>>,
    pub(crate) faults: Faults,
    pub(crate) table: Arc<Snapshot>,
    pub(crate) emitted: VecDeque<Emitted>,
    /// Pairs of instances that can't reach each other, by index.
    pub(crate) cuts: Vec<(usize, usize)>,
    pub(crate) messages: u64,
    pub(crate) bytes: u64,
    queue: BTreeMap<(Time, u64), (usize, Event)>,
    sequence: u64,
    create: fn() -> P,
    extract: fn(Message) -> Option<P::Message>,
}

const SOURCE: Source = Source::Duty;

impl<P: Component> Harness<P> {
    pub(crate) fn new(
        count: usize,
        seed: u64,
        create: fn() -> P,
        extract: fn(Message) -> Option<P::Message>,
    ) -> Self {
        let mut harness = Self {
            now: Time::ZERO,
            rng: SmallRng::seed_from_u64(seed),
            store: Store::default(),
            instances: Vec::new(),
            faults: Faults::default(),
            table: Arc::default(),
            emitted: VecDeque::new(),
            cuts: Vec::new(),
            messages: 0,
            bytes: 0,
            queue: BTreeMap::new(),
            sequence: 0,
            create,
            extract,
        };
        for index in 0..count {
            let member = member(index);
            harness.instances.push(Instance {
                view: View::new(&member, 0, Vec::new()),
                member,
                component: create(),
                is_up: true,
                is_offline: false,
                paused_until: Time::ZERO,
                clock_rate_ppm: 1_000_000,
                clock_origin: 1_000_000_000 * (index as u64 + 1),
                last_call: 0,
                due: Time::ZERO,
                generation: 0,
            });
        }
        harness.update_views();
        harness
    }

    /// Gives all instances a view that shows the instances that are up as alive and the others as
    /// dead.
    pub(crate) fn update_views(&mut self) {
        let entries = self
            .instances
            .iter()
            .map(|it| Entry {
                member: it.member.clone(),
                state: if it.is_up { State::Alive } else { State::Dead },
                is_damped: false,
                is_reachable: true,
            })
            .collect::<Vec<_>>();
        for node in &mut self.instances {
            node.generation += 1;
            node.due = Time::ZERO;
            node.view = View::new(&node.member, node.generation, entries.clone());
        }
    }

    /// Stops an instance without notice.
    pub(crate) fn kill(&mut self, index: usize) {
        self.instances[index].is_up = false;
    }

    /// Starts a stopped instance with a new incarnation and without its state.
    pub(crate) fn restart(&mut self, index: usize) {
        let create = self.create;
        let node = &mut self.instances[index];
        node.is_up = true;
        node.component = create();
        node.member.incarnation.0 += 1;
        node.due = Time::ZERO;
        self.update_views();
    }

    /// Calls one instance's component and carries out its actions.
    pub(crate) fn call<T>(
        &mut self,
        index: usize,
        action: impl FnOnce(&mut P, &Context<'_>, &mut Outbox<'_>) -> T,
    ) -> T {
        let mut actions = Vec::new();
        let node = &mut self.instances[index];
        let now = node.local_time(self.now);
        let ctx = Context { now, me: &node.member.name, view: &node.view, table: &self.table };
        let mut out = Outbox::new(SOURCE, &mut node.last_call, &mut actions);
        let result = action(&mut node.component, &ctx, &mut out);
        node.due = Time::ZERO;
        self.carry_out(index, actions);
        result
    }

    /// Runs until the time `until`, or until `stop` returns true. Returns what `stop` returned last.
    pub(crate) fn run_until(
        &mut self,
        until: Time,
        mut stop: impl FnMut(&mut Self) -> bool,
    ) -> bool {
        loop {
            if stop(self) {
                return true;
            }
            let Some(time) = self.next_event() else { break };
            if until < time {
                break;
            }
            self.now = self.now.max(time);
            self.step();
        }
        self.now = self.now.max(until);
        stop(self)
    }

    /// Runs for `time`.
    pub(crate) fn run_for(&mut self, time: Duration) {
        let until = self.now + time;
        self.run_until(until, |_| false);
    }

    fn next_event(&self) -> Option<Time> {
        let ticks = self
            .instances
            .iter()
            .filter(|it| it.is_up)
            .map(|it| it.global_time(it.due).max(it.paused_until))
            .filter(|it| *it != Time::MAX);
        let event = self.queue.keys().next().map(|it| it.0);
        ticks.chain(event).min()
    }

    fn step(&mut self) {
        for index in 0..self.instances.len() {
            let node = &self.instances[index];
            if node.is_up && node.paused_until <= self.now && node.due <= node.local_time(self.now)
            {
                self.tick(index);
            }
        }
        while let Some(entry) = self.queue.first_entry()
            && entry.key().0 <= self.now
        {
            let (index, event) = entry.remove();
            self.handle_event(index, event);
        }
    }

    fn tick(&mut self, index: usize) {
        let next = self.call(index, |part, ctx, out| part.tick(ctx, out));
        let node = &mut self.instances[index];
        let earliest = node.local_time(self.now) + Duration::from_millis(1);
        node.due = next.max(earliest);
    }

    fn handle_event(&mut self, index: usize, event: Event) {
        if let Event::Call { incarnation, number, call } = event {
            let reply = self.store.apply(call);
            self.schedule(index, Event::Reply { incarnation, number, reply });
            return;
        }
        let node = &self.instances[index];
        if !node.is_up {
            return;
        }
        if self.now < node.paused_until {
            self.sequence += 1;
            self.queue.insert((node.paused_until, self.sequence), (index, event));
            return;
        }
        match event {
            Event::Message { from, message } => {
                let from = self.instances[from].member.name.clone();
                let Some(message) = (self.extract)(message) else { return };
                self.call(index, |part, ctx, out| part.message(ctx, &from, message, out));
            }
            Event::Reply { incarnation, number, reply }
                if incarnation == node.member.incarnation =>
            {
                self.call(index, |part, ctx, out| part.reply(ctx, number, reply, out));
            }
            Event::Reply { .. } | Event::Call { .. } => {}
        }
    }

    fn schedule(&mut self, index: usize, event: Event) {
        let delay = self.rng.random_range(1..=self.faults.max_delay.as_micros() as u64);
        self.sequence += 1;
        let at = self.now + Duration::from_micros(delay);
        self.queue.insert((at, self.sequence), (index, event));
    }

    fn carry_out(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message, .. } => self.send(index, &to, message),
                Action::Call { id, call } => self.submit(index, id.number, call),
                action => {
                    self.emitted.push_back(Emitted { index, action });
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: &name::Instance, message: Message) {
        let bytes = message::encode(&message);
        assert!(
            bytes.len() <= message::MAX_MESSAGE_BYTES,
            "a message of {} bytes is too long",
            bytes.len()
        );
        self.messages += 1;
        self.bytes += bytes.len() as u64;
        let Some(to) = self.instances.iter().position(|it| it.member.name == *to) else { return };
        let is_cut = |it: &(usize, usize)| *it == (from, to) || *it == (to, from);
        if self.cuts.iter().any(is_cut) || self.rng.random_bool(self.faults.message_loss) {
            return;
        }
        let message = message::decode(&bytes).expect("an encoded message decodes");
        if self.rng.random_bool(self.faults.message_duplication) {
            self.schedule(to, Event::Message { from, message: message.clone() });
        }
        self.schedule(to, Event::Message { from, message });
    }

    fn submit(&mut self, index: usize, number: u64, call: Call) {
        let incarnation = self.instances[index].member.incarnation;
        let lost_reply =
            Event::Reply { incarnation, number, reply: Reply::Failed(Failure::Unknown) };
        let faults = self.faults;
        if faults.is_store_down {
            let retry_after = Duration::from_secs(1);
            let reply = Reply::Failed(Failure::NotApplied { retry_after });
            self.schedule(index, Event::Reply { incarnation, number, reply });
        } else if self.instances[index].is_offline || self.rng.random_bool(faults.call_loss) {
            self.schedule(index, lost_reply);
        } else if self.rng.random_bool(faults.reply_loss) {
            self.store.apply(call);
            self.schedule(index, lost_reply);
        } else if self.rng.random_bool(faults.delayed_call) {
            self.schedule(index, lost_reply);
            let at = self.now + Duration::from_millis(self.rng.random_range(1..8_000));
            self.sequence += 1;
            // Incarnation 0 belongs to no instance, so the reply to the delayed call is dropped.
            self.queue.insert(
                (at, self.sequence),
                (index, Event::Call { incarnation: Incarnation(0), number, call }),
            );
        } else {
            self.schedule(index, Event::Call { incarnation, number, call });
        }
    }
}

/// The member record of the instance with `index`.
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
