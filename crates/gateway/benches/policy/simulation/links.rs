//! Transfers of cached parts between engines and the store.

use std::{net::SocketAddr, time::Duration};

use shallotlead_base::time::Time;

use crate::{
    deployment::Prompt,
    simulation::{FIRST_PORT, STORE_ADDRESS, Simulation},
};

/// Longest time that a transfer may wait for busy links; otherwise it is skipped.
const MAX_TRANSFER_WAIT: Duration = Duration::from_secs(2);

impl Simulation<'_> {
    /// Fetches cached parts from another engine or the store. Returns when they have arrived.
    pub(super) fn fetch(&mut self, engine: usize, source: SocketAddr, prompt: &Prompt) -> Time {
        let shared = prompt.shared();
        let weights = self.engines[engine].weights;
        let own = self.engines[engine].cache.peek_prefix(shared, weights);
        let from = (source != STORE_ADDRESS).then(|| usize::from(source.port() - FIRST_PORT));
        let cache = match from {
            Some(from) => &mut self.engines[from].cache,
            None => &mut self.store,
        };
        let kept = cache.use_prefix(shared, weights);
        if kept <= own {
            return self.now;
        }
        let Some(ready) = self.transfer(engine, from, kept - own) else { return self.now };
        let mut tokens = 0;
        let parts: Vec<_> = shared
            .iter()
            .copied()
            .take_while(|it| {
                tokens += it.tokens;
                tokens <= kept
            })
            .collect();
        let engine = &mut self.engines[engine];
        let room = engine.cache_capacity();
        engine.cache.add(&parts, weights, room);
        ready
    }

    /// Occupies the links of an engine and its peer (`None` is the store) for a transfer. Returns
    /// its end, or `None` if it would wait too long.
    pub(super) fn transfer(
        &mut self,
        engine: usize,
        other: Option<usize>,
        tokens: u32,
    ) -> Option<Time> {
        let other_free = other.map_or(self.store_free_at, |it| self.engines[it].link_free_at);
        let begin = self.now.max(self.engines[engine].link_free_at).max(other_free);
        if MAX_TRANSFER_WAIT < begin.since(self.now) {
            return None;
        }
        // The store is in the first data centre.
        let centres = self.deployment.centres;
        let is_near = engine % centres == other.map_or(0, |it| it % centres);
        let factor = if is_near { 1.0 } else { 2.0 };
        let store_rate = self.deployment.store_link_tokens_per_ms;
        let rate = other.map_or(store_rate, |_| self.deployment.link_tokens_per_ms);
        let ms = factor * f64::from(tokens) / rate;
        let end = begin + Duration::from_secs_f64(ms / 1e3);
        self.engines[engine].link_free_at = end;
        match other {
            Some(other) => self.engines[other].link_free_at = end,
            None => self.store_free_at = end,
        }
        self.results.transferred += u64::from(tokens);
        Some(end)
    }
}
