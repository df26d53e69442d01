//! An instance on one reactor thread: the data path from callers to backend servers, and the duties
//! that instances share through the platform's store.
//!
//! Decisions are pure modules ([`placement`], [`budget`], [`lease`], [`rollout`], [`gossip`],
//! [`pool`]); the reactor carries them out. What the platform calls things is known to a
//! [`dialect::Dialect`] alone.

pub mod admission;
pub mod budget;
pub mod catalog;
mod clock;
mod core;
pub mod dialect;
pub mod events;
pub mod gossip;
pub mod http;
pub mod journal;
pub mod lease;
mod net;
pub mod placement;
pub mod pool;
pub mod rollout;
pub mod settings;

use std::io;

use dialect::Dialect;
use settings::Settings;

/// Runs one instance until it is told to leave by a signal.
pub fn run(settings: Settings, dialect: Box<dyn Dialect>) -> io::Result<()> {
    core::run(settings, dialect)
}
