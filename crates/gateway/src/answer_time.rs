//! Remembers how long the answers of each route took lately. Does no I/O.

use std::{sync::Arc, time::Duration};

use shallotlead_base::{hash::Map, time::Time};

/// Length of a period; the current and the last one are remembered.
const PERIOD: Duration = Duration::from_secs(10);

/// The longest answers of each route.
#[derive(Debug, Default)]
pub struct History {
    /// When the current period began.
    began: Time,
    current: Map<Arc<str>, Duration>,
    last: Map<Arc<str>, Duration>,
}

impl History {
    /// Records that a request on `route` took `elapsed` until its end.
    pub fn record(&mut self, now: Time, route: &Arc<str>, elapsed: Duration) {
        self.expire(now);
        let longest = self.current.entry(route.clone()).or_default();
        *longest = elapsed.max(*longest);
    }

    /// The longest time that a request on `route` took in this period and the last; `None` if there was none.
    pub fn longest(&mut self, now: Time, route: &str) -> Option<Duration> {
        self.expire(now);
        self.current.get(route).max(self.last.get(route)).copied()
    }

    fn expire(&mut self, now: Time) {
        let age = now.since(self.began);
        if age < PERIOD {
            return;
        }
        let current = std::mem::take(&mut self.current);
        self.last = if age < PERIOD * 2 { current } else { Map::default() };
        self.began = now;
    }
}
