//! What the operator allows an organisation.

use crate::quota::MAX_OWNERS;

/// What one organisation may use, through all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Units a second, above 0.
    pub per_second: f64,
    /// Units that may be used at once beyond that.
    pub burst: f64,
    /// What is counted.
    pub unit: Unit,
}

/// In what a quota is counted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Unit {
    /// Requests.
    Requests,
    /// Tokens of prompts and answers.
    Tokens {
        /// Tokens that a request without a prompt counts as.
        plain: f64,
    },
}

impl Limit {
    /// Units that a request counts as. `tokens`: those of its prompt and its longest answer, if it has a prompt.
    pub fn cost(&self, tokens: Option<u64>) -> f64 {
        match self.unit {
            Unit::Requests => 1.0,
            Unit::Tokens { plain } => tokens.map_or(plain, |it| it as f64),
        }
    }

    /// Number of instances that own the quota, by the configuration alone, so that all instances agree. Shares of less
    /// than one request would add up to more than the burst.
    pub fn owners(&self) -> usize {
        let least_cost = match self.unit {
            Unit::Requests => 1.0,
            Unit::Tokens { plain } => plain.max(1.0),
        };
        ((self.burst / least_cost) as usize).clamp(1, MAX_OWNERS)
    }

    /// Name of the unit for operators.
    pub fn unit_name(&self) -> &'static str {
        match self.unit {
            Unit::Requests => "requests",
            Unit::Tokens { .. } => "tokens",
        }
    }
}
