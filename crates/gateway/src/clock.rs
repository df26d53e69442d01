//! The reactor's clocks.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};
use shallotlead_base::time::Time;

/// Reading of the clock when the machine starts, in microseconds. Thirty days, so that events before the
/// start, such as the publication of weights, have a time as well.
const ORIGIN_MICROS: u64 = 30 * 24 * 3_600 * 1_000_000;

/// Time since the machine's start plus the origin. It includes time in which the machine was suspended: a clock
/// that stops meanwhile would let a lease outlive its term.
pub(crate) fn now() -> Time {
    let it = clock_gettime(ClockId::Boottime);
    Time(ORIGIN_MICROS + it.tv_sec as u64 * 1_000_000 + it.tv_nsec as u64 / 1_000)
}

/// Converts a Unix time in milliseconds to the reactor's time, by the machine's wall clock as it is set `now`.
/// A time in the future becomes `now`.
pub(crate) fn at_unix_ms(now: Time, unix_ms: u64) -> Time {
    now - Duration::from_millis(self::unix_ms().saturating_sub(unix_ms))
}

/// The wall clock, in Unix milliseconds. It may be adjusted, and differs between machines.
pub(crate) fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
