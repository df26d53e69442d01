//! Bytes that instances tell each other, deflated.

use std::io::{self, Read, Write};

use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};

/// `bytes`, packed.
pub(crate) fn compress(bytes: &[u8]) -> io::Result<Vec<u8>> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(bytes)?;
    encoder.finish()
}

/// What was packed, if it has at most `most` bytes.
pub(crate) fn decompress(packed: &[u8], most: u64) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    DeflateDecoder::new(packed).take(most + 1).read_to_end(&mut bytes)?;
    if most < bytes.len() as u64 {
        return Err(io::Error::other(format!("over {most} bytes when unpacked")));
    }
    Ok(bytes)
}
