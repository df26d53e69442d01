//! How many requests without a first token this instance keeps at one backend server: the rest waits
//! here, where fairness and priority can still act.

use std::time::Duration;

use shallotlead_base::time::Time;

/// Requests without a first token that a server gets from one instance before anything is known of it.
const START: f64 = 8.0;
/// The least window: without one request at a server nothing would be learnt of it.
const MIN: f64 = 1.0;
/// The largest window.
const MAX: f64 = 256.0;
/// Requests waiting at a server from which on its queue counts as long.
const LONG_QUEUE: u32 = 16;
/// Requests waiting at a server up to which its queue counts as short.
const SHORT_QUEUE: u32 = 8;
/// Factor on a window when the server's queue is long.
const SHRINK: f64 = 0.8;
/// Part of the window that must be in use for it to grow.
const IN_USE: f64 = 0.7;
/// How long a server that comes back is spared.
const SLOW_START: Duration = Duration::from_secs(10);
/// Part of its window that a returning server gets at first.
const SLOW_START_PART: f64 = 0.1;

/// The window of one server: additive increase, multiplicative decrease, as in TCP congestion
/// control (Chiu and Jain, 1989), so that instances which know nothing of each other come to equal
/// shares of a server.
#[derive(Clone, Debug)]
pub(crate) struct Window {
    size: f64,
    growing: bool,
    /// A load report came.
    reported: bool,
    since: Time,
}

impl Window {
    /// The window of a server that came up at `now` and is spared for a while if it is `cold`.
    pub(crate) fn open(now: Time, cold: bool) -> Self {
        let since = if cold { now } else { now - SLOW_START };
        Self { size: START, growing: true, reported: false, since }
    }

    /// A load report says that `waiting` requests wait there; of ours there were up to `pending`.
    pub(crate) fn report(&mut self, waiting: u32, pending: u32) {
        if !std::mem::replace(&mut self.reported, true) {
            // What is there already is what it takes, until its queue says otherwise.
            self.size = self.size.max(f64::from(pending)).min(MAX);
        }
        let used = self.size * IN_USE <= f64::from(pending);
        if LONG_QUEUE <= waiting {
            self.size = (self.size * SHRINK).max(MIN);
            self.growing = false;
        } else if waiting <= SHORT_QUEUE && used {
            // Doubles until the first long queue, then goes by one.
            let step = if self.growing { self.size } else { 1.0 };
            self.size = (self.size + step).min(MAX);
        }
    }

    /// The server refused for load.
    pub(crate) fn refused(&mut self) {
        self.size = (self.size * SHRINK).max(MIN);
        self.growing = false;
    }

    /// Requests without a first token that may be there at `now`.
    pub(crate) fn size(&self, now: Time) -> u32 {
        let part = now.since(self.since).as_secs_f64() / SLOW_START.as_secs_f64();
        // A server that never reports, such as a plain service without a load page, isn't held to a
        // window that nothing could open.
        if !self.reported && 1.0 <= part {
            return MAX as u32;
        }
        (self.size * part.clamp(SLOW_START_PART, 1.0)).max(MIN) as u32
    }
}
