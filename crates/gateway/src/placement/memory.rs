//! What servers are believed to hold.

use std::time::Duration;

use shallotlead_base::{hash::Map, time::Time};

use crate::{
    adapter::Part,
    gossip::Placement,
    pool::{self, Pool},
};

/// Part of an engine's memory that prompts may fill before those used longest ago count as gone. The
/// rest holds answers and what is running.
const CAPACITY_PART: f64 = 0.6;
/// Part of it that may have been filled since the last use of a part that is still sure to be there.
/// From an engine that has evicted it, it can't be fetched; the store has it then.
const SURE_PART: f64 = 0.25;
/// Age from which on parts are forgotten when there are too many.
const KEPT: Duration = Duration::from_secs(10);
/// Parts that are remembered; each takes about 60 bytes.
const MAX_PARTS: usize = 20_000;

/// What servers are believed to hold, from what instances tell each other of their sends.
#[derive(Debug, Default)]
pub struct Memory {
    held: Map<(u64, pool::Id), Held>,
}

/// The shared tokens that a server holds from the prompt's start on, and when it has read them.
#[derive(Clone, Copy, Default)]
pub(super) struct Prefix {
    pub(super) tokens: u32,
    pub(super) ready: Time,
    /// A part of it may have been evicted.
    pub(super) is_unsure: bool,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    /// When the part is expected to be read.
    ready: Time,
    /// What its server had taken when it was last used.
    mark: u64,
}

impl Memory {
    /// A prompt was sent to a server: by this instance, or as another one tells.
    pub fn placed(&mut self, now: Time, pool: &mut Pool, id: pool::Id, placement: &Placement) {
        let pace = pool.pace(&pool.get(id).service);
        let reading = Duration::from_secs_f64(pace.occupies(placement.unread) / 1e3);
        let server = pool.get_mut(id);
        server.queue(now, reading, pace.reading_share());
        server.taken += u64::from(placement.added);
        if MAX_PARTS <= self.held.len() {
            let oldest = now - KEPT;
            self.held.retain(|_, it| oldest < it.ready);
        }
        for part in &placement.parts {
            let key = (mix(part.id, placement.scope), id);
            let ready = self.held.get(&key).map_or(server.busy_until, |it| it.ready);
            self.held.insert(key, Held { ready, mark: server.taken });
        }
    }

    /// What the server holds of `parts` from the prompt's start on. `capacity`: tokens that fit into its
    /// memory.
    pub(super) fn prefix(
        &self,
        pool: &Pool,
        parts: &[Part],
        scope: u64,
        id: pool::Id,
        capacity: f64,
    ) -> Prefix {
        let mut prefix = Prefix::default();
        let taken = pool.get(id).taken;
        // A part is of use only behind all parts before it.
        for part in parts {
            let Some(held) = self.held.get(&(mix(part.id, scope), id)) else { break };
            let since = taken.saturating_sub(held.mark) as f64;
            if capacity * CAPACITY_PART <= since {
                break;
            }
            prefix.is_unsure |= capacity * SURE_PART <= since;
            prefix.tokens += part.tokens;
            prefix.ready = prefix.ready.max(held.ready);
        }
        prefix
    }
}

fn mix(part: u64, scope: u64) -> u64 {
    part ^ scope.rotate_left(17)
}
