//! How far a request has come on its way to the router.

/// Stage of an open request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Stage {
    /// Its idempotency key is being recorded.
    Recording,
    /// The home of its prefix is asked.
    Asking,
    /// The router has it.
    Arrived,
}
