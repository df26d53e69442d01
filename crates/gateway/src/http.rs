//! HTTP/1.1 messages. `httparse` parses the heads; [`body`] decodes the bodies.

pub mod body;
pub mod head;
pub mod write;

/// Why bytes aren't a valid message.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The head doesn't match the grammar.
    #[error("malformed head")]
    Head,
    /// The head has too many bytes or fields.
    #[error("head too long")]
    TooLong,
    /// The body's framing is ambiguous or unsupported.
    #[error("ambiguous framing")]
    Framing,
    /// The body doesn't match its framing.
    #[error("malformed body")]
    Body,
    /// The version of the protocol is not supported.
    #[error("unsupported version")]
    Version,
}

/// Whether `bytes` have a line break that is followed by a blank line.
pub(crate) fn has_blank_line(bytes: &[u8]) -> bool {
    bytes.windows(2).any(|it| it == b"\n\n") || bytes.windows(3).any(|it| it == b"\n\r\n")
}
