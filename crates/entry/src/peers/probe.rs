//! One look at servers that others keep, for an instance that has just started.

use std::{net::SocketAddr, sync::Arc, thread};

use rand::{SeedableRng, rngs::SmallRng, seq::IteratorRandom};
use shallotlead_base::name;
use shallotlead_policy::input::State;
use shallotlead_table::snapshot::Snapshot;

use crate::{
    backend::{Backend, failure::Failure},
    shell::{clock::Clock, inbox::WeakInbox},
};

/// Most servers of one model that are asked: enough to begin with, and few at any size of fleet.
const SAMPLE: usize = 16;
/// Stack of a thread that asks, in bytes.
const STACK: usize = 256 << 10;

/// Asks some servers of each model in `table` for their health, each once.
///
/// Guards against a start in silence: an instance hears of servers from those that keep them, and
/// until the first word came it refused every request for want of a server. It showed for up to
/// three seconds after a restart. The guard holds because a server's own answer needs no peer.
pub(crate) fn spawn(
    backend: &Arc<dyn Backend>,
    router: &WeakInbox,
    clock: Clock,
    table: &Snapshot,
    seed: u64,
) {
    let mut random = SmallRng::seed_from_u64(seed);
    for model in table.models.keys() {
        let servers = table.servers.values().filter(|it| it.model == *model);
        for server in servers.choose_multiple(&mut random, SAMPLE) {
            let probe = Probe {
                backend: backend.clone(),
                router: router.clone(),
                clock,
                server: server.name.clone(),
                address: server.address,
            };
            let thread = thread::Builder::new().name("probe".to_owned()).stack_size(STACK);
            if let Err(error) = thread.spawn(move || probe.run()) {
                log::error!("no thread to probe {}: {error}", server.name);
            }
        }
    }
}

struct Probe {
    backend: Arc<dyn Backend>,
    router: WeakInbox,
    clock: Clock,
    server: name::Server,
    address: SocketAddr,
}

impl Probe {
    fn run(self) {
        let asked = self.clock.now();
        let state = match self.backend.health(self.address) {
            Ok(health) => health.state(),
            Err(Failure::Unreachable) => State::Down,
            // It may only be slow; whoever keeps it will tell.
            Err(_) => return,
        };
        if let Some(router) = self.router.upgrade() {
            router.found(&self.server, state, asked);
        }
    }
}
