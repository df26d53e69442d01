//! A bound on the memory that request bodies take together.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Bytes that one permit stands for. A semaphore counts its permits in 32 bits where it is asked for
/// several at once.
const UNIT: usize = 1 << 10;

/// Memory for request bodies.
///
/// Guards against an organisation that opens many connections and sends the largest body on each: no
/// single bound is crossed, and the instance ends for want of memory. The bound holds because bytes
/// are taken before they are read, and given back when the request is done.
#[derive(Debug)]
pub(crate) struct Budget(Arc<Semaphore>);

/// Memory that one body takes, given back when dropped.
#[derive(Debug)]
pub(crate) struct Share(OwnedSemaphorePermit);

impl Budget {
    pub(crate) fn new(bytes: usize) -> Self {
        Self(Arc::new(Semaphore::new(bytes / UNIT)))
    }

    /// Memory for up to `bytes`, while there is some.
    pub(crate) fn take(&self, bytes: usize) -> Option<Share> {
        Arc::clone(&self.0).try_acquire_many_owned(units(bytes)).ok().map(Share)
    }
}

impl Share {
    /// Gives back what goes beyond `bytes`.
    pub(crate) fn shrink(&mut self, bytes: usize) {
        let excess = self.0.num_permits().saturating_sub(units(bytes) as usize);
        drop(self.0.split(excess));
    }
}

fn units(bytes: usize) -> u32 {
    u32::try_from(bytes.div_ceil(UNIT)).unwrap_or(u32::MAX)
}
