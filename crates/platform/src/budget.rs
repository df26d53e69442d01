//! This instance's share of the calls that the fleet may make.

use std::time::Duration;

use rand::{Rng, rngs::SmallRng};
use shallotlead_base::{store::Call, time::Time};

use crate::bucket::Bucket;

/// What the platform counts a call as.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Family {
    /// A read of an object or of a kind.
    Read,
    /// A conditional write or removal.
    Write,
    /// A waiting watch.
    Watch,
}

impl Family {
    /// The family of `call`.
    pub fn of(call: &Call) -> Self {
        match call {
            Call::Get(_) | Call::List { .. } => Self::Read,
            Call::Put { .. } | Call::Delete { .. } => Self::Write,
            Call::Watch { .. } => Self::Watch,
        }
    }

    /// The family's name, as in metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Write => "write",
            Self::Watch => "watch",
        }
    }
}

/// What the whole fleet may ask of the platform.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rates {
    /// Reads a second; starting a watch costs one.
    pub reads: f64,
    /// Writes a second.
    pub writes: f64,
    /// Watches waiting at the same time.
    pub watches: u32,
}

impl Default for Rates {
    /// Below "several hundred" writes and "about two thousand" reads, so that operators' own tools
    /// still get through.
    fn default() -> Self {
        Self { reads: 1_500.0, writes: 250.0, watches: 200 }
    }
}

/// The instances that share the fleet's rates.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Sharers {
    /// Live instances, this one included.
    pub instances: u32,
    /// Those of them that hold watches; the others hear of changes from peers.
    pub watchers: u32,
}

/// An equal share of [`Rates`], as token buckets and a bound on waiting watches.
#[derive(Clone, Debug)]
pub struct Budget {
    rates: Rates,
    sharers: Sharers,
    reads: Bucket,
    writes: Bucket,
    active_watches: u32,
}

impl Budget {
    /// The share of one of `sharers`. Buckets start at a random fill below one token.
    ///
    /// Guards against a herd start: hundreds of instances that start together with full buckets
    /// would all call in the same moment, which shows as refusals just when all need answers. With
    /// a random fill, the calls of the first second come to the fleet's rate.
    pub fn new(rates: Rates, sharers: Sharers, now: Time, rng: &mut SmallRng) -> Self {
        let instances = f64::from(sharers.instances.max(1));
        let reads = Bucket::new(rates.reads / instances, rng.random(), now);
        let writes = Bucket::new(rates.writes / instances, rng.random(), now);
        Self { rates, sharers, reads, writes, active_watches: 0 }
    }

    /// Follows a change of the fleet's size.
    pub fn set_sharers(&mut self, sharers: Sharers, now: Time) {
        self.sharers = sharers;
        let instances = f64::from(sharers.instances.max(1));
        self.reads.set_rate(self.rates.reads / instances, now);
        self.writes.set_rate(self.rates.writes / instances, now);
    }

    /// Empties the buckets to a random fill, for a return after an outage (see [`Budget::new`]).
    pub fn reset_tokens(&mut self, now: Time, rng: &mut SmallRng) {
        self.reads.set_tokens(rng.random(), now);
        self.writes.set_tokens(rng.random(), now);
    }

    /// Takes what a call of `family` costs, if it is there.
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

    /// Notes that a watch ended.
    pub fn release_watch(&mut self) {
        self.active_watches = self.active_watches.saturating_sub(1);
    }

    /// When a call of `family` can go out, or `None` while only the end of a watch can tell.
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

    /// Over how long a write that is in no hurry should be spread.
    ///
    /// Guards against a fleet at rest that writes at the same moment, for instance after a change
    /// that all hear of: with less than a write a second each, every bucket still holds a whole one,
    /// and together they are far above the fleet's rate. It shows as refusals at every such moment.
    pub fn write_spread(&self) -> Duration {
        let period = f64::from(self.sharers.instances.max(1)) / self.rates.writes;
        if period <= 1.0 { Duration::ZERO } else { Duration::from_secs_f64(period) }
    }

    /// Watches that this instance may hold at the same time.
    pub fn max_watches(&self) -> u32 {
        (self.rates.watches / self.sharers.watchers.max(1)).max(1)
    }
}
