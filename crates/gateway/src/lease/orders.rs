//! When the orders of one holder have arrived, or may arrive at the latest.

use std::sync::Arc;

use shallotlead_base::{hash::Map, time::Time};

use super::{CLOCK_MARGIN, ORDER_FLIGHT};

/// The orders to one server.
#[derive(Clone, Copy, Debug, Default)]
struct Arrivals {
    /// The latest possible arrival of all orders but the open one.
    settled: Time,
    /// When the last order was sent, if it is unanswered.
    open: Option<Time>,
}

impl Arrivals {
    fn latest(&self) -> Time {
        self.open.map_or(self.settled, |it| self.settled.max(latest_arrival(it)))
    }
}

/// The orders that this instance has sent, by server.
#[derive(Debug, Default)]
pub(crate) struct Orders {
    arrivals: Map<Arc<str>, Arrivals>,
}

impl Orders {
    /// An order to `server` is sent.
    pub(crate) fn send(&mut self, now: Time, server: &Arc<str>) {
        let it = self.arrivals.entry(server.clone()).or_default();
        *it = Arrivals { settled: it.latest(), open: Some(now) };
    }

    /// `server` has answered the order that was sent at `sent`.
    pub(crate) fn answer(&mut self, now: Time, server: &str, sent: Time) {
        if let Some(it) = self.arrivals.get_mut(server).filter(|it| it.open == Some(sent)) {
            *it = Arrivals { settled: it.settled.max(now), open: None };
        }
    }

    /// The latest time at which an order to each server has arrived or may arrive.
    pub(crate) fn latest(&self) -> impl Iterator<Item = (&Arc<str>, Time)> {
        self.arrivals.iter().map(|it| (it.0, it.1.latest()))
    }
}

/// What the network still holds when a connection ends is covered by the margin.
fn latest_arrival(sent: Time) -> Time {
    sent + ORDER_FLIGHT + CLOCK_MARGIN
}
