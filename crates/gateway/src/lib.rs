//! An instance on one reactor thread: the data path from callers to backend servers, and the duties
//! that instances share through the platform's store.
//!
//! Decisions are pure modules ([`placement`], [`budget`], [`lease`], [`rollout`], [`gossip`],
//! [`broadcast`], [`pool`], [`publication`]); the reactor carries them out. What the platform calls things is known to a
//! [`adapter::Adapter`] alone.

pub mod admission;
pub mod budget;
pub mod config;
pub mod catchup;
pub mod connectivity;
pub mod copies;
mod clock;
mod core;
pub mod freshness;
pub mod adapter;
pub mod events;
pub mod gossip;
pub mod http;
pub mod json_log;
pub mod lease;
pub mod publication;
mod net;
pub mod cost;
mod deflate;
pub mod placement;
pub mod pool;
pub mod quarantine;
pub mod rate_limit;
pub mod rollout;
pub mod broadcast;
pub mod settings;
pub mod uplink;

use std::{
    io,
    sync::atomic::Ordering,
    thread::{self, JoinHandle},
};

use adapter::Adapter;
use core::{Core, Signals};
use settings::Settings;

/// Runs one instance on this thread until a signal tells the process to leave.
pub fn run(settings: Settings, dialect: Box<dyn Adapter>) -> io::Result<()> {
    let orders = Signals::from_signals()?;
    core::run(Core::bind(settings, dialect, orders)?)
}

/// A running instance on a thread of its own. Dropping it ends it at once, as a kill would.
#[derive(Debug)]
pub struct Instance {
    orders: Signals,
    thread: Option<JoinHandle<io::Result<()>>>,
}

/// Binds all addresses and starts to serve.
pub fn spawn(settings: Settings, dialect: Box<dyn Adapter + Send>) -> io::Result<Instance> {
    let orders = Signals::default();
    let theirs = orders.clone();
    let (tx, rx) = std::sync::mpsc::channel();
    let thread = thread::Builder::new().name("instance".into()).spawn(move || {
        let bound = Core::bind(settings, dialect, theirs);
        let failure = bound.as_ref().err().map(|it| io::Error::new(it.kind(), it.to_string()));
        // Whoever spawns waits for this.
        let _ = tx.send(failure);
        core::run(bound?)
    })?;
    match rx.recv() {
        Ok(None) => Ok(Instance { orders, thread: Some(thread) }),
        Ok(Some(err)) => Err(err),
        Err(err) => Err(io::Error::other(err)),
    }
}

impl Instance {
    /// Tells it to leave in good order, and waits until it has.
    pub fn shut_down(mut self) -> io::Result<()> {
        self.orders.shutdown.store(true, Ordering::Relaxed);
        self.join()
    }

    /// Tells it to leave in good order.
    pub fn begin_shutdown(&self) {
        self.orders.shutdown.store(true, Ordering::Relaxed);
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
        self.orders.abort.store(true, Ordering::Relaxed);
        if let Err(err) = self.join() {
            log::error!("an instance ended by an error: {err}");
        }
    }
}
