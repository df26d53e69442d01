//! Why a link can't be opened or a message can't be delivered.

use shallotlead_base::code::Code;
use thiserror::Error;

/// A failure of a link.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// A key or certificate can't be used.
    #[error("the key or certificate cannot be used: {0}")]
    Identity(String),
    /// The address can't be bound.
    #[error("the link's address cannot be bound: {0}")]
    Bind(String),
    /// The peer did not prove to be whom it should be, or it does not know us.
    #[error("the peer is not known, or does not know us: {0}")]
    PeerUnknown(String),
    /// A frame is malformed or too large.
    #[error("the message is malformed or larger than allowed")]
    Invalid,
    /// The two sides have no protocol version in common.
    #[error("the peer speaks no protocol version of ours")]
    Version,
    /// No connection came about, or it broke.
    #[error("the peer cannot be reached: {0}")]
    Unreachable(String),
    /// No answer came before the deadline.
    #[error("the peer did not answer in time")]
    Timeout,
    /// Too much waits to be sent, or the link is closed.
    #[error("the link is busy or closed")]
    Busy,
}

impl Error {
    /// The numbered result code.
    pub fn code(&self) -> Code {
        match self {
            Self::Identity(_) => Code::SettingInvalid,
            Self::Bind(_) => Code::BindFailed,
            Self::PeerUnknown(_) => Code::PeerUnknown,
            Self::Invalid => Code::MessageInvalid,
            Self::Version => Code::VersionUnsupported,
            Self::Unreachable(_) | Self::Timeout | Self::Busy => Code::PeerUnreachable,
        }
    }
}
