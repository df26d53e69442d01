//! Who observes whom.

use shallotlead_base::{hash, name};

/// How many instances observe each member.
pub(crate) const OBSERVERS: usize = 3;

/// The members of one region in a fixed pseudo-random order, the one after the other. Each is
/// observed by those that follow it, so that the cost is the same for any number of members, and the
/// members of a data centre are observed from others too.
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

    /// How many observe each member.
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
