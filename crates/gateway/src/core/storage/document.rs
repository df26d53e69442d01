//! The configuration as it lies in the store, and in the form in which instances tell it each other.

use std::{io, sync::Arc};

use crate::deflate;

/// Longest configuration that is unpacked: four times what the store's values may have.
const MAX_LENGTH: u64 = 4 << 20;

/// One version of the configuration as it lies in the store.
pub(crate) struct Document {
    pub(crate) version: u64,
    value: Arc<[u8]>,
    /// Made once someone asks for it.
    packed: Option<Arc<[u8]>>,
}

impl Document {
    /// `packed`: the value as it came from another instance.
    pub(crate) fn open(version: u64, value: Arc<[u8]>, packed: Option<Arc<[u8]>>) -> Self {
        Self { version, value, packed }
    }

    /// The value for another instance. 1,400 routes take about a tenth of their 280 KB.
    pub(crate) fn packed(&mut self) -> io::Result<Arc<[u8]>> {
        if let Some(packed) = &self.packed {
            return Ok(packed.clone());
        }
        let packed: Arc<[u8]> = deflate::compress(&self.value)?.into();
        self.packed = Some(packed.clone());
        Ok(packed)
    }
}

/// The value that another instance has packed.
pub(crate) fn unpack(packed: &[u8]) -> io::Result<Arc<[u8]>> {
    deflate::decompress(packed, MAX_LENGTH).map(Arc::from)
}
