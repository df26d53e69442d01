//! The instance's shutdown: begins it on a signal, ends the requests that are left, and decides when the process exits.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

use crate::{
    core::{Core, Timer, refusal::Refusal},
    shutdown::Shutdown,
};

/// Flags by which other threads and signal handlers control the event loop.
#[derive(Clone, Debug, Default)]
pub(crate) struct Signals {
    /// Shut down gracefully.
    pub(crate) shutdown: Arc<AtomicBool>,
    /// The settings file may have changed.
    pub(crate) reload: Arc<AtomicBool>,
    /// Exit at once, as after SIGKILL.
    pub(crate) abort: Arc<AtomicBool>,
}

impl Signals {
    /// Registers handlers that set the flags on SIGTERM, SIGINT and SIGHUP.
    pub(crate) fn register() -> io::Result<Self> {
        let signals = Self::default();
        for signal in [SIGTERM, SIGINT] {
            signal_hook::flag::register(signal, Arc::clone(&signals.shutdown))?;
        }
        signal_hook::flag::register(SIGHUP, Arc::clone(&signals.reload))?;
        Ok(signals)
    }
}

impl Core {
    pub(super) fn handle_signals(&mut self) {
        if self.signals.reload.swap(false, Ordering::Relaxed) {
            self.log.line(self.now, "reload").text("result", "settings need a restart");
        }
        if self.shutdown.is_none() && self.signals.shutdown.load(Ordering::Relaxed) {
            let shutdown = Shutdown::new(self.now, self.settings.shutdown_grace);
            self.shutdown = Some(shutdown);
            self.set_timer(shutdown.ends_requests_at(), Timer::RequestsEnd);
            self.set_timer(shutdown.exits_at(), Timer::Exit);
            self.members.me_mut().is_leaving = true;
            self.members.me_mut().is_ready = false;
            self.lease.release();
            self.rollout.clear();
            self.log.line(self.now, "leaving").number("open_requests", self.exchanges.len());
            self.broadcast_membership();
        }
    }

    /// Ends the requests that are left at the end of a shutdown's grace period.
    pub(super) fn end_requests(&mut self) {
        for index in self.exchanges_where(|_| true) {
            self.end_unfinished(index, Refusal::ShuttingDown, 502);
        }
        self.refuse_incoming(Refusal::ShuttingDown);
    }

    /// Whether the shutdown has gone on for so long that no more requests are accepted.
    pub(super) fn has_stopped_accepting(&self) -> bool {
        self.shutdown.is_some_and(|it| !it.is_accepting(self.now))
    }

    /// Whether the event loop should end.
    pub(crate) fn has_finished(&self) -> bool {
        if self.signals.abort.load(Ordering::Relaxed) {
            return true;
        }
        let Some(shutdown) = self.shutdown else { return false };
        shutdown.exits_at() <= self.now
            || (shutdown.may_exit(self.now)
                && self.exchanges.is_empty()
                && !self.is_receiving_bodies()
                && self.has_sent_all())
    }

    /// Whether all bytes to all peers were handed to the kernel.
    fn has_sent_all(&self) -> bool {
        self.roles.keys().all(|it| self.net.get(*it).is_none_or(|it| it.unsent_bytes() == 0))
    }
}
