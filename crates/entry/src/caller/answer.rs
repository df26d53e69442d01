//! Answers to callers.

use hyper::{
    Response, StatusCode,
    body::Bytes,
    header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue},
};
use serde::Serialize;
use shallotlead_base::code::Code;

use crate::{
    caller::{
        body::Body,
        failure::Failure,
        stream::{Form, Stream},
        work::Work,
    },
    exchange::{Head, Piece},
};

const EVENT_STREAM: &str = "text/event-stream";
// A whole answer up to this size is held until it is complete, so that a failure before its end can
// still be told as an error; a longer one is passed on piece by piece.
const MAX_HELD: usize = 256 << 10;

/// A page in JSON.
pub(crate) fn json(page: &impl Serialize) -> Response<Body> {
    // The pages hold strings and numbers, which always serialize.
    let mut response = Response::new(Body::from(serde_json::to_vec(page).unwrap_or_default()));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// The answer to `work`. `events` is how a stream of events is written, when one was asked for.
pub(crate) async fn open(
    mut work: Work,
    events: Option<Form>,
    hold: bool,
) -> Result<Response<Body>, Failure> {
    let head = match work.next().await {
        Some(Piece::Head(head)) => head,
        Some(Piece::Refused(refusal)) => return Err(refusal.into()),
        // Anything else breaks the shell's promise; what ran is not known.
        Some(Piece::Event { .. } | Piece::Body(_) | Piece::End) | None => {
            return Err(Code::OutcomeUnknown.into());
        }
    };
    let body = match events {
        Some(form) if head.content_type.starts_with(EVENT_STREAM) => {
            Body::Stream(Box::new(Stream::new(work, form, None)))
        }
        _ if hold => whole(work).await?,
        _ => Body::Stream(Box::new(Stream::new(work, Form::Plain, None))),
    };
    Ok(response(&head, body))
}

async fn whole(mut work: Work) -> Result<Body, Failure> {
    let mut bytes = Vec::new();
    while bytes.len() <= MAX_HELD {
        match work.next().await {
            Some(Piece::Body(piece)) => bytes.extend_from_slice(&piece),
            Some(Piece::End) => return Ok(Body::from(bytes)),
            Some(Piece::Refused(refusal)) => return Err(Failure::from(refusal).after_start()),
            Some(Piece::Head(_) | Piece::Event { .. }) | None => {
                return Err(Code::OutcomeUnknown.into());
            }
        }
    }
    let first = Some(Bytes::from(bytes));
    Ok(Body::Stream(Box::new(Stream::new(work, Form::Plain, first))))
}

fn response(head: &Head, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    if let Ok(value) = HeaderValue::from_str(&head.content_type) {
        headers.insert(CONTENT_TYPE, value);
    }
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    insert(response.headers_mut(), "x-shallotlead-attempt", &head.attempt.to_string());
    insert(response.headers_mut(), "x-shallotlead-server", head.server.as_str());
    if let Some(tokens) = head.cached_tokens {
        response.headers_mut().insert("x-shallotlead-cached-tokens", HeaderValue::from(tokens));
    }
    response
}

fn insert(headers: &mut hyper::HeaderMap, name: &'static str, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        headers.insert(name, value);
    }
}
