//! The platform's list of entry instances. It is outdated by ten seconds or more.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use shallotlead_base::name::{Centre, Instance, Region};
use thiserror::Error;

/// State of an instance according to the list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The instance ran when the list was made.
    Live,
    /// The instance is being removed.
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
    /// Address for callers.
    pub address: SocketAddr,
    /// Address for other instances.
    pub peer: SocketAddr,
    /// Whether it runs or is being removed.
    pub state: State,
}

/// The list could not be read; holds the cause.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("the instance list cannot be read: {0}")]
pub struct Unavailable(pub String);

/// Source of the list.
pub trait List: Send + Sync + 'static {
    /// Reads all instances in the list. Blocks for a bounded time.
    fn members(&self) -> Result<Vec<Member>, Unavailable>;
}
