//! Ending a blocking call from another thread.

use std::{
    fmt,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use shallotlead_base::time::Time;

type Stop = Box<dyn FnOnce() + Send>;

/// Shared by the thread that makes a call and those that may end it.
pub(crate) struct Control {
    cancelled: AtomicBool,
    deadline: AtomicU64,
    stop: Mutex<Option<Stop>>,
}

impl Control {
    /// A control whose call ends at `deadline` unless it is moved.
    pub(crate) fn new(deadline: Time) -> Self {
        Self {
            cancelled: AtomicBool::new(false),
            deadline: AtomicU64::new(deadline.0),
            stop: Mutex::new(None),
        }
    }

    /// Sets how the call's connection is shut. Runs `stop` at once when the call was cancelled.
    pub(crate) fn on_cancel(&self, stop: impl FnOnce() + Send + 'static) {
        let mut slot = self.stop.lock().unwrap_or_else(PoisonError::into_inner);
        if self.cancelled() {
            drop(slot);
            stop();
            return;
        }
        *slot = Some(Box::new(stop));
    }

    /// Ends the call: a blocked read or write returns with an error.
    pub(crate) fn cancel(&self) {
        let stop = {
            let mut slot = self.stop.lock().unwrap_or_else(PoisonError::into_inner);
            self.cancelled.store(true, Ordering::Release);
            slot.take()
        };
        if let Some(stop) = stop {
            stop();
        }
    }

    /// Whether the call was cancelled.
    pub(crate) fn cancelled(&self) -> bool {
        self.cancelled.load(Ordering::Acquire)
    }

    /// Moves the point at which the call must have made progress.
    pub(crate) fn set_deadline(&self, deadline: Time) {
        self.deadline.store(deadline.0, Ordering::Release);
    }

    /// Cancels the call when its deadline has passed.
    pub(crate) fn check(&self, now: Time) {
        if self.deadline.load(Ordering::Acquire) <= now.0 && !self.cancelled() {
            self.cancel();
        }
    }
}

impl fmt::Debug for Control {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Control")
            .field("cancelled", &self.cancelled)
            .field("deadline", &self.deadline)
            .finish_non_exhaustive()
    }
}
