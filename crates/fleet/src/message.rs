//! Encoding of the messages between instances: a version byte, then one typed message.

use serde::{Deserialize, Serialize};

use crate::{allowance, config, directory, dispatch, duty, intent, keeper, load, membership};

/// Largest encoded message in a datagram, in bytes. It fits into one packet on any path.
pub const MAX_DATAGRAM_BYTES: usize = 1_100;
/// Largest encoded message on a stream, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 64 * 1024;

/// Version of the protocol that [`encode`] writes.
pub const VERSION: u8 = 1;
/// Oldest version of the protocol that [`decode`] accepts.
pub const MIN_VERSION: u8 = 1;

/// A message between instances. The order of the variants is part of the wire format: only append
/// to them.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// The membership protocol.
    Membership(membership::message::Message),
    /// Replication of the configuration table.
    Config(config::message::Message),
    /// Load of backend servers.
    Load(load::message::Message),
    /// The distributed directory of cached prefixes.
    Directory(directory::Message),
    /// Keepers of servers' event streams.
    Keeper(keeper::Message),
    /// Shares of rate and concurrency limits.
    Allowance(allowance::Message),
    /// Duties of the lease's holder.
    Duty(duty::Message),
    /// Intent records of requests with an idempotency key.
    Intent(intent::Message),
    /// The exchange of attempts that were sent.
    Dispatch(dispatch::Message),
}

macro_rules! impl_from {
    ($($variant:ident($type:ty),)*) => {
        $(impl From<$type> for Message {
            fn from(message: $type) -> Self {
                Self::$variant(message)
            }
        })*
    };
}

impl_from! {
    Membership(membership::message::Message),
    Config(config::message::Message),
    Load(load::message::Message),
    Directory(directory::Message),
    Keeper(keeper::Message),
    Allowance(allowance::Message),
    Duty(duty::Message),
    Intent(intent::Message),
    Dispatch(dispatch::Message),
}

/// Why a message can't be decoded.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The message has this many bytes, more than [`MAX_MESSAGE_BYTES`].
    #[error("message of {0} bytes exceeds the limit of {MAX_MESSAGE_BYTES} bytes")]
    TooLarge(usize),
    /// The protocol version is older than [`MIN_VERSION`].
    #[error("protocol version {0} is not supported")]
    Version(u8),
    /// The bytes can't be decoded, or this version doesn't know their kind of message.
    #[error("the message cannot be decoded")]
    Malformed,
}

/// Encodes `message`, preceded by [`VERSION`].
pub fn encode(message: &Message) -> Vec<u8> {
    // Serialising plain data to a vector can't fail.
    postcard::to_extend(message, vec![VERSION]).unwrap_or_default()
}

/// Decodes the message in `bytes`. Fields that a newer version appends to the last struct of a
/// message are ignored.
///
/// # Errors
/// Fails if the bytes are too long, of an unsupported version, or malformed.
pub fn decode(bytes: &[u8]) -> Result<Message, Error> {
    if MAX_MESSAGE_BYTES < bytes.len() {
        return Err(Error::TooLarge(bytes.len()));
    }
    let (&version, body) = bytes.split_first().ok_or(Error::Malformed)?;
    if version < MIN_VERSION {
        return Err(Error::Version(version));
    }
    let (message, _rest) = postcard::take_from_bytes(body).map_err(|_| Error::Malformed)?;
    Ok(message)
}
