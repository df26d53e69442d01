//! What a caller's connection rests in.

/// What a caller's connection rests in that may make room for others, in the order in which they do.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Rest {
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
