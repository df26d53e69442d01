//! Learning what prompts cost from when responses begin.

mod support;

use std::time::Duration;

use shallotlead_gateway::{
    adapter::Part,
    cost::{Estimate, Sample},
    placement::{Criteria, PrefixIndex, choose},
};
use support::{SERVICE, at, criteria, learn_costs, pool};

/// An engine that prefills `per_ms` tokens a millisecond and sends the first token `first_ms`
/// later.
#[derive(Clone, Copy)]
struct Engine {
    per_ms: f64,
    first_ms: f64,
}

impl Engine {
    fn response(self, uncached_tokens: u32, wait_ms: f64) -> Sample {
        let took_ms = wait_ms + f64::from(uncached_tokens + 200) / self.per_ms + self.first_ms;
        Sample { uncached_tokens, wait_ms, elapsed: Duration::from_secs_f64(took_ms / 1e3) }
    }
}

/// The lengths of a mix of prompts: three short ones for each long one.
fn prompt_tokens(number: u32) -> u32 {
    if number.is_multiple_of(4) { 4_000 + 997 * (number % 13) } else { 100 + 31 * (number % 11) }
}

fn relative_error(cost: &Estimate, engine: Engine, uncached_tokens: u32) -> f64 {
    let expected = cost.occupancy_ms(uncached_tokens) + cost.response_ms();
    let took = engine.response(uncached_tokens, 0.0).elapsed.as_secs_f64() * 1e3;
    (expected - took).abs() / took
}

// Engines prefill three times slower, or three times faster, than the prior assumes. With the
// prior's costs prompts would be sent where they are late, and refused where there is room.
#[test]
fn costs_of_any_engine_are_learned_in_seven_hundred_responses() {
    for per_ms in [12.0, 40.0, 150.0] {
        for first_ms in [25.0, 90.0, 200.0] {
            let engine = Engine { per_ms, first_ms };
            let mut cost = Estimate::default();
            for number in 0..700 {
                cost.observe_first_token(&engine.response(prompt_tokens(number), 0.0));
            }
            for uncached_tokens in [200, 5_000, 15_000] {
                let it = relative_error(&cost, engine, uncached_tokens);
                assert!(
                    it < 0.25,
                    "{per_ms} tokens a ms, {first_ms} ms, {uncached_tokens} tokens: error {it:.2}"
                );
            }
        }
    }
}

// All prompts of a service are equally long, so that none overtakes another. If their first tokens didn't show how far
// servers have come, prompts would be refused beside idle servers.
#[test]
fn equally_long_prompts_count_as_queued() {
    let engine = Engine { per_ms: 150.0, first_ms: 25.0 };
    for uncached_tokens in [50, 200, 900] {
        let mut cost = Estimate::default();
        for _ in 0..700 {
            cost.observe_first_token(&engine.response(uncached_tokens, 0.0));
        }
        assert!(cost.is_queued(uncached_tokens), "{uncached_tokens} tokens: {cost:?}");
        assert!(!cost.is_queued(uncached_tokens / 2), "{uncached_tokens} tokens: {cost:?}");
    }
}

// Engines become more than twice as slow for a while and recover. The estimate follows both
// changes.
#[test]
fn estimate_follows_slowdown_and_recovery() {
    let normal = Engine { per_ms: 50.0, first_ms: 80.0 };
    let slow = Engine { per_ms: 20.0, first_ms: 80.0 };
    let mut cost = Estimate::default();
    for engine in [normal, slow, normal] {
        for number in 0..400 {
            cost.observe_first_token(&engine.response(prompt_tokens(number), 0.0));
        }
        assert!(relative_error(&cost, engine, 10_000) < 0.25, "{cost:?}");
    }
}

// One response in ten is seconds late, as its prompt was preempted or its server hung. The costs of
// the others are still learned.
#[test]
fn outliers_count_no_more_than_other_responses() {
    let engine = Engine { per_ms: 60.0, first_ms: 90.0 };
    let mut cost = Estimate::default();
    for number in 0..600 {
        let mut sample = engine.response(prompt_tokens(number), 0.0);
        if number % 10 == 3 {
            sample.elapsed += Duration::from_secs(4);
        }
        cost.observe_first_token(&sample);
    }
    assert!(relative_error(&cost, engine, 10_000) < 0.3, "{cost:?}");
}

// An instance restarts while the others run. It adopts what they have learned, as long as it has
// seen few responses itself; values that can't be true are not adopted.
#[test]
fn restarted_instance_adopts_peers_estimates() {
    let engine = Engine { per_ms: 12.0, first_ms: 200.0 };
    let mut known = Estimate::default();
    (0..200).for_each(|it| {
        known.observe_first_token(&engine.response(prompt_tokens(it), 0.0));
    });
    let mut fresh = Estimate::default();
    fresh.merge(&known);
    assert_eq!(fresh, known);
    (0..50).for_each(|it| {
        fresh.observe_first_token(&engine.response(prompt_tokens(it), 0.0));
    });
    let own = fresh;
    fresh.merge(&known);
    assert_eq!(fresh, own, "its own responses take precedence");
    let bytes = postcard::to_stdvec(&(f64::NAN, 1.0_f64, 1.0_f64, 1.0_f64, 1.0_f64, 900_u32))
        .expect("the encoding of an estimate");
    let broken: Estimate = postcard::from_bytes(&bytes).expect("the encoding of an estimate");
    let mut other = Estimate::default();
    other.merge(&broken);
    assert_eq!(other, Estimate::default());
}

// All instances start at once under load. The first responses at one of them come from queues that
// no instance knows of: its estimate is sixteen times too high, it refuses all prompts, and so
// never sees a response that would correct it. The estimates of peers that go on serving must
// correct it.
#[test]
fn instance_that_refuses_everything_learns_from_peers() {
    let engine = Engine { per_ms: 50.0, first_ms: 80.0 };
    let mut misled = Estimate::default();
    (0..40).for_each(|it| {
        let sample = engine.response(prompt_tokens(it), 0.0);
        misled.observe_first_token(&Sample { elapsed: Duration::from_secs(8), ..sample });
    });
    let mut known = Estimate::default();
    (0..50).for_each(|it| {
        known.observe_first_token(&engine.response(prompt_tokens(it), 0.0));
    });
    let before = misled;
    misled.merge(&known);
    assert_eq!(misled, before, "both have seen about as many responses");
    (0..50).for_each(|it| {
        known.observe_first_token(&engine.response(prompt_tokens(it), 0.0));
    });
    misled.merge(&known);
    assert_eq!(misled, known);
    known.merge(&before);
    assert_eq!(misled, known, "its estimate is not adopted by peers");
}

// Long prompts are sent to one server in a row. On slow engines the queue there is longer than on
// fast ones, so that the next short prompt goes elsewhere.
#[test]
fn expected_wait_follows_the_engines_speed() {
    let wait = |per_ms: f64| {
        let engine = Engine { per_ms, first_ms: 80.0 };
        let mut pool = pool(1);
        learn_costs(&mut pool, 300, |it| {
            let sample = engine.response(prompt_tokens(it), 0.0);
            (sample.uncached_tokens, sample.elapsed.as_millis() as u64)
        });
        let mut prefixes = PrefixIndex::default();
        let parts = [Part { id: 7, tokens: 12_000 }];
        for _ in 0..3 {
            let choice = choose(&pool, &prefixes, at(0), &criteria(&parts), 7).expect("a server");
            let placement = choice.placement(pool.get(choice.server), &parts, None);
            prefixes.record(at(0), &mut pool, choice.server, &placement);
        }
        choose(&pool, &prefixes, at(0), &criteria(&parts), 7).expect("a server").wait_ms
    };
    let (slow, fast) = (wait(20.0), wait(100.0));
    assert!((1_400.0..2_300.0).contains(&slow), "{slow}");
    assert!((280.0..500.0).contains(&fast), "{fast}");
}

/// Ends responses that each had a second from the first token on.
fn end_responses(cost: &mut Estimate, count: u32, took_ms: u64) {
    for _ in 0..count {
        cost.observe_end(Duration::from_millis(took_ms), Duration::from_secs(1));
    }
}

// Servers prefill without a pause under a burst, and short responses get a token every 300 ms: they
// are cut at their deadlines. From then on prefill leaves them a part of the engines' time, until
// responses have ended in time for a while.
#[test]
fn prefill_leaves_time_for_responses_that_are_cut() {
    let mut cost = Estimate::default();
    end_responses(&mut cost, 500, 400);
    assert!(1.0 <= cost.prefill_share(), "responses in time leave the share at its maximum");
    end_responses(&mut cost, 3, 1_000);
    let reduced = cost.prefill_share();
    assert!((0.6..0.8).contains(&reduced), "{reduced}");
    end_responses(&mut cost, 100, 1_000);
    assert!(0.6 <= cost.prefill_share(), "a lower share would refuse most prompts");
    end_responses(&mut cost, 900, 100);
    assert!(1.0 <= cost.prefill_share());
}

// Each instance sees a seventh of the responses that are cut, five seconds after the cause. What
// one has learned keeps the others from filling the same servers.
#[test]
fn instances_learn_of_responses_cut_at_peers() {
    let (mut seen, mut other) = (Estimate::default(), Estimate::default());
    end_responses(&mut seen, 3, 1_000);
    other.merge(&seen);
    assert!(other.prefill_share() < seen.prefill_share() + 0.05);
    // Two that exchange estimates don't keep each other's share low.
    for _ in 0..900 {
        end_responses(&mut seen, 1, 100);
        end_responses(&mut other, 1, 100);
        other.merge(&seen);
        seen.merge(&other);
    }
    assert!(1.0 <= seen.prefill_share() && 1.0 <= other.prefill_share());
}

// The same queue of long prompts, before and after responses were cut there: the next prompt is
// held back once there is more than a short queue.
#[test]
fn queues_count_for_more_where_responses_are_cut() {
    let wait = |cut: u32, prompts: u32| {
        let mut pool = pool(1);
        learn_costs(&mut pool, 300, |it| {
            let sample = Engine { per_ms: 50.0, first_ms: 80.0 }.response(prompt_tokens(it), 0.0);
            (sample.uncached_tokens, sample.elapsed.as_millis() as u64)
        });
        end_responses(pool.cost_mut(&SERVICE.into()), cut, 1_000);
        let mut prefixes = PrefixIndex::default();
        let parts = [Part { id: 7, tokens: 4_000 }];
        let shortest_patience = Duration::from_millis(1_000);
        let criteria = Criteria { shortest_patience, ..criteria(&parts) };
        for _ in 0..prompts {
            let choice = choose(&pool, &prefixes, at(0), &criteria, 7).expect("a server");
            let placement = choice.placement(pool.get(choice.server), &parts, None);
            prefixes.record(at(0), &mut pool, choice.server, &placement);
        }
        choose(&pool, &prefixes, at(0), &criteria, 7).expect("a server").wait_ms
    };
    assert_eq!(wait(0, 1), wait(9, 1), "a short queue is prefilled at full speed");
    assert!(wait(0, 8) * 1.2 < wait(9, 8));
}
