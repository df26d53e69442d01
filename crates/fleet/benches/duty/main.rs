//! Measures the cost of the prefix directory, allowances, duties and intents with 7, 42 and 420
//! instances. The pure code of many instances runs in one thread and in virtual time, with the real
//! codec. Every message is counted with the overhead of its packets, as in the bench `fleet`. Figures
//! don't include the cost of an idle instance, unless their names say so (`rest`).
//!
//! `cargo bench --bench duty` prints the figures, compares the counted ones with `bounds.txt` and
//! fails when one exceeds its bound. Processor time on this machine is printed, but has no bound.
//! `--json` prints all figures as an additional last line. A number as argument selects one size.

#[path = "../common/bounds.rs"]
mod bounds;
#[path = "../common/centres.rs"]
mod centres;
#[path = "../common/figures.rs"]
mod figures;
#[path = "../../tests/support/mod.rs"]
mod support;

use std::{
    collections::{BTreeMap, VecDeque},
    process::ExitCode,
    sync::Arc,
    time::{Duration, Instant},
};

use bounds::{Figures, finish};
use figures::quantile;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use shallotlead_base::{
    id::{Block, Incarnation, Request},
    name,
    time::Time,
};
use shallotlead_fleet::{
    allowance::{self, Demand, Scope},
    directory::{self, Hint, path::Path, table::MAX_ROWS},
    duty,
    intent::{self, Outcome, entry},
    keeper::{self, Event},
    message,
    node::{Action, Input},
};
use shallotlead_table::{change::Edit, column::Column, row};
use support::simulation::Simulation;

const SECOND: Duration = Duration::from_secs(1);
const BOUNDS: &str = include_str!("bounds.txt");
/// Requests per second and instance with 420 instances.
const REQUESTS_PER_SECOND: f64 = 2_400.0 / 420.0;
/// Blocks of a prompt, and how many of them are new to the caches.
const PROMPT_BLOCKS: u64 = 96;
const NEW_BLOCKS: u64 = 32;
/// Seconds for which each load runs.
const SPAN_SECONDS: u32 = 10;
/// Each organisation's limit in requests per second.
const LIMIT_PER_SECOND: f64 = 42.0;
const INCARNATION: Incarnation = Incarnation(1_790_000_000_001);

struct Size {
    name: &'static str,
    organisations: usize,
    servers: usize,
    centres: &'static [(&'static str, &'static str, usize)],
}

const SIZES: &[Size] = &[
    Size { name: "7", organisations: 8, servers: 18, centres: centres::SEVEN },
    Size {
        name: "42",
        organisations: 81,
        servers: 480,
        centres: &[("a", "a-1", 11), ("a", "a-2", 11), ("b", "b-1", 10), ("c", "c-1", 10)],
    },
    Size {
        name: "420",
        organisations: 810,
        servers: 4_800,
        centres: centres::FOUR_HUNDRED_AND_TWENTY,
    },
];

fn main() -> ExitCode {
    let args = std::env::args().collect::<Vec<_>>();
    let chosen = args.iter().find(|it| it.parse::<u32>().is_ok());
    let mut figures = Figures::new();
    measure_sizes(&mut figures);
    measure_table(&mut figures);
    for size in SIZES.iter().filter(|it| chosen.is_none_or(|chosen| chosen == it.name)) {
        println!("{} instances, {} servers", size.name, size.servers);
        measure(size, &mut figures);
    }
    finish(&figures, BOUNDS)
}

fn record_figure(figures: &mut Figures, name: &str, value: f64) {
    println!("  {name:<48} {value:>12.3}");
    figures.insert(name.to_owned(), value);
}

/// Measures the encoded size of messages in bytes.
fn measure_sizes(figures: &mut Figures) {
    let incarnation = INCARNATION;
    let server = name::Server::from("gpu-00001");
    let blocks = |count: u64| (0..count).map(|it| Block(u64::MAX - it)).collect::<Vec<_>>();
    let path = |count| Path::new(&blocks(count));
    let hint =
        Hint { server: server.clone(), incarnation, blocks: 200, confidence: 0.9, age_ms: 12_000 };
    let mut size = |name: &str, message: message::Message| {
        record_figure(figures, &format!("bytes.{name}"), message::encode(&message).len() as f64);
    };
    for count in [96, 200, 1_000] {
        let ask = directory::Message::Lookup { incarnation, number: 70_000, path: path(count) };
        size(&format!("ask_{count}_blocks"), ask.into());
    }
    let (hints, split, number) = (vec![hint; 8], false, 70_000);
    size("hints_8", directory::Message::Hints { incarnation, number, hints, split }.into());
    let (server, path) = (server.clone(), path(200));
    size("placed_200_blocks", directory::Message::Placed { path, server, incarnation }.into());
    let (server, stored) = (name::Server::from("gpu-00001"), blocks(10));
    let evicted = Vec::new();
    let changed = directory::Message::BlocksChanged { server, incarnation, stored, evicted };
    size("changed_10_blocks", changed.into());
    let scope = Scope::Organisation("org-0001".into());
    let amount = allowance::amount::Amount {
        requests: 100_000_000,
        tokens: 1_000_000_000_000,
        concurrency: 10_000_000,
    };
    let want = allowance::Message::GrantRequest { scope, incarnation, number: 70_000, amount };
    size("want", want.into());
    let entry = entry::Entry {
        key: entry::Key {
            organisation: "org-0001".into(),
            key: Arc::from("6e0f7c3a-3f0b-4b59-9a43-0b8d0f1f7a55"),
        },
        body_hash: u128::MAX,
        executor: entry::Executor { instance: "cluj-a-1".into(), incarnation },
        attempt: 70_000,
        state: entry::State::Intended,
    };
    size("intent", intent::Message::Write(entry).into());
}

/// Measures the memory of an owner's full directory table, and the time of a look-up.
fn measure_table(figures: &mut Figures) {
    let mut sim = Simulation::new(1, &[("a", "a-1", 1)]);
    sim.populate_table(1, 1, 64);
    sim.start_all(SECOND);
    sim.run(5 * SECOND);
    let servers = sim.servers();
    let before = resident();
    let path = |prompt: u64| Path::new(&prompt_blocks(prompt, prompt));
    let prompts = MAX_ROWS as u64 / 26 + 1;
    for prompt in 0..prompts {
        let server = servers[prompt as usize % servers.len()].clone();
        let input =
            directory::Input::Placed { path: path(prompt), server, incarnation: INCARNATION };
        sim.handle_input(0, Input::Directory(input));
    }
    let after = resident();
    record_figure(figures, "table.wall.full_mb", after.saturating_sub(before) as f64 / 1e6);
    sim.unhandled.clear();
    let start = Instant::now();
    for prompt in 0..2_000 {
        let input = directory::Input::Lookup { request: Request(1), path: path(prompt) };
        sim.handle_input(0, Input::Directory(input));
    }
    record_figure(figures, "table.wall.ask_us", start.elapsed().as_secs_f64() * 1e6 / 2_000.0);
}

/// Resident memory of this process in bytes.
fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = status.split_whitespace().nth(1).and_then(|it| it.parse::<u64>().ok());
    pages.unwrap_or(0) * 4096
}

/// Bytes and processor time per instance since the counts were last reset.
struct Cost {
    mean_per_instance: f64,
    max_per_instance: f64,
    core_percent: f64,
}

fn measure_cost(sim: &Simulation) -> Cost {
    let span = f64::from(SPAN_SECONDS);
    let count = sim.running().count() as f64;
    let part_bytes = sim.running().map(|it| it.stats.bytes_by_kind[3] as f64).sum::<f64>();
    let all = sim.running().map(|it| it.stats.sent_bytes + it.stats.received_bytes);
    let busy = sim.running().map(|it| it.stats.busy.as_secs_f64()).sum::<f64>();
    Cost {
        // Each byte is sent once and received once.
        mean_per_instance: 2.0 * part_bytes / count / span,
        max_per_instance: all.max().unwrap_or(0) as f64 / span,
        core_percent: busy / count / span * 100.0,
    }
}

fn measure(size: &Size, figures: &mut Figures) {
    let mut sim = Simulation::new(1, size.centres);
    sim.populate_table(size.organisations, 6, size.servers);
    sim.start_all(2 * SECOND);
    sim.run(30 * SECOND);
    let mut put =
        |name: &str, value: f64| record_figure(figures, &format!("{}.{name}", size.name), value);
    sim.reset_stats();
    sim.run(30 * SECOND);
    put("rest.platform_calls_per_s", sim.platform.calls as f64 / 30.0);
    sim.reset_stats();
    measure_directory(&mut sim, &mut put);
    measure_limits(&mut sim, size, &mut put);
    measure_intents(&mut sim, &mut put);
    measure_statuses(&mut sim, &mut put);
}

/// Measures a load in which each request is looked up in the directory and placed, and each server's
/// cache events reach its keeper.
fn measure_directory(sim: &mut Simulation, put: &mut impl FnMut(&str, f64)) {
    let mut rng = SmallRng::seed_from_u64(1);
    let servers = sim.servers();
    let keepers = servers.iter().map(|it| sim.keeper(it)).collect::<Vec<_>>();
    let mut sequences = vec![0; servers.len()];
    let mut cached = vec![VecDeque::new(); servers.len()];
    let requests =
        (REQUESTS_PER_SECOND * sim.instances.len() as f64 * f64::from(SPAN_SECONDS)) as u64;
    let step = SPAN_SECONDS * SECOND / requests as u32;
    let (mut events_count, mut with_hints, mut answered) = (0, 0, 0);
    let roots = sim.instances.len() as u64 * 2;
    sim.unhandled.clear();
    for number in 0..requests {
        let index = rng.random_range(0..sim.instances.len());
        let blocks = prompt_blocks(rng.random_range(0..roots), number);
        let path = Path::new(&blocks);
        let request = Request(number.into());
        let ask = directory::Input::Lookup { request, path: path.clone() };
        sim.handle_input(index, Input::Directory(ask));
        let at = rng.random_range(0..servers.len());
        let (server, incarnation) = (servers[at].clone(), INCARNATION);
        let placed = directory::Input::Placed { path, server: server.clone(), incarnation };
        sim.handle_input(index, Input::Directory(placed));
        let own = blocks[(PROMPT_BLOCKS - NEW_BLOCKS) as usize..].to_vec();
        let mut events = own.iter().copied().map(Event::Stored).collect::<Vec<_>>();
        cached[at].push_back(own);
        if 8 < cached[at].len() {
            let old = cached[at].pop_front().unwrap_or_default();
            events.extend(old.into_iter().map(Event::Evicted));
        }
        if let Some(keeper) = keepers[at] {
            let first = sequences[at] + 1;
            sequences[at] += events.len() as u64;
            events_count += events.len();
            let events = keeper::Input::Events { server, incarnation, first, events };
            sim.handle_input(keeper, Input::Keeper(events));
        }
        sim.run(step);
        for (_, action) in sim.unhandled.drain(..) {
            if let Action::Directory(directory::Output::Hints { hints, .. }) = action {
                answered += 1;
                with_hints += usize::from(!hints.is_empty());
            }
        }
    }
    let span = f64::from(SPAN_SECONDS);
    let cost = measure_cost(sim);
    put(
        "knowledge.events_per_s_and_instance",
        events_count as f64 / span / sim.instances.len() as f64,
    );
    put("knowledge.answers_with_hints_percent", 100.0 * with_hints as f64 / f64::from(answered));
    put("knowledge.bytes_per_s", cost.mean_per_instance);
    put("knowledge.most_bytes_per_s_with_rest", cost.max_per_instance);
    put("knowledge.wall.core_percent_with_rest", cost.core_percent);
    sim.run(5 * SECOND);
}

/// The blocks of a prompt: the first are shared by all prompts of `root`, the last are its own.
fn prompt_blocks(root: u64, own: u64) -> Vec<Block> {
    let mix = |it: u64| Block(it.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
    let shared = (0..PROMPT_BLOCKS - NEW_BLOCKS).map(|it| mix((root << 20) + it));
    let own = (0..NEW_BLOCKS).map(|it| mix((1 << 60) + (own << 20) + it));
    shared.chain(own).collect()
}

/// Measures one limit with demand at only one instance, then many limits with demand at every instance.
fn measure_limits(sim: &mut Simulation, size: &Size, put: &mut impl FnMut(&str, f64)) {
    let limit = |it: usize| Edit::Set {
        cell: shallotlead_table::cell::Cell::new(
            row::Key::new(row::Kind::Organisation, &format!("org-{it:04}")).expect("it is allowed"),
            Column::RequestsPerSecond,
        )
        .expect("the row has the column"),
        expected: None,
        value: LIMIT_PER_SECOND.to_string().into(),
    };
    for edits in (0..size.organisations).map(limit).collect::<Vec<_>>().chunks(200) {
        sim.propose(edits.to_vec()).expect("the store is up");
        sim.run(5 * SECOND);
    }
    let demand = |organisation: usize, requests_per_second| Demand {
        scope: Scope::Organisation(format!("org-{organisation:04}").as_str().into()),
        requests_per_second,
        tokens_per_minute: 0.0,
        concurrency: 0,
    };
    let send_demand = |sim: &mut Simulation, index: usize, demands: Vec<Demand>| {
        sim.handle_input(index, Input::Allowance(allowance::Input::Demand(demands)));
    };
    for index in 0..sim.instances.len() {
        let max_instances = allowance::Input::MaxInstances(sim.instances.len() as u32);
        sim.handle_input(index, Input::Allowance(max_instances));
    }
    sim.run(5 * SECOND);

    sim.unhandled.clear();
    let start = sim.now;
    let mut reached = None;
    sim.reset_stats();
    for _ in 0..SPAN_SECONDS * 10 {
        send_demand(sim, 0, vec![demand(1, 2.0 * LIMIT_PER_SECOND)]);
        sim.run(SECOND / 10);
        let mut share = sim.unhandled.drain(..).filter_map(|it| match it {
            (0, Action::Allowance(allowance::Output::Allow(it))) => it.requests_per_second,
            _ => None,
        });
        if share.next_back().is_some_and(|it| 0.75 * LIMIT_PER_SECOND <= it) {
            reached.get_or_insert(sim.now.since(start));
        }
    }
    let cost_of_one = measure_cost(sim);
    put("limits.one_taker.reached_ms", reached.map_or(1e6, |it| it.as_secs_f64() * 1e3));
    put("limits.one_taker.bytes_per_s", cost_of_one.mean_per_instance);
    put("limits.one_taker.most_bytes_per_s_with_rest", cost_of_one.max_per_instance);
    sim.run(15 * SECOND);

    // Each request adds to the demand for its organisation's limit for about a second.
    let mut rng = SmallRng::seed_from_u64(2);
    let mut wanted = vec![BTreeMap::<usize, f64>::new(); sim.instances.len()];
    sim.reset_stats();
    for _ in 0..SPAN_SECONDS * 5 {
        for (index, wanted) in wanted.iter_mut().enumerate() {
            wanted.retain(|_, it| {
                *it *= 0.82;
                0.2 < *it
            });
            for _ in 0..3 {
                if rng.random_bool((REQUESTS_PER_SECOND / 15.0).min(1.0)) {
                    // A few organisations send many requests, most send few.
                    let skewed = rng.random::<f64>().powi(3) * size.organisations as f64;
                    *wanted.entry(skewed as usize).or_default() += 1.0;
                }
            }
            let demands = wanted.iter().map(|(it, rate)| demand(*it, *rate)).collect();
            send_demand(sim, index, demands);
        }
        sim.run(SECOND / 5);
    }
    let cost_of_all = measure_cost(sim);
    put("limits.all.bytes_per_s", cost_of_all.mean_per_instance);
    put("limits.all.most_bytes_per_s_with_rest", cost_of_all.max_per_instance);
    put("limits.all.wall.core_percent_with_rest", cost_of_all.core_percent);
    sim.unhandled.clear();
    sim.run(15 * SECOND);
}

/// Measures intents when 1% and 10% of the requests carry an idempotency key.
fn measure_intents(sim: &mut Simulation, put: &mut impl FnMut(&str, f64)) {
    let mut number = 0;
    for percent in [1, 10] {
        let all = REQUESTS_PER_SECOND * sim.instances.len() as f64 * f64::from(percent) / 100.0;
        let count = (all * f64::from(SPAN_SECONDS)).ceil().max(10.0) as u32;
        let step = SPAN_SECONDS * SECOND / count;
        let mut asked: BTreeMap<Request, Time> = BTreeMap::new();
        let mut delays = Vec::new();
        sim.unhandled.clear();
        sim.reset_stats();
        let mut end = |sim: &mut Simulation, asked: &BTreeMap<Request, Time>| {
            for (index, action) in std::mem::take(&mut sim.unhandled) {
                let Action::Intent(intent::Output::Began { request, outcome: answer }) = action
                else {
                    continue;
                };
                assert_eq!(answer, Outcome::Recorded);
                delays.push(sim.now.since(asked[&request]).as_secs_f64() * 1e3);
                let kept = entry::StoredResponse {
                    status: 200,
                    content_type: Arc::from("application/json"),
                    body: Some([7; 200].into()),
                };
                let state = entry::State::Done(kept);
                sim.handle_input(index, Input::Intent(intent::Input::Finish { request, state }));
            }
        };
        for _ in 0..count {
            number += 1;
            let request = Request(number);
            let input = intent::Input::Begin {
                request,
                organisation: "org-0001".into(),
                key: format!("6e0f7c3a-3f0b-4b59-9a43-{number:012}").into(),
                body_hash: number,
            };
            asked.insert(request, sim.now);
            sim.handle_input(number as usize % sim.instances.len(), Input::Intent(input));
            run_finely(sim, step, |sim| end(sim, &asked));
        }
        run_finely(sim, 2 * SECOND, |sim| end(sim, &asked));
        let cost = measure_cost(sim);
        put(
            &format!("intents.{percent}_percent.platform_calls_per_s"),
            sim.platform.calls as f64 / f64::from(SPAN_SECONDS + 2),
        );
        put(&format!("intents.{percent}_percent.p50_ms"), quantile(&mut delays, 0.5));
        put(&format!("intents.{percent}_percent.p99_ms"), quantile(&mut delays, 0.99));
        put(&format!("intents.{percent}_percent.bytes_per_s"), cost.mean_per_instance);
    }
}

/// Runs for `span` and calls `check` every 5 ms.
fn run_finely(sim: &mut Simulation, span: Duration, mut check: impl FnMut(&mut Simulation)) {
    let end = sim.now + span;
    while sim.now < end {
        sim.run((5 * SECOND / 1_000).min(end.since(sim.now)));
        check(sim);
    }
}

/// Measures the reports of all servers' statuses to the candidates for the duty's lease.
fn measure_statuses(sim: &mut Simulation, put: &mut impl FnMut(&str, f64)) {
    let servers = sim.servers();
    sim.reset_stats();
    for _ in 0..SPAN_SECONDS {
        for server in &servers {
            let Some(keeper) = sim.keeper(server) else { continue };
            let status = duty::status::Status {
                server: server.clone(),
                incarnation: INCARNATION,
                is_available: true,
                is_leaving: false,
                model: None,
                weights: None,
                role: None,
            };
            sim.handle_input(keeper, Input::Duty(duty::Input::Status(status)));
        }
        sim.run(SECOND);
    }
    let cost = measure_cost(sim);
    put("statuses.most_bytes_per_s_with_rest", cost.max_per_instance);
    put("statuses.wall.core_percent_with_rest", cost.core_percent);
}
