//! HTTP adapter for the object API and the instance list.

use std::{io, sync::Arc, time::Duration};

use base64::{Engine, prelude::BASE64_STANDARD};
use serde::Deserialize;
use shallotlead_base::{
    id::Version,
    store::{Call, Change, Failure, Key, MAX_VALUE, Object, Reply},
};
use ureq::{
    Agent, Body, RequestExt, Timeout,
    http::{HeaderMap, Request, Response},
};

use crate::{
    list::{List, Member, Unavailable},
    outcome::Outcome,
    store::Store,
    target::encode,
};

/// Header with an object's version.
const VERSION_HEADER: &str = "x-version";
/// Header with the version that the object must have for a write to take effect.
const EXPECTED_HEADER: &str = "x-expected";
/// Limit of a response body with many objects, so that a faulty one can't exhaust the instance's
/// memory.
const MAX_BODY_BYTES: u64 = 16 << 20;
/// Time limit for receiving the body of a list or of a watch's changes. The largest body takes 13 s
/// on a link of 10 Mbit/s. If a long list on a slow link timed out while its data still arrived, it
/// would be read again from the start and time out again, and the instance would never start up.
const BODY_TIMEOUT: Duration = Duration::from_secs(15);

/// Adapter for the platform at one base URL, such as `http://127.0.0.1:7900`.
#[derive(Clone, Debug)]
pub struct Http {
    base: Arc<str>,
    agent: Agent,
    timeout: Duration,
}

impl Http {
    /// Creates an adapter for the platform at the URL `base`. A call without a complete response
    /// after `timeout` is lost; for a watch, its wait is added. The response to a list or a watch
    /// must only have begun by then.
    pub fn new(base: &str, timeout: Duration) -> Self {
        let agent: Agent = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .build()
            .into();
        Self { base: Arc::from(base.trim_end_matches('/')), agent, timeout }
    }

    fn send(&self, call: &Call) -> Result<Outcome, ureq::Error> {
        let (request, timeout) = self.request(call)?;
        let configured = request.with_agent(&self.agent).configure();
        let configured = match call {
            Call::List { .. } | Call::Watch { .. } => configured
                .timeout_connect(Some(self.timeout))
                .timeout_send_request(Some(self.timeout))
                .timeout_recv_response(Some(timeout))
                .timeout_recv_body(Some(BODY_TIMEOUT)),
            Call::Get(_) | Call::Put { .. } | Call::Delete { .. } => {
                configured.timeout_global(Some(timeout))
            }
        };
        read_response(call, configured.run()?)
    }

    fn request(&self, call: &Call) -> Result<(Request<Vec<u8>>, Duration), ureq::Error> {
        let base = &self.base;
        let mut timeout = self.timeout;
        let kind_url = |kind: &str| format!("{base}/objects/{}", encode(kind));
        let object_url = |key: &Key| format!("{}/{}", kind_url(&key.kind), encode(&key.name));
        let request = match call {
            Call::Get(key) => Request::get(object_url(key)).body(Vec::new()),
            Call::Put { key, expected, value } => Request::put(object_url(key))
                .header(EXPECTED_HEADER, expected.to_string())
                .body(value.to_vec()),
            Call::Delete { key, expected } => Request::delete(object_url(key))
                .header(EXPECTED_HEADER, expected.to_string())
                .body(Vec::new()),
            Call::List { kind } => Request::get(kind_url(kind)).body(Vec::new()),
            Call::Watch { kind, after, wait } => {
                timeout += *wait;
                let (kind, wait) = (encode(kind), wait.as_millis());
                Request::get(format!("{base}/watch/{kind}?after={after}&wait_ms={wait}"))
                    .body(Vec::new())
            }
        };
        Ok((request?, timeout))
    }
}

impl Store for Http {
    fn call(&self, call: &Call) -> Outcome {
        self.send(call).unwrap_or_else(|err| {
            log::debug!("platform call failed: {err}");
            classify_error(&err)
        })
    }
}

impl List for Http {
    fn members(&self) -> Result<Vec<Member>, Unavailable> {
        let url = format!("{}/instances", self.base);
        let read = || -> Result<Members, ureq::Error> {
            let mut response = self
                .agent
                .get(&url)
                .config()
                .timeout_global(Some(self.timeout))
                .http_status_as_error(true)
                .build()
                .call()?;
            response.body_mut().with_config().limit(MAX_BODY_BYTES).read_json()
        };
        read().map(|it| it.instances).map_err(|err| Unavailable(err.to_string()))
    }
}

#[derive(Deserialize)]
struct Members {
    instances: Vec<Member>,
}

#[derive(Deserialize)]
struct Listing {
    version: Version,
    objects: Vec<ObjectRecord>,
}

#[derive(Deserialize)]
struct Changes {
    version: Version,
    changes: Vec<ObjectRecord>,
}

#[derive(Deserialize)]
struct ObjectRecord {
    name: String,
    version: Version,
    #[serde(default)]
    value: String,
    #[serde(default)]
    deleted: bool,
}

/// Reads a response. One that violates the API counts as lost, as it doesn't show whether a write
/// took effect.
fn read_response(call: &Call, mut response: Response<Body>) -> Result<Outcome, ureq::Error> {
    let status = response.status().as_u16();
    let retry_after = retry_after(response.headers());
    match status {
        429 => return Ok(Outcome::Refused { retry_after }),
        // A 503 without Retry-After may come from a proxy, after the call took effect.
        503 if retry_after.is_some() => return Ok(Outcome::Unavailable { retry_after }),
        410 if matches!(call, Call::Watch { .. }) => {
            return Ok(Outcome::Answered(Reply::Failed(Failure::Compacted)));
        }
        // The request itself was rejected, without any effect.
        400 | 401 | 403 | 405 | 413 => {
            log::error!("platform rejected a call with status {status}: {}", target(call));
            return Ok(Outcome::Refused { retry_after });
        }
        200 | 404 | 412 => {}
        _ => return Ok(Outcome::Lost),
    }
    let version = version(response.headers());
    let has_many_objects = matches!(call, Call::List { .. } | Call::Watch { .. });
    let limit = if has_many_objects { MAX_BODY_BYTES } else { MAX_VALUE as u64 + 1 };
    let body = response.body_mut().with_config().limit(limit).read_to_vec()?;
    let reply = match call {
        Call::Get(key) => parse_get(key, status, version, body),
        Call::Put { key, .. } | Call::Delete { key, .. } => parse_write(key, status, version, body),
        Call::List { kind } if status == 200 => parse_list(kind, &body),
        Call::Watch { kind, .. } if status == 200 => parse_changes(kind, &body),
        Call::List { .. } | Call::Watch { .. } => None,
    };
    Ok(reply.map_or(Outcome::Lost, Outcome::Answered))
}

fn target(call: &Call) -> String {
    match call {
        Call::Get(key) | Call::Put { key, .. } | Call::Delete { key, .. } => {
            format!("{}/{}", key.kind, key.name)
        }
        Call::List { kind } | Call::Watch { kind, .. } => kind.to_string(),
    }
}

fn parse_get(key: &Key, status: u16, version: Option<Version>, body: Vec<u8>) -> Option<Reply> {
    match status {
        200 => Some(Reply::Got(Some(object(key, version?, body)))),
        404 => Some(Reply::Got(None)),
        _ => None,
    }
}

fn parse_write(key: &Key, status: u16, version: Option<Version>, body: Vec<u8>) -> Option<Reply> {
    match (status, version?) {
        (200, version) => Some(Reply::Done(version)),
        (412, Version(0)) => Some(Reply::Conflict(None)),
        (412, version) => Some(Reply::Conflict(Some(object(key, version, body)))),
        _ => None,
    }
}

fn parse_list(kind: &str, body: &[u8]) -> Option<Reply> {
    let listing: Listing = serde_json::from_slice(body).ok()?;
    let objects: Option<Vec<Object>> =
        listing.objects.into_iter().map(|it| parse_object(kind, it)).collect();
    Some(Reply::Listed { objects: objects?, version: listing.version })
}

fn parse_changes(kind: &str, body: &[u8]) -> Option<Reply> {
    let changes: Changes = serde_json::from_slice(body).ok()?;
    let version = changes.version;
    let changes: Option<Vec<Change>> =
        changes.changes.into_iter().map(|it| parse_change(kind, it)).collect();
    let mut changes = changes?;
    changes.sort_by_key(|it| match it {
        Change::Put(object) => object.version,
        Change::Delete(_, version) => *version,
    });
    Some(Reply::Changed { changes, version })
}

fn parse_change(kind: &str, record: ObjectRecord) -> Option<Change> {
    if record.deleted {
        return Some(Change::Delete(Key::new(kind, &record.name), record.version));
    }
    parse_object(kind, record).map(Change::Put)
}

fn parse_object(kind: &str, record: ObjectRecord) -> Option<Object> {
    let value = BASE64_STANDARD.decode(record.value).ok()?;
    Some(object(&Key::new(kind, &record.name), record.version, value))
}

fn object(key: &Key, version: Version, value: Vec<u8>) -> Object {
    Object { key: key.clone(), version, value: Arc::from(value) }
}

fn version(headers: &HeaderMap) -> Option<Version> {
    headers.get(VERSION_HEADER)?.to_str().ok()?.parse().ok().map(Version)
}

fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds: f64 = headers.get("retry-after")?.to_str().ok()?.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

/// Returns the outcome of a failed call. Only a call without a connection certainly had no effect.
fn classify_error(err: &ureq::Error) -> Outcome {
    match err {
        ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::BadUri(_)
        | ureq::Error::Http(_)
        | ureq::Error::Timeout(Timeout::Connect | Timeout::Resolve) => {
            Outcome::Unavailable { retry_after: None }
        }
        ureq::Error::Io(err) if err.kind() == io::ErrorKind::ConnectionRefused => {
            Outcome::Unavailable { retry_after: None }
        }
        _ => Outcome::Lost,
    }
}
