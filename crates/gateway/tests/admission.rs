//! Which prompts are refused on arrival.

use std::time::Duration;

use shallotlead_gateway::{admission::Admission, placement::Choice};

fn choice(wait_ms: f64, uncached_tokens: u32) -> Choice {
    Choice {
        pace: 1.0,
        server: 0,
        weights: Some(1),
        uncached_tokens,
        added_tokens: uncached_tokens,
        wait_ms,
        // An engine that prefills 68 tokens a millisecond and responds 55 ms later.
        first_token_ms: wait_ms + f64::from(uncached_tokens) / 68.0 + 55.0,
        score: 0.0,
        fetch_from: None,
        save_to: None,
        candidates: 1,
    }
}

fn admission() -> Admission {
    Admission {
        latency_target: Duration::from_millis(500),
        deadline: Some(Duration::from_secs(5)),
        timeout: Duration::from_secs(5),
        waited: Duration::ZERO,
        shortest_target: Duration::from_millis(300),
        is_new_prompt: true,
        is_taken_up: false,
    }
}

#[test]
fn prompt_is_refused_when_it_would_be_late() {
    assert!(!admission().refuses(&choice(0.0, 9_000)));
    assert!(!admission().refuses(&choice(400.0, 800)));
    assert!(admission().refuses(&choice(600.0, 800)));
}

// Long prompts are queued ahead of short ones with a shorter target.
#[test]
fn long_prompt_is_refused_before_short_ones_are_late() {
    assert!(admission().refuses(&choice(230.0, 9_000)));
    assert!(!admission().refuses(&choice(230.0, 800)));
}

#[test]
fn retried_prompt_needs_a_shorter_queue() {
    let retried = Admission { deadline: Some(Duration::from_millis(4_300)), ..admission() };
    assert!(retried.refuses(&choice(400.0, 800)));
    assert!(!retried.refuses(&choice(200.0, 800)));
}

// The caller of a stream has been served a part, and few servers can continue it.
#[test]
fn taken_up_stream_is_refused_only_if_its_caller_would_have_left() {
    let taken_up = |ms| Admission {
        deadline: Some(Duration::from_millis(ms)),
        is_taken_up: true,
        ..admission()
    };
    assert!(!taken_up(3_000).refuses(&choice(2_000.0, 9_000)));
    assert!(taken_up(2_000).refuses(&choice(2_000.0, 800)));
    assert!(taken_up(9_000).refuses(&choice(5_500.0, 800)), "later than the route allows");
}

// The search for its build has taken a part of its caller's time, which isn't left for the first token.
#[test]
fn taken_up_stream_is_refused_if_too_little_time_is_left() {
    let after =
        |ms| Admission { waited: Duration::from_millis(ms), is_taken_up: true, ..admission() };
    assert!(!after(0).refuses(&choice(4_600.0, 800)));
    assert!(after(600).refuses(&choice(4_600.0, 800)));
}

#[test]
fn prompt_that_was_started_is_never_refused() {
    let started = Admission { is_new_prompt: false, ..admission() };
    assert!(!started.refuses(&choice(9_000.0, 9_000)));
}

#[test]
fn retry_after_follows_the_queue() {
    let after = admission().retry_after(&choice(900.0, 0));
    assert_eq!(after, Duration::from_millis(705));
    assert_eq!(admission().retry_after(&choice(9_000.0, 0)), Duration::from_millis(1_500));
}

// The longest prompts miss their target even at an idle server, and must be served all the same.
#[test]
fn prompt_is_not_refused_for_its_size_alone() {
    assert!(!admission().refuses(&choice(150.0, 60_000)));
    assert!(admission().refuses(&choice(250.0, 60_000)));
}
