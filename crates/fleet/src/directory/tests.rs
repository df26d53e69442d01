//! Tests of the directory: whether expected locations are found, bounded and kept up to date.

use std::{collections::BTreeMap, time::Duration};

use proptest::prelude::*;
use shallotlead_base::{
    id::{Block, Incarnation, Request},
    name,
    time::Time,
};

use crate::{
    component::Component,
    directory::{
        Directory, Hint, Input, LOOKUP_TIMEOUT, MAX_ANSWERS_PER_SECOND, Output,
        SPLIT_LOOKUPS_PER_SECOND,
        path::{MAX_STEPS, Path},
        table::{MAX_ROWS, Table},
    },
    harness::Harness,
    message::{MAX_DATAGRAM_BYTES, Message, encode},
    node::Action,
};

type Directories = Harness<Directory>;

fn harness(count: usize, seed: u64) -> Directories {
    let pick = |message| match message {
        Message::Directory(it) => Some(it),
        _ => None,
    };
    let mut harness = Harness::new(count, seed, Directory::default, pick);
    harness.faults.max_delay = Duration::from_millis(1);
    harness
}

/// The chain of a prompt: `shared` blocks of `root`, then blocks of its own.
fn chain(root: u64, shared: usize, own: u64, len: usize) -> Vec<Block> {
    let block = |depth: usize| match depth < shared {
        true => Block(root << 32 | depth as u64),
        false => Block(root << 32 | own << 12 | depth as u64),
    };
    (0..len).map(block).collect()
}

fn place(harness: &mut Directories, node: usize, blocks: &[Block], server: &str, incarnation: u64) {
    let input = Input::Placed {
        path: Path::new(blocks),
        server: server.into(),
        incarnation: Incarnation(incarnation),
    };
    harness.call(node, |it, ctx, out| it.handle(ctx, input, out));
}

fn look_up(harness: &mut Directories, node: usize, request: u128, blocks: &[Block]) -> Vec<Hint> {
    let input = Input::Lookup { request: Request(request), path: Path::new(blocks) };
    harness.call(node, |it, ctx, out| it.handle(ctx, input, out));
    let until = harness.now + LOOKUP_TIMEOUT + Duration::from_millis(5);
    assert!(harness.run_until(until, |harness| !harness.emitted.is_empty()), "no reply in time");
    match harness.emitted.pop_front().unwrap().action {
        Action::Directory(Output::Hints { request: it, hints }) if it == Request(request) => hints,
        other => panic!("{other:?}"),
    }
}

fn deliver(harness: &mut Directories) {
    harness.run_for(Duration::from_millis(20));
}

#[test]
fn placement_is_found_through_every_instance() {
    let mut harness = harness(7, 1);
    place(&mut harness, 0, &chain(1, 20, 1, 40), "s1", 1);
    place(&mut harness, 1, &chain(1, 20, 2, 30), "s2", 1);
    deliver(&mut harness);
    for node in 0..7 {
        let hints = look_up(&mut harness, node, 1, &chain(1, 20, 1, 40));
        let found = hints.iter().map(|it| (it.server.as_str(), it.blocks)).collect::<Vec<_>>();
        // The second shares only 20 blocks; the grid's last step within them is the 19th.
        assert_eq!(found, [("s1", 40), ("s2", 19)]);
    }
    assert_eq!(look_up(&mut harness, 0, 2, &chain(2, 20, 1, 40)), []);
    assert_eq!(look_up(&mut harness, 0, 3, &[]), []);
}

// Guards against hints from before a server's crash: its cache is empty since, so requests sent
// there would wait for a full prefill.
#[test]
fn location_of_an_earlier_incarnation_is_never_returned() {
    let mut harness = harness(3, 2);
    let blocks = chain(1, 20, 1, 40);
    place(&mut harness, 0, &blocks, "s1", 1);
    deliver(&mut harness);
    place(&mut harness, 1, &blocks[..8], "s1", 2);
    deliver(&mut harness);
    // A late message about the earlier incarnation changes nothing.
    place(&mut harness, 2, &blocks, "s1", 1);
    deliver(&mut harness);
    for node in 0..3 {
        let hints = look_up(&mut harness, node, 1, &blocks);
        assert_eq!(hints.len(), 1);
        assert_eq!((hints[0].incarnation, hints[0].blocks), (Incarnation(2), 8));
    }
}

// Guards against hints about another organisation's prompt: an instance that restarts while a reply
// is under way numbers its lookups from the same start as before.
#[test]
fn reply_to_an_earlier_incarnation_is_dropped() {
    let mut harness = harness(2, 7);
    let is_remote = |harness: &Directories, root: &u64| {
        super::owner(&context(harness, 0), Block(root << 32)).unwrap().as_str() == "e1"
    };
    let remote = (0..100).filter(|it| is_remote(&harness, it)).take(2).collect::<Vec<_>>();
    let (known, unknown) = (chain(remote[0], 1, 0, 1), chain(remote[1], 1, 0, 1));
    place(&mut harness, 1, &known, "s1", 1);
    let input = Input::Lookup { request: Request(1), path: Path::new(&known) };
    harness.call(0, |it, ctx, out| it.handle(ctx, input, out));
    harness.kill(0);
    harness.restart(0);
    assert_eq!(look_up(&mut harness, 0, 2, &unknown), []);
}

// Guards against requests that hang with the owner of their prefix: a lookup has a timeout, after
// which the request proceeds without hints.
#[test]
fn hung_owner_delays_a_request_by_at_most_the_timeout() {
    let mut harness = harness(7, 3);
    for index in 0..7 {
        harness.instances[index].paused_until = harness.now + Duration::from_secs(100);
    }
    harness.instances[0].paused_until = Time::ZERO;
    for root in 0..50 {
        let sent_at = harness.now;
        look_up(&mut harness, 0, u128::from(root), &chain(root, 5, 1, 9));
        assert!(harness.now.since(sent_at) <= LOOKUP_TIMEOUT + Duration::from_millis(1));
    }
}

// Guards against a drop in the hit rate after each restart of a rolling one: a leaving instance
// transfers its recently used prefixes, so that they need not be learnt again.
#[test]
fn leaving_owner_transfers_recently_used_prefixes() {
    let mut harness = harness(4, 4);
    for root in 0..40 {
        place(&mut harness, 0, &chain(root, 5, 1, 20), "s1", 1);
    }
    deliver(&mut harness);
    let known = |harness: &mut Directories| {
        let mut is_known =
            |root| !look_up(harness, 1, u128::from(root), &chain(root, 5, 1, 20)).is_empty();
        (0..40).filter(|it| is_known(*it)).count()
    };
    assert_eq!(known(&mut harness), 40);
    // All instances see it leave while it still runs.
    harness.instances[3].is_up = false;
    harness.update_views();
    harness.instances[3].is_up = true;
    harness.run_for(Duration::from_secs(8));
    harness.kill(3);
    harness.emitted.clear();
    assert_eq!(known(&mut harness), 40);
    // A crash loses only the prefixes of that instance.
    harness.kill(2);
    harness.update_views();
    let left = known(&mut harness);
    assert!(0 < left && left < 40, "{left} prefixes are known");
}

// Guards against overload of one owner: if one organisation's instructions open a tenth of all
// prompts, the owner of their first block gets the lookups of all of them. Callers are told to
// choose the owner by a deeper block.
#[test]
fn hot_prefix_is_split_over_several_owners() {
    let mut harness = harness(8, 5);
    let mut request = 0;
    let mut round = |harness: &mut Directories, count: u32| {
        for own in 0..u64::from(count) {
            request += 1;
            let blocks = chain(1, 3, own, 24);
            place(harness, own as usize % 8, &blocks, "s1", 1);
            look_up(harness, own as usize % 8, request, &blocks);
        }
    };
    let load = |harness: &mut Directories| {
        let load =
            harness.instances.iter_mut().map(|it| std::mem::take(&mut it.component.counter).total);
        load.collect::<Vec<_>>()
    };
    round(&mut harness, SPLIT_LOOKUPS_PER_SECOND / 2);
    let before = load(&mut harness);
    assert_eq!(before.iter().filter(|it| 0 < **it).count(), 1, "lookups by owner: {before:?}");
    for _ in 0..12 {
        round(&mut harness, 2 * SPLIT_LOOKUPS_PER_SECOND);
    }
    load(&mut harness);
    round(&mut harness, 2 * SPLIT_LOOKUPS_PER_SECOND);
    let after = load(&mut harness);
    let most = after.iter().max().unwrap();
    assert!(2 * most < after.iter().sum(), "lookups by owner: {after:?}");
}

#[test]
fn owner_drops_lookups_beyond_its_limit() {
    let mut harness = harness(2, 6);
    let remote = (0..).find(|root| {
        let key = Block(root << 32);
        super::owner(&context(&harness, 0), key).unwrap().as_str() == "e1"
    });
    let blocks = chain(remote.unwrap(), 1, 0, 1);
    place(&mut harness, 0, &blocks, "s1", 1);
    deliver(&mut harness);
    for request in 0..u128::from(2 * MAX_ANSWERS_PER_SECOND) {
        let input = Input::Lookup { request: Request(request), path: Path::new(&blocks) };
        harness.call(0, |it, ctx, out| it.handle(ctx, input, out));
    }
    harness.run_for(Duration::from_millis(50));
    let hints = harness.emitted.iter().filter(|it| match &it.action {
        Action::Directory(Output::Hints { hints, .. }) => !hints.is_empty(),
        _ => false,
    });
    assert_eq!(hints.count(), MAX_ANSWERS_PER_SECOND as usize);
    assert_eq!(harness.emitted.len(), 2 * MAX_ANSWERS_PER_SECOND as usize);
}

fn context(harness: &Directories, node: usize) -> crate::context::Context<'_> {
    let it = &harness.instances[node];
    let now = it.local_time(harness.now);
    crate::context::Context { now, me: &it.member.name, view: &it.view, table: &harness.table }
}

// Guards against unbounded memory while prompts pass through, and against eviction of recent rows.
#[test]
fn table_is_bounded_and_evicts_the_least_recently_used() {
    let mut table = Table::default();
    let server = name::Server::from("s1");
    let place = |table: &mut Table, at: u64, root: u64| {
        let path = Path::new(&[Block(root)]);
        table.record_placement(Time::from_millis(at), &path, Block(root), &server, Incarnation(1));
    };
    let total = MAX_ROWS as u64 * 3 / 2;
    for root in 0..total {
        place(&mut table, root, root);
    }
    assert_eq!(table.len(), MAX_ROWS);
    let now = Time::from_millis(total);
    let known =
        |table: &mut Table, root| !table.find(now, &Path::new(&[Block(root)]), 1).is_empty();
    // Older ones may be evicted; of the latest eighth nearly all are known.
    let latest = total - total / 8..total;
    let count = latest.clone().filter(|it| known(&mut table, *it)).count();
    assert!(latest.count() * 95 / 100 <= count, "{count} of the latest are known");
}

#[test]
fn path_fits_a_datagram_and_shares_depths_with_other_paths() {
    let long = (0..10_000).map(|it| Block(u64::MAX - it)).collect::<Vec<_>>();
    let path = Path::new(&long);
    assert!(path.steps.len() <= MAX_STEPS);
    let server = "s".repeat(60).as_str().into();
    let message = super::Message::Placed { path, server, incarnation: Incarnation(u64::MAX) };
    let bytes = encode(&message.into()).len();
    assert!(bytes <= MAX_DATAGRAM_BYTES, "{bytes} bytes");
    let decode = |blocks: &[u8]| postcard::from_bytes::<Path>(blocks);
    for len in [0, 1, 5, 9, 40, 200, 10_000] {
        let path = Path::new(&long[..len]);
        let bytes = postcard::to_allocvec(&path).unwrap();
        assert_eq!(decode(&bytes).unwrap(), path);
    }
    // More blocks than a prompt of that length has.
    assert!(decode(&postcard::to_allocvec(&(1u32, vec![[0u8; 8]; 5])).unwrap()).is_err());
    assert!(decode(&postcard::to_allocvec(&(u32::MAX, vec![[0u8; 8]; 5])).unwrap()).is_err());
    for shared in [1, 7, 20, 50, 100, 190] {
        let one = Path::new(&long[..200]);
        let mut other = long[..shared].to_vec();
        other.extend((0..77).map(Block));
        let other = Path::new(&other);
        let shared_step = one.steps.iter().rev().find(|it| other.steps.contains(it)).unwrap();
        assert!(
            shared as u32 * 4 / 5 <= shared_step.depth,
            "{shared} shared, met at {}",
            shared_step.depth
        );
    }
}

#[derive(Clone, Debug)]
enum Step {
    Place(usize, u64, u64, usize, u64),
    LookUp(usize, u64, u64),
    Restart(u64),
    Kill(usize),
    Start(usize),
    Pass(u64),
    Lossy(f64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0usize..4, 0u64..4, 0u64..4, 1usize..40, 0u64..3)
            .prop_map(|(n, r, o, l, s)| Step::Place(n, r, o, l, s)),
        6 => (0usize..4, 0u64..4, 0u64..4).prop_map(|(n, r, o)| Step::LookUp(n, r, o)),
        1 => (0u64..3).prop_map(Step::Restart),
        1 => (0usize..4).prop_map(Step::Kill),
        1 => (0usize..4).prop_map(Step::Start),
        2 => (1u64..3_000).prop_map(Step::Pass),
        1 => (0.0..0.5).prop_map(Step::Lossy),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 150, ..ProptestConfig::default() })]

    /// Each lookup is answered once and in time, and each hint matches some placement: the same
    /// blocks at the same server in the same incarnation.
    #[test]
    fn hints_match_placements(seed: u64, steps in proptest::collection::vec(step(), 1..60)) {
        let mut harness = harness(4, seed);
        let mut placed: BTreeMap<(name::Server, u64), Vec<Block>> = BTreeMap::new();
        let mut incarnations = [1u64; 3];
        let mut request = 0;
        for step in steps {
            match step {
                Step::Place(node, root, own, len, server) if harness.instances[node].is_up => {
                    let blocks = chain(root, 10, own, len);
                    let incarnation = incarnations[server as usize];
                    let name = format!("s{server}");
                    place(&mut harness, node, &blocks, &name, incarnation);
                    placed.entry((name.into(), incarnation)).or_default().extend(blocks);
                }
                Step::LookUp(node, root, own) if harness.instances[node].is_up => {
                    request += 1;
                    let blocks = chain(root, 10, own, 40);
                    for hint in look_up(&mut harness, node, request, &blocks) {
                        let key = (hint.server.clone(), hint.incarnation.0);
                        let block = blocks[hint.blocks as usize - 1];
                        prop_assert!(placed[&key].contains(&block), "{hint:?} was never placed");
                        prop_assert!(0.0 < hint.confidence && hint.confidence <= 1.0);
                    }
                    prop_assert!(harness.emitted.is_empty(), "answered twice");
                }
                Step::Place(..) | Step::LookUp(..) => {}
                Step::Restart(server) => incarnations[server as usize] += 1,
                Step::Kill(node) => {
                    harness.kill(node);
                    harness.update_views();
                }
                Step::Start(node) if !harness.instances[node].is_up => harness.restart(node),
                Step::Start(_) => {}
                Step::Pass(millis) => harness.run_for(Duration::from_millis(millis)),
                Step::Lossy(fraction) => {
                    harness.faults.message_loss = fraction;
                    harness.faults.message_duplication = fraction;
                }
            }
        }
    }
}
