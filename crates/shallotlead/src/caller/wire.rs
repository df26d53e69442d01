//! Bodies of answers, as far as callers read them.

use std::time::Duration;

use serde::Deserialize;
use serde_json::Value;
use shallotlead_base::code::Execution;
use ureq::{
    Body,
    http::{HeaderMap, Response},
};

use crate::caller::outcome::{Refusal, TryEnd};

/// One event of a streamed completion.
#[derive(Debug, Deserialize)]
pub(crate) struct Chunk {
    pub(crate) choices: Vec<Choice>,
    #[serde(default)]
    pub(crate) usage: Option<Usage>,
}

/// A whole completion.
#[derive(Debug, Deserialize)]
pub(crate) struct Whole {
    pub(crate) choices: Vec<Choice>,
    #[serde(default)]
    pub(crate) usage: Option<Usage>,
}

/// One choice of a completion.
#[derive(Debug, Deserialize)]
pub(crate) struct Choice {
    #[serde(default)]
    pub(crate) delta: Option<Message>,
    #[serde(default)]
    pub(crate) message: Option<Message>,
    #[serde(default)]
    pub(crate) text: Option<String>,
}

/// Text of a choice.
#[derive(Debug, Deserialize)]
pub(crate) struct Message {
    #[serde(default)]
    pub(crate) content: Option<String>,
}

/// Token counts.
#[derive(Debug, Deserialize)]
pub(crate) struct Usage {
    pub(crate) prompt_tokens: u32,
    #[serde(default)]
    pub(crate) prompt_tokens_details: Option<Details>,
}

/// Where prompt tokens came from.
#[derive(Debug, Deserialize)]
pub(crate) struct Details {
    pub(crate) cached_tokens: u32,
}

/// Reads an answer that is no success.
pub(crate) fn read_refusal(response: Response<Body>) -> TryEnd {
    let headers = response.headers();
    let millis = text(headers, "x-retry-after-ms").and_then(|it| it.parse().ok());
    let seconds = text(headers, "retry-after").and_then(|it| it.parse().ok());
    let retry_after = millis.map(Duration::from_millis).or(seconds.map(Duration::from_secs));
    let Ok(body) = response.into_body().read_to_string() else { return TryEnd::Broken };
    parse_refusal(&body, retry_after)
}

/// Reads an error object.
pub(crate) fn parse_refusal(body: &str, retry_after: Option<Duration>) -> TryEnd {
    #[derive(Deserialize)]
    struct Error {
        code: u16,
        execution: Execution,
        #[serde(default)]
        request: Option<String>,
        #[serde(default)]
        retry_after_ms: Option<u64>,
    }
    let error = serde_json::from_str::<Value>(body)
        .and_then(|mut it| serde_json::from_value::<Error>(it["error"].take()));
    match error {
        Ok(error) => TryEnd::Refused(Refusal {
            code: error.code,
            execution: error.execution,
            request: error.request,
            retry_after: retry_after.or(error.retry_after_ms.map(Duration::from_millis)),
        }),
        Err(_) => TryEnd::Malformed(format!("no error object: {body}")),
    }
}

/// A header as text.
pub(crate) fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
