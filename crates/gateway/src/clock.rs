//! The reactor's clocks.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};
use shallotlead_base::time::Time;

/// What the clock shows when the machine starts, in microseconds: thirty days, so that what happened before that, as
/// weights that were named, has its time as well.
const ORIGIN: u64 = 30 * 24 * 3_600 * 1_000_000;

/// Time since the machine started and the origin, with the time in which it was suspended. A clock that stands
/// still while the machine does would let a lease outlive its term.
pub(crate) fn now() -> Time {
    let it = clock_gettime(ClockId::Boottime);
    Time(ORIGIN + it.tv_sec as u64 * 1_000_000 + it.tv_nsec as u64 / 1_000)
}

/// When the time of day was `unix_ms`, as this machine's clock is set `now`; the future counts as now.
pub(crate) fn at_unix_ms(now: Time, unix_ms: u64) -> Time {
    now - Duration::from_millis(self::unix_ms().saturating_sub(unix_ms))
}

/// The time of day, in Unix milliseconds. It may be set, and differs between machines.
pub(crate) fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
