//! Bytes that grow without being moved.

/// Bytes in pieces of bounded length: they are never moved while they grow, and the memory of one fits another.
#[derive(Debug, Default)]
pub struct Segments {
    segments: Vec<Vec<u8>>,
    len: usize,
}

impl Segments {
    /// Length of a segment, and most room beyond its bytes that pushing them takes, bytes.
    pub const SEGMENT: usize = 32 * 1024;

    /// Number of bytes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether it has no bytes.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Bytes that it takes.
    pub fn capacity(&self) -> usize {
        self.segments.iter().map(Vec::capacity).sum()
    }

    /// Appends `bytes`. `left`: how many there will be at most, with these.
    pub fn push(&mut self, mut bytes: &[u8], mut left: usize) {
        while !bytes.is_empty() {
            if self.segments.last().is_none_or(|it| Self::SEGMENT <= it.len()) {
                self.segments.push(Vec::new());
            }
            let is_first = self.segments.len() == 1;
            let Some(last) = self.segments.last_mut() else { return };
            let room = Self::SEGMENT - last.len();
            let (now, rest) = bytes.split_at(bytes.len().min(room));
            if last.capacity() - last.len() < now.len() {
                // Many are short and come at once. All others are in segments of one length, so that each fits where
                // another one was.
                let is_start = is_first && last.is_empty();
                last.reserve_exact(if is_start { now.len() } else { room.min(left) });
            }
            last.extend_from_slice(now);
            self.len += now.len();
            left -= now.len().min(left);
            bytes = rest;
        }
    }

    /// The segments, in order.
    pub fn iter(&self) -> impl Iterator<Item = &[u8]> {
        self.segments.iter().map(Vec::as_slice)
    }

    /// Number of segments.
    pub fn count(&self) -> usize {
        self.segments.len()
    }

    /// The segment at `index`; empty if there is none.
    pub fn get(&self, index: usize) -> &[u8] {
        self.segments.get(index).map_or(&[], Vec::as_slice)
    }
}

impl From<Vec<u8>> for Segments {
    fn from(bytes: Vec<u8>) -> Self {
        let len = bytes.len();
        Self { segments: if bytes.is_empty() { Vec::new() } else { vec![bytes] }, len }
    }
}
