//! Observing others: silences, probes, suspicions.

use std::time::Duration;

use rand::seq::IteratorRandom;
use shallotlead_base::{name, time::Time};

use crate::{
    class::Class,
    membership::{
        HEARTBEAT_FACT_BYTES, Membership,
        fact::Fact,
        message::Message,
        roster::{Outcome, Row},
    },
    outbox::Outbox,
    view::State,
};

/// Being called this much too late means that the process was paused or starved.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(300);
/// Highest factor by which a strained instance waits longer, less one.
const MAX_HEALTH_PENALTY: u32 = 4;
/// Members that are asked to probe another.
const INDIRECT_PROBES: usize = 3;

impl Membership {
    /// Guards against a process that was paused or starved: after it, all others seem to have been
    /// silent, and it would declare them dead. It shows as being called much later than asked for.
    /// The guard holds because every silence is measured anew from here, and because a strained
    /// instance waits longer for a while (Lifeguard's local health).
    pub(super) fn detect_pause(&mut self, now: Time) {
        let late = self.next_tick != Time::MAX && self.next_tick + PAUSE_THRESHOLD < now;
        if late {
            self.health_penalty = (self.health_penalty + 1).min(MAX_HEALTH_PENALTY);
            self.last_strain_change = now;
            self.monitors.values_mut().for_each(|it| it.restart(now));
            for row in self.roster.rows_mut() {
                if let Some(suspicion) = &mut row.suspicion {
                    suspicion.restart(now);
                }
            }
        } else if 0 < self.health_penalty
            && Duration::from_secs(5) < now.since(self.last_strain_change)
        {
            self.health_penalty -= 1;
            self.last_strain_change = now;
        }
    }

    /// Asks the members that were silent for too long, directly and through others, and suspects
    /// those that stay silent.
    pub(super) fn probe_silent_members(&mut self, now: Time, out: &mut Outbox<'_>) {
        let mut ask = Vec::new();
        let mut suspect = Vec::new();
        for (name, watch) in &mut self.monitors {
            if watch.is_silent(now, self.health_penalty) {
                suspect.push(name.clone());
            }
            if watch.take_probe(now, self.health_penalty) {
                ask.push(name.clone());
            }
        }
        // The map's order must not decide.
        suspect.sort_unstable();
        ask.sort_unstable();
        for name in suspect {
            self.suspect(now, &name);
        }
        for name in ask {
            let facts = self.roster.get(&name).map(|it| self.facts_to_refute(&it.member.name));
            self.probe(now, &name, facts.unwrap_or_default(), out);
            for relay in self.random_members(INDIRECT_PROBES, |it| it.name != name) {
                let target = name.clone();
                out.send(&relay, Message::ProbeRequest { target }, Class::Datagram);
            }
        }
    }

    /// What the member should hear about itself.
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
            // It has left: its silence needs no confirmation.
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
            let watch = self.monitors.get(&row.member.name);
            // This instance hears it: others will hear its refutation.
            let heard = watch.is_some_and(|it| !it.is_silent(now, self.health_penalty));
            !heard && suspicion.deadline(degree, watch.is_some(), self.health_penalty) <= now
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
        let mut beat = self.take_piggyback(now, HEARTBEAT_FACT_BYTES, 1);
        beat.facts.0.append(&mut facts);
        out.send(
            to,
            Message::Probe { number: self.probe_number, piggyback: beat },
            Class::Datagram,
        );
    }

    /// Says to a random dead member that it counts as dead, in case it is back.
    pub(super) fn probe_dead_member(&mut self, now: Time, out: &mut Outbox<'_>) {
        let dead = self.view.entries().iter().filter(|it| it.state == State::Dead);
        let Some(name) = dead.choose(&mut self.rng).map(|it| it.member.name.clone()) else {
            return;
        };
        let facts = self.facts_to_refute(&name);
        self.probe(now, &name, facts, out);
    }
}
