//! HTTP/1.1 messages: heads are parsed by `httparse`, bodies by their framing.

pub mod body;
pub mod head;
pub mod write;

/// Why bytes are no message in the protocol.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The head doesn't follow the grammar.
    #[error("malformed head")]
    Head,
    /// The head is longer than allowed.
    #[error("head too long")]
    TooLong,
    /// The framing of the body is ambiguous or unknown.
    #[error("ambiguous framing")]
    Framing,
    /// The body doesn't follow its framing.
    #[error("malformed body")]
    Body,
    /// A version of the protocol that isn't spoken here.
    #[error("unsupported version")]
    Version,
}
