//! Which members of a region observe which others.

use shallotlead_base::{hash, name};

/// How many instances observe each member.
pub(crate) const OBSERVERS: usize = 3;

/// The members of one region, ordered by the hash of their names. Each is observed by those that
/// follow it, so that an instance's cost doesn't grow with the number of members, and members are
/// also observed from other data centres.
#[derive(Debug, Default)]
pub(crate) struct Ring {
    order: Vec<(u64, name::Instance)>,
}

impl Ring {
    pub(crate) fn new(names: impl Iterator<Item = name::Instance>) -> Self {
        let hash = |it: &name::Instance| hash::stable(it.as_str().as_bytes());
        let mut order = names.map(|it| (hash(&it), it)).collect::<Vec<_>>();
        order.sort_unstable();
        Self { order }
    }

    /// The members that observe `me`.
    pub(crate) fn observers(&self, me: &name::Instance) -> Vec<name::Instance> {
        self.neighbours(me, |position, step, len| (position + step) % len)
    }

    /// The members that `me` observes.
    pub(crate) fn observed_by(&self, me: &name::Instance) -> Vec<name::Instance> {
        self.neighbours(me, |position, step, len| (position + len - step) % len)
    }

    /// Number of observers of each member.
    pub(crate) fn degree(&self) -> usize {
        OBSERVERS.min(self.order.len().saturating_sub(1))
    }

    fn neighbours(
        &self,
        me: &name::Instance,
        at: impl Fn(usize, usize, usize) -> usize,
    ) -> Vec<name::Instance> {
        let Some(position) = self.order.iter().position(|(_, it)| it == me) else {
            return Vec::new();
        };
        let len = self.order.len();
        (1..=self.degree()).map(|step| self.order[at(position, step, len)].1.clone()).collect()
    }
}
