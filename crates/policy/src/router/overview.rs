//! What the router shows to operators.

use shallotlead_base::time::Time;

use super::Router;
use crate::overview::{Overview, Prefix, Server};

/// Hot prefixes that are shown.
const PREFIXES: usize = 8;

impl Router {
    /// Servers, queues, hot prefixes and limits as they are now.
    pub fn overview(&mut self, now: Time) -> Overview {
        let server = |it: &shallotlead_table::server::Server| {
            let row = self.servers.get(&it.name);
            Server {
                name: it.name.clone(),
                state: row.map(|it| it.state),
                inflight: row.map_or(0, |it| it.inflight),
                seen: row.and_then(|it| it.seen(now)),
            }
        };
        let prefix = |(block, rate)| Prefix { block, rate, replicas: self.planner.replicas(block) };
        Overview {
            servers: self.table.servers.values().map(server).collect(),
            waiting: self.pools.values().map(|it| it.queue.len()).sum(),
            prefixes: self.heat.hottest(now, PREFIXES).into_iter().map(prefix).collect(),
            limits: self.ledger.limits(now),
        }
    }
}
