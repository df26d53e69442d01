//! What every connection of one listener shares.

use std::sync::{
    Arc,
    atomic::{AtomicU32, Ordering},
};

use shallotlead_base::{hash, id::Request};

use crate::{
    caller::budget::Budget, cursor::Signer, keys::Index, settings::Settings, shell::Handle,
};

/// Shared by all connections of one listener.
#[derive(Debug)]
pub(crate) struct Context {
    /// The instance's settings.
    pub(crate) settings: Settings,
    /// The way to the decisions.
    pub(crate) shell: Handle,
    /// From API keys to organisations.
    pub(crate) keys: Index,
    /// Memory for request bodies.
    pub(crate) budget: Budget,
    /// Makes and checks event ids.
    pub(crate) signer: Arc<Signer>,
    life: u64,
    counter: AtomicU32,
}

impl Context {
    pub(crate) fn new(settings: Settings, shell: Handle) -> Self {
        let signer = Arc::new(Signer::new(&settings.keys));
        let budget = Budget::new(settings.callers.max_buffered_bytes);
        let identity = shell.identity();
        let life = hash::seeded(identity.instance.as_str().as_bytes(), identity.incarnation.0);
        Self {
            settings,
            shell,
            keys: Index::default(),
            budget,
            signer,
            life,
            counter: AtomicU32::new(rand::random()),
        }
    }

    /// A new request id: the instance and its life, a counter, and random bits against guessing.
    pub(crate) fn request(&self) -> Request {
        let counter = self.counter.fetch_add(1, Ordering::Relaxed);
        let low = u64::from(counter) << 32 | u64::from(rand::random::<u32>());
        Request(u128::from(self.life) << 64 | u128::from(low))
    }
}
