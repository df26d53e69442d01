//! What is counted: stored bytes, candidates, messages and bytes between instances. The figures are
//! the same in every run.

use std::{sync::Arc, time::Duration};

use shallotlead_base::{id::Block, name};
use shallotlead_fleet::{
    allowance, directory, dispatch,
    message::{Message, encode},
    node::Input,
};
use shallotlead_policy::{action::Action, input::Input as RouterInput};
use shallotlead_table::{
    cell::Cell,
    change::Edit,
    column::Column,
    layout::{Compaction, Head},
    row,
    snapshot::Snapshot,
};

use crate::{
    shape,
    support::simulation::{PACKET_OVERHEAD, Simulation},
};

/// One data centre of the large deployment.
const INSTANCES: &[(&str, &str, usize)] = &[("a", "a-1", 42)];
/// Requests a second that each of its instances sends: 2,400 by 420 instances.
const RATE: f64 = 5.714;
const SERVERS: usize = 480;
/// Size of the large deployment's table.
const ORGANISATIONS: usize = 810;
const ALL_SERVERS: usize = 4_800;

pub(crate) fn measure(note: &mut crate::Note<'_>) {
    stored(note);
    candidates(note);
    messages(note);
    requests(note);
    placements(note);
    limits(note);
}

fn compaction(table: &Snapshot) -> Compaction {
    let mut head = Head::default();
    head.version = table.version;
    head.compact(table).unwrap()
}

fn stored(note: &mut crate::Note<'_>) {
    const ROWS: usize = 4_000;
    let size = |table: &Snapshot| {
        let parts = compaction(table).parts;
        parts.iter().map(|it| it.value.len()).sum::<usize>() as f64 / ROWS as f64
    };
    note("stored.table_row.organisation_bytes", size(&shape::table(ROWS, 0, 0)));
    note("stored.table_row.model_bytes", size(&shape::table(0, ROWS, 0)));
    note("stored.table_row.server_bytes", size(&shape::table(0, 0, ROWS)));
    let table = shape::table(ORGANISATIONS, 6, ALL_SERVERS);
    let compaction = compaction(&table);
    // The head itself is read too.
    note("stored.table.reads_for_all", compaction.parts.len() as f64 + 1.0);
    let bytes = compaction.parts.iter().map(|it| it.value.len()).sum::<usize>();
    note("stored.table.bytes", bytes as f64);
    note("wire.table.bytes", postcard::to_stdvec(&table).unwrap().len() as f64);
}

/// Servers that are weighed for one decision, by the size of the pool.
fn candidates(note: &mut crate::Note<'_>) {
    const REQUESTS: usize = 2_000;
    for servers in [18, 480, 4_800] {
        let table = Arc::new(shape::table(10, 6, servers));
        let mut router = shape::router(&table);
        let mut most = 0;
        for it in 0..REQUESTS {
            let arrival = shape::arrival(it, it % 10, it % 50);
            router.handle(shape::START, RouterInput::Arrive(Box::new(arrival)));
            let mut actions = Vec::new();
            router.tick(shape::START, &mut actions);
            let weighed = actions.iter().map(|it| match it {
                Action::Send(it) => it.decision.candidates.len(),
                _ => 0,
            });
            most = most.max(weighed.max().unwrap_or(0));
        }
        note(&format!("decision.servers_{servers}.most_candidates"), most as f64);
    }
}

/// Bytes of messages of each kind, without the packet's own.
fn messages(note: &mut crate::Note<'_>) {
    let size = |message: directory::Message| encode(&Message::Directory(message)).len() as f64;
    let (server, incarnation) = (shape::server(1), shape::LIFE);
    let path = shape::path(1);
    note("wire.path_steps", path.steps.len() as f64);
    let ask = directory::Message::Lookup { incarnation, number: 1_000, path: path.clone() };
    note("wire.ask_bytes", size(ask));
    let hint = directory::Hint {
        server: server.clone(),
        incarnation,
        blocks: 100,
        confidence: 0.9,
        age_ms: 20_000,
    };
    let hints = vec![hint; directory::MAX_HINTS];
    let hints = directory::Message::Hints { incarnation, number: 1_000, hints, split: false };
    note("wire.hints_bytes", size(hints));
    let placed = directory::Message::Placed { path, server: server.clone(), incarnation };
    note("wire.placed_bytes", size(placed));
    let changed = |count| {
        let stored = (0..count).map(|it| shape::block(1, it)).collect::<Vec<Block>>();
        size(directory::Message::BlocksChanged {
            server: server.clone(),
            incarnation,
            stored,
            evicted: Vec::new(),
        })
    };
    note("wire.changed_block_bytes", (changed(90) - changed(1)) / 89.0);
    note("wire.packet_overhead_bytes", PACKET_OVERHEAD as f64);
}

/// Bytes and messages between instances for each request: the question to the prefix's home, its
/// answer, the word of the placement, and what the home asks of the keeper.
fn requests(note: &mut crate::Note<'_>) {
    let mut sim = sim();
    for (name, prompts) in [("new_prompt", 100_000), ("known_prompt", 20)] {
        // Known prompts are told of once before they are counted.
        for it in 0..prompts.min(100) {
            request(&mut sim, it, it);
        }
        sim.run(Duration::from_secs(2));
        const REQUESTS: usize = 1_000;
        sim.reset_stats();
        for it in 0..REQUESTS {
            request(&mut sim, it, 200 + it % prompts);
            sim.run(Duration::from_millis(4));
        }
        sim.run(Duration::from_secs(1));
        let bytes = sim.running().map(|it| it.stats.bytes_by_kind[3]).sum::<u64>() as f64;
        note(&format!("request.{name}.bytes"), bytes / REQUESTS as f64);
    }
}

fn request(sim: &mut Simulation, number: usize, prompt: usize) {
    let (servers, instances) = (SERVERS, sim.instances.len());
    let at = number % instances;
    let path = shape::path(prompt);
    let request = shallotlead_base::id::Request(number as u128);
    let ask = directory::Input::Lookup { request, path: path.clone() };
    sim.handle_input(at, Input::Directory(ask));
    let (server, incarnation) = (shape::server(prompt % servers), shape::LIFE);
    sim.handle_input(at, Input::Directory(directory::Input::Placed { path, server, incarnation }));
}

/// What the instances of a data centre tell each other of what they sent, for each instance.
fn placements(note: &mut crate::Note<'_>) {
    const SECONDS: f64 = 10.0;
    let mut sim = sim();
    sim.reset_stats();
    let instances = sim.instances.len();
    let count = (RATE * SECONDS * instances as f64) as usize;
    for it in 0..count {
        let sent = dispatch::Assignment {
            server: shape::server(it % SERVERS),
            incarnation: shape::LIFE,
            uncached_tokens: 2_000,
            anchors: vec![shape::block(it, 1); dispatch::MAX_ANCHORS],
            age: Duration::ZERO,
        };
        sim.handle_input(it * 5 % instances, Input::Dispatch(dispatch::Input::Sent(sent)));
        sim.run(Duration::from_secs_f64(SECONDS / count as f64));
    }
    let sent = sim.running().map(|it| it.stats.bytes_by_kind[3]).sum::<u64>() as f64;
    let each = sent / SECONDS / instances as f64;
    note("placements.sent_bytes_per_s", each);
    note("placements.sent_and_received_bytes_per_s", 2.0 * each);
}

/// Messages for one limit that all instances want more of than they own.
fn limits(note: &mut crate::Note<'_>) {
    const SECONDS: u32 = 10;
    let mut sim = sim();
    let limited: name::Organisation = "org-0003".into();
    let key = row::Key::new(row::Kind::Organisation, limited.as_str()).unwrap();
    let cell = Cell::new(key, Column::RequestsPerSecond).unwrap();
    let edit = Edit::Set { cell, expected: None, value: "100".into() };
    let version = sim.propose(vec![edit]).unwrap().version;
    sim.run_until(Duration::from_secs(30), |it| it.all_apply(version)).unwrap();
    let instances = sim.instances.len();
    for wanting in [instances / 6, instances] {
        sim.reset_stats();
        for _ in 0..SECONDS * 4 {
            for index in 0..wanting {
                let demand = allowance::Demand {
                    scope: allowance::Scope::Organisation(limited.clone()),
                    requests_per_second: 50.0,
                    tokens_per_minute: 0.0,
                    concurrency: 0,
                };
                let demand = allowance::Input::Demand(vec![demand]);
                sim.handle_input(index, Input::Allowance(demand));
            }
            sim.run(Duration::from_millis(250));
        }
        let bytes = sim.running().map(|it| it.stats.bytes_by_kind[3]).sum::<u64>() as f64;
        let most = sim.running().map(|it| it.stats.bytes_by_kind[3]).max().unwrap_or(0) as f64;
        let seconds = f64::from(SECONDS);
        note(&format!("limit.wanted_by_{wanting}.bytes_per_s"), bytes / seconds);
        note(&format!("limit.wanted_by_{wanting}.sent_by_one_bytes_per_s"), most / seconds);
        sim.run(Duration::from_secs(15));
    }
}

/// Instances at rest that know each other and the table.
fn sim() -> Simulation {
    let mut sim = Simulation::new(1, INSTANCES);
    sim.populate_table(81, 6, SERVERS);
    sim.start_checks();
    sim.start_all(Duration::from_secs(2));
    sim.run(Duration::from_secs(25));
    sim
}
