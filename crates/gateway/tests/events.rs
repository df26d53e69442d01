//! Event streams: only complete events are forwarded, once and in order.

use proptest::prelude::*;
use shallotlead_gateway::events::{OutOfOrder, take_complete};

fn stream(numbers: &[u64]) -> Vec<u8> {
    numbers.iter().flat_map(|it| format!("id: {it}\ndata: t{it}\n\n").into_bytes()).collect()
}

// A server stops in the middle of an event, and another one sends it in full. The caller must not get the partial
// one.
#[test]
fn partial_event_is_held_back() {
    let mut pending = stream(&[1, 2]);
    pending.extend_from_slice(b"id: 3\ndata: t");
    let it = take_complete(&mut pending, None, false).unwrap();
    assert_eq!((it.bytes, it.last_event), (stream(&[1, 2]), Some(2)));
    assert_eq!(pending, b"id: 3\ndata: t");
}

#[test]
fn events_that_the_caller_has_are_dropped() {
    let it = take_complete(&mut stream(&[2, 3, 4]), Some(3), false).unwrap();
    assert_eq!((it.bytes, it.last_event), (stream(&[4]), Some(4)));
}

// Events of two runs joined out of order would reach the caller as one response.
#[test]
fn decreasing_event_numbers_are_an_error() {
    assert_eq!(take_complete(&mut stream(&[4, 6, 5]), Some(3), false), Err(OutOfOrder));
    assert_eq!(take_complete(&mut stream(&[4, 4]), Some(3), false), Err(OutOfOrder));
}

#[test]
fn remaining_bytes_are_taken_at_the_end() {
    let mut pending = b"data: [end]".to_vec();
    assert_eq!(take_complete(&mut pending, Some(3), true).unwrap().bytes, b"data: [end]");
}

#[test]
fn weight_version_is_extracted() {
    let mut pending = b"weight-versions: 7\nid: 1\ndata: x\n\n".to_vec();
    assert_eq!(take_complete(&mut pending, None, false).unwrap().weights, Some(7));
}

proptest! {
    #[test]
    fn any_chunking_yields_all_events(count in 1u64..40, size in 1usize..30) {
        let numbers: Vec<u64> = (1..=count).collect();
        let bytes = stream(&numbers);
        let (mut pending, mut got, mut last) = (Vec::new(), Vec::new(), None);
        for chunk in bytes.chunks(size) {
            pending.extend_from_slice(chunk);
            let it = take_complete(&mut pending, last, false).unwrap();
            got.extend(it.bytes);
            last = it.last_event;
        }
        prop_assert_eq!(got, bytes);
        prop_assert_eq!(last, Some(count));
    }
}
