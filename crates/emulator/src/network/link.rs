//! The links between machines.

use std::time::Duration;

use rand::{Rng, rngs::SmallRng};
use shallotlead_base::{
    hash::{Map, Set},
    time::Time,
};

use super::Host;

/// What all links have in common.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Quality {
    /// Shortest time from one machine to another.
    pub(crate) delay: Duration,
    /// Longest time that is added at random.
    pub(crate) jitter: Duration,
    /// Bytes per second that one machine sends.
    pub(crate) bytes_per_s: f64,
}

/// The links between all machines.
pub(crate) struct Links {
    quality: Quality,
    /// Fraction of packets that are lost.
    pub(crate) loss: f64,
    /// When a machine has sent all that it was given so far.
    free_at: Map<Host, Time>,
    cuts: Set<(Host, Host)>,
}

impl Links {
    pub(crate) fn new(quality: Quality) -> Self {
        Self { quality, loss: 0.0, free_at: Map::default(), cuts: Set::default() }
    }

    pub(super) fn is_cut(&self, from: Host, to: Host) -> bool {
        !self.cuts.is_empty() && self.cuts.contains(&(from, to))
    }

    pub(super) fn cut(&mut self, from: Host, to: Host) {
        self.cuts.insert((from, to));
    }

    pub(super) fn restore(&mut self, from: Host, to: Host) {
        self.cuts.remove(&(from, to));
    }

    /// When a machine has sent `len` bytes more.
    pub(super) fn transmit(&mut self, now: Time, from: Host, len: usize) -> Time {
        let free_at = self.free_at.entry(from).or_default();
        let time = Duration::from_secs_f64(len as f64 / self.quality.bytes_per_s);
        *free_at = now.max(*free_at) + time;
        *free_at
    }

    pub(super) fn delay(&self, from: Host, to: Host, rng: &mut SmallRng) -> Duration {
        if from == to {
            return Duration::ZERO;
        }
        self.quality.delay + self.quality.jitter.mul_f64(rng.random::<f64>())
    }

    pub(super) fn loses(&self, rng: &mut SmallRng) -> bool {
        0.0 < self.loss && rng.random::<f64>() < self.loss
    }
}
