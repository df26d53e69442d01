//! Which prompts are refused at arrival.

use std::time::Duration;

use shallotlead_gateway::{admission::Admission, placement::Choice};

fn choice(wait_ms: f64, unread: u32) -> Choice {
    Choice {
        server: 0,
        weights: Some(1),
        uncached_tokens: unread,
        added_tokens: unread,
        wait_ms,
        // An engine that reads 68 tokens a millisecond and begins 55 ms later.
        first_token_ms: wait_ms + f64::from(unread) / 68.0 + 55.0,
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
        shortest_target: Duration::from_millis(300),
        is_new_prompt: true,
    }
}

#[test]
fn prompt_is_refused_when_it_would_be_late() {
    assert!(!admission().refuses(&choice(0.0, 9_000)));
    assert!(!admission().refuses(&choice(400.0, 800)));
    assert!(admission().refuses(&choice(600.0, 800)));
}

// Long prompts queue up before short ones that are due sooner.
#[test]
fn long_prompt_is_refused_before_short_ones_are_late() {
    assert!(admission().refuses(&choice(230.0, 9_000)));
    assert!(!admission().refuses(&choice(230.0, 800)));
}

#[test]
fn one_that_comes_back_needs_a_shorter_queue() {
    let again = Admission { deadline: Some(Duration::from_millis(4_300)), ..admission() };
    assert!(again.refuses(&choice(400.0, 800)));
    assert!(!again.refuses(&choice(200.0, 800)));
}

#[test]
fn what_has_begun_is_never_refused() {
    let begun = Admission { is_new_prompt: false, ..admission() };
    assert!(!begun.refuses(&choice(9_000.0, 9_000)));
}

#[test]
fn caller_is_told_when_the_queue_is_shorter() {
    let after = admission().retry_after(&choice(900.0, 0));
    assert_eq!(after, Duration::from_millis(705));
    assert_eq!(admission().retry_after(&choice(9_000.0, 0)), Duration::from_millis(1_500));
}

// The longest prompts can't be on time even at an idle server. They must be served all the same.
#[test]
fn size_alone_is_no_reason() {
    assert!(!admission().refuses(&choice(150.0, 60_000)));
    assert!(admission().refuses(&choice(250.0, 60_000)));
}
