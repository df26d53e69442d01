//! The table, reached as an operator's process would.

use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use shallotlead_base::{
    id::Version,
    store::{Call, Reply, Store},
};
use shallotlead_platform::{
    budget::{Rates, Sharers},
    client, http,
};
use shallotlead_table::{
    change::{Edit, Proposal},
    commit::Committer,
};

/// The table, as an operator's process reaches it.
#[derive(Debug)]
pub(crate) struct Table {
    client: client::Handle,
    committer: Committer,
    random: SmallRng,
}

/// Longest wait for an answer of the platform.
const TIMEOUT: Duration = Duration::from_secs(2);
const RATES: Rates = Rates { reads: 100.0, writes: 100.0, watches: 10 };

impl Table {
    /// The table in the object API at `platform`.
    pub(crate) fn open(platform: SocketAddr, seed: u64) -> io::Result<Self> {
        let settings =
            client::Settings { rates: RATES, sharers: Sharers { instances: 1, watchers: 1 }, seed };
        let client =
            client::open(settings, http::Http::new(&format!("http://{platform}"), TIMEOUT))?;
        let random = SmallRng::seed_from_u64(seed);
        Ok(Self { client, committer: Committer::default(), random })
    }

    /// Proposes a change and waits for its acceptance; returns the table's version.
    pub(crate) fn commit(
        &mut self,
        edits: Vec<Edit>,
    ) -> Result<Version, shallotlead_table::error::Error> {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let proposal = Proposal {
            id: self.random.random(),
            operator: Arc::from("demo"),
            at: u64::try_from(now.as_millis()).unwrap_or(u64::MAX),
            edits,
        };
        let accepted = self.committer.commit(&mut Objects(&self.client), &proposal)?;
        Ok(accepted.change.version)
    }
}

struct Objects<'a>(&'a client::Handle);

impl Store for Objects<'_> {
    fn call(&mut self, call: Call) -> Reply {
        self.0.call(call)
    }
}
