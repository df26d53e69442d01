//! Messages of the membership protocol.

use serde::{Deserialize, Serialize};
use shallotlead_base::{id::Version, name};

use crate::{
    membership::{fact::Facts, reachability::Age},
    view::Member,
};

/// What most messages of the membership protocol carry besides their own purpose.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Piggyback {
    /// The table's version in force at the sender.
    pub table_version: Version,
    /// How long ago the other regions and the platform were last heard from.
    pub ages: Vec<Age>,
    /// Facts that are being gossiped.
    pub facts: Facts,
}

/// A message of the membership protocol. The order of the variants is the wire format: append only.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// A sign of life, for the instances that observe the sender.
    Heartbeat(Piggyback),
    /// Asks the receiver for an [`Message::Ack`].
    Probe {
        /// Number of the probe, which the answer repeats.
        number: u32,
        /// Version, ages and facts.
        piggyback: Piggyback,
    },
    /// The answer to a probe.
    Ack {
        /// Number of the probe.
        number: u32,
        /// Version, ages and facts.
        piggyback: Piggyback,
    },
    /// Asks the receiver to probe a member that doesn't answer the sender.
    ProbeRequest {
        /// The member to probe.
        target: name::Instance,
    },
    /// The answer to a probe request: the target answered the sender.
    IndirectAck {
        /// The member that was probed.
        target: name::Instance,
    },
    /// Facts that are spread in a round of gossip.
    Gossip(Piggyback),
    /// Starts a comparison of states.
    Digest {
        /// Digest of all state of the sender.
        digest: u64,
        /// Version, ages and facts.
        piggyback: Piggyback,
    },
    /// The answer to a digest that differs from the sender's.
    BucketDigests {
        /// The sender's digests, by bucket.
        digests: Vec<u32>,
    },
    /// Facts of the buckets that differ.
    Difference {
        /// The sender's digests by bucket, or none when it doesn't want the receiver's facts.
        digests: Vec<u32>,
        /// The sender's facts in these buckets.
        facts: Facts,
    },
    /// The sender is new and asks for all facts.
    Join(Member),
}
