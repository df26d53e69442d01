//! The budget of memory.

use proptest::prelude::*;
use shallotlead_gateway::memory::{Account, Body, Segments};

const MACHINE_BYTES: usize = 2_000;

// Bodies within the limits took an instance over its machine's memory: each was bounded, their sum was not.
#[test]
fn what_is_not_left_is_not_given() {
    let mut account = Account::new(MACHINE_BYTES);
    let limit = account.limit();
    let first = account.take(limit - 10).unwrap();
    assert!(account.take(11).is_none());
    let mut second = account.take(10).unwrap();
    assert!(account.extend(&mut second, 10));
    assert!(!account.extend(&mut second, 11));
    drop(first);
    assert!(account.extend(&mut second, 11));
    assert_eq!((account.held(), account.take_most(), account.take_most()), (11, limit, 11));
    account.set_buffered(limit);
    assert!(account.take(1).is_none());
    // Requests without a body need nothing.
    assert!(account.take(0).is_some());
    account.set_buffered(0);
    assert!(account.take(1).is_some());
}

// A body is shared by the connections that it is sent on; its memory is in use until the last one is done.
#[test]
fn body_is_counted_until_it_is_dropped() {
    let mut account = Account::new(MACHINE_BYTES);
    let body = std::rc::Rc::new(Body::new(vec![1; 500].into(), account.take(500).unwrap()));
    let other = std::rc::Rc::clone(&body);
    drop(body);
    assert_eq!((account.held(), other.len()), (500, 500));
    drop(other);
    assert_eq!(account.held(), 0);
}

// What is in use already can't be refused, but leaves less for others.
#[test]
fn recorded_bytes_are_not_left_for_others() {
    let mut account = Account::new(MACHINE_BYTES);
    let limit = account.limit();
    let mut recorded = account.empty_hold();
    recorded.record(limit + 10);
    assert!(account.take(1).is_none());
    recorded.record(limit - 10);
    assert!(account.take(10).is_some());
    assert!(account.take(11).is_none());
    drop(recorded);
    assert_eq!(account.held(), 0);
}

proptest! {
    // Bodies grew by doubling, with the old and the new room at once.
    #[test]
    fn segments_take_little_more_than_their_bytes(
        lengths in prop::collection::vec(0..70_000_usize, 0..8),
        is_length_known: bool,
    ) {
        let all: Vec<u8> = (0..lengths.iter().sum()).map(|it: usize| it as u8).collect();
        let mut segments = Segments::default();
        for length in lengths {
            let begin = segments.len();
            let left = if is_length_known { all.len() - begin } else { usize::MAX };
            segments.push(&all[begin..begin + length], left);
            prop_assert!(segments.capacity() < segments.len() + Segments::SEGMENT);
        }
        prop_assert!(segments.iter().flatten().eq(&all));
        prop_assert_eq!(segments.len(), all.len());
        prop_assert!(!is_length_known || segments.capacity() == all.len());
    }

    #[test]
    fn no_more_is_held_than_the_limit(steps in prop::collection::vec((0..4_u8, 0..1_500_usize), 0..100)) {
        let mut account = Account::new(MACHINE_BYTES);
        let mut holds = Vec::new();
        for (step, bytes) in steps {
            match step {
                0 | 1 => holds.extend(account.take(bytes)),
                2 => if let Some(it) = holds.last_mut() {
                    account.extend(it, bytes);
                },
                _ => drop(holds.pop()),
            }
            prop_assert!(account.held() <= account.limit());
        }
        holds.clear();
        prop_assert_eq!(account.held(), 0);
    }
}
