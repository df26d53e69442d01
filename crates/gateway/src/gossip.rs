//! What instances tell each other: who lives, and which versions and departures they have seen.

mod age;
mod change;
mod entries;
mod members;
mod withheld;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    broadcast,
    catchup::Peer,
    dialect::{Born, Load, Part},
    pace::Pace,
    quarantine, rate_limit,
};

pub use age::Age;
pub use change::{Change, Source, Status};
pub use entries::{Entries, Entry};
pub use members::Members;
pub use withheld::Withheld;

/// How often an instance tells a few others what it knows.
pub const PERIOD: Duration = Duration::from_millis(600);

/// One instance's life, as it tells of itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Its name.
    pub name: Arc<str>,
    /// Grows with each start.
    pub incarnation: u64,
    /// Grows with each message that it sends about itself.
    pub beat: u64,
    /// Its data centre.
    pub centre: Arc<str>,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where other instances reach it.
    pub peers: SocketAddr,
    /// Whether it takes requests.
    pub is_ready: bool,
    /// Whether it is shutting down.
    pub is_leaving: bool,
    /// Whether it watches the store, and the store answers it.
    pub is_watching: bool,
    /// Whether the store doesn't answer it.
    pub is_away: bool,
}

impl Member {
    /// Whether both say the same of an instance, whenever it told them.
    pub fn is_same_state(&self, other: &Self) -> bool {
        *self == Self { beat: self.beat, ..other.clone() }
    }

    /// This instance as one that has `version` of the configuration.
    pub fn config_peer(&self, version: u64) -> Peer {
        Peer { address: self.peers, centre: self.centre.clone(), version }
    }
}

/// Weights that were named.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Publication {
    /// The model.
    pub model: Arc<str>,
    /// The version.
    pub version: u64,
    /// How long ago, ms, as far as the sender knows.
    pub age_ms: u64,
}

/// A change of weights that the holder of the lease has ordered.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Loading {
    /// The server.
    pub server: Arc<str>,
    /// Its life.
    pub born: Option<Born>,
    /// The model.
    pub model: Arc<str>,
    /// The version.
    pub version: u64,
    /// How long it counts as loading without further word, ms; zero: it is done.
    pub valid_ms: u32,
}

/// What a server takes from all instances together.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LimitReport {
    /// The server.
    pub server: Arc<str>,
    /// Its life.
    pub born: Option<Born>,
    /// Requests a second; none if it names no limit any more.
    pub per_second: Option<f64>,
    /// How long before it was told the server said so, ms.
    pub age_ms: u32,
}

/// A question to a limit's home for a permit.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PermitRequest {
    /// The limit as the sender knows it.
    pub limit: LimitReport,
    /// Where the answer goes.
    pub reply_to: SocketAddr,
}

/// A home's answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PermitReply {
    /// The server.
    pub server: Arc<str>,
    /// Its life.
    pub born: Option<Born>,
    /// What may be sent there.
    pub reply: rate_limit::Reply,
}

/// One datagram.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Datagram {
    /// Who lives, and what has changed.
    News(Box<Message>),
    /// Prompts that the sender has just sent to servers, and the loads that servers have told it since.
    Placed(Vec<Placement>, Vec<LoadReport>),
    /// Servers' entries that the sender has just read from the store.
    Entries(Entries),
    /// A permit for a request at a limited server is wanted.
    PermitRequest(PermitRequest),
    /// The answer to that.
    PermitReply(PermitReply),
    /// The store has just confirmed a configuration to an instance that watches.
    Confirmation(Confirmation),
}

/// What the store has just said to be the newest configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Confirmation {
    /// The instance that watches.
    pub name: Arc<str>,
    /// Where it is asked, and the version.
    pub peer: Peer,
}

/// A server's load as it told it with an answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// The server.
    pub server: Arc<str>,
    /// Its life.
    pub born: Option<Born>,
    /// Its load.
    pub load: Load,
    /// How long ago that was, ms.
    pub age_ms: u32,
    /// How long the prompt that began last had waited there, ms, and how long ago that was.
    pub waited_ms: Option<(u32, u32)>,
}

/// A prompt that was sent to a server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Placement {
    /// The server.
    pub server: Arc<str>,
    /// Its life.
    pub born: Option<Born>,
    /// The scope within which its parts are shared.
    pub scope: u64,
    /// The shared parts.
    pub parts: Vec<Part>,
    /// Tokens that come into the server's memory.
    pub added: u32,
    /// Tokens that the server has to read.
    pub unread: u32,
}

/// Who lives, and what has changed.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Message {
    /// The sender.
    pub from: Member,
    /// Some of the others that it knows.
    pub members: Vec<Sighting>,
    /// The others that it has heard of lately.
    pub heartbeats: Vec<Heartbeat>,
    /// The version of the configuration that it has.
    pub configuration: u64,
    /// The era of the store that it knows; zero if it knows none.
    pub era: u64,
    /// Servers that aren't used though an older copy of the store says that they are ready.
    pub withheld: Vec<Withheld>,
    /// The weights that it has heard of.
    pub weights: Vec<Publication>,
    /// What has happened to servers and instances.
    pub updates: Vec<broadcast::Aged>,
    /// Whether the receiver is to pass the rumours on to its data centre.
    pub needs_relay: bool,
    /// The stores of cached prompts at which the sender looks itself, and whether they live.
    pub cache_stores: Vec<(SocketAddr, bool)>,
    /// What the sender has learnt of services' engines, for instances that have just started.
    pub paces: Vec<(Arc<str>, Pace)>,
    /// Requests that the sender has in quarantine.
    pub quarantine: Vec<quarantine::Record>,
}

/// The last beat that was heard of a member.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Its life, by a hash of its name and incarnation.
    pub id: u32,
    /// The beat.
    pub beat: u64,
    /// How long ago the member sent it, as far as known.
    pub age: Age,
}

/// A member as another instance knows it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Sighting {
    /// What it told last of itself.
    pub member: Member,
    /// The last beat that was heard of it.
    pub beat: u64,
    /// How long ago it sent that, as far as known.
    pub age: Age,
}

impl Sighting {
    /// What a member told of itself `since` that time.
    pub fn of(member: Member, since: Duration) -> Self {
        Self { beat: member.beat, age: Age::of(since), member }
    }
}
