//! Prompts as chains of block hashes.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use shallotlead_base::{hash, id::Weights, name};

pub use shallotlead_base::id::Block;

/// Bytes of prompt text in one block: about 64 tokens of 4 bytes.
pub const BLOCK_BYTES: usize = 256;
/// Tokens that one full block stands for.
pub const BLOCK_TOKENS: u32 = 64;

/// Each step of the grid of anchors is this part of the depth.
const GRID: usize = 8;

/// A prompt's full blocks, first to last.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Chain {
    /// The cumulative block hashes.
    pub blocks: Arc<[Block]>,
    /// Tokens of the whole prompt, the rest after the last full block included.
    pub tokens: u32,
}

impl Chain {
    /// Splits `prompt` into blocks.
    pub fn new(
        organisation: &name::Organisation,
        model: &name::Model,
        weights: Weights,
        prompt: &[u8],
    ) -> Self {
        let mut prev = salt(organisation, model, weights);
        let blocks = prompt
            .chunks_exact(BLOCK_BYTES)
            .map(|it| {
                prev = hash::seeded(it, prev);
                Block(prev)
            })
            .collect();
        Self { blocks, tokens: tokens(prompt) }
    }
}

impl Chain {
    /// A few blocks that stand for the chain: the deepest `max` of a grid of depths, each an eighth
    /// deeper than the one before. A prompt that shares a prefix with this one meets it in the
    /// deepest of them that lies within the prefix.
    pub fn anchors(&self, max: usize) -> Vec<Block> {
        let mut anchors = Vec::new();
        let mut depth = 1;
        while depth <= self.blocks.len() {
            anchors.push(self.blocks[depth - 1]);
            depth += (depth / GRID).max(1);
        }
        anchors.split_off(anchors.len().saturating_sub(max))
    }
}

fn salt(organisation: &name::Organisation, model: &name::Model, weights: Weights) -> u64 {
    let organisation = hash::seeded(organisation.as_str().as_bytes(), weights.0);
    hash::seeded(model.as_str().as_bytes(), organisation)
}

fn tokens(prompt: &[u8]) -> u32 {
    u32::try_from(prompt.len().div_ceil(BLOCK_BYTES / BLOCK_TOKENS as usize)).unwrap_or(u32::MAX)
}
