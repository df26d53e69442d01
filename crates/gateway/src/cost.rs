//! Estimates what a prompt costs the engines of a service, learned from when responses begin.
//!
//! Copes with any engines: how fast they prefill, and how prefill slows down with the length of a
//! prompt and with what else runs there, differs by several times between them and isn't announced
//! anywhere. Does no I/O.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::learning::{clamp_to_prior, is_near_prior, quantile_step, step_after};

/// Prefill time of a token before any response was seen, ms: engines prefill 36 to 68 tokens a
/// millisecond with all else that they do meanwhile.
const PRIOR_TOKEN_MS: f64 = 0.02;
/// Time from the end of prefill to the first token at the caller before any response was seen, ms.
const PRIOR_RESPONSE_MS: f64 = 70.0;
/// Mean number of tokens to prefill per prompt before any was seen.
const PRIOR_MEAN_TOKENS: f64 = 1_000.0;
/// Fraction of the mean length from which on a prompt counts as long. The mean of equal lengths comes close to them, but may
/// stay above.
const LONG_FRACTION: f64 = 0.95;
/// Fixed work of an engine for each prompt, as a number of tokens: setting a prompt up takes as
/// long as prefilling 180 to 250 tokens.
const SETUP_TOKENS: f64 = 200.0;
/// Quantile of the responses to long prompts that [`Estimate::token_ms`] aims at. Expecting too
/// short a wait is worse than expecting too long a one: the caller is kept at a server that doesn't
/// serve it in time, where another one might have, or a refusal would have told it at once.
const TOKEN_QUANTILE: f64 = 2.0 / 3.0;
/// The same for [`Estimate::contention`]: a queue that is longer than expected keeps growing, as
/// prompts are still sent there.
const CONTENTION_QUANTILE: f64 = 0.75;
/// The same for [`Estimate::response_ms`], over all responses. It is what an idle server takes;
/// what most responses take beyond it is queueing.
const RESPONSE_QUANTILE: f64 = 0.25;
/// Largest factor by which other prompts' prefill may slow a prompt down.
const MAX_CONTENTION: f64 = 4.0;
/// Step of the first update, relative to the value, and the smallest step of later ones, which
/// shrink with the square root of their number: seven hundred responses of mixed lengths suffice to
/// find costs that differ three times from the prior. Twice the smallest step would follow changes
/// sooner, but err as much by its own fluctuation.
const FIRST_STEP: f64 = 0.4;
const MIN_STEP: f64 = 0.03;
/// Fraction of the time that a response has from its first token to its deadline beyond which it
/// counts as strained: it was cut at its deadline, or nearly. With a half, services whose responses
/// are merely long would refuse prompts for nothing.
const STRAINED_FRACTION: f64 = 0.9;
/// What a strained response takes off the prefill share, and what any other response adds to it:
/// the share settles where one response in two hundred is strained.
const SHARE_DECREASE: f64 = 0.1;
const SHARE_INCREASE: f64 = 0.0005;
/// The smallest prefill share. Below it, refusals cost more responses than strain does.
const MIN_PREFILL_SHARE: f64 = 0.6;
/// How far this instance's prefill share may lie above a peer's: each instance sees only some of
/// the responses that were cut, seconds after their cause.
const PEER_MARGIN: f64 = 0.03;
/// Number of responses from which on a peer's estimate is adopted only if the peer has seen
/// [`PEER_RESPONSES_FACTOR`] times as many.
const ENOUGH_RESPONSES: u32 = 30;
/// How many times as many responses as this instance a peer must have seen then.
const PEER_RESPONSES_FACTOR: u32 = 2;

/// Learned cost of a prompt at the engines of one service.
///
/// Each response moves an estimate by a relative step of fixed size up or down, as in quantile
/// estimation: a response that was preempted or came from a hanging server counts no more than any
/// other.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Estimate {
    /// Prefill time of one token, ms, with all else that engines do meanwhile.
    token_ms: f64,
    /// Factor by which other prompts prolong the time for which a prompt occupies a busy server.
    contention: f64,
    /// Time from the end of prefill to the first token at the caller, ms.
    response_ms: f64,
    /// Mean number of tokens to prefill per prompt.
    mean_tokens: f64,
    /// Fraction of an engine's time that prefill may take once there is more than a short queue.
    prefill_share: f64,
    /// Number of responses seen.
    responses: u32,
}

/// What was expected of a prompt, and when its response began; times divided by the factor by which work takes longer
/// at its server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// Tokens that the server had to prefill.
    pub uncached_tokens: u32,
    /// Expected queueing time, ms.
    pub wait_ms: f64,
    /// Time from sending the prompt to its first token.
    pub elapsed: Duration,
}

impl Default for Estimate {
    fn default() -> Self {
        Self {
            token_ms: PRIOR_TOKEN_MS,
            contention: 1.0,
            response_ms: PRIOR_RESPONSE_MS,
            mean_tokens: PRIOR_MEAN_TOKENS,
            prefill_share: 1.0,
            responses: 0,
        }
    }
}

impl Estimate {
    /// The estimate for a server at which work takes `factor` times as long.
    pub fn at_pace(&self, factor: f64) -> Self {
        Self { token_ms: factor * self.token_ms, response_ms: factor * self.response_ms, ..*self }
    }

    /// Prefill time of `tokens` without the fixed work per prompt, ms.
    pub fn prefill_ms(&self, tokens: u32) -> f64 {
        self.token_ms * f64::from(tokens)
    }

    /// Prefill time of a prompt at an idle engine, ms.
    pub fn idle_prefill_ms(&self, uncached_tokens: u32) -> f64 {
        self.token_ms * (f64::from(uncached_tokens) + SETUP_TOKENS)
    }

    /// Time for which a prompt occupies a busy engine, ms.
    pub fn occupancy_ms(&self, uncached_tokens: u32) -> f64 {
        self.contention * self.token_ms * (f64::from(uncached_tokens) + SETUP_TOKENS)
    }

    /// Time for which a prompt of unknown length occupies a busy engine, ms.
    pub fn mean_occupancy_ms(&self) -> f64 {
        self.contention * self.token_ms * (self.mean_tokens + SETUP_TOKENS)
    }

    /// Time from the end of prefill to the first token at the caller, ms.
    pub fn response_ms(&self) -> f64 {
        self.response_ms
    }

    /// How long a prompt has queued whose first token came, or is still missing, `after` it was
    /// sent.
    pub fn queueing_time(&self, uncached_tokens: u32, after: Duration) -> Duration {
        let service_ms = self.idle_prefill_ms(uncached_tokens) + self.response_ms;
        after.saturating_sub(Duration::from_secs_f64(service_ms / 1e3))
    }

    /// Whether a prompt is long enough not to overtake others.
    pub fn is_queued(&self, uncached_tokens: u32) -> bool {
        LONG_FRACTION * self.mean_tokens <= f64::from(uncached_tokens)
    }

    /// Learns from the first token of a response. Returns the time at which it was expected, ms, at a server of the
    /// service's mean pace.
    pub fn observe_first_token(&mut self, sample: &Sample) -> f64 {
        let Sample { uncached_tokens, wait_ms, elapsed } = *sample;
        let prefill_ms = self.idle_prefill_ms(uncached_tokens);
        let expected_ms = wait_ms + prefill_ms + self.response_ms;
        let is_late = expected_ms < elapsed.as_secs_f64() * 1e3;
        self.responses = self.responses.saturating_add(1);
        let step = step_after(self.responses, FIRST_STEP, MIN_STEP);
        self.mean_tokens += MIN_STEP * (f64::from(uncached_tokens) - self.mean_tokens);
        // Each component is adjusted in proportion to its part of the expected time. Short prompts
        // overtake queues, and tell nothing about how long queued prompts take.
        if self.is_queued(uncached_tokens) {
            let token_change =
                quantile_step(is_late, step, TOKEN_QUANTILE) * prefill_ms / expected_ms;
            let contention_change =
                quantile_step(is_late, step, CONTENTION_QUANTILE) * wait_ms / expected_ms;
            self.token_ms = clamp_to_prior(self.token_ms * (1.0 + token_change), PRIOR_TOKEN_MS);
            self.contention =
                (self.contention * (1.0 + contention_change)).clamp(1.0, MAX_CONTENTION);
        }
        let response_factor =
            1.0 + quantile_step(is_late, step, RESPONSE_QUANTILE) * self.response_ms / expected_ms;
        self.response_ms = clamp_to_prior(self.response_ms * response_factor, PRIOR_RESPONSE_MS);
        expected_ms
    }

    /// Fraction of an engine's time that prefill may take once there is more than a short queue.
    ///
    /// Guards against engines that prefill all the time: running responses then get a token every
    /// 100 to 400 ms instead of every 10, and are cut at their deadline, such as 269 of 6,300 short
    /// ones where all servers were saturated. Each such response lowers the share, so that prompts
    /// are held back for longer.
    pub fn prefill_share(&self) -> f64 {
        self.prefill_share
    }

    /// A response has ended, or was cut at its deadline, `elapsed` after its first token, out of
    /// the time `available` to it.
    pub fn observe_end(&mut self, elapsed: Duration, available: Duration) {
        let change = if available.mul_f64(STRAINED_FRACTION) < elapsed {
            -SHARE_DECREASE
        } else {
            SHARE_INCREASE
        };
        self.prefill_share = (self.prefill_share + change).clamp(MIN_PREFILL_SHARE, 1.0);
    }

    /// Adopts a peer's estimate if this instance has seen too few responses itself, or far fewer
    /// than the peer.
    ///
    /// Guards against an instance that has learned from the queues of the first moments after a
    /// start that engines are many times slower than they are: it would refuse all prompts for
    /// overload, so that it would see no response any more and stay wrong for good, while its peers
    /// serve. The peers' estimates correct it, as their responses go on, and an instance that
    /// refuses everything has nothing to teach.
    pub fn merge(&mut self, peer: &Estimate) {
        let is_sound = is_near_prior(peer.token_ms, PRIOR_TOKEN_MS)
            && is_near_prior(peer.response_ms, PRIOR_RESPONSE_MS)
            && (0.0..1e7).contains(&peer.mean_tokens)
            && (MIN_PREFILL_SHARE..=1.0).contains(&peer.prefill_share)
            && (1.0..=MAX_CONTENTION).contains(&peer.contention);
        if !is_sound {
            return;
        }
        let has_seen_less = self.responses < ENOUGH_RESPONSES && self.responses < peer.responses;
        if has_seen_less || self.responses.saturating_mul(PEER_RESPONSES_FACTOR) < peer.responses {
            *self = *peer;
        }
        self.prefill_share = self.prefill_share.min(peer.prefill_share + PEER_MARGIN);
    }
}
