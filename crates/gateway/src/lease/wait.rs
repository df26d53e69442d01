//! What is left of the gap between two holders' orders.

use std::{sync::Arc, time::Duration};

use shallotlead_base::{hash::Map, time::Time};

/// When servers may be ordered, as far as orders of other holders may still arrive.
#[derive(Clone, Debug, Default)]
pub(crate) struct Wait {
    all: Time,
    each: Map<Arc<str>, Time>,
}

impl Wait {
    /// When the first server may be ordered.
    pub(crate) fn all(&self) -> Time {
        self.all
    }

    /// When `server` may be ordered.
    pub(crate) fn of(&self, server: &str) -> Time {
        self.each.get(server).map_or(self.all, |it| self.all.max(*it))
    }

    /// No server may be ordered before `until`.
    pub(crate) fn delay_all(&mut self, until: Time) {
        self.all = self.all.max(until);
    }

    /// `server` may not be ordered before `until`.
    pub(crate) fn delay(&mut self, server: &Arc<str>, until: Time) {
        let it = self.each.entry(server.clone()).or_default();
        *it = until.max(*it);
    }

    /// Waits for what `other` waits for as well, and forgets what is over.
    pub(crate) fn merge(&mut self, now: Time, other: Wait) {
        self.each.retain(|_, it| now < *it);
        self.delay_all(other.all);
        other.each.iter().for_each(|it| self.delay(it.0, *it.1));
    }

    /// The servers that wait for a time of their own, each with what is left of it.
    pub(crate) fn left(&self, now: Time) -> impl Iterator<Item = (&Arc<str>, Duration)> {
        let waiting = self.each.iter().filter(move |it| now < *it.1);
        waiting.map(move |it| (it.0, it.1.since(now)))
    }
}
