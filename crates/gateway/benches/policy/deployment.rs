//! The simulated deployments and their traffic.

use std::time::Duration;

use rand::{Rng, rngs::SmallRng};
use shallotlead_gateway::adapter::Part;

/// Duration of an engine's step without prefill, and what each running request adds, ms.
pub(crate) const STEP_MS: f64 = 3.9;
pub(crate) const STEP_MS_PER_RUN: f64 = 0.047;
/// Most prompt tokens that an engine prefills in one step, and in a millisecond.
pub(crate) const PREFILL_CHUNK: u32 = 1_024;
pub(crate) const PREFILL_TOKENS_PER_MS: f64 = 91.8;
/// Time in which an engine loads weights, ms, if no more than `parallel_loads` engines do so.
pub(crate) const WEIGHTS_LOAD_MS: f64 = 570.0;
/// Shared prefixes of each organisation, for long and for short prompts: about 220 long ones of
/// 6,300 tokens and 500 short ones of 190 are in use at a time.
const LONG_PREFIXES: u64 = 28;
const SHORT_PREFIXES: u64 = 64;
const ORGANISATIONS: u64 = 8;

/// A deployment's size and traffic.
#[derive(Debug)]
pub(crate) struct Deployment {
    pub(crate) name: &'static str,
    pub(crate) instances: usize,
    pub(crate) engines: usize,
    pub(crate) centres: usize,
    /// Tokens that fit into an engine's memory, and into the store of cached prompts.
    pub(crate) memory_tokens: u64,
    pub(crate) store_memory_tokens: u64,
    /// Tokens per millisecond over an engine's link and the store's, within a data centre: 260, and
    /// 190 or 360, Gbit/s at 96,256 bytes a token.
    pub(crate) link_tokens_per_ms: f64,
    pub(crate) store_link_tokens_per_ms: f64,
    /// Engines that can load weights at full speed at the same time.
    pub(crate) parallel_loads: usize,
    /// Time between two publications of weights.
    pub(crate) publication_interval: Duration,
    pub(crate) long: Workload,
    pub(crate) short: Workload,
}

/// One kind of prompts.
#[derive(Debug)]
pub(crate) struct Workload {
    /// Requests a second.
    pub(crate) rate: f64,
    /// Mean number of shared tokens, and of tokens that only one request has.
    shared: u32,
    unshared: u32,
    /// Tokens of an answer.
    pub(crate) answer: u32,
    /// Target for the time to the first token.
    pub(crate) latency_target: Duration,
}

pub(crate) const UMEZEALA: Deployment = Deployment {
    name: "umezeala",
    instances: 7,
    engines: 9,
    centres: 3,
    memory_tokens: 112_401,
    store_memory_tokens: 1_360_775,
    link_tokens_per_ms: 338.0,
    store_link_tokens_per_ms: 247.0,
    parallel_loads: 2,
    publication_interval: Duration::from_millis(5_700),
    long: Workload {
        rate: 39.8,
        shared: 6_300,
        unshared: 2_890,
        answer: 10,
        latency_target: Duration::from_millis(500),
    },
    short: Workload {
        rate: 62.1,
        shared: 198,
        unshared: 628,
        answer: 58,
        latency_target: Duration::from_millis(300),
    },
};

pub(crate) const UBUNTU_CONNECT: Deployment = Deployment {
    name: "ubuntu-connect",
    instances: 6,
    engines: 18,
    centres: 4,
    memory_tokens: 113_246,
    store_memory_tokens: 2_551_625,
    link_tokens_per_ms: 338.0,
    store_link_tokens_per_ms: 467.0,
    parallel_loads: 3,
    publication_interval: Duration::from_millis(5_700),
    long: Workload {
        rate: 77.1,
        shared: 6_300,
        unshared: 2_890,
        answer: 9,
        latency_target: Duration::from_millis(400),
    },
    short: Workload {
        rate: 84.9,
        shared: 198,
        unshared: 628,
        answer: 49,
        latency_target: Duration::from_millis(300),
    },
};

/// A request's prompt.
#[derive(Clone, Debug)]
pub(crate) struct Prompt {
    pub(crate) parts: Vec<Part>,
    pub(crate) answer: u32,
    pub(crate) latency_target: Duration,
    pub(crate) is_long: bool,
}

impl Prompt {
    /// The parts that other requests may share: all but the last.
    pub(crate) fn shared(&self) -> &[Part] {
        self.parts.split_last().map_or(&[], |it| it.1)
    }

    /// Number of tokens of all parts.
    pub(crate) fn tokens(&self) -> u32 {
        self.parts.iter().map(|it| it.tokens).sum()
    }
}

impl Deployment {
    /// Draws the prompt of request `number`.
    pub(crate) fn prompt(&self, number: u64, random: &mut SmallRng) -> Prompt {
        let is_long = random.random_bool(self.long.rate / (self.long.rate + self.short.rate));
        let (workload, prefixes) = match is_long {
            true => (&self.long, LONG_PREFIXES),
            false => (&self.short, SHORT_PREFIXES),
        };
        // A quarter of the shared tokens belongs to the organisation, the rest to the prefix.
        let organisation = pick_organisation(random);
        let prefix = random.random_range(0..prefixes);
        let workload_id = u64::from(is_long) << 40;
        let root = workload_id | organisation << 32;
        let shared = spread_around(root | prefix << 8, workload.shared);
        let own = random.random_range(workload.unshared / 2..workload.unshared * 3 / 2);
        let parts = vec![
            Part { id: root | 1, tokens: workload.shared / 4 },
            Part { id: root | prefix << 8 | 2, tokens: shared.saturating_sub(workload.shared / 4) },
            Part { id: 1 << 50 | number, tokens: own },
        ];
        Prompt { parts, answer: workload.answer, latency_target: workload.latency_target, is_long }
    }

    /// Requests a second, of both kinds.
    pub(crate) fn rate(&self) -> f64 {
        self.long.rate + self.short.rate
    }
}

/// Draws an organisation; weights fall as 1/n, so that the first ones have the most requests.
fn pick_organisation(random: &mut SmallRng) -> u64 {
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

/// A size between 0.5 and 1.5 times `mean` that depends on `id` only.
fn spread_around(id: u64, mean: u32) -> u32 {
    let mixed = id.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40;
    mean / 2 + (mixed % u64::from(mean)) as u32
}
