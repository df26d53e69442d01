//! Counters of the client's calls, for metrics.

/// Totals since the client's start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Reads sent, probes and read-backs included.
    pub reads: u64,
    /// Writes sent.
    pub writes: u64,
    /// Watches started.
    pub watches: u64,
    /// Reads that shared the reply of an equal read.
    pub merged: u64,
    /// Attempts that the platform refused, for their rate or because it was unavailable.
    pub refused: u64,
    /// Attempts without a usable response.
    pub unanswered: u64,
    /// Calls that failed as not applied: during an outage, with a full queue, after waiting too
    /// long, or with a value that is too large.
    pub given_back: u64,
    /// Writes with a lost response that were found to have taken effect.
    pub settled_applied: u64,
    /// Writes with a lost response that took effect or were confirmed when sent again.
    pub settled_resent: u64,
    /// Writes with a lost response whose effect stayed unknown.
    pub settled_unknown: u64,
    /// Outages detected.
    pub outages: u64,
}

impl Counts {
    /// All calls sent, probes and read-backs included.
    pub fn calls(&self) -> u64 {
        self.reads + self.writes + self.watches
    }
}
