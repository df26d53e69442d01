//! The platform's list of entry instances, which lags by ten seconds or more.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use shallotlead_base::name::{Centre, Instance, Region};
use thiserror::Error;

/// What the list says of an instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Runs, or ran when the list was made.
    Live,
    /// Is being taken away.
    Leaving,
}

/// One instance in the list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// The instance's name.
    pub name: Instance,
    /// Its data centre.
    pub centre: Centre,
    /// Its region.
    pub region: Region,
    /// Where callers reach it.
    pub address: SocketAddr,
    /// Where other instances reach it.
    pub peer: SocketAddr,
    /// What the list says of it.
    pub state: State,
}

/// The list could not be read.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("the instance list cannot be read: {0}")]
pub struct Unavailable(pub String);

/// Reads the list, blocking for a bounded time.
pub trait List: Send + Sync + 'static {
    /// All instances in the list.
    fn members(&self) -> Result<Vec<Member>, Unavailable>;
}
