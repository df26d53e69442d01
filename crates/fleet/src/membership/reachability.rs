//! What was last heard of far things: other regions and the platform.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use shallotlead_base::{
    hash::{self, Map},
    name,
    time::Time,
};

/// A region that nobody here has heard of for this long counts as lost.
pub(crate) const REGION_TIMEOUT: Duration = Duration::from_secs(6);
/// Unit of ages on the wire.
const AGE_UNIT_MILLIS: u128 = 250;

/// How long ago something was heard, by the instance that heard it last.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Age {
    /// Tag of what was heard.
    pub tag: u16,
    /// Quarters of a second since then; the highest value means long ago or never.
    pub quarter_seconds: u8,
}

/// When far things were last heard by this instance or by one that told it. Every instance passes
/// the shortest age on, so that each knows what all know, and nothing is sent when a region is lost:
/// the ages just grow.
#[derive(Debug, Default)]
pub(crate) struct Reachability {
    heard: Map<u16, Time>,
}

/// Tag of a region.
pub(crate) fn region_tag(name: &name::Region) -> u16 {
    // The highest bit is left to the platform's tag.
    (hash::stable(name.as_str().as_bytes()) & 0x7fff) as u16
}

/// Tag of the platform.
pub(crate) const PLATFORM_TAG: u16 = 0x8000;

impl Reachability {
    /// Something was heard at `time`.
    pub(crate) fn record(&mut self, tag: u16, time: Time) {
        let last = self.heard.entry(tag).or_insert(time);
        *last = time.max(*last);
    }

    /// When it was last heard.
    pub(crate) fn last(&self, tag: u16) -> Option<Time> {
        self.heard.get(&tag).copied()
    }

    /// Whether it was heard lately, or is not old enough to tell.
    pub(crate) fn is_fresh(&self, now: Time, tag: u16) -> bool {
        self.last(tag).is_none_or(|it| now.since(it) < REGION_TIMEOUT)
    }

    /// The ages as sent.
    pub(crate) fn ages(&self, now: Time) -> Vec<Age> {
        let quarters = |it: Time| {
            // Rounded up, so that an age never gets younger on its way.
            let quarters = now.since(it).as_millis().div_ceil(AGE_UNIT_MILLIS);
            u8::try_from(quarters).unwrap_or(u8::MAX)
        };
        let ages = self.heard.iter().map(|(&tag, &it)| Age { tag, quarter_seconds: quarters(it) });
        let mut ages = ages.collect::<Vec<_>>();
        ages.sort_by_key(|it| it.tag);
        ages
    }

    /// Takes in ages that a peer sent, all but that of `own`, this instance's region.
    pub(crate) fn merge(&mut self, now: Time, ages: &[Age], own: u16) {
        for age in ages.iter().filter(|it| it.tag != own && it.quarter_seconds < u8::MAX) {
            let millis = u64::from(age.quarter_seconds) * AGE_UNIT_MILLIS as u64;
            let heard = now - Duration::from_millis(millis);
            self.record(age.tag, heard);
        }
    }
}
