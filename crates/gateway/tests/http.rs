//! Parsing of heads and decoding of bodies, complete and in pieces.

use proptest::prelude::*;
use shallotlead_gateway::http::{
    Error,
    body::Framing,
    head::{Decoder, Request, Response},
    write,
};

const MAX_HEAD_BYTES: usize = 16_384;

fn request(text: &str) -> Result<Option<Request>, Error> {
    Request::decode(&mut text.as_bytes().to_vec(), MAX_HEAD_BYTES)
}

#[test]
fn head_is_parsed_once_it_is_complete() {
    let text = b"GET /a?b=c HTTP/1.1\r\nHost: h\r\n\r\nrest";
    let mut input = Vec::new();
    for (index, byte) in text.iter().enumerate() {
        input.push(*byte);
        if let Some(head) = Request::decode(&mut input, MAX_HEAD_BYTES).unwrap() {
            assert_eq!((head.path(), head.query()), ("/a", "b=c"));
            assert_eq!(index + 1, text.len() - "rest".len());
            assert!(input.is_empty());
            return;
        }
    }
    panic!("the complete head was not parsed");
}

// Request smuggling: two parties frame a message differently, and one of them takes a part of its body for a
// second request. Ambiguous framing must be rejected.
#[test]
fn ambiguous_framing_is_rejected() {
    for fields in [
        "Content-Length: 3\r\nTransfer-Encoding: chunked",
        "Content-Length: 3\r\nContent-Length: 4",
        "Content-Length: +3",
        "Content-Length: 3, 4",
        "Content-Length:",
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: xchunked",
    ] {
        let text = format!("POST / HTTP/1.1\r\nHost: h\r\n{fields}\r\n\r\nabc");
        assert_eq!(request(&text).unwrap_err(), Error::Framing, "{fields}");
    }
    let same = "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc";
    assert_eq!(request(same).unwrap().unwrap().framing, Framing::Length(3));
}

#[test]
fn long_and_malformed_heads_cause_different_errors() {
    let long = format!("GET / HTTP/1.1\r\nX: {}", "x".repeat(MAX_HEAD_BYTES));
    assert_eq!(request(&long).unwrap_err(), Error::TooLong);
    assert_eq!(request("GET / HTTP/2.0\r\n\r\n").unwrap_err(), Error::Version);
    assert_eq!(request("GET /\x01 HTTP/1.1\r\n\r\n").unwrap_err(), Error::Head);
}

// Text of others with line ends must not become fields, or a request, of its own.
#[test]
fn written_text_ends_neither_its_field_nor_the_request_line() {
    let mut bytes = Vec::new();
    write::request_line(&mut bytes, "GET", "/a b\r\nX: 1\r\n\r\n\0é%41");
    write::field(&mut bytes, "Named", b"a\r\nX: 1\n\0\xe9\tb");
    write::end_head(&mut bytes);
    let head = Request::decode(&mut bytes, MAX_HEAD_BYTES).unwrap().unwrap();
    assert_eq!(&*head.target, "/a%20b%0D%0AX:%201%0D%0A%0D%0A%00é%41");
    let fields: Vec<_> = head.fields.0.iter().map(|it| (&*it.name, &*it.value)).collect();
    assert_eq!(fields, [("Named", &b"a  X: 1  \xe9\tb"[..])]);
    assert!(bytes.is_empty());
}

#[test]
fn interim_responses_are_skipped() {
    let text = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    let mut input = text.to_vec();
    let head = Response::decode(&mut input, MAX_HEAD_BYTES, false).unwrap().unwrap();
    assert_eq!(
        (head.status, head.framing, head.closes_connection),
        (200, Framing::Length(2), false)
    );
    assert_eq!(input, b"ok");
}

// A server that sends interim responses without end must not be read until the request's deadline.
#[test]
fn interim_responses_count_toward_the_length_of_the_head() {
    let mut decoder = Decoder::default();
    let interim = b"HTTP/1.1 103 Early Hints\r\n\r\n";
    let allowed = MAX_HEAD_BYTES / interim.len();
    for _ in 0..allowed {
        let decoded = decoder.decode(&mut interim.to_vec(), MAX_HEAD_BYTES, false);
        assert_eq!(decoded, Ok(None));
    }
    let decoded = decoder.decode(&mut interim.to_vec(), MAX_HEAD_BYTES, false);
    assert_eq!(decoded, Err(Error::TooLong));
}

// A head with a value that is longer than what is parsed at each piece is complete with its last byte.
#[test]
fn long_head_is_decoded_with_its_last_byte() {
    let value = "x".repeat(9_000);
    let head = format!("HTTP/1.1 200 OK\r\nX: {value}\r\nContent-Length: 0\r\n\r\n");
    let (mut decoder, mut input) = (Decoder::default(), Vec::new());
    for byte in &head.as_bytes()[..head.len() - 1] {
        input.push(*byte);
        assert_eq!(decoder.decode(&mut input, MAX_HEAD_BYTES, false), Ok(None));
    }
    input.push(b'\n');
    let response = decoder.decode(&mut input, MAX_HEAD_BYTES, false).unwrap();
    assert_eq!(response.map(|it| it.status), Some(200));
}

// The same for a trailer.
#[test]
fn trailer_without_end_is_an_error() {
    let mut framing = Framing::chunked();
    let mut input = b"0\r\n".to_vec();
    let mut sent = 0;
    let result = loop {
        input.extend_from_slice(b"X: 1\r\n");
        sent += 6;
        match framing.decode(&mut input, &mut Vec::new()) {
            Ok(false) if sent < 1 << 20 => {}
            result => break result,
        }
    };
    assert_eq!(result, Err(Error::Body));
}

#[test]
fn response_without_a_length_ends_with_the_connection() {
    let mut input = b"HTTP/1.1 200 OK\r\n\r\nsome".to_vec();
    let head = Response::decode(&mut input, MAX_HEAD_BYTES, false).unwrap().unwrap();
    let mut framing = head.framing;
    let mut body = Vec::new();
    assert!(head.closes_connection);
    assert!(!framing.decode(&mut input, &mut body).unwrap());
    assert_eq!(body, b"some");
}

#[test]
fn malformed_chunks_are_rejected() {
    for text in ["x\r\n", "\r\n", "3\r\nabcd\r\n", "fffffffffffffffff\r\n", "-1\r\n"] {
        let mut framing = Framing::chunked();
        let result = framing.decode(&mut text.as_bytes().to_vec(), &mut Vec::new());
        assert_eq!(result, Err(Error::Body), "{text:?}");
    }
}

proptest! {
    // Whatever the pieces in which responses arrive, they are decoded as if they had come at once.
    #[test]
    fn response_is_decoded_from_any_pieces(
        interim in 0usize..4,
        value in 0usize..12_000,
        pieces in proptest::collection::vec(1usize..700, 1..20),
    ) {
        let interim = "HTTP/1.1 100 Continue\r\n\r\n".repeat(interim);
        let head = format!("{interim}HTTP/1.1 200 OK\r\nX: {}\r\n\r\n", "v".repeat(value));
        let (mut decoder, mut input) = (Decoder::default(), Vec::new());
        let (mut rest, mut decoded) = (head.as_bytes(), None);
        for len in pieces.iter().cycle() {
            prop_assert!(decoded.is_none());
            let (piece, left) = rest.split_at((*len).min(rest.len()));
            input.extend_from_slice(piece);
            decoded = decoder.decode(&mut input, MAX_HEAD_BYTES, false).unwrap();
            rest = left;
            if rest.is_empty() {
                break;
            }
        }
        prop_assert_eq!(decoded.map(|it: Response| it.status), Some(200));
    }

    #[test]
    fn chunked_body_is_decoded_from_any_pieces(
        body in proptest::collection::vec(any::<u8>(), 0..600),
        sizes in proptest::collection::vec(1usize..50, 1..20),
        pieces in proptest::collection::vec(1usize..40, 1..20),
    ) {
        let mut bytes = Vec::new();
        let mut rest = body.as_slice();
        for size in sizes.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (chunk, left) = rest.split_at((*size).min(rest.len()));
            write::chunk(&mut bytes, chunk);
            rest = left;
        }
        bytes.extend_from_slice(write::LAST_CHUNK);
        bytes.extend_from_slice(b"next");
        let mut framing = Framing::chunked();
        let (mut input, mut got, mut done) = (Vec::new(), Vec::new(), false);
        let mut rest = bytes.as_slice();
        for piece in pieces.iter().cycle() {
            let (now, left) = rest.split_at((*piece).min(rest.len()));
            input.extend_from_slice(now);
            rest = left;
            if !done {
                done = framing.decode(&mut input, &mut got).unwrap();
            }
            if rest.is_empty() {
                break;
            }
        }
        prop_assert!(done);
        prop_assert_eq!(got, body);
        prop_assert_eq!(input, b"next");
    }

    #[test]
    fn no_input_panics_a_parser(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let _ = Request::decode(&mut bytes.clone(), 300);
        let _ = Response::decode(&mut bytes.clone(), 300, false);
        let _ = Framing::chunked().decode(&mut bytes.clone(), &mut Vec::new());
    }
}

// Bodies within the limits took an instance over its machine's memory, with room that was never used.
#[test]
fn body_takes_no_more_room_than_has_arrived_twice_over_or_than_was_stated() {
    const LEN: usize = 3_000_000;
    let mut framing = Framing::Length(LEN as u64);
    let mut body = Vec::new();
    while body.len() < LEN {
        let len = 32_768.min(LEN - body.len());
        let is_done = framing.decode(&mut vec![1; len], &mut body).unwrap();
        assert_eq!(is_done, body.len() == LEN);
        assert!(body.capacity() <= LEN.min(2 * body.len()), "{} {}", body.capacity(), body.len());
    }
}
