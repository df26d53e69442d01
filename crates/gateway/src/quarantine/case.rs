//! What speaks against one request.

use shallotlead_base::time::Time;

use super::Life;

/// One request under suspicion or in quarantine.
#[derive(Debug)]
pub(super) struct Case {
    /// Servers that crashed under it.
    pub(super) crashed: Vec<Life>,
    /// Servers that lost a run of it and may have crashed, and when they did.
    pub(super) open: Vec<(Life, Time)>,
    /// When it came last.
    pub(super) seen: Time,
    /// It is in quarantine.
    pub(super) is_convicted: bool,
}

impl Case {
    pub(super) fn open(now: Time) -> Self {
        Self { crashed: Vec::new(), open: Vec::new(), seen: now, is_convicted: false }
    }

    /// Whether a run of it was lost with this life.
    pub(super) fn has(&self, life: Life) -> bool {
        self.crashed.contains(&life) || self.open.iter().any(|it| it.0 == life)
    }

    /// Whether nothing speaks against it.
    pub(super) fn is_idle(&self) -> bool {
        self.crashed.is_empty() && self.open.is_empty() && !self.is_convicted
    }

    /// Leaves the evidence of one crash less than the `crashes` that put it in quarantine.
    pub(super) fn put_on_trial(&mut self, now: Time, crashes: usize) {
        self.is_convicted = false;
        self.seen = now;
        self.crashed.truncate(crashes.saturating_sub(1));
    }
}
