//! What a request brings to a decision.

use std::time::Duration;

use shallotlead_base::{
    id::{Incarnation, Request},
    name,
};

use crate::chain::Chain;

/// May the request run twice?
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Repeat {
    /// It may be retried, hedged and resumed elsewhere.
    Idempotent,
    /// It runs at most once.
    Once,
}

/// A request as it arrives.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Its id.
    pub id: Request,
    /// Who asks.
    pub organisation: name::Organisation,
    /// What is asked.
    pub model: name::Model,
    /// The prompt's blocks; empty for plain services.
    pub chain: Chain,
    /// Most tokens to generate.
    pub max_tokens: u32,
    /// 0 (bulk) to 9 (urgent).
    pub priority: u8,
    /// When the answer's first token is no longer of use, counted from arrival.
    pub deadline: Option<Duration>,
    /// May it run twice?
    pub repeat: Repeat,
    /// What the prefix's home instance believes, when it answered in time.
    pub hints: Vec<Hint>,
}

/// A home instance's belief that a server holds a prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Hint {
    /// The server.
    pub server: name::Server,
    /// The life that the belief speaks of.
    pub incarnation: Incarnation,
    /// Leading blocks believed cached.
    pub blocks: u32,
    /// Probability that the belief still holds, 0 to 1.
    pub confidence: f32,
    /// Age of the belief.
    pub age: Duration,
}
