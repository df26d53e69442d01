//! The deployments, in the sizes that decide, and their traffic.

use std::time::Duration;

use rand::{Rng, rngs::SmallRng};
use shallotlead_gateway::adapter::Part;

/// Steps of an engine, ms: one with nothing to read, and what each running request adds.
pub(crate) const STEP_MS: f64 = 3.9;
pub(crate) const RUNNING_STEP_MS: f64 = 0.047;
/// Prompt tokens that an engine reads in a step at most, and in a millisecond.
pub(crate) const CHUNK: u32 = 1_024;
pub(crate) const READ_PER_MS: f64 = 91.8;
/// Time that an engine takes to load weights, ms, while no more do so than load at full speed.
pub(crate) const LOAD_MS: f64 = 570.0;
/// Shared prefixes of each organisation, for long and short prompts: about 220 long ones of 6,300
/// tokens and 500 short ones of 190 are in use at a time.
const LONG_PREFIXES: u64 = 28;
const SHORT_PREFIXES: u64 = 64;
const ORGANISATIONS: u64 = 8;

/// A deployment.
#[derive(Debug)]
pub(crate) struct Site {
    pub(crate) name: &'static str,
    pub(crate) instances: usize,
    pub(crate) engines: usize,
    pub(crate) centres: usize,
    /// Tokens that fit into an engine's memory, and into the store of cached prompts.
    pub(crate) memory: u64,
    pub(crate) store_memory: u64,
    /// Tokens that an engine's link and the store's carry in a millisecond within a data centre: 260,
    /// and 190 or 360, Gbit/s at 96,256 bytes a token.
    pub(crate) link_per_ms: f64,
    pub(crate) store_link_per_ms: f64,
    /// Engines that load weights at full speed together.
    pub(crate) loading: usize,
    /// Time between two namings of weights.
    pub(crate) naming: Duration,
    pub(crate) long: Kind,
    pub(crate) short: Kind,
}

/// A kind of prompt.
#[derive(Debug)]
pub(crate) struct Kind {
    /// Prompts a second.
    pub(crate) rate: f64,
    /// Mean tokens that are shared, and that aren't.
    shared: u32,
    own: u32,
    /// Tokens of an answer.
    pub(crate) answer: u32,
    /// Time to the first token that is in time.
    pub(crate) aim: Duration,
}

pub(crate) const UMEZEALA: Site = Site {
    name: "umezeala",
    instances: 7,
    engines: 9,
    centres: 3,
    memory: 112_401,
    store_memory: 1_360_775,
    link_per_ms: 338.0,
    store_link_per_ms: 247.0,
    loading: 2,
    naming: Duration::from_millis(5_700),
    long: Kind {
        rate: 39.8,
        shared: 6_300,
        own: 2_890,
        answer: 10,
        aim: Duration::from_millis(500),
    },
    short: Kind { rate: 62.1, shared: 198, own: 628, answer: 58, aim: Duration::from_millis(300) },
};

pub(crate) const UBUNTU_CONNECT: Site = Site {
    name: "ubuntu-connect",
    instances: 6,
    engines: 18,
    centres: 4,
    memory: 113_246,
    store_memory: 2_551_625,
    link_per_ms: 338.0,
    store_link_per_ms: 467.0,
    loading: 3,
    naming: Duration::from_millis(5_700),
    long: Kind {
        rate: 77.1,
        shared: 6_300,
        own: 2_890,
        answer: 9,
        aim: Duration::from_millis(400),
    },
    short: Kind { rate: 84.9, shared: 198, own: 628, answer: 49, aim: Duration::from_millis(300) },
};

/// One prompt.
#[derive(Clone, Debug)]
pub(crate) struct Prompt {
    pub(crate) parts: Vec<Part>,
    pub(crate) answer: u32,
    pub(crate) aim: Duration,
    pub(crate) is_long: bool,
}

impl Prompt {
    /// The parts that other requests share: all but the last one.
    pub(crate) fn shared(&self) -> &[Part] {
        self.parts.split_last().map_or(&[], |it| it.1)
    }

    /// All tokens.
    pub(crate) fn tokens(&self) -> u32 {
        self.parts.iter().map(|it| it.tokens).sum()
    }
}

impl Site {
    /// The prompt `number`.
    pub(crate) fn prompt(&self, number: u64, random: &mut SmallRng) -> Prompt {
        let is_long = random.random_bool(self.long.rate / (self.long.rate + self.short.rate));
        let (kind, prefixes) = match is_long {
            true => (&self.long, LONG_PREFIXES),
            false => (&self.short, SHORT_PREFIXES),
        };
        // A quarter of the shared tokens are the organisation's, the rest the prefix's own.
        let organisation = organisation(random);
        let prefix = random.random_range(0..prefixes);
        let kind_id = u64::from(is_long) << 40;
        let root = kind_id | organisation << 32;
        let shared = spread(root | prefix << 8, kind.shared);
        let own = random.random_range(kind.own / 2..kind.own * 3 / 2);
        let parts = vec![
            Part { id: root | 1, tokens: kind.shared / 4 },
            Part { id: root | prefix << 8 | 2, tokens: shared.saturating_sub(kind.shared / 4) },
            Part { id: 1 << 50 | number, tokens: own },
        ];
        Prompt { parts, answer: kind.answer, aim: kind.aim, is_long }
    }

    /// Prompts a second.
    pub(crate) fn rate(&self) -> f64 {
        self.long.rate + self.short.rate
    }
}

/// An organisation; the first ones are the large ones.
fn organisation(random: &mut SmallRng) -> u64 {
    let weight = |it: u64| 1.0 / (it + 1) as f64;
    let mut left = random.random_range(0.0..(0..ORGANISATIONS).map(weight).sum());
    for it in 0..ORGANISATIONS {
        if left < weight(it) {
            return it;
        }
        left -= weight(it);
    }
    0
}

/// A size between half of the mean and one and a half, always the same for `id`.
fn spread(id: u64, mean: u32) -> u32 {
    let mixed = id.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40;
    mean / 2 + (mixed % u64::from(mean)) as u32
}
