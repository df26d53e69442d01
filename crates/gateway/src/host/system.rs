//! The operating system as the host.

pub(super) mod log;
pub(super) mod metrics;
pub(crate) mod network;
