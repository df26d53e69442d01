//! The stream of cache events: numbered, late, and with losses.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::engine::cache::Event;

/// Cache events of one life.
#[derive(Debug)]
pub(crate) struct Log {
    entries: VecDeque<Entry>,
    next: u64,
    random: SmallRng,
    /// Share of events that are lost, 0 to 1.
    pub(crate) loss: f64,
    /// How long an event takes to show.
    pub(crate) delay: Duration,
}

#[derive(Debug)]
struct Entry {
    number: u64,
    at: Instant,
    /// `None`: lost.
    event: Option<Event>,
}

/// Events in a row without a gap.
#[derive(Debug, Eq, PartialEq)]
pub(crate) struct Batch {
    /// Number of the first one.
    pub(crate) first: u64,
    pub(crate) events: Vec<Event>,
}

impl Log {
    /// An empty log.
    pub(crate) fn new(loss: f64, delay: Duration, seed: u64) -> Self {
        Self {
            entries: VecDeque::new(),
            next: 1,
            random: SmallRng::seed_from_u64(seed),
            loss,
            delay,
        }
    }

    /// Begins a new life: numbers start again.
    pub(crate) fn reset(&mut self) {
        self.entries.clear();
        self.next = 1;
    }

    /// Number of the last event.
    pub(crate) fn last(&self) -> u64 {
        self.next - 1
    }

    /// Adds events; each may get lost, which leaves its number out.
    pub(crate) fn push(&mut self, events: impl IntoIterator<Item = Event>) {
        for event in events {
            let is_lost = self.random.random_bool(self.loss.clamp(0.0, 1.0));
            let event = (!is_lost).then_some(event);
            self.entries.push_back(Entry { number: self.next, at: Instant::now(), event });
            self.next += 1;
            if KEPT < self.entries.len() {
                self.entries.pop_front();
            }
        }
    }

    /// The first visible events after number `after`, up to the next lost one.
    pub(crate) fn after(&self, after: u64) -> Option<Batch> {
        let mut batch = Batch { first: 0, events: Vec::new() };
        let visible = self.entries.iter().take_while(|it| self.delay <= it.at.elapsed());
        for entry in visible.skip_while(|it| it.number <= after) {
            match entry.event {
                Some(event) => {
                    if batch.events.is_empty() {
                        batch.first = entry.number;
                    }
                    batch.events.push(event);
                }
                None if batch.events.is_empty() => {}
                None => break,
            }
            if MOST <= batch.events.len() {
                break;
            }
        }
        (!batch.events.is_empty()).then_some(batch)
    }
}

/// Events kept for late readers.
const KEPT: usize = 100_000;
/// Most events in one answer.
const MOST: usize = 4_096;
