//! What is emulated.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IteratorRandom};
use shallotlead_gateway::budget;

use crate::{
    backend::Power,
    fault::{self, Fault, Harm, Target},
};

/// The model of all engines.
pub(crate) const MODEL: &str = "m";

/// When most engines fall silent in [`Scenario::silent`], and for how long.
const SILENCES: [Duration; 2] = [Duration::from_secs(6), Duration::from_secs(10)];
const SILENCE: Duration = Duration::from_secs(1);
/// When new weights are published after that.
const WEIGHTS_AFTER: Duration = Duration::from_millis(400);

/// A deployment, its load and its faults.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Seed of all that is drawn.
    pub seed: u64,
    /// Number of instances.
    pub instances: u16,
    /// Number of model engines.
    pub engines: u16,
    /// Number of plain servers.
    pub plain: u16,
    /// How long callers send requests.
    pub duration: Duration,
    /// Requests of all callers.
    pub requests_per_s: f64,
    /// Number of different parts that prompts share.
    pub prefixes: u64,
    /// The servers.
    pub power: Power,
    /// The retry budget that all instances share.
    pub retries: budget::Policy,
    /// Requests a second that callers may send through all instances together, all of one organisation.
    pub quota_per_s: Option<f64>,
    /// Callers leave a stream from which nothing comes for so long, also before its first event.
    pub patience: Option<Duration>,
    /// Fraction of packets that are lost.
    pub loss: f64,
    /// What goes wrong.
    pub faults: Vec<Fault>,
}

impl Scenario {
    /// A calm deployment of `instances` instances.
    pub fn calm(instances: u16, seed: u64) -> Self {
        Self {
            seed,
            instances,
            engines: 4,
            plain: 3,
            duration: Duration::from_secs(30),
            requests_per_s: 40.0,
            prefixes: 20,
            power: Power {
                slots: 8,
                queue: 16,
                prefill: Duration::from_micros(60),
                decode: Duration::from_millis(20),
                capacity_tokens: 100_000,
                work: Duration::from_millis(15),
                load: Duration::from_millis(800),
            },
            retries: budget::Policy { ratio: 0.2, window: Duration::from_secs(10), slack: 20.0 },
            quota_per_s: None,
            patience: None,
            loss: 0.0,
            faults: Vec::new(),
        }
    }

    /// The same with a load, a retry budget and faults that are drawn by the seed. At the highest load the engines decline prompts.
    pub fn stormy(instances: u16, seed: u64, duration: Duration) -> Self {
        let mut scenario = Self { duration, ..Self::calm(instances, seed) };
        let mut rng = SmallRng::seed_from_u64(seed);
        scenario.requests_per_s = rng.random_range(20.0..160.0);
        scenario.engines = rng.random_range(2..=4);
        scenario.plain = rng.random_range(1..=3);
        scenario.power.queue = rng.random_range(1..16);
        scenario.retries.ratio = rng.random_range(0.01..0.2);
        scenario.retries.slack = rng.random_range(2.0..20.0);
        scenario.faults = fault::draw(&mut rng, &scenario);
        scenario
    }

    /// A deployment of long streams on small engines. Twice, three fifths of the engines fall silent for a second, a
    /// configuration is published, and then new weights.
    pub fn silent(instances: u16, seed: u64) -> Self {
        let calm = Self::calm(instances, seed);
        let engines = 8 + instances * 2 / 5;
        let power = Power {
            slots: 16,
            queue: 1,
            prefill: Duration::from_micros(20),
            decode: Duration::from_millis(100),
            ..calm.power
        };
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut faults = Vec::new();
        for at in SILENCES {
            let silent = (0..engines).choose_multiple(&mut rng, usize::from(engines) * 3 / 5);
            let freezes = silent.into_iter().map(|it| Harm::Freeze(Target::Engine(it)));
            faults.extend(freezes.map(|harm| Fault { harm, at, lasts: SILENCE }));
            let lasts = Duration::ZERO;
            faults.push(Fault { harm: Harm::Configuration, at, lasts });
            faults.push(Fault { harm: Harm::Weights, at: at + WEIGHTS_AFTER, lasts });
        }
        Self {
            engines,
            prefixes: 4 * u64::from(engines),
            power,
            faults,
            retries: budget::Policy {
                ratio: 0.1,
                window: Duration::from_secs(2),
                slack: 8.0 * f64::from(instances),
            },
            duration: Duration::from_secs(14),
            requests_per_s: 12.0 * f64::from(engines),
            ..calm
        }
    }

    /// Whether nothing happens to which a stream may be lost.
    pub(crate) fn is_usual(&self) -> bool {
        self.loss == 0.0 && self.faults.iter().all(Fault::is_usual)
    }
}
