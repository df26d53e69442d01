//! Failure detection: probes of members that don't send heartbeats, and suspicions.

use std::time::Duration;

use rand::seq::IteratorRandom;
use shallotlead_base::{name, time::Time};

use crate::{
    delivery::Delivery,
    membership::{
        HEARTBEAT_FACT_BYTES, Membership,
        fact::Fact,
        message::Message,
        roster::{Outcome, Row},
    },
    outbox::Outbox,
    view::State,
};

/// A tick later than this shows that the process was paused or got no processor time.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(300);
/// Highest health penalty. An instance's timeouts are multiplied by its penalty plus one.
const MAX_HEALTH_PENALTY: u32 = 4;
/// Members that are asked to probe an unresponsive one.
const INDIRECT_PROBES: usize = 3;

impl Membership {
    /// Detects a pause of this process by a tick that is much later than requested. After a pause,
    /// all others seem to have been silent, and this instance would declare them dead. Therefore all
    /// silences and suspicions are measured anew from now, and timeouts are longer for a while
    /// (Lifeguard's local health).
    pub(super) fn detect_pause(&mut self, now: Time) {
        let late = self.next_tick != Time::MAX && self.next_tick + PAUSE_THRESHOLD < now;
        if late {
            self.health_penalty = (self.health_penalty + 1).min(MAX_HEALTH_PENALTY);
            self.last_health_change = now;
            self.monitors.values_mut().for_each(|it| it.restart(now));
            for row in self.roster.rows_mut() {
                if let Some(suspicion) = &mut row.suspicion {
                    suspicion.restart(now);
                }
            }
        } else if 0 < self.health_penalty
            && Duration::from_secs(5) < now.since(self.last_health_change)
        {
            self.health_penalty -= 1;
            self.last_health_change = now;
        }
    }

    /// Probes observed members that were silent for too long, directly and through others, and
    /// suspects those that stay silent.
    pub(super) fn probe_silent_members(&mut self, now: Time, out: &mut Outbox<'_>) {
        let mut to_probe = Vec::new();
        let mut to_suspect = Vec::new();
        for (name, monitor) in &mut self.monitors {
            if monitor.is_silent(now, self.health_penalty) {
                to_suspect.push(name.clone());
            }
            if monitor.take_probe(now, self.health_penalty) {
                to_probe.push(name.clone());
            }
        }
        // The outcome must not depend on the map's order.
        to_suspect.sort_unstable();
        to_probe.sort_unstable();
        for name in to_suspect {
            self.suspect(now, &name);
        }
        for name in to_probe {
            let facts = self.roster.get(&name).map(|it| self.facts_to_refute(&it.member.name));
            self.probe(now, &name, facts.unwrap_or_default(), out);
            for to in self.random_members(INDIRECT_PROBES, |it| it.name != name) {
                let target = name.clone();
                out.send(&to, Message::ProbeRequest { target }, Delivery::Datagram);
            }
        }
    }

    /// Facts about a member that is suspected or dead, for it to refute.
    pub(super) fn facts_to_refute(&self, name: &name::Instance) -> Vec<Fact> {
        let Some(row) = self.roster.get(name) else { return Vec::new() };
        let (name, incarnation) = (name.clone(), row.member.incarnation);
        match row.state {
            State::Suspect => vec![Fact::Suspect { name, incarnation, by: self.me.name.clone() }],
            State::Dead => vec![row.fact()],
            State::Alive | State::Leaving => Vec::new(),
        }
    }

    pub(super) fn suspect(&mut self, now: Time, name: &name::Instance) {
        let Some(row) = self.roster.get(name) else { return };
        let (name, incarnation) = (name.clone(), row.member.incarnation);
        if row.state == State::Leaving {
            // A leaving member that falls silent has left; no confirmation is needed.
            let fact = Fact::State { name, incarnation, state: State::Dead };
            if self.apply(now, &fact) == Outcome::Applied {
                self.enqueue(now, fact);
            }
            return;
        }
        let fact = Fact::Suspect { name, incarnation, by: self.me.name.clone() };
        if self.apply(now, &fact) == Outcome::Applied {
            self.enqueue(now, fact);
        }
    }

    pub(super) fn end_suspicions(&mut self, now: Time) {
        if !self.may_have_suspects {
            return;
        }
        self.may_have_suspects = self.roster.rows().any(|it| it.suspicion.is_some());
        let degree = self.ring.degree();
        let is_over = |row: &&Row| {
            let Some(suspicion) = &row.suspicion else { return false };
            let monitor = self.monitors.get(&row.member.name);
            // This instance hears from the member, so its refutation will reach the others.
            let is_heard = monitor.is_some_and(|it| !it.is_silent(now, self.health_penalty));
            !is_heard && suspicion.deadline(degree, monitor.is_some(), self.health_penalty) <= now
        };
        let mut over = self.roster.rows().filter(is_over).map(dead).collect::<Vec<_>>();
        over.sort_by(|a, b| a.0.cmp(&b.0));
        for (_, fact) in over {
            if self.apply(now, &fact) == Outcome::Applied {
                self.enqueue(now, fact);
            }
        }

        fn dead(row: &Row) -> (name::Instance, Fact) {
            let (name, incarnation) = (row.member.name.clone(), row.member.incarnation);
            (name.clone(), Fact::State { name, incarnation, state: State::Dead })
        }
    }

    pub(super) fn probe(
        &mut self,
        now: Time,
        to: &name::Instance,
        mut facts: Vec<Fact>,
        out: &mut Outbox<'_>,
    ) {
        self.probe_number = self.probe_number.wrapping_add(1);
        let mut piggyback = self.take_piggyback(now, HEARTBEAT_FACT_BYTES, 1);
        piggyback.facts.0.append(&mut facts);
        out.send(to, Message::Probe { number: self.probe_number, piggyback }, Delivery::Datagram);
    }

    /// Probes a random dead member, which can refute its death if it has recovered.
    pub(super) fn probe_dead_member(&mut self, now: Time, out: &mut Outbox<'_>) {
        let dead = self.view.entries().iter().filter(|it| it.state == State::Dead);
        let Some(name) = dead.choose(&mut self.rng).map(|it| it.member.name.clone()) else {
            return;
        };
        let facts = self.facts_to_refute(&name);
        self.probe(now, &name, facts, out);
    }
}
