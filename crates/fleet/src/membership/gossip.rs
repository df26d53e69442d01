//! Gossip: facts are sent to random members a bounded number of times.

use std::time::Duration;

use shallotlead_base::time::Time;

use crate::{
    delivery::Delivery,
    membership::{
        Membership,
        fact::{Fact, Facts},
        message::{Message, Piggyback},
    },
    outbox::Outbox,
};

/// Time between rounds of gossip while the queue isn't empty.
pub(super) const GOSSIP_INTERVAL: Duration = Duration::from_millis(100);
/// Members that receive each round of gossip.
const FANOUT: usize = 3;
/// How many times each member sends a fact whose loss anti-entropy repairs soon enough.
const MINOR_TRANSMISSIONS: u32 = 2 * FANOUT as u32;
/// Most bytes of facts in one datagram.
const DATAGRAM_FACT_BYTES: usize = 900;
/// Long-term limit of gossip, in bytes per second.
const GOSSIP_BYTES_PER_SECOND: f64 = 8.0 * 1024.0;
/// Largest burst of gossip, in bytes.
pub(super) const GOSSIP_BURST_BYTES: f64 = 32.0 * 1024.0;

impl Membership {
    pub(super) fn enqueue(&mut self, now: Time, fact: Fact) {
        let times = if fact.is_minor() { MINOR_TRANSMISSIONS } else { self.transmissions() };
        self.gossip_queue.push(fact, times);
        self.due.gossip_round = self.due.gossip_round.min(now + GOSSIP_INTERVAL);
    }

    /// How many times each member sends one fact: grows with the logarithm of the number of members.
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
        let piggyback = self.take_piggyback(now, DATAGRAM_FACT_BYTES, targets.len() as u32);
        let size = piggyback.facts.0.iter().map(Fact::size).sum::<usize>() * targets.len();
        self.gossip_credit_bytes -= size as f64;
        for to in &targets {
            out.send(to, Message::Gossip(piggyback.clone()), Delivery::Datagram);
        }
    }
}
