//! Limits the share of an instance's link that large responses to other instances use.

use std::time::Duration;

use shallotlead_base::time::Time;

/// Share of the link for large responses while there are any; the rest is left for responses to callers.
const LINK_SHARE: f64 = 0.7;
/// Maximum queueing delay of a large response. A rejected instance soon finds another one to ask.
const MAX_QUEUE_DELAY: Duration = Duration::from_millis(100);

/// Admits large responses while the link has room for them.
///
/// Guards against responses that crowd out each other and the responses to callers on a narrow link: asked by dozens
/// at once, an instance with 10 Mbit/s had 4.7 MB to send in a second, failed its readiness check, and nearly all of
/// the requests timed out. No more is admitted than the link sends within about a tenth of a second, and a rejected
/// instance learns of it at once.
#[derive(Debug)]
pub struct Uplink {
    bytes_per_s: f64,
    free_at: Time,
}

impl Uplink {
    /// An idle link of `bytes_per_s`.
    pub fn new(bytes_per_s: f64) -> Self {
        Self { bytes_per_s, free_at: Time::ZERO }
    }

    /// Whether a response of `bytes` may be sent now; if so, it is accounted for.
    pub fn admit(&mut self, now: Time, bytes: usize) -> bool {
        if MAX_QUEUE_DELAY < self.free_at.since(now) {
            return false;
        }
        let sending = Duration::from_secs_f64(bytes as f64 / (self.bytes_per_s * LINK_SHARE));
        self.free_at = now.max(self.free_at) + sending;
        true
    }
}
