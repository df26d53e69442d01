//! The wire formats of the emulated platform, in both directions.

mod adapter;
pub(crate) mod store;
pub(crate) mod names;

pub(crate) use adapter::Format;

use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};
use shallotlead_gateway::adapter::{Incarnation, Load, Part};

/// A deployment's configuration.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Configuration {
    pub(crate) version: u64,
    pub(crate) routes: Vec<Route>,
    pub(crate) services: Vec<Service>,
    /// Requests a second that the callers' organisation may send.
    pub(crate) quota_per_s: Option<f64>,
}

/// A route.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Route {
    pub(crate) name: Arc<str>,
    pub(crate) service: Arc<str>,
    pub(crate) is_repeatable: bool,
    pub(crate) is_stream: bool,
    pub(crate) timeout_ms: u64,
    pub(crate) target_ms: u64,
    pub(crate) max_attempts: u8,
}

/// A service. `capacity_tokens` is that of an engine's cache; without it, the servers are no engines.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Service {
    pub(crate) name: Arc<str>,
    pub(crate) max_connections: u32,
    pub(crate) capacity_tokens: Option<u32>,
}

/// A backend server's entry in the store.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Entry {
    pub(crate) service: Arc<str>,
    pub(crate) address: SocketAddr,
    pub(crate) centre: Arc<str>,
    pub(crate) is_draining: bool,
    pub(crate) models: Vec<(Arc<str>, u64)>,
    pub(crate) build: Arc<str>,
    pub(crate) incarnation: Incarnation,
    pub(crate) sequence: u64,
}

/// A backend server's report.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(crate) struct Report {
    pub(crate) models: Vec<(Arc<str>, u64)>,
    pub(crate) accepted_orders: u64,
    pub(crate) load: Load,
    pub(crate) incarnation: Option<Incarnation>,
}

/// A published version of a model's weights.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Weights {
    pub(crate) model: Arc<str>,
    pub(crate) version: u64,
}

/// An order to load weights.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Order {
    pub(crate) model: Arc<str>,
    pub(crate) version: u64,
    pub(crate) fence: u64,
    pub(crate) expected_orders: u64,
}

/// Parses the parts of a prompt: `ID:TOKENS`, separated by commas.
pub(crate) fn parse_parts(text: &str) -> Vec<Part> {
    let part = |it: &str| {
        let (id, tokens) = it.split_once(':')?;
        Some(Part { id: id.parse().ok()?, tokens: tokens.parse().ok()? })
    };
    text.split(',').filter_map(part).collect()
}

/// Writes the parts of a prompt.
pub(crate) fn write_parts(parts: &[Part]) -> String {
    let parts: Vec<String> = parts.iter().map(|it| format!("{}:{}", it.id, it.tokens)).collect();
    parts.join(",")
}
