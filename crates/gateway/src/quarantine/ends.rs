//! The servers that ended lately, and which of them ended together.

use std::{collections::VecDeque, time::Duration};

use shallotlead_base::time::Time;

use super::IncarnationId;

/// Ends that are remembered.
const MOST: usize = 4_096;
/// Ends that lie closer together count as one event.
const TOGETHER: Duration = Duration::from_millis(100);
/// Part of a service's servers that must end together with a suspect's to look like a common cause, and how many
/// at least.
const MASS: f64 = 0.25;
const LEAST_MASS: usize = 3;

/// The end of one server.
#[derive(Clone, Copy, Debug)]
struct End {
    life: IncarnationId,
    at: Time,
    /// Servers that its service had.
    servers: usize,
}

/// Ends of servers, oldest first.
#[derive(Debug, Default)]
pub(super) struct Ends(VecDeque<End>);

impl Ends {
    /// A server ended, of a service with so many `servers`. The first word on it counts.
    pub(super) fn push(&mut self, at: Time, life: IncarnationId, servers: usize) {
        if self.0.iter().rev().any(|it| it.life == life) {
            return;
        }
        if MOST <= self.0.len() {
            self.0.pop_front();
        }
        self.0.push_back(End { life, at, servers });
    }

    /// Whether so many others ended together with a server that they have a common cause. `is_own`: servers that
    /// don't count as others.
    ///
    /// Guards against blaming what merely ran where many servers ended at once, as when a rack loses power: each
    /// request that is asked for often would be turned away after three of those.
    pub(super) fn is_mass(
        &self,
        life: IncarnationId,
        is_own: impl Fn(IncarnationId) -> bool,
    ) -> bool {
        let Some(end) = self.0.iter().find(|it| it.life == life) else { return false };
        let mass = LEAST_MASS.max((end.servers as f64 * MASS) as usize);
        let apart = |it: &End| it.at.since(end.at).max(end.at.since(it.at));
        let near = self.0.iter().filter(|it| it.life != life && apart(it) <= TOGETHER);
        near.filter(|it| !is_own(it.life)).take(mass).count() == mass
    }
}
