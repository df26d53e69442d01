//! Why a call to a backend server failed.

use thiserror::Error;

/// A failed call.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub(crate) enum Failure {
    /// No connection came about: not one byte was sent.
    #[error("the server could not be reached")]
    Unreachable,
    /// The connection broke or the time ran out after bytes may have left.
    #[error("the connection broke")]
    Lost,
    /// The server refused, with this HTTP status.
    #[error("the server refused with status {0}")]
    Refused(u16),
    /// The answer can't be understood.
    #[error("the server's answer is malformed")]
    Malformed,
}
