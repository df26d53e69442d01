//! Tests of the duties, with simulated servers that accept orders.

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
    model::{Kind as ModelKind, Model},
    server::{Role, Server},
    snapshot::Snapshot,
};

use crate::{
    component::Component,
    duty::{
        Duty, Input, MAX_ORDER_DELAY, Output,
        order::{Answer, Kind, Order},
        planner::Demand,
        status::Status,
    },
    harness::Harness,
    message::Message,
    node::Action,
};

type Duties = Harness<Duty>;

const LOAD_TIME: Duration = Duration::from_secs(20);
const STEP: Duration = Duration::from_millis(200);

/// A simulated server that accepts orders.
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

/// The instances, the servers, and the orders on their way to them.
struct Simulation {
    harness: Duties,
    engines: BTreeMap<name::Server, Engine>,
    in_flight: Vec<(Time, usize, Order)>,
    /// Probability that an answer is lost.
    reply_loss: f64,
    /// Longest time until an order arrives.
    delay: Duration,
    max_loading: usize,
    log: Vec<Order>,
}

fn model(name: &str, weights: u64) -> Model {
    Model {
        name: name.into(),
        kind: ModelKind::Engine,
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
    /// `count` servers of `m` without weights. If `mixed`, every second one doesn't check the token.
    fn open(instances: usize, count: usize, seed: u64, mixed: bool) -> Self {
        let pick = |message| match message {
            Message::Duty(it) => Some(it),
            _ => None,
        };
        let mut harness = Harness::new(instances, seed, Duty::default, pick);
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
        harness.table = Arc::new(table);
        let delay = Duration::from_millis(50);
        let (in_flight, log) = (Vec::new(), Vec::new());
        Self { harness, engines, in_flight, reply_loss: 0.0, delay, max_loading: 2, log }
    }

    fn edit(&mut self, edit: impl FnOnce(&mut Snapshot)) {
        let mut table = (*self.harness.table).clone();
        table.version.0 += 1;
        edit(&mut table);
        self.harness.table = Arc::new(table);
    }

    fn run(&mut self, time: Duration) {
        let end = self.harness.now + time;
        while self.harness.now < end {
            self.check_health();
            let until = (self.harness.now + STEP).min(end);
            self.harness.run_until(until, |_| false);
            self.collect_orders();
            self.deliver();
            self.finish_loads();
        }
    }

    fn run_until(&mut self, time: Duration, done: impl Fn(&Simulation) -> bool) {
        let end = self.harness.now + time;
        while !done(self) {
            assert!(self.harness.now < end, "not within {time:?}: {:#?}", self.engines);
            self.run(STEP);
        }
    }

    /// Passes each server's status to its keeper.
    fn check_health(&mut self) {
        let names = self.engines.keys().cloned().collect::<Vec<_>>();
        for name in names {
            let Some(row) = self.harness.table.servers.get(&name) else { continue };
            let view = &self.harness.instances[0].view;
            let Some(keeper) = view.keeper(&name, &row.centre).cloned() else { continue };
            let index =
                self.harness.instances.iter().position(|it| it.member.name == keeper).unwrap();
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
            self.harness.call(index, |it, ctx, out| it.handle(ctx, Input::Status(status), out));
        }
    }

    fn is_running(&self, index: usize) -> bool {
        let node = &self.harness.instances[index];
        node.is_up && node.paused_until <= self.harness.now
    }

    fn collect_orders(&mut self) {
        let events = std::mem::take(&mut self.harness.emitted);
        for it in events {
            let Action::Duty(Output::Order(order)) = it.action else { continue };
            let clock = self.harness.instances[it.index].local_time(self.harness.now);
            self.log.push((*order).clone());
            // The check that the daemon makes right before it sends.
            if order.until <= clock {
                self.answer(it.index, order.number, Answer::Rejected);
                continue;
            }
            let most = self.delay.as_micros() as u64;
            let delay = Duration::from_micros(self.harness.rng.random_range(0..=most));
            self.in_flight.push((self.harness.now + delay, it.index, *order));
        }
    }

    fn deliver(&mut self) {
        let now = self.harness.now;
        let due = self.in_flight.extract_if(.., |it| it.0 <= now).collect::<Vec<_>>();
        for (_, node, order) in due {
            let engine = self.engines.get_mut(&order.server).unwrap();
            let answer = engine.accept(now, &order);
            let is_lost = self.harness.rng.random_bool(self.reply_loss);
            let answer = if is_lost { Answer::Unknown } else { answer };
            self.answer(node, order.number, answer);
        }
    }

    fn answer(&mut self, node: usize, number: u64, answer: Answer) {
        if self.is_running(node) {
            let input = Input::Answered { number, answer };
            self.harness.call(node, |it, ctx, out| it.handle(ctx, input, out));
        }
    }

    /// Ends the loads whose time is over, and checks how many are in progress.
    fn finish_loads(&mut self) {
        let now = self.harness.now;
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
            let node = &self.harness.instances[*index];
            self.is_running(*index)
                && node.component.lease.grant(node.local_time(self.harness.now)).is_some()
        };
        (0..self.harness.instances.len()).find(holds)
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
        assert!(
            self.fence <= order.fence.0,
            "an order of an earlier holder arrived after one of a later holder"
        );
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
fn new_weights_roll_out_two_at_a_time_while_the_others_serve() {
    let mut simulation = Simulation::open(7, 9, 1, false);
    simulation.run_until(Duration::from_secs(300), |it| it.all_serve(1));
    simulation.edit(|it| it.models.get_mut("m").unwrap().weights = Weights(2));
    let mut max_out_of_service = 0;
    let end = simulation.harness.now + Duration::from_secs(400);
    while !simulation.all_serve(2) {
        assert!(simulation.harness.now < end, "{:#?}", simulation.engines);
        simulation.run(STEP);
        max_out_of_service = max_out_of_service.max(9 - simulation.serving());
    }
    assert_eq!(max_out_of_service, 2);
    // Each load was ordered once, and no further orders follow.
    assert_eq!(simulation.log.len(), 18, "{:?}", simulation.log);
    simulation.run(Duration::from_secs(120));
    assert_eq!(simulation.log.len(), 18);
}

// A holder crashes after it ordered two loads. A successor that didn't know of them would order two
// more, so that more servers load at once than allowed.
#[test]
fn successor_counts_its_predecessors_loads() {
    let mut simulation = Simulation::open(5, 9, 2, false);
    simulation.run_until(Duration::from_secs(60), |it| {
        it.engines.values().filter(|it| it.loading.is_some()).count() == 2
    });
    let holder = simulation.holder().unwrap();
    simulation.harness.kill(holder);
    simulation.harness.update_views();
    // `run` checks the number of loads at each step.
    simulation.run_until(Duration::from_secs(400), |it| it.all_serve(1));
}

// If a holder ordered a load and crashed before it was stored in the lease, the successor wouldn't
// know of it and would order one load too many. Only loads that are certainly stored may be ordered.
#[test]
fn no_load_is_ordered_before_it_is_stored() {
    let mut simulation = Simulation::open(3, 4, 10, false);
    simulation.run_until(Duration::from_secs(300), |it| it.all_serve(1));
    simulation.run(Duration::from_secs(5));
    let before = simulation.log.len();
    simulation.harness.faults.is_store_down = true;
    simulation.edit(|it| it.models.get_mut("m").unwrap().weights = Weights(2));
    simulation.run(Duration::from_secs(4));
    assert!(simulation.holder().is_some(), "the term has ended, so that the test proves nothing");
    assert_eq!(simulation.log.len(), before);
    simulation.harness.faults.is_store_down = false;
    simulation.run_until(Duration::from_secs(400), |it| it.all_serve(2));
}

// Loads take effect although their answers are lost. If they counted as failed, their slots would be
// used for further loads.
#[test]
fn lost_answers_free_no_slot() {
    let mut simulation = Simulation::open(3, 9, 3, false);
    simulation.reply_loss = 0.7;
    simulation.run_until(Duration::from_secs(900), |it| it.all_serve(1));
}

// A holder is paused for two minutes, and an order that it sent just before arrives late at a server
// that doesn't check tokens. Without a wait the server could have accepted the successor's orders
// before it.
#[test]
fn successor_waits_before_it_orders_servers_without_fencing() {
    let mut simulation = Simulation::open(3, 4, 4, true);
    simulation.run_until(Duration::from_secs(60), |it| it.holder().is_some());
    let first = simulation.holder().unwrap();
    simulation.harness.instances[first].paused_until =
        simulation.harness.now + Duration::from_secs(120);
    simulation.run_until(Duration::from_secs(60), |it| it.holder().is_some_and(|it| it != first));
    let granted = simulation.harness.now;
    simulation.run_until(Duration::from_secs(300), |it| it.all_serve(1));
    for engine in simulation.engines.values() {
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

// A server answers that it has seen a newer token. The holder must not send any further orders.
#[test]
fn fenced_holder_stops_at_once() {
    let mut simulation = Simulation::open(3, 4, 5, false);
    simulation.run_until(Duration::from_secs(60), |it| !it.log.is_empty());
    let first = simulation.log.last().unwrap().fence;
    for engine in simulation.engines.values_mut() {
        engine.fence = first.0 + 1;
    }
    simulation.in_flight.clear();
    let holder = simulation.holder().unwrap();
    let number = simulation.log.last().unwrap().number;
    simulation.answer(holder, number, Answer::Fenced);
    assert_eq!(simulation.holder(), None);
    simulation.run_until(Duration::from_secs(300), |it| it.all_serve(1));
    assert!(simulation.log.last().unwrap().fence.0 > first.0);
}

#[test]
fn table_changes_change_roles_and_drain_servers() {
    let mut simulation = Simulation::open(3, 4, 6, false);
    simulation.run_until(Duration::from_secs(300), |it| it.all_serve(1));
    simulation.edit(|it| {
        it.servers.get_mut("s00").unwrap().weight = 0.0;
        it.servers.get_mut("s01").unwrap().role = Role::Prefill;
        it.servers.get_mut("s02").unwrap().role = Role::Decode;
    });
    simulation.run_until(Duration::from_secs(30), |it| {
        it.engines["s00"].leaving
            && it.engines["s01"].role == Role::Prefill
            && it.engines["s02"].role == Role::Decode
    });
    assert!(!simulation.engines["s03"].leaving);
}

#[test]
fn unserved_model_loads_first_and_adapters_follow_demand() {
    let mut simulation = Simulation::open(3, 6, 7, false);
    simulation.run_until(Duration::from_secs(300), |it| it.all_serve(1));
    // All servers of `m` need new weights, and one server moves to a model that no other serves.
    simulation.edit(|it| {
        it.models.insert("n".into(), model("n", 7));
        it.servers.get_mut("s05").unwrap().model = "n".into();
        it.models.get_mut("m").unwrap().weights = Weights(2);
    });
    let before = simulation.log.len();
    simulation.run_until(Duration::from_secs(30), |it| before + 1 < it.log.len());
    assert_eq!(simulation.log[before].model.as_str(), "n");
    simulation.run_until(Duration::from_secs(300), |it| {
        it.engines.values().filter(|it| it.weights == Some(Weights(2))).count() == 5
    });
    let demand = vec![Demand { model: "m".into(), adapter: Some("a".into()), servers: 1.5 }];
    for node in 0..3 {
        let input = Input::Demand(demand.clone());
        simulation.harness.call(node, |it, ctx, out| it.handle(ctx, input, out));
    }
    let holding =
        |it: &Simulation| it.engines.values().filter(|it| !it.adapters.is_empty()).count();
    simulation.run_until(Duration::from_secs(30), |it| holding(it) == 2);
    simulation.run(Duration::from_secs(60));
    assert_eq!(holding(&simulation), 2);
    assert!(
        simulation.engines.values().all(|it| it.adapters.len() <= 1),
        "an adapter was loaded repeatedly"
    );
}

// A holder that is shut down without releasing the lease would delay orders by ten seconds at each
// step of a rolling restart, and could leave one without its answer.
#[test]
fn holder_that_shuts_down_releases_the_lease_once_its_orders_are_answered() {
    let mut simulation = Simulation::open(3, 9, 8, false);
    simulation.delay = Duration::from_secs(2);
    simulation.run_until(Duration::from_secs(60), |it| !it.in_flight.is_empty());
    let first = simulation.holder().unwrap();
    simulation.harness.call(first, |it, _, _| it.begin_shutdown());
    simulation.run_until(Duration::from_secs(4), |it| it.in_flight.is_empty());
    let closed = simulation.harness.now;
    simulation.run_until(Duration::from_secs(8), |it| it.holder().is_some_and(|it| it != first));
    assert!(simulation.harness.now.since(closed) <= Duration::from_secs(8));
    simulation.run_until(Duration::from_secs(400), |it| it.all_serve(1));
}

// Servers crash while they load. If their slots stayed in use, the rollout would stop.
#[test]
fn crashed_server_frees_its_slot_and_loads_again() {
    let mut simulation = Simulation::open(3, 4, 9, false);
    simulation.run_until(Duration::from_secs(60), |it| {
        it.engines.values().filter(|it| it.loading.is_some()).count() == 2
    });
    let loading = simulation.engines.iter().filter(|it| it.1.loading.is_some());
    let names = loading.map(|it| it.0.as_str().to_owned()).collect::<Vec<_>>();
    for name in &names {
        simulation.restart(name);
    }
    simulation.run_until(Duration::from_secs(200), |it| it.all_serve(1));
}

#[derive(Clone, Debug)]
enum Step {
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

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (500u64..30_000).prop_map(Step::Run),
        3 => (2_000u64..40_000).prop_map(Step::Pause),
        1 => Just(Step::Crash),
        2 => (0usize..4).prop_map(Step::Restart),
        1 => (0usize..6).prop_map(Step::RestartServer),
        2 => Just(Step::NewWeights),
        1 => (0.0..0.8).prop_map(Step::AnswerLoss),
        1 => (1u64..4_500).prop_map(Step::Delay),
        1 => any::<bool>().prop_map(Step::StoreOutage),
        1 => (0.0..0.5).prop_map(Step::MessageLoss),
        1 => (0usize..6).prop_map(Step::ChangeRole),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, ..ProptestConfig::default() })]

    /// With any sequence of steps: never more than two servers load at once, and no server accepts an
    /// order of an earlier holder after one of a later holder, whether it checks tokens or not.
    #[test]
    fn at_most_one_effective_holder_and_two_loads(
        seed: u64,
        steps in proptest::collection::vec(step(), 1..30),
    ) {
        let mut simulation = Simulation::open(4, 6, seed, true);
        for (index, node) in simulation.harness.instances.iter_mut().enumerate() {
            node.clock_rate_ppm = 970_000 + 20_000 * index as u64;
        }
        for step in steps {
            match step {
                Step::Run(millis) => simulation.run(Duration::from_millis(millis)),
                Step::Pause(millis) => {
                    if let Some(index) = simulation.holder() {
                        simulation.harness.instances[index].paused_until =
                            simulation.harness.now + Duration::from_millis(millis);
                    }
                }
                Step::Crash => {
                    if let Some(index) = simulation.holder() {
                        simulation.harness.kill(index);
                        simulation.harness.update_views();
                    }
                }
                Step::Restart(index) => simulation.harness.restart(index),
                Step::RestartServer(index) => simulation.restart(&format!("s{index:02}")),
                Step::NewWeights => {
                    simulation.edit(|it| it.models.get_mut("m").unwrap().weights.0 += 1);
                }
                Step::AnswerLoss(part) => simulation.reply_loss = part,
                Step::Delay(millis) => simulation.delay = Duration::from_millis(millis),
                Step::StoreOutage(out) => simulation.harness.faults.is_store_down = out,
                Step::MessageLoss(part) => {
                    simulation.harness.faults.reply_loss = part;
                    simulation.harness.faults.message_loss = part;
                }
                Step::ChangeRole(index) => simulation.edit(|it| {
                    let name = name::Server::from(format!("s{index:02}"));
                    let row = it.servers.get_mut(&name).unwrap();
                    row.role = if row.role == Role::Mixed { Role::Decode } else { Role::Mixed };
                }),
            }
        }
        simulation.run(Duration::from_secs(30));
    }
}
