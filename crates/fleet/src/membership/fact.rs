//! Facts: the statements about members, servers, data centres and the table that instances spread.

use serde::{Deserialize, Deserializer, Serialize, Serializer, ser::Error as _};
use shallotlead_base::{
    id::{Incarnation, Version},
    name,
};
use shallotlead_table::change::Change;

use crate::{
    node::ServerState,
    view::{Member, State},
};

/// A statement about a member, server, data centre or change of the table. The order of the variants
/// is the wire format: append only.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Fact {
    /// A member with its record.
    Member {
        /// The record.
        member: Member,
        /// Its state.
        state: State,
    },
    /// A known member's state.
    State {
        /// The member.
        name: name::Instance,
        /// Its incarnation.
        incarnation: Incarnation,
        /// Its state.
        state: State,
    },
    /// An instance got no answer from a member.
    Suspect {
        /// The member.
        name: name::Instance,
        /// Its incarnation.
        incarnation: Incarnation,
        /// The instance that got no answer.
        by: name::Instance,
    },
    /// A backend server's state, as found by its keeper.
    Server {
        /// The server.
        name: name::Server,
        /// Grows with each change of the server's state, also when its keeper changes.
        sequence: u64,
        /// The state.
        state: ServerState,
    },
    /// The configuration versions in force in one data centre.
    Centre(Status),
    /// An accepted change of the table.
    Change(Change),
}

/// The configuration versions in force in one data centre.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// The data centre.
    pub centre: name::Centre,
    /// Grows with each status of the data centre.
    pub sequence: u64,
    /// Live instances.
    pub live: u32,
    /// The oldest version of the table that is in force at one of them.
    pub lowest: Version,
    /// The newest such version.
    pub highest: Version,
}

/// What a fact is about. In the gossip queue, a newer fact replaces an older one on the same subject.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Subject<'a> {
    Member(&'a name::Instance),
    Suspicion(&'a name::Instance, &'a name::Instance),
    Server(&'a name::Server),
    Centre(&'a name::Centre),
    Change(Version),
}

impl Fact {
    pub(crate) fn subject(&self) -> Subject<'_> {
        match self {
            Fact::Member { member, .. } => Subject::Member(&member.name),
            Fact::State { name, .. } => Subject::Member(name),
            Fact::Suspect { name, by, .. } => Subject::Suspicion(name, by),
            Fact::Server { name, .. } => Subject::Server(name),
            Fact::Centre(status) => Subject::Centre(&status.centre),
            Fact::Change(change) => Subject::Change(change.version),
        }
    }

    /// Whether anti-entropy repairs a loss soon enough, so that the fact is gossiped fewer times.
    pub(crate) fn is_minor(&self) -> bool {
        matches!(self, Fact::Centre(_))
    }

    /// Its size on the wire, in bytes.
    pub(crate) fn size(&self) -> usize {
        postcard::experimental::serialized_size(self).unwrap_or(usize::MAX)
    }
}

/// Facts in a message. Each is encoded separately, so that an older reader that can't decode a fact
/// that a newer release added or changed skips this fact only, not the whole message.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Facts(pub Vec<Fact>);

impl Serialize for Facts {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let encode = |it| postcard::to_stdvec(it).map_err(S::Error::custom);
        let facts = self.0.iter().map(encode).collect::<Result<Vec<_>, _>>()?;
        serializer.collect_seq(facts)
    }
}

impl<'de> Deserialize<'de> for Facts {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let encoded = Vec::<Vec<u8>>::deserialize(deserializer)?;
        let decode = |it: &Vec<u8>| postcard::take_from_bytes(it).ok().map(|(fact, _)| fact);
        Ok(Self(encoded.iter().filter_map(decode).collect()))
    }
}
