//! Counts and recent figures of requests, for operators.

use std::{
    collections::VecDeque,
    sync::{Mutex, PoisonError},
    time::Duration,
};

/// Requests whose figures are kept.
const RECENT: usize = 1_024;

/// What became of requests since the instance started.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    counts: Mutex<Counts>,
}

/// A copy of the figures.
#[derive(Clone, Debug, Default)]
pub(crate) struct Counts {
    /// Requests whose answer is complete.
    pub(crate) answered: u64,
    /// Requests refused or given up.
    pub(crate) refused: u64,
    recent: VecDeque<First>,
}

/// One request's first token.
#[derive(Clone, Copy, Debug)]
struct First {
    waited: Duration,
    prompt_tokens: u32,
    cached_tokens: u32,
}

impl Tally {
    pub(crate) fn answered(&self) {
        self.update(|it| it.answered += 1);
    }

    pub(crate) fn refused(&self) {
        self.update(|it| it.refused += 1);
    }

    /// The first token of a request came, `waited` after its arrival.
    pub(crate) fn first_token(&self, waited: Duration, prompt_tokens: u32, cached: Option<u32>) {
        let cached_tokens = cached.unwrap_or(0);
        self.update(|it| {
            if RECENT <= it.recent.len() {
                it.recent.pop_front();
            }
            it.recent.push_back(First { waited, prompt_tokens, cached_tokens });
        });
    }

    pub(crate) fn counts(&self) -> Counts {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn update(&self, update: impl FnOnce(&mut Counts)) {
        update(&mut self.counts.lock().unwrap_or_else(PoisonError::into_inner));
    }
}

impl Counts {
    /// Cached share of the prompt tokens of recent requests, 0 to 1.
    pub(crate) fn hit_rate(&self) -> f64 {
        let sum =
            |of: fn(&First) -> u32| self.recent.iter().map(|it| f64::from(of(it))).sum::<f64>();
        sum(|it| it.cached_tokens) / sum(|it| it.prompt_tokens).max(1.0)
    }

    /// Quantile `q`, 0 to 1, of the time to first token of recent requests.
    pub(crate) fn first_token(&self, q: f64) -> Duration {
        let mut waited = self.recent.iter().map(|it| it.waited).collect::<Vec<_>>();
        waited.sort_unstable();
        let last = waited.len().saturating_sub(1);
        let index = (q * last as f64).round() as usize;
        waited.get(index).copied().unwrap_or_default()
    }
}
