//! A sliding window over a rate.

use std::{collections::VecDeque, time::Duration};

use shallotlead_base::time::Time;

/// Slots of the shortest window in which uses are kept.
const SLOTS: u64 = 128;
/// Longest window of a rate below one use per base window.
const LONGEST: Duration = Duration::from_secs(3_600);

/// Uses of a rate in a sliding window, against what the rate allowed over that window.
///
/// What is allowed is the integral of the rate over the window, not its value now. Rates of several
/// instances that add up to no more than the limit at each moment so keep within the limit over each
/// window too, also when a share moves from one instance to another in the middle of it.
#[derive(Debug)]
pub(crate) struct Window {
    base: Duration,
    span: Duration,
    /// Pieces of constant rate a second, oldest first; the first one holds since ever.
    rates: VecDeque<(Time, f64)>,
    /// Use by slot, oldest first.
    uses: VecDeque<(u64, f64)>,
    used: f64,
}

impl Window {
    /// A window of length `base` over a rate of `rate` a second. It is longer when the rate gives
    /// less than one use in that time.
    pub(crate) fn open(base: Duration, rate: f64) -> Self {
        Self {
            base,
            span: span(base, rate),
            rates: VecDeque::from([(Time::ZERO, rate)]),
            uses: VecDeque::new(),
            used: 0.0,
        }
    }

    /// The rate in force, a second.
    pub(crate) fn rate(&self) -> f64 {
        self.rates.back().map_or(0.0, |it| it.1)
    }

    /// From `now` on the rate is `rate`.
    pub(crate) fn set(&mut self, now: Time, rate: f64) {
        if (self.rate() - rate).abs() < f64::EPSILON {
            return;
        }
        self.forget(now);
        let span = span(self.base, rate);
        // Guards against credit from a time that is no longer on record: a longer window would count
        // the old rate for all of it, but not the uses. It shows as a burst when an allowance ends.
        if self.span < span {
            self.rates = VecDeque::from([(Time::ZERO, 0.0)]);
        }
        self.span = span;
        if self.rates.back().is_some_and(|it| it.0 == now) {
            self.rates.pop_back();
        }
        self.rates.push_back((now, rate));
    }

    /// The limit itself was changed: past shares count as if the new one had held, so that a change
    /// of the cell is at work at once.
    pub(crate) fn rescale(&mut self, rate: f64) {
        self.span = span(self.base, rate);
        self.rates = VecDeque::from([(Time::ZERO, rate)]);
    }

    /// What the rate allows over the window that ends `now`.
    pub(crate) fn allowed(&self, now: Time) -> f64 {
        let start = now - self.span;
        // Before its clock's origin the first rate held too.
        let missing = self.span.saturating_sub(now.since(Time::ZERO)).as_secs_f64();
        let mut sum = missing * self.rates.front().map_or(0.0, |it| it.1);
        for (i, (from, rate)) in self.rates.iter().enumerate() {
            let to = self.rates.get(i + 1).map_or(now, |it| it.0);
            sum += to.since((*from).max(start)).as_secs_f64() * rate;
        }
        sum
    }

    /// What was used in the window that ends `now`.
    pub(crate) fn used(&mut self, now: Time) -> f64 {
        self.forget(now);
        self.used
    }

    /// Whether `amount` more fits.
    pub(crate) fn fits(&mut self, now: Time, amount: f64) -> bool {
        self.used(now) + amount <= self.allowed(now) + TOLERANCE
    }

    /// Uses `amount`.
    pub(crate) fn take(&mut self, now: Time, amount: f64) {
        self.forget(now);
        let slot = self.slot(now);
        match self.uses.back_mut() {
            Some(last) if slot <= last.0 => last.1 += amount,
            _ => self.uses.push_back((slot, amount)),
        }
        self.used += amount;
    }

    /// Gives back `amount` of what was used at `at`.
    pub(crate) fn give_back(&mut self, now: Time, at: Time, amount: f64) {
        self.forget(now);
        let slot = self.slot(at);
        let Ok(i) = self.uses.binary_search_by_key(&slot, |it| it.0) else { return };
        let amount = amount.min(self.uses[i].1);
        self.uses[i].1 -= amount;
        self.used = (self.used - amount).max(0.0);
    }

    /// How long until `amount` fits if nothing else is used and the rate stays; `None` when it never
    /// will.
    pub(crate) fn wait(&mut self, now: Time, amount: f64) -> Option<Duration> {
        if self.rate() * self.span.as_secs_f64() + TOLERANCE < amount {
            return None;
        }
        self.forget(now);
        let mut over = self.used + amount - self.rate() * self.span.as_secs_f64();
        for (slot, use_) in &self.uses {
            if over <= TOLERANCE {
                break;
            }
            over -= use_;
            let free = self.end(*slot) + self.span;
            if over <= TOLERANCE {
                return Some(free.since(now));
            }
        }
        // Only the ramp after a rise of the rate is left.
        let ramp = self.rates.back().map_or(Time::ZERO, |it| it.0) + self.span;
        Some(if self.fits(now, amount) { Duration::ZERO } else { ramp.since(now) })
    }

    fn forget(&mut self, now: Time) {
        let start = now - self.span;
        if start == Time::ZERO {
            return;
        }
        while self.uses.front().is_some_and(|it| self.end(it.0) <= start) {
            if let Some((_, amount)) = self.uses.pop_front() {
                self.used = (self.used - amount).max(0.0);
            }
        }
        if self.uses.is_empty() {
            self.used = 0.0;
        }
        while self.rates.get(1).is_some_and(|it| it.0 <= start) {
            self.rates.pop_front();
        }
    }

    fn slot(&self, at: Time) -> u64 {
        at.0 / self.slot_len()
    }

    fn end(&self, slot: u64) -> Time {
        Time((slot + 1) * self.slot_len())
    }

    fn slot_len(&self) -> u64 {
        (self.base.as_micros() as u64 / SLOTS).max(1)
    }
}

fn span(base: Duration, rate: f64) -> Duration {
    if rate <= 0.0 {
        return base;
    }
    Duration::from_secs_f64((1.0 / rate).min(LONGEST.as_secs_f64())).max(base)
}

/// Rounding that a comparison forgives.
const TOLERANCE: f64 = 1e-6;
