//! Timers of requests.

use std::{cmp::Reverse, collections::BinaryHeap};

use shallotlead_base::{id::Request, time::Time};

/// What a timer is for.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Kind {
    /// A held request may fit its limits now, or is given up.
    Held,
    /// The first token is no longer of use.
    Deadline,
    /// A second attempt may be worth its price.
    Hedge,
    /// A retry's back-off is over.
    Ready,
}

/// Pending timers, soonest first. One that no longer applies is ignored when it fires.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    heap: BinaryHeap<Reverse<(Time, Request, Kind)>>,
}

impl Timers {
    /// Sets a timer; none for [`Time::MAX`].
    pub(crate) fn set(&mut self, at: Time, request: Request, kind: Kind) {
        if at < Time::MAX {
            self.heap.push(Reverse((at, request, kind)));
        }
    }

    /// The next one whose time has come.
    pub(crate) fn pop(&mut self, now: Time) -> Option<(Request, Kind)> {
        if now < self.heap.peek()?.0.0 {
            return None;
        }
        self.heap.pop().map(|it| (it.0.1, it.0.2))
    }

    /// When the next one fires.
    pub(crate) fn next(&self) -> Option<Time> {
        self.heap.peek().map(|it| it.0.0)
    }
}
