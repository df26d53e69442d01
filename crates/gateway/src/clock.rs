//! The reactor's clock.

use rustix::time::{ClockId, clock_gettime};
use shallotlead_base::time::Time;

/// Time since the machine started, with the time in which it was suspended. A clock that stands
/// still while the machine does would let a lease outlive its term.
pub(crate) fn now() -> Time {
    let it = clock_gettime(ClockId::Boottime);
    Time(it.tv_sec as u64 * 1_000_000 + it.tv_nsec as u64 / 1_000)
}
