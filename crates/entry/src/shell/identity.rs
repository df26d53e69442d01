//! Who this instance is.

use std::net::SocketAddr;

use shallotlead_base::{id::Incarnation, name};

/// This instance as its settings name it.
#[derive(Clone, Debug)]
pub(crate) struct Identity {
    /// Its name.
    pub(crate) instance: name::Instance,
    /// This life of it.
    pub(crate) incarnation: Incarnation,
    /// Its data centre.
    pub(crate) centre: name::Centre,
    /// Its region.
    pub(crate) region: name::Region,
    /// Where it serves callers.
    pub(crate) address: SocketAddr,
}
