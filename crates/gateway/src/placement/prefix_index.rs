//! Index of the prompt prefixes that servers are expected to have in their KV caches.

use std::time::Duration;

use shallotlead_base::{hash::Map, time::Time};

use crate::{
    adapter::Part,
    gossip::Placement,
    pool::{self, Pool},
};

/// Fraction of an engine's KV cache that prompts may fill before the least recently used ones count
/// as evicted. The rest is taken by responses and by what is running.
const CAPACITY_FRACTION: f64 = 0.6;
/// Fraction of it that may have been filled since a part was last used for the part to be certainly
/// there. A part that the engine has evicted can't be fetched from it; the store has it then.
const CERTAIN_FRACTION: f64 = 0.25;
/// Age from which on entries are dropped when there are [`MAX_PARTS`].
const MIN_RETENTION: Duration = Duration::from_secs(10);
/// Number of entries from which on old ones are dropped; each takes about 60 bytes.
const MAX_PARTS: usize = 20_000;

/// The prompt prefixes that servers are expected to have cached, from what instances announce to
/// each other about the prompts they send.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    entries: Map<(u64, pool::Id), Entry>,
}

/// The shared tokens that a server has cached from the start of a prompt, and when they are
/// prefilled.
#[derive(Clone, Copy, Default)]
pub(super) struct Prefix {
    pub(super) tokens: u32,
    pub(super) ready_at: Time,
    /// Whether a part of it may have been evicted.
    pub(super) is_uncertain: bool,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    /// When the part is expected to be prefilled.
    ready_at: Time,
    /// [`pool::Server::added_tokens`] of the server when the part was last used.
    added_at_use: u64,
}

impl PrefixIndex {
    /// Records a prompt that this instance or another one has sent to a server.
    pub fn record(&mut self, now: Time, pool: &mut Pool, id: pool::Id, placement: &Placement) {
        let cost = pool.cost_at(now, id);
        let occupancy = Duration::from_secs_f64(cost.occupancy_ms(placement.uncached_tokens) / 1e3);
        let server = pool.get_mut(id);
        server.backlog.enqueue(now, occupancy, cost.prefill_share());
        server.added_tokens += u64::from(placement.added_tokens);
        if MAX_PARTS <= self.entries.len() {
            let oldest = now - MIN_RETENTION;
            self.entries.retain(|_, it| oldest < it.ready_at);
        }
        for part in &placement.parts {
            let key = (scoped_key(part.id, placement.scope), id);
            let ready_at =
                self.entries.get(&key).map_or(server.backlog.busy_until, |it| it.ready_at);
            self.entries.insert(key, Entry { ready_at, added_at_use: server.added_tokens });
        }
    }

    /// What the server has cached of `parts` from the start of the prompt on. `capacity_tokens`:
    /// number of tokens that fit into its KV cache.
    pub(super) fn prefix(
        &self,
        pool: &Pool,
        parts: &[Part],
        scope: u64,
        id: pool::Id,
        capacity_tokens: f64,
    ) -> Prefix {
        let mut prefix = Prefix::default();
        let added_tokens = pool.get(id).added_tokens;
        // A part is of use only after all parts before it.
        for part in parts {
            let Some(entry) = self.entries.get(&(scoped_key(part.id, scope), id)) else { break };
            let added_since = added_tokens.saturating_sub(entry.added_at_use) as f64;
            if capacity_tokens * CAPACITY_FRACTION <= added_since {
                break;
            }
            prefix.is_uncertain |= capacity_tokens * CERTAIN_FRACTION <= added_since;
            prefix.tokens += part.tokens;
            prefix.ready_at = prefix.ready_at.max(entry.ready_at);
        }
        prefix
    }
}

fn scoped_key(part: u64, scope: u64) -> u64 {
    part ^ scope.rotate_left(17)
}
