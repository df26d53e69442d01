//! Tests of the directory: whether expected locations are found, bounded and kept up to date.

use std::{collections::BTreeMap, time::Duration};

use proptest::prelude::*;
use shallotlead_base::{
    id::{Block, Incarnation, Request},
    name,
    time::Time,
};

use crate::{
    directory::{
        Directory, Hint, Input, LOOKUP_TIMEOUT, MAX_ANSWERS_PER_SECOND, Output,
        SPLIT_LOOKUPS_PER_SECOND,
        path::{MAX_STEPS, Path},
        table::{MAX_ROWS, Table},
    },
    message::{MAX_DATAGRAM, Message, encode},
    node::Action,
    part::Part,
    rig::Rig,
};

type Directories = Rig<Directory>;

fn rig(count: usize, seed: u64) -> Directories {
    let pick = |message| match message {
        Message::Directory(it) => Some(it),
        _ => None,
    };
    let mut rig = Rig::open(count, seed, Directory::default, pick);
    rig.faults.delay = Duration::from_millis(1);
    rig
}

/// The chain of a prompt: `shared` blocks of `root`, then blocks of its own.
fn chain(root: u64, shared: usize, own: u64, len: usize) -> Vec<Block> {
    let block = |depth: usize| match depth < shared {
        true => Block(root << 32 | depth as u64),
        false => Block(root << 32 | own << 12 | depth as u64),
    };
    (0..len).map(block).collect()
}

fn place(rig: &mut Directories, node: usize, blocks: &[Block], server: &str, incarnation: u64) {
    let input = Input::Placed {
        path: Path::new(blocks),
        server: server.into(),
        incarnation: Incarnation(incarnation),
    };
    rig.call(node, |it, ctx, out| it.handle(ctx, input, out));
}

fn look_up(rig: &mut Directories, node: usize, request: u128, blocks: &[Block]) -> Vec<Hint> {
    let input = Input::Lookup { request: Request(request), path: Path::new(blocks) };
    rig.call(node, |it, ctx, out| it.handle(ctx, input, out));
    let until = rig.now + LOOKUP_TIMEOUT + Duration::from_millis(5);
    assert!(rig.run(until, |rig| !rig.told.is_empty()), "no reply in time");
    match rig.told.pop_front().unwrap().action {
        Action::Directory(Output::Hints { request: it, hints }) if it == Request(request) => hints,
        other => panic!("{other:?}"),
    }
}

fn deliver(rig: &mut Directories) {
    rig.pass(Duration::from_millis(20));
}

#[test]
fn placement_is_found_through_every_instance() {
    let mut rig = rig(7, 1);
    place(&mut rig, 0, &chain(1, 20, 1, 40), "s1", 1);
    place(&mut rig, 1, &chain(1, 20, 2, 30), "s2", 1);
    deliver(&mut rig);
    for node in 0..7 {
        let hints = look_up(&mut rig, node, 1, &chain(1, 20, 1, 40));
        let found = hints.iter().map(|it| (it.server.as_str(), it.blocks)).collect::<Vec<_>>();
        // The second shares only 20 blocks; the grid's last step within them is the 19th.
        assert_eq!(found, [("s1", 40), ("s2", 19)]);
    }
    assert_eq!(look_up(&mut rig, 0, 2, &chain(2, 20, 1, 40)), []);
    assert_eq!(look_up(&mut rig, 0, 3, &[]), []);
}

// Guards against hints from before a server's crash: its cache is empty since, so requests sent
// there would wait for a full prefill.
#[test]
fn location_of_an_earlier_incarnation_is_never_returned() {
    let mut rig = rig(3, 2);
    let blocks = chain(1, 20, 1, 40);
    place(&mut rig, 0, &blocks, "s1", 1);
    deliver(&mut rig);
    place(&mut rig, 1, &blocks[..8], "s1", 2);
    deliver(&mut rig);
    // A late message about the earlier incarnation changes nothing.
    place(&mut rig, 2, &blocks, "s1", 1);
    deliver(&mut rig);
    for node in 0..3 {
        let hints = look_up(&mut rig, node, 1, &blocks);
        assert_eq!(hints.len(), 1);
        assert_eq!((hints[0].incarnation, hints[0].blocks), (Incarnation(2), 8));
    }
}

// Guards against hints about another organisation's prompt: an instance that restarts while a reply
// is under way numbers its lookups from the same start as before.
#[test]
fn reply_to_an_earlier_incarnation_is_dropped() {
    let mut rig = rig(2, 7);
    let is_remote = |rig: &Directories, root: &u64| {
        super::owner(&context(rig, 0), Block(root << 32)).unwrap().as_str() == "e1"
    };
    let remote = (0..100).filter(|it| is_remote(&rig, it)).take(2).collect::<Vec<_>>();
    let (known, unknown) = (chain(remote[0], 1, 0, 1), chain(remote[1], 1, 0, 1));
    place(&mut rig, 1, &known, "s1", 1);
    let input = Input::Lookup { request: Request(1), path: Path::new(&known) };
    rig.call(0, |it, ctx, out| it.handle(ctx, input, out));
    rig.kill(0);
    rig.restart(0);
    assert_eq!(look_up(&mut rig, 0, 2, &unknown), []);
}

// Guards against requests that hang with the owner of their prefix: a lookup has a timeout, after
// which the request proceeds without hints.
#[test]
fn hung_owner_delays_a_request_by_at_most_the_timeout() {
    let mut rig = rig(7, 3);
    for index in 0..7 {
        rig.nodes[index].paused = rig.now + Duration::from_secs(100);
    }
    rig.nodes[0].paused = Time::ZERO;
    for root in 0..50 {
        let sent_at = rig.now;
        look_up(&mut rig, 0, u128::from(root), &chain(root, 5, 1, 9));
        assert!(rig.now.since(sent_at) <= LOOKUP_TIMEOUT + Duration::from_millis(1));
    }
}

// Guards against a drop in the hit rate after each restart of a rolling one: a leaving instance
// transfers its recently used prefixes, so that they need not be learnt again.
#[test]
fn leaving_owner_transfers_recently_used_prefixes() {
    let mut rig = rig(4, 4);
    for root in 0..40 {
        place(&mut rig, 0, &chain(root, 5, 1, 20), "s1", 1);
    }
    deliver(&mut rig);
    let known = |rig: &mut Directories| {
        let mut is_known =
            |root| !look_up(rig, 1, u128::from(root), &chain(root, 5, 1, 20)).is_empty();
        (0..40).filter(|it| is_known(*it)).count()
    };
    assert_eq!(known(&mut rig), 40);
    // All instances see it leave while it still runs.
    rig.nodes[3].up = false;
    rig.look();
    rig.nodes[3].up = true;
    rig.pass(Duration::from_secs(8));
    rig.kill(3);
    rig.told.clear();
    assert_eq!(known(&mut rig), 40);
    // A crash loses only the prefixes of that instance.
    rig.kill(2);
    rig.look();
    let left = known(&mut rig);
    assert!(0 < left && left < 40, "{left} prefixes are known");
}

// Guards against overload of one owner: if one organisation's instructions open a tenth of all
// prompts, the owner of their first block gets the lookups of all of them. Callers are told to
// choose the owner by a deeper block.
#[test]
fn hot_prefix_is_split_over_several_owners() {
    let mut rig = rig(8, 5);
    let mut request = 0;
    let mut round = |rig: &mut Directories, count: u32| {
        for own in 0..u64::from(count) {
            request += 1;
            let blocks = chain(1, 3, own, 24);
            place(rig, own as usize % 8, &blocks, "s1", 1);
            look_up(rig, own as usize % 8, request, &blocks);
        }
    };
    let load = |rig: &mut Directories| {
        let load = rig.nodes.iter_mut().map(|it| std::mem::take(&mut it.part.counter).total);
        load.collect::<Vec<_>>()
    };
    round(&mut rig, SPLIT_LOOKUPS_PER_SECOND / 2);
    let before = load(&mut rig);
    assert_eq!(before.iter().filter(|it| 0 < **it).count(), 1, "lookups by owner: {before:?}");
    for _ in 0..12 {
        round(&mut rig, 2 * SPLIT_LOOKUPS_PER_SECOND);
    }
    load(&mut rig);
    round(&mut rig, 2 * SPLIT_LOOKUPS_PER_SECOND);
    let after = load(&mut rig);
    let most = after.iter().max().unwrap();
    assert!(2 * most < after.iter().sum(), "lookups by owner: {after:?}");
}

#[test]
fn owner_drops_lookups_beyond_its_limit() {
    let mut rig = rig(2, 6);
    let remote = (0..).find(|root| {
        let key = Block(root << 32);
        super::owner(&context(&rig, 0), key).unwrap().as_str() == "e1"
    });
    let blocks = chain(remote.unwrap(), 1, 0, 1);
    place(&mut rig, 0, &blocks, "s1", 1);
    deliver(&mut rig);
    for request in 0..u128::from(2 * MAX_ANSWERS_PER_SECOND) {
        let input = Input::Lookup { request: Request(request), path: Path::new(&blocks) };
        rig.call(0, |it, ctx, out| it.handle(ctx, input, out));
    }
    rig.pass(Duration::from_millis(50));
    let hints = rig.told.iter().filter(|it| match &it.action {
        Action::Directory(Output::Hints { hints, .. }) => !hints.is_empty(),
        _ => false,
    });
    assert_eq!(hints.count(), MAX_ANSWERS_PER_SECOND as usize);
    assert_eq!(rig.told.len(), 2 * MAX_ANSWERS_PER_SECOND as usize);
}

fn context(rig: &Directories, node: usize) -> crate::context::Context<'_> {
    let it = &rig.nodes[node];
    let now = it.clock(rig.now);
    crate::context::Context { now, me: &it.member.name, view: &it.view, table: &rig.table }
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
    assert!(bytes <= MAX_DATAGRAM, "{bytes} bytes");
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
        let mut rig = rig(4, seed);
        let mut placed: BTreeMap<(name::Server, u64), Vec<Block>> = BTreeMap::new();
        let mut incarnations = [1u64; 3];
        let mut request = 0;
        for step in steps {
            match step {
                Step::Place(node, root, own, len, server) if rig.nodes[node].up => {
                    let blocks = chain(root, 10, own, len);
                    let incarnation = incarnations[server as usize];
                    let name = format!("s{server}");
                    place(&mut rig, node, &blocks, &name, incarnation);
                    placed.entry((name.into(), incarnation)).or_default().extend(blocks);
                }
                Step::LookUp(node, root, own) if rig.nodes[node].up => {
                    request += 1;
                    let blocks = chain(root, 10, own, 40);
                    for hint in look_up(&mut rig, node, request, &blocks) {
                        let key = (hint.server.clone(), hint.incarnation.0);
                        let block = blocks[hint.blocks as usize - 1];
                        prop_assert!(placed[&key].contains(&block), "{hint:?} was never placed");
                        prop_assert!(0.0 < hint.confidence && hint.confidence <= 1.0);
                    }
                    prop_assert!(rig.told.is_empty(), "answered twice");
                }
                Step::Place(..) | Step::LookUp(..) => {}
                Step::Restart(server) => incarnations[server as usize] += 1,
                Step::Kill(node) => {
                    rig.kill(node);
                    rig.look();
                }
                Step::Start(node) if !rig.nodes[node].up => rig.restart(node),
                Step::Start(_) => {}
                Step::Pass(millis) => rig.pass(Duration::from_millis(millis)),
                Step::Lossy(fraction) => {
                    rig.faults.message = fraction;
                    rig.faults.double = fraction;
                }
            }
        }
    }
}
