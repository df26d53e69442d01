//! Faults.

use std::{fmt, time::Duration};

use rand::{Rng, rngs::SmallRng};

use crate::scenario::Scenario;

/// Number of faults that are drawn for a scenario.
const FEWEST: usize = 2;
const MOST: usize = 9;
/// When the first fault may begin, ms: the deployment has started.
const EARLIEST_MS: u64 = 3_500;
/// Longest time that a fault lasts, ms.
const LONGEST_MS: u64 = 8_000;
const LONGEST_FREEZE_MS: u64 = 4_000;
/// Longest time that a sound server falls silent.
const LONGEST_SOUND_SILENCE: Duration = Duration::from_millis(1_400);
/// Longest step of a wall clock, ms.
const CLOCK_STEP_MS: i64 = 400;
/// Time that a process has to end by itself.
const RESTART_TIME: Duration = Duration::from_secs(11);

/// A part of the deployment that a fault hits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Target {
    /// The instance with this index.
    Instance(u16),
    /// The engine with this index.
    Engine(u16),
    /// The plain server with this index.
    Plain(u16),
    /// The platform's store.
    Store,
}

impl Target {
    /// The name of a backend server.
    pub(crate) fn server_name(self) -> Option<String> {
        match self {
            Self::Engine(it) => Some(format!("e{it}")),
            Self::Plain(it) => Some(format!("p{it}")),
            Self::Instance(_) | Self::Store => None,
        }
    }
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Harm {
    /// The process ends at once, and starts again at the end of the fault.
    Kill(Target),
    /// The process is asked to end, and starts again at the end of the fault.
    Restart(Target),
    /// The process does nothing until the end of the fault.
    Freeze(Target),
    /// Nothing arrives from the first at the second.
    Cut(Target, Target),
    /// This fraction of all packets is lost.
    Loss(f64),
    /// The store's calls take this long.
    SlowStore(Duration),
    /// The machine's wall clock is set forward or back by this many milliseconds, and again at the end of the fault.
    ClockStep(Target, i64),
    /// A server's entry in the store can't be read.
    DamagedEntry(Target),
    /// A new version of the configuration is published, which changes nothing else.
    Configuration,
    /// New weights are published.
    Weights,
}

/// One fault with its time, from the start of the emulation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    /// What goes wrong.
    pub harm: Harm,
    /// When it begins.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
}

impl Fault {
    /// Whether it is part of usual operation, so that no stream may be lost to it.
    pub(crate) fn is_usual(&self) -> bool {
        match self.harm {
            Harm::Freeze(Target::Engine(_)) => self.lasts <= LONGEST_SOUND_SILENCE,
            Harm::Configuration | Harm::Weights => true,
            _ => false,
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { harm, at, lasts } = self;
        write!(f, "{:.3} s for {:.3} s: {harm:?}", at.as_secs_f64(), lasts.as_secs_f64())
    }
}

/// Draws faults within `duration`, after the deployment's start.
pub(crate) fn draw(rng: &mut SmallRng, scenario: &Scenario) -> Vec<Fault> {
    let count = rng.random_range(FEWEST..=MOST);
    let mut faults: Vec<Fault> = (0..count).map(|_| draw_one(rng, scenario)).collect();
    faults.sort_by_key(|it| it.at);
    faults
}

fn draw_one(rng: &mut SmallRng, scenario: &Scenario) -> Fault {
    let harm = match rng.random_range(0..13) {
        0 | 1 => Harm::Kill(target(rng, scenario)),
        2 | 3 => Harm::Freeze(target(rng, scenario)),
        4 | 5 => Harm::Cut(target(rng, scenario), target(rng, scenario)),
        6 => Harm::Restart(server(rng, scenario)),
        7 => Harm::Loss(rng.random_range(0.005..0.1)),
        8 => Harm::SlowStore(Duration::from_millis(rng.random_range(100..3_000))),
        9 => Harm::ClockStep(
            instance(rng, scenario),
            rng.random_range(-CLOCK_STEP_MS..CLOCK_STEP_MS),
        ),
        10 => Harm::DamagedEntry(server(rng, scenario)),
        11 => Harm::Configuration,
        _ => Harm::Weights,
    };
    let lasts = match harm {
        Harm::Restart(_) => RESTART_TIME,
        Harm::Freeze(_) => Duration::from_millis(rng.random_range(50..LONGEST_FREEZE_MS)),
        _ => Duration::from_millis(rng.random_range(300..LONGEST_MS)),
    };
    let latest = scenario.duration.as_millis() as u64;
    Fault { harm, at: Duration::from_millis(rng.random_range(EARLIEST_MS..latest)), lasts }
}

fn instance(rng: &mut SmallRng, scenario: &Scenario) -> Target {
    Target::Instance(rng.random_range(0..scenario.instances))
}

fn server(rng: &mut SmallRng, scenario: &Scenario) -> Target {
    let Scenario { engines, plain, .. } = *scenario;
    match rng.random_range(0..3) {
        0 => Target::Engine(rng.random_range(0..engines)),
        1 => Target::Plain(rng.random_range(0..plain)),
        _ => instance(rng, scenario),
    }
}

fn target(rng: &mut SmallRng, scenario: &Scenario) -> Target {
    match rng.random_range(0..8) {
        0 => Target::Store,
        _ => server(rng, scenario),
    }
}
