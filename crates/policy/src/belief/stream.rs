//! One server's stream of cache events: what was lost, and how fast the cache turns over.

use std::time::Duration;

/// Before anything is known, blocks are taken to stay this long after their last use.
const FIRST_HORIZON: Duration = Duration::from_secs(60);
const MIN_HORIZON: Duration = Duration::from_secs(1);
const MAX_HORIZON: Duration = Duration::from_secs(3_600);
/// Weight of one observation in the horizon's moving average.
const HORIZON_GAIN: f64 = 0.02;
/// Weight of one event in the loss's moving average.
const LOSS_GAIN: f64 = 0.002;
/// Even a stream without gaps is late: an eviction may be on its way.
const MIN_LOSS: f64 = 0.03;
/// Steepness of the survival curve: engines evict what was used longest ago, so that most blocks
/// leave at nearly the same age.
const STEEPNESS: i32 = 4;
/// Uses younger than this are newer than a late eviction event.
const FRESH: Duration = Duration::from_secs(2);

/// State of a stream. Without events yet, all of it counts as lost.
#[derive(Clone, Debug)]
pub(super) struct Stream {
    next: Option<u64>,
    loss: f64,
    /// Age since last use at which blocks leave the cache, in seconds.
    horizon: f64,
}

impl Default for Stream {
    fn default() -> Self {
        Self { next: None, loss: 1.0, horizon: FIRST_HORIZON.as_secs_f64() }
    }
}

impl Stream {
    /// Takes the sequence numbers of a batch. Returns how many of its events were seen before.
    pub(super) fn advance(&mut self, first: u64, len: usize, snapshot: bool) -> usize {
        let end = first.saturating_add(len as u64);
        let Some(next) = self.next else {
            self.next = Some(end);
            self.loss = MIN_LOSS;
            return 0;
        };
        if end <= next && !(snapshot && end == next) {
            return len;
        }
        if snapshot {
            self.next = Some(end);
            return 0;
        }
        let lost = first.saturating_sub(next);
        let seen = next.saturating_sub(first) as usize;
        let total = lost as f64 + (len - seen) as f64;
        let gain = 1.0 - (1.0 - LOSS_GAIN).powf(total);
        self.loss += gain * (lost as f64 / total - self.loss);
        self.next = Some(end);
        seen
    }

    /// Probability that a block is still cached `age` after its last known use, with no eviction
    /// heard of.
    pub(super) fn kept(&self, age: Duration) -> f32 {
        let ratio = age.as_secs_f64() / self.horizon;
        let gone = ratio.powi(STEEPNESS) / (1.0 + ratio.powi(STEEPNESS));
        let unheard = gone * self.loss.max(MIN_LOSS);
        ((1.0 - gone) / (1.0 - gone + unheard)) as f32
    }

    /// A block left the cache `age` after its last known use.
    pub(super) fn evicted(&mut self, age: Duration) {
        self.learn(age.as_secs_f64());
    }

    /// A block was found missing `age` after its last known use.
    pub(super) fn missed(&mut self, age: Duration) {
        // It left at some point before, so that only a shorter age than the horizon tells something.
        let age = age.as_secs_f64();
        if age < self.horizon {
            self.horizon += 0.2 * (age - self.horizon);
            self.clamp();
        }
    }

    /// A block was still there `age` after its last known use.
    pub(super) fn survived(&mut self, age: Duration) {
        let age = age.as_secs_f64();
        if self.horizon < age {
            self.learn(age);
        }
    }

    /// Uses younger than this outdate an eviction event.
    pub(super) fn fresh(&self) -> Duration {
        FRESH.min(self.horizon().mul_f64(0.5))
    }

    /// Age since last use at which blocks leave the cache.
    pub(super) fn horizon(&self) -> Duration {
        Duration::from_secs_f64(self.horizon)
    }

    fn learn(&mut self, age: f64) {
        self.horizon += HORIZON_GAIN * (age - self.horizon);
        self.clamp();
    }

    fn clamp(&mut self) {
        self.horizon = self.horizon.clamp(MIN_HORIZON.as_secs_f64(), MAX_HORIZON.as_secs_f64());
    }
}
