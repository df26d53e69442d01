//! Anti-entropy: instances compare digests of their state and send each other the facts that
//! differ, which repairs what gossip missed. A new member receives all facts.

use std::{mem, time::Duration};

use rand::{Rng, seq::IteratorRandom};
use shallotlead_base::{name, time::Time};

use crate::{
    delivery::Delivery,
    membership::{
        ANTI_ENTROPY_INTERVAL, HEARTBEAT_FACT_BYTES, Membership,
        fact::{Fact, Facts},
        message::Message,
        roster::{self, Outcome},
    },
    node::ServerState,
    outbox::Outbox,
    view::{Member, State},
};

/// States are compared only after no news for this long, or no comparison for this long.
pub(super) const QUIET_PERIOD: Duration = Duration::from_secs(2);
/// Time between the first two attempts to join; it doubles with each attempt.
pub(super) const JOIN_RETRY: Duration = Duration::from_millis(300);
/// Longest time between attempts to join.
const MAX_JOIN_RETRY: Duration = Duration::from_secs(5);
/// Most bytes of facts in one answer to a comparison.
const DIFFERENCE_FACT_BYTES: usize = 16 * 1024;
/// Most bytes of facts in one message to a new member.
const JOIN_FACT_BYTES: usize = 48 * 1024;

impl Membership {
    /// Sends a digest to one random member of each region, unreachable regions included, so that
    /// regions find each other again after a partition.
    pub(super) fn send_digests(&mut self, now: Time, out: &mut Outbox<'_>) {
        let mut regions = self.roster.rows().map(|it| &it.member.region).collect::<Vec<_>>();
        regions.sort_unstable();
        regions.dedup();
        let mut targets = Vec::new();
        for region in regions {
            let members = self.view.entries().iter().filter(|it| {
                it.member.region == *region
                    && it.state < State::Dead
                    && it.member.name != self.me.name
            });
            targets.extend(members.choose(&mut self.rng).map(|it| it.member.name.clone()));
        }
        let digest = self.roster.digest();
        for to in targets {
            let piggyback = self.take_piggyback(now, HEARTBEAT_FACT_BYTES, 1);
            out.send(&to, Message::Digest { digest, piggyback }, Delivery::Datagram);
        }
    }

    /// Sends the digests of the buckets to a peer whose digest differs, at most once per
    /// [`ANTI_ENTROPY_INTERVAL`].
    pub(super) fn compare_digest(
        &mut self,
        now: Time,
        from: &name::Instance,
        digest: u64,
        out: &mut Outbox<'_>,
    ) {
        let quiet = QUIET_PERIOD <= now.since(self.last_news)
            || QUIET_PERIOD <= now.since(self.last_comparison);
        let paced = ANTI_ENTROPY_INTERVAL <= now.since(self.last_comparison);
        if digest == self.roster.digest() || !quiet || !paced {
            return;
        }
        self.last_comparison = now;
        let digests = self.roster.digests().to_vec();
        out.send(from, Message::BucketDigests { digests }, Delivery::Datagram);
    }

    pub(super) fn send_difference(
        &mut self,
        from: &name::Instance,
        theirs: &[u32],
        out: &mut Outbox<'_>,
    ) {
        let start = self.rng.random_range(0..roster::BUCKETS);
        let facts = Facts(self.roster.difference(theirs, start, DIFFERENCE_FACT_BYTES));
        let digests = self.roster.digests().to_vec();
        out.send(from, Message::Difference { digests, facts }, Delivery::Stream);
    }

    /// Sends the facts that the peer lacks, if it included its digests.
    pub(super) fn return_difference(
        &mut self,
        from: &name::Instance,
        theirs: &[u32],
        out: &mut Outbox<'_>,
    ) {
        if theirs.is_empty() {
            return;
        }
        let start = self.rng.random_range(0..roster::BUCKETS);
        let facts = Facts(self.roster.difference(theirs, start, DIFFERENCE_FACT_BYTES));
        if !facts.0.is_empty() {
            let digests = Vec::new();
            out.send(from, Message::Difference { digests, facts }, Delivery::Stream);
        }
    }

    pub(super) fn ask_to_join(&mut self, now: Time, out: &mut Outbox<'_>) -> Time {
        if self.has_joined {
            return Time::MAX;
        }
        if let Some(to) = self.random_members(1, |_| true).pop() {
            self.has_asked_to_join = true;
            out.send(&to, Message::Join(self.me.clone()), Delivery::Stream);
        }
        let wait = self.join_wait;
        self.join_wait = (wait * 2).min(MAX_JOIN_RETRY);
        now + wait
    }

    /// Sends all facts to a new member, and gossips the member.
    pub(super) fn handle_join(
        &mut self,
        now: Time,
        from: &name::Instance,
        member: Member,
        out: &mut Outbox<'_>,
    ) {
        if member.name != *from {
            return;
        }
        let fact = Fact::Member { member, state: State::Alive };
        if self.apply(now, &fact) == Outcome::Applied {
            self.enqueue(now, fact);
        }
        let facts = self.roster.difference(&[], 0, usize::MAX);
        let mut piece = Vec::new();
        let mut size = 0;
        for fact in facts {
            size += fact.size();
            if JOIN_FACT_BYTES < size {
                let facts = Facts(mem::take(&mut piece));
                out.send(
                    from,
                    Message::Difference { digests: Vec::new(), facts },
                    Delivery::Stream,
                );
                size = fact.size();
            }
            piece.push(fact);
        }
        let (digests, facts) = (Vec::new(), Facts(piece));
        out.send(from, Message::Difference { digests, facts }, Delivery::Stream);
    }

    /// Applies facts received by anti-entropy. Only those that must reach all instances soon are
    /// gossiped; anti-entropy spreads the others.
    pub(super) fn apply_difference(&mut self, now: Time, from: &name::Instance, facts: Vec<Fact>) {
        for fact in facts {
            let is_new = self.apply(now, &fact) == Outcome::Applied;
            let urgent = match &fact {
                Fact::State { .. } => true,
                Fact::Member { member, state } => *state == State::Leaving || member.name == *from,
                Fact::Server { state, .. } => *state == ServerState::Leaving,
                _ => false,
            };
            if is_new && urgent {
                self.enqueue(now, fact);
            }
        }
    }
}
