//! The view: the members as known to one instance, and the choice of owners among them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use shallotlead_base::{
    hash::{self, Map},
    id::Incarnation,
    name,
};

/// State of a member as known here.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum State {
    /// It answers.
    Alive,
    /// Some instance got no answer from it. It counts as live until the suspicion ends.
    Suspect,
    /// It is shutting down: it finishes its work and takes no new work.
    Leaving,
    /// It doesn't answer, or has left.
    Dead,
}

/// One entry instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Its name.
    pub name: name::Instance,
    /// Its data centre.
    pub centre: name::Centre,
    /// Its region.
    pub region: name::Region,
    /// Address for callers.
    pub address: SocketAddr,
    /// Address for other instances.
    pub peer: SocketAddr,
    /// Its incarnation, which grows with each start.
    pub incarnation: Incarnation,
}

/// A member with its state as known here.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// The member.
    pub member: Member,
    /// Its state.
    pub state: State,
    /// Whether its region is reachable now.
    pub is_reachable: bool,
    /// Whether flap damping holds it back: it returned from the dead too often of late and doesn't
    /// count as live until it has stayed up for a while.
    pub is_damped: bool,
}

impl Entry {
    /// Whether it can be reached and takes new work.
    pub fn is_live(&self) -> bool {
        self.is_reachable && !self.is_damped && self.state < State::Leaving
    }
}

/// The members as known here, including this instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct View {
    me: name::Instance,
    region: name::Region,
    /// Grows with each change.
    generation: u64,
    /// In order of name.
    entries: Vec<Entry>,
    /// Indices of the live members in `entries`, by data centre and by region.
    centres: Map<name::Centre, Vec<usize>>,
    regions: Map<name::Region, Vec<usize>>,
}

impl View {
    /// A view of `entries`, which must include `me`.
    pub fn new(me: &Member, generation: u64, mut entries: Vec<Entry>) -> Self {
        entries.sort_by(|a, b| a.member.name.cmp(&b.member.name));
        let mut centres = Map::<_, Vec<_>>::default();
        let mut regions = Map::<_, Vec<_>>::default();
        for (index, it) in entries.iter().enumerate().filter(|(_, it)| it.is_live()) {
            centres.entry(it.member.centre.clone()).or_default().push(index);
            regions.entry(it.member.region.clone()).or_default().push(index);
        }
        let (me, region) = (me.name.clone(), me.region.clone());
        Self { me, region, generation, entries, centres, regions }
    }

    /// Grows with each change of the view.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// This instance's name.
    pub fn me(&self) -> &name::Instance {
        &self.me
    }

    /// All members in order of name, including dead ones that are still remembered.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// The member called `name`.
    pub fn get(&self, name: &name::Instance) -> Option<&Entry> {
        let index = self.entries.binary_search_by(|it| it.member.name.cmp(name)).ok()?;
        self.entries.get(index)
    }

    /// Whether the member `name` can be reached and takes new work.
    pub fn is_live(&self, name: &name::Instance) -> bool {
        self.get(name).is_some_and(Entry::is_live)
    }

    /// The live members of all reachable regions.
    pub fn live_members(&self) -> impl Iterator<Item = &Member> {
        self.entries.iter().filter(|it| it.is_live()).map(|it| &it.member)
    }

    /// The live members of one data centre.
    pub fn live_in_centre(&self, centre: &name::Centre) -> impl Iterator<Item = &Member> {
        self.members_at(self.centres.get(centre))
    }

    /// The live members of one region.
    pub fn live_in_region(&self, region: &name::Region) -> impl Iterator<Item = &Member> {
        self.members_at(self.regions.get(region))
    }

    fn members_at<'a>(
        &'a self,
        indices: Option<&'a Vec<usize>>,
    ) -> impl Iterator<Item = &'a Member> {
        indices.into_iter().flatten().map(|it| &self.entries[*it].member)
    }

    /// The owner of `key` among the live members of this instance's region.
    pub fn owner(&self, key: u64) -> Option<&name::Instance> {
        self.owners(key, 1).into_iter().next()
    }

    /// The `count` members with the highest rendezvous weights for `key` among the live members of
    /// this instance's region, best first.
    pub fn owners(&self, key: u64, count: usize) -> Vec<&name::Instance> {
        highest_weighted(self.live_in_region(&self.region), key, count)
    }

    /// The `count` members with the highest rendezvous weights for `key` among the live members of
    /// one data centre, best first.
    pub fn owners_in_centre(
        &self,
        centre: &name::Centre,
        key: u64,
        count: usize,
    ) -> Vec<&name::Instance> {
        highest_weighted(self.live_in_centre(centre), key, count)
    }

    /// The owner of `key` among the live members of all reachable regions.
    pub fn global_owner(&self, key: u64) -> Option<&name::Instance> {
        highest_weighted(self.live_members(), key, 1).into_iter().next()
    }

    /// The keeper of `server`, which is in `centre`: the instance that checks the server and spreads
    /// its state. It is one of that data centre, or of this region if the data centre has no live
    /// instance.
    pub fn keeper(&self, server: &name::Server, centre: &name::Centre) -> Option<&name::Instance> {
        let key = hash::stable(server.as_str().as_bytes());
        highest_weighted(self.live_in_centre(centre), key, 1)
            .into_iter()
            .next()
            .or_else(|| self.owner(key))
    }
}

/// The `count` members of `members` with the highest rendezvous weights for `key`, best first.
pub fn highest_weighted<'a>(
    members: impl Iterator<Item = &'a Member>,
    key: u64,
    count: usize,
) -> Vec<&'a name::Instance> {
    let weighted = members.map(|it| (hash::weight(it.name.as_str(), key), &it.name));
    // The most frequent case needs no sorting.
    if count == 1 {
        return weighted.max().map(|(_, name)| name).into_iter().collect();
    }
    let mut weighted = weighted.collect::<Vec<_>>();
    weighted.sort_unstable_by(|a, b| b.cmp(a));
    weighted.into_iter().take(count).map(|(_, name)| name).collect()
}
