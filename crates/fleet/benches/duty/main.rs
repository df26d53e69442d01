//! What divided knowledge, allowances, duties and intents cost, at 7, 42 and 420 instances: the pure
//! code of many instances in one thread and virtual time, with the real codec. Every message is
//! counted with the packets' overhead, as in the bench `fleet`; figures are on top of an instance at
//! rest unless they say otherwise.
//!
//! `cargo bench --bench duty` prints the figures, compares the counted ones with `bounds.txt` and
//! fails when one is over its bound. Time on this machine's processor is printed, never bounded.
//! `--json` adds all figures as one last line. A number as argument runs that size alone.

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

use bounds::{Figures, finish};
use figures::quantile;
use support::net::Net;

const SECOND: Duration = Duration::from_secs(1);
const BOUNDS: &str = include_str!("bounds.txt");
/// Requests a second and instance at 420 instances.
const REQUESTS: f64 = 2_400.0 / 420.0;
/// Blocks of a prompt, and how many of them are new to the caches.
const PROMPT: u64 = 96;
const NEW: u64 = 32;
/// Time over which each load runs.
const SPAN: u32 = 10;
/// Each organisation's limit, in requests a second.
const LIMIT: f64 = 42.0;
const LIFE: Incarnation = Incarnation(1_790_000_000_001);

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
    sizes(&mut figures);
    table(&mut figures);
    for size in SIZES.iter().filter(|it| chosen.is_none_or(|chosen| chosen == it.name)) {
        println!("{} instances, {} servers", size.name, size.servers);
        measure(size, &mut figures);
    }
    finish(&figures, BOUNDS)
}

fn note(figures: &mut Figures, name: &str, value: f64) {
    println!("  {name:<48} {value:>12.3}");
    figures.insert(name.to_owned(), value);
}

/// Bytes of the messages, as encoded.
fn sizes(figures: &mut Figures) {
    let incarnation = LIFE;
    let server = name::Server::from("gpu-00001");
    let blocks = |count: u64| (0..count).map(|it| Block(u64::MAX - it)).collect::<Vec<_>>();
    let path = |count| Path::new(&blocks(count));
    let hint =
        Hint { server: server.clone(), incarnation, blocks: 200, confidence: 0.9, age_ms: 12_000 };
    let mut size = |name: &str, message: message::Message| {
        note(figures, &format!("bytes.{name}"), message::encode(&message).len() as f64);
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
    let want = allowance::Message::Want { scope, incarnation, number: 70_000, amount };
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

/// The home's table when it is full: memory, and time for one question.
fn table(figures: &mut Figures) {
    let mut net = Net::new(1, &[("a", "a-1", 1)]);
    net.seed_table(1, 1, 64);
    net.start_all(SECOND);
    net.run(5 * SECOND);
    let servers = net.servers();
    let before = resident();
    let path = |prompt: u64| Path::new(&prompt_blocks(prompt, prompt));
    let prompts = MAX_ROWS as u64 / 26 + 1;
    for prompt in 0..prompts {
        let server = servers[prompt as usize % servers.len()].clone();
        let input = directory::Input::Placed { path: path(prompt), server, incarnation: LIFE };
        net.input(0, Input::Directory(input));
    }
    let after = resident();
    note(figures, "table.wall.full_mb", after.saturating_sub(before) as f64 / 1e6);
    net.told.clear();
    let start = Instant::now();
    for prompt in 0..2_000 {
        let input = directory::Input::Lookup { request: Request(1), path: path(prompt) };
        net.input(0, Input::Directory(input));
    }
    note(figures, "table.wall.ask_us", start.elapsed().as_secs_f64() * 1e6 / 2_000.0);
}

/// Resident memory of this process in bytes.
fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = status.split_whitespace().nth(1).and_then(|it| it.parse::<u64>().ok());
    pages.unwrap_or(0) * 4096
}

/// Bytes and time since the last reset, over all parts of this bench's subject.
struct Cost {
    mean: f64,
    most: f64,
    core_percent: f64,
}

fn cost(net: &Net) -> Cost {
    let span = f64::from(SPAN);
    let count = net.running().count() as f64;
    let other = net.running().map(|it| it.count.parts[3] as f64).sum::<f64>();
    let all = net.running().map(|it| it.count.sent_bytes + it.count.received_bytes);
    let busy = net.running().map(|it| it.count.busy.as_secs_f64()).sum::<f64>();
    Cost {
        // Each byte is sent once and received once.
        mean: 2.0 * other / count / span,
        most: all.max().unwrap_or(0) as f64 / span,
        core_percent: busy / count / span * 100.0,
    }
}

fn measure(size: &Size, figures: &mut Figures) {
    let mut net = Net::new(1, size.centres);
    net.seed_table(size.organisations, 6, size.servers);
    net.start_all(2 * SECOND);
    net.run(30 * SECOND);
    let mut put = |name: &str, value: f64| note(figures, &format!("{}.{name}", size.name), value);
    net.reset_counts();
    net.run(30 * SECOND);
    put("rest.platform_calls_per_s", net.platform.calls as f64 / 30.0);
    net.reset_counts();
    knowledge(&mut net, &mut put);
    limits(&mut net, size, &mut put);
    intents(&mut net, &mut put);
    statuses(&mut net, &mut put);
}

/// Each request is asked for and placed, and each server's events reach its keeper.
fn knowledge(net: &mut Net, put: &mut impl FnMut(&str, f64)) {
    let mut rng = SmallRng::seed_from_u64(1);
    let servers = net.servers();
    let keepers = servers.iter().map(|it| net.keeper(it)).collect::<Vec<_>>();
    let mut sequences = vec![0; servers.len()];
    let mut cached = vec![VecDeque::new(); servers.len()];
    let requests = (REQUESTS * net.slots.len() as f64 * f64::from(SPAN)) as u64;
    let step = SPAN * SECOND / requests as u32;
    let (mut events_count, mut known, mut answered) = (0, 0, 0);
    let roots = net.slots.len() as u64 * 2;
    net.told.clear();
    for number in 0..requests {
        let index = rng.random_range(0..net.slots.len());
        let blocks = prompt_blocks(rng.random_range(0..roots), number);
        let path = Path::new(&blocks);
        let request = Request(number.into());
        let ask = directory::Input::Lookup { request, path: path.clone() };
        net.input(index, Input::Directory(ask));
        let at = rng.random_range(0..servers.len());
        let (server, incarnation) = (servers[at].clone(), LIFE);
        let placed = directory::Input::Placed { path, server: server.clone(), incarnation };
        net.input(index, Input::Directory(placed));
        let own = blocks[(PROMPT - NEW) as usize..].to_vec();
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
            net.input(keeper, Input::Keeper(events));
        }
        net.run(step);
        for (_, action) in net.told.drain(..) {
            if let Action::Directory(directory::Output::Hints { hints, .. }) = action {
                answered += 1;
                known += usize::from(!hints.is_empty());
            }
        }
    }
    let span = f64::from(SPAN);
    let cost = cost(net);
    put("knowledge.events_per_s_and_instance", events_count as f64 / span / net.slots.len() as f64);
    put("knowledge.answers_with_hints_percent", 100.0 * known as f64 / f64::from(answered));
    put("knowledge.bytes_per_s", cost.mean);
    put("knowledge.most_bytes_per_s_with_rest", cost.most);
    put("knowledge.wall.core_percent_with_rest", cost.core_percent);
    net.run(5 * SECOND);
}

/// A prompt's blocks: the first are those of `root`, the last its own.
fn prompt_blocks(root: u64, own: u64) -> Vec<Block> {
    let mix = |it: u64| Block(it.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
    let shared = (0..PROMPT - NEW).map(|it| mix((root << 20) + it));
    let own = (0..NEW).map(|it| mix((1 << 60) + (own << 20) + it));
    shared.chain(own).collect()
}

/// One tight limit whose demand meets one instance, then every instance's share of many limits.
fn limits(net: &mut Net, size: &Size, put: &mut impl FnMut(&str, f64)) {
    let limit = |it: usize| Edit::Set {
        cell: shallotlead_table::cell::Cell::new(
            row::Key::new(row::Kind::Organisation, &format!("org-{it:04}")).expect("it is allowed"),
            Column::RequestsPerSecond,
        )
        .expect("the row has the column"),
        expected: None,
        value: LIMIT.to_string().into(),
    };
    for edits in (0..size.organisations).map(limit).collect::<Vec<_>>().chunks(200) {
        net.propose(edits.to_vec()).expect("the store is up");
        net.run(5 * SECOND);
    }
    let demand = |organisation: usize, requests_per_second| Demand {
        scope: Scope::Organisation(format!("org-{organisation:04}").as_str().into()),
        requests_per_second,
        tokens_per_minute: 0.0,
        concurrency: 0,
    };
    let tell = |net: &mut Net, index: usize, demands: Vec<Demand>| {
        net.input(index, Input::Allowance(allowance::Input::Demand(demands)));
    };
    for index in 0..net.slots.len() {
        let slots = allowance::Input::Slots(net.slots.len() as u32);
        net.input(index, Input::Allowance(slots));
    }
    net.run(5 * SECOND);

    net.told.clear();
    let start = net.now;
    let mut reached = None;
    net.reset_counts();
    for _ in 0..SPAN * 10 {
        tell(net, 0, vec![demand(1, 2.0 * LIMIT)]);
        net.run(SECOND / 10);
        let mut share = net.told.drain(..).filter_map(|it| match it {
            (0, Action::Allowance(allowance::Output::Allow(it))) => it.requests_per_second,
            _ => None,
        });
        if share.next_back().is_some_and(|it| 0.75 * LIMIT <= it) {
            reached.get_or_insert(net.now.since(start));
        }
    }
    let cost_of_one = cost(net);
    put("limits.one_taker.reached_ms", reached.map_or(1e6, |it| it.as_secs_f64() * 1e3));
    put("limits.one_taker.bytes_per_s", cost_of_one.mean);
    put("limits.one_taker.most_bytes_per_s_with_rest", cost_of_one.most);
    net.run(15 * SECOND);

    // Every request wants its organisation's limit for about a second.
    let mut rng = SmallRng::seed_from_u64(2);
    let mut wanted = vec![BTreeMap::<usize, f64>::new(); net.slots.len()];
    net.reset_counts();
    for _ in 0..SPAN * 5 {
        for (index, wanted) in wanted.iter_mut().enumerate() {
            wanted.retain(|_, it| {
                *it *= 0.82;
                0.2 < *it
            });
            for _ in 0..3 {
                if rng.random_bool((REQUESTS / 15.0).min(1.0)) {
                    // A few large organisations, many small ones.
                    let skewed = rng.random::<f64>().powi(3) * size.organisations as f64;
                    *wanted.entry(skewed as usize).or_default() += 1.0;
                }
            }
            let demands = wanted.iter().map(|(it, rate)| demand(*it, *rate)).collect();
            tell(net, index, demands);
        }
        net.run(SECOND / 5);
    }
    let cost_of_all = cost(net);
    put("limits.all.bytes_per_s", cost_of_all.mean);
    put("limits.all.most_bytes_per_s_with_rest", cost_of_all.most);
    put("limits.all.wall.core_percent_with_rest", cost_of_all.core_percent);
    net.told.clear();
    net.run(15 * SECOND);
}

/// One and ten requests in a hundred carry an idempotency key.
fn intents(net: &mut Net, put: &mut impl FnMut(&str, f64)) {
    let mut number = 0;
    for percent in [1, 10] {
        let all = REQUESTS * net.slots.len() as f64 * f64::from(percent) / 100.0;
        let count = (all * f64::from(SPAN)).ceil().max(10.0) as u32;
        let step = SPAN * SECOND / count;
        let mut asked: BTreeMap<Request, Time> = BTreeMap::new();
        let mut delays = Vec::new();
        net.told.clear();
        net.reset_counts();
        let mut end = |net: &mut Net, asked: &BTreeMap<Request, Time>| {
            for (index, action) in std::mem::take(&mut net.told) {
                let Action::Intent(intent::Output::Began { request, outcome: answer }) = action
                else {
                    continue;
                };
                assert_eq!(answer, Outcome::Recorded);
                delays.push(net.now.since(asked[&request]).as_secs_f64() * 1e3);
                let kept = entry::StoredResponse {
                    status: 200,
                    content_type: Arc::from("application/json"),
                    body: Some([7; 200].into()),
                };
                let state = entry::State::Done(kept);
                net.input(index, Input::Intent(intent::Input::Finish { request, state }));
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
            asked.insert(request, net.now);
            net.input(number as usize % net.slots.len(), Input::Intent(input));
            run_finely(net, step, |net| end(net, &asked));
        }
        run_finely(net, 2 * SECOND, |net| end(net, &asked));
        let cost = cost(net);
        put(
            &format!("intents.{percent}_percent.platform_calls_per_s"),
            net.platform.calls as f64 / f64::from(SPAN + 2),
        );
        put(&format!("intents.{percent}_percent.p50_ms"), quantile(&mut delays, 0.5));
        put(&format!("intents.{percent}_percent.p99_ms"), quantile(&mut delays, 0.99));
        put(&format!("intents.{percent}_percent.bytes_per_s"), cost.mean);
    }
}

/// Goes on for `span`, and looks every few milliseconds.
fn run_finely(net: &mut Net, span: Duration, mut look: impl FnMut(&mut Net)) {
    let end = net.now + span;
    while net.now < end {
        net.run((5 * SECOND / 1_000).min(end.since(net.now)));
        look(net);
    }
}

/// All servers' statuses are told to those that may hold the duty's lease.
fn statuses(net: &mut Net, put: &mut impl FnMut(&str, f64)) {
    let servers = net.servers();
    net.reset_counts();
    for _ in 0..SPAN {
        for server in &servers {
            let Some(keeper) = net.keeper(server) else { continue };
            let status = duty::status::Status {
                server: server.clone(),
                incarnation: LIFE,
                up: true,
                leaving: false,
                model: None,
                weights: None,
                role: None,
            };
            net.input(keeper, Input::Duty(duty::Input::Status(status)));
        }
        net.run(SECOND);
    }
    let cost = cost(net);
    put("statuses.most_bytes_per_s_with_rest", cost.most);
    put("statuses.wall.core_percent_with_rest", cost.core_percent);
}
