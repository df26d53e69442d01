//! Rows of attempts.

use std::time::Duration;

use shallotlead_base::{id::Incarnation, name, time::Time};

use crate::limit::Charge;

/// One attempt that was sent and hasn't ended.
#[derive(Debug)]
pub(crate) struct Row {
    /// Where it runs.
    pub(crate) server: name::Server,
    /// The life of the server that was meant.
    pub(crate) incarnation: Incarnation,
    /// When it was sent.
    pub(crate) sent: Time,
    /// Expected time to first token, from sending, as experience corrects it.
    pub(crate) expected: Duration,
    /// The planner's own expectation.
    pub(crate) planned: Duration,
    /// Whether its first token came.
    pub(crate) started: bool,
    /// Tokens of the prompt.
    pub(crate) prompt: u32,
    /// What it holds of the server's limits.
    pub(crate) charge: Charge,
}
