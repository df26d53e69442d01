//! Whether this instance reaches the servers of one service.

use std::time::Duration;

use shallotlead_base::time::Time;

use crate::{net::CONNECT_TIMEOUT, pool};

/// Number of servers that must fail without an answer between them to show that the service is out of reach, if it has
/// as many. A single one may have crashed.
const MIN_EVIDENCE: usize = 3;

/// Time without an answer after which failures show that the service is out of reach: as long as a connection may take.
/// When servers crash together, their streams are all sent again within a millisecond, and several fail in a row.
const MIN_SILENCE: Duration = CONNECT_TIMEOUT;

/// Time in which no request is handed over after other instances have refused one, until one of them has served
/// one. They may have lost the servers as well.
const HANDOVER_PAUSE: Duration = Duration::from_millis(300);

/// How long an instance that refused a request is asked last.
const AVOIDED_FOR: Duration = Duration::from_secs(1);

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
    /// When a server last answered.
    answered_at: Time,
    /// When the reach was lost, if it is.
    lost_since: Option<Time>,
    /// Whether another instance has served a request that was handed over since then. This proves that the servers
    /// work, and that the paths to them are at fault.
    is_covered: bool,
    /// Until when no request is handed over.
    handover_paused_until: Time,
    /// Instances that refused a request, and when.
    refused_by: Vec<(pool::Id, Time)>,
    /// When servers were last probed to learn whether they are reached again.
    probed_at: Time,
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

    /// Whether servers should be probed now: `interval` after the last time, and unless one has answered since then. If
    /// so, they count as probed.
    pub fn begin_probe(&mut self, now: Time, interval: Duration) -> bool {
        let heard_at = if self.lost_since.is_some() { Time::ZERO } else { self.answered_at };
        let is_due = interval <= now.since(self.probed_at.max(heard_at));
        if is_due {
            self.probed_at = now;
        }
        is_due
    }

    /// Whether requests should be handed over to other instances.
    pub fn needs_handover(&self, now: Time) -> bool {
        self.lost_since.is_some() && self.handover_paused_until <= now
    }

    /// Whether other instances are known to reach servers of the service that this one doesn't reach.
    pub fn is_cut_off(&self) -> bool {
        self.is_covered
    }

    /// Records that another instance served a request that was handed over.
    pub fn record_handover(&mut self, instance: pool::Id) {
        self.is_covered = self.lost_since.is_some();
        self.refused_by.retain(|it| it.0 != instance);
    }

    /// Records that an instance refused a request that was handed over.
    pub fn record_refusal(&mut self, now: Time, instance: pool::Id) {
        self.refused_by.retain(|it| it.0 != instance && now.since(it.1) < AVOIDED_FOR);
        self.refused_by.push((instance, now));
    }

    /// Whether an instance refused a request a short while ago. It may not reach the service either.
    pub fn is_avoided(&self, now: Time, instance: pool::Id) -> bool {
        self.refused_by.iter().any(|it| it.0 == instance && now.since(it.1) < AVOIDED_FOR)
    }

    /// Records that no other instance has taken a request.
    pub fn record_no_handover(&mut self, now: Time) {
        if !self.is_covered {
            self.handover_paused_until = now + HANDOVER_PAUSE;
        }
    }

    /// Records that `server`, one of `servers`, couldn't be reached or is silent.
    pub fn record_failure(
        &mut self,
        now: Time,
        server: pool::Id,
        servers: usize,
    ) -> Option<Change> {
        if !self.failed.contains(&server) {
            self.failed.push(server);
        }
        let is_silent = MIN_SILENCE <= now.since(self.answered_at);
        if !is_silent || self.failed.len() < min_evidence(servers) {
            return None;
        }
        self.record_loss(now)
    }

    /// Records that no server is left that requests could be sent to.
    pub fn record_loss(&mut self, now: Time) -> Option<Change> {
        if self.lost_since.is_some() {
            return None;
        }
        self.lost_since = Some(now);
        Some(Change::Lost)
    }

    /// Records that a server answered a request that was sent at `sent`. Once the reach is lost, only what was sent
    /// since then counts: answers may come on open connections while new ones are refused.
    pub fn record_answer(&mut self, now: Time, sent: Time) -> Option<Change> {
        if self.lost_since.is_some_and(|it| sent < it) {
            return None;
        }
        let change = self.lost_since.map(|_| Change::Regained);
        *self = Self { answered_at: now, ..Self::default() };
        change
    }
}

fn min_evidence(servers: usize) -> usize {
    servers.clamp(1, MIN_EVIDENCE)
}
