//! Selects which runs get a copy of their KV cache at another server, and where.
//!
//! Covers servers that crash during streams that must not run again: without a copy each of these
//! streams is lost, as no retry is allowed. Does no I/O.

mod run;

use shallotlead_base::time::Time;

use crate::{
    placement::{Choice, Criteria},
    pool::{self, Pool, Server},
};

pub use run::Run;

/// Largest fraction of an engine's KV cache that one run may take for its copy. Copies of long
/// prompts would evict shared parts of other prompts, and their transfer would delay fetches.
const MAX_MEMORY_FRACTION: f64 = 0.02;

/// The server that gets the copy of a run at the chosen server: the least loaded one with the same
/// weights, in the run's own data centre where there is one, as a transfer to another takes twice
/// as long.
///
/// `None` for runs that are too large, and where no other server could continue the run.
pub fn target(
    pool: &Pool,
    now: Time,
    criteria: &Criteria<'_>,
    choice: &Choice,
) -> Option<pool::Id> {
    let tokens: u32 = criteria.parts.iter().map(|it| it.tokens).sum();
    if criteria.capacity_tokens * MAX_MEMORY_FRACTION < f64::from(tokens) {
        return None;
    }
    let chosen = pool.get(choice.server);
    let centre = &chosen.centre;
    let is_eligible = |id: pool::Id, server: &Server| {
        id != choice.server
            && server.build_id == chosen.build_id
            && server.limit.per_second().is_none()
            && can_resume(now, criteria, choice.weights, id, server)
    };
    let eligible = pool.usable(criteria.service).filter(|it| is_eligible(it.0, it.1));
    eligible
        .min_by_key(|it| {
            let load = it.1.load.map_or(0, |it| it.0.running + it.0.waiting);
            (it.1.centre != *centre, load + it.1.inflight, it.0)
        })
        .map(|it| it.0)
}

/// Whether the server could continue a run on `weights`.
pub fn can_resume(
    now: Time,
    criteria: &Criteria<'_>,
    weights: Option<u64>,
    id: pool::Id,
    server: &Server,
) -> bool {
    let is_same = criteria.model.and_then(|it| server.version(it)) == weights;
    is_same && server.is_available(now) && !criteria.excluded.contains(&id)
}
