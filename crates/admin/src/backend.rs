//! What the administration API needs of the daemon.

use std::{sync::Arc, time::Duration};

use shallotlead_base::{
    id::{Request, Version},
    store::Store,
};
use shallotlead_table::{change::Change, snapshot::Snapshot};

use crate::{
    api::{Decisions, Figures, Status},
    key::Operator,
};

/// The daemon behind the API.
pub trait Backend: Send + Sync {
    /// Operators and their keys.
    fn operators(&self) -> &[Operator];

    /// The table in force at this instance.
    fn table(&self) -> Arc<Snapshot>;

    /// Waits until the table in force is later than `version`, for at most `wait`; returns it.
    fn wait(&self, version: Version, wait: Duration) -> Arc<Snapshot>;

    /// A connection to the platform's object store.
    fn store(&self) -> Box<dyn Store + '_>;

    /// A change was accepted through this instance; its peers can be told without the platform.
    fn accepted(&self, change: &Change);

    /// How the whole system is.
    fn status(&self) -> Status;

    /// Figures of this instance.
    fn figures(&self) -> Figures;

    /// Decisions on one request that this instance took.
    fn decisions(&self, request: Request) -> Decisions;

    /// Up to `count` of the latest decisions, newest first.
    fn latest_decisions(&self, count: usize) -> Decisions;

    /// Random number for a change's id.
    fn random(&self) -> u128;
}
