//! Passing facts on.

use std::time::Duration;

use shallotlead_base::time::Time;

use crate::{
    class::Class,
    membership::{
        Membership,
        fact::{Fact, Facts},
        message::{Message, Piggyback},
    },
    outbox::Outbox,
};

/// Time between rounds of gossip while there is something to pass on.
pub(super) const GOSSIP_INTERVAL: Duration = Duration::from_millis(100);
/// Members that each round of gossip goes to.
const FANOUT: usize = 3;
/// How often each member passes on what the exchanges would settle too.
const MINOR_TRANSMISSIONS: u32 = 2 * FANOUT as u32;
/// Facts in one datagram, in bytes.
const DATAGRAM_FACT_BYTES: usize = 900;
/// Bytes of gossip a second at most.
const GOSSIP_BYTES_PER_SECOND: f64 = 8.0 * 1024.0;
/// Bytes of gossip that may be saved up.
pub(super) const GOSSIP_BURST_BYTES: f64 = 32.0 * 1024.0;

impl Membership {
    pub(super) fn enqueue(&mut self, now: Time, fact: Fact) {
        let times = if fact.is_minor() { MINOR_TRANSMISSIONS } else { self.transmissions() };
        self.gossip_queue.push(fact, times);
        self.due.gossip_round = self.due.gossip_round.min(now + GOSSIP_INTERVAL);
    }

    /// How often one fact is sent by each member: grows with the logarithm of their number.
    pub(super) fn transmissions(&self) -> u32 {
        let members = self.view.entries().len() as u32;
        FANOUT as u32 * (2 + (u32::BITS - members.leading_zeros()) / 2)
    }

    pub(super) fn take_piggyback(&mut self, now: Time, budget: usize, copies: u32) -> Piggyback {
        let facts = self.gossip_queue.take(budget, copies);
        Piggyback {
            table_version: self.table_version,
            ages: self.reachability.ages(now),
            facts: Facts(facts),
        }
    }

    pub(super) fn send_gossip(&mut self, now: Time, out: &mut Outbox<'_>) {
        let saved = now.since(self.gossip_credited_at).as_secs_f64() * GOSSIP_BYTES_PER_SECOND;
        self.gossip_credit_bytes = (self.gossip_credit_bytes + saved).min(GOSSIP_BURST_BYTES);
        self.gossip_credited_at = now;
        if self.gossip_credit_bytes <= 0.0 {
            return;
        }
        let targets = self.random_members(FANOUT, |_| true);
        if targets.is_empty() {
            return;
        }
        let beat = self.take_piggyback(now, DATAGRAM_FACT_BYTES, targets.len() as u32);
        let size = beat.facts.0.iter().map(Fact::size).sum::<usize>() * targets.len();
        self.gossip_credit_bytes -= size as f64;
        for to in &targets {
            out.send(to, Message::Gossip(beat.clone()), Class::Datagram);
        }
    }
}
