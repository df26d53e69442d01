//! Estimates how long answers take to generate, from their first token to their last. Does no I/O.
//!
//! Where engines have more to prefill and to run than they have time for, it is this that takes most of a caller's
//! time, and an answer that is cut at its deadline has cost as much as a whole one.

use std::{sync::Arc, time::Duration};

use shallotlead_base::hash::Map;

use crate::learning::{clamp_to_prior, quantile_step, step_after};

/// Time to generate a token before any answer has ended, ms.
const PRIOR_TOKEN_MS: f64 = 10.0;
/// Mean number of tokens of an answer before any was seen.
const PRIOR_MEAN_TOKENS: f64 = 50.0;
/// Quantiles of the answers that [`Estimate::typical`] and [`Estimate::slow`] aim at.
const TYPICAL_QUANTILE: f64 = 0.5;
const SLOW_QUANTILE: f64 = 0.95;
/// Step of the first update, relative to the value, and the smallest step of later ones, which shrink with the square
/// root of their number.
const FIRST_STEP: f64 = 0.4;
const MIN_STEP: f64 = 0.03;

/// How long the answers on one route take to generate, for each token that they may have.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    typical_token_ms: f64,
    slow_token_ms: f64,
    mean_tokens: f64,
    answers: u32,
}

/// How an answer has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// It is complete.
    Complete,
    /// It was cut at its deadline, and would have taken longer.
    Cut,
}

impl Default for Estimate {
    fn default() -> Self {
        Self {
            typical_token_ms: PRIOR_TOKEN_MS,
            slow_token_ms: PRIOR_TOKEN_MS,
            mean_tokens: PRIOR_MEAN_TOKENS,
            answers: 0,
        }
    }
}

impl Estimate {
    /// Time from the first token to the end that half of the answers exceed. `max_tokens`: the most tokens that the
    /// answer may have, if known.
    pub fn typical(&self, max_tokens: Option<u32>) -> Duration {
        self.time(self.typical_token_ms, max_tokens)
    }

    /// The same that few answers of mean length exceed.
    pub fn slow(&self) -> Duration {
        self.time(self.slow_token_ms, None)
    }

    /// Learns from an answer that took `elapsed` from its first token on.
    pub fn observe(&mut self, max_tokens: Option<u32>, elapsed: Duration, end: End) {
        self.answers = self.answers.saturating_add(1);
        // Long answers show more of how fast engines are than short ones do.
        let tokens = self.tokens(max_tokens);
        let weight = 2.0 * tokens / (tokens + self.mean_tokens);
        let step = weight * step_after(self.answers, FIRST_STEP, MIN_STEP);
        let token_ms = elapsed.as_secs_f64() * 1e3 / tokens.max(1.0);
        self.typical_token_ms =
            adjusted(self.typical_token_ms, token_ms, end, step, TYPICAL_QUANTILE);
        self.slow_token_ms = adjusted(self.slow_token_ms, token_ms, end, step, SLOW_QUANTILE);
        if let Some(it) = max_tokens {
            // Whatever number one caller states, it changes what is expected for others by a small step only.
            self.mean_tokens += MIN_STEP * (f64::from(it) - self.mean_tokens).min(self.mean_tokens);
        }
    }

    fn time(&self, token_ms: f64, max_tokens: Option<u32>) -> Duration {
        Duration::from_secs_f64(token_ms * self.tokens(max_tokens) / 1e3)
    }

    fn tokens(&self, max_tokens: Option<u32>) -> f64 {
        max_tokens.map_or(self.mean_tokens, f64::from)
    }
}

/// One step of `value` towards the `quantile` of the observed ones.
fn adjusted(value: f64, observed: f64, end: End, step: f64, quantile: f64) -> f64 {
    let is_longer = value < observed;
    if end == End::Cut && !is_longer {
        return value;
    }
    clamp_to_prior(value * (1.0 + quantile_step(is_longer, step, quantile)), PRIOR_TOKEN_MS)
}

/// The estimates for the routes to one service.
#[derive(Clone, Debug, Default)]
pub struct Routes(Map<Arc<str>, Estimate>);

impl Routes {
    /// The estimate for a route.
    pub fn get(&self, route: &str) -> Estimate {
        self.0.get(route).copied().unwrap_or_default()
    }

    /// The same, for updates.
    pub fn get_mut(&mut self, route: &Arc<str>) -> &mut Estimate {
        self.0.entry(route.clone()).or_default()
    }

    /// The routes that answers have been seen on.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &Estimate)> {
        self.0.iter()
    }
}
