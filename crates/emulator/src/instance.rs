//! An instance: the gateway's own reactor on an emulated machine.

use std::{io, rc::Rc};

use metrics_exporter_prometheus::PrometheusBuilder;
use shallotlead_base::time::Time;
use shallotlead_gateway::{host::Host, reactor::Reactor, settings::Settings};

use crate::{
    clock::Machine,
    format::Format,
    journal::Journal,
    network::Handle,
    process::{Next, Process},
};

/// A running instance.
pub(crate) struct Instance(Reactor);

impl Instance {
    /// Starts an instance.
    ///
    /// # Errors
    ///
    /// When an address is in use.
    pub(crate) fn open(
        settings: Settings,
        machine: Machine,
        network: Handle,
        journal: Journal,
        seed: u64,
    ) -> io::Result<Self> {
        let host = Host {
            clock: Rc::new(machine),
            network: Box::new(network),
            log: Box::new(journal),
            // It isn't the process's recorder, so that nothing is recorded.
            metrics: PrometheusBuilder::new().build_recorder().handle(),
            seed,
        };
        Reactor::open(settings, Box::new(Format), host).map(Self)
    }
}

impl Process for Instance {
    fn turn(&mut self, now: Time) -> Next {
        match self.0.turn() {
            Ok(true) => Next::At(now + self.0.timeout()),
            Ok(false) | Err(_) => Next::Ended,
        }
    }

    fn begin_shutdown(&mut self) {
        self.0.begin_shutdown();
    }
}
