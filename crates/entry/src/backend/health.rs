//! A server's life and state.

use serde::Deserialize;
use shallotlead_base::id::{Incarnation, Weights};
use shallotlead_policy::input::State;
use shallotlead_table::server::Role;

/// Answer to a health check.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Health {
    /// The server's life.
    #[serde(default)]
    pub(crate) incarnation: Incarnation,
    /// Whether it takes work.
    pub(crate) state: Readiness,
    /// The model that it has loaded.
    #[serde(default)]
    pub(crate) model: Option<String>,
    /// Version of the loaded weights.
    #[serde(default)]
    pub(crate) weights: Option<Weights>,
    /// Its role.
    #[serde(default)]
    pub(crate) role: Option<Role>,
}

/// Whether a server takes work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Readiness {
    /// It takes work.
    Up,
    /// It loads weights: it finishes what it has and refuses the rest until it is up again.
    Loading,
    /// It finishes what it has.
    Leaving,
}

impl Health {
    /// The state as the router knows it.
    pub(crate) fn state(&self) -> State {
        match self.state {
            Readiness::Up => State::Up(self.incarnation),
            Readiness::Loading | Readiness::Leaving => State::Leaving,
        }
    }
}
