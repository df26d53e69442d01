//! Which runs get a copy of their memory at another server, and where.
//!
//! Answers the load of servers that crash under streams that must not run again: without a copy each
//! of them is lost, and no retry is allowed. Pure.

mod run;

use shallotlead_base::time::Time;

use crate::{
    placement::{Choice, Criteria},
    pool::{self, Pool, Server},
};

pub use run::Run;

/// Part of an engine's memory that one run may take for its copy. Copies of long prompts would drive out shared
/// parts of other prompts, and their transfer would hold up fetches.
const MOST_MEMORY: f64 = 0.02;

/// The server that gets the copy of a run at the chosen server: the least loaded one with the same weights,
/// in the run's own data centre where there is one, as a transfer to another takes twice as long.
///
/// `None` for runs that are too large, and where no other server could go on with it.
pub fn target(pool: &Pool, now: Time, wish: &Criteria<'_>, choice: &Choice) -> Option<pool::Id> {
    let tokens: u32 = wish.parts.iter().map(|it| it.tokens).sum();
    if wish.capacity_tokens * MOST_MEMORY < f64::from(tokens) {
        return None;
    }
    let home = &pool.get(choice.server).centre;
    let is_fit = |id: pool::Id, server: &Server| {
        id != choice.server
            && server.limit.per_second().is_none()
            && can_resume(now, wish, choice.weights, id, server)
    };
    let fit = pool.usable(wish.service).filter(|it| is_fit(it.0, it.1));
    fit.min_by_key(|it| {
        let load = it.1.load.map_or(0, |it| it.0.running + it.0.waiting);
        (it.1.centre != *home, load + it.1.inflight, it.0)
    })
    .map(|it| it.0)
}

/// Whether the server could go on with a run on `weights`.
pub fn can_resume(
    now: Time,
    wish: &Criteria<'_>,
    weights: Option<u64>,
    id: pool::Id,
    server: &Server,
) -> bool {
    let is_same = wish.model.and_then(|it| server.version(it)) == weights;
    is_same && server.takes_requests(now) && !wish.excluded.contains(&id)
}
