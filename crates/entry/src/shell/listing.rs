//! Entry instances that callers may use.

use std::net::SocketAddr;

use shallotlead_base::name;
use shallotlead_fleet::view::Member;

/// One entry instance that takes new work.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Listing {
    /// Its name.
    pub(crate) instance: name::Instance,
    /// Its data centre.
    pub(crate) centre: name::Centre,
    /// Its region.
    pub(crate) region: name::Region,
    /// Where it serves callers.
    pub(crate) address: SocketAddr,
}

impl From<&Member> for Listing {
    fn from(member: &Member) -> Self {
        Self {
            instance: member.name.clone(),
            centre: member.centre.clone(),
            region: member.region.clone(),
            address: member.address,
        }
    }
}
