//! Virtual time.

use std::{cell::Cell, rc::Rc, time::Duration};

use shallotlead_base::time::Time;
use shallotlead_gateway::clock::{self, ORIGIN};

/// Wall clock at the start of an emulation, counted from the start of 1970.
const START: Duration = Duration::from_secs(1_800_000_000);

/// The time of the emulation, which all its parts share.
#[derive(Clone, Debug)]
pub(crate) struct Clock(Rc<Cell<Time>>);

impl Clock {
    pub(crate) fn new() -> Self {
        Self(Rc::new(Cell::new(ORIGIN)))
    }

    pub(crate) fn now(&self) -> Time {
        self.0.get()
    }

    pub(crate) fn set(&self, now: Time) {
        self.0.set(now);
    }
}

/// The clocks of one machine. They differ between machines, as they do in reality.
#[derive(Clone, Debug)]
pub(crate) struct Machine {
    pub(crate) clock: Clock,
    /// How long the machine had run when the emulation began.
    pub(crate) uptime: Duration,
    /// By how much its wall clock is ahead, ms.
    pub(crate) ahead_ms: Rc<Cell<i64>>,
}

impl clock::Clock for Machine {
    fn now(&self) -> Time {
        self.clock.now() + self.uptime
    }

    fn unix_time(&self) -> Duration {
        let ms = START.as_millis() as i64 + self.ahead_ms.get();
        Duration::from_millis(ms as u64) + self.clock.now().since(ORIGIN)
    }
}
