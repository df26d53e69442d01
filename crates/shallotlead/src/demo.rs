//! The demo: a deployment's traffic over entry instances on loopback while things fail, and a check
//! of what must always hold.

mod invariant;
mod script;
mod summary;
#[cfg(test)]
mod tests;
mod watcher;

use std::{collections::HashSet, time::Duration};

use shallotlead_standin::engine;

use crate::{
    load,
    traffic::deployment::Deployment,
    world::{self, World},
};

pub use self::{invariant::Invariant, script::Event, summary::Summary};

/// How to run the demo.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Whose traffic.
    pub deployment: &'static Deployment,
    /// How long traffic runs.
    pub duration: Duration,
    /// Seed of the traffic and of the stand-ins.
    pub seed: u64,
    /// Requests a second.
    pub rate: f64,
}

/// What the demo found.
#[derive(Clone, Debug)]
pub struct Report {
    /// Figures.
    pub summary: Summary,
    /// What must always hold, and whether it did.
    pub invariants: Vec<Invariant>,
}

impl Report {
    /// Whether everything held.
    pub fn holds(&self) -> bool {
        self.invariants.iter().all(|it| it.broken.is_empty())
    }
}

/// Entry instances.
const INSTANCES: usize = 3;
/// The entry instance that runs from beginning to end.
const STAYING: usize = 0;
/// Callers, each with one open request at most.
const CALLERS: usize = 96;
/// Blocks that an engine's memory holds: less than the traffic's working set.
const CACHE_BLOCKS: u32 = 600;
/// Lag of the instance list.
const LIST_LAG: Duration = Duration::from_secs(10);

/// Runs the demo, telling `progress` what happens.
///
/// # Errors
/// A part can't be started, or the table isn't accepted.
pub fn run(settings: &Settings, mut progress: impl FnMut(&str)) -> Result<Report, world::Error> {
    let mut world = world::bind(world::Settings {
        instances: INSTANCES,
        engine: engine::Settings { cache_blocks: CACHE_BLOCKS, ..engine::Settings::default() },
        list_lag: LIST_LAG,
        seed: settings.seed,
        ..world::Settings::new(settings.deployment)
    })?;
    progress(&format!(
        "in another terminal: export SHALLOTLEAD_ADDRESS={} SHALLOTLEAD_KEY={}",
        world.operators_of(STAYING),
        world::OPERATOR_KEY
    ));
    let watcher = watcher::spawn();
    let load = load::spawn(load::Settings {
        deployment: settings.deployment,
        seed: settings.seed,
        rate: settings.rate,
        callers: CALLERS,
        seeds: world.seeds(),
        fixed: false,
        completions: false,
    });
    let events = script::run(&mut world, &load, &watcher, settings, &mut progress)?;
    progress("waiting for open requests");
    let records = load.finish();
    let versions = watcher.finish();
    let runs = Runs::collect(&world);
    let invariants = invariant::check(&records, &runs, &events, &versions);
    let summary = summary::summarise(&records, &runs, &events);
    Ok(Report { summary, invariants })
}

/// Everything that ran at the backend servers.
#[derive(Debug)]
struct Runs {
    engines: Vec<Vec<engine::Run>>,
    services: Vec<Vec<shallotlead_standin::service::Run>>,
}

impl Runs {
    fn collect(world: &World) -> Self {
        Self {
            engines: world.engines.iter().map(|it| it.runs()).collect(),
            services: world.services.iter().map(|it| it.runs()).collect(),
        }
    }

    /// Requests of which an attempt ran.
    fn requests(&self) -> HashSet<&str> {
        let engines = self.engines.iter().flatten().map(|it| &*it.attempt);
        let services = self.services.iter().flatten().map(|it| it.attempt.as_str());
        let attempts = engines.chain(services);
        attempts.filter_map(|it| it.rsplit_once('-')).map(|it| it.0).collect()
    }
}
