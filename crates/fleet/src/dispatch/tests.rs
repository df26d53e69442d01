//! Tests of what instances tell each other of the attempts that they sent.

use std::{collections::BTreeMap, time::Duration};

use shallotlead_base::id::{Block, Incarnation};

use crate::{
    component::Component,
    dispatch::{ANCHORS, DIRECT, Dispatch, GATHER, GATHER_MANY, Input, Output, Sent},
    harness::Harness,
    message::{MAX_DATAGRAM_BYTES, Message, encode},
    node::Action,
};

const DELAY: Duration = Duration::from_millis(1);

fn harness(count: usize) -> Harness<Dispatch> {
    let pick = |message| match message {
        Message::Dispatch(it) => Some(it),
        _ => None,
    };
    let mut harness = Harness::new(count, 1, Dispatch::default, pick);
    harness.faults.max_delay = DELAY;
    harness
}

fn send(harness: &mut Harness<Dispatch>, node: usize, tokens: u32) {
    let sent = Sent {
        server: "w1".into(),
        incarnation: Incarnation(3),
        uncached_tokens: tokens,
        anchors: vec![Block(u64::MAX); ANCHORS],
        age: Duration::ZERO,
    };
    harness.call(node, |it, ctx, out| it.handle(ctx, Input::Sent(sent), out));
}

/// How often each instance heard of an attempt with `tokens`.
fn heard(harness: &Harness<Dispatch>, tokens: u32) -> BTreeMap<usize, usize> {
    let mut counts = BTreeMap::new();
    for told in &harness.emitted {
        let Action::Dispatch(Output::Placed(placed)) = &told.action else { continue };
        let count = placed.iter().filter(|it| it.uncached_tokens == tokens).count();
        *counts.entry(told.index).or_default() += count;
    }
    counts
}

#[test]
fn each_of_few_instances_hears_once_and_soon() {
    // Seven instances send their next request to the same server: it looked idle in a load report
    // of a second ago, and none knows what the others sent.
    let mut harness = harness(7);
    send(&mut harness, 2, 512);
    harness.run_for(GATHER + 2 * DELAY);
    let heard = heard(&harness, 512);
    assert_eq!(heard, (0..7).filter(|it| *it != 2).map(|it| (it, 1)).collect());
}

#[test]
fn each_of_many_instances_hears_once() {
    for count in [DIRECT + 1, 42] {
        let mut harness = harness(count);
        send(&mut harness, 5, 512);
        harness.run_for(2 * GATHER_MANY + 3 * DELAY);
        let heard = heard(&harness, 512);
        assert_eq!(heard, (0..count).filter(|it| *it != 5).map(|it| (it, 1)).collect());
    }
}

#[test]
fn many_instances_stay_within_their_bytes() {
    // Control traffic grows with the fleet until it takes the bandwidth of requests. At the
    // intended size a data centre has 42 instances with 6 requests a second each.
    let mut harness = harness(42);
    let seconds = 5;
    for step in 0..seconds * 42 * 6 {
        send(&mut harness, (step * 17) % 42, 512);
        harness.run_for(Duration::from_millis(1000) / (42 * 6));
    }
    let packets = harness.messages as usize / seconds / 42;
    let bytes = harness.bytes as usize / seconds / 42;
    // A packet's own header takes about 60 bytes.
    assert!(bytes + packets * 60 < 12_000, "{bytes} bytes in {packets} packets a second");
}

#[test]
fn burst_fits_datagrams() {
    let mut harness = harness(2);
    for tokens in 0..500 {
        send(&mut harness, 0, tokens);
    }
    harness.run_for(2 * GATHER + 2 * DELAY);
    for tokens in 0..500 {
        assert_eq!(heard(&harness, tokens).get(&1), Some(&1));
    }
    let row = |tokens| super::Row {
        server: "w".repeat(100).as_str().into(),
        incarnation: Incarnation(u64::MAX),
        uncached_tokens: tokens,
        anchors: vec![Block(u64::MAX); ANCHORS],
        age_ms: u16::MAX,
    };
    let rows = (0..super::DATAGRAM / (100 + super::ROW)).map(|_| row(u32::MAX)).collect();
    assert!(encode(&super::Message::Row(rows).into()).len() <= MAX_DATAGRAM_BYTES);
}
