//! Messages between instances: a versioned envelope around one typed message.

use serde::{Deserialize, Serialize};

use crate::{allowance, config, directory, dispatch, duty, intent, keeper, load, membership};

/// Largest message on a datagram, in bytes: fits one packet on any path.
pub const MAX_DATAGRAM_BYTES: usize = 1_100;
/// Largest message on a stream, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 64 * 1024;

/// Version of the protocol that this code writes.
pub const VERSION: u8 = 1;
/// Oldest version of the protocol that this code reads.
pub const MIN_VERSION: u8 = 1;

/// One message. The order of the variants is the wire format: append only.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// Who is there.
    Membership(membership::message::Message),
    /// The replica of the table.
    Config(config::message::Message),
    /// Load of backend servers.
    Load(load::message::Message),
    /// Homes of prefixes.
    Directory(directory::Message),
    /// Keepers of event streams.
    Keeper(keeper::Message),
    /// Shares of limits.
    Allowance(allowance::Message),
    /// Duties by lease.
    Duty(duty::Message),
    /// Intent records.
    Intent(intent::Message),
    /// Attempts that were sent.
    Dispatch(dispatch::Message),
}

macro_rules! from {
    ($($variant:ident($type:ty),)*) => {
        $(impl From<$type> for Message {
            fn from(message: $type) -> Self {
                Self::$variant(message)
            }
        })*
    };
}

from! {
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

/// Why bytes are no message.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The message is longer than allowed.
    #[error("the message has {0} bytes, more than {MAX_MESSAGE_BYTES}")]
    TooLarge(usize),
    /// The protocol's version can't be read here.
    #[error("protocol version {0} is not supported")]
    Version(u8),
    /// The bytes don't decode, or their kind is not known to this version.
    #[error("the message cannot be decoded")]
    Malformed,
}

/// The bytes of `message`.
pub fn encode(message: &Message) -> Vec<u8> {
    // Writing plain data to a vector can't fail.
    postcard::to_extend(message, vec![VERSION]).unwrap_or_default()
}

/// The message in `bytes`. A newer version may append fields to the last struct of a message; they
/// are ignored.
///
/// # Errors
/// When the bytes are too long, of a version that can't be read, or malformed.
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
