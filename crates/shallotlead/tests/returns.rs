//! The real binary as two processes that are killed together and return, with objects of other writers in the store's
//! lists.

#[path = "../../../platform/tests/support/mod.rs"]
mod support;

use std::{
    env, fs,
    net::{IpAddr, SocketAddr},
    path::PathBuf,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use serde_json::json;
use support::{
    TestNet,
    caller::{self, Request},
    server::Behaviour,
    store::{BadEscapes, Store},
    wait_until,
};

/// Memory of the machine that the settings name.
const MEMORY_MB: usize = 110;
const MEMORY_BYTES: usize = MEMORY_MB * 1_000_000;
/// Names with characters that have a meaning in a request's target.
const ODD: [&str; 5] = ["a00%#", "a01%#zz", "a02&b=", "a03+", "a04%C3%A9"];
/// Objects that together are longer than the machine's memory.
const LONG_COUNT: usize = 120;
/// Length of each object, just above that of a page.
const LONG_BYTES: usize = 1_000_000;
const INSTANCES: usize = 2;
/// How long the instances may take to serve and to read all that is stored.
const RECOVERY: Duration = Duration::from_secs(30);
/// How long they go on after that.
const SETTLE: Duration = Duration::from_secs(1);

/// One instance's process, which reads the store at an address of its own.
struct Instance {
    ip: IpAddr,
    store: Store,
    settings: PathBuf,
    child: Child,
}

impl Instance {
    fn start(net: &mut TestNet, store: &Store, seeds: &[IpAddr]) -> Self {
        let ip = net.new_ip();
        let store = store.serve_also_at(net.new_address());
        let settings = env::temp_dir().join(format!("returns-{}-{ip}.ini", std::process::id()));
        let text = support::settings_text(ip, store.address, seeds)
            + &format!("[memory]\nlimit_mb = {MEMORY_MB}\n");
        fs::write(&settings, text).expect("a temporary file");
        Self { ip, store, child: spawn(&settings), settings }
    }

    /// Whether a plain server and a model engine are reached.
    fn is_served(&self) -> bool {
        let callers = SocketAddr::new(self.ip, 18_081);
        let requests =
            [Request::new("GET", "/safe/x", "plain"), Request::prompt("/llm/x", "prompt")];
        requests.iter().all(|it| {
            caller::try_send(it, callers).is_some_and(|it| it.status == 200 && it.is_complete)
        })
    }

    /// The most resident memory so far.
    fn peak_bytes(&self) -> usize {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("a child that isn't waited for");
        let peak = status.lines().find_map(|it| it.strip_prefix("VmHWM:")?.strip_suffix("kB"));
        // One that has ended has none.
        peak.map_or(0, |it| it.trim().parse::<usize>().expect("a number") * 1_024)
    }

    /// For each kind, how often it was read to its end.
    fn read_lists(&self, kinds: &[&str]) -> Vec<usize> {
        kinds.iter().map(|it| self.store.read_lists(it)).collect()
    }

    /// Sends requests until they are served and this instance has read what is listed. Describes what failed.
    fn recover(&mut self, kinds: &[&str], read_before: &[usize]) -> Result<(), String> {
        let start = Instant::now();
        let (mut asked, mut served) = (0, 0);
        let mut read_at: Option<Instant> = None;
        loop {
            asked += 1;
            let is_served = self.is_served();
            served += usize::from(is_served);
            let is_read = self.read_lists(kinds).iter().zip(read_before).all(|it| it.1 < it.0);
            read_at = read_at.or_else(|| is_read.then(Instant::now));
            let peak = self.peak_bytes();
            let ended = self.child.try_wait().expect("a child of this process");
            let seen = format!(
                "{}: {served} of {asked} served, {peak} bytes at most, read: {is_read}, ended: {ended:?}",
                self.ip
            );
            if ended.is_some() || MEMORY_BYTES <= peak || RECOVERY < start.elapsed() {
                return Err(seen);
            }
            if is_served && read_at.is_some_and(|it| SETTLE <= it.elapsed()) {
                println!("{seen}");
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

fn spawn(settings: &PathBuf) -> Child {
    let mut command = Command::new(env!("CARGO_BIN_EXE_shallotlead"));
    command.arg("gateway").arg("--settings").arg(settings);
    command.stdout(Stdio::null()).spawn().expect("the program starts")
}

/// Writes these objects of each kind, has all instances killed and started again, and checks that they serve, live and
/// stay within their memory.
fn check_return(kinds: &[&str], names: &[String], bad_escapes: BadEscapes) {
    let mut net = TestNet::new();
    let store = net.configured_store();
    store.set_bad_escapes(bad_escapes);
    let _engine = net.engine(&store, "e1");
    let plains = [net.plain_server(&store, "s1"), net.plain_server(&store, "s2")];
    plains.iter().for_each(|it| it.set_default(Behaviour::Work(1)));
    let mut instances: Vec<Instance> = Vec::new();
    for _ in 0..INSTANCES {
        let seeds: Vec<IpAddr> = instances.iter().map(|it| it.ip).collect();
        instances.push(Instance::start(&mut net, &store, &seeds));
    }
    for instance in &instances {
        wait_until("the instances serve", || instance.is_served());
    }
    let filler = json!("x".repeat(LONG_BYTES));
    for (kind, name) in kinds.iter().flat_map(|kind| names.iter().map(move |it| (kind, it))) {
        store.put(kind, name, filler.clone());
    }
    for instance in &mut instances {
        let peak = instance.peak_bytes();
        assert!(peak < MEMORY_BYTES, "{peak} bytes before");
        assert_eq!(instance.child.try_wait().expect("a child of this process"), None);
        instance.child.kill().expect("a child of this process");
    }
    for instance in &mut instances {
        instance.child.wait().expect("a child of this process");
    }
    let read_before: Vec<Vec<usize>> = instances.iter().map(|it| it.read_lists(kinds)).collect();
    let pages_before: Vec<usize> = kinds.iter().map(|it| store.list_calls(it)).collect();
    instances.iter_mut().for_each(|it| it.child = spawn(&it.settings));
    let results: Vec<_> = thread::scope(|scope| {
        let returning = instances.iter_mut().zip(&read_before);
        let recoveries = returning.map(|(it, before)| scope.spawn(|| it.recover(kinds, before)));
        let recoveries: Vec<_> = recoveries.collect();
        recoveries.into_iter().map(|it| it.join().expect("no panic")).collect()
    });
    let pages = || -> Vec<usize> {
        let counts = kinds.iter().zip(&pages_before);
        counts.map(|(kind, before)| store.list_calls(kind) - before).collect()
    };
    // Each long object is a page.
    let length = INSTANCES * names.len();
    println!("pages: {:?}", pages());
    let failed: Vec<String> = results.into_iter().filter_map(Result::err).collect();
    assert!(failed.is_empty(), "pages {:?}, {failed:#?}", pages());
    assert!(pages().iter().all(|it| *it <= 2 * (length + INSTANCES)), "pages: {:?}", pages());
}

fn odd_names() -> Vec<String> {
    ODD.map(str::to_owned).to_vec()
}

fn plain_names(count: usize) -> Vec<String> {
    (0..count).map(|it| format!("a{it:03}")).collect()
}

// Names in a list went into the next page's query as they were: who returned read the same page without end, and kept it.
#[test]
fn machines_return_beside_odd_names_of_servers() {
    check_return(&["servers"], &odd_names(), BadEscapes::LeftOut);
}

// The same at a store that refuses what it can't decode: nobody knew the servers behind the first page.
#[test]
fn machines_return_beside_odd_names_of_servers_that_are_refused() {
    check_return(&["servers"], &odd_names(), BadEscapes::Refused);
}

// The same page of publications.
#[test]
fn machines_return_beside_odd_names_of_versions() {
    check_return(&["versions"], &odd_names(), BadEscapes::LeftOut);
}

// The same page of the instances' own records.
#[test]
fn machines_return_beside_odd_names_of_instances() {
    check_return(&["instance"], &odd_names(), BadEscapes::LeftOut);
}

// The same page of quarantined requests.
#[test]
fn machines_return_beside_odd_names_of_quarantined_requests() {
    check_return(&["quarantine"], &odd_names(), BadEscapes::LeftOut);
}

// All of a list was held: long objects of others together took an instance over its memory.
#[test]
fn machines_return_beside_many_long_objects() {
    check_return(&["servers"], &plain_names(LONG_COUNT), BadEscapes::Refused);
    // All of several lists.
    let kinds = ["versions", "instance", "quarantine"];
    check_return(&kinds, &plain_names(LONG_COUNT / kinds.len()), BadEscapes::Refused);
}
