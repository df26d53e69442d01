//! Instances to try while the platform's list can't be read.

use std::{fmt, net::SocketAddr, str::FromStr};

use shallotlead_base::name;
use thiserror::Error;

/// An instance, as settings name it: `name@address`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Seed {
    /// Its name, which its certificate must carry.
    pub name: name::Instance,
    /// Where other instances reach it.
    pub peer: SocketAddr,
}

/// The text names no instance.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("expected name@address:port")]
pub struct Invalid;

impl FromStr for Seed {
    type Err = Invalid;

    fn from_str(text: &str) -> Result<Self, Invalid> {
        let (name, peer) = text.split_once('@').ok_or(Invalid)?;
        if name.is_empty() {
            return Err(Invalid);
        }
        Ok(Self { name: name.into(), peer: peer.parse().map_err(|_| Invalid)? })
    }
}

impl fmt::Display for Seed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.name, self.peer)
    }
}
