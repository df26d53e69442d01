//! A server's cache events and cache contents.

use shallotlead_base::id::Incarnation;
use shallotlead_policy::{chain::Block, input::Event};

/// Cache events in order.
#[derive(Clone, Debug)]
pub(crate) struct Feed {
    /// The server's life.
    pub(crate) incarnation: Incarnation,
    /// Number of the first event; above the last known one plus 1 is a gap.
    pub(crate) first: u64,
    /// The events.
    pub(crate) events: Vec<Event>,
}

/// All cached blocks at one event number.
#[derive(Clone, Debug)]
pub(crate) struct Contents {
    /// The server's life.
    pub(crate) incarnation: Incarnation,
    /// Number of the last event that the blocks stand for.
    pub(crate) seq: u64,
    /// The blocks.
    pub(crate) blocks: Vec<Block>,
}
