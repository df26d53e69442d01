//! The messages that instances exchange: membership, load, and changes that all should learn of quickly.

mod age;
mod change;
mod entries;
mod members;
mod sharers;
mod withheld;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use shallotlead_base::time::Time;

use crate::{
    adapter::{Incarnation, Load, Part},
    broadcast, build,
    catchup::Peer,
    cost::Estimate,
    pool::pace,
    quarantine, quota, rate_limit,
};

pub use age::Age;
pub use change::{Change, Source, Status};
pub use entries::{Entries, Entry};
pub use members::Members;
pub use withheld::Withheld;

/// Interval at which an instance sends its state to a few others.
pub const PERIOD: Duration = Duration::from_millis(600);

/// An instance's description of itself. Also the record that it writes to the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Increases with each start.
    pub incarnation: u64,
    /// Heartbeat counter; increases with each message that the instance sends about itself.
    pub beat: u64,
    /// Data centre in which it runs.
    pub centre: Arc<str>,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other instances.
    pub peers: SocketAddr,
    /// Whether it accepts requests.
    pub is_ready: bool,
    /// Whether it is shutting down.
    pub is_leaving: bool,
    /// Whether it watches the store and the store answers it.
    pub is_watching: bool,
    /// Whether the store does not answer it, or it does not reach the servers. Others take its shared duties then.
    pub is_away: bool,
}

impl Member {
    /// Whether both describe the same state, apart from the heartbeat counter.
    pub fn has_same_state(&self, other: &Self) -> bool {
        *self == Self { beat: self.beat, ..other.clone() }
    }

    /// This instance as a peer that has `version` of the configuration.
    pub fn config_peer(&self, version: u64) -> Peer {
        Peer { address: self.peers, centre: self.centre.clone(), version }
    }
}

/// The publication of a version of a model's weights.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Publication {
    /// Model to which the weights belong.
    pub model: Arc<str>,
    /// Version of the weights.
    pub version: u64,
    /// Time since the publication in ms, as far as the sender knows.
    pub age_ms: u64,
}

/// A weight load that the lease holder has ordered.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Loading {
    /// Name of the server.
    pub server: Arc<str>,
    /// Incarnation of the server.
    pub incarnation: Option<Incarnation>,
    /// Model to which the weights belong.
    pub model: Arc<str>,
    /// Version being loaded.
    pub version: u64,
    /// How long the server counts as loading unless a later message says otherwise, in ms; zero when the load has
    /// finished.
    pub valid_ms: u32,
}

/// A rate that a server advertises, which holds for all instances together: of requests that it accepts, or of
/// rejections that it bears.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LimitReport {
    /// Name of the server.
    pub server: Arc<str>,
    /// Incarnation of the server.
    pub incarnation: Option<Incarnation>,
    /// Per second; `None` if the server no longer advertises a rate.
    pub per_second: Option<f64>,
    /// Age of the server's statement in ms, when this was sent.
    pub age_ms: u32,
}

/// A request to the owner of a rate limit for a permit.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PermitRequest {
    /// The limit as the sender knows it.
    pub limit: LimitReport,
    /// Address for the reply.
    pub reply_to: SocketAddr,
    /// How many rejections the server bears, if it is at risk. Sent as an extension.
    #[serde(skip)]
    pub tolerance: Option<LimitReport>,
    /// When it is sent, by the sender's own clock. Sent as an extension.
    #[serde(skip)]
    pub asked: Option<Time>,
}

/// The reply of a rate limit's owner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PermitReply {
    /// Name of the server.
    pub server: Arc<str>,
    /// Incarnation of the server.
    pub incarnation: Option<Incarnation>,
    /// The permits that are granted.
    pub reply: rate_limit::Reply,
    /// When they were asked for, by the clock of the instance that asked. Sent as an extension.
    #[serde(skip)]
    pub asked: Option<Time>,
}

/// Tells the owner of a limit what became of requests that were sent with its permits.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Settlement {
    /// Name of the server.
    pub server: Arc<str>,
    /// Incarnation of the server.
    pub incarnation: Option<Incarnation>,
    /// Requests that were not rejected in time.
    pub unrejected: u16,
    /// How long ago the last of them was sent, ms.
    pub sent_ms: u32,
    /// Requests of earlier messages that were rejected or lost after all.
    pub rejected: u16,
    /// How long ago the sender heard of the server, ms.
    pub heard_ms: u32,
}

/// A request's question to an owner of its organisation's quota.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct QuotaRequest {
    /// The organisation.
    pub organisation: Arc<str>,
    /// Units that the request counts as.
    pub cost: f64,
    /// The owner that is asked.
    pub owner: SocketAddr,
    /// Address for the reply.
    pub reply_to: SocketAddr,
    /// When it is sent, by the sender's own clock. Sent as an extension.
    #[serde(skip)]
    pub asked: Option<Time>,
}

/// An owner's reply.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct QuotaReply {
    /// The organisation.
    pub organisation: Arc<str>,
    /// Units that were asked for.
    pub cost: f64,
    /// The owner that was asked.
    pub owner: SocketAddr,
    /// What it grants.
    pub reply: quota::Reply,
    /// When it was asked, by the clock of the instance that asked. Sent as an extension.
    #[serde(skip)]
    pub asked: Option<Time>,
}

/// One datagram between instances.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Datagram {
    /// Membership and recent changes.
    News(Box<Message>),
    /// Prompts that the sender has just sent to servers, and the loads that servers have reported to it since.
    Placed(Vec<Placement>, Vec<LoadReport>),
    /// Servers' entries that the sender has just read from the store.
    Entries(Entries),
    /// Asks for a permit for a request at a rate-limited server.
    PermitRequest(PermitRequest),
    /// The reply to a permit request.
    PermitReply(PermitReply),
    /// The store has just confirmed the configuration of an instance that watches it.
    Confirmation(Confirmation),
    /// Asks for the build that began a stream.
    BuildQuery(BuildQuery),
    /// The reply of an instance that knows it.
    BuildReply(build::Begun),
    /// What became of requests at a server that is at risk. Earlier releases ignore it.
    Settlement(Settlement),
    /// Asks an owner of an organisation's quota for a part. Earlier releases ignore it.
    QuotaRequest(QuotaRequest),
    /// The reply to it. Earlier releases ignore it.
    QuotaReply(QuotaReply),
    /// Streams that the sender has read from its record after its start. Earlier releases ignore it.
    RestoredStreams(Vec<build::Begun>),
}

impl Datagram {
    /// Encodes it, followed by streams that the sender has sent to servers and by updates that earlier releases can't
    /// decode. Earlier releases ignore what follows the message, or the streams.
    ///
    /// # Errors
    ///
    /// When a value can't be encoded.
    pub fn encode(&self, streams: &[build::Begun]) -> postcard::Result<Vec<u8>> {
        let extensions = self.extensions()?;
        if extensions.is_empty() {
            let mut bytes = postcard::to_stdvec(self)?;
            if !streams.is_empty() {
                bytes.extend(postcard::to_stdvec(streams)?);
            }
            return Ok(bytes);
        }
        let mut bytes = postcard::to_stdvec(&self.without_extensions())?;
        bytes.extend(postcard::to_stdvec(streams)?);
        bytes.extend(postcard::to_stdvec(&extensions)?);
        Ok(bytes)
    }

    /// What of a message that is too long for one datagram is sent nevertheless; `None` if that is nothing. Of news it is the
    /// sender's own state, by which others know that it is alive.
    pub fn shortened(&self) -> Option<Self> {
        let Self::News(message) = self else { return None };
        let Message { from, configuration, era, needs_relay, .. } = &**message;
        let short = Message {
            from: from.clone(),
            members: Vec::new(),
            heartbeats: Vec::new(),
            configuration: *configuration,
            era: *era,
            withheld: Vec::new(),
            weights: Vec::new(),
            updates: Vec::new(),
            needs_relay: *needs_relay,
            cache_stores: Vec::new(),
            costs: Vec::new(),
            quarantine: Vec::new(),
        };
        (short != **message).then(|| Self::News(Box::new(short)))
    }

    /// Decodes it and the streams that follow.
    ///
    /// # Errors
    ///
    /// When the bytes are no message.
    pub fn decode(bytes: &[u8]) -> postcard::Result<(Self, Vec<build::Begun>)> {
        let (mut datagram, rest) = postcard::take_from_bytes(bytes)?;
        let (streams, rest) = match rest {
            [] => (Vec::new(), rest),
            _ => postcard::take_from_bytes(rest)?,
        };
        let extensions: Vec<Vec<u8>> = match rest {
            [] => Vec::new(),
            _ => postcard::from_bytes(rest)?,
        };
        let asked =
            |index: usize| extensions.get(index).and_then(|it| postcard::from_bytes(it).ok());
        if let Self::Placed(_, loads) = &mut datagram {
            let paces = extensions.first().and_then(|it| postcard::from_bytes(it).ok());
            let paces: Vec<Option<pace::Observation>> = paces.unwrap_or_default();
            loads.iter_mut().zip(paces).for_each(|(load, pace)| load.pace = pace);
            let progress = extensions.get(1).and_then(|it| postcard::from_bytes(it).ok());
            let progress: Vec<Option<(u32, u32)>> = progress.unwrap_or_default();
            loads.iter_mut().zip(progress).for_each(|(load, it)| load.progress = it);
        }
        // Those of later releases are skipped.
        let mut known =
            extensions.iter().filter_map(|it| postcard::from_bytes::<broadcast::Aged>(it).ok());
        match &mut datagram {
            Self::News(message) => message.updates.extend(known),
            Self::PermitRequest(request) => {
                request.tolerance = known.find_map(|it| match it.update {
                    broadcast::Update::Tolerance(report) => Some(report),
                    _ => None,
                });
                request.asked = asked(1);
            }
            Self::PermitReply(reply) => reply.asked = asked(0),
            Self::QuotaRequest(request) => request.asked = asked(0),
            Self::QuotaReply(reply) => reply.asked = asked(0),
            _ => {}
        }
        Ok((datagram, streams))
    }

    /// The updates that earlier releases can't decode, each one encoded by itself.
    fn extensions(&self) -> postcard::Result<Vec<Vec<u8>>> {
        let encode = |it: &broadcast::Aged| postcard::to_stdvec(it);
        match self {
            Self::News(message) => {
                let extensions = message.updates.iter().filter(|it| it.update.is_extension());
                extensions.map(encode).collect()
            }
            Self::PermitRequest(PermitRequest { tolerance, asked, .. }) => {
                let update = tolerance.clone().map(broadcast::Update::Tolerance);
                let tolerance = update.map(|update| encode(&broadcast::Aged { update, age_ms: 0 }));
                let mut extensions = vec![tolerance.transpose()?.unwrap_or_default()];
                extensions.extend(asked.map(|it| postcard::to_stdvec(&it)).transpose()?);
                Ok(extensions)
            }
            Self::PermitReply(PermitReply { asked, .. })
            | Self::QuotaRequest(QuotaRequest { asked, .. })
            | Self::QuotaReply(QuotaReply { asked, .. }) => {
                asked.iter().map(postcard::to_stdvec).collect()
            }
            Self::Placed(_, loads)
                if loads.iter().any(|it| it.pace.is_some() || it.progress.is_some()) =>
            {
                let paces: Vec<_> = loads.iter().map(|it| it.pace).collect();
                let progress: Vec<_> = loads.iter().map(|it| it.progress).collect();
                Ok(vec![postcard::to_stdvec(&paces)?, postcard::to_stdvec(&progress)?])
            }
            _ => Ok(Vec::new()),
        }
    }

    /// The message that earlier releases can decode.
    fn without_extensions(&self) -> Self {
        let mut datagram = self.clone();
        if let Self::News(message) = &mut datagram {
            message.updates.retain(|it| !it.update.is_extension());
        }
        datagram
    }
}

/// A question for the build that began a stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BuildQuery {
    /// The stream.
    pub stream: build::Stream,
    /// The service that began it.
    pub service: Arc<str>,
    /// Address for the reply.
    pub reply_to: SocketAddr,
}

/// The store's confirmation that a configuration is the newest one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Confirmation {
    /// Name of the instance that watches the store.
    pub name: Arc<str>,
    /// Where the configuration is available, and its version.
    pub peer: Peer,
}

/// A server's load, as reported with a response.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// Name of the server.
    pub server: Arc<str>,
    /// Incarnation of the server.
    pub incarnation: Option<Incarnation>,
    /// The reported load.
    pub load: Load,
    /// Age of the report in ms.
    pub age_ms: u32,
    /// How long the prompt that started most recently had waited at the server, and how long ago that was, both in
    /// ms.
    pub waited_ms: Option<(u32, u32)>,
    /// What answers have shown of its pace, if it states one. Sent as an extension.
    #[serde(skip)]
    pub pace: Option<pace::Observation>,
    /// How long ago the newest prompt that it is known to have prefilled was sent, and had been prefilled, both in ms.
    /// Sent as an extension.
    #[serde(skip)]
    pub progress: Option<(u32, u32)>,
}

/// A prompt that was sent to a server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Placement {
    /// Name of the server.
    pub server: Arc<str>,
    /// Incarnation of the server.
    pub incarnation: Option<Incarnation>,
    /// Scope within which the prompt's parts are shared.
    pub scope: u64,
    /// The prompt's shared parts.
    pub parts: Vec<Part>,
    /// Tokens added to the server's KV cache.
    pub added_tokens: u32,
    /// Tokens that the server has to prefill.
    pub uncached_tokens: u32,
}

/// Membership and recent changes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Message {
    /// The sender.
    pub from: Member,
    /// Full state of some of the members that the sender knows.
    pub members: Vec<Sighting>,
    /// Heartbeats of the other members that the sender has heard of recently.
    pub heartbeats: Vec<Heartbeat>,
    /// Version of the sender's configuration.
    pub configuration: u64,
    /// Era of the store as known to the sender; zero if unknown.
    pub era: u64,
    /// Servers that are not used although an outdated copy of the store lists them as ready.
    pub withheld: Vec<Withheld>,
    /// The latest weight publications known to the sender, those of each model together and oldest first. Each one
    /// replaced the one before directly. Earlier releases send only the newest.
    pub weights: Vec<Publication>,
    /// Recent changes to servers and instances.
    pub updates: Vec<broadcast::Aged>,
    /// Whether the receiver must relay the updates within its data centre.
    pub needs_relay: bool,
    /// Cached-prompt stores that the sender probes itself, and whether they are alive.
    pub cache_stores: Vec<(SocketAddr, bool)>,
    /// Learned cost estimates per service, for instances that have just started.
    pub costs: Vec<(Arc<str>, Estimate)>,
    /// Requests that the sender has in quarantine.
    pub quarantine: Vec<quarantine::Record>,
}

/// The latest known heartbeat of a member.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Hash of the member's name and incarnation.
    pub id: u32,
    /// Heartbeat counter.
    pub beat: u64,
    /// Time since the member sent the heartbeat, as far as known.
    pub age: Age,
}

/// A member as known to another instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Sighting {
    /// The member's latest state.
    pub member: Member,
    /// Latest known heartbeat counter.
    pub beat: u64,
    /// Time since the member sent that heartbeat, as far as known.
    pub age: Age,
}

impl Sighting {
    /// A sighting of `member`, which sent its state `since` ago.
    pub fn of(member: Member, since: Duration) -> Self {
        Self { beat: member.beat, age: Age::of(since), member }
    }
}
