//! What is known of caches, through whole nodes: homes, keepers and the way between them.

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

use support::net::Net;

const SHAPE: &[(&str, &str, usize)] = &[("ro-nord", "cluj-a", 4), ("ro-nord", "iasi-c", 3)];
const SECOND: Duration = Duration::from_secs(1);
const LIFE: Incarnation = Incarnation(7);

fn started(seed: u64) -> Net {
    let mut net = Net::new(seed, SHAPE);
    net.seed_table(2, 1, 4);
    net.start_all(SECOND);
    net.run(20 * SECOND);
    net
}

fn blocks(prompt: u64) -> Vec<Block> {
    (0..30).map(|it| Block(prompt << 32 | it)).collect()
}

fn place(net: &mut Net, index: usize, prompt: u64, server: &name::Server) {
    let (path, server, incarnation) = (Path::new(&blocks(prompt)), server.clone(), LIFE);
    let input = directory::Input::Placed { path, server, incarnation };
    net.input(index, Input::Directory(input));
    net.run(SECOND / 10);
}

fn ask(net: &mut Net, index: usize, prompt: u64) -> Vec<Hint> {
    net.told.clear();
    let (request, path) = (Request(1), Path::new(&blocks(prompt)));
    net.input(index, Input::Directory(directory::Input::Lookup { request, path }));
    net.run(SECOND / 10);
    let hints = net.told.drain(..).find_map(|it| match it {
        (_, Action::Directory(directory::Output::Hints { hints, .. })) => Some(hints),
        _ => None,
    });
    hints.expect("every question is answered")
}

fn events(net: &mut Net, server: &name::Server, first: u64, events: Vec<Event>) {
    let keeper = net.keeper(server).expect("it has a keeper");
    let (server, incarnation) = (server.clone(), LIFE);
    let input = keeper::Input::Events { server, incarnation, first, events };
    net.input(keeper, Input::Keeper(input));
    net.run(SECOND);
}

// A prefix is evicted at the only server that held it, and requests go on to that server, where each
// is computed afresh. Its keeper must tell the prefix's home, wherever both are.
#[test]
fn eviction_reaches_every_asker() {
    let mut net = started(1);
    let server = net.servers()[0].clone();
    for prompt in 1..20 {
        place(&mut net, 0, prompt, &server);
    }
    let stored = (1..20).flat_map(blocks).map(Event::Stored).collect::<Vec<_>>();
    let next = 1 + stored.len() as u64;
    events(&mut net, &server, 1, stored);
    for prompt in 1..20 {
        let hints = ask(&mut net, prompt as usize % 7, prompt);
        assert_eq!(hints.len(), 1, "prompt {prompt}");
        assert_eq!((&hints[0].server, hints[0].blocks), (&server, 30));
        assert!(0.9 < hints[0].confidence, "not confirmed: {:?}", hints[0]);
    }
    // The later half of each prompt goes first, then all of the even ones.
    let tail = (1..20).flat_map(|it| blocks(it).split_off(16)).map(Event::Evicted);
    let head = (1..20).filter(|it| it % 2 == 0).flat_map(|it| blocks(it)[..16].to_vec());
    let evicted = tail.chain(head.map(Event::Evicted)).collect();
    events(&mut net, &server, next, evicted);
    for prompt in 1..20 {
        let hints = ask(&mut net, prompt as usize % 7, prompt);
        let left = hints.iter().map(|it| it.blocks).collect::<Vec<_>>();
        let expected = if prompt % 2 == 0 { vec![] } else { vec![16] };
        assert_eq!(left, expected, "prompt {prompt}");
    }
}

// A keeper crashes, and what is evicted until the next one takes over is never heard of. The homes
// must tell the new keeper what they watch, and it must read the whole cache.
#[test]
fn next_keeper_learns_what_is_watched_and_reads_the_cache() {
    let mut net = started(2);
    let server = net.servers()[0].clone();
    let first = net.keeper(&server).unwrap();
    let asker = (first + 1) % 7;
    for prompt in 1..20 {
        place(&mut net, asker, prompt, &server);
    }
    let stored = (1..20).flat_map(blocks).map(Event::Stored).collect::<Vec<_>>();
    let last = stored.len() as u64;
    events(&mut net, &server, 1, stored);
    net.crash(first);
    net.told.clear();
    net.run(15 * SECOND);
    let next = net.keeper(&server).unwrap();
    assert_ne!(first, next);
    let asks = |it: &(usize, Action)| match it {
        (index, Action::Keeper(keeper::Output::Resync(it))) => *index == next && *it == server,
        _ => false,
    };
    let known = (1..20).filter(|it| !ask(&mut net, asker, *it).is_empty()).collect::<Vec<_>>();
    assert!(!known.is_empty(), "all was forgotten with the keeper");
    net.told.clear();
    net.run(10 * SECOND);
    assert!(net.told.iter().any(asks), "the cache is not read");
    // All was evicted but the first prompt that is still known.
    let (server, incarnation, seq) = (server.clone(), LIFE, last + 1000);
    let cached = blocks(known[0]);
    let input = keeper::Input::Snapshot { server, incarnation, seq, blocks: cached };
    net.input(next, Input::Keeper(input));
    net.run(SECOND);
    for prompt in &known {
        let hints = ask(&mut net, asker, *prompt);
        assert_eq!(hints.is_empty(), *prompt != known[0], "prompt {prompt}: {hints:?}");
    }
}
