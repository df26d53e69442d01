//! The share of an instance's own link that its long answers to other instances may take.

use std::time::Duration;

use shallotlead_base::time::Time;

/// Part of the link that long answers take while there are any; callers' answers have the rest.
const SHARE: f64 = 0.7;
/// How long a long answer may wait for those before it. Whoever asks in vain finds another instance sooner.
const MAX_WAIT: Duration = Duration::from_millis(100);

/// When the long answers that were let go will be through.
///
/// Guards against answers that crowd each other and callers' answers off a narrow link: asked by dozens at
/// once, an instance with 10 Mbit/s had 4.7 MB to send in a second, failed its readiness check, and nearly all
/// of the answers were given up on before they were through. It holds since no more is let go than is sent
/// within about a tenth of a second, and whoever is turned away learns it at once.
#[derive(Debug)]
pub struct Uplink {
    bytes_per_s: f64,
    free_at: Time,
}

impl Uplink {
    /// Nothing is being sent over a link of `bytes_per_s`.
    pub fn new(bytes_per_s: f64) -> Self {
        Self { bytes_per_s, free_at: Time::ZERO }
    }

    /// Whether an answer of `bytes` may go now; it counts as sent then.
    pub fn admit(&mut self, now: Time, bytes: usize) -> bool {
        if MAX_WAIT < self.free_at.since(now) {
            return false;
        }
        let takes = Duration::from_secs_f64(bytes as f64 / (self.bytes_per_s * SHARE));
        self.free_at = now.max(self.free_at) + takes;
        true
    }
}
