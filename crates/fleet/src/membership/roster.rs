//! The known members, servers and data centre statuses, with digests for anti-entropy.

use std::{collections::BTreeMap, time::Duration};

use shallotlead_base::{
    hash::{self, Map},
    id::Incarnation,
    name,
    time::Time,
};

use crate::{
    membership::{
        fact::{Fact, Status},
        flap::Flap,
        suspicion::Suspicion,
    },
    node::ServerState,
    view::{Entry, Member, State},
};

/// Number of buckets, each with a digest of its own.
pub(crate) const BUCKETS: usize = 128;
/// How long a dead member is remembered: longer than partitions between regions or data centres
/// last.
const DEAD_RETENTION: Duration = Duration::from_secs(2 * 3_600);

/// A member with its state as known here.
#[derive(Clone, Debug)]
pub(crate) struct Row {
    pub(crate) member: Member,
    pub(crate) state: State,
    pub(crate) since: Time,
    pub(crate) suspicion: Option<Suspicion>,
    pub(crate) flap: Flap,
}

#[derive(Clone, Copy, Debug)]
struct Server {
    sequence: u64,
    state: ServerState,
}

/// The result of applying a fact.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Outcome {
    /// The fact was known already, or older than what is known.
    Ignored,
    /// The fact was new.
    Applied,
}

/// The known members, servers and data centre statuses.
#[derive(Debug)]
pub(crate) struct Roster {
    rows: Map<name::Instance, Row>,
    servers: Map<name::Server, Server>,
    statuses: BTreeMap<name::Centre, Status>,
    digests: Vec<u32>,
}

impl Roster {
    pub(crate) fn new() -> Self {
        Self {
            rows: Map::default(),
            servers: Map::default(),
            statuses: BTreeMap::new(),
            digests: vec![0; BUCKETS],
        }
    }

    pub(crate) fn get(&self, name: &name::Instance) -> Option<&Row> {
        self.rows.get(name)
    }

    pub(crate) fn rows(&self) -> impl Iterator<Item = &Row> {
        self.rows.values()
    }

    pub(crate) fn rows_mut(&mut self) -> impl Iterator<Item = &mut Row> {
        self.rows.values_mut()
    }

    pub(crate) fn statuses(&self) -> impl Iterator<Item = &Status> {
        self.statuses.values()
    }

    pub(crate) fn status(&self, centre: &name::Centre) -> Option<&Status> {
        self.statuses.get(centre)
    }

    /// The sequence number and state of a server.
    pub(crate) fn server(&self, name: &name::Server) -> Option<(u64, ServerState)> {
        self.servers.get(name).map(|it| (it.sequence, it.state))
    }

    /// Removes the servers that `keep` rejects.
    pub(crate) fn retain_servers(&mut self, keep: impl Fn(&name::Server) -> bool) {
        let gone = self.servers.keys().filter(|it| !keep(it)).cloned().collect::<Vec<_>>();
        for name in gone {
            if let Some(server) = self.servers.remove(&name) {
                self.toggle_digest(name.as_str(), server_digest(&name, server));
            }
        }
    }

    /// Removes members that have been dead for [`DEAD_RETENTION`]. Returns whether there were any.
    pub(crate) fn forget_dead(&mut self, now: Time) -> bool {
        let before = self.rows.len();
        self.rows.retain(|_, it| it.state != State::Dead || now.since(it.since) < DEAD_RETENTION);
        self.rows.len() != before
    }

    /// Applies a member's state. `member` is its record, if the fact contained it.
    pub(crate) fn apply_member(
        &mut self,
        now: Time,
        name: &name::Instance,
        incarnation: Incarnation,
        state: State,
        member: Option<&Member>,
    ) -> Outcome {
        let Some(row) = self.rows.get_mut(name) else {
            // A dead member that was never known need not be remembered.
            let Some(member) = member.filter(|_| state != State::Dead) else {
                return Outcome::Ignored;
            };
            let row = Row {
                member: member.clone(),
                state,
                since: now,
                suspicion: None,
                flap: Flap::default(),
            };
            self.toggle_digest(name.as_str(), row_digest(&row));
            self.rows.insert(name.clone(), row);
            return Outcome::Applied;
        };
        if (incarnation, state) <= (row.member.incarnation, row.state) {
            return Outcome::Ignored;
        }
        let old = row_digest(row);
        if row.state == State::Dead && state < State::Leaving {
            row.flap.record_return(now);
        }
        if row.member.incarnation < incarnation || state != State::Suspect {
            row.suspicion = None;
        }
        if let Some(member) = member {
            row.member = member.clone();
        }
        row.member.incarnation = incarnation;
        row.state = state;
        row.since = now;
        let new = row_digest(row);
        self.toggle_digest(name.as_str(), old ^ new);
        Outcome::Applied
    }

    /// Applies a suspicion raised by `by`.
    pub(crate) fn apply_suspicion(
        &mut self,
        now: Time,
        name: &name::Instance,
        incarnation: Incarnation,
        by: &name::Instance,
    ) -> Outcome {
        let Some(row) = self.rows.get_mut(name) else { return Outcome::Ignored };
        if incarnation < row.member.incarnation || State::Suspect < row.state {
            return Outcome::Ignored;
        }
        if let Some(suspicion) = &mut row.suspicion
            && row.member.incarnation == incarnation
        {
            return if suspicion.confirm(by) { Outcome::Applied } else { Outcome::Ignored };
        }
        let outcome = self.apply_member(now, name, incarnation, State::Suspect, None);
        if let Some(row) = self.rows.get_mut(name) {
            row.suspicion = Some(Suspicion::new(now, by.clone()));
        }
        outcome
    }

    /// Applies a server's state.
    pub(crate) fn apply_server(
        &mut self,
        name: &name::Server,
        sequence: u64,
        state: ServerState,
    ) -> Outcome {
        let new = Server { sequence, state };
        let old = self.servers.get(name).copied();
        if old.is_some_and(|it| (sequence, state) <= (it.sequence, it.state)) {
            return Outcome::Ignored;
        }
        let flip = old.map_or(0, |it| server_digest(name, it)) ^ server_digest(name, new);
        self.toggle_digest(name.as_str(), flip);
        self.servers.insert(name.clone(), new);
        Outcome::Applied
    }

    /// Applies a data centre's status.
    pub(crate) fn apply_status(&mut self, status: &Status) -> Outcome {
        let old = self.statuses.get(&status.centre);
        if old.is_some_and(|it| status.sequence <= it.sequence) {
            return Outcome::Ignored;
        }
        let flip = old.map_or(0, status_digest) ^ status_digest(status);
        self.toggle_digest(status.centre.as_str(), flip);
        self.statuses.insert(status.centre.clone(), status.clone());
        Outcome::Applied
    }

    /// Digest of all state: equal digests mean equal state.
    pub(crate) fn digest(&self) -> u64 {
        self.digests.iter().fold(0, |sum, &it| hash::seeded(&it.to_le_bytes(), sum))
    }

    /// The digests, by bucket.
    pub(crate) fn digests(&self) -> &[u32] {
        &self.digests
    }

    /// Facts of the buckets whose digest differs from `theirs`, of at most `budget` bytes in all. The
    /// buckets are taken in order from `start` on; with a random start, every bucket gets its turn
    /// when not all fit.
    pub(crate) fn difference(&self, theirs: &[u32], start: usize, budget: usize) -> Vec<Fact> {
        let mut found = Vec::new();
        let mut push = |name: &str, fact: &dyn Fn() -> Fact| {
            let bucket = bucket(name);
            if theirs.get(bucket) != self.digests.get(bucket) {
                found.push(((bucket + BUCKETS - start % BUCKETS) % BUCKETS, fact()));
            }
        };
        for row in self.rows.values() {
            push(row.member.name.as_str(), &|| row.fact());
        }
        for status in self.statuses.values() {
            push(status.centre.as_str(), &|| Fact::Centre(status.clone()));
        }
        for (name, it) in &self.servers {
            let fact =
                || Fact::Server { name: name.clone(), sequence: it.sequence, state: it.state };
            push(name.as_str(), &fact);
        }
        found.sort_by_key(|(bucket, _)| *bucket);
        let mut rest = budget;
        let fits = |(_, fact): &(usize, Fact)| {
            let size = fact.size();
            let fits = size <= rest;
            rest = rest.saturating_sub(size);
            fits
        };
        found.into_iter().take_while(fits).map(|(_, fact)| fact).collect()
    }

    fn toggle_digest(&mut self, name: &str, bits: u32) {
        self.digests[bucket(name)] ^= bits;
    }
}

impl Row {
    /// The member's state as a fact.
    pub(crate) fn fact(&self) -> Fact {
        let (name, incarnation) = (self.member.name.clone(), self.member.incarnation);
        match self.state {
            State::Dead => Fact::State { name, incarnation, state: State::Dead },
            State::Leaving => Fact::Member { member: self.member.clone(), state: State::Leaving },
            // A suspicion is a fact of its own and must not be revived by anti-entropy.
            State::Alive | State::Suspect => {
                Fact::Member { member: self.member.clone(), state: State::Alive }
            }
        }
    }

    /// The member's entry in the view.
    pub(crate) fn entry(&self, now: Time, reachable: bool) -> Entry {
        let held = self.flap.is_held(now);
        Entry {
            member: self.member.clone(),
            state: self.state,
            is_reachable: reachable,
            is_damped: held,
        }
    }
}

fn bucket(name: &str) -> usize {
    (hash::stable(name.as_bytes()) % BUCKETS as u64) as usize
}

fn digest_of(name: &str, first: u64, second: u64) -> u32 {
    let seed = hash::seeded(&first.to_le_bytes(), second);
    (hash::seeded(name.as_bytes(), seed) >> 32) as u32
}

fn row_digest(row: &Row) -> u32 {
    let state = match row.state {
        // Instances forget dead members at different times, so these don't count.
        State::Dead => return 0,
        State::Alive | State::Suspect => 1,
        State::Leaving => 2,
    };
    digest_of(row.member.name.as_str(), row.member.incarnation.0, state)
}

fn server_digest(name: &name::Server, server: Server) -> u32 {
    let state = match server.state {
        ServerState::Up(incarnation) => incarnation.0.wrapping_mul(4).wrapping_add(1),
        ServerState::Leaving => 2,
        ServerState::Down => 3,
    };
    digest_of(name.as_str(), server.sequence, state)
}

fn status_digest(status: &Status) -> u32 {
    digest_of(status.centre.as_str(), status.sequence, status.lowest.0)
}
