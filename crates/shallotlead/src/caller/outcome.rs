//! What became of a request, as its caller saw it.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use shallotlead_base::code::Execution;

/// What became of a request.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// How it ended.
    pub end: End,
    /// Time from the first try to the end.
    pub latency: Duration,
    /// Time from the first try to the first token, or to a whole answer.
    pub first_token: Option<Duration>,
    /// The answer's text, token by token when it was streamed.
    pub tokens: Vec<String>,
    /// A plain service's answer.
    pub body: Vec<u8>,
    /// Token counts, when the answer said them.
    pub usage: Option<Usage>,
    /// The system's id of the last try that gave one.
    pub request: Option<String>,
    /// All tries, in order.
    pub tries: Vec<Try>,
}

impl Outcome {
    pub(crate) fn new() -> Self {
        Self {
            end: End::GaveUp,
            latency: Duration::ZERO,
            first_token: None,
            tokens: Vec::new(),
            body: Vec::new(),
            usage: None,
            request: None,
            tries: Vec::new(),
        }
    }
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// With the whole answer.
    Answered,
    /// Refused for good, and nothing ran.
    Refused,
    /// It may have run, and may not be sent again.
    Unknown,
    /// The caller ran out of patience, tries or addresses.
    GaveUp,
    /// What came was no answer.
    Malformed,
}

/// Token counts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Of these, tokens from the cache.
    pub cached_tokens: u32,
}

/// One try at one instance.
#[derive(Clone, Debug)]
pub struct Try {
    /// The instance's address.
    pub address: SocketAddr,
    /// When it began.
    pub at: Instant,
    /// When it ended.
    pub until: Instant,
    /// The system's id of the request, when the answer said it.
    pub request: Option<String>,
    /// Whether it resumed a stream.
    pub resumed: bool,
    /// How it ended.
    pub end: TryEnd,
}

/// How a try ended.
#[derive(Clone, Debug)]
pub enum TryEnd {
    /// With the whole answer.
    Answered,
    /// With an error object.
    Refused(Refusal),
    /// No connection was made.
    Unreached,
    /// The connection broke after the request may have left.
    Broken,
    /// What came was no answer; why.
    Malformed(String),
}

/// An error object.
#[derive(Clone, Debug)]
pub struct Refusal {
    /// Result code.
    pub code: u16,
    /// What it says about execution.
    pub execution: Execution,
    /// The system's id of the request.
    pub request: Option<String>,
    /// When to come back.
    pub retry_after: Option<Duration>,
}
