//! The state of the node that its components can read.

use std::sync::Arc;

use shallotlead_base::{id::Incarnation, name, time::Time};
use shallotlead_table::snapshot::Snapshot;

use crate::view::View;

/// The state of the node that a component can read during a call.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// The time on this process's monotonic clock.
    pub now: Time,
    /// The name of this instance.
    pub me: &'a name::Instance,
    /// The members as known here.
    pub view: &'a View,
    /// The table in force here.
    pub table: &'a Arc<Snapshot>,
}

impl Context<'_> {
    /// Returns the incarnation of this process, if the view contains this instance.
    pub(crate) fn incarnation(&self) -> Option<Incarnation> {
        self.view.get(self.me).map(|it| it.member.incarnation)
    }
}
