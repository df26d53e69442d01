//! Tables, members, nodes and routers of chosen sizes.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use shallotlead_base::{
    hash,
    id::{Block, Incarnation, Request, Version},
    name,
    store::{Call, Failure, Object, Reply},
    time::Time,
};
use shallotlead_fleet::{
    directory::path::{Path, Step},
    node::{Action, Input, ListedInstance, Node},
    view::Member,
};
use shallotlead_policy::{
    chain::Chain,
    input::{self, State},
    request::{Arrival, Repeat},
    router::Router,
};
use shallotlead_table::{
    layout::{Head, head_key},
    limit::Limits,
    model::Model,
    organisation::Organisation,
    server::Server,
    snapshot::Snapshot,
};

/// Data centres, each with the region it stands in.
pub(crate) const CENTRES: [(&str, &str); 10] = [
    ("a", "a-1"),
    ("a", "a-2"),
    ("a", "a-3"),
    ("a", "a-4"),
    ("b", "b-1"),
    ("b", "b-2"),
    ("b", "b-3"),
    ("c", "c-1"),
    ("c", "c-2"),
    ("c", "c-3"),
];
/// Models in the table.
const MODELS: usize = 6;
/// Life of every server.
pub(crate) const LIFE: Incarnation = Incarnation(1);
/// When everything begins.
pub(crate) const START: Time = Time::from_millis(1_000_000);
/// When a node has taken its table in: servers are divided anew at most each half second.
pub(crate) const SETTLED: Time = Time::from_millis(1_001_000);
/// Blocks of a prompt of 8,192 tokens.
pub(crate) const BLOCKS: usize = 128;

pub(crate) fn model(index: usize) -> name::Model {
    format!("model-{}", index % MODELS).into()
}

pub(crate) fn organisation(index: usize) -> name::Organisation {
    format!("org-{index:05}").into()
}

pub(crate) fn server(index: usize) -> name::Server {
    format!("gpu-{index:05}").into()
}

/// A table whose organisations all have limits.
pub(crate) fn table(organisations: usize, models: usize, servers: usize) -> Snapshot {
    let limits = Limits {
        requests_per_second: Some(1e6),
        tokens_per_minute: Some(1e12),
        concurrency: Some(1_000),
    };
    let organisations = (0..organisations).map(|it| {
        let mut row = Organisation::new(organisation(it));
        row.limits = limits;
        row.key_hashes = vec![format!("{it:064x}")];
        (row.name.clone(), row)
    });
    let models = (0..models).map(|it| {
        let row = Model::new(format!("model-{it}").into());
        (row.name.clone(), row)
    });
    let servers = (0..servers).map(|it| {
        let mut row = Server::new(server(it));
        row.address = SocketAddr::from(([10, 1, (it >> 8) as u8, it as u8], 8_000));
        row.centre = CENTRES[it % CENTRES.len()].1.into();
        row.model = model(it);
        (row.name.clone(), row)
    });
    Snapshot {
        version: Version(1),
        organisations: organisations.collect(),
        models: models.collect(),
        servers: servers.collect(),
    }
}

/// Instance number `index`, in the data centres by turns.
pub(crate) fn member(index: usize) -> Member {
    let (region, centre) = CENTRES[index % CENTRES.len()];
    let address = SocketAddr::from(([10, 0, (index >> 8) as u8, index as u8], 7_000));
    Member {
        name: format!("{centre}-{index}").into(),
        centre: centre.into(),
        region: region.into(),
        address,
        peer: address,
        incarnation: Incarnation(0),
    }
}

/// Instance number 0 with a table in force.
pub(crate) fn node(table: &Snapshot) -> Node {
    node_of(0, table)
}

/// Instance number `index` with a table in force.
pub(crate) fn node_of(index: usize, table: &Snapshot) -> Node {
    let mut node = Node::new(START, member(index), 1);
    let mut head = Head::default();
    head.version = table.version;
    let compaction = head.compact(table).unwrap();
    let objects = compaction.parts.into_iter().map(|it| (it.key, it.value));
    let objects = objects.collect::<BTreeMap<_, _>>();
    let object = |key, value| Object { key, version: Version(1), value };
    let mut now = START;
    while node.table().version < table.version {
        now = now + Duration::from_millis(50);
        for action in tick(&mut node, now) {
            let Action::Call { id, call } = action else { continue };
            let reply = match call {
                Call::List { kind } if kind == head_key().kind => {
                    let head = object(head_key(), compaction.head.encode().unwrap());
                    Reply::Listed { objects: vec![head], version: Version(1) }
                }
                Call::Get(key) if objects.contains_key(&key) => {
                    let value = objects[&key].clone();
                    Reply::Got(Some(object(key, value)))
                }
                Call::Watch { .. } => continue,
                _ => Reply::Failed(Failure::NotApplied { retry_after: Duration::from_secs(60) }),
            };
            node.handle(now, Input::Reply { id, reply });
        }
    }
    tick(&mut node, SETTLED);
    node
}

/// Tells `node` of the instances up to `count`.
pub(crate) fn list(node: &mut Node, now: Time, count: usize) {
    let listed = |it| ListedInstance { member: member(it), is_leaving: false };
    node.handle(now, Input::InstanceList((0..count).map(listed).collect()));
    tick(node, now);
}

pub(crate) fn tick(node: &mut Node, now: Time) -> Vec<Action> {
    let mut actions = Vec::new();
    node.tick(now, &mut actions);
    actions
}

/// A router with `table` in force and all its servers up.
pub(crate) fn router(table: &Arc<Snapshot>) -> Router {
    let mut router = Router::open(7);
    router.handle(START, input::Input::Table(table.clone()));
    for server in table.servers.keys().cloned() {
        router.handle(START, input::Input::Server { server, state: State::Up(LIFE) });
    }
    router.tick(START, &mut Vec::new());
    router
}

/// Block `depth` of prompt `prompt`.
pub(crate) fn block(prompt: usize, depth: usize) -> Block {
    Block(hash::seeded(&prompt.to_le_bytes(), depth as u64 + 1))
}

/// Blocks of a prompt of 8,192 tokens that shares nothing.
pub(crate) fn blocks(prompt: usize) -> Vec<Block> {
    (0..BLOCKS).map(|it| block(prompt, it)).collect()
}

/// The path of a prompt that shares nothing.
pub(crate) fn path(prompt: usize) -> Path {
    Path::new(&blocks(prompt))
}

/// A path whose first block is `key`'s, so that the keys of many prompts are few.
pub(crate) fn path_under(key: usize, prompt: usize) -> Path {
    let mut path = path(prompt);
    path.steps[0] = Step { depth: 1, block: block(key, 1_000) };
    path
}

pub(crate) fn arrival(id: usize, organisation: usize, prompt: usize) -> Arrival {
    let chain = Chain { blocks: blocks(prompt).into(), tokens: 8_192 };
    Arrival {
        id: Request(id as u128 + 1),
        organisation: self::organisation(organisation),
        model: model(0),
        chain,
        max_tokens: 300,
        priority: 5,
        deadline: None,
        repeat: Repeat::Idempotent,
        hints: Vec::new(),
    }
}
