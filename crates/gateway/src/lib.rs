//! The gateway. One instance runs on one reactor thread, which forwards callers' requests to backend servers
//! and takes part in the tasks that instances share through the platform's store.
//!
//! All that an instance takes from its machine is in [`host::Host`].
//!
//! The modules that make decisions do no I/O ([`placement`], [`budget`], [`lease`], [`rollout`], [`gossip`],
//! [`broadcast`], [`memory`], [`pool`], [`publication`], [`quota`], [`shutdown`]); the reactor executes the decisions.
//! All knowledge of the platform's names and formats is in the implementation of [`adapter::Adapter`].

pub mod adapter;
pub mod admission;
pub mod answer_time;
pub mod broadcast;
pub mod budget;
pub mod build;
pub mod catchup;
pub mod clock;
pub mod config;
pub mod connectivity;
pub mod copies;
mod core;
pub mod cost;
pub mod deadline;
mod deflate;
pub mod events;
pub mod freshness;
pub mod generation;
pub mod gossip;
pub mod host;
pub mod http;
pub mod json_log;
mod learning;
pub mod lease;
pub mod limits;
pub mod memory;
mod net;
pub mod placement;
pub mod pool;
pub mod publication;
pub mod quarantine;
pub mod quota;
pub mod rate_limit;
pub mod reach;
pub mod reactor;
pub mod rollout;
pub mod settings;
pub mod shutdown;
pub mod start_delay;
pub mod uplink;

use std::{
    io,
    sync::atomic::Ordering,
    thread::{self, JoinHandle},
};

use adapter::Adapter;
use core::{Core, Signals};
use host::Host;
use settings::Settings;

/// Runs one instance on this thread until SIGTERM or SIGINT shuts it down.
pub fn run(settings: Settings, adapter: Box<dyn Adapter>) -> io::Result<()> {
    let signals = Signals::register()?;
    core::run(Core::bind(settings, adapter, signals, Host::system()?)?)
}

/// An instance that runs on its own thread. Dropping it stops it at once, without a graceful shutdown.
#[derive(Debug)]
pub struct Instance {
    signals: Signals,
    thread: Option<JoinHandle<io::Result<()>>>,
}

/// Starts an instance on a new thread. Returns once it has bound its addresses.
pub fn spawn(settings: Settings, adapter: Box<dyn Adapter + Send>) -> io::Result<Instance> {
    let signals = Signals::default();
    let thread_signals = signals.clone();
    let (tx, rx) = std::sync::mpsc::channel();
    let thread = thread::Builder::new().name("instance".into()).spawn(move || {
        let bound = Host::system().and_then(|it| Core::bind(settings, adapter, thread_signals, it));
        let failure = bound.as_ref().err().map(|it| io::Error::new(it.kind(), it.to_string()));
        // The receiver waits for this message, so that sending can't fail.
        let _ = tx.send(failure);
        core::run(bound?)
    })?;
    match rx.recv() {
        Ok(None) => Ok(Instance { signals, thread: Some(thread) }),
        Ok(Some(err)) => Err(err),
        Err(err) => Err(io::Error::other(err)),
    }
}

impl Instance {
    /// Shuts the instance down gracefully, and waits until its thread has ended.
    pub fn shut_down(mut self) -> io::Result<()> {
        self.signals.shutdown.store(true, Ordering::Relaxed);
        self.join()
    }

    /// Starts a graceful shutdown, and returns at once.
    pub fn begin_shutdown(&self) {
        self.signals.shutdown.store(true, Ordering::Relaxed);
    }

    fn join(&mut self) -> io::Result<()> {
        match self.thread.take().map(JoinHandle::join) {
            Some(Ok(result)) => result,
            Some(Err(_)) => Err(io::Error::other("the instance's thread panicked")),
            None => Ok(()),
        }
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.signals.abort.store(true, Ordering::Relaxed);
        if let Err(err) = self.join() {
            log::error!("instance stopped with an error: {err}");
        }
    }
}
