//! Short calls to backend servers that nobody waits for: cancels and exports.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError, mpsc},
    thread,
};

use shallotlead_base::id::Attempt;
use shallotlead_policy::chain::Block;

use crate::backend::{Backend, failure::Failure};

/// Threads that run errands. A server that doesn't answer holds one for the call's timeout.
const THREADS: usize = 4;
/// Errands that may wait. Further ones are dropped: an attempt whose cancel is lost ends when its
/// connection is closed, and a lost export is only a lost chance.
const WAITING: usize = 1_024;

/// One call.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Errand {
    /// End an attempt at its server.
    Cancel {
        /// Where the server listens.
        address: SocketAddr,
        /// The attempt.
        attempt: Attempt,
    },
    /// Write a prefix's KV cache to the KV store.
    Export {
        /// Where the server listens.
        address: SocketAddr,
        /// Last block of the prefix.
        block: Block,
    },
}

impl Errand {
    fn run(self, backend: &dyn Backend) -> Result<(), Failure> {
        match self {
            Errand::Cancel { address, attempt } => backend.cancel(address, attempt),
            Errand::Export { address, block } => backend.export(address, block),
        }
    }
}

/// Starts the threads. They end when the sender is dropped.
pub(crate) fn spawn(backend: &Arc<dyn Backend>) -> io::Result<mpsc::SyncSender<Errand>> {
    let (tx, rx) = mpsc::sync_channel(WAITING);
    let rx = Arc::new(Mutex::new(rx));
    for _ in 0..THREADS {
        let rx = rx.clone();
        let backend = backend.clone();
        thread::Builder::new().name("errand".to_owned()).spawn(move || run(&rx, &*backend))?;
    }
    Ok(tx)
}

fn run(rx: &Mutex<mpsc::Receiver<Errand>>, backend: &dyn Backend) {
    loop {
        let next = rx.lock().unwrap_or_else(PoisonError::into_inner).recv();
        let Ok(errand) = next else { return };
        if let Err(error) = errand.run(backend) {
            log::debug!("errand failed: {errand:?}: {error}");
        }
    }
}
