//! How long ago weights were named that the store has. Pure.

use std::time::Duration;

use shallotlead_base::time::Time;

use crate::lease::CLOCK_TOLERANCE;

/// How long ago weights count as named at least that lie in the store when an instance starts, unless the lease's
/// record knows better.
const BEFORE_START: Duration = Duration::from_millis(1_500);

/// What an instance knows of the time of a naming that it reads from the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Evidence {
    /// It knew what was named before, so that this came since.
    pub is_news: bool,
    /// When the lease's record says that it was named.
    pub recorded: Option<Time>,
    /// The writer of the record knew of all that was named until then, and the record doesn't have this.
    pub known_until: Option<Time>,
}

/// When the weights were named, or the earliest time at which they may have been.
///
/// Guards against a loss of power of all instances: a naming that nobody is left to tell of would count from the
/// restart. It shows as prompts that begin on replaced weights seconds after the bound.
pub fn published_at(now: Time, evidence: &Evidence) -> Time {
    match *evidence {
        Evidence { recorded: Some(at), .. } => at,
        Evidence { is_news: true, .. } => now,
        Evidence { known_until: Some(until), .. } => {
            (now - BEFORE_START).min(until - CLOCK_TOLERANCE)
        }
        Evidence { .. } => now - BEFORE_START,
    }
}
