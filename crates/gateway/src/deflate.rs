//! DEFLATE compression of messages between instances.

use std::io::{self, Read, Write};

use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};

/// Compresses `bytes`.
pub(crate) fn compress(bytes: &[u8]) -> io::Result<Vec<u8>> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(bytes)?;
    encoder.finish()
}

/// Decompresses `compressed`. Fails if the result is longer than `max_bytes`.
pub(crate) fn decompress(compressed: &[u8], max_bytes: u64) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    DeflateDecoder::new(compressed).take(max_bytes + 1).read_to_end(&mut bytes)?;
    if max_bytes < bytes.len() as u64 {
        return Err(io::Error::other(format!("more than {max_bytes} bytes after decompression")));
    }
    Ok(bytes)
}
