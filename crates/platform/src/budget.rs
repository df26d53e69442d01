//! This instance's share of the fleet's limits for calls to the platform.

use std::time::Duration;

use rand::{Rng, rngs::SmallRng};
use shallotlead_base::{store::Call, time::Time};

use crate::bucket::Bucket;

/// Group of calls that share one limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Family {
    /// A read of one object, or of all objects of a kind.
    Read,
    /// A conditional write or deletion.
    Write,
    /// A watch.
    Watch,
}

impl Family {
    /// Returns the family of `call`.
    pub fn of(call: &Call) -> Self {
        match call {
            Call::Get(_) | Call::List { .. } => Self::Read,
            Call::Put { .. } | Call::Delete { .. } => Self::Write,
            Call::Watch { .. } => Self::Watch,
        }
    }

    /// Returns the family's name in metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Write => "write",
            Self::Watch => "watch",
        }
    }
}

/// Limits of the whole fleet's calls to the platform.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rates {
    /// Reads per second; each start of a watch counts as a read.
    pub reads: f64,
    /// Writes per second.
    pub writes: f64,
    /// Concurrent watches.
    pub watches: u32,
}

impl Default for Rates {
    /// The platform admits "several hundred" writes and "about two thousand" reads per second. The
    /// defaults are below that to leave room for operators' own tools.
    fn default() -> Self {
        Self { reads: 1_500.0, writes: 250.0, watches: 200 }
    }
}

/// Numbers of instances that share the fleet's limits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Sharers {
    /// Live instances, this one included.
    pub instances: u32,
    /// Instances that watch the platform; the others receive changes from their peers.
    pub watchers: u32,
}

/// An equal share of [`Rates`]: token buckets for reads and writes, and a limit of concurrent
/// watches.
#[derive(Clone, Debug)]
pub struct Budget {
    rates: Rates,
    sharers: Sharers,
    reads: Bucket,
    writes: Bucket,
    active_watches: u32,
}

impl Budget {
    /// Creates the share of one of `sharers`. The buckets start with a random part of one token.
    ///
    /// If hundreds of instances that start together had full buckets, all would call at the same
    /// moment, and the platform would refuse calls just when every instance needs its replies. With
    /// random fills, the calls of the first second match the fleet's rate.
    pub fn new(rates: Rates, sharers: Sharers, now: Time, rng: &mut SmallRng) -> Self {
        let instances = f64::from(sharers.instances.max(1));
        let reads = Bucket::new(rates.reads / instances, rng.random(), now);
        let writes = Bucket::new(rates.writes / instances, rng.random(), now);
        Self { rates, sharers, reads, writes, active_watches: 0 }
    }

    /// Adapts this instance's share to the fleet's size.
    pub fn set_sharers(&mut self, sharers: Sharers, now: Time) {
        self.sharers = sharers;
        let instances = f64::from(sharers.instances.max(1));
        self.reads.set_rate(self.rates.reads / instances, now);
        self.writes.set_rate(self.rates.writes / instances, now);
    }

    /// Leaves a random part of one token in each bucket, as in [`Budget::new`], for the end of an
    /// outage.
    pub fn reset_tokens(&mut self, now: Time, rng: &mut SmallRng) {
        self.reads.set_tokens(rng.random(), now);
        self.writes.set_tokens(rng.random(), now);
    }

    /// Takes the token or watch slot that a call of `family` needs. Returns false if none is
    /// available.
    pub fn try_take(&mut self, family: Family, now: Time) -> bool {
        match family {
            Family::Read => self.reads.try_take(now),
            Family::Write => self.writes.try_take(now),
            Family::Watch => {
                let taken = self.active_watches < self.max_watches() && self.reads.try_take(now);
                self.active_watches += u32::from(taken);
                taken
            }
        }
    }

    /// Releases the slot of a watch that ended.
    pub fn release_watch(&mut self) {
        self.active_watches = self.active_watches.saturating_sub(1);
    }

    /// Returns when a call of `family` can be sent, or `None` if another watch has to end first.
    pub fn ready_at(&mut self, family: Family, now: Time) -> Option<Time> {
        let wait: Duration = match family {
            Family::Read => self.reads.time_to_token(now),
            Family::Write => self.writes.time_to_token(now),
            Family::Watch if self.active_watches < self.max_watches() => {
                self.reads.time_to_token(now)
            }
            Family::Watch => return None,
        };
        Some(now + wait)
    }

    /// Returns the longest random delay of a write that isn't urgent.
    ///
    /// All instances of an idle fleet may write at the same moment, for example after a change that
    /// all of them receive. Even if the share of each is less than one write per second, every
    /// bucket holds one token, so that without the delay all writes together would exceed the
    /// fleet's rate by far, and the platform would refuse many of them.
    pub fn write_spread(&self) -> Duration {
        let period = f64::from(self.sharers.instances.max(1)) / self.rates.writes;
        if period <= 1.0 { Duration::ZERO } else { Duration::from_secs_f64(period) }
    }

    /// Returns how many concurrent watches this instance may have.
    pub fn max_watches(&self) -> u32 {
        (self.rates.watches / self.sharers.watchers.max(1)).max(1)
    }
}
