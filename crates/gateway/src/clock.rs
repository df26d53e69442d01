//! The clocks that an instance reads.

use std::{
    fmt::Debug,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use rustix::time::{ClockId, clock_gettime};
use shallotlead_base::time::Time;

/// Reading of the clock when the machine starts, in microseconds. Thirty days, so that events before the
/// start, such as the publication of weights, have a time as well.
pub const ORIGIN: Time = Time(30 * 24 * 3_600 * 1_000_000);

/// The clocks of one machine.
pub trait Clock: Debug {
    /// Time since the machine's start plus [`ORIGIN`]. It includes time in which the machine was suspended: a clock
    /// that stops meanwhile would let a lease outlive its term.
    fn now(&self) -> Time;
    /// The wall clock, counted from the start of 1970. It may be adjusted, and differs between machines.
    fn unix_time(&self) -> Duration;
}

impl dyn Clock + '_ {
    /// Converts a Unix time in milliseconds to the reactor's time, by the machine's wall clock as it is set `now`.
    /// A time in the future becomes `now`.
    pub(crate) fn at_unix_ms(&self, now: Time, unix_ms: u64) -> Time {
        now - Duration::from_millis(self.unix_ms().saturating_sub(unix_ms))
    }

    /// The wall clock, in Unix milliseconds.
    pub(crate) fn unix_ms(&self) -> u64 {
        self.unix_time().as_millis() as u64
    }
}

/// The clocks of the operating system.
#[derive(Clone, Copy, Debug)]
pub(crate) struct System;

impl Clock for System {
    fn now(&self) -> Time {
        let it = clock_gettime(ClockId::Boottime);
        Time(ORIGIN.0 + it.tv_sec as u64 * 1_000_000 + it.tv_nsec as u64 / 1_000)
    }

    fn unix_time(&self) -> Duration {
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
    }
}
