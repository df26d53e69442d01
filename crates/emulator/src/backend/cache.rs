//! The cache of prompts in an engine.

use std::collections::VecDeque;

use shallotlead_gateway::adapter::Part;

/// Cached prefixes of prompts, least recently used first.
#[derive(Debug)]
pub(super) struct Cache {
    capacity_tokens: u32,
    /// Parts by the hash of the prompt up to them, with their tokens.
    parts: VecDeque<(u64, u32)>,
    tokens: u32,
}

impl Cache {
    pub(super) fn new(capacity_tokens: u32) -> Self {
        Self { capacity_tokens, parts: VecDeque::new(), tokens: 0 }
    }

    /// Adds a prompt. Returns the tokens that weren't cached.
    pub(super) fn insert(&mut self, prompt: &[Part]) -> u32 {
        let (mut uncached, mut prefix, mut is_cached) = (0, 0_u64, true);
        for part in prompt {
            prefix = prefix.rotate_left(7).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ part.id;
            let position = self.parts.iter().position(|it| it.0 == prefix);
            is_cached &= position.is_some();
            if let Some(position) = position {
                self.parts.remove(position);
                self.tokens -= part.tokens;
            }
            if !is_cached {
                uncached += part.tokens;
            }
            self.parts.push_back((prefix, part.tokens));
            self.tokens += part.tokens;
        }
        while self.capacity_tokens < self.tokens {
            let Some((_, tokens)) = self.parts.pop_front() else { break };
            self.tokens -= tokens;
        }
        uncached
    }
}
