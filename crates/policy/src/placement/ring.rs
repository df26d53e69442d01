//! Consistent hashing over a pool: every instance finds the same servers for a key, in logarithmic
//! time, and few keys move when a server comes or goes ("Consistent Hashing and Random Trees",
//! Karger and others, 1997).

use shallotlead_base::{hash, name};

use crate::belief::Slot;

/// Points of one server on the ring.
const POINTS: u64 = 32;
/// Points looked at before the search for more servers is given up.
const REACH: usize = 64;

/// Points of a pool's servers, sorted.
#[derive(Debug, Default)]
pub(super) struct Ring {
    points: Vec<(u64, Slot)>,
}

impl Ring {
    pub(super) fn new<'a>(members: impl Iterator<Item = (Slot, &'a name::Server)>) -> Self {
        let mut points: Vec<_> = members
            .flat_map(|(slot, name)| {
                // Guards against points that coincide: short names and small seeds cancel each other
                // in the hash, and one server then gets most keys. Hashing the name by itself first
                // keeps them apart.
                let seed = hash::stable(name.as_str().as_bytes());
                (0..POINTS).map(move |it| (hash::seeded(&it.to_le_bytes(), seed), slot))
            })
            .collect();
        points.sort_unstable();
        Self { points }
    }

    /// The first `count` usable servers after `key`.
    pub(super) fn successors(
        &self,
        key: u64,
        count: usize,
        usable: impl Fn(Slot) -> bool,
    ) -> Vec<Slot> {
        let key = hash::seeded(&key.to_le_bytes(), 0);
        let start = self.points.partition_point(|it| it.0 < key);
        let (before, after) = self.points.split_at(start);
        let mut found = Vec::with_capacity(count);
        for (_, slot) in after.iter().chain(before).take(REACH) {
            if found.len() == count {
                break;
            }
            if !found.contains(slot) && usable(*slot) {
                found.push(*slot);
            }
        }
        found
    }
}

#[cfg(test)]
mod tests;
