//! When requests and parts are put in quarantine, and for how long.

use std::time::Duration;

use super::{Identity, evidence::Evidence};

/// Least number of crashes that put a part in quarantine: fewer don't tell it from what ran beside.
const MIN_PART_CRASHES: usize = 3;
/// Fraction (1/n) of the retention time after which a part is tried again that has crashed so few
/// servers; each further crash doubles it, but no more often than this.
const FIRST_TRIAL_DIVISOR: u32 = 60;
const MAX_DOUBLINGS: usize = 14;
/// Time from the last crash under a part until it is tried for the first time, if it is doubtful that
/// it is the cause.
pub(super) const DOUBTFUL_TRIAL_DELAY: Duration = Duration::from_millis(1_500);

/// When a request is quarantined, and for how long.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Policy {
    /// Number of servers that must have crashed while running it.
    pub crash_threshold: usize,
    /// How long it stays in quarantine after it last arrived.
    pub retention: Duration,
}

impl Policy {
    /// Number of crashes that put it in quarantine; a part may need more.
    pub(super) fn threshold(self, identity: &Identity) -> usize {
        match identity.is_part() {
            true => self.part_threshold(),
            false => self.crash_threshold,
        }
    }

    pub(super) fn part_threshold(self) -> usize {
        self.crash_threshold.max(MIN_PART_CRASHES)
    }

    /// How long it is remembered after it last arrived, by the number of its crashes.
    pub(super) fn retention(self, identity: &Identity, crashes: usize) -> Duration {
        match identity.is_part() {
            true => self.retention.max(self.trial_delay(crashes) * 4),
            false => self.retention,
        }
    }

    /// Time from the last crash under a part until its next trial is due.
    pub(super) fn next_trial_delay(self, evidence: &Evidence) -> Duration {
        match evidence.is_doubtful {
            true => DOUBTFUL_TRIAL_DELAY,
            false => self.trial_delay(evidence.crashed.len()),
        }
    }

    /// The same if it is the cause beyond doubt. Each trial that fails makes the next one rarer, and
    /// so does each crash before.
    pub(super) fn trial_delay(self, crashes: usize) -> Duration {
        let excess = crashes.saturating_sub(self.part_threshold()).min(MAX_DOUBLINGS);
        self.retention / FIRST_TRIAL_DIVISOR * (1 << excess)
    }
}
