//! The servers that ended recently, and which of them ended together.

use std::{collections::VecDeque, time::Duration};

use shallotlead_base::time::Time;

use super::IncarnationId;

/// Largest number of terminations that are remembered.
const MAX_TERMINATIONS: usize = 4_096;
/// Terminations that lie closer together count as one event.
pub(super) const SAME_EVENT: Duration = Duration::from_millis(100);
/// Fraction of a service's servers that must end together with a suspect's to indicate a common
/// cause, and their smallest number.
const MASS_FRACTION: f64 = 0.25;
const MIN_MASS: usize = 3;

/// The end of one server.
#[derive(Clone, Copy, Debug)]
struct Termination {
    incarnation_id: IncarnationId,
    at: Time,
    /// Number of servers that its service had.
    servers: usize,
}

/// Terminations of servers, oldest first.
#[derive(Debug, Default)]
pub(super) struct Terminations(VecDeque<Termination>);

impl Terminations {
    /// Records the end of a server of a service with this many `servers`. Only the first report of
    /// it counts.
    pub(super) fn push(&mut self, at: Time, incarnation_id: IncarnationId, servers: usize) {
        if self.0.iter().rev().any(|it| it.incarnation_id == incarnation_id) {
            return;
        }
        if MAX_TERMINATIONS <= self.0.len() {
            self.0.pop_front();
        }
        self.0.push_back(Termination { incarnation_id, at, servers });
    }

    /// When the server ended, if that is remembered.
    pub(super) fn ended_at(&self, incarnation_id: IncarnationId) -> Option<Time> {
        self.0.iter().find(|it| it.incarnation_id == incarnation_id).map(|it| it.at)
    }

    /// The servers that ended from `from` until `until`, of those that `is_counted` picks, as a
    /// share of their services.
    pub(super) fn share(
        &self,
        from: Time,
        until: Time,
        is_counted: impl Fn(IncarnationId) -> bool,
    ) -> f64 {
        let ended = self.0.iter().filter(|it| from <= it.at && it.at <= until);
        let counted = ended.filter(|it| is_counted(it.incarnation_id));
        counted.map(|it| 1.0 / it.servers.max(1) as f64).sum()
    }

    /// Whether so many others ended together with a server that they have a common cause.
    /// `ran_suspect`: whether a server ran the suspect; such servers don't count as others.
    ///
    /// Guards against blaming requests that merely ran where many servers ended at once, as when a
    /// rack loses power: each frequent request would be quarantined after three such events.
    pub(super) fn is_mass_termination(
        &self,
        incarnation_id: IncarnationId,
        ran_suspect: impl Fn(IncarnationId) -> bool,
    ) -> bool {
        let Some(termination) = self.0.iter().find(|it| it.incarnation_id == incarnation_id) else {
            return false;
        };
        let min_others = MIN_MASS.max((termination.servers as f64 * MASS_FRACTION) as usize);
        let distance =
            |it: &Termination| it.at.since(termination.at).max(termination.at.since(it.at));
        let simultaneous = self
            .0
            .iter()
            .filter(|it| it.incarnation_id != incarnation_id && distance(it) <= SAME_EVENT);
        simultaneous.filter(|it| !ran_suspect(it.incarnation_id)).take(min_others).count()
            == min_others
    }
}
