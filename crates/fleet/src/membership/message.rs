//! What members tell each other.

use serde::{Deserialize, Serialize};
use shallotlead_base::{id::Version, name};

use crate::{
    membership::{fact::Facts, reachability::Age},
    view::Member,
};

/// What every message of the membership carries.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Piggyback {
    /// The table's version in force at the sender.
    pub table_version: Version,
    /// When the sender, or one that told it, last heard of far things.
    pub ages: Vec<Age>,
    /// Facts that are being passed on.
    pub facts: Facts,
}

/// What members tell each other. The order of the variants is the wire format: append only.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// I am here; to those who observe the sender.
    Heartbeat(Piggyback),
    /// Are you there?
    Probe {
        /// Number to answer with.
        number: u32,
        /// As always.
        piggyback: Piggyback,
    },
    /// I am.
    Ack {
        /// Number of the probe.
        number: u32,
        /// As always.
        piggyback: Piggyback,
    },
    /// Is this one there? I can't reach it.
    ProbeRequest {
        /// Who is asked for.
        target: name::Instance,
    },
    /// The one you asked for answered me.
    IndirectAck {
        /// Who was asked for.
        target: name::Instance,
    },
    /// Facts to pass on.
    Gossip(Piggyback),
    /// One number over all that the sender knows.
    Digest {
        /// The number.
        digest: u64,
        /// As always.
        piggyback: Piggyback,
    },
    /// Our numbers differ; here are mine by bucket.
    BucketDigests {
        /// The numbers.
        digests: Vec<u32>,
    },
    /// What I know in the buckets that differ.
    Difference {
        /// The sender's numbers by bucket, when it wants to be told in return.
        digests: Vec<u32>,
        /// What it knows there.
        facts: Facts,
    },
    /// I am new; tell me all.
    Join(Member),
}
