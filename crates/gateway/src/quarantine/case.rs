//! What speaks against one request.

use std::time::Duration;

use shallotlead_base::time::Time;

use super::IncarnationId;

/// How long a lost run whose server hasn't been found dead or alive speaks against its request.
const UNSETTLED: Duration = Duration::from_secs(10);

/// One request under suspicion or in quarantine.
#[derive(Debug)]
pub(super) struct Case {
    /// Servers that crashed under it.
    pub(super) crashed: Vec<IncarnationId>,
    /// Servers that lost a run of it and may have crashed, and when they did.
    pub(super) open: Vec<(IncarnationId, Time)>,
    /// When the last crash became known.
    pub(super) proved: Time,
    /// When it came last.
    pub(super) seen: Time,
    /// Since when it has been in quarantine.
    pub(super) quarantined: Option<Time>,
    /// This instance has found one of the crashes itself.
    pub(super) is_own: bool,
}

impl Case {
    pub(super) fn open(now: Time) -> Self {
        let (crashed, open) = (Vec::new(), Vec::new());
        Self { crashed, open, proved: now, seen: now, quarantined: None, is_own: false }
    }

    /// A server crashed under it. Says whether that is news.
    pub(super) fn proves(&mut self, now: Time, life: IncarnationId) -> bool {
        self.open.retain(|it| it.0 != life);
        if self.crashed.contains(&life) {
            return false;
        }
        self.crashed.push(life);
        (self.proved, self.seen) = (now, self.seen.max(now));
        true
    }

    /// Whether a run of it was lost with this life.
    pub(super) fn has(&self, life: IncarnationId) -> bool {
        self.crashed.contains(&life) || self.open.iter().any(|it| it.0 == life)
    }

    /// Servers that crashed under it, or may have.
    pub(super) fn lives(&self, now: Time) -> impl Iterator<Item = IncarnationId> {
        let fresh = self.open.iter().filter(move |it| now.since(it.1) < UNSETTLED);
        self.crashed.iter().copied().chain(fresh.map(|it| it.0))
    }

    /// Forgets losses that nothing explains.
    pub(super) fn settle(&mut self, now: Time) {
        self.open.retain(|it| now.since(it.1) < UNSETTLED);
    }

    /// Whether nothing speaks against it.
    pub(super) fn is_idle(&self) -> bool {
        self.crashed.is_empty() && self.open.is_empty() && self.quarantined.is_none()
    }

    /// What is forgotten first, where there is too much: what speaks least against its request.
    pub(super) fn rank(&self) -> (bool, usize, Time) {
        (self.quarantined.is_some(), self.crashed.len(), self.seen)
    }

    /// Leaves the evidence of one crash less than the `crashes` that put it in quarantine.
    pub(super) fn put_on_trial(&mut self, now: Time, crashes: usize) {
        self.quarantined = None;
        self.seen = now;
        self.crashed.truncate(crashes.saturating_sub(1));
    }
}
