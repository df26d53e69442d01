//! Resident bytes of one item of each kind.

use std::sync::Arc;

use shallotlead_base::{id::Block, time::Time};
use shallotlead_fleet::{
    allowance, directory, keeper,
    message::{Message, encode},
    node::{Input, Node},
};
use shallotlead_policy::{
    belief,
    input::{Batch, Event, Input as RouterInput},
};
use shallotlead_table::snapshot::Snapshot;

use crate::{gauge, shape};

/// Rows of the directory of one home.
const ROWS: usize = directory::table::MAX_ROWS;
/// Bound of the router's beliefs.
const BELIEFS: usize = 100_000;
/// Blocks watched at one server.
const WATCHED: usize = keeper::MAX_WATCHED;

/// All kinds; the unit is bytes for each.
pub(crate) const NAMES: &[&str] = &[
    "memory.table_row.organisation_bytes",
    "memory.table_row.model_bytes",
    "memory.table_row.server_bytes",
    "memory.member_bytes",
    "memory.router.server_bytes",
    "memory.router.organisation_bytes",
    "memory.router.request_bytes",
    "memory.router.belief_bytes",
    "memory.router.beliefs_full_bytes",
    "memory.home.block_one_holder_bytes",
    "memory.home.block_twelve_holders_bytes",
    "memory.keeper.watched_block_bytes",
    "memory.allowance.limit_bytes",
];

/// Measures `name`, in a process of its own.
pub(crate) fn measure(name: &str) -> f64 {
    match name.trim_start_matches("memory.") {
        "table_row.organisation_bytes" => rows(|it| shape::table(it, 0, 0)),
        "table_row.model_bytes" => rows(|it| shape::table(0, it, 0)),
        "table_row.server_bytes" => rows(|it| shape::table(0, 6, it)),
        "member_bytes" => members(),
        "router.server_bytes" => router(0, 40_000),
        "router.organisation_bytes" => router(40_000, 0),
        "router.request_bytes" => requests(),
        "router.belief_bytes" => beliefs(BELIEFS * 4, BELIEFS) / BELIEFS as f64,
        "router.beliefs_full_bytes" => beliefs(BELIEFS, BELIEFS * 3),
        "home.block_one_holder_bytes" => home(1),
        "home.block_twelve_holders_bytes" => home(directory::table::MAX_HOLDERS),
        "keeper.watched_block_bytes" => watched(),
        "allowance.limit_bytes" => limits(),
        _ => panic!("nothing is called {name}"),
    }
}

fn rows(make: impl Fn(usize) -> Snapshot) -> f64 {
    const ROWS: usize = 40_000;
    gauge::growth(|| make(ROWS)) / ROWS as f64
}

fn members() -> f64 {
    const MEMBERS: usize = 4_000;
    let mut node = Node::new(shape::START, shape::member(0), 1);
    gauge::growth(|| shape::list(&mut node, shape::START, MEMBERS)) / MEMBERS as f64
}

/// What the router holds for each row beside the table itself.
fn router(organisations: usize, servers: usize) -> f64 {
    let table = Arc::new(shape::table(organisations, 6, servers));
    gauge::growth(|| shape::router(&table)) / (organisations + servers) as f64
}

/// Requests that run at servers or wait before them, with a prompt of 128 blocks each.
fn requests() -> f64 {
    const REQUESTS: usize = 20_000;
    let table = Arc::new(shape::table(10, 6, 480));
    let mut router = shape::router(&table);
    let growth = gauge::growth(|| {
        for it in 0..REQUESTS {
            let arrival = shape::arrival(it, it % 10, it % 100);
            router.handle(shape::START, RouterInput::Arrive(Box::new(arrival)));
        }
        router.tick(shape::START, &mut Vec::new());
    });
    growth / REQUESTS as f64
}

/// Beliefs from `events` events about as many blocks, in a memory for `bound`.
fn beliefs(bound: usize, events: usize) -> f64 {
    const EACH: usize = 100;
    let mut table = belief::Table::open(bound);
    gauge::growth(|| {
        for batch in 0..events / EACH {
            let event = |it| Event::Stored(shape::block(batch, it));
            let batch = Batch {
                server: shape::server(batch % 12),
                incarnation: shape::LIFE,
                first: (batch / 12 * EACH + 1) as u64,
                events: (0..EACH).map(event).collect(),
            };
            table.cache(shape::START, &batch);
        }
    })
}

/// A full directory whose blocks are believed to be at `holders` servers each.
fn home(holders: usize) -> f64 {
    let table = shape::table(1, 6, 480);
    let mut node = shape::node(&table);
    let prompts = ROWS / shape::path(0).steps.len();
    let count = prompts * shape::path(0).steps.len();
    let growth = gauge::growth(|| {
        for prompt in 0..prompts {
            for holder in 0..holders {
                place(&mut node, shape::SETTLED, prompt, holder);
            }
        }
    });
    growth / count as f64
}

fn place(node: &mut Node, now: Time, prompt: usize, server: usize) {
    let path = shape::path(prompt);
    let server = shape::server(server);
    let placed = directory::Input::Placed { path, server, incarnation: shape::LIFE };
    node.handle(now, Input::Directory(placed));
    // The words to the keeper are not what is measured.
    shape::tick(node, now).clear();
}

/// Blocks that a keeper watches at twelve servers.
fn watched() -> f64 {
    const SERVERS: usize = 12;
    let table = shape::table(1, 6, SERVERS);
    let mut node = shape::node(&table);
    let growth = gauge::growth(|| {
        for server in 0..SERVERS {
            for chunk in 0..WATCHED / 64 {
                let blocks = (0..64).map(|it| Block(((server << 20) + chunk * 64 + it) as u64));
                watch(&mut node, server, blocks.collect());
            }
        }
    });
    growth / (SERVERS * WATCHED) as f64
}

fn watch(node: &mut Node, server: usize, blocks: Vec<Block>) {
    let (server, incarnation) = (shape::server(server), shape::LIFE);
    let message = keeper::Message::Watch { server, incarnation, blocks };
    let bytes = encode(&Message::Keeper(message)).into();
    node.handle(shape::SETTLED, Input::Message { from: shape::member(1).name, bytes });
}

/// Limits with demand, at an instance that wants a share of each.
fn limits() -> f64 {
    const LIMITS: usize = 10_000;
    let table = shape::table(LIMITS, 6, 1);
    let mut node = shape::node(&table);
    let demand = |it| allowance::Demand {
        scope: allowance::Scope::Organisation(shape::organisation(it)),
        requests_per_second: 1.0,
        tokens_per_minute: 60_000.0,
        concurrency: 2,
    };
    let growth = gauge::growth(|| {
        let demands = (0..LIMITS).map(demand).collect();
        node.handle(shape::SETTLED, Input::Allowance(allowance::Input::Demand(demands)));
    });
    growth / LIMITS as f64
}
