//! What the shell's threads publish and callers' connections read.

use std::sync::{
    Arc, OnceLock, PoisonError, RwLock,
    atomic::{AtomicBool, AtomicUsize, Ordering},
};

use shallotlead_table::snapshot::Snapshot;

use crate::{
    peers,
    shell::{clock::Clock, listing::Listing, tally::Tally, trail::Trail},
};

/// State that one thread of the shell writes and any thread reads.
#[derive(Debug)]
pub(crate) struct Shared {
    table: RwLock<Arc<Snapshot>>,
    addresses: RwLock<Arc<[Listing]>>,
    open: AtomicUsize,
    unsettled: AtomicUsize,
    draining: AtomicBool,
    gate: RwLock<()>,
    trail: Trail,
    tally: Tally,
    clock: Clock,
    peers: OnceLock<peers::inbox::Inbox>,
}

impl Shared {
    pub(crate) fn new(trail: Trail, clock: Clock) -> Self {
        Self {
            table: RwLock::default(),
            addresses: RwLock::new(Arc::from([])),
            open: AtomicUsize::new(0),
            unsettled: AtomicUsize::new(0),
            draining: AtomicBool::new(false),
            gate: RwLock::new(()),
            trail,
            tally: Tally::default(),
            clock,
            peers: OnceLock::new(),
        }
    }

    pub(crate) fn table(&self) -> Arc<Snapshot> {
        self.table.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    pub(crate) fn set_table(&self, table: Arc<Snapshot>) {
        *self.table.write().unwrap_or_else(PoisonError::into_inner) = table;
    }

    pub(crate) fn addresses(&self) -> Arc<[Listing]> {
        self.addresses.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    pub(crate) fn set_addresses(&self, addresses: Arc<[Listing]>) {
        *self.addresses.write().unwrap_or_else(PoisonError::into_inner) = addresses;
    }

    pub(crate) fn open(&self) -> usize {
        self.open.load(Ordering::Acquire)
    }

    /// Counts a request as open for as long as the answer lives.
    pub(crate) fn count(self: &Arc<Self>) -> Counted {
        self.open.fetch_add(1, Ordering::AcqRel);
        Counted { shared: self.clone() }
    }

    pub(crate) fn draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    pub(crate) fn set_draining(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// Runs `submit` either wholly before or wholly after [`Shared::drain`].
    ///
    /// Guards against a request that counts as open and is refused as "shutting down": the count
    /// and the message to the router's thread are two steps, and the word of the shutdown would
    /// come between them.
    pub(crate) fn before_drain<T>(&self, submit: impl FnOnce() -> T) -> T {
        let _gate = self.gate.read().unwrap_or_else(PoisonError::into_inner);
        submit()
    }

    /// Runs `drain` while no request is being submitted.
    pub(crate) fn drain(&self, drain: impl FnOnce()) {
        let _gate = self.gate.write().unwrap_or_else(PoisonError::into_inner);
        drain();
    }

    pub(crate) fn trail(&self) -> &Trail {
        &self.trail
    }

    pub(crate) fn tally(&self) -> &Tally {
        &self.tally
    }

    pub(crate) fn clock(&self) -> Clock {
        self.clock
    }

    /// Joins the shell with the node's thread, once.
    pub(crate) fn join(&self, peers: peers::inbox::Inbox) {
        if self.peers.set(peers).is_err() {
            log::error!("the shell is joined with a node already");
        }
    }

    /// Whether the shell is joined with a node.
    pub(crate) fn joined(&self) -> bool {
        self.peers.get().is_some()
    }

    /// Tells the node, if one is joined.
    pub(crate) fn tell_peers(&self, message: peers::message::Message) {
        if let Some(peers) = self.peers.get() {
            peers.send(message);
        }
    }

    /// Intent records that are not settled.
    pub(crate) fn unsettled(&self) -> usize {
        self.unsettled.load(Ordering::Acquire)
    }

    pub(crate) fn set_unsettled(&self, count: usize) {
        self.unsettled.store(count, Ordering::Release);
    }
}

/// A request that counts as open until this is dropped, whatever becomes of the thread that has it: a
/// shutdown waits for the count.
#[derive(Debug)]
pub(crate) struct Counted {
    shared: Arc<Shared>,
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.shared.open.fetch_sub(1, Ordering::AcqRel);
    }
}
