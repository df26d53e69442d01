//! The evidence against one request or part.

use std::time::Duration;

use shallotlead_base::time::Time;

use super::{Identity, IncarnationId, SETTLING_TIME, policy::DOUBTFUL_TRIAL_DELAY};

/// How long a lost run counts as evidence while its server hasn't been found dead or alive.
const UNEXPLAINED_RETENTION: Duration = Duration::from_secs(10);
/// Largest number of crashes that are kept; the oldest ones are dropped.
const MAX_CRASHES: usize = 64;
/// Largest number of parts before one that are kept.
const MAX_ANCESTORS: usize = 64;

/// The evidence against one suspect, or against what is in quarantine.
#[derive(Debug)]
pub(super) struct Evidence {
    /// Servers that crashed while running it.
    pub(super) crashed: Vec<IncarnationId>,
    /// Servers that lost a run of it and may have crashed, and when they lost it.
    pub(super) lost: Vec<(IncarnationId, Time)>,
    /// When the last crash became known.
    pub(super) last_crash: Time,
    /// When as many crashes were known as put it in quarantine.
    pub(super) reached: Option<Time>,
    /// Position of a part in the prompts of this instance, from 1; `None` if none of those lost had it.
    pub(super) depth: Option<usize>,
    /// The parts before it in these prompts.
    pub(super) ancestors: Vec<Identity>,
    /// Whether a part in quarantine did no harm a short time before, so that the crashes may have
    /// had another cause. Ends with a crash after a trial.
    pub(super) is_doubtful: bool,
    /// A part in quarantine may be sent to one server on trial.
    pub(super) has_open_trial: bool,
    /// A part in quarantine may be sent to one server in a prompt whose other parts were in none of
    /// the crashes. Ends with a crash after that.
    pub(super) has_open_probe: bool,
    /// When the request last arrived.
    pub(super) last_seen: Time,
    /// Since when it has been in quarantine.
    pub(super) quarantined_at: Option<Time>,
    /// Whether this instance has lost one of the runs itself.
    pub(super) is_lost_here: bool,
}

impl Evidence {
    pub(super) fn new(now: Time) -> Self {
        let (crashed, lost, ancestors) = (Vec::new(), Vec::new(), Vec::new());
        Self {
            crashed,
            lost,
            last_crash: now,
            reached: None,
            depth: None,
            ancestors,
            is_doubtful: false,
            has_open_trial: false,
            has_open_probe: false,
            last_seen: now,
            quarantined_at: None,
            is_lost_here: false,
        }
    }

    /// Records that a server crashed while running it. `threshold`: the number of crashes that put
    /// it in quarantine. Returns whether the crash is new.
    pub(super) fn record_crash(
        &mut self,
        now: Time,
        incarnation_id: IncarnationId,
        threshold: usize,
    ) -> bool {
        self.lost.retain(|it| it.0 != incarnation_id);
        if self.crashed.contains(&incarnation_id) {
            return false;
        }
        if MAX_CRASHES <= self.crashed.len() {
            self.crashed.remove(0);
        }
        self.crashed.push(incarnation_id);
        if threshold <= self.crashed.len() {
            self.reached.get_or_insert(now);
        }
        if let Some(since) = &mut self.quarantined_at {
            let reached = self.reached.unwrap_or(*since);
            self.is_doubtful &= now.since(reached) < DOUBTFUL_TRIAL_DELAY;
            *since = now.max(*since);
            self.has_open_trial = false;
        }
        (self.last_crash, self.last_seen) = (now, self.last_seen.max(now));
        true
    }

    /// Records that a prompt of this instance that was lost had the part behind these `ancestors`.
    pub(super) fn record_position(&mut self, ancestors: &[Identity]) {
        self.depth = self.depth.max(Some(ancestors.len() + 1));
        for it in ancestors {
            if self.ancestors.len() < MAX_ANCESTORS && !self.ancestors.contains(it) {
                self.ancestors.push(*it);
            }
        }
    }

    /// Ends the probe of a part if a server crashed after it was put in quarantine: another instance
    /// has probed it.
    pub(super) fn close_probe(&mut self, ended_at: Time) {
        let is_later = |it: Time| SETTLING_TIME <= ended_at.since(it);
        self.has_open_probe &= !self.quarantined_at.is_some_and(is_later);
    }

    /// Whether a run of it was lost with this incarnation.
    pub(super) fn includes(&self, incarnation_id: IncarnationId) -> bool {
        self.crashed.contains(&incarnation_id) || self.lost.iter().any(|it| it.0 == incarnation_id)
    }

    /// Servers that crashed while running it, or may have.
    pub(super) fn incarnations(&self, now: Time) -> impl Iterator<Item = IncarnationId> {
        let unexplained =
            self.lost.iter().filter(move |it| now.since(it.1) < UNEXPLAINED_RETENTION);
        self.crashed.iter().copied().chain(unexplained.map(|it| it.0))
    }

    /// Drops lost runs that nothing explains.
    pub(super) fn drop_unexplained(&mut self, now: Time) {
        self.lost.retain(|it| now.since(it.1) < UNEXPLAINED_RETENTION);
    }

    /// Stops counting some crashes.
    pub(super) fn retain_crashes(
        &mut self,
        threshold: usize,
        keeps: impl Fn(IncarnationId) -> bool,
    ) {
        self.crashed.retain(|it| keeps(*it));
        self.lost.retain(|it| keeps(it.0));
        if self.crashed.len() < threshold {
            (self.quarantined_at, self.reached) = (None, None);
        }
    }

    /// Whether there is no evidence against it.
    pub(super) fn is_empty(&self) -> bool {
        self.crashed.is_empty() && self.lost.is_empty() && self.quarantined_at.is_none()
    }

    /// Order in which requests are evicted where there are too many: those with the least evidence
    /// first.
    pub(super) fn eviction_rank(&self) -> (bool, usize, Time) {
        (self.quarantined_at.is_some(), self.crashed.len(), self.last_seen)
    }

    /// Keeps the evidence of one crash less than the `crash_threshold` that put it in quarantine.
    pub(super) fn put_on_trial(&mut self, now: Time, crash_threshold: usize) {
        (self.quarantined_at, self.reached) = (None, None);
        self.last_seen = now;
        self.crashed.truncate(crash_threshold.saturating_sub(1));
    }
}
