//! Cached parts of prompts, of which the least recently used ones yield.

use shallotlead_base::hash::Map;
use shallotlead_gateway::adapter::Part;

/// The parts that an engine or a store keeps, by their identity and weights.
#[derive(Debug, Default)]
pub(crate) struct Cache {
    parts: Map<(u64, u64), Kept>,
    tokens: u64,
    clock: u64,
}

#[derive(Debug)]
struct Kept {
    tokens: u32,
    used: u64,
}

impl Cache {
    /// Tokens of `parts` that are kept from the prompt's start on. They count as used.
    pub(crate) fn take(&mut self, parts: &[Part], weights: u64) -> u32 {
        self.clock += 1;
        let mut tokens = 0;
        for part in parts {
            let Some(kept) = self.parts.get_mut(&(part.id, weights)) else { break };
            kept.used = self.clock;
            tokens += part.tokens;
        }
        tokens
    }

    /// The same without using them.
    pub(crate) fn look(&self, parts: &[Part], weights: u64) -> u32 {
        let kept = parts.iter().take_while(|it| self.parts.contains_key(&(it.id, weights)));
        kept.map(|it| it.tokens).sum()
    }

    /// Keeps `parts` in at most `room` tokens.
    pub(crate) fn put(&mut self, parts: &[Part], weights: u64, room: u64) {
        self.clock += 1;
        for part in parts {
            let kept = Kept { tokens: part.tokens, used: self.clock };
            if self.parts.insert((part.id, weights), kept).is_none() {
                self.tokens += u64::from(part.tokens);
            }
        }
        self.shrink(room);
    }

    /// Lets parts go until at most `room` tokens are kept.
    pub(crate) fn shrink(&mut self, room: u64) {
        while room < self.tokens {
            let oldest = self.parts.iter().min_by_key(|it| (it.1.used, it.0)).map(|it| *it.0);
            let Some(kept) = oldest.and_then(|it| self.parts.remove(&it)) else { return };
            self.tokens -= u64::from(kept.tokens);
        }
    }

    pub(crate) fn clear(&mut self) {
        self.parts.clear();
        self.tokens = 0;
    }
}
