//! Facts that are still being passed on.

use std::cmp::Reverse;

use crate::membership::fact::Fact;

/// Facts in the queue at most. What doesn't fit is left to the exchanges, so that a storm of
/// changes costs no more than this at a time.
const MAX_QUEUE: usize = 96;
/// Largest fact that is passed on this way, in bytes.
const MAX_FACT: usize = 700;

#[derive(Debug)]
struct Rumour {
    fact: Fact,
    size: usize,
    /// How often it is still to be sent.
    left: u32,
}

/// Facts that are still being passed on, each a bounded number of times.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    rumours: Vec<Rumour>,
}

impl Queue {
    /// Passes `fact` on `times` times. A fact about the same thing is replaced.
    pub(crate) fn push(&mut self, fact: Fact, times: u32) {
        let subject = fact.subject();
        self.rumours.retain(|it| it.fact.subject() != subject);
        let size = fact.size();
        if MAX_FACT < size {
            return;
        }
        if MAX_QUEUE <= self.rumours.len() {
            self.drop_oldest();
        }
        self.rumours.push(Rumour { fact, size, left: times });
    }

    fn drop_oldest(&mut self) {
        let oldest = self.rumours.iter().enumerate().min_by_key(|(_, it)| it.left);
        if let Some((index, _)) = oldest {
            self.rumours.swap_remove(index);
        }
    }

    /// Whether nothing is left to pass on.
    pub(crate) fn is_empty(&self) -> bool {
        self.rumours.is_empty()
    }

    /// Facts of at most `budget` bytes for `copies` receivers, the least sent first.
    pub(crate) fn take(&mut self, budget: usize, copies: u32) -> Vec<Fact> {
        self.rumours.sort_by_key(|it| Reverse(it.left));
        let mut rest = budget;
        let mut facts = Vec::new();
        for rumour in &mut self.rumours {
            if rest < rumour.size {
                continue;
            }
            rest -= rumour.size;
            rumour.left = rumour.left.saturating_sub(copies);
            facts.push(rumour.fact.clone());
        }
        self.rumours.retain(|it| 0 < it.left);
        facts
    }
}
