//! Rows of models and plain services.

use serde::{Deserialize, Serialize};
use shallotlead_base::{id::Weights, name};

use crate::{
    cell::{Misfit, parse, parse_within},
    column::Column,
    limit::Limits,
};

/// What serves a model's requests.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A model engine with a prefix cache.
    #[default]
    Engine,
    /// A plain service.
    Service,
}

/// One model or plain service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Model {
    /// Its name, the row's key.
    pub name: name::Model,
    /// What serves it.
    pub kind: Kind,
    /// Version of the weights that should serve it.
    pub weights: Weights,
    /// Limits over all organisations.
    pub limits: Limits,
    /// Price of a recomputed prompt token in placement, in microseconds of time to first token. A
    /// higher price favours cache hits over a short queue.
    pub recompute_price: f64,
    /// Time to first token that callers expect, in milliseconds.
    pub first_token_target_ms: u32,
    /// Fewest replicas that hold its weights.
    pub min_replicas: u32,
    /// How many servers may load weights of this model's store at once.
    pub load_concurrency: u32,
}

/// Columns of a model's row.
pub const COLUMNS: &[Column] = &[
    Column::Kind,
    Column::Weights,
    Column::RequestsPerSecond,
    Column::TokensPerMinute,
    Column::Concurrency,
    Column::RecomputePrice,
    Column::FirstTokenTargetMs,
    Column::MinReplicas,
    Column::LoadConcurrency,
];

impl Model {
    /// A row with default cells.
    pub fn new(name: name::Model) -> Self {
        Self {
            name,
            kind: Kind::Engine,
            weights: Weights(1),
            limits: Limits::default(),
            recompute_price: 20.0,
            first_token_target_ms: 1_000,
            min_replicas: 1,
            load_concurrency: 2,
        }
    }

    pub(crate) fn get(&self, column: Column) -> Option<String> {
        match column {
            Column::Kind => Some(self.kind.as_str().to_owned()),
            Column::Weights => Some(self.weights.to_string()),
            Column::RecomputePrice => Some(self.recompute_price.to_string()),
            Column::FirstTokenTargetMs => Some(self.first_token_target_ms.to_string()),
            Column::MinReplicas => Some(self.min_replicas.to_string()),
            Column::LoadConcurrency => Some(self.load_concurrency.to_string()),
            _ => self.limits.get(column),
        }
    }

    pub(crate) fn set(&mut self, column: Column, text: &str) -> Result<(), Misfit> {
        match column {
            Column::Kind => self.kind = Kind::parse(text)?,
            Column::Weights => self.weights = Weights(parse(text)?),
            Column::RecomputePrice => self.recompute_price = parse_within(text, 0.0, 100_000.0)?,
            Column::FirstTokenTargetMs => {
                self.first_token_target_ms = parse_within(text, 1, 600_000)?;
            }
            Column::MinReplicas => self.min_replicas = parse_within(text, 0, 10_000)?,
            Column::LoadConcurrency => self.load_concurrency = parse_within(text, 1, 1_000)?,
            _ => return self.limits.set(column, text),
        }
        Ok(())
    }
}

impl Kind {
    /// The kind as text.
    pub const fn as_str(self) -> &'static str {
        match self {
            Kind::Engine => "engine",
            Kind::Service => "service",
        }
    }

    fn parse(text: &str) -> Result<Self, Misfit> {
        [Kind::Engine, Kind::Service].into_iter().find(|it| it.as_str() == text).ok_or(Misfit)
    }
}
