//! Why nothing happens on a caller's connection.

/// Why nothing happens on a connection, so that it may be closed for others. The first ones are closed first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Inactivity {
    /// Its last answer was sent, and it is to be closed.
    Lingering,
    /// No request has ever arrived on it.
    Unused,
    /// Between requests.
    Idle,
    /// A request has stopped arriving.
    Stalled,
    /// Its last answer isn't being read.
    Undelivered,
}
