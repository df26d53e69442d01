//! Whether this instance reaches the servers of one service.

use shallotlead_base::time::Time;

use crate::pool;

/// Number of servers that must fail or answer to show that the service is out of reach or within reach again, if it
/// has as many. A single server may have crashed, or be the only one left.
const MIN_EVIDENCE: usize = 3;

/// A change of reach.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// No server is reached any more.
    Lost,
    /// Servers are reached again.
    Regained,
}

/// Reach of one service's servers, judged by what becomes of requests and probes.
///
/// Guards against an instance that loses its paths to all servers while callers still reach it: its requests fail
/// one after the other until each server has been found silent, and nothing else tells it apart from an instance
/// that has no work.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    /// Servers that failed since one last answered.
    failed: Vec<pool::Id>,
    /// Servers that answered since the reach was lost.
    answered: Vec<pool::Id>,
    /// When a server last answered.
    answered_at: Time,
    /// When the reach was lost, if it is.
    lost_since: Option<Time>,
}

impl Reach {
    /// When the reach was lost, if it is.
    pub fn lost_since(&self) -> Option<Time> {
        self.lost_since
    }

    /// When a server last answered.
    pub fn answered_at(&self) -> Time {
        self.answered_at
    }

    /// Number of servers that failed since one last answered.
    pub fn failed(&self) -> usize {
        self.failed.len()
    }

    /// Records that `server`, one of `servers`, couldn't be reached or is silent.
    pub fn record_failure(
        &mut self,
        now: Time,
        server: pool::Id,
        servers: usize,
    ) -> Option<Change> {
        self.answered.retain(|it| *it != server);
        if !self.failed.contains(&server) {
            self.failed.push(server);
        }
        if self.lost_since.is_some() || self.failed.len() < min_evidence(servers) {
            return None;
        }
        self.lost_since = Some(now);
        self.answered.clear();
        Some(Change::Lost)
    }

    /// Records an answer of `server`, one of `servers`.
    pub fn record_answer(&mut self, now: Time, server: pool::Id, servers: usize) -> Option<Change> {
        self.answered_at = now;
        if self.lost_since.is_none() {
            self.failed.clear();
            return None;
        }
        if !self.answered.contains(&server) {
            self.answered.push(server);
        }
        if self.answered.len() < min_evidence(servers) {
            return None;
        }
        *self = Self { answered_at: now, ..Self::default() };
        Some(Change::Regained)
    }
}

fn min_evidence(servers: usize) -> usize {
    servers.clamp(1, MIN_EVIDENCE)
}
