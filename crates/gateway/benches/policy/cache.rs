//! An LRU cache of prompt parts.

use shallotlead_base::hash::Map;
use shallotlead_gateway::adapter::Part;

/// The parts that an engine or the store holds, keyed by their ID and the weights' version.
#[derive(Debug, Default)]
pub(crate) struct Cache {
    parts: Map<(u64, u64), Entry>,
    tokens: u64,
    clock: u64,
}

#[derive(Debug)]
struct Entry {
    tokens: u32,
    last_used: u64,
}

impl Cache {
    /// Returns how many tokens of `parts` are cached from the start of the prompt on, and marks
    /// them as used.
    pub(crate) fn use_prefix(&mut self, parts: &[Part], weights: u64) -> u32 {
        self.clock += 1;
        let mut tokens = 0;
        for part in parts {
            let Some(entry) = self.parts.get_mut(&(part.id, weights)) else { break };
            entry.last_used = self.clock;
            tokens += part.tokens;
        }
        tokens
    }

    /// The same as [`Self::use_prefix`], without marking the parts as used.
    pub(crate) fn peek_prefix(&self, parts: &[Part], weights: u64) -> u32 {
        let cached = parts.iter().take_while(|it| self.parts.contains_key(&(it.id, weights)));
        cached.map(|it| it.tokens).sum()
    }

    /// Adds `parts` and evicts others until at most `room` tokens are left.
    pub(crate) fn add(&mut self, parts: &[Part], weights: u64, room: u64) {
        self.clock += 1;
        for part in parts {
            let entry = Entry { tokens: part.tokens, last_used: self.clock };
            if self.parts.insert((part.id, weights), entry).is_none() {
                self.tokens += u64::from(part.tokens);
            }
        }
        self.evict_to(room);
    }

    /// Evicts the least recently used parts until at most `room` tokens are left.
    pub(crate) fn evict_to(&mut self, room: u64) {
        while room < self.tokens {
            let oldest = self.parts.iter().min_by_key(|it| (it.1.last_used, it.0)).map(|it| *it.0);
            let Some(evicted) = oldest.and_then(|it| self.parts.remove(&it)) else { return };
            self.tokens -= u64::from(evicted.tokens);
        }
    }

    pub(crate) fn clear(&mut self) {
        self.parts.clear();
        self.tokens = 0;
    }
}
