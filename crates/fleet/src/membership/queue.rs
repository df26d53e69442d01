//! Facts that are still being passed on.

use std::cmp::Reverse;

use crate::membership::fact::Fact;

/// Facts in the queue at most. What doesn't fit is left to the exchanges, so that a storm of
/// changes costs no more than this at a time.
const MAX_ENTRIES: usize = 96;
/// Largest fact that is passed on this way, in bytes.
const MAX_FACT_BYTES: usize = 700;

#[derive(Debug)]
struct Entry {
    fact: Fact,
    size: usize,
    /// How often it is still to be sent.
    transmissions_left: u32,
}

/// Facts that are still being passed on, each a bounded number of times.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    entries: Vec<Entry>,
}

impl Queue {
    /// Passes `fact` on `times` times. A fact about the same thing is replaced.
    pub(crate) fn push(&mut self, fact: Fact, times: u32) {
        let subject = fact.subject();
        self.entries.retain(|it| it.fact.subject() != subject);
        let size = fact.size();
        if MAX_FACT_BYTES < size {
            return;
        }
        if MAX_ENTRIES <= self.entries.len() {
            self.drop_most_sent();
        }
        self.entries.push(Entry { fact, size, transmissions_left: times });
    }

    fn drop_most_sent(&mut self) {
        let oldest = self.entries.iter().enumerate().min_by_key(|(_, it)| it.transmissions_left);
        if let Some((index, _)) = oldest {
            self.entries.swap_remove(index);
        }
    }

    /// Whether nothing is left to pass on.
    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Facts of at most `budget` bytes for `copies` receivers, the least sent first.
    pub(crate) fn take(&mut self, budget: usize, copies: u32) -> Vec<Fact> {
        self.entries.sort_by_key(|it| Reverse(it.transmissions_left));
        let mut rest = budget;
        let mut facts = Vec::new();
        for rumour in &mut self.entries {
            if rest < rumour.size {
                continue;
            }
            rest -= rumour.size;
            rumour.transmissions_left = rumour.transmissions_left.saturating_sub(copies);
            facts.push(rumour.fact.clone());
        }
        self.entries.retain(|it| 0 < it.transmissions_left);
        facts
    }
}
