//! How a message travels.

/// How a message travels between instances.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Delivery {
    /// As one datagram of at most [`crate::message::MAX_DATAGRAM`] bytes: may be lost, doubled or
    /// reordered, never waits behind another.
    Datagram,
    /// On a stream of its own, of at most [`crate::message::MAX_MESSAGE`] bytes: arrives whole or
    /// not at all.
    Stream,
}
