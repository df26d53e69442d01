//! The configuration as stored, and in the compressed form in which instances exchange it.

use std::{io, sync::Arc};

use crate::deflate;

/// Longest configuration that is decompressed: four times the store's limit for a value.
const MAX_CONFIGURATION_BYTES: u64 = 4 << 20;

/// One version of the configuration as stored.
pub(crate) struct Document {
    pub(crate) version: u64,
    value: Arc<[u8]>,
    /// Compressed on first use.
    compressed: Option<Arc<[u8]>>,
}

impl Document {
    /// `compressed`: the compressed value, if it was received from another instance.
    pub(crate) fn new(version: u64, value: Arc<[u8]>, compressed: Option<Arc<[u8]>>) -> Self {
        Self { version, value, compressed }
    }

    /// The compressed value for another instance. The 280 KB of 1,400 routes shrink to about a
    /// tenth.
    ///
    /// # Errors
    ///
    /// Fails if the value can't be compressed.
    pub(crate) fn compressed(&mut self) -> io::Result<Arc<[u8]>> {
        if let Some(compressed) = &self.compressed {
            return Ok(compressed.clone());
        }
        let compressed: Arc<[u8]> = deflate::compress(&self.value)?.into();
        self.compressed = Some(compressed.clone());
        Ok(compressed)
    }
}

/// Decompresses a value that was received from another instance.
///
/// # Errors
///
/// Fails if it is malformed or too long.
pub(crate) fn decompress(compressed: &[u8]) -> io::Result<Arc<[u8]>> {
    deflate::decompress(compressed, MAX_CONFIGURATION_BYTES).map(Arc::from)
}
