//! Engines that die, stall or mix answers up, over real sockets.

// Helpers outside `#[test]` functions are tests as well.
#![allow(clippy::unwrap_used)]

#[allow(dead_code)]
mod common;

use std::{
    io::{self, Write},
    net::{Shutdown, SocketAddr, TcpStream},
    thread::{self, JoinHandle},
    time::Duration,
};

use shallotlead::{caller::outcome::TryEnd, traffic::deployment::Deployment};
use shallotlead_base::code::Execution;
use shallotlead_standin::engine::{Cut, End, Run};

use crate::common::{assert_own_answer, chat, send, wait};

/// Scale at which engines generate some fifty tokens a second.
const REAL: f64 = 1.0;
const FAST: f64 = 50.0;

const THREE_ENGINES: Deployment = Deployment { engines: 3, ..common::SMALL };
const ONE_ENGINE: Deployment = Deployment { engines: 1, ..common::SMALL };

// A surveyor waits for the first word and the engine dies instead. The request was at the engine,
// nothing had come back. The surveyor sees a whole answer, only later: another engine ran it.
#[test]
fn an_engine_dies_before_the_first_token() {
    let world = common::world(REAL);
    world.engines.iter().for_each(|it| it.hold());
    let ask = chat("one", "before", true);
    let caller = send(&world, ask.clone());
    let first = common::busy_engine(&world);
    world.engines[first].kill();
    world.engines[1 - first].release();
    let outcome = caller.join().unwrap();
    assert_own_answer(&ask, &outcome);
    assert_eq!(outcome.tries.len(), 1, "the caller saw nothing of it: {:?}", outcome.tries);
}

// Half a paragraph is on the screen when the engine dies. The text goes on at the next word: the
// stream was resumed at another engine, without a gap and without a repeat.
#[test]
fn an_engine_dies_in_the_middle_of_a_stream() {
    let world = common::world(REAL);
    let ask = chat("one", "middle", true);
    let (caller, first) = common::send_and_hold(&world, ask.clone());
    world.engines[first].kill();
    world.engines.iter().for_each(|it| it.release());
    let outcome = caller.join().unwrap();
    assert_own_answer(&ask, &outcome);
    assert_eq!(outcome.tries.len(), 1, "the caller saw nothing of it: {:?}", outcome.tries);
    let resumed = world.engines[1 - first].runs();
    assert!(resumed.iter().any(|it| 1 <= it.resumed_at), "{resumed:?}");
}

// The last word arrived, then the connection broke before the end marker. The caller must learn
// that the answer is whole, and must not get a word twice.
#[test]
fn an_engine_dies_between_the_last_token_and_the_end_marker() {
    let world = common::world(FAST);
    world.engines.iter().for_each(|it| it.cut_next(Cut::BeforeDone));
    let ask = chat("one", "end", true);
    let outcome = send(&world, ask.clone()).join().unwrap();
    assert_own_answer(&ask, &outcome);
    assert_eq!(outcome.tries.len(), 1, "the caller saw nothing of it: {:?}", outcome.tries);
}

// A caller asks for a whole answer and the engine dies after it ran. Completions may run twice, so
// that another engine gives the answer.
#[test]
fn an_engine_dies_instead_of_a_whole_answer() {
    let world = common::world(FAST);
    world.engines[0].cut_next(Cut::AfterTokens(0));
    world.engines[1].cut_next(Cut::AfterTokens(0));
    let ask = chat("one", "whole", false);
    let outcome = send(&world, ask.clone()).join().unwrap();
    assert_own_answer(&ask, &outcome);
}

// Two callers ask at the same time and the engine exchanges their answers. Neither may see a word
// of the other's: the attempt's id in the answer's head does not fit, so that both are dropped and
// asked for again.
#[test]
fn crossed_answers_reach_nobody() {
    let world = common::world_of(&ONE_ENGINE, FAST);
    world.engines[0].cross_next();
    let asks = [chat("one", "crossed", true), chat("two", "crossed as well", true)];
    let callers = asks.clone().map(|it| send(&world, it));
    for (ask, caller) in asks.iter().zip(callers) {
        assert_own_answer(ask, &caller.join().unwrap());
    }
    assert!(asks.len() < world.engines[0].runs().len(), "the exchange took place");
}

// An engine stalls with two requests; both callers go away and one asks something else. When the
// engine goes on, the late answers must reach nobody.
#[test]
fn late_answers_reach_nobody() {
    let world = common::world(FAST);
    world.engines.iter().for_each(|it| it.hold());
    let entry = world.entry(0);
    let abandoned: Vec<_> = (0..2).map(|it| abandon(entry, &format!("late {it}"))).collect();
    wait("both requests", || {
        world.engines.iter().map(|it| it.running() + it.waiting()).sum::<usize>() == 2
    });
    drop(abandoned);
    let ask = chat("two", "in time", true);
    let caller = send(&world, ask.clone());
    world.engines.iter().for_each(|it| it.release());
    assert_own_answer(&ask, &caller.join().unwrap());
}

// A caller closes the page in the middle of an answer. Nobody will read the rest, so the engine
// must stop computing it.
#[test]
fn the_engine_stops_when_the_caller_vanishes() {
    let world = common::world(REAL);
    let stream = abandon(world.entry(0), "vanish");
    let engine = common::generating_engine(&world, 2);
    drop(stream);
    wait("the engine to stop", || world.engines[engine].running() == 0);
    let run = &world.engines[engine].runs()[0];
    assert_eq!(run.end, End::Cancelled);
}

// An engine crashes, comes back with an empty cache and is used again: its new life is another
// incarnation, and nothing believed of the old one counts.
#[test]
fn a_restarted_engine_is_used_again() {
    let world = common::world(FAST);
    let ask = chat("one", "again", true);
    assert_own_answer(&ask, &send(&world, ask.clone()).join().unwrap());
    for engine in &world.engines {
        engine.restart().unwrap();
    }
    let outcome = send(&world, ask.clone()).join().unwrap();
    assert_own_answer(&ask, &outcome);
    let runs: Vec<_> = world.engines.iter().flat_map(|it| it.runs()).collect();
    assert!(runs.iter().any(|it| it.incarnation == 2), "{runs:?}");
}

// All engines refuse for a moment, saying that nothing ran. The caller waits as it is told and gets
// its answer; it never hears that the outcome is unknown.
#[test]
fn truthful_refusals_of_engines_are_tried_again() {
    let world = common::world(FAST);
    world.engines.iter().for_each(|it| it.refuse_next(1));
    let ask = chat("one", "refused", true);
    let outcome = send(&world, ask.clone()).join().unwrap();
    assert_own_answer(&ask, &outcome);
    let is_unknown =
        |it: &TryEnd| matches!(it, TryEnd::Refused(it) if it.execution != Execution::NotRun);
    assert!(!outcome.tries.iter().any(|it| is_unknown(&it.end)));
}

// Half a paragraph is there when the engine dies, and the one that goes on with it dies as well. The
// text still has no gap and no repeat: each resume begins where the caller's text ends.
#[test]
fn two_engines_die_under_one_stream() {
    let world = common::world_of(&THREE_ENGINES, REAL);
    let ask = chat("one", "twice", true);
    let (caller, first) = common::send_and_hold(&world, ask.clone());
    world.engines[first].kill();
    world.engines.iter().for_each(|it| it.release());
    let second = common::wait_for("the resumed stream", || {
        let is_resumed = |it: &Run| 1 <= it.resumed_at && it.resumed_at + 4 <= it.generated;
        let others = (0..3).filter(|it| *it != first);
        others.into_iter().find(|it| world.engines[*it].runs().iter().any(is_resumed))
    });
    world.engines[second].kill();
    let outcome = caller.join().unwrap();
    assert_own_answer(&ask, &outcome);
}

// An engine says nothing of half of its evictions and says the rest late. Prefixes are believed
// cached that are not; answers come a little later and are right.
#[test]
fn lost_cache_events_cost_time_alone() {
    let world = common::world(FAST);
    for engine in &world.engines {
        engine.set_event_loss(0.5);
        engine.set_event_delay(Duration::from_millis(300));
    }
    let history = "moisture reading ".repeat(400);
    for number in 0..30 {
        let text = format!("{history} {} {number}", number % 3);
        let ask = chat(["one", "two"][number % 2], &text, true);
        assert_own_answer(&ask, &send(&world, ask.clone()).join().unwrap());
    }
    let runs: Vec<Run> = world.engines.iter().flat_map(|it| it.runs()).collect();
    assert_eq!(runs.iter().map(|it| it.foreign_blocks).sum::<u32>(), 0);
    assert!(runs.iter().any(|it| 0 < it.cached_blocks), "the prefix is shared");
}

/// Opens a stream at an instance; dropping the result closes it.
fn abandon(entry: SocketAddr, text: &str) -> impl Drop + use<> {
    struct Open(Option<JoinHandle<()>>, TcpStream);
    impl Drop for Open {
        fn drop(&mut self) {
            self.1.shutdown(Shutdown::Both).unwrap();
            self.0.take().map(JoinHandle::join);
        }
    }
    let ask = chat("one", text, true);
    let mut socket = TcpStream::connect(entry).unwrap();
    let head = format!(
        "POST {} HTTP/1.1\r\nhost: {entry}\r\nauthorization: Bearer {}\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n",
        ask.path(),
        ask.key,
        ask.body.len()
    );
    socket.write_all((head + &ask.body).as_bytes()).unwrap();
    let mut reader = socket.try_clone().unwrap();
    let reading = thread::spawn(move || {
        // The end of the connection ends it, in whichever way.
        let _ = io::copy(&mut reader, &mut io::sink());
    });
    Open(Some(reading), socket)
}
