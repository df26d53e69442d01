//! What the administration API carries, as JSON.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use shallotlead_base::{code::Code, id::Version};
use shallotlead_policy::explain;
use shallotlead_table::{cell::Cell, change::Edit, column::Column, row};

/// Rows of one or more kinds.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Table {
    /// The version of the table.
    pub version: Version,
    /// The rows, by kind and name.
    pub rows: Vec<Row>,
}

/// One row.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Row {
    /// Its key.
    pub row: row::Key,
    /// Its cells as text.
    pub cells: BTreeMap<Column, String>,
}

/// One cell.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Value {
    /// The cell's value as text.
    pub value: String,
}

/// A change to make.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Request {
    /// The edits; accepted together or not at all.
    pub edits: Vec<Edit>,
    /// Only say what the change would touch.
    #[serde(default)]
    pub dry_run: bool,
}

/// What became of a change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Outcome {
    /// The table's version with the change; for a dry run, the version that it would have now.
    pub version: Version,
    /// Whether it was accepted.
    pub accepted: bool,
    /// The cells that differ.
    pub touched: Vec<Touched>,
    /// What follows for the traffic, in words.
    pub effects: Vec<String>,
}

/// A cell that a change touches.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Touched {
    /// The cell.
    pub cell: Cell,
    /// Its value before, `None` for a new row.
    pub old: Option<String>,
    /// Its value after, `None` for a removed row.
    pub new: Option<String>,
}

/// Accepted changes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct History {
    /// The version in force at the instance that answers.
    pub version: Version,
    /// The changes, oldest first.
    pub changes: Vec<shallotlead_table::change::Change>,
}

/// How the whole system is.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Status {
    /// The instance that answers.
    pub instance: String,
    /// The version of the table in force there.
    pub version: Version,
    /// Entry instances as this one knows them, itself included.
    pub instances: Vec<Instance>,
    /// Data centres and the versions in force there.
    pub centres: Vec<Centre>,
    /// The lowest version in force at any live instance.
    pub oldest: Version,
    /// The platform's service as seen from this instance.
    pub platform: Platform,
    /// Duties that this instance knows of.
    pub duties: Vec<Duty>,
}

/// One entry instance.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Instance {
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub centre: String,
    /// `alive`, `suspect`, `leaving` or `dead`.
    pub state: String,
}

/// One data centre, as last heard from it. Versions are summed up by data centre, so that a status
/// needs no word from each of hundreds of instances.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Centre {
    /// Its name.
    pub name: String,
    /// Its live instances.
    pub live: u32,
    /// The oldest version of the table in force at one of them.
    pub lowest: Version,
    /// The newest.
    pub highest: Version,
}

/// The platform's service as seen from one instance.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Platform {
    /// Whether calls are answered.
    pub available: bool,
    /// Calls in the last second.
    pub calls_per_second: f64,
    /// Calls a second that this instance may make.
    pub budget_per_second: f64,
}

/// One duty.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Duty {
    /// Its name.
    pub name: String,
    /// The instance that holds it, when known.
    pub holder: Option<String>,
    /// Its fencing token.
    pub fence: u64,
}

/// Figures of one instance and what it knows of the backend servers.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Figures {
    /// The instance.
    pub instance: String,
    /// Requests open at this instance.
    pub open: u64,
    /// Requests waiting in its queue.
    pub queued: u64,
    /// Requests answered since it started.
    pub answered: u64,
    /// Requests refused since it started.
    pub refused: u64,
    /// Cached share of the prompt tokens of recent requests, 0 to 1.
    pub hit_rate: f64,
    /// Time to first token of recent requests, in milliseconds.
    pub first_token_ms: Quantiles,
    /// Backend servers.
    pub servers: Vec<Server>,
    /// Hot prefixes, hottest first.
    pub prefixes: Vec<Prefix>,
    /// Limits in play.
    pub limits: Vec<Limit>,
}

/// Quantiles of a figure.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Quantiles {
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
}

/// One backend server as this instance knows it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Server {
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub centre: String,
    /// Its model or service.
    pub model: String,
    /// `up`, `leaving`, `down` or `unknown`.
    pub state: String,
    /// Its weight.
    pub weight: f64,
    /// This instance's requests at it.
    pub inflight: u64,
    /// Requests that wait there, by its last report.
    pub waiting: u64,
    /// Requests that run there, by its last report.
    pub running: u64,
    /// Used share of its cache, 0 to 1, by its last report.
    pub cache_used: f64,
    /// Age of the report in milliseconds, when there is one.
    pub load_age_ms: Option<u64>,
}

/// One hot prefix.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Prefix {
    /// Its block hash.
    pub block: String,
    /// Requests a second that start with it.
    pub requests_per_second: f64,
    /// Servers that are believed to hold it.
    pub replicas: u64,
}

/// One limit in play.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Limit {
    /// What it limits, as `organisation/umez`.
    pub scope: String,
    /// The column.
    pub column: String,
    /// The limit over all instances.
    pub limit: f64,
    /// This instance's share of it.
    pub share: f64,
    /// What is used of the share.
    pub used: f64,
}

/// Decisions.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Decisions {
    /// The instance that took them.
    pub instance: String,
    /// The decisions.
    pub decisions: Vec<Decision>,
}

/// One decision and its reasons. The stable form of [`explain::Decision`].
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Decision {
    /// The request, 32 hexadecimal digits.
    pub request: String,
    /// Version of the table that ruled.
    pub table: u64,
    /// The chosen server, if any.
    pub chosen: Option<String>,
    /// What decided.
    pub reason: String,
    /// Time in this instance's queue, in milliseconds.
    pub queued_ms: f64,
    /// The candidates, best first.
    pub candidates: Vec<Candidate>,
}

/// One candidate. See [`explain::Candidate`] for the units.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Candidate {
    /// The server.
    pub server: String,
    /// Its score: lower is better.
    pub score: f64,
    /// Expected wait in milliseconds.
    pub wait: f64,
    /// Expected time to compute what is not cached, in milliseconds.
    pub prefill: f64,
    /// Price of the recomputed tokens, in milliseconds.
    pub price: f64,
    /// Prompt tokens believed cached.
    pub cached_tokens: u32,
    /// Probability that the belief holds, 0 to 1.
    pub confidence: f32,
    /// Age of the belief, in milliseconds.
    pub belief_age: u64,
    /// Age of its load report, in milliseconds.
    pub load_age: u64,
}

impl From<&explain::Decision> for Decision {
    fn from(it: &explain::Decision) -> Self {
        Self {
            request: it.request.to_string(),
            table: it.table,
            chosen: it.chosen.as_ref().map(ToString::to_string),
            reason: it.reason.to_string(),
            queued_ms: it.queued.as_secs_f64() * 1e3,
            candidates: it.candidates.iter().map(Candidate::from).collect(),
        }
    }
}

impl From<&explain::Candidate> for Candidate {
    fn from(it: &explain::Candidate) -> Self {
        Self {
            server: it.server.to_string(),
            score: it.score,
            wait: it.wait,
            prefill: it.prefill,
            price: it.price,
            cached_tokens: it.cached_tokens,
            confidence: it.confidence,
            belief_age: it.belief_age,
            load_age: it.load_age,
        }
    }
}

/// An error, after RFC 9457 (problem details).
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Problem {
    /// `about:blank`: the code says it all.
    #[serde(rename = "type")]
    pub kind: String,
    /// The code's sentence.
    pub title: String,
    /// HTTP status.
    pub status: u16,
    /// What exactly was wrong, and what to do.
    pub detail: String,
    /// The code's number.
    pub code: u16,
    /// The code's name.
    pub name: Code,
    /// For a conflict: the value that the change was based on.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expected: Option<String>,
    /// For a conflict: the value in force.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub found: Option<String>,
}
