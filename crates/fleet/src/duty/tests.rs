//! Tests of the duties, against a fake of the servers that take orders.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use proptest::prelude::*;
use rand::Rng;
use shallotlead_base::{
    id::{Incarnation, Weights},
    name,
    time::Time,
};
use shallotlead_table::{
    limit::Limits,
    model::{Kind as Service, Model},
    server::{Role, Server},
    snapshot::Snapshot,
};

use crate::{
    duty::{
        Duty, Input, MAX_ORDER_DELAY, Output,
        order::{Answer, Kind, Order},
        planner::Demand,
        status::Status,
    },
    message::Message,
    node::Action,
    part::Part,
    rig::Rig,
};

type Duties = Rig<Duty>;

const LOAD_TIME: Duration = Duration::from_secs(20);
const STEP: Duration = Duration::from_millis(200);

/// A server that takes orders.
#[derive(Debug)]
struct Engine {
    incarnation: u64,
    model: Option<name::Model>,
    weights: Option<Weights>,
    role: Role,
    leaving: bool,
    loading: Option<(Weights, Time)>,
    checks_fence: bool,
    fence: u64,
    adapters: Vec<Arc<str>>,
    /// Accepted orders, with their times.
    accepted: Vec<(Kind, u64, Time)>,
}

/// The servers, and orders under way to them.
struct Simulation {
    rig: Duties,
    engines: BTreeMap<name::Server, Engine>,
    under_way: Vec<(Time, usize, Order)>,
    /// Probability that an answer is lost.
    reply_loss: f64,
    /// Longest time that an order is under way.
    delay: Duration,
    max_loading: usize,
    log: Vec<Order>,
}

fn model(name: &str, weights: u64) -> Model {
    Model {
        name: name.into(),
        kind: Service::Engine,
        weights: Weights(weights),
        limits: Limits::default(),
        recompute_price: 0.0,
        first_token_target_ms: 500,
        min_replicas: 2,
        load_concurrency: 2,
    }
}

fn server(index: usize, model: &str, checks_fence: bool) -> Server {
    Server {
        name: format!("s{index:02}").into(),
        address: ([127, 0, 0, 1], 9000 + index as u16).into(),
        centre: "cluj-a".into(),
        model: model.into(),
        role: Role::Mixed,
        weight: 1.0,
        limits: Limits::default(),
        checks_fence,
    }
}

impl Simulation {
    /// `count` servers of `m`, empty, every second without a check of the token if `mixed`.
    fn open(instances: usize, count: usize, seed: u64, mixed: bool) -> Self {
        let pick = |message| match message {
            Message::Duty(it) => Some(it),
            _ => None,
        };
        let mut rig = Rig::open(instances, seed, Duty::default, pick);
        let mut table = Snapshot::default();
        table.models.insert("m".into(), model("m", 1));
        let mut engines = BTreeMap::new();
        for index in 0..count {
            let row = server(index, "m", !mixed || index % 2 == 0);
            let engine = Engine {
                incarnation: 1,
                model: None,
                weights: None,
                role: Role::Mixed,
                leaving: false,
                loading: None,
                checks_fence: row.checks_fence,
                fence: 0,
                adapters: Vec::new(),
                accepted: Vec::new(),
            };
            engines.insert(row.name.clone(), engine);
            table.servers.insert(row.name.clone(), row);
        }
        rig.table = Arc::new(table);
        let delay = Duration::from_millis(50);
        let (under_way, log) = (Vec::new(), Vec::new());
        Self { rig, engines, under_way, reply_loss: 0.0, delay, max_loading: 2, log }
    }

    fn edit(&mut self, edit: impl FnOnce(&mut Snapshot)) {
        let mut table = (*self.rig.table).clone();
        table.version.0 += 1;
        edit(&mut table);
        self.rig.table = Arc::new(table);
    }

    fn run(&mut self, time: Duration) {
        let end = self.rig.now + time;
        while self.rig.now < end {
            self.check_health();
            let until = (self.rig.now + STEP).min(end);
            self.rig.run(until, |_| false);
            self.collect_orders();
            self.deliver();
            self.finish_loads();
        }
    }

    fn run_until(&mut self, time: Duration, done: impl Fn(&Simulation) -> bool) {
        let end = self.rig.now + time;
        while !done(self) {
            assert!(self.rig.now < end, "not within {time:?}: {:#?}", self.engines);
            self.run(STEP);
        }
    }

    /// The keepers read the servers' health.
    fn check_health(&mut self) {
        let names = self.engines.keys().cloned().collect::<Vec<_>>();
        for name in names {
            let Some(row) = self.rig.table.servers.get(&name) else { continue };
            let view = &self.rig.nodes[0].view;
            let Some(keeper) = view.keeper(&name, &row.centre).cloned() else { continue };
            let index = self.rig.nodes.iter().position(|it| it.member.name == keeper).unwrap();
            if !self.is_running(index) {
                continue;
            }
            let engine = &self.engines[&name];
            let status = Status {
                server: name.clone(),
                incarnation: Incarnation(engine.incarnation),
                is_available: true,
                is_leaving: engine.leaving,
                model: engine.model.clone(),
                weights: engine.weights,
                role: Some(engine.role),
            };
            self.rig.call(index, |it, ctx, out| it.handle(ctx, Input::Status(status), out));
        }
    }

    fn is_running(&self, index: usize) -> bool {
        let node = &self.rig.nodes[index];
        node.up && node.paused <= self.rig.now
    }

    fn collect_orders(&mut self) {
        let told = std::mem::take(&mut self.rig.told);
        for it in told {
            let Action::Duty(Output::Order(order)) = it.action else { continue };
            let clock = self.rig.nodes[it.node].clock(self.rig.now);
            self.log.push((*order).clone());
            // The daemon's own check, right before it sends.
            if order.until <= clock {
                self.answer(it.node, order.number, Answer::Rejected);
                continue;
            }
            let most = self.delay.as_micros() as u64;
            let delay = Duration::from_micros(self.rig.rng.random_range(0..=most));
            self.under_way.push((self.rig.now + delay, it.node, *order));
        }
    }

    fn deliver(&mut self) {
        let now = self.rig.now;
        let due = self.under_way.extract_if(.., |it| it.0 <= now).collect::<Vec<_>>();
        for (_, node, order) in due {
            let engine = self.engines.get_mut(&order.server).unwrap();
            let answer = engine.accept(now, &order);
            let lost = self.rig.rng.random_bool(self.reply_loss);
            let answer = if lost { Answer::Unknown } else { answer };
            self.answer(node, order.number, answer);
        }
    }

    fn answer(&mut self, node: usize, number: u64, answer: Answer) {
        if self.is_running(node) {
            let input = Input::Answered { number, answer };
            self.rig.call(node, |it, ctx, out| it.handle(ctx, input, out));
        }
    }

    /// Ends loads that are done, and checks how many are under way.
    fn finish_loads(&mut self) {
        let now = self.rig.now;
        for engine in self.engines.values_mut() {
            if let Some((weights, until)) = engine.loading
                && until <= now
            {
                engine.loading = None;
                engine.model = Some("m".into());
                engine.weights = Some(weights);
            }
        }
        let loading = self.engines.values().filter(|it| it.loading.is_some()).count();
        assert!(loading <= self.max_loading, "{loading} servers load at {now:?}");
    }

    fn serving(&self) -> usize {
        let serves = |it: &&Engine| it.model.is_some() && it.loading.is_none();
        self.engines.values().filter(serves).count()
    }

    fn all_serve(&self, weights: u64) -> bool {
        self.engines.values().all(|it| it.weights == Some(Weights(weights)))
    }

    fn holder(&self) -> Option<usize> {
        let holds = |index: &usize| {
            let node = &self.rig.nodes[*index];
            self.is_running(*index) && node.part.lease.grant(node.clock(self.rig.now)).is_some()
        };
        (0..self.rig.nodes.len()).find(holds)
    }

    fn restart(&mut self, server: &str) {
        let engine = self.engines.get_mut(server).unwrap();
        engine.incarnation += 1;
        engine.model = None;
        engine.weights = None;
        engine.loading = None;
        engine.leaving = false;
        engine.role = Role::Mixed;
        engine.adapters.clear();
    }
}

impl Engine {
    fn accept(&mut self, now: Time, order: &Order) -> Answer {
        if order.incarnation.0 != self.incarnation {
            return Answer::Rejected;
        }
        if self.checks_fence && order.fence.0 < self.fence {
            return Answer::Fenced;
        }
        assert!(self.fence <= order.fence.0, "an order of an earlier holder undoes a later one's");
        self.fence = order.fence.0;
        self.accepted.push((order.kind, order.fence.0, now));
        match (order.kind, &order.adapter) {
            (Kind::Load, Some(adapter)) => self.adapters.push(adapter.clone()),
            (Kind::Load, None) if self.weights != Some(order.weights) => {
                self.loading = Some((order.weights, now + LOAD_TIME));
            }
            (Kind::Load, None) => {}
            (Kind::Role, _) => self.role = order.role,
            (Kind::Drain, _) => self.leaving = true,
        }
        Answer::Accepted
    }
}

#[test]
fn new_weights_roll_out_two_at_a_time_and_the_pool_goes_on_serving() {
    let mut world = Simulation::open(7, 9, 1, false);
    world.run_until(Duration::from_secs(300), |it| it.all_serve(1));
    world.edit(|it| it.models.get_mut("m").unwrap().weights = Weights(2));
    let mut busiest = 0;
    let end = world.rig.now + Duration::from_secs(400);
    while !world.all_serve(2) {
        assert!(world.rig.now < end, "{:#?}", world.engines);
        world.run(STEP);
        busiest = busiest.max(9 - world.serving());
    }
    assert_eq!(busiest, 2);
    // Each load was ordered once, and nothing more is.
    assert_eq!(world.log.len(), 18, "{:?}", world.log);
    world.run(Duration::from_secs(120));
    assert_eq!(world.log.len(), 18);
}

// New weights load in all servers' first requests, and then in three at once: the holder dies after
// it ordered two loads, and its successor, who knows of none, orders two more.
#[test]
fn successor_counts_its_predecessors_loads() {
    let mut world = Simulation::open(5, 9, 2, false);
    world.run_until(Duration::from_secs(60), |it| {
        it.engines.values().filter(|it| it.loading.is_some()).count() == 2
    });
    let holder = world.holder().unwrap();
    world.rig.kill(holder);
    world.rig.look();
    // The check on the number of loads runs all the time.
    world.run_until(Duration::from_secs(400), |it| it.all_serve(1));
}

// One load too many, after all: the holder ordered a load and died before its note was stored, so
// that the successor never heard of it. What isn't stored for certain must not be ordered.
#[test]
fn nothing_is_loaded_before_the_note_is_stored() {
    let mut world = Simulation::open(3, 4, 10, false);
    world.run_until(Duration::from_secs(300), |it| it.all_serve(1));
    world.run(Duration::from_secs(5));
    let before = world.log.len();
    world.rig.faults.out = true;
    world.edit(|it| it.models.get_mut("m").unwrap().weights = Weights(2));
    world.run(Duration::from_secs(4));
    assert!(world.holder().is_some(), "the term has ended, which shows nothing");
    assert_eq!(world.log.len(), before);
    world.rig.faults.out = false;
    world.run_until(Duration::from_secs(400), |it| it.all_serve(2));
}

// Loads take effect whose answers are lost. Taken for failed, their slots would be given away.
#[test]
fn lost_answers_free_no_slot() {
    let mut world = Simulation::open(3, 9, 3, false);
    world.reply_loss = 0.7;
    world.run_until(Duration::from_secs(900), |it| it.all_serve(1));
}

// Two instances believe that they hold the duty, and a server takes orders of both. The first was
// paused for a minute; its order, sent just before, arrives late at a server that checks nothing.
#[test]
fn successor_waits_before_it_orders_servers_that_check_nothing() {
    let mut world = Simulation::open(3, 4, 4, true);
    world.run_until(Duration::from_secs(60), |it| it.holder().is_some());
    let first = world.holder().unwrap();
    world.rig.nodes[first].paused = world.rig.now + Duration::from_secs(120);
    world.run_until(Duration::from_secs(60), |it| it.holder().is_some_and(|it| it != first));
    let granted = world.rig.now;
    world.run_until(Duration::from_secs(300), |it| it.all_serve(1));
    for engine in world.engines.values() {
        let (_, _, at) = engine.accepted.last().unwrap();
        if !engine.checks_fence {
            assert!(
                granted + MAX_ORDER_DELAY <= *at + STEP,
                "ordered {:?} early",
                at.since(granted)
            );
        }
    }
}

// An instance goes on giving orders though a server has told it that there is a newer holder.
#[test]
fn fenced_holder_stops_at_once() {
    let mut world = Simulation::open(3, 4, 5, false);
    world.run_until(Duration::from_secs(60), |it| !it.log.is_empty());
    let first = world.log.last().unwrap().fence;
    for engine in world.engines.values_mut() {
        engine.fence = first.0 + 1;
    }
    world.under_way.clear();
    let holder = world.holder().unwrap();
    let number = world.log.last().unwrap().number;
    world.answer(holder, number, Answer::Fenced);
    assert_eq!(world.holder(), None);
    world.run_until(Duration::from_secs(300), |it| it.all_serve(1));
    assert!(world.log.last().unwrap().fence.0 > first.0);
}

#[test]
fn cells_change_roles_and_drain_servers() {
    let mut world = Simulation::open(3, 4, 6, false);
    world.run_until(Duration::from_secs(300), |it| it.all_serve(1));
    world.edit(|it| {
        it.servers.get_mut("s00").unwrap().weight = 0.0;
        it.servers.get_mut("s01").unwrap().role = Role::Prefill;
        it.servers.get_mut("s02").unwrap().role = Role::Decode;
    });
    world.run_until(Duration::from_secs(30), |it| {
        it.engines["s00"].leaving
            && it.engines["s01"].role == Role::Prefill
            && it.engines["s02"].role == Role::Decode
    });
    assert!(!world.engines["s03"].leaving);
}

#[test]
fn model_that_nobody_serves_loads_first_and_adapters_follow_demand() {
    let mut world = Simulation::open(3, 6, 7, false);
    world.run_until(Duration::from_secs(300), |it| it.all_serve(1));
    // Two of the servers come back empty, one of them of a model that has no other.
    world.edit(|it| {
        it.models.insert("n".into(), model("n", 7));
        it.servers.get_mut("s05").unwrap().model = "n".into();
        it.models.get_mut("m").unwrap().weights = Weights(2);
    });
    let before = world.log.len();
    world.run_until(Duration::from_secs(30), |it| before + 1 < it.log.len());
    assert_eq!(world.log[before].model.as_str(), "n");
    world.run_until(Duration::from_secs(300), |it| {
        it.engines.values().filter(|it| it.weights == Some(Weights(2))).count() == 5
    });
    let demand = vec![Demand { model: "m".into(), adapter: Some("a".into()), servers: 1.5 }];
    for node in 0..3 {
        let input = Input::Demand(demand.clone());
        world.rig.call(node, |it, ctx, out| it.handle(ctx, input, out));
    }
    let holding =
        |it: &Simulation| it.engines.values().filter(|it| !it.adapters.is_empty()).count();
    world.run_until(Duration::from_secs(30), |it| holding(it) == 2);
    world.run(Duration::from_secs(60));
    assert_eq!(holding(&world), 2);
    assert!(world.engines.values().all(|it| it.adapters.len() <= 1), "loaded again and again");
}

// A rolling restart leaves orders undone for ten seconds each time, or cuts one short.
#[test]
fn leaving_holder_gives_the_duty_up_once_its_orders_are_answered() {
    let mut world = Simulation::open(3, 9, 8, false);
    world.delay = Duration::from_secs(2);
    world.run_until(Duration::from_secs(60), |it| !it.under_way.is_empty());
    let first = world.holder().unwrap();
    world.rig.call(first, |it, _, _| it.begin_shutdown());
    world.run_until(Duration::from_secs(4), |it| it.under_way.is_empty());
    let closed = world.rig.now;
    world.run_until(Duration::from_secs(8), |it| it.holder().is_some_and(|it| it != first));
    assert!(world.rig.now.since(closed) <= Duration::from_secs(8));
    world.run_until(Duration::from_secs(400), |it| it.all_serve(1));
}

// A rollout stops halfway: the server that was loading crashed, and its slot is never free again.
#[test]
fn crashed_server_frees_its_slot_and_loads_again() {
    let mut world = Simulation::open(3, 4, 9, false);
    world.run_until(Duration::from_secs(60), |it| {
        it.engines.values().filter(|it| it.loading.is_some()).count() == 2
    });
    let loading = world.engines.iter().filter(|it| it.1.loading.is_some());
    let names = loading.map(|it| it.0.as_str().to_owned()).collect::<Vec<_>>();
    for name in &names {
        world.restart(name);
    }
    world.run_until(Duration::from_secs(200), |it| it.all_serve(1));
}

#[derive(Clone, Debug)]
enum Fault {
    Run(u64),
    Pause(u64),
    Crash,
    Restart(usize),
    RestartServer(usize),
    NewWeights,
    AnswerLoss(f64),
    Delay(u64),
    StoreOutage(bool),
    MessageLoss(f64),
    ChangeRole(usize),
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        8 => (500u64..30_000).prop_map(Fault::Run),
        3 => (2_000u64..40_000).prop_map(Fault::Pause),
        1 => Just(Fault::Crash),
        2 => (0usize..4).prop_map(Fault::Restart),
        1 => (0usize..6).prop_map(Fault::RestartServer),
        2 => Just(Fault::NewWeights),
        1 => (0.0..0.8).prop_map(Fault::AnswerLoss),
        1 => (1u64..4_500).prop_map(Fault::Delay),
        1 => any::<bool>().prop_map(Fault::StoreOutage),
        1 => (0.0..0.5).prop_map(Fault::MessageLoss),
        1 => (0usize..6).prop_map(Fault::ChangeRole),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, ..ProptestConfig::default() })]

    /// Whatever happens in whatever order: never more than two servers load at once, and no server
    /// takes an order of an earlier holder after one of a later, whether it checks tokens or not.
    #[test]
    fn one_effective_holder_and_two_loads(
        seed: u64,
        blows in proptest::collection::vec(fault(), 1..30),
    ) {
        let mut world = Simulation::open(4, 6, seed, true);
        for (index, node) in world.rig.nodes.iter_mut().enumerate() {
            node.rate = 970_000 + 20_000 * index as u64;
        }
        for blow in blows {
            match blow {
                Fault::Run(millis) => world.run(Duration::from_millis(millis)),
                Fault::Pause(millis) => {
                    if let Some(index) = world.holder() {
                        world.rig.nodes[index].paused =
                            world.rig.now + Duration::from_millis(millis);
                    }
                }
                Fault::Crash => {
                    if let Some(index) = world.holder() {
                        world.rig.kill(index);
                        world.rig.look();
                    }
                }
                Fault::Restart(index) => world.rig.restart(index),
                Fault::RestartServer(index) => world.restart(&format!("s{index:02}")),
                Fault::NewWeights => {
                    world.edit(|it| it.models.get_mut("m").unwrap().weights.0 += 1);
                }
                Fault::AnswerLoss(part) => world.reply_loss = part,
                Fault::Delay(millis) => world.delay = Duration::from_millis(millis),
                Fault::StoreOutage(out) => world.rig.faults.out = out,
                Fault::MessageLoss(part) => {
                    world.rig.faults.reply = part;
                    world.rig.faults.message = part;
                }
                Fault::ChangeRole(index) => world.edit(|it| {
                    let name = name::Server::from(format!("s{index:02}"));
                    let row = it.servers.get_mut(&name).unwrap();
                    row.role = if row.role == Role::Mixed { Role::Decode } else { Role::Mixed };
                }),
            }
        }
        world.run(Duration::from_secs(30));
    }
}
