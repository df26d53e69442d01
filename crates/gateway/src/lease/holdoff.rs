//! Remaining gap between the orders of two holders.

use std::{sync::Arc, time::Duration};

use shallotlead_base::{hash::Map, time::Time};

/// Earliest times of orders to servers, given that orders of other holders may still arrive.
#[derive(Clone, Debug, Default)]
pub(crate) struct Holdoff {
    all: Time,
    each: Map<Arc<str>, Time>,
}

impl Holdoff {
    /// Earliest time of an order to any server.
    pub(crate) fn for_all(&self) -> Time {
        self.all
    }

    /// Earliest time of an order to `server`.
    pub(crate) fn for_server(&self, server: &str) -> Time {
        self.each.get(server).map_or(self.all, |it| self.all.max(*it))
    }

    /// Permits no order before `until`.
    pub(crate) fn delay_all(&mut self, until: Time) {
        self.all = self.all.max(until);
    }

    /// Permits no order to `server` before `until`.
    pub(crate) fn delay(&mut self, server: &Arc<str>, until: Time) {
        let it = self.each.entry(server.clone()).or_default();
        *it = until.max(*it);
    }

    /// Adds the delays of `other` and drops those that are over.
    pub(crate) fn merge(&mut self, now: Time, other: Holdoff) {
        self.each.retain(|_, it| now < *it);
        self.delay_all(other.all);
        other.each.iter().for_each(|it| self.delay(it.0, *it.1));
    }

    /// Servers with a delay of their own, each with the time remaining.
    pub(crate) fn remaining(&self, now: Time) -> impl Iterator<Item = (&Arc<str>, Duration)> {
        let delayed = self.each.iter().filter(move |it| now < *it.1);
        delayed.map(move |it| (it.0, it.1.since(now)))
    }
}
