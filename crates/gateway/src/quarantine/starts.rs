//! Runs that have begun to be answered, until it is known that they did their servers no harm.

use std::{collections::VecDeque, time::Duration};

use shallotlead_base::{hash::Map, time::Time};

use super::{Identity, IncarnationId};

/// Time after its first event within which a run that crashes its server does so.
pub(super) const PROBATION: Duration = Duration::from_millis(500);
/// How long after the first event a sign of life still proves that the server has lived on. Later
/// ones may come from a process that has replaced it.
const MAX_PROBATION: Duration = Duration::from_millis(1_500);
/// How long a part that has done no harm is taken for sound.
const SURVIVAL_RETENTION: Duration = Duration::from_secs(10);
/// Largest number of runs that are remembered for one server.
const MAX_STARTS: usize = 256;

/// A run that has brought its first event.
#[derive(Debug)]
struct Start {
    at: Time,
    parts: Box<[Identity]>,
    /// Whether the server was asked for a sign of life.
    is_checked: bool,
}

/// The runs on probation, and the parts that have done no harm.
#[derive(Debug, Default)]
pub(super) struct Starts {
    /// Runs by server, oldest first.
    on_probation: Map<IncarnationId, VecDeque<Start>>,
    /// When a server last survived each part.
    survived: Map<Identity, Time>,
}

impl Starts {
    pub(super) fn push(&mut self, now: Time, incarnation_id: IncarnationId, parts: &[Identity]) {
        let starts = self.on_probation.entry(incarnation_id).or_default();
        if MAX_STARTS <= starts.len() {
            starts.pop_front();
        }
        starts.push_back(Start { at: now, parts: parts.into(), is_checked: false });
    }

    /// The parts of each run on probation at a server.
    pub(super) fn parts(&self, incarnation_id: IncarnationId) -> impl Iterator<Item = &[Identity]> {
        let starts = self.on_probation.get(&incarnation_id).into_iter().flatten();
        starts.map(|it| &*it.parts)
    }

    /// Takes the parts of the runs that a server has survived, as there is a sign of life from it.
    pub(super) fn take_survived(
        &mut self,
        now: Time,
        incarnation_id: IncarnationId,
    ) -> Vec<Identity> {
        let mut survived = Vec::new();
        let Some(starts) = self.on_probation.get_mut(&incarnation_id) else { return survived };
        while let Some(start) = starts.pop_front_if(|it| it.at + PROBATION <= now) {
            if now <= start.at + MAX_PROBATION {
                survived.extend(start.parts);
            }
        }
        self.survived.extend(survived.iter().map(|it| (*it, now)));
        survived
    }

    /// Whether a server has survived the part a short time ago.
    pub(super) fn has_survived(&self, now: Time, identity: &Identity) -> bool {
        self.survived.get(identity).is_some_and(|it| now.since(*it) < SURVIVAL_RETENTION)
    }

    /// The servers to be asked for a sign of life, as it would clear parts that are suspected.
    pub(super) fn take_unchecked(
        &mut self,
        now: Time,
        is_suspected: impl Fn(&Identity) -> bool,
    ) -> Vec<IncarnationId> {
        let mut unchecked = Vec::new();
        for (incarnation_id, starts) in &mut self.on_probation {
            let due = starts.iter_mut().take_while(|it| it.at + PROBATION <= now);
            for start in due.filter(|it| !it.is_checked) {
                start.is_checked = true;
                if start.parts.iter().any(&is_suspected) {
                    unchecked.push(*incarnation_id);
                }
            }
        }
        unchecked.dedup();
        unchecked
    }

    pub(super) fn remove(&mut self, incarnation_id: IncarnationId) {
        self.on_probation.remove(&incarnation_id);
    }

    pub(super) fn clear(&mut self) {
        self.on_probation.clear();
    }

    pub(super) fn expire(&mut self, now: Time) {
        self.on_probation.retain(|_, starts| {
            starts.retain(|it| now <= it.at + MAX_PROBATION);
            !starts.is_empty()
        });
        self.survived.retain(|_, it| now.since(*it) < SURVIVAL_RETENTION);
    }
}
