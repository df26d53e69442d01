//! What a caller says in its request's headers.

use std::{sync::Arc, time::Duration};

use hyper::{
    HeaderMap,
    header::{AUTHORIZATION, HeaderValue},
};
use shallotlead_base::code::Code;

use crate::caller::failure::Failure;

const DEFAULT_PRIORITY: u8 = 5;
const MAX_PRIORITY: u8 = 9;
const MAX_DEADLINE_MS: u64 = 3_600_000;
const MAX_TOKEN_BYTES: usize = 128;
const MAX_KEY_BYTES: usize = 512;

/// A caller's own headers, checked.
#[derive(Clone, Debug)]
pub(crate) struct Headers {
    /// The caller's id of the request.
    pub(crate) request_id: Option<HeaderValue>,
    /// 0 (bulk) to 9 (urgent).
    pub(crate) priority: u8,
    /// Time to first token allowed, counted from arrival.
    pub(crate) deadline: Option<Duration>,
    /// The request runs at most once for this key and organisation.
    pub(crate) idempotency_key: Option<Arc<str>>,
    /// An earlier call with the same idempotency key may have run.
    pub(crate) is_repeat: bool,
    /// Whether the caller allows or forbids a second run.
    pub(crate) idempotent: Option<bool>,
    /// The last event received, to resume after it.
    pub(crate) last_event_id: Option<HeaderValue>,
}

impl Headers {
    /// Reads the headers in `map`.
    pub(crate) fn read(map: &HeaderMap) -> Result<Self, Failure> {
        let request_id = single(map, "x-request-id")?;
        if let Some(value) = request_id {
            token("x-request-id", value)?;
        }
        let idempotency_key = single(map, "idempotency-key")?
            .map(|it| token("idempotency-key", it).map(Arc::from))
            .transpose()?;
        let priority = number(map, "x-priority", 0, u64::from(MAX_PRIORITY))?;
        let deadline = number(map, "x-deadline-ms", 1, MAX_DEADLINE_MS)?;
        Ok(Self {
            request_id: request_id.cloned(),
            priority: priority.and_then(|it| u8::try_from(it).ok()).unwrap_or(DEFAULT_PRIORITY),
            deadline: deadline.map(Duration::from_millis),
            idempotency_key,
            is_repeat: flag(map, "x-repeat")?.unwrap_or(false),
            idempotent: flag(map, "x-idempotent")?,
            last_event_id: single(map, "last-event-id")?.cloned(),
        })
    }
}

/// The API key in `Authorization: Bearer`.
pub(crate) fn api_key(map: &HeaderMap) -> Result<&str, Failure> {
    let value = single(map, AUTHORIZATION.as_str())?.ok_or(Code::KeyUnknown)?;
    let text = value.to_str().map_err(|_| Code::KeyUnknown)?;
    let (scheme, key) = text.split_once(' ').ok_or(Code::KeyUnknown)?;
    let key = key.trim();
    if !scheme.eq_ignore_ascii_case("bearer") || key.is_empty() || MAX_KEY_BYTES < key.len() {
        return Err(Code::KeyUnknown.into());
    }
    Ok(key)
}

fn single<'a>(map: &'a HeaderMap, name: &str) -> Result<Option<&'a HeaderValue>, Failure> {
    let mut values = map.get_all(name).iter();
    let first = values.next();
    if values.next().is_some() {
        let message = format!("header {name}: expected once");
        return Err(Failure::new(Code::RequestMalformed, message));
    }
    Ok(first)
}

fn token<'a>(name: &str, value: &'a HeaderValue) -> Result<&'a str, Failure> {
    let text = value.to_str().unwrap_or_default();
    if text.is_empty() || MAX_TOKEN_BYTES < text.len() {
        let message = format!("header {name}: expected 1 to {MAX_TOKEN_BYTES} visible characters");
        return Err(Failure::new(Code::RequestMalformed, message));
    }
    Ok(text)
}

fn number(map: &HeaderMap, name: &str, least: u64, most: u64) -> Result<Option<u64>, Failure> {
    let Some(value) = single(map, name)? else {
        return Ok(None);
    };
    let number = value.to_str().ok().and_then(|it| it.parse().ok());
    match number.filter(|it| (least..=most).contains(it)) {
        Some(number) => Ok(Some(number)),
        None => {
            let message = format!("header {name}: expected a whole number from {least} to {most}");
            Err(Failure::new(Code::RequestMalformed, message))
        }
    }
}

fn flag(map: &HeaderMap, name: &str) -> Result<Option<bool>, Failure> {
    match single(map, name)?.map(HeaderValue::as_bytes) {
        None => Ok(None),
        Some(b"true") => Ok(Some(true)),
        Some(b"false") => Ok(Some(false)),
        Some(_) => {
            let message = format!("header {name}: expected true or false");
            Err(Failure::new(Code::RequestMalformed, message))
        }
    }
}
