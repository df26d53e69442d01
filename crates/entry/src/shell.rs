//! The threads around the pure decisions, and the handle by which callers' connections reach them.

mod attempt;
pub(crate) mod clock;
mod delivery;
mod driver;
mod errand;
pub(crate) mod handle;
pub(crate) mod identity;
pub(crate) mod inbox;
pub(crate) mod listing;
mod lives;
pub(crate) mod message;
mod open;
mod record;
pub(crate) mod sentry;
mod shared;
mod stage;
mod submission;
pub(crate) mod tally;
#[cfg(test)]
mod tests;
mod trail;

use std::{
    collections::VecDeque,
    io,
    sync::{Arc, mpsc},
};

use shallotlead_base::hash::{Map, Set};
use shallotlead_policy::router::Router;

use self::{clock::Clock, driver::Driver, inbox::Inbox, lives::Lives, trail::Trail};
pub(crate) use self::{handle::Handle, identity::Identity, listing::Listing, shared::Shared};
use crate::backend::Backend;

/// What the shell is opened with.
#[derive(Debug)]
pub(crate) struct Config {
    /// This instance.
    pub(crate) identity: Identity,
    /// Seed of the router's random choices.
    pub(crate) seed: u64,
    /// Decisions kept for explanations.
    pub(crate) explained: usize,
    /// The backend servers' adapter.
    pub(crate) backend: Arc<dyn Backend>,
}

/// Starts the shell's threads.
pub(crate) fn spawn(config: Config) -> io::Result<Handle> {
    let Config { identity, seed, explained, backend } = config;
    let clock = Clock::new();
    let shared = Arc::new(Shared::new(Trail::new(explained), clock));
    let (tx, rx) = mpsc::channel();
    let inbox = Inbox::new(Arc::new(tx));
    let errands = errand::spawn(&backend)?;
    let driver = Driver {
        router: Router::open(seed),
        clock,
        shared: shared.clone(),
        backend,
        errands,
        inbox: inbox.downgrade(),
        lives: Lives::default(),
        loaded: Map::default(),
        open: Map::default(),
        drain: driver::Drain::default(),
        demand_due: clock.now(),
        demanded: false,
        running: Map::default(),
        asking: VecDeque::new(),
        settling: Set::default(),
    };
    driver.spawn(rx)?;
    shared.set_addresses(Arc::from([Listing {
        instance: identity.instance.clone(),
        centre: identity.centre.clone(),
        region: identity.region.clone(),
        address: identity.address,
    }]));
    Ok(Handle::new(Arc::new(identity), inbox, shared))
}
