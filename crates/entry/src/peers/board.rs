//! What the node's thread publishes for operators.

use std::sync::{Arc, PoisonError, RwLock};

use shallotlead_fleet::{membership::fact::Status, view::View};

/// The members and the versions in force, as last known.
#[derive(Debug, Default)]
pub(crate) struct Board {
    view: RwLock<Option<Arc<View>>>,
    centres: RwLock<Vec<Status>>,
}

impl Board {
    pub(crate) fn set_view(&self, view: Arc<View>) {
        *self.view.write().unwrap_or_else(PoisonError::into_inner) = Some(view);
    }

    /// The members, once the node has run.
    pub(crate) fn view(&self) -> Option<Arc<View>> {
        self.view.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    pub(crate) fn set_centres(&self, centres: Vec<Status>) {
        *self.centres.write().unwrap_or_else(PoisonError::into_inner) = centres;
    }

    /// Versions in force, by data centre.
    pub(crate) fn centres(&self) -> Vec<Status> {
        self.centres.read().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
