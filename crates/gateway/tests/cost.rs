//! What prompts cost is learnt from when answers begin.

mod support;

use std::time::Duration;

use shallotlead_gateway::{
    adapter::Part,
    cost::{Estimate, Sample},
    placement::{PrefixIndex, choose},
};
use support::{SERVICE, at, learn, pool, wish};

/// An engine that reads `per_ms` tokens a millisecond and gives the first token `first_ms` later.
#[derive(Clone, Copy)]
struct Engine {
    per_ms: f64,
    first_ms: f64,
}

impl Engine {
    fn answer(self, unread: u32, wait_ms: f64) -> Sample {
        let took_ms = wait_ms + f64::from(unread + 200) / self.per_ms + self.first_ms;
        Sample { uncached_tokens: unread, wait_ms, elapsed: Duration::from_secs_f64(took_ms / 1e3) }
    }
}

/// Prompts as they come: three short ones for each long one.
fn tokens(number: u32) -> u32 {
    if number.is_multiple_of(4) { 4_000 + 997 * (number % 13) } else { 100 + 31 * (number % 11) }
}

fn error(pace: &Estimate, engine: Engine, unread: u32) -> f64 {
    let expected = pace.occupancy_ms(unread) + pace.response_ms();
    let took = engine.answer(unread, 0.0).elapsed.as_secs_f64() * 1e3;
    (expected - took).abs() / took
}

// A customer whose engines read three times slower, or three times faster, than any before. Prompts are sent
// where they will be late, and refused where there is room: the router went by other engines' costs.
#[test]
fn costs_of_any_engine_are_found_in_seven_hundred_answers() {
    for per_ms in [12.0, 40.0, 150.0] {
        for first_ms in [25.0, 90.0, 200.0] {
            let engine = Engine { per_ms, first_ms };
            let mut pace = Estimate::default();
            for number in 0..700 {
                pace.observe_first_token(&engine.answer(tokens(number), 0.0));
            }
            for unread in [200, 5_000, 15_000] {
                let it = error(&pace, engine, unread);
                assert!(it < 0.25, "{per_ms} a ms, {first_ms} ms, {unread} tokens: {it:.2} off");
            }
        }
    }
}

// Engines turn twice as slow for a while and recover. What is expected follows both ways.
#[test]
fn change_is_followed_both_ways() {
    let usual = Engine { per_ms: 50.0, first_ms: 80.0 };
    let slow = Engine { per_ms: 20.0, first_ms: 80.0 };
    let mut pace = Estimate::default();
    for engine in [usual, slow, usual] {
        for number in 0..400 {
            pace.observe_first_token(&engine.answer(tokens(number), 0.0));
        }
        assert!(error(&pace, engine, 10_000) < 0.25, "{pace:?}");
    }
}

// One answer in ten is seconds late, as its prompt was preempted or its server hung. The others' costs are
// still known.
#[test]
fn outliers_count_no_more_than_others() {
    let engine = Engine { per_ms: 60.0, first_ms: 90.0 };
    let mut pace = Estimate::default();
    for number in 0..600 {
        let mut sample = engine.answer(tokens(number), 0.0);
        if number % 10 == 3 {
            sample.elapsed += Duration::from_secs(4);
        }
        pace.observe_first_token(&sample);
    }
    assert!(error(&pace, engine, 10_000) < 0.3, "{pace:?}");
}

// An instance is restarted in the middle of the day. It takes over what the others know, as long as it has
// seen little itself; what can't be true is not taken over.
#[test]
fn restarted_instance_takes_over_what_peers_know() {
    let engine = Engine { per_ms: 12.0, first_ms: 200.0 };
    let mut known = Estimate::default();
    (0..200).for_each(|it| {
        known.observe_first_token(&engine.answer(tokens(it), 0.0));
    });
    let mut fresh = Estimate::default();
    fresh.merge(&known);
    assert_eq!(fresh, known);
    (0..50).for_each(|it| {
        fresh.observe_first_token(&engine.answer(tokens(it), 0.0));
    });
    let own = fresh;
    fresh.merge(&known);
    assert_eq!(fresh, own, "what was seen here goes first");
    let bytes = postcard::to_stdvec(&(f64::NAN, 1.0_f64, 1.0_f64, 1.0_f64, 1.0_f64, 900_u32))
        .expect("a pace's form");
    let broken: Estimate = postcard::from_bytes(&bytes).expect("a pace's form");
    let mut other = Estimate::default();
    other.merge(&broken);
    assert_eq!(other, Estimate::default());
}

// All instances start at once under load. The first answers at one of them come from queues that nobody knows of yet: it
// takes its engines for sixteen times as slow as they are, refuses all prompts from then on, and so never sees an
// answer that would teach it better. Others that go on answering tell what they have learnt since.
#[test]
fn instance_that_refuses_everything_learns_from_others() {
    let engine = Engine { per_ms: 50.0, first_ms: 80.0 };
    let mut stuck = Estimate::default();
    (0..40).for_each(|it| {
        let sample = engine.answer(tokens(it), 0.0);
        stuck.observe_first_token(&Sample { elapsed: Duration::from_secs(8), ..sample });
    });
    let mut known = Estimate::default();
    (0..50).for_each(|it| {
        known.observe_first_token(&engine.answer(tokens(it), 0.0));
    });
    let before = stuck;
    stuck.merge(&known);
    assert_eq!(stuck, before, "both have seen as much");
    (0..50).for_each(|it| {
        known.observe_first_token(&engine.answer(tokens(it), 0.0));
    });
    stuck.merge(&known);
    assert_eq!(stuck, known);
    known.merge(&before);
    assert_eq!(stuck, known, "it doesn't teach the others");
}

// Long prompts are sent to one server in a row. On slow engines the queue there is longer than on fast ones,
// so that the next short prompt goes elsewhere.
#[test]
fn queues_are_as_long_as_the_engines_are_slow() {
    let wait = |per_ms: f64| {
        let engine = Engine { per_ms, first_ms: 80.0 };
        let mut pool = pool(1);
        learn(&mut pool, 300, |it| {
            let sample = engine.answer(tokens(it), 0.0);
            (sample.uncached_tokens, sample.elapsed.as_millis() as u64)
        });
        let mut memory = PrefixIndex::default();
        let parts = [Part { id: 7, tokens: 12_000 }];
        for _ in 0..3 {
            let choice = choose(&pool, &memory, at(0), &wish(&parts), 7).expect("a server");
            let placement = choice.placement(pool.get(choice.server), &parts, None);
            memory.record(at(0), &mut pool, choice.server, &placement);
        }
        choose(&pool, &memory, at(0), &wish(&parts), 7).expect("a server").wait_ms
    };
    let (slow, fast) = (wait(20.0), wait(100.0));
    assert!((1_400.0..2_300.0).contains(&slow), "{slow}");
    assert!((280.0..500.0).contains(&fast), "{fast}");
}

/// Lets answers end: each had a second from its first token on.
fn end(pace: &mut Estimate, count: u32, took_ms: u64) {
    for _ in 0..count {
        pace.observe_end(Duration::from_millis(took_ms), Duration::from_secs(1));
    }
}

// Servers read without a pause under a burst, and short answers get a token each 300 ms: they are cut at
// their deadlines in the middle. From then on reading leaves them a part of the engines' time, until
// answers have ended in time for a while.
#[test]
fn reading_leaves_time_to_answers_that_are_cut() {
    let mut pace = Estimate::default();
    end(&mut pace, 500, 400);
    assert!(1.0 <= pace.prefill_share(), "answers in time ask for nothing");
    end(&mut pace, 3, 1_000);
    let less = pace.prefill_share();
    assert!((0.6..0.8).contains(&less), "{less}");
    end(&mut pace, 100, 1_000);
    assert!(0.6 <= pace.prefill_share(), "refusing most prompts would cost more");
    end(&mut pace, 900, 100);
    assert!(1.0 <= pace.prefill_share());
}

// Each instance sees a seventh of the cut answers, five seconds after what caused them. What one has learnt keeps
// the others from filling the same servers.
#[test]
fn instances_hear_of_answers_that_were_cut() {
    let (mut seen, mut other) = (Estimate::default(), Estimate::default());
    end(&mut seen, 3, 1_000);
    other.merge(&seen);
    assert!(other.prefill_share() < seen.prefill_share() + 0.05);
    // Two that tell each other don't keep each other low.
    for _ in 0..900 {
        end(&mut seen, 1, 100);
        end(&mut other, 1, 100);
        other.merge(&seen);
        seen.merge(&other);
    }
    assert!(1.0 <= seen.prefill_share() && 1.0 <= other.prefill_share());
}

// The same queue of long prompts, before and after answers were cut there: the next prompt keeps off
// once it is more than a short queue.
#[test]
fn queues_count_for_more_where_answers_are_cut() {
    let wait = |cut: u32, prompts: u32| {
        let mut pool = pool(1);
        learn(&mut pool, 300, |it| {
            let sample = Engine { per_ms: 50.0, first_ms: 80.0 }.answer(tokens(it), 0.0);
            (sample.uncached_tokens, sample.elapsed.as_millis() as u64)
        });
        end(pool.cost_mut(&SERVICE.into()), cut, 1_000);
        let mut memory = PrefixIndex::default();
        let parts = [Part { id: 7, tokens: 4_000 }];
        for _ in 0..prompts {
            let choice = choose(&pool, &memory, at(0), &wish(&parts), 7).expect("a server");
            let placement = choice.placement(pool.get(choice.server), &parts, None);
            memory.record(at(0), &mut pool, choice.server, &placement);
        }
        choose(&pool, &memory, at(0), &wish(&parts), 7).expect("a server").wait_ms
    };
    assert_eq!(wait(0, 1), wait(9, 1), "a short queue is read at full speed");
    assert!(wait(0, 8) * 1.2 < wait(9, 8));
}
