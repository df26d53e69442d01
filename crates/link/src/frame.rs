//! Frames: what stands on a stream or in a datagram.

use thiserror::Error;

/// Bytes before the body: version, kind, length of the body (big endian).
pub const HEADER: usize = 6;

/// What a frame is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum Kind {
    /// A message that needs no answer.
    Message = 1,
    /// A question; the answer comes on the same stream.
    Request = 2,
    /// The answer.
    Reply = 3,
}

/// One frame.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Frame {
    /// Protocol version of the connection.
    pub version: u8,
    /// What it is.
    pub kind: Kind,
    /// Opaque content.
    pub body: Vec<u8>,
}

/// The first bytes of a frame.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Header {
    /// Protocol version of the connection.
    pub version: u8,
    /// What it is.
    pub kind: Kind,
    /// Bytes in the body.
    pub length: usize,
}

/// Why bytes are no frame.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum Invalid {
    /// Fewer or more bytes than the header says.
    #[error("the frame is cut short or too long")]
    Length,
    /// An unknown kind.
    #[error("the frame's kind {0} is unknown")]
    Kind(u8),
    /// The body is over the bound.
    #[error("a body of {0} bytes is larger than allowed")]
    TooLarge(usize),
}

impl Header {
    /// Reads a header, and refuses a body over `max` bytes before anything is allocated for it.
    ///
    /// # Errors
    /// When the kind is unknown or the body too large.
    pub fn decode(bytes: [u8; HEADER], max: usize) -> Result<Self, Invalid> {
        let [version, kind, length @ ..] = bytes;
        let kind = match kind {
            1 => Kind::Message,
            2 => Kind::Request,
            3 => Kind::Reply,
            other => return Err(Invalid::Kind(other)),
        };
        let length = u32::from_be_bytes(length) as usize;
        if max < length {
            return Err(Invalid::TooLarge(length));
        }
        Ok(Self { version, kind, length })
    }
}

impl Frame {
    /// The frame's bytes.
    ///
    /// # Errors
    /// When the body is over `max` bytes.
    pub fn encode(version: u8, kind: Kind, body: &[u8], max: usize) -> Result<Vec<u8>, Invalid> {
        let length = u32::try_from(body.len()).map_err(|_| Invalid::TooLarge(body.len()))?;
        if max < body.len() {
            return Err(Invalid::TooLarge(body.len()));
        }
        let mut bytes = Vec::with_capacity(HEADER + body.len());
        bytes.extend([version, kind as u8]);
        bytes.extend(length.to_be_bytes());
        bytes.extend(body);
        Ok(bytes)
    }

    /// Reads a whole frame.
    ///
    /// # Errors
    /// When the bytes are not exactly one frame with a body of at most `max` bytes.
    pub fn decode(bytes: &[u8], max: usize) -> Result<Self, Invalid> {
        let (header, body) = bytes.split_first_chunk().ok_or(Invalid::Length)?;
        let Header { version, kind, length } = Header::decode(*header, max)?;
        if body.len() != length {
            return Err(Invalid::Length);
        }
        Ok(Self { version, kind, body: body.to_vec() })
    }
}
