//! Prompts that share long prefixes.

use rand::{Rng, rngs::SmallRng};
use shallotlead_base::hash;

use crate::traffic::deployment::Deployment;

/// The texts that prompts share.
#[derive(Debug)]
pub struct Library {
    /// For each organisation, its histories with the instructions before them.
    shared: Vec<Vec<String>>,
    seed: u64,
}

/// One prompt.
#[derive(Clone, Debug)]
pub struct Prompt {
    /// What it shares with others.
    pub shared: String,
    /// Its own end.
    pub question: String,
}

/// Length of a prompt's own end, in bytes.
const QUESTION: usize = 200;

impl Library {
    /// The texts of a deployment.
    pub fn new(deployment: &Deployment, seed: u64) -> Self {
        let lengths = &deployment.lengths;
        let shared = (0..).zip(deployment.organisations).map(|(index, organisation)| {
            let instructions =
                text(seed ^ hash::stable(organisation.name.as_bytes()), lengths.instructions);
            let history = |number: usize| {
                let seed = hash::seeded(&number.to_le_bytes(), seed ^ index);
                format!("{instructions}{}", text(seed, lengths.history))
            };
            (0..lengths.histories).map(history).collect()
        });
        Self { shared: shared.collect(), seed }
    }

    /// A prompt on one of the organisation's histories, the first ones more often (Zipf).
    pub fn prompt(&self, organisation: usize, number: u64, random: &mut SmallRng) -> Prompt {
        let shared = &self.shared[organisation];
        let weight = |rank: usize| 1.0 / (rank + 1) as f64;
        let mut left = random.random_range(0.0..(0..shared.len()).map(weight).sum());
        let mut rank = 0;
        while rank + 1 < shared.len() && weight(rank) <= left {
            left -= weight(rank);
            rank += 1;
        }
        let question = text(hash::seeded(&number.to_le_bytes(), self.seed), QUESTION);
        Prompt { shared: shared[rank].clone(), question }
    }
}

const WORDS: [&str; 16] = [
    "wall",
    "reading",
    "moisture",
    "line",
    "kiosk",
    "fault",
    "north",
    "stairwell",
    "handset",
    "window",
    "seven",
    "cable",
    "plaster",
    "signal",
    "corner",
    "report",
];

/// Text of `length` bytes that depends on `seed` alone.
fn text(seed: u64, length: usize) -> String {
    let mut text = String::with_capacity(length + WORDS.len());
    let mut state = seed;
    while text.len() < length {
        state = hash::seeded(&state.to_le_bytes(), seed);
        let index = usize::try_from(state % WORDS.len() as u64).unwrap_or(0);
        text.push_str(WORDS[index]);
        text.push(' ');
    }
    text.truncate(length);
    text
}
