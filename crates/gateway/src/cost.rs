//! What a prompt costs the engines of a service, learnt from when answers begin.
//!
//! Answers the load of any customer's engines: how fast they read, how reading grows with a prompt and with
//! what else runs there differs by several times, and no page tells it. Pure.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Time to read a token before any answer was seen, ms: engines measured so far read 36 to 68 tokens a
/// millisecond with all that they do meanwhile.
const PRIOR_TOKEN_MS: f64 = 0.02;
/// Time from the end of reading to the first token at the caller before any answer was seen, ms.
const PRIOR_FIRST_MS: f64 = 70.0;
/// Mean tokens that a prompt has to read before any was seen.
const PRIOR_TOKENS: f64 = 1_000.0;
/// How far from the prior, as a factor, what is learnt may lie: what is beyond comes from something else
/// than reading, such as a service that hangs.
const FARTHEST: f64 = 16.0;
/// What an engine does for each prompt besides reading, as tokens: setting it up takes as long as reading
/// 180 to 250 tokens at the engines seen so far.
const SETUP_TOKENS: f64 = 200.0;
/// Part of the answers to long prompts that begin sooner than expected. A wait that was expected too short is
/// dearer than one that was expected too long: the answer is late, and worth a third, where another server
/// might have been in time.
const SOONER: f64 = 2.0 / 3.0;
/// The same for queues: a queue that is longer than expected grows on, as prompts are still sent there.
const QUEUE_SOONER: f64 = 0.75;
/// Part of all answers that come back sooner than expected. The way back is what an idle server shows; what
/// most answers take beyond it is a queue.
const BACK_SOONER: f64 = 0.25;
/// How many times longer than alone a prompt may take while others are read there.
const MOST_CROWDED: f64 = 4.0;
/// Step of the first answer, as a part of the value, and the step that later ones come down to, with the
/// root of their number: seven hundred answers of mixed lengths to find costs that differ three times from
/// the prior. Twice the step follows changes sooner, and is as far off by its own swing.
const FIRST_STEP: f64 = 0.4;
const LEAST_STEP: f64 = 0.03;
/// Part of the time that an answer has from its first token on, beyond which it is strained: it was cut at its
/// deadline, or nearly. With a half, deployments whose answers are merely long lose prompts for nothing.
const STRAINED: f64 = 0.9;
/// What one strained answer takes off the share of reading, and what any other one puts on it: the share
/// settles where one answer in two hundred is strained.
const LESS: f64 = 0.1;
const MORE: f64 = 0.0005;
/// The least share of reading. Below it, refusals cost more answers than strain.
const LEAST_SHARE: f64 = 0.6;
/// How much above a peer's share of reading the own one may lie: each instance sees a part of the cut answers only,
/// seconds after what caused them.
const PEER_MARGIN: f64 = 0.03;
/// Answers from which on what a peer knows is taken over only if it has seen `FAR_MORE` times as many.
const ENOUGH: u32 = 30;
/// How many times as many answers as this instance a peer must have seen for that.
const FAR_MORE: u32 = 2;

/// What a prompt costs the engines of one service.
///
/// Each answer moves an estimate by a step of fixed size up or down, as a quantile is found: one answer
/// that was preempted or met a silent server counts no more than any other.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Estimate {
    /// Time to read one token, ms, with all that engines do meanwhile.
    token_ms: f64,
    /// How many times longer than alone a prompt keeps a busy server from the next one.
    crowding: f64,
    /// Time from the end of reading to the first token at the caller, ms.
    first_ms: f64,
    /// Mean tokens that a prompt has to read.
    tokens: f64,
    /// Share of an engine's time that prompts may fill with reading for longer than a short queue.
    reading_share: f64,
    /// Answers that were seen.
    answers: u32,
}

/// What was expected of a prompt, and when its answer began.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// Tokens that the server had to read.
    pub uncached_tokens: u32,
    /// Expected time until it began to read, ms.
    pub wait_ms: f64,
    /// Time from sending to the first token.
    pub elapsed: Duration,
}

impl Default for Estimate {
    fn default() -> Self {
        Self {
            token_ms: PRIOR_TOKEN_MS,
            crowding: 1.0,
            first_ms: PRIOR_FIRST_MS,
            tokens: PRIOR_TOKENS,
            reading_share: 1.0,
            answers: 0,
        }
    }
}

impl Estimate {
    /// Time that reading takes, ms.
    pub fn prefill_ms(&self, tokens: u32) -> f64 {
        self.token_ms * f64::from(tokens)
    }

    /// Time that a prompt takes at an idle engine until it is read, ms.
    pub fn idle_prefill_ms(&self, unread: u32) -> f64 {
        self.token_ms * (f64::from(unread) + SETUP_TOKENS)
    }

    /// Time for which a prompt keeps a busy engine from the next one, ms.
    pub fn occupancy_ms(&self, unread: u32) -> f64 {
        self.crowding * self.token_ms * (f64::from(unread) + SETUP_TOKENS)
    }

    /// The same for a prompt of which nothing is known but that it waits, ms.
    pub fn mean_occupancy_ms(&self) -> f64 {
        self.crowding * self.token_ms * (self.tokens + SETUP_TOKENS)
    }

    /// Time from the end of reading to the first token at the caller, ms.
    pub fn response_ms(&self) -> f64 {
        self.first_ms
    }

    /// How long a prompt has waited whose first token came, or didn't, this long after it was sent.
    pub fn queueing_time(&self, unread: u32, after: Duration) -> Duration {
        let read_ms = self.idle_prefill_ms(unread) + self.first_ms;
        after.saturating_sub(Duration::from_secs_f64(read_ms / 1e3))
    }

    /// An answer began. Returns the time at which it was expected to, ms.
    pub fn observe_first_token(&mut self, sample: &Sample) -> f64 {
        let Sample { uncached_tokens: unread, wait_ms, elapsed: took } = *sample;
        let alone_ms = self.idle_prefill_ms(unread);
        let expected_ms = wait_ms + alone_ms + self.first_ms;
        let is_later = expected_ms < took.as_secs_f64() * 1e3;
        self.answers = self.answers.saturating_add(1);
        let step = (FIRST_STEP / f64::from(self.answers).sqrt()).max(LEAST_STEP);
        self.tokens += LEAST_STEP * (f64::from(unread) - self.tokens);
        // Each part is moved by its share of what was expected. Short prompts overtake queues, and tell
        // nothing of how long those take to read.
        if self.tokens <= f64::from(unread) {
            let alone = change(is_later, step, SOONER) * alone_ms / expected_ms;
            let queue = change(is_later, step, QUEUE_SOONER) * wait_ms / expected_ms;
            self.token_ms = bounded(self.token_ms * (1.0 + alone), PRIOR_TOKEN_MS);
            self.crowding = (self.crowding * (1.0 + queue)).clamp(1.0, MOST_CROWDED);
        }
        let change = 1.0 + change(is_later, step, BACK_SOONER) * self.first_ms / expected_ms;
        self.first_ms = bounded(self.first_ms * change, PRIOR_FIRST_MS);
        expected_ms
    }

    /// Share of an engine's time that prompts may fill with reading for longer than a short queue.
    ///
    /// Guards against engines that read all the time: running answers get a token each 100 to 400 ms instead of
    /// each 10. It shows as answers that are cut at their deadline, 269 of 6,300 short ones on a day that
    /// saturated all servers. It holds since each such answer makes prompts keep off longer.
    pub fn prefill_share(&self) -> f64 {
        self.reading_share
    }

    /// An answer has ended, or was cut at its deadline. `took`: the time since its first token, of `had` that
    /// it had.
    pub fn observe_end(&mut self, took: Duration, had: Duration) {
        let change = if had.mul_f64(STRAINED) < took { -LESS } else { MORE };
        self.reading_share = (self.reading_share + change).clamp(LEAST_SHARE, 1.0);
    }

    /// Takes over what a peer has learnt, while this instance has seen too little itself, or far less than the peer.
    ///
    /// Guards against an instance that has learnt from the queues of the first moments after a start that engines
    /// are many times slower than they are, and refuses all prompts: it would see no answer any more. It shows as
    /// instances that refuse prompts for overload for good while their neighbours serve. It holds since the
    /// neighbours' answers go on, and whoever refuses everything teaches nobody.
    pub fn merge(&mut self, peer: &Estimate) {
        let is_sound = |it: f64, prior: f64| (prior / FARTHEST..=prior * FARTHEST).contains(&it);
        let is_sound = is_sound(peer.token_ms, PRIOR_TOKEN_MS)
            && is_sound(peer.first_ms, PRIOR_FIRST_MS)
            && (0.0..1e7).contains(&peer.tokens)
            && (LEAST_SHARE..=1.0).contains(&peer.reading_share)
            && (1.0..=MOST_CROWDED).contains(&peer.crowding);
        if !is_sound {
            return;
        }
        let is_novice = self.answers < ENOUGH && self.answers < peer.answers;
        if is_novice || self.answers.saturating_mul(FAR_MORE) < peer.answers {
            *self = *peer;
        }
        self.reading_share = self.reading_share.min(peer.reading_share + PEER_MARGIN);
    }
}

/// One step towards what the part `sooner` of the answers stays below.
fn change(is_later: bool, step: f64, sooner: f64) -> f64 {
    if is_later { step * sooner } else { step * (sooner - 1.0) }
}

/// The value, within what reading can explain.
fn bounded(value: f64, prior: f64) -> f64 {
    value.clamp(prior / FARTHEST, prior * FARTHEST)
}
