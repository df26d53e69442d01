//! The directory of cached prefixes in whole nodes: owners of prefixes, keepers of servers and the
//! messages between them.

mod support;

use std::time::Duration;

use shallotlead_base::{
    id::{Block, Incarnation, Request},
    name,
};
use shallotlead_fleet::{
    directory::{self, Hint, path::Path},
    keeper::{self, Event},
    node::{Action, Input},
};

use support::simulation::Simulation;

const SHAPE: &[(&str, &str, usize)] = &[("ro-nord", "cluj-a", 4), ("ro-nord", "iasi-c", 3)];
const SECOND: Duration = Duration::from_secs(1);
const INCARNATION: Incarnation = Incarnation(7);

fn started(seed: u64) -> Simulation {
    let mut sim = Simulation::new(seed, SHAPE);
    sim.populate_table(2, 1, 4);
    sim.start_all(SECOND);
    sim.run(20 * SECOND);
    sim
}

fn blocks(prompt: u64) -> Vec<Block> {
    (0..30).map(|it| Block(prompt << 32 | it)).collect()
}

fn record_placement(sim: &mut Simulation, index: usize, prompt: u64, server: &name::Server) {
    let (path, server, incarnation) = (Path::new(&blocks(prompt)), server.clone(), INCARNATION);
    let input = directory::Input::Placed { path, server, incarnation };
    sim.handle_input(index, Input::Directory(input));
    sim.run(SECOND / 10);
}

fn query(sim: &mut Simulation, index: usize, prompt: u64) -> Vec<Hint> {
    sim.unhandled.clear();
    let (request, path) = (Request(1), Path::new(&blocks(prompt)));
    sim.handle_input(index, Input::Directory(directory::Input::Lookup { request, path }));
    sim.run(SECOND / 10);
    let hints = sim.unhandled.drain(..).find_map(|it| match it {
        (_, Action::Directory(directory::Output::Hints { hints, .. })) => Some(hints),
        _ => None,
    });
    hints.expect("every query gets a reply")
}

fn send_events(sim: &mut Simulation, server: &name::Server, first: u64, events: Vec<Event>) {
    let keeper = sim.keeper(server).expect("the server has a keeper");
    let (server, incarnation) = (server.clone(), INCARNATION);
    let input = keeper::Input::Events { server, incarnation, first, events };
    sim.handle_input(keeper, Input::Keeper(input));
    sim.run(SECOND);
}

// A prefix is evicted from the only server that cached it, and requests still go to that server, which
// computes the prefix again for each. The server's keeper must notify the prefix's owner, whichever
// instances these are.
#[test]
fn eviction_reaches_every_requester() {
    let mut sim = started(1);
    let server = sim.servers()[0].clone();
    for prompt in 1..20 {
        record_placement(&mut sim, 0, prompt, &server);
    }
    let stored = (1..20).flat_map(blocks).map(Event::Stored).collect::<Vec<_>>();
    let next = 1 + stored.len() as u64;
    send_events(&mut sim, &server, 1, stored);
    for prompt in 1..20 {
        let hints = query(&mut sim, prompt as usize % 7, prompt);
        assert_eq!(hints.len(), 1, "prompt {prompt}");
        assert_eq!((&hints[0].server, hints[0].blocks), (&server, 30));
        assert!(0.9 < hints[0].confidence, "not confirmed: {:?}", hints[0]);
    }
    // The later half of each prompt is evicted first, then the rest of the even prompts.
    let tail = (1..20).flat_map(|it| blocks(it).split_off(16)).map(Event::Evicted);
    let head = (1..20).filter(|it| it % 2 == 0).flat_map(|it| blocks(it)[..16].to_vec());
    let evicted = tail.chain(head.map(Event::Evicted)).collect();
    send_events(&mut sim, &server, next, evicted);
    for prompt in 1..20 {
        let hints = query(&mut sim, prompt as usize % 7, prompt);
        let left = hints.iter().map(|it| it.blocks).collect::<Vec<_>>();
        let expected = if prompt % 2 == 0 { vec![] } else { vec![16] };
        assert_eq!(left, expected, "prompt {prompt}");
    }
}

// A keeper crashes, and nobody sees what is evicted until the next keeper takes over. The owners must
// tell the new keeper which blocks they watch, and it must read the server's whole cache.
#[test]
fn next_keeper_learns_the_watched_blocks_and_reads_the_cache() {
    let mut sim = started(2);
    let server = sim.servers()[0].clone();
    let old_keeper = sim.keeper(&server).unwrap();
    let requester = (old_keeper + 1) % 7;
    for prompt in 1..20 {
        record_placement(&mut sim, requester, prompt, &server);
    }
    let stored = (1..20).flat_map(blocks).map(Event::Stored).collect::<Vec<_>>();
    let last = stored.len() as u64;
    send_events(&mut sim, &server, 1, stored);
    sim.crash(old_keeper);
    sim.unhandled.clear();
    sim.run(15 * SECOND);
    let next = sim.keeper(&server).unwrap();
    assert_ne!(old_keeper, next);
    let is_resync = |it: &(usize, Action)| match it {
        (index, Action::Keeper(keeper::Output::Resync(it))) => *index == next && *it == server,
        _ => false,
    };
    let known =
        (1..20).filter(|it| !query(&mut sim, requester, *it).is_empty()).collect::<Vec<_>>();
    assert!(!known.is_empty(), "all hints were lost with the keeper");
    sim.unhandled.clear();
    sim.run(10 * SECOND);
    assert!(sim.unhandled.iter().any(is_resync), "the new keeper doesn't read the cache");
    // Everything was evicted except the first prompt that is still known.
    let (server, incarnation, seq) = (server.clone(), INCARNATION, last + 1000);
    let cached = blocks(known[0]);
    let input = keeper::Input::Snapshot { server, incarnation, seq, blocks: cached };
    sim.handle_input(next, Input::Keeper(input));
    sim.run(SECOND);
    for prompt in &known {
        let hints = query(&mut sim, requester, *prompt);
        assert_eq!(hints.is_empty(), *prompt != known[0], "prompt {prompt}: {hints:?}");
    }
}
