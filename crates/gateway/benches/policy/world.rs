//! A deployment in virtual time: callers, instances, engines, the store of cached prompts, and weights
//! that are named every few seconds.

mod links;
mod weights;

use std::{cmp::Reverse, collections::BinaryHeap, net::{Ipv4Addr, SocketAddr}, sync::Arc, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use shallotlead_base::{hash::Map, time::Time};
use shallotlead_gateway::{adapter::{Load, Part, ServerEntry}, cost::Sample, gossip::Placement, placement::{Choice, Criteria, Reach}, pool, rollout::Rollout};

use crate::{cache::Cache, engine::{Done, Engine, Job}, site::{Prompt, Site}, tally::{Row, Tally}, way::{Chosen, Instance, Way}};

const MODEL: &str = "model";
const SERVICE: &str = "engines";
const STORE: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 1);
const FIRST_PORT: u16 = 1_000;
/// Time from an instance to an engine or back, with the caller's way.
const WIRE: Duration = Duration::from_millis(1);
/// Time until other instances know of a placement, and the part of these messages that is lost.
const TELLING: Duration = Duration::from_millis(2);
const LOST: f64 = 0.03;
/// Time between an engine's reports to an instance, and their age when they come.
const REPORTS: Duration = Duration::from_millis(400);
const REPORT_LAG: Duration = Duration::from_millis(200);
/// Pause before an instance looks for a server again, and how long it does.
const AGAIN: Duration = Duration::from_millis(20);
const PATIENCE: Duration = Duration::from_secs(2);
/// A part that is read again later than this costs nothing.
const AGAIN_WINDOW: Duration = Duration::from_secs(10);
/// How long requests may begin on replaced weights.
const OLDEST_WEIGHTS: Duration = Duration::from_secs(8);

#[derive(Debug)]
enum Event {
    Arrival,
    Dispatch { number: usize, instance: usize, prompt: Prompt, excluded: Vec<pool::Id> },
    AtEngine { instance: usize, excluded: Vec<pool::Id>, choice: Choice, job: Job },
    StepEnd(usize),
    Ready(usize),
    Told { instance: usize, server: pool::Id, placement: Placement },
    Sample { instance: usize, server: pool::Id },
    Reported { instance: usize, server: pool::Id, load: Load, at: Time },
    Naming,
    Tick,
    Loaded { engine: usize, version: u64 },
}

/// Runs one day of `site`.
pub(crate) fn run(site: &Site, way: Way, seed: u64, length: Duration) -> Tally {
    let mut world = World::new(site, way, seed);
    let end = Time::ZERO + length;
    world.plan(Time::ZERO, Event::Arrival);
    world.plan(Time::ZERO, Event::Tick);
    world.plan(Time::ZERO + site.naming, Event::Naming);
    while let Some(Reverse((at, _, place))) = world.due.pop() {
        world.now = at;
        let Some(event) = world.events.remove(&place) else { continue };
        let is_endless =
            matches!(event, Event::Arrival | Event::Sample { .. } | Event::Tick | Event::Naming);
        if end <= at && is_endless {
            continue;
        }
        world.carry(event);
    }
    world.tally
}

struct World<'a> {
    site: &'a Site,
    way: Way,
    now: Time,
    random: SmallRng,
    due: BinaryHeap<Reverse<(Time, u64, u64)>>,
    events: Map<u64, Event>,
    planned: u64,
    instances: Vec<Instance>,
    engines: Vec<Engine>,
    store: Cache,
    store_free: Time,
    rollout: Rollout,
    version: u64,
    model: Arc<str>,
    /// When parts were last used, by their identity and weights.
    used: Map<(u64, u64), Time>,
    /// Prompts whose first token hasn't come.
    sent: Map<usize, Sent>,
    tally: Tally,
}

/// A prompt on its way to its first token.
struct Sent {
    instance: usize,
    at: Time,
    unread: u32,
    wait_ms: f64,
}

impl<'a> World<'a> {
    fn new(site: &'a Site, way: Way, seed: u64) -> Self {
        let model: Arc<str> = Arc::from(MODEL);
        let instance = |_| {
            let mut instance = Instance::default();
            instance.pool.add_version(Time::ZERO, &model, 1);
            for engine in 0..site.engines {
                let entry = ServerEntry {
                    service: Arc::from(SERVICE),
                    address: address(engine),
                    centre: centre(engine % site.centres),
                    is_draining: false,
                    models: vec![(model.clone(), 1)],
                    incarnation: None,
                    sequence: 1,
                };
                instance.pool.put(Time::ZERO, &Arc::from(format!("e{engine}")), 1, entry);
            }
            instance
        };
        let mut world = Self {
            site,
            way,
            now: Time::ZERO,
            random: SmallRng::seed_from_u64(seed),
            due: BinaryHeap::new(),
            events: Map::default(),
            planned: 0,
            instances: (0..site.instances).map(instance).collect(),
            engines: (0..site.engines).map(|_| Engine::new(site.memory)).collect(),
            store: Cache::default(),
            store_free: Time::ZERO,
            rollout: Rollout::default(),
            version: 1,
            model: model.clone(),
            sent: Map::default(),
            used: Map::default(),
            tally: Tally::default(),
        };
        for instance in 0..site.instances {
            for server in 0..site.engines {
                let first = REPORTS.mul_f64(world.random.random());
                world.plan(Time::ZERO + first, Event::Sample { instance, server });
            }
        }
        world
    }

    fn plan(&mut self, at: Time, event: Event) {
        self.planned += 1;
        self.due.push(Reverse((at, self.planned, self.planned)));
        self.events.insert(self.planned, event);
    }

    fn carry(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrival(),
            Event::Dispatch { number, instance, prompt, excluded } => {
                self.dispatch(number, instance, prompt, excluded);
            }
            Event::AtEngine { instance, excluded, choice, job } => {
                self.at_engine(instance, excluded, &choice, job);
            }
            Event::StepEnd(engine) => self.step_end(engine),
            Event::Ready(engine) => self.begin_step(engine),
            Event::Told { instance, server, placement } => {
                let it = &mut self.instances[instance];
                it.memory.record(self.now, &mut it.pool, server, &placement);
            }
            Event::Sample { instance, server } => self.sample(instance, server),
            Event::Reported { instance, server, load, at } => {
                self.instances[instance].pool.update_load(server, at, load);
            }
            Event::Naming => self.naming(),
            Event::Tick => self.tick(),
            Event::Loaded { engine, version } => self.loaded(engine, version),
        }
    }

    fn arrival(&mut self) {
        let uniform: f64 = self.random.random_range(f64::EPSILON..1.0);
        let pause = Duration::from_secs_f64(-uniform.ln() / self.site.rate());
        self.plan(self.now + pause, Event::Arrival);
        let number = self.tally.rows.len();
        let prompt = self.site.prompt(number as u64, &mut self.random);
        self.tally.tokens += u64::from(prompt.tokens());
        self.tally.rows.push(Row {
            arrived: self.now,
            aim: prompt.aim,
            is_long: prompt.is_long,
            first: None,
            is_refused: false,
        });
        let instance = self.random.random_range(0..self.site.instances);
        self.dispatch(number, instance, prompt, Vec::new());
    }

    fn dispatch(
        &mut self,
        number: usize,
        instance: usize,
        prompt: Prompt,
        excluded: Vec<pool::Id>,
    ) {
        let own = centre(instance % self.site.centres);
        let wish = Criteria {
            service: SERVICE,
            model: Some(MODEL),
            latency_target: prompt.aim,
            parts: &prompt.parts,
            cache_owner: None,
            centre: &own,
            is_suspect: false,
            reach: Reach::All,
            fetch_ms_per_token: 1.0 / self.site.link_per_ms,
            capacity_tokens: self.site.memory as f64,
            store: Some(STORE),
            max_stale_weights: OLDEST_WEIGHTS,
            excluded: &excluded,
        };
        let shortest = self.site.long.aim.min(self.site.short.aim);
        let random = self.random.random();
        let it = &mut self.instances[instance];
        let choice = match it.choose(self.way, self.now, &wish, &prompt, shortest, random) {
            Chosen::Server(choice) => choice,
            Chosen::Refused => {
                self.tally.rows[number].is_refused = true;
                return;
            }
            Chosen::Later => {
                let is_patient = self.now.since(self.tally.rows[number].arrived) < PATIENCE;
                self.tally.rows[number].is_refused = !is_patient;
                if is_patient {
                    let excluded = Vec::new();
                    let event = Event::Dispatch { number, instance, prompt, excluded };
                    self.plan(self.now + AGAIN, event);
                }
                return;
            }
        };
        it.pool.get_mut(choice.server).inflight += 1;
        let sent = Sent {
            instance,
            at: self.now,
            unread: choice.uncached_tokens,
            wait_ms: choice.wait_ms,
        };
        self.sent.insert(number, sent);
        self.tell(instance, &choice, &prompt);
        let job = Job::new(number, prompt, self.now, choice.save_to.is_some());
        self.plan(self.now + WIRE, Event::AtEngine { instance, excluded, choice, job });
    }

    /// Notes a placement, and tells the other instances of it.
    fn tell(&mut self, instance: usize, choice: &Choice, prompt: &Prompt) {
        let it = &mut self.instances[instance];
        let placement = choice.placement(it.pool.get(choice.server), &prompt.parts, None);
        it.memory.record(self.now, &mut it.pool, choice.server, &placement);
        for other in 0..self.site.instances {
            if other != instance && !self.random.random_bool(LOST) {
                let (server, placement) = (choice.server, placement.clone());
                self.plan(self.now + TELLING, Event::Told { instance: other, server, placement });
            }
        }
    }

    fn at_engine(
        &mut self,
        instance: usize,
        mut excluded: Vec<pool::Id>,
        choice: &Choice,
        mut job: Job,
    ) {
        let engine = choice.server;
        let is_current = choice.weights == Some(self.engines[engine].weights);
        if is_current && let Some(source) = choice.fetch_from {
            job.ready = self.fetch(engine, source, &job.prompt);
            if self.now < job.ready {
                self.plan(job.ready, Event::Ready(engine));
            }
        }
        let turned_away = match is_current {
            true => self.engines[engine].take(job).err(),
            false => Some(job),
        };
        let Some(job) = turned_away else {
            self.begin_step(engine);
            return;
        };
        self.instances[instance].pool.get_mut(engine).inflight -= 1;
        excluded.push(engine);
        let Job { number, prompt, .. } = job;
        self.plan(self.now + WIRE, Event::Dispatch { number, instance, prompt, excluded });
    }

    fn begin_step(&mut self, engine: usize) {
        let it = &mut self.engines[engine];
        let was = it.step_ends;
        it.begin(self.now);
        self.plan_step(engine, was);
    }

    fn plan_step(&mut self, engine: usize, was: Option<Time>) {
        if let Some(end) = self.engines[engine].step_ends.filter(|it| was != Some(*it)) {
            self.plan(end, Event::StepEnd(engine));
        } else if let Some(ready) = self.engines[engine].next_ready().filter(|it| self.now < *it) {
            self.plan(ready, Event::Ready(engine));
        }
    }

    fn step_end(&mut self, engine: usize) {
        if self.engines[engine].step_ends != Some(self.now) {
            return;
        }
        for done in self.engines[engine].end_step(self.now) {
            match done {
                Done::Began { cached, parts } => self.began(engine, cached, &parts),
                Done::First { number, prompt, is_saved } => {
                    self.first_token(engine, number, &prompt, is_saved);
                }
            }
        }
        self.plan_step(engine, None);
        self.begin_loading(engine);
    }

    /// An engine begins to read a prompt, `cached` of whose tokens it has.
    fn began(&mut self, engine: usize, cached: u32, parts: &[Part]) {
        let weights = self.engines[engine].weights;
        self.tally.cached += u64::from(cached);
        let mut before = 0;
        for part in &parts[..parts.len() - 1] {
            before += part.tokens;
            let last = self.used.insert((part.id, weights), self.now);
            let is_again = last.is_some_and(|it| self.now.since(it) < AGAIN_WINDOW);
            if cached < before && is_again {
                self.tally.again += u64::from(part.tokens);
            }
        }
    }

    fn first_token(&mut self, engine: usize, number: usize, prompt: &Prompt, is_saved: bool) {
        self.tally.rows[number].first = Some(self.now + WIRE);
        if let Some(it) = self.sent.remove(&number) {
            let took = (self.now + WIRE).since(it.at);
            let sample = Sample { uncached_tokens: it.unread, wait_ms: it.wait_ms, elapsed: took };
            let pool = &mut self.instances[it.instance].pool;
            let pace = pool.cost_mut(&Arc::from(SERVICE));
            let waited = pace.queueing_time(it.unread, took);
            pace.observe_first_token(&sample);
            pool.get_mut(engine).record_wait(self.now, waited.as_millis() as u32);
        }
        for instance in &mut self.instances {
            let server = instance.pool.get_mut(engine);
            server.inflight = server.inflight.saturating_sub(1);
        }
        let shared = prompt.shared();
        let weights = self.engines[engine].weights;
        let all: u32 = shared.iter().map(|it| it.tokens).sum();
        let kept = self.store.look(shared, weights);
        if is_saved && kept < all && self.transfer(engine, None, all - kept).is_some() {
            self.store.put(shared, weights, self.site.store_memory);
        }
    }

    /// An engine tells an instance its load; it is old by the time it comes.
    fn sample(&mut self, instance: usize, server: pool::Id) {
        let it = &self.engines[server];
        let load = Load { running: it.running() as u32, waiting: it.waiting() as u32 };
        let at = self.now;
        self.plan(at + REPORT_LAG, Event::Reported { instance, server, load, at });
        self.plan(at + REPORTS, Event::Sample { instance, server });
    }
}

fn address(engine: usize) -> SocketAddr {
    SocketAddr::new(Ipv4Addr::LOCALHOST.into(), FIRST_PORT + engine as u16)
}

fn centre(number: usize) -> Arc<str> {
    Arc::from(format!("c{number}"))
}
