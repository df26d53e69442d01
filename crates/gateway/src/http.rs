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
    let begins_blank = |it: &[u8]| it.starts_with(b"\n") || it.starts_with(b"\r\n");
    bytes.iter().zip(1..).any(|(it, next)| *it == b'\n' && begins_blank(&bytes[next..]))
}
