//! The queue of facts to gossip.

use std::cmp::Reverse;

use crate::membership::fact::Fact;

/// Most facts in the queue. The rest is left to anti-entropy, which bounds the cost of a burst of
/// changes.
const MAX_ENTRIES: usize = 96;
/// Largest fact that is gossiped, in bytes.
const MAX_FACT_BYTES: usize = 700;

#[derive(Debug)]
struct Entry {
    fact: Fact,
    size: usize,
    /// How many more times the fact is to be sent.
    transmissions_left: u32,
}

/// Facts to gossip, each a bounded number of times.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    entries: Vec<Entry>,
}

impl Queue {
    /// Queues `fact` to be sent `times` times, in place of any fact on the same subject.
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

    /// Whether no fact is left to send.
    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Takes facts of at most `budget` bytes for `copies` receivers, those sent the fewest times
    /// first.
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
