//! Entry instances that end, are shut down or start without the platform, over real sockets.

// Helpers outside `#[test]` functions are tests as well.
#![allow(clippy::unwrap_used)]

#[allow(dead_code)]
mod common;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use shallotlead::{
    caller::{Caller, outcome::TryEnd},
    world::World,
};
use shallotlead_base::code::Execution;
use shallotlead_standin::platform::Mode;
use shallotlead_table::{column::Column, row};

use crate::common::{assert_own_answer, chat, health, send, serves, wait};

/// Scale at which engines generate some fifty tokens a second.
const REAL: f64 = 1.0;
const FAST: f64 = 50.0;
/// Streams open at a shutdown.
const STREAMS: usize = 50;

// An instance is replaced while fifty answers are under way. Nobody notices: the instance finishes
// its streams before it ends, and whoever comes meanwhile is sent elsewhere.
#[test]
fn a_graceful_shutdown_cuts_none_of_fifty_streams() {
    let mut world = common::world(REAL);
    let leaving = world.entry(0);
    world.engines.iter().for_each(|it| it.hold());
    let asks: Vec<_> =
        (0..STREAMS).map(|it| chat(["one", "two"][it % 2], &format!("open {it}"), true)).collect();
    // These callers know no other address, so that all streams are the leaving instance's.
    let callers: Vec<_> = asks
        .iter()
        .map(|ask| {
            let (mut caller, ask) = (Caller::fixed(leaving), ask.clone());
            thread::spawn(move || caller.call(&ask))
        })
        .collect();
    let operators = world.operators()[0];
    wait("fifty open streams", || health(operators)["open_requests"] == STREAMS);
    world.engines.iter().for_each(|it| it.release());
    common::generating_engine(&world, 1);
    let entry = world.leave_entry(0).unwrap();
    let shutdown = thread::spawn(move || entry.shutdown());

    let late = chat("one", "late", true);
    assert_own_answer(&late, &send(&world, late.clone()).join().unwrap());
    for (ask, caller) in asks.iter().zip(callers) {
        let outcome = caller.join().unwrap();
        assert_own_answer(ask, &outcome);
        assert_eq!(outcome.tries.len(), 1, "the stream was not cut");
    }
    shutdown.join().unwrap();
    assert!(!serves(leaving), "the instance has ended");
}

// The instance that relays an answer crashes in the middle of it. The caller goes on at another one
// with the id of the last event it got: the text has no gap and no repeat.
#[test]
fn a_caller_resumes_at_another_instance_after_a_crash() {
    let mut world = common::world(REAL);
    let ask = chat("one", "resume", true);
    let (caller, _) = common::send_and_hold(&world, ask.clone());
    let entry = common::busy_entry(&world);
    world.kill_entry(entry);
    world.engines.iter().for_each(|it| it.release());
    let outcome = caller.join().unwrap();
    assert_own_answer(&ask, &outcome);
    assert!(outcome.tries.iter().any(|it| it.resumed), "{:?}", outcome.tries);
}

// A rack fails: the engine that generates an answer and the instance that relays it die together. The
// caller goes on at another instance, which resumes at another engine.
#[test]
fn an_engine_and_an_instance_die_together() {
    let mut world = common::world(REAL);
    let ask = chat("one", "rack", true);
    let (caller, engine) = common::send_and_hold(&world, ask.clone());
    let entry = common::busy_entry(&world);
    world.engines[engine].kill();
    world.kill_entry(entry);
    world.engines.iter().for_each(|it| it.release());
    let outcome = caller.join().unwrap();
    assert_own_answer(&ask, &outcome);
    assert!(outcome.tries.iter().any(|it| it.resumed), "{:?}", outcome.tries);
}

// All instances are restarted within a moment. Nobody has the table but the platform; they serve
// again, and a stream that was open goes on where it was.
#[test]
fn all_instances_restart_at_once() {
    let mut world = common::world(REAL);
    let ask = chat("one", "herd", true);
    let (caller, _) = common::send_and_hold(&world, ask.clone());
    (0..3).for_each(|it| world.kill_entry(it));
    world.engines.iter().for_each(|it| it.release());
    (0..3).for_each(|it| world.start_entry(it).unwrap());
    assert_own_answer(&ask, &caller.join().unwrap());
    for number in 0..6 {
        let ask = chat("two", &format!("after the herd {number}"), true);
        assert_own_answer(&ask, &send(&world, ask.clone()).join().unwrap());
    }
}

// A whole fleet is down for some seconds, on a slow machine or after a power cut. A caller that comes
// every 50 ms had used up its 24 tries after 1.2 s, none of which had reached anybody, and gave its
// request up; in a restart of all instances that took longer, an open stream was lost that way.
#[test]
fn a_caller_outlasts_a_fleet_that_is_down_for_a_while() {
    let mut world = common::world(REAL);
    (0..3).for_each(|it| world.kill_entry(it));
    let ask = chat("one", "patient", true);
    let caller = send(&world, ask.clone());
    thread::sleep(Duration::from_secs(2));
    (0..3).for_each(|it| world.start_entry(it).unwrap());
    assert_own_answer(&ask, &caller.join().unwrap());
}

// An operator's dashboard asks an instance for its health all the time. The instance is restarted on
// its addresses; the dashboard must not keep the old listener open.
#[test]
fn an_instance_that_is_watched_closely_can_be_restarted() {
    let mut world = common::world(FAST);
    let operators = world.operators()[1];
    let is_over = Arc::new(AtomicBool::new(false));
    let dashboard = {
        let is_over = Arc::clone(&is_over);
        thread::spawn(move || {
            while !is_over.load(Ordering::SeqCst) {
                // The instance is down for a while; that is no failure here.
                let _ = ureq::get(format!("http://{operators}/healthz")).call();
                thread::sleep(Duration::from_millis(20));
            }
        })
    };
    world.kill_entry(1);
    world.start_entry(1).unwrap();
    wait("the restarted instance", || serves(world.entry(1)));
    is_over.store(true, Ordering::SeqCst);
    dashboard.join().unwrap();
}

// The platform goes down and stays down. Traffic that needs nothing new from it goes on as before.
#[test]
fn traffic_goes_on_without_the_platform() {
    let world = common::world(FAST);
    world.platform.set_mode(Mode::Down);
    world.list.set_mode(Mode::Down);
    for number in 0..20 {
        let ask = chat("one", &format!("without {number}"), number % 2 == 0);
        assert_own_answer(&ask, &send(&world, ask.clone()).join().unwrap());
    }
}

// An instance is replaced while the platform is down: it can't read the table, and still serves at
// once, with the table that the other instances have.
#[test]
fn an_instance_starts_without_the_platform() {
    let mut world = common::world(FAST);
    world.kill_entry(1);
    world.platform.kill();
    world.list.kill();
    world.start_entry(1).unwrap();
    let started = world.entry(1);
    wait("the instance to serve", || serves(started));
    let ask = chat("one", "started", true);
    let outcome = Caller::fixed(started).call(&ask);
    assert_own_answer(&ask, &outcome);
}

// The first instance of all starts while the platform is down. It knows no table and no peer has
// one, so it refuses truthfully; when the platform is back, it serves without being started again.
#[test]
fn an_instance_alone_serves_as_soon_as_the_platform_is_back() {
    let mut world = common::world(FAST);
    (0..3).for_each(|it| world.kill_entry(it));
    world.platform.set_mode(Mode::Down);
    world.start_entry(0).unwrap();
    let alone = world.entry(0);
    let ask = chat("one", "alone", true);
    let refused = Caller::fixed(alone).with_patience(Duration::ZERO).call(&ask);
    let [attempt] = refused.tries.as_slice() else { panic!("{:?}", refused.tries) };
    let TryEnd::Refused(refusal) = &attempt.end else { panic!("{attempt:?}") };
    assert_eq!(refusal.execution, Execution::NotRun);
    assert!(refusal.retry_after.is_some(), "coming back helps: {refusal:?}");
    assert!(world.engines.iter().all(|it| it.runs().is_empty()));

    world.platform.set_mode(Mode::Up);
    wait("the instance to serve", || serves(alone));
    assert_own_answer(&ask, &Caller::fixed(alone).call(&ask));
}

// An operator changes a cell while the platform loses the answer of the write. The change is
// accepted once, and in force at every instance.
#[test]
fn a_change_whose_answer_is_lost_is_in_force_everywhere() {
    let mut world = common::world(FAST);
    let before = health(world.operators()[0])["table"].as_u64().unwrap();
    world.platform.lose_answers(1);
    let version = world.set_cell(row::Kind::Organisation, "one", Column::Weight, "7").unwrap().0;
    assert_eq!(version, before + 1);
    wait("the change to be in force", || {
        world.operators().iter().all(|it| version <= health(*it)["table"].as_u64().unwrap())
    });
}

// An instance crashes while a new one and an old one are there. The address page leaves the dead one
// out after a while, so that callers stop trying it.
#[test]
fn the_address_page_forgets_a_dead_instance() {
    let mut world = common::world(FAST);
    let dead = world.entry(2);
    wait("the page to list all", || lists(&world, 0, dead) && lists(&world, 1, dead));
    world.kill_entry(2);
    wait("the page to forget it", || !lists(&world, 0, dead) && !lists(&world, 1, dead));
}

fn lists(world: &World, index: usize, address: SocketAddr) -> bool {
    let url = format!("http://{}/v1/addresses?centre=east", world.entry(index));
    let page = ureq::get(url).call().unwrap().body_mut().read_to_string().unwrap();
    page.contains(&address.to_string())
}
