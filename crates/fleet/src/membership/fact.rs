//! One word on a change, as it spreads by gossip.

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

/// One word on a change. The order of the variants is the wire format: append only.
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
        /// Its life.
        incarnation: Incarnation,
        /// Its state.
        state: State,
    },
    /// An instance got no answer from a member.
    Suspect {
        /// The member.
        name: name::Instance,
        /// Its life.
        incarnation: Incarnation,
        /// Who got no answer.
        by: name::Instance,
    },
    /// A backend server's state, as its keeper found it.
    Server {
        /// The server.
        name: name::Server,
        /// Grows with each state of the server, whoever keeps it.
        sequence: u64,
        /// The state.
        state: ServerState,
    },
    /// What is in force in one data centre.
    Centre(Status),
    /// An accepted change of the table.
    Change(Change),
}

/// What is in force in one data centre.
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
    /// The newest.
    pub highest: Version,
}

/// What a fact is about. A newer fact takes the place of an older one about the same thing.
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

    /// Whether the exchanges settle it soon enough where gossip missed it, so that it is passed on
    /// less often.
    pub(crate) fn is_minor(&self) -> bool {
        matches!(self, Fact::Centre(_))
    }

    /// Its size on the wire, in bytes.
    pub(crate) fn size(&self) -> usize {
        postcard::experimental::serialized_size(self).unwrap_or(usize::MAX)
    }
}

/// Facts as they travel. Each is encoded on its own, so that one which a newer version added, or
/// changed, costs an older reader that fact and not the whole message.
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
