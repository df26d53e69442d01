//! What carries messages between instances.

use std::fmt;

use shallotlead_base::name;
use shallotlead_fleet::{delivery::Delivery, view::View};

/// Links to other instances. Nothing blocks; a message to a peer without a link is dropped.
pub(crate) trait Transport: fmt::Debug + Send {
    /// Sends `bytes` to `to`.
    fn send(&mut self, to: &name::Instance, bytes: Vec<u8>, delivery: Delivery);

    /// Tells where the members are, so that links follow them.
    fn set_members(&mut self, view: &View);

    /// Publishes what the links did so far.
    fn measure(&self) {}

    /// Whether there are no links at all, so that this instance keeps every server itself.
    fn alone(&self) -> bool {
        false
    }
}

/// No links: an instance alone.
#[derive(Debug)]
pub(crate) struct Alone;

impl Transport for Alone {
    fn send(&mut self, _to: &name::Instance, _bytes: Vec<u8>, _delivery: Delivery) {}

    fn set_members(&mut self, _view: &View) {}

    fn alone(&self) -> bool {
        true
    }
}
