//! Reachability of other regions and of the platform, shared among instances.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use shallotlead_base::{
    hash::{self, Map},
    name,
    time::Time,
};

/// A region counts as unreachable when neither this instance nor any that reports to it has heard
/// from it for this long.
pub(crate) const REGION_TIMEOUT: Duration = Duration::from_secs(6);
/// Unit of ages on the wire, in milliseconds.
const AGE_UNIT_MILLIS: u128 = 250;

/// How long ago a region or the platform was last heard from by any instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Age {
    /// Tag of the region or the platform.
    pub tag: u16,
    /// Quarters of a second since then; the highest value means long ago or never.
    pub quarter_seconds: u8,
}

/// When other regions and the platform were last heard from, by this instance or by one that
/// reported it. Every instance sends the lowest ages it knows, so that all instances agree; no
/// message is needed when a region becomes unreachable, as the ages just grow.
#[derive(Debug, Default)]
pub(crate) struct Reachability {
    last_heard: Map<u16, Time>,
}

/// Tag of a region.
pub(crate) fn region_tag(name: &name::Region) -> u16 {
    // The highest bit is left to the platform's tag.
    (hash::stable(name.as_str().as_bytes()) & 0x7fff) as u16
}

/// Tag of the platform.
pub(crate) const PLATFORM_TAG: u16 = 0x8000;

impl Reachability {
    /// Records that the region or platform with `tag` was heard from at `time`.
    pub(crate) fn record(&mut self, tag: u16, time: Time) {
        let last = self.last_heard.entry(tag).or_insert(time);
        *last = time.max(*last);
    }

    /// When it was last heard from.
    pub(crate) fn last(&self, tag: u16) -> Option<Time> {
        self.last_heard.get(&tag).copied()
    }

    /// Whether it was heard from within [`REGION_TIMEOUT`], or never yet.
    pub(crate) fn is_fresh(&self, now: Time, tag: u16) -> bool {
        self.last(tag).is_none_or(|it| now.since(it) < REGION_TIMEOUT)
    }

    /// The ages to send, in order of tag.
    pub(crate) fn ages(&self, now: Time) -> Vec<Age> {
        let quarters = |it: Time| {
            // Rounded up, so that an age never decreases as it is relayed.
            let quarters = now.since(it).as_millis().div_ceil(AGE_UNIT_MILLIS);
            u8::try_from(quarters).unwrap_or(u8::MAX)
        };
        let ages =
            self.last_heard.iter().map(|(&tag, &it)| Age { tag, quarter_seconds: quarters(it) });
        let mut ages = ages.collect::<Vec<_>>();
        ages.sort_by_key(|it| it.tag);
        ages
    }

    /// Merges the ages that a peer sent, except that of `own`, this instance's region.
    pub(crate) fn merge(&mut self, now: Time, ages: &[Age], own: u16) {
        for age in ages.iter().filter(|it| it.tag != own && it.quarter_seconds < u8::MAX) {
            let millis = u64::from(age.quarter_seconds) * AGE_UNIT_MILLIS as u64;
            let heard = now - Duration::from_millis(millis);
            self.record(age.tag, heard);
        }
    }
}
