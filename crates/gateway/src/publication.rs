//! Estimates when weights that the store lists were published. Does no I/O.

use std::time::Duration;

use shallotlead_base::time::Time;

use crate::lease::CLOCK_TOLERANCE;

/// Minimum age of weights that the store already lists when an instance starts, unless the lease record has an exact
/// time.
const MIN_AGE_AT_START: Duration = Duration::from_millis(1_500);

/// What an instance knows of the publication time of weights that it reads from the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Evidence {
    /// It knew the weights published before, so these are newer.
    pub is_new: bool,
    /// Publication time in the lease record.
    pub recorded: Option<Time>,
    /// The writer of the lease record knew all weights published until then, and the record lacks these.
    pub known_until: Option<Time>,
}

/// When the weights were published, or the earliest possible time.
///
/// Guards against a power loss of all instances, after which weights would count as published at the restart, and
/// prompts would start on replaced weights for seconds after the limit.
pub fn published_at(now: Time, evidence: &Evidence) -> Time {
    match *evidence {
        Evidence { recorded: Some(at), .. } => at,
        Evidence { is_new: true, .. } => now,
        Evidence { known_until: Some(until), .. } => {
            (now - MIN_AGE_AT_START).min(until - CLOCK_TOLERANCE)
        }
        Evidence { .. } => now - MIN_AGE_AT_START,
    }
}
