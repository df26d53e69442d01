//! Event streams: only complete events are forwarded, once and in order.

use proptest::prelude::*;
use shallotlead_gateway::events::{
    BrokenOff, Invalid, MAX_EVENT_BYTES, extend, is_inside_event, take_complete, take_rest,
};

fn stream(numbers: &[u64]) -> Vec<u8> {
    numbers.iter().flat_map(|it| format!("id: {it}\ndata: t{it}\n\n").into_bytes()).collect()
}

// A server stops in the middle of an event, and another one sends it in full. The caller must not get the partial
// one.
#[test]
fn partial_event_is_held_back() {
    let mut pending = stream(&[1, 2]);
    pending.extend_from_slice(b"id: 3\ndata: t");
    let it = take_complete(&mut pending, None).unwrap();
    assert_eq!((it.bytes, it.last_event), (stream(&[1, 2]), Some(2)));
    assert_eq!(pending, b"id: 3\ndata: t");
}

// Events are found with their last byte, whatever the pieces and line breaks.
#[test]
fn events_are_taken_from_any_pieces() {
    for text in
        ["id: 1\ndata: t\n\nid: 2\n\n", "id: 1\r\ndata: t\r\n\r\nid: 2\r\n\r\n", "\n\r\nid: 2\n\n"]
    {
        for size in 1..text.len() {
            let (mut pending, mut last, mut taken) = (Vec::new(), None, Vec::new());
            for piece in text.as_bytes().chunks(size) {
                let chunk = extend(&mut pending, piece, last).unwrap();
                last = chunk.last_event;
                taken.extend(chunk.bytes);
                let mut rest = pending.clone();
                assert_eq!(
                    take_complete(&mut rest, last).unwrap().bytes,
                    b"",
                    "{text:?} by {size}"
                );
            }
            assert_eq!((taken, last), (text.as_bytes().to_vec(), Some(2)), "{text:?} by {size}");
        }
    }
}

#[test]
fn events_that_the_caller_has_are_dropped() {
    let it = take_complete(&mut stream(&[2, 3, 4]), Some(3)).unwrap();
    assert_eq!((it.bytes, it.last_event), (stream(&[4]), Some(4)));
}

// Events of two runs joined out of order would reach the caller as one response.
#[test]
fn decreasing_event_numbers_are_an_error() {
    assert_eq!(take_complete(&mut stream(&[4, 6, 5]), Some(3)), Err(Invalid::OutOfOrder));
    assert_eq!(take_complete(&mut stream(&[4, 4]), Some(3)), Err(Invalid::OutOfOrder));
}

// A server crashes while it writes an event. The stream must not pass for complete.
#[test]
fn stream_that_ends_inside_an_event_is_broken_off() {
    let partial: [&[u8]; 6] = [
        b"data: [end]",
        b"data: [end]\n",
        b"data: x\r\n\r",
        b"id",
        b": cut comment",
        b": c\nid: 4\n",
    ];
    for bytes in partial {
        let mut pending = bytes.to_vec();
        assert_eq!(take_complete(&mut pending, Some(3)).unwrap().bytes, b"");
        assert_eq!(take_rest(&mut pending), Err(BrokenOff), "{bytes:?}");
    }
}

#[test]
fn comments_and_blank_lines_after_the_last_event_are_taken() {
    let rests: [&[u8]; 4] = [b"", b": end\n", b": end\r\n", b"\r\n: one\n: two\n"];
    for rest in rests {
        let mut pending = [&stream(&[4]), rest].concat();
        let mut bytes = take_complete(&mut pending, Some(3)).unwrap().bytes;
        bytes.extend(take_rest(&mut pending).unwrap());
        assert_eq!(bytes, [&stream(&[4]), rest].concat());
    }
}

#[test]
fn weight_version_is_extracted() {
    let mut pending = b"weight-versions: 7\nid: 1\ndata: x\n\n".to_vec();
    assert_eq!(take_complete(&mut pending, None).unwrap().weights, Some(7));
}

proptest! {
    #[test]
    fn any_chunking_yields_all_events(count in 1u64..40, size in 1usize..30) {
        let numbers: Vec<u64> = (1..=count).collect();
        let bytes = stream(&numbers);
        let (mut pending, mut got, mut last) = (Vec::new(), Vec::new(), None);
        for chunk in bytes.chunks(size) {
            pending.extend_from_slice(chunk);
            let it = take_complete(&mut pending, last).unwrap();
            got.extend(it.bytes);
            last = it.last_event;
        }
        prop_assert_eq!(got, bytes);
        prop_assert_eq!(last, Some(count));
    }

    #[test]
    fn stream_is_inside_an_event_unless_it_is_cut_after_one(count in 1u64..9, cut in 0usize..200) {
        let bytes = stream(&(1..=count).collect::<Vec<_>>());
        let cut = cut.min(bytes.len());
        let mut pending = bytes[..cut].to_vec();
        take_complete(&mut pending, None).unwrap();
        prop_assert_eq!(is_inside_event(&pending), cut != 0 && !bytes[..cut].ends_with(b"\n\n"));
    }
}

// A faulty server sends bytes without end, which never become an event: they must not be kept for ever.
#[test]
fn event_without_end_is_not_kept_for_ever() {
    let mut pending = b"id: 1\ndata: a\n\nid: 2\ndata: ".to_vec();
    pending.resize(pending.len() + MAX_EVENT_BYTES, b'x');
    let chunk = take_complete(&mut pending, None).expect("the first event is forwarded");
    assert_eq!(chunk.last_event, Some(1));
    assert_eq!(take_complete(&mut pending, Some(1)), Err(Invalid::TooLong));
}
