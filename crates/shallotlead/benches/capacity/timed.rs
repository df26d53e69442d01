//! Processor time of the pure code, on one thread of this machine.

use std::{sync::Arc, time::Duration};

use shallotlead_base::{
    id::{Incarnation, Version},
    time::Time,
};
use shallotlead_fleet::{
    directory, keeper,
    load::report::Report,
    membership::{
        fact::{Fact, Facts},
        message::{Message as Word, Piggyback},
    },
    message::{Message, encode},
    node::{Action, Input, Node},
    view::State,
};
use shallotlead_policy::{
    action::Action as RouterAction,
    input::{Batch, Event, Input as RouterInput, Outcome},
};
use shallotlead_table::{
    cell::Cell,
    change::{Change, Edit, Proposal},
    column::Column,
    row,
    snapshot::Snapshot,
};

use crate::{gauge, shape};

/// Size of the large deployment.
const INSTANCES: usize = 420;
const ORGANISATIONS: usize = 810;
const SERVERS: usize = 4_800;
/// Servers that one instance keeps.
const KEPT: usize = 12;

pub(crate) fn measure(note: &mut crate::Note<'_>) {
    for servers in [18, 480, SERVERS] {
        let micros = decision(servers) / 1e3;
        note(&format!("cpu.decision.servers_{servers}_us"), micros);
    }
    let table = shape::table(ORGANISATIONS, 6, SERVERS);
    router(&table, note);
    keeper(note);
    home(&table, note);
    heartbeat(&table, note);
    load(&table, note);
    change(&table, note);
    view(&table, note);
}

/// A request from arrival to its end: admission, the choice among candidates, first token, end.
fn decision(servers: usize) -> f64 {
    const REQUESTS: usize = 5_000;
    let table = Arc::new(shape::table(10, 6, servers));
    let mut router = shape::router(&table);
    let mut now = shape::SETTLED;
    let mut ended = 0;
    let mut run = |numbers: std::ops::Range<usize>| {
        for it in numbers {
            now = now + Duration::from_millis(20);
            let arrival = shape::arrival(it, it % 10, it % 50);
            router.handle(now, RouterInput::Arrive(Box::new(arrival)));
            let mut actions = Vec::new();
            router.tick(now, &mut actions);
            // A request may wait for its best server; those that are sent end at once.
            for action in actions {
                let RouterAction::Send(sent) = action else { continue };
                let attempt = sent.attempt;
                router.handle(now, RouterInput::FirstToken { attempt, cached_tokens: Some(4_096) });
                let outcome = Outcome::Complete { tokens: 300 };
                router.handle(now, RouterInput::Ended { attempt, outcome });
                ended += 1;
            }
        }
    };
    run(0..REQUESTS);
    let spent = gauge::spent(|| run(REQUESTS..2 * REQUESTS));
    assert!(2 * REQUESTS < ended + 50, "only {ended} requests were sent");
    spent / REQUESTS as f64
}

/// What the router does with what its servers and the operators tell.
fn router(table: &Snapshot, note: &mut crate::Note<'_>) {
    const BATCHES: usize = 4_000;
    let table = Arc::new(table.clone());
    let mut router = shape::router(&table);
    let spent = gauge::spent(|| {
        for batch in 0..BATCHES {
            let event = |it| Event::Stored(shape::block(batch, it));
            let batch = Batch {
                server: shape::server(batch % 12),
                incarnation: shape::LIFE,
                first: (batch / 12 * 100 + 1) as u64,
                events: (0..100).map(event).collect(),
            };
            router.handle(shape::SETTLED, RouterInput::Cache(batch));
        }
    });
    note("cpu.router.cache_event_us", spent / (BATCHES * 100) as f64 / 1e3);
    const TABLES: usize = 100;
    let spent = gauge::spent(|| {
        for _ in 0..TABLES {
            router.handle(shape::SETTLED, RouterInput::Table(table.clone()));
            router.tick(shape::SETTLED, &mut Vec::new());
        }
    });
    note("cpu.router.table_change_us", spent / TABLES as f64 / 1e3);
}

/// Cache events of kept servers, of which nobody asked or all were asked for.
fn keeper(note: &mut crate::Note<'_>) {
    const BATCHES: usize = 16_000;
    const EACH: usize = 90;
    // Alone, it keeps all servers: as many as one of many instances does.
    let mut node = shape::node(&shape::table(1, 6, KEPT));
    let mut now = shape::SETTLED;
    shape::tick(&mut node, now);
    for (name, watched) in [("unwatched", false), ("watched", true)] {
        let server = shape::server(usize::from(watched));
        let blocks = |batch: usize| (0..EACH).map(move |it| shape::block(batch % 80, it));
        if watched {
            for batch in 0..80 {
                let (server, incarnation) = (server.clone(), shape::LIFE);
                let blocks = blocks(batch).collect();
                let message = keeper::Message::Watch { server, incarnation, blocks };
                receive(&mut node, now, 1, &Message::Keeper(message));
            }
        }
        let spent = gauge::spent(|| {
            for batch in 0..BATCHES {
                now = now + Duration::from_millis(200);
                let event = match batch / 80 % 2 {
                    0 => keeper::Event::Stored,
                    _ => keeper::Event::Evicted,
                };
                let input = keeper::Input::Events {
                    server: server.clone(),
                    incarnation: shape::LIFE,
                    first: (batch * EACH + 1) as u64,
                    events: blocks(batch).map(event).collect(),
                };
                node.handle(now, Input::Keeper(input));
                shape::tick(&mut node, now);
            }
        });
        note(&format!("cpu.keeper.{name}_event_us"), spent / (BATCHES * EACH) as f64 / 1e3);
    }
}

/// Questions to the home of a prefix, from decoding to the answer, and words of placements.
fn home(table: &Snapshot, note: &mut crate::Note<'_>) {
    const PROMPTS: usize = 500;
    const ASKS: usize = 20_000;
    let mut node = shape::node(table);
    shape::list(&mut node, shape::SETTLED, INSTANCES);
    let incarnation = shape::LIFE;
    let spent = gauge::spent(|| {
        for it in 0..ASKS {
            let (path, server) = (shape::path(it % PROMPTS), shape::server(it % SERVERS));
            let placed = directory::Message::Placed { path, server, incarnation };
            receive(&mut node, shape::SETTLED, 1, &Message::Directory(placed));
        }
    });
    note("cpu.home.placement_us", spent / ASKS as f64 / 1e3);
    let spent = gauge::spent(|| {
        for it in 0..ASKS {
            // A home answers a bounded number of questions a second.
            let now = shape::SETTLED + Duration::from_millis(10 * it as u64);
            let (number, path) = (it as u32, shape::path(it % PROMPTS));
            let ask = directory::Message::Lookup { incarnation, number, path };
            let bytes = encode(&Message::Directory(ask)).into();
            node.handle(now, Input::Message { from: shape::member(1).name, bytes });
        }
    });
    note("cpu.home.lookup_us", spent / ASKS as f64 / 1e3);
}

fn heartbeat(table: &Snapshot, note: &mut crate::Note<'_>) {
    const BEATS: usize = 10_000;
    let mut node = shape::node(table);
    shape::list(&mut node, shape::SETTLED, INSTANCES);
    let beat = Word::Heartbeat(beat(Vec::new()));
    let spent = gauge::spent(|| {
        for it in 0..BEATS {
            receive(&mut node, shape::SETTLED, 1 + it % 20, &Message::Membership(beat.clone()));
        }
    });
    note("cpu.membership.heartbeat_us", spent / BEATS as f64 / 1e3);
}

/// Load reports of one data centre as a peer passes them on.
fn load(table: &Snapshot, note: &mut crate::Note<'_>) {
    const ROUNDS: usize = 8_000;
    let (mut node, mut peer) = (shape::node(table), shape::node_of(10, table));
    shape::list(&mut node, shape::SETTLED, INSTANCES);
    shape::list(&mut peer, shape::SETTLED, INSTANCES);
    let now = shape::SETTLED + Duration::from_secs(2);
    let reports = 48;
    for it in 0..reports {
        peer.handle(now, Input::Load(report(it * shape::CENTRES.len())));
    }
    let sent = shape::tick(&mut peer, now);
    let loads = sent.iter().find_map(|it| match it {
        Action::Send { message: message @ Message::Load(_), .. } => Some(message.clone()),
        _ => None,
    });
    let loads = loads.unwrap();
    let spent = gauge::spent(|| {
        for it in 0..ROUNDS {
            // Each round is later than the one before, so that all its reports are news.
            let now = now + Duration::from_micros(100 * it as u64);
            let bytes = encode(&loads).into();
            node.handle(now, Input::Message { from: shape::member(10).name, bytes });
        }
    });
    note("cpu.load.report_us", spent / (ROUNDS * reports) as f64 / 1e3);
}

fn report(server: usize) -> Report {
    Report {
        server: shape::server(server),
        incarnation: shape::LIFE,
        age: Duration::from_millis(100),
        waiting: 10,
        running: 100,
        waiting_tokens: 50_000,
        used_blocks: 30_000,
        total_blocks: 31_250,
    }
}

/// Nodes that changes are measured at, and changes at each: few, so that no silence shows meanwhile.
const NODES: usize = 8;
const CHANGES: usize = 3;
/// Time between two changes: longer than what is put off to take several together.
const APART: Duration = Duration::from_millis(600);

/// Microseconds for each of some changes, with all that follows from it in the node.
fn changes(node: &mut Node, mut change: impl FnMut(&mut Node, Time, usize)) -> f64 {
    let spent = gauge::spent(|| {
        for it in 0..CHANGES {
            let now = shape::SETTLED + APART * (it as u32 + 1);
            change(node, now, it);
            shape::tick(node, now);
        }
    });
    spent / (NODES * CHANGES) as f64 / 1e3
}

fn change(table: &Snapshot, note: &mut crate::Note<'_>) {
    let mut micros = 0.0;
    for _ in 0..NODES {
        let mut node = shape::node(table);
        shape::list(&mut node, shape::SETTLED, INSTANCES);
        micros += changes(&mut node, |node, now, it| {
            let organisation = shape::organisation(3);
            let key = row::Key::new(row::Kind::Organisation, organisation.as_str()).unwrap();
            let cell = Cell::new(key, Column::Weight).unwrap();
            let edit = Edit::Set { cell, expected: None, value: (it + 1).to_string().into() };
            let operator = "op".into();
            let proposal = Proposal { id: it as u128, operator, at: 0, edits: vec![edit] };
            let change = Change { version: Version(2 + it as u64), proposal };
            node.handle(now, Input::ChangeAccepted(change));
        });
        assert_eq!(node.table().version, Version(1 + CHANGES as u64), "all are in force");
    }
    note("cpu.node.table_change_us", micros);
}

/// One member gone: who keeps which server and who is home of which prefix is worked out anew.
fn view(table: &Snapshot, note: &mut crate::Note<'_>) {
    const KEYS: usize = 500;
    for (name, keys) in [("member_change_us", 0), ("member_change_with_500_keys_us", KEYS)] {
        let mut micros = 0.0;
        for _ in 0..NODES {
            let mut node = shape::node(table);
            shape::list(&mut node, shape::SETTLED, INSTANCES);
            for key in 0..keys {
                let path = shape::path_under(key, key);
                let (server, incarnation) = (shape::server(key * 9 % SERVERS), shape::LIFE);
                let placed = directory::Message::Placed { path, server, incarnation };
                receive(&mut node, shape::SETTLED, 1, &Message::Directory(placed));
            }
            micros += changes(&mut node, |node, now, it| {
                let name = shape::member(100 + it).name;
                let fact = Fact::State { name, incarnation: Incarnation(0), state: State::Dead };
                let gossip = Word::Gossip(beat(vec![fact]));
                receive(node, now, 1, &Message::Membership(gossip));
            });
        }
        note(&format!("cpu.node.{name}"), micros);
    }
}

fn beat(facts: Vec<Fact>) -> Piggyback {
    Piggyback { table_version: Version(1), ages: Vec::new(), facts: Facts(facts) }
}

/// Hands a message of instance number `from` to `node`, as the daemon does.
fn receive(node: &mut Node, now: Time, from: usize, message: &Message) {
    let bytes = encode(message).into();
    node.handle(now, Input::Message { from: shape::member(from).name, bytes });
    shape::tick(node, now);
}
