//! How many servers callers keep busy, by model, over all instances.

use std::collections::BTreeMap;

use shallotlead_base::{hash::Map, name};
use shallotlead_fleet::{
    duty::planner::Demand,
    load::report::{Report, Summary},
};
use shallotlead_table::snapshot::Snapshot;

/// Requests that keep one server busy: about half of what engines commonly run together, as a full
/// batch leaves no room for the next burst.
const REQUESTS_PER_SERVER: f64 = 8.0;

/// What was last heard of load.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    servers: Map<name::Server, u32>,
    centres: Map<name::Centre, Summary>,
}

impl Tally {
    /// A server of this data centre reported.
    pub(crate) fn report(&mut self, report: &Report) {
        let requests = report.waiting.saturating_add(report.running);
        self.servers.insert(report.server.clone(), requests);
    }

    /// Another data centre's sums.
    pub(crate) fn summary(&mut self, summary: Summary) {
        self.centres.insert(summary.centre.clone(), summary);
    }

    /// Forgets servers that are not in `table`.
    pub(crate) fn retain(&mut self, table: &Snapshot) {
        self.servers.retain(|it, _| table.servers.contains_key(it));
    }

    /// The demand for each model.
    pub(crate) fn demand(&self, table: &Snapshot) -> Vec<Demand> {
        let mut requests = BTreeMap::<name::Model, u64>::new();
        for (server, count) in &self.servers {
            let Some(row) = table.servers.get(server) else { continue };
            *requests.entry(row.model.clone()).or_default() += u64::from(*count);
        }
        for (model, total) in self.centres.values().flat_map(|it| &it.totals) {
            let count = u64::from(total.waiting) + u64::from(total.running);
            *requests.entry(model.clone()).or_default() += count;
        }
        let servers = |count| count as f64 / REQUESTS_PER_SERVER;
        let demand = |(model, count)| Demand { model, adapter: None, servers: servers(count) };
        requests.into_iter().map(demand).collect()
    }
}
