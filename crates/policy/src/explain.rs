//! Why a decision came out as it did.

use std::time::Duration;

use serde::Serialize;
use shallotlead_base::{id::Request, name};

/// A decision and its reasons.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Decision {
    /// The request.
    pub request: Request,
    /// Version of the table that ruled.
    pub table: u64,
    /// The chosen server, if any.
    pub chosen: Option<name::Server>,
    /// What decided, in a word or two: `cache-hit`, `least-wait`, `limit organisation`, …
    pub reason: &'static str,
    /// The candidates that were weighed, best first.
    pub candidates: Vec<Candidate>,
    /// Time in this instance's queue.
    pub queued: Duration,
}

/// One candidate and the parts of its score.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Candidate {
    /// The server.
    pub server: name::Server,
    /// Its score in milliseconds of expected time to first token plus prices; lower is better.
    pub score: f64,
    /// Expected wait in its queue, in milliseconds.
    pub wait: f64,
    /// Expected time to compute what is not cached, in milliseconds.
    pub prefill: f64,
    /// Price of the recomputed tokens, in milliseconds.
    pub price: f64,
    /// Prompt tokens that it is expected to compute.
    pub uncached_tokens: u32,
    /// Prompt tokens believed cached.
    pub cached_tokens: u32,
    /// Probability that the belief holds, 0 to 1.
    pub confidence: f32,
    /// Age of the belief, in milliseconds.
    pub belief_age: u64,
    /// Age of its load report, in milliseconds.
    pub load_age: u64,
}
