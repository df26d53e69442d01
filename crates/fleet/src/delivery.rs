//! Delivery modes of messages between instances.

/// How a message is sent to another instance.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Delivery {
    /// As one datagram of at most [`crate::message::MAX_DATAGRAM_BYTES`] bytes: it may be lost,
    /// duplicated or reordered, and never waits for another message.
    Datagram,
    /// On its own stream, of at most [`crate::message::MAX_MESSAGE_BYTES`] bytes: it arrives
    /// whole or not at all.
    Stream,
}
