//! Short numbers in place of names, which sender and receiver derive from the table.

use shallotlead_base::name;
use shallotlead_table::snapshot::Snapshot;

/// Numbers of one data centre's servers and of the models under one table.
#[derive(Debug)]
pub(crate) struct Numbers {
    /// Equal digests mean equal numbers.
    pub(crate) digest: u32,
    servers: Vec<name::Server>,
    models: Vec<name::Model>,
}

impl Numbers {
    /// The numbers that are used in `centre`. Those of models are the same in all data centres.
    pub(crate) fn new(table: &Snapshot, centre: &name::Centre) -> Self {
        let servers = table.servers.values().filter(|it| it.centre == *centre);
        let servers = servers.map(|it| it.name.clone()).collect::<Vec<_>>();
        let models = table.models.keys().cloned().collect::<Vec<_>>();
        // The digest covers the servers of all data centres, so that it is also equal between them and
        // fits summaries.
        let all = table.servers.values().flat_map(|it| [it.name.as_str(), it.centre.as_str()]);
        let digest = super::digest(all.chain(models.iter().map(|it| it.as_str())));
        Self { digest: digest as u32, servers, models }
    }

    pub(crate) fn server(&self, number: u16) -> Option<&name::Server> {
        self.servers.get(usize::from(number))
    }

    pub(crate) fn server_number(&self, name: &name::Server) -> Option<u16> {
        self.servers.binary_search(name).ok().and_then(|it| u16::try_from(it).ok())
    }

    pub(crate) fn model(&self, number: u16) -> Option<&name::Model> {
        self.models.get(usize::from(number))
    }

    pub(crate) fn model_number(&self, name: &name::Model) -> Option<u16> {
        self.models.binary_search(name).ok().and_then(|it| u16::try_from(it).ok())
    }
}
