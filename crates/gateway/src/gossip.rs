//! What instances tell each other: who lives, and which versions and departures they have seen.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use shallotlead_base::{hash::Map, time::Time};

use crate::dialect::Part;

/// How often an instance tells two others what it knows.
pub const PERIOD: Duration = Duration::from_millis(600);
/// Instances that are told each time.
pub const FANOUT: usize = 2;
/// Silence after which an instance counts as dead: about five periods, as rumours need two or three
/// to reach all.
const DEAD_AFTER: Duration = Duration::from_millis(3_200);
/// How long a dead instance still counts for the shared budget.
const FORGET_AFTER: Duration = Duration::from_secs(30);
/// Members in one message: 40 of about 60 bytes stay below 4 KB.
const MAX_MEMBERS: usize = 40;

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
}

/// A change of weights that the holder of the lease has ordered.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Loading {
    /// The server.
    pub server: Arc<str>,
    /// The model.
    pub model: Arc<str>,
    /// The version.
    pub version: u64,
    /// How long it counts as loading without further word, ms; zero: it is done.
    pub valid_ms: u32,
}

/// One datagram.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Datagram {
    /// Who lives, and what has changed.
    News(Box<Message>),
    /// Prompts that the sender has just sent to servers.
    Placed(Vec<Placement>),
}

/// A prompt that was sent to a server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Placement {
    /// The server.
    pub server: Arc<str>,
    /// The scope within which its parts are shared.
    pub scope: u64,
    /// The shared parts.
    pub parts: Vec<Part>,
    /// Tokens of the whole prompt.
    pub tokens: u32,
    /// Tokens that the server has to read.
    pub unread: u32,
}

/// Who lives, and what has changed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Message {
    /// The sender.
    pub from: Member,
    /// Some of the others that it knows.
    pub members: Vec<Member>,
    /// The version of the configuration that it has.
    pub configuration: u64,
    /// The weights that it has heard of.
    pub weights: Vec<(Arc<str>, u64)>,
    /// Servers that have begun to leave lately.
    pub leaving: Vec<Arc<str>>,
    /// Servers whose weights are being changed.
    pub loading: Vec<Loading>,
    /// Servers that have just been found silent. Others look for themselves: the sender may be the
    /// one that is cut off.
    pub silent: Vec<Arc<str>>,
}

#[derive(Debug)]
struct Known {
    member: Member,
    heard: Time,
}

/// The instances that this one knows.
#[derive(Debug)]
pub struct Members {
    me: Member,
    others: Map<Arc<str>, Known>,
}

impl Members {
    /// Only this instance.
    pub fn open(me: Member) -> Self {
        Self { me, others: Map::default() }
    }

    /// This instance.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// This instance, to be changed.
    pub fn me_mut(&mut self) -> &mut Member {
        &mut self.me
    }

    /// Takes what was told of a member. Says whether it is news.
    pub fn take(&mut self, now: Time, member: Member) -> bool {
        if member.name == self.me.name {
            return false;
        }
        let age = |it: &Member| (it.incarnation, it.beat);
        match self.others.get_mut(&member.name) {
            Some(it) if age(&member) <= age(&it.member) => false,
            Some(it) => {
                *it = Known { member, heard: now };
                true
            }
            None => {
                self.others.insert(member.name.clone(), Known { member, heard: now });
                true
            }
        }
    }

    /// Forgets what has been silent for long.
    pub fn expire(&mut self, now: Time) {
        self.others.retain(|_, it| now.since(it.heard) < FORGET_AFTER);
    }

    /// The other instances that are alive.
    pub fn alive(&self, now: Time) -> impl Iterator<Item = &Member> {
        let is_alive = move |it: &&Known| now.since(it.heard) < DEAD_AFTER;
        self.others.values().filter(is_alive).map(|it| &it.member)
    }

    /// All instances that count for the shared budget, this one included.
    pub fn sharers(&self) -> u32 {
        u32::try_from(self.others.len()).unwrap_or(u32::MAX).saturating_add(1)
    }

    /// Where other instances are, the dead ones too: they may be back.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.others.values().map(|it| it.member.peers).collect()
    }

    /// Members to be told of: those heard of last.
    pub fn rumours(&self, now: Time) -> Vec<Member> {
        let mut known: Vec<&Known> = self.others.values().collect();
        known.sort_by_key(|it| now.since(it.heard));
        known.into_iter().take(MAX_MEMBERS).map(|it| it.member.clone()).collect()
    }

    /// This instance's place among those that may hold the lease: the ready ones, the youngest first,
    /// since a rolling restart comes to those that haven't been restarted yet.
    pub fn rank(&self, now: Time) -> usize {
        let key = |it: &Member| (std::cmp::Reverse(it.incarnation), it.name.clone());
        let own = key(&self.me);
        self.alive(now).filter(|it| it.is_ready && !it.is_leaving && key(it) < own).count()
    }
}
