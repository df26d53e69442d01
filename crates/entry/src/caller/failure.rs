//! Refusals and failures as callers see them.

use std::time::Duration;

use hyper::{
    Response, StatusCode,
    header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
};
use serde::Serialize;
use shallotlead_base::{
    code::{Code, Execution, Refusal},
    id::Request,
};

use crate::caller::body::Body;

/// A refusal or failure of one request.
#[derive(Clone, Debug)]
pub(crate) struct Failure {
    /// What happened.
    pub(crate) code: Code,
    /// What is known of the request's execution.
    pub(crate) execution: Execution,
    /// One sentence for people.
    pub(crate) message: String,
    /// When to come back, where coming back helps.
    pub(crate) retry_after: Option<Duration>,
    /// Whether it was logged and counted.
    pub(crate) is_noted: bool,
}

impl From<Code> for Failure {
    fn from(code: Code) -> Self {
        let message = code.text().to_owned();
        Self { code, execution: code.execution(), message, retry_after: None, is_noted: false }
    }
}

impl From<Refusal> for Failure {
    fn from(refusal: Refusal) -> Self {
        Self { retry_after: refusal.retry_after, is_noted: true, ..Self::from(refusal.code) }
    }
}

impl Failure {
    /// A failure whose message goes into detail.
    pub(crate) fn new(code: Code, message: impl Into<String>) -> Self {
        Self { message: message.into(), ..Self::from(code) }
    }

    /// The failure of a request whose answer has begun.
    pub(crate) fn after_start(self) -> Self {
        // Guards against an untrue "not run": when a resumed attempt is refused, its code speaks of
        // that attempt alone, while an earlier one already gave the caller a part of the answer.
        match self.execution {
            Execution::NotRun => Self { execution: Execution::Unknown, ..self },
            Execution::Unknown | Execution::Ran => self,
        }
    }

    /// The failure of a call that repeats an earlier one by its idempotency key.
    pub(crate) fn of_repeat(self) -> Self {
        // Guards against an untrue "not run": an instance that couldn't look the key up knows nothing of the earlier
        // call, which may have run.
        let is_unread = matches!(
            self.code,
            Code::ShuttingDown | Code::PlatformUnavailable | Code::IntentUnrecorded
        );
        match self.execution {
            Execution::NotRun if is_unread => Self { execution: Execution::Unknown, ..self },
            Execution::NotRun | Execution::Unknown | Execution::Ran => self,
        }
    }

    /// The body, in JSON.
    pub(crate) fn json(&self, request: Request) -> String {
        let error = Error {
            code: self.code.number(),
            name: self.code.name(),
            message: &self.message,
            execution: self.execution,
            request: request.to_string(),
        };
        // Strings and numbers always serialize.
        serde_json::to_string(&Page { error }).unwrap_or_default()
    }

    /// The answer.
    pub(crate) fn response(&self, request: Request) -> Response<Body> {
        let mut response = Response::new(Body::from(self.json(request)));
        *response.status_mut() =
            StatusCode::from_u16(self.code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert("x-code", HeaderValue::from(self.code.number()));
        headers.insert("x-execution", HeaderValue::from_static(word(self.execution)));
        if let Some(wait) = self.retry_after {
            let millis = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
            headers.insert(RETRY_AFTER, HeaderValue::from(millis.div_ceil(1_000)));
            headers.insert("x-retry-after-ms", HeaderValue::from(millis));
        }
        response
    }
}

const fn word(execution: Execution) -> &'static str {
    match execution {
        Execution::NotRun => "not-run",
        Execution::Unknown => "unknown",
        Execution::Ran => "ran",
    }
}

#[derive(Serialize)]
struct Page<'a> {
    error: Error<'a>,
}

#[derive(Serialize)]
struct Error<'a> {
    code: u16,
    name: &'a str,
    message: &'a str,
    execution: Execution,
    request: String,
}
