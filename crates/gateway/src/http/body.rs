//! Decodes message bodies by their framing.

use crate::http::Error;

/// Maximum length of the line with a chunk's size.
const MAX_SIZE_LINE_BYTES: usize = 256;
/// Maximum length of the trailer after the last chunk.
const MAX_TRAILER_BYTES: usize = 8 * 1024;

/// How many times as long as its content a chunked body may be: chunks of one byte are six times as long.
const CHUNKED_FACTOR: usize = 8;
/// What may arrive beyond that in any case, bytes.
const EXTRA_BYTES: usize = 64 * 1024;

/// Number of bytes that may arrive for a body of `bytes`, with the sizes and extensions of its chunks.
pub const fn max_received_bytes(bytes: usize) -> usize {
    bytes.saturating_mul(CHUNKED_FACTOR).saturating_add(EXTRA_BYTES)
}

/// Framing and decoding state: what is still to come of a body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// The body is empty.
    Empty,
    /// This many bytes.
    Length(u64),
    /// Chunks, with the position in them.
    Chunked(Chunk),
    /// All bytes until the connection is closed.
    UntilClose,
}

/// Position in a chunked body, where the next byte belongs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Chunk {
    /// In the line with a chunk's size.
    Size,
    /// In a chunk's data, with the number of bytes left.
    Data(u64),
    /// In the line break after a chunk's data.
    DataEnd,
    /// In the trailer, with the number of bytes that it may still have.
    Trailer(usize),
    /// After the trailer: the body is complete.
    End,
}

impl Framing {
    /// Its name in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Empty => "empty",
            Self::Length(_) => "length",
            Self::Chunked(_) => "chunks",
            Self::UntilClose => "none",
        }
    }

    /// The start of a chunked body.
    pub const fn chunked() -> Self {
        Self::Chunked(Chunk::Size)
    }

    /// Number of bytes that the body has still to come at least, as far as it was stated.
    pub fn least_left(self) -> usize {
        match self {
            Self::Length(left) | Self::Chunked(Chunk::Data(left)) => to_usize(left),
            Self::Empty | Self::Chunked(_) | Self::UntilClose => 0,
        }
    }

    /// Moves the bytes of the body from the front of `input` to `body`. Returns whether the body is complete;
    /// a body that ends with the connection never is.
    pub fn decode(&mut self, input: &mut Vec<u8>, body: &mut Vec<u8>) -> Result<bool, Error> {
        match self {
            Self::Empty => Ok(true),
            Self::UntilClose => {
                body.append(input);
                Ok(false)
            }
            Self::Length(left) => {
                move_bytes(input, body, left);
                Ok(*left == 0)
            }
            Self::Chunked(state) => {
                let mut at = 0;
                let done = decode_chunks(state, input, &mut at, body);
                input.drain(..at);
                done
            }
        }
    }
}

fn to_usize(bytes: u64) -> usize {
    usize::try_from(bytes).unwrap_or(usize::MAX)
}

fn move_bytes(input: &mut Vec<u8>, body: &mut Vec<u8>, left: &mut u64) {
    let len = to_usize(*left).min(input.len());
    reserve(body, len, *left);
    body.extend(input.drain(..len));
    *left -= len as u64;
}

/// Makes room for `len` more bytes. Grows by what has arrived, and not beyond the stated length, of which nothing may
/// ever arrive.
fn reserve(body: &mut Vec<u8>, len: usize, left: u64) {
    if len <= body.capacity() - body.len() {
        return;
    }
    let left = to_usize(left);
    body.reserve_exact(body.len().saturating_add(len).min(left));
}

fn decode_chunks(
    state: &mut Chunk,
    input: &[u8],
    at: &mut usize,
    body: &mut Vec<u8>,
) -> Result<bool, Error> {
    loop {
        let rest = &input[*at..];
        match state {
            Chunk::Size => {
                let Some(line) = line(rest, MAX_SIZE_LINE_BYTES)? else { return Ok(false) };
                *at += line.len() + 2;
                *state = match chunk_size(line)? {
                    0 => Chunk::Trailer(MAX_TRAILER_BYTES),
                    len => Chunk::Data(len),
                };
            }
            Chunk::Data(left) => {
                let len = to_usize(*left).min(rest.len());
                body.extend_from_slice(&rest[..len]);
                *at += len;
                *left -= len as u64;
                if 0 < *left {
                    return Ok(false);
                }
                *state = Chunk::DataEnd;
            }
            Chunk::DataEnd => {
                if rest.len() < 2 {
                    return Ok(false);
                }
                if !rest.starts_with(b"\r\n") {
                    return Err(Error::Body);
                }
                *at += 2;
                *state = Chunk::Size;
            }
            Chunk::Trailer(left) => {
                let Some(line) = line(rest, *left)? else { return Ok(false) };
                *at += line.len() + 2;
                if line.is_empty() {
                    *state = Chunk::End;
                    continue;
                }
                *left = left.saturating_sub(line.len() + 2);
            }
            Chunk::End => return Ok(true),
        }
    }
}

/// The first line of `bytes` without its line break, or `None` if it is incomplete. Fails if it is longer than
/// `max`.
fn line(bytes: &[u8], max: usize) -> Result<Option<&[u8]>, Error> {
    match bytes.windows(2).take(max).position(|it| it == b"\r\n") {
        Some(end) => Ok(Some(&bytes[..end])),
        None if bytes.len() <= max => Ok(None),
        None => Err(Error::Body),
    }
}

fn chunk_size(line: &[u8]) -> Result<u64, Error> {
    let digits = line.split(|it| *it == b';').next().unwrap_or_default().trim_ascii();
    if digits.is_empty() || 15 < digits.len() || !digits.iter().all(u8::is_ascii_hexdigit) {
        return Err(Error::Body);
    }
    let text = std::str::from_utf8(digits).map_err(|_| Error::Body)?;
    u64::from_str_radix(text, 16).map_err(|_| Error::Body)
}
