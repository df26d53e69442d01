//! A sample of a prompt's blocks that identifies its prefixes.

use serde::{Deserialize, Serialize};
use shallotlead_base::id::Block;

/// Most blocks in a path; they fit one datagram.
pub const MAX_STEPS: usize = 72;
/// Number of leading blocks of a prompt that are considered.
pub const MAX_DEPTH: u32 = 1 << 20;

/// Each step of the grid is the depth divided by this, so a match is too short by at most that
/// fraction.
const STEP_DIVISOR: u32 = 5;

/// One block and its depth: the number of blocks up to it, itself included.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Step {
    /// Number of leading blocks that the hash covers.
    pub depth: u32,
    /// The hash.
    pub block: Block,
}

/// A sample of a prompt's blocks, shallowest first.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(into = "Wire", try_from = "Wire")]
pub struct Path {
    /// The blocks, at most [`MAX_STEPS`].
    pub steps: Vec<Step>,
}

impl Path {
    /// Samples the blocks of a whole chain: the first ten, then ever wider steps, and the last.
    /// Prompts of different lengths are sampled at the same depths. 200 blocks give 26 steps, 1,000
    /// give 35.
    pub fn new(blocks: &[Block]) -> Self {
        let len = u32::try_from(blocks.len()).unwrap_or(u32::MAX).min(MAX_DEPTH);
        let step = |depth: u32| Some(Step { depth, block: *blocks.get(depth as usize - 1)? });
        Self { steps: grid(len).filter_map(step).collect() }
    }

    /// The block that decides the owner: the first, or the first at twice the depth as long as
    /// `is_split` says that too many prompts share it.
    pub fn key(&self, is_split: &dyn Fn(Block) -> bool) -> Option<Block> {
        let mut step = self.steps.first()?;
        while is_split(step.block) {
            let Some(next) = self.steps.iter().find(|it| 2 * step.depth <= it.depth) else { break };
            step = next;
        }
        Some(step.block)
    }

    /// The path from the block `key` on.
    pub(crate) fn starting_at(mut self, key: Block) -> Self {
        let start = self.steps.iter().position(|it| it.block == key).unwrap_or(0);
        self.steps.drain(..start);
        self
    }
}

/// Depths at which a prompt of `len` blocks is sampled.
fn grid(len: u32) -> impl Iterator<Item = u32> {
    let next = |depth: &u32| Some(depth + (depth / STEP_DIVISOR).max(1));
    let inner = std::iter::successors(Some(1), next).take_while(move |it| *it < len);
    inner.chain((0 < len).then_some(len))
}

/// Encoding of a path: the depths follow from the last one.
#[derive(Deserialize, Serialize)]
struct Wire {
    len: u32,
    blocks: Vec<[u8; 8]>,
}

impl From<Path> for Wire {
    fn from(path: Path) -> Self {
        let len = path.steps.last().map_or(0, |it| it.depth);
        let blocks = path.steps.iter().map(|it| it.block.0.to_le_bytes()).collect();
        Self { len, blocks }
    }
}

/// A path with more blocks or a greater depth than a prompt can have.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the blocks don't fit the prompt's length")]
pub struct LengthError;

impl TryFrom<Wire> for Path {
    type Error = LengthError;

    fn try_from(wire: Wire) -> Result<Self, LengthError> {
        if MAX_DEPTH < wire.len {
            return Err(LengthError);
        }
        let depths = grid(wire.len).collect::<Vec<_>>();
        // A path may begin at a deeper block if the first ones are split.
        let skipped = depths.len().checked_sub(wire.blocks.len()).ok_or(LengthError)?;
        let steps = depths.into_iter().skip(skipped).zip(wire.blocks);
        let step = |(depth, it)| Step { depth, block: Block(u64::from_le_bytes(it)) };
        Ok(Self { steps: steps.map(step).collect() })
    }
}
