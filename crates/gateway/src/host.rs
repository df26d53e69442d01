//! What an instance takes from the machine that it runs on.

pub mod network;
pub mod sink;
pub(crate) mod system;

use std::{io, rc::Rc};

use metrics_exporter_prometheus::PrometheusHandle;

use crate::clock::{Clock, System};
use network::Network;
use sink::Sink;

/// Everything that an instance takes from its machine. With the same host, and the same order of events, an instance
/// does the same.
pub struct Host {
    /// The machine's clocks.
    pub clock: Rc<dyn Clock>,
    /// The machine's sockets.
    pub network: Box<dyn Network>,
    /// Where the log goes.
    pub log: Box<dyn Sink>,
    /// Renders the metrics that are recorded in this process.
    pub metrics: PrometheusHandle,
    /// Seed of all random numbers.
    pub seed: u64,
}

impl Host {
    /// The operating system.
    ///
    /// # Errors
    ///
    /// When the log, the metrics, the sockets or the random generator can't be opened.
    pub(crate) fn system() -> io::Result<Self> {
        Ok(Self {
            clock: Rc::new(System),
            network: Box::new(system::network::Network::open()?),
            log: Box::new(system::log::Writer::spawn()?),
            metrics: system::metrics::recorder().map_err(io::Error::other)?,
            seed: getrandom::u64().map_err(io::Error::other)?,
        })
    }
}
