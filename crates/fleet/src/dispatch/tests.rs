//! Tests of how instances inform each other of the attempts that they sent.

use std::{collections::BTreeMap, time::Duration};

use shallotlead_base::id::{Block, Incarnation};

use crate::{
    component::Component,
    dispatch::{
        Assignment, BATCH_INTERVAL, Dispatch, Input, MAX_ANCHORS, MAX_DIRECT_PEERS, Output,
        RELAYED_BATCH_INTERVAL,
    },
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
    let sent = Assignment {
        server: "w1".into(),
        incarnation: Incarnation(3),
        uncached_tokens: tokens,
        anchors: vec![Block(u64::MAX); MAX_ANCHORS],
        age: Duration::ZERO,
    };
    harness.call(node, |it, ctx, out| it.handle(ctx, Input::Sent(sent), out));
}

/// How often each instance was informed of an attempt with `tokens`.
fn count_received(harness: &Harness<Dispatch>, tokens: u32) -> BTreeMap<usize, usize> {
    let mut counts = BTreeMap::new();
    for event in &harness.emitted {
        let Action::Dispatch(Output::Placed(assignments)) = &event.action else { continue };
        let count = assignments.iter().filter(|it| it.uncached_tokens == tokens).count();
        *counts.entry(event.index).or_default() += count;
    }
    counts
}

#[test]
fn few_instances_are_each_informed_once_within_a_batch_interval() {
    // Without these messages, seven instances would send their next request to the same server: it
    // looked idle in a load report a second ago, and none would know what the others sent.
    let mut harness = harness(7);
    send(&mut harness, 2, 512);
    harness.run_for(BATCH_INTERVAL + 2 * DELAY);
    let received = count_received(&harness, 512);
    assert_eq!(received, (0..7).filter(|it| *it != 2).map(|it| (it, 1)).collect());
}

#[test]
fn many_instances_are_each_informed_once() {
    for count in [MAX_DIRECT_PEERS + 1, 42] {
        let mut harness = harness(count);
        send(&mut harness, 5, 512);
        harness.run_for(2 * RELAYED_BATCH_INTERVAL + 3 * DELAY);
        let received = count_received(&harness, 512);
        assert_eq!(received, (0..count).filter(|it| *it != 5).map(|it| (it, 1)).collect());
    }
}

#[test]
fn traffic_of_many_instances_is_bounded() {
    // Control traffic must not grow with the fleet until it uses up the bandwidth of requests. At the
    // intended size a data centre has 42 instances with 6 requests a second each.
    let mut harness = harness(42);
    let seconds = 5;
    for step in 0..seconds * 42 * 6 {
        send(&mut harness, (step * 17) % 42, 512);
        harness.run_for(Duration::from_millis(1000) / (42 * 6));
    }
    let packets = harness.messages as usize / seconds / 42;
    let bytes = harness.bytes as usize / seconds / 42;
    // The headers of a packet take about 60 bytes.
    assert!(bytes + packets * 60 < 12_000, "{bytes} bytes in {packets} packets a second");
}

#[test]
fn large_burst_is_split_into_datagrams() {
    let mut harness = harness(2);
    for tokens in 0..500 {
        send(&mut harness, 0, tokens);
    }
    harness.run_for(2 * BATCH_INTERVAL + 2 * DELAY);
    for tokens in 0..500 {
        assert_eq!(count_received(&harness, tokens).get(&1), Some(&1));
    }
    let record = |tokens| super::Record {
        server: "w".repeat(100).as_str().into(),
        incarnation: Incarnation(u64::MAX),
        uncached_tokens: tokens,
        anchors: vec![Block(u64::MAX); MAX_ANCHORS],
        age_ms: u16::MAX,
    };
    let records = (0..super::MAX_RECORDS_BYTES / (100 + super::RECORD_OVERHEAD_BYTES))
        .map(|_| record(u32::MAX))
        .collect();
    assert!(encode(&super::Message::Row(records).into()).len() <= MAX_DATAGRAM_BYTES);
}
