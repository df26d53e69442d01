//! A randomized soak: real instances as processes of their own, with faults from outside them.
//!
//! `SOAK_SEEDS=50 SOAK_FIRST=100 cargo test --release --test soak -- --nocapture` plays fifty seeds;
//! without, the seeds that ever failed and one more are played. Each line names its seed. `SOAK_LOGS=DIR` keeps what the
//! instances log, a file for each seed and instance.

#[path = "../../../platform/tests/support/mod.rs"]
mod support;

mod foreign;

use std::{
    collections::BTreeMap,
    env, fs,
    fs::OpenOptions,
    net::{IpAddr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use foreign::Objects;
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;
use support::{
    MODEL, TestNet,
    caller::{self, Request},
    configuration,
    proxy::{Fault, Proxy},
    server::{Behaviour, Server},
    store::{BadEscapes, Mode, Store},
    wait_until,
};

/// Days that have failed once, with the cause.
const FAILED: [Day; 2] = [
    // All instances' watches waited while the store was silent, and were never answered: nobody read which weights
    // were named after it was back.
    Day { seed: 922, has_limits: false, has_incidents: false },
    // Pages of the publications ended with names that were not encoded in the next call: the list never ended, and no
    // instance read which weights were named.
    Day { seed: 503, has_limits: true, has_incidents: true },
];
/// Instances, engines and plain servers.
const INSTANCES: usize = 3;
const MAX_INSTANCES: usize = 7;
const ENGINES: usize = 3;
const PLAINS: usize = 2;
/// Faults of one seed, and the longest pause between two.
const FAULTS: usize = 8;
const PAUSE_MS: u64 = 700;
/// How long a fault lasts at most.
const LASTS_MS: u64 = 2_500;
/// Callers, each with one request at a time.
const CALLERS: usize = 6;
/// Time after the last fault until all must be well again: the users' bound for recovery.
const RECOVERY: Duration = Duration::from_secs(12);
/// Tells the draws of limits from those of faults.
const LIMITS: u64 = 0x9e37_79b9_7f4a_7c15;
/// Tells the draws of incidents from the others.
const INCIDENTS: u64 = 0xbf58_476d_1ce4_e5b9;
/// All instances are killed within this time.
const KILL_MS: u64 = 1_000;
/// Longest pause between two instances that return one by one, and before they are killed again.
const RETURN_MS: u64 = 600;
/// Delay of each call at a slow store.
const SLOW: Duration = Duration::from_millis(250);
/// Orders of two holders to one server lie this far apart; see `support::settings_text`.
const GAP: Duration = Duration::from_millis(300);

#[test]
fn promises_hold_under_random_faults() {
    let number = |name: &str| env::var(name).ok().and_then(|it| it.parse::<u64>().ok());
    let first = number("SOAK_FIRST").unwrap_or(1);
    let fresh = first..first + number("SOAK_SEEDS").unwrap_or(1);
    let fresh = fresh.map(|seed| Day { seed, has_limits: true, has_incidents: true });
    let mut all_broken = Vec::new();
    for day in FAILED.into_iter().chain(fresh) {
        let seed = day.seed;
        let broken = World::open(day).play();
        println!("seed {seed}: {}", if broken.is_empty() { "held" } else { "BROKEN" });
        if !broken.is_empty() {
            println!("{broken:#?}");
            all_broken.push((seed, broken));
        }
    }
    assert!(all_broken.is_empty(), "{all_broken:#?}");
}

/// What is played.
#[derive(Clone, Copy, Debug)]
struct Day {
    seed: u64,
    /// Whether servers name rate limits, besides the faults.
    has_limits: bool,
    /// Whether other writers' objects come and go, all instances are killed together, and the store is slow or refuses
    /// calls, besides the faults; the seed names the number of instances then.
    has_incidents: bool,
}

/// One instance, which may be dead or suspended for a while.
struct Instance {
    ip: IpAddr,
    settings: PathBuf,
    log: Option<PathBuf>,
    child: Child,
    proxy: Proxy,
}

impl Instance {
    fn start(ground: &mut TestNet, store: SocketAddr, seeds: &[IpAddr], seed: u64) -> Self {
        let ip = ground.new_ip();
        let proxy = Proxy::open(ground.new_address(), store);
        let settings = env::temp_dir().join(format!("soak-{}-{ip}.ini", std::process::id()));
        let text = support::settings_text(ip, proxy.address, seeds);
        fs::write(&settings, text).expect("a temporary file");
        let log = env::var("SOAK_LOGS").ok();
        let log = log.map(|it| Path::new(&it).join(format!("{seed}-{ip}.log")));
        Self { ip, child: spawn(&settings, log.as_deref()), settings, log, proxy }
    }

    fn callers(&self) -> SocketAddr {
        SocketAddr::new(self.ip, 18_081)
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = Pid::from_raw(self.child.id().cast_signed()) {
            // It may have ended by itself meanwhile, which the restart finds.
            let _ = kill_process(pid, signal);
        }
    }

    fn restart(&mut self) {
        self.child.wait().expect("a child of this process");
        self.child = spawn(&self.settings, self.log.as_deref());
    }

    /// What its process does.
    fn state(&self) -> String {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let state = status.lines().find_map(|it| it.strip_prefix("State:"));
        format!("{}: {}", self.ip, state.unwrap_or("unknown").trim())
    }

    /// Its exit status, if it has ended by itself.
    fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("a child of this process")
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.signal(Signal::CONT);
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

fn spawn(settings: &Path, log: Option<&Path>) -> Child {
    let mut command = Command::new(env!("CARGO_BIN_EXE_shallotlead"));
    command.arg("gateway").arg("--settings").arg(settings);
    let log = log.map(|it| OpenOptions::new().append(true).create(true).open(it));
    let output = log.map_or(Stdio::null(), |it| it.expect("the folder exists").into());
    command.stdout(output).spawn().expect("the program starts")
}

/// What became of the requests, by id.
#[derive(Default)]
struct Outcomes {
    /// Status, or zero without an answer; whether it was whole; the body.
    answers: Mutex<BTreeMap<String, (u16, bool, String)>>,
    next: AtomicU64,
}

struct World {
    seed: u64,
    rng: SmallRng,
    /// Draws the rate limits, if servers name any.
    limits: Option<SmallRng>,
    /// Draws the incidents, if there are any.
    incidents: Option<SmallRng>,
    /// Objects of other writers.
    foreign: Vec<Objects>,
    /// Instances that have ended by themselves.
    ended: Vec<String>,
    store: Store,
    servers: Vec<(Server, Proxy, &'static str)>,
    instances: Vec<Instance>,
    outcomes: Arc<Outcomes>,
    is_over: Arc<AtomicBool>,
    version: u64,
    weights: u64,
}

impl World {
    fn open(Day { seed, has_limits, has_incidents }: Day) -> Self {
        let mut incidents =
            has_incidents.then(|| SmallRng::seed_from_u64(seed.wrapping_mul(INCIDENTS)));
        let count = incidents.as_mut().map_or(INSTANCES, |it| it.random_range(1..=MAX_INSTANCES));
        let mut ground = TestNet::new();
        let store = ground.store();
        if incidents.as_mut().is_some_and(|it| it.random_bool(0.5)) {
            store.set_bad_escapes(BadEscapes::LeftOut);
        }
        store.put("config", "main", configuration(1));
        store.put("versions", MODEL, json!({ "model": MODEL, "version": 1 }));
        let mut servers = Vec::new();
        for number in 0..ENGINES + PLAINS {
            let service = if number < ENGINES { "pool" } else { "app" };
            let server = Server::open(ground.new_address(), &format!("s{number}"), Arc::default());
            server.set_default(Behaviour::Work(10));
            let proxy = Proxy::open(ground.new_address(), server.address);
            let mut entry = server.entry(service, "ready");
            entry["address"] = json!(proxy.address.to_string());
            store.put("servers", &server.id, entry);
            servers.push((server, proxy, service));
        }
        let mut instances: Vec<Instance> = Vec::new();
        for _ in 0..count {
            let seeds: Vec<IpAddr> = instances.iter().map(|it| it.ip).collect();
            instances.push(Instance::start(&mut ground, store.address, &seeds, seed));
        }
        Self {
            seed,
            rng: SmallRng::seed_from_u64(seed),
            limits: has_limits.then(|| SmallRng::seed_from_u64(seed.wrapping_mul(LIMITS))),
            incidents,
            foreign: Vec::new(),
            ended: Vec::new(),
            store,
            servers,
            instances,
            outcomes: Arc::default(),
            is_over: Arc::default(),
            version: 1,
            weights: 1,
        }
    }

    /// Plays the seed; returns the promises that were broken.
    fn play(mut self) -> Vec<String> {
        for instance in &self.instances {
            wait_until("the instances serve", || {
                ask("safe", "warm-up", instance.callers()).0 == 200
            });
        }
        let callers: Vec<_> = (0..CALLERS).map(|number| self.caller(number)).collect();
        for _ in 0..FAULTS {
            self.limit();
            self.incident();
            self.fault();
            let pause = self.rng.random_range(0..PAUSE_MS);
            thread::sleep(Duration::from_millis(pause));
        }
        self.heal();
        let mut broken = self.recovers();
        self.is_over.store(true, Ordering::Relaxed);
        for caller in callers {
            caller.join().expect("a caller");
        }
        self.note_ended();
        broken.extend(self.judge());
        broken.append(&mut self.ended);
        broken
    }

    fn caller(&self, number: usize) -> thread::JoinHandle<()> {
        let addresses: Vec<SocketAddr> = self.instances.iter().map(Instance::callers).collect();
        let (outcomes, is_over) = (self.outcomes.clone(), self.is_over.clone());
        let mut rng = SmallRng::seed_from_u64(self.seed ^ (number as u64 + 1) << 32);
        thread::spawn(move || {
            while !is_over.load(Ordering::Relaxed) {
                let kind = ["once", "safe", "llm", "resume"].choose(&mut rng).expect("kinds");
                let address = addresses.choose(&mut rng).expect("instances");
                let id = format!("{kind}-{}", outcomes.next.fetch_add(1, Ordering::Relaxed));
                let answer = ask(kind, &id, *address);
                outcomes.answers.lock().expect("callers don't panic").insert(id, answer);
                thread::sleep(Duration::from_millis(15));
            }
        })
    }

    /// One fault; those that last end in a thread of their own, so that they overlap.
    fn fault(&mut self) {
        let lasts = Duration::from_millis(self.rng.random_range(200..LASTS_MS));
        let drawn = self.rng.random_range(0..INSTANCES);
        let which = match &mut self.incidents {
            Some(rng) => rng.random_range(0..self.instances.len()),
            None => drawn,
        };
        self.note_ended();
        match self.rng.random_range(0..10) {
            0 => {
                self.instances[which].signal(Signal::KILL);
                self.instances[which].restart();
            }
            1 => {
                self.instances[which].signal(Signal::TERM);
                self.instances[which].restart();
            }
            2 => {
                self.instances[which].signal(Signal::STOP);
                thread::sleep(lasts);
                self.instances[which].signal(Signal::CONT);
            }
            3 => self.harm(self.instances[which].proxy.clone(), lasts),
            4 | 5 => {
                let proxy = self.servers.choose(&mut self.rng).map(|it| it.1.clone());
                self.harm(proxy.expect("servers"), lasts);
            }
            6 => {
                let mode = *[Mode::Unavailable, Mode::Unresponsive, Mode::DropWriteAnswers]
                    .choose(&mut self.rng)
                    .expect("modes");
                self.harm_store(mode, lasts);
            }
            7 => self.store.compact(),
            8 => {
                self.version += 1;
                self.store.put("config", "main", configuration(self.version));
            }
            _ => self.name_weights(),
        }
    }

    /// Some server names a limit, another one than before, or none any more.
    fn limit(&mut self) {
        let Some(rng) = &mut self.limits else { return };
        let (server, ..) = self.servers.choose(rng).expect("servers");
        let limit = ["0", "1.5", "6", "40", "none", "-1"].choose(rng).expect("limits");
        server.announce_limit(Some(*limit).filter(|it| *it != "none"));
    }

    /// Something that concerns all instances at once.
    fn incident(&mut self) {
        let Some(mut rng) = self.incidents.take() else { return };
        match rng.random_range(0..8) {
            0..3 => self.foreign.push(Objects::write(&mut rng, &self.store)),
            3 if !self.foreign.is_empty() => {
                let which = rng.random_range(0..self.foreign.len());
                self.foreign.swap_remove(which).remove(&self.store);
            }
            3 | 4 => self.harm_store_anyhow(&mut rng),
            _ => self.kill_all(&mut rng),
        }
        self.incidents = Some(rng);
    }

    /// Kills all instances and starts them again, together, one by one or twice.
    fn kill_all(&mut self, rng: &mut SmallRng) {
        self.note_ended();
        let pause =
            Duration::from_millis(rng.random_range(0..KILL_MS) / self.instances.len() as u64);
        for instance in &self.instances {
            instance.signal(Signal::KILL);
            thread::sleep(pause);
        }
        if rng.random_bool(0.5) {
            self.harm_store_anyhow(rng);
        }
        let (one_by_one, twice) = (rng.random_bool(0.4), rng.random_bool(0.3));
        for instance in &mut self.instances {
            if one_by_one {
                thread::sleep(Duration::from_millis(rng.random_range(0..RETURN_MS)));
            }
            instance.restart();
        }
        if twice {
            thread::sleep(Duration::from_millis(rng.random_range(0..RETURN_MS)));
            self.note_ended();
            self.instances.iter().for_each(|it| it.signal(Signal::KILL));
            self.instances.iter_mut().for_each(Instance::restart);
        }
    }

    /// Notes the instances that have ended by themselves.
    fn note_ended(&mut self) {
        for instance in &mut self.instances {
            if let Some(status) = instance.ended() {
                self.ended.push(format!("{} ended by itself: {status}", instance.ip));
                instance.restart();
            }
        }
    }

    fn harm_store_anyhow(&mut self, rng: &mut SmallRng) {
        let modes = [Mode::Slow(SLOW), Mode::Limited, Mode::Unavailable, Mode::Unresponsive];
        let mode = *modes.choose(rng).expect("modes");
        let lasts = Duration::from_millis(rng.random_range(200..LASTS_MS));
        self.harm_store(mode, lasts);
    }

    fn harm_store(&self, mode: Mode, lasts: Duration) {
        self.store.set_mode(mode);
        let store = self.store.clone();
        thread::spawn(move || {
            thread::sleep(lasts);
            store.set_mode(Mode::Up);
        });
    }

    fn harm(&mut self, proxy: Proxy, lasts: Duration) {
        let delay = Fault::Delay(Duration::from_millis(30));
        let harms = [Fault::DropAll, Fault::DropAnswers, Fault::Reset, delay];
        proxy.set_fault(*harms.choose(&mut self.rng).expect("harms"));
        thread::spawn(move || {
            thread::sleep(lasts);
            proxy.set_fault(Fault::None);
        });
    }

    fn name_weights(&mut self) {
        self.weights += 1;
        let named = json!({ "model": MODEL, "version": self.weights });
        self.store.put("versions", MODEL, named);
    }

    fn heal(&mut self) {
        thread::sleep(Duration::from_millis(LASTS_MS));
        self.store.set_mode(Mode::Up);
        for (server, proxy, _) in &self.servers {
            proxy.set_fault(Fault::None);
            server.announce_limit(None);
        }
        self.instances.iter().for_each(|it| it.proxy.set_fault(Fault::None));
        self.name_weights();
    }

    /// After the last fault all instances serve, and all engines get the newest weights.
    fn recovers(&self) -> Vec<String> {
        let start = Instant::now();
        loop {
            let serving = self
                .instances
                .iter()
                .filter(|it| ask("llm", "probe", it.callers()).0 == 200)
                .count();
            let engines = self.servers.iter().filter(|it| it.2 == "pool");
            let loaded = engines.filter(|it| it.0.version() == self.weights).count();
            if serving == self.instances.len() && loaded == ENGINES {
                return Vec::new();
            }
            if RECOVERY < start.elapsed() {
                let states: Vec<String> = self.instances.iter().map(Instance::state).collect();
                return vec![format!(
                    "after 12 s {serving} instances serve, {loaded} are loaded; {states:?}"
                )];
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    fn judge(&self) -> Vec<String> {
        let mut runs: BTreeMap<String, u32> = BTreeMap::new();
        for id in self.servers.iter().flat_map(|it| it.0.runs()) {
            *runs.entry(id).or_default() += 1;
        }
        let mut broken = Vec::new();
        let answers = self.outcomes.answers.lock().expect("callers don't panic");
        for (id, (status, is_whole, body)) in answers.iter() {
            let ran = runs.get(id).copied().unwrap_or(0);
            let may_repeat = id.starts_with("safe") || id.starts_with("resume");
            let is_stream = id.starts_with("llm") || id.starts_with("resume");
            if !may_repeat && 1 < ran {
                broken.push(format!("{id} ran {ran} times"));
            }
            if !may_repeat && *status == 503 && 0 < ran {
                broken.push(format!("{id} was refused as not run, and ran"));
            }
            if *status == 200 && *is_whole && !is_stream && body != id {
                broken.push(format!("{id} got the answer {body}"));
            }
            if *status == 200 && *is_whole && is_stream && events(body) != [1, 2, 3, 4, 5, 6, 7, 8]
            {
                broken.push(format!("{id} got the events {:?}", events(body)));
            }
            if matches!(status, 400..=499) {
                broken.push(format!("{id} was denied with {status}"));
            }
        }
        broken.extend(self.judge_orders());
        broken
    }

    /// Fencing tokens of the orders that each engine accepted only grow, one holder for each.
    fn judge_orders(&self) -> Vec<String> {
        let mut holders = BTreeMap::new();
        let mut broken = Vec::new();
        for (server, ..) in &self.servers {
            let orders = server.orders_at();
            for pair in orders.windows(2) {
                let fence = |it: &(Instant, serde_json::Value)| it.1["fence"].as_u64();
                let holder = |it: &(Instant, serde_json::Value)| it.1["holder"].to_string();
                if fence(&pair[1]) < fence(&pair[0]) {
                    broken.push(format!("{}: a lower token after a higher one", server.id));
                }
                let apart = pair[1].0.duration_since(pair[0].0);
                if holder(&pair[0]) != holder(&pair[1]) && apart < GAP {
                    broken.push(format!("{}: two holders within {apart:?}", server.id));
                }
            }
            for (_, order) in orders {
                let holder = order["holder"].to_string();
                let first =
                    holders.entry(order["fence"].as_u64()).or_insert_with(|| holder.clone());
                if *first != holder {
                    broken.push(format!("{holder} and {first} have one token"));
                }
            }
        }
        broken
    }
}

fn ask(kind: &str, id: &str, address: SocketAddr) -> (u16, bool, String) {
    let path = format!("/{kind}/x");
    let ask = match kind {
        "llm" | "resume" => Request::prompt(&path, id),
        "safe" => Request::new("GET", &path, id),
        _ => Request::new("POST", &path, id).body("report"),
    };
    let answer = caller::try_send(&ask, address);
    answer.map_or((0, false, String::new()), |it| (it.status, it.is_complete, it.body))
}

fn events(body: &str) -> Vec<u64> {
    body.lines().filter_map(|it| it.strip_prefix("id: ")?.parse().ok()).collect()
}
