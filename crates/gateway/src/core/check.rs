//! Checks of an exchange that are repeated at intervals, while its timers fire for other reasons as well.

use shallotlead_base::time::Time;

use crate::core::{Core, Timer, exchange::Exchange};

/// When a check is due next.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Check {
    due: Option<Time>,
}

impl Check {
    /// A check that is due at once.
    pub(crate) const AT_ONCE: Self = Self { due: Some(Time::ZERO) };

    /// Whether it is due, now or later.
    pub(crate) fn is_scheduled(self) -> bool {
        self.due.is_some()
    }

    /// Whether it is due now.
    pub(crate) fn is_due(self, now: Time) -> bool {
        self.due.is_some_and(|it| it <= now)
    }

    /// Has it not due until it is scheduled again.
    pub(crate) fn cancel(&mut self) {
        self.due = None;
    }
}

impl Core {
    /// Has one of the exchange's checks due at this time and not before, and sets a timer for that.
    pub(crate) fn schedule_check(
        &mut self,
        index: usize,
        due: Time,
        check: impl FnOnce(&mut Exchange) -> Option<&mut Check>,
    ) {
        let Some(exchange) = self.exchanges.get_mut(index) else { return };
        let serial = exchange.serial;
        let Some(check) = check(exchange) else { return };
        check.due = Some(due);
        self.set_timer(due, Timer::Exchange(index, serial));
    }
}
