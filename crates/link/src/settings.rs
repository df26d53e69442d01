//! What a link starts with.

use std::{net::SocketAddr, time::Duration};

use shallotlead_base::name;

use crate::{authority::Authority, identity::Identity, trust::Trust};

/// Where the own certificate comes from.
#[derive(Clone, Debug)]
pub enum Source {
    /// Made at start and signed with the cluster's key from the settings.
    Made(Authority),
    /// From files, signed elsewhere by one of the trusted authorities.
    Files(Identity),
}

/// Bounds of a link.
///
/// Connections stay open for long by default: a new one costs about 4.5 KB and a millisecond of
/// processor time on both sides together, an open one no bytes and about 32 KB of memory (measured by
/// `cargo bench --bench link`). With 420 instances that talk to a random peer each second, closing
/// early would spend a third of the control traffic's budget on handshakes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Largest body, in bytes.
    pub max_body: usize,
    /// Connections open at once; the one idle for longest makes room.
    pub max_connections: usize,
    /// Idle connections close after this long. An idle connection costs no bytes.
    pub idle: Duration,
    /// A connection is given up when it sent but heard nothing for this long.
    pub silence: Duration,
    /// How long a connection may take to come about.
    pub connect: Duration,
    /// Received messages that may wait in the inbox.
    pub inbox: usize,
    /// Messages that may wait to be sent.
    pub outbox: usize,
    /// Lifetime of a certificate made at start.
    pub lifetime: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_body: 256 * 1024,
            max_connections: 512,
            idle: Duration::from_secs(600),
            silence: Duration::from_secs(3),
            connect: Duration::from_secs(2),
            inbox: 1_024,
            outbox: 1_024,
            lifetime: Duration::from_secs(30 * 24 * 3600),
        }
    }
}

/// What a link starts with.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The own name: a DNS label, since certificates carry it as one.
    pub name: name::Instance,
    /// The UDP address to bind.
    pub address: SocketAddr,
    /// The own certificate.
    pub source: Source,
    /// Certificates of the trusted authorities in PEM, one after the other: during a change of the
    /// authority, the old and the new one.
    pub authorities: String,
    /// Whom to trust at first.
    pub trust: Trust,
    /// Protocol versions spoken, best first.
    pub versions: Vec<u8>,
    /// Bounds.
    pub limits: Limits,
}

impl Settings {
    /// Settings of a cluster whose instances make their certificates at start.
    pub fn new(name: name::Instance, address: SocketAddr, authority: Authority) -> Self {
        Self {
            name,
            address,
            authorities: authority.certificate().into(),
            source: Source::Made(authority),
            trust: Trust::default(),
            versions: vec![VERSION],
            limits: Limits::default(),
        }
    }
}

/// The protocol version of this release.
pub const VERSION: u8 = 1;
