//! An instance that its owner runs turn by turn, as in an emulation.

use std::{io, sync::atomic::Ordering, time::Duration};

use crate::{
    adapter::Adapter,
    core::{Core, Signals, Wait},
    host::Host,
    settings::Settings,
};

/// A running instance without a thread of its own. Dropping it closes its sockets, as the end of a process does.
pub struct Reactor {
    core: Core,
    signals: Signals,
    wait: Wait,
}

impl Reactor {
    /// Binds the addresses of an instance.
    ///
    /// # Errors
    ///
    /// When an address can't be bound.
    pub fn open(settings: Settings, adapter: Box<dyn Adapter>, host: Host) -> io::Result<Self> {
        let signals = Signals::default();
        let mut core = Core::bind(settings, adapter, signals.clone(), host)?;
        core.log_start();
        let wait = core.begin_wait();
        Ok(Self { core, signals, wait })
    }

    /// Time after which the next turn is due, unless a socket is ready before.
    pub fn timeout(&self) -> Duration {
        self.wait.timeout
    }

    /// Handles events and what is due. Returns whether the instance goes on.
    ///
    /// # Errors
    ///
    /// When polling the sockets fails.
    pub fn turn(&mut self) -> io::Result<bool> {
        self.core.turn(self.wait)?;
        if self.core.has_finished() {
            self.core.log_stop();
            return Ok(false);
        }
        self.wait = self.core.begin_wait();
        Ok(true)
    }

    /// Starts a graceful shutdown with the next turn.
    pub fn begin_shutdown(&self) {
        self.signals.shutdown.store(true, Ordering::Relaxed);
    }
}
