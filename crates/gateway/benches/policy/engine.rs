//! An engine with chunked prefill: each step prefills one chunk and decodes one token of each
//! running answer. It caches prefilled parts while there is room and loads weights once its last
//! run has ended.

use std::{collections::VecDeque, time::Duration};

use shallotlead_base::time::Time;
use shallotlead_gateway::adapter::Part;

use crate::{
    cache::Cache,
    deployment::{PREFILL_CHUNK, PREFILL_TOKENS_PER_MS, Prompt, STEP_MS, STEP_MS_PER_RUN},
};

/// A request in an engine's queue.
#[derive(Debug)]
pub(crate) struct Job {
    /// Its index in [`Results::records`](crate::results::Results::records).
    pub(crate) index: usize,
    pub(crate) prompt: Prompt,
    /// Prefill may not begin earlier, as parts of the prompt are still being fetched.
    pub(crate) ready: Time,
    /// Whether the prefilled parts are saved in the store.
    pub(crate) is_saved: bool,
    /// Tokens left to prefill; `None` before prefill begins.
    prefill_left: Option<u32>,
}

impl Job {
    pub(crate) fn new(index: usize, prompt: Prompt, ready: Time, is_saved: bool) -> Self {
        Self { index, prompt, ready, is_saved, prefill_left: None }
    }
}

/// A request that is being decoded.
#[derive(Debug)]
struct Run {
    /// Tokens left to generate.
    tokens_left: u32,
    /// Tokens that it occupies in memory, besides cached parts.
    memory_tokens: u64,
}

/// Something that happened in a step.
#[derive(Debug)]
pub(crate) enum StepEvent {
    /// Prefill of a prompt began; `cached` of its tokens were in the cache.
    PrefillBegan { cached: u32, parts: Vec<Part> },
    /// Prefill of a prompt ended and its first token was generated.
    FirstToken { index: usize, prompt: Prompt, is_saved: bool },
}

#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) weights: u64,
    pub(crate) cache: Cache,
    /// When its link finishes the last transfer.
    pub(crate) link_free_at: Time,
    /// Number of orders that it has accepted.
    pub(crate) orders: u64,
    /// The version that it was ordered to load and, once loading has begun, when that ends.
    pub(crate) order: Option<(u64, Option<Time>)>,
    memory_tokens: u64,
    queue: VecDeque<Job>,
    running: Vec<Run>,
    /// When the current step ends.
    pub(crate) step_ends: Option<Time>,
}

impl Engine {
    pub(crate) fn new(memory_tokens: u64) -> Self {
        Self {
            weights: 1,
            cache: Cache::default(),
            link_free_at: Time::ZERO,
            orders: 0,
            order: None,
            memory_tokens,
            queue: VecDeque::new(),
            running: Vec::new(),
            step_ends: None,
        }
    }

    pub(crate) fn running(&self) -> usize {
        self.running.len()
    }

    pub(crate) fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Tokens left for cached parts besides the running requests.
    pub(crate) fn cache_capacity(&self) -> u64 {
        self.memory_tokens.saturating_sub(self.running.iter().map(|it| it.memory_tokens).sum())
    }

    /// Queues a request; declines it while an order to load weights is pending.
    pub(crate) fn enqueue(&mut self, job: Job) -> Result<(), Job> {
        if self.order.is_some() {
            return Err(job);
        }
        self.queue.push_back(job);
        Ok(())
    }

    /// Starts a step if none is under way and there is work.
    pub(crate) fn start_step(&mut self, now: Time) {
        let ready = self.queue.iter().any(|it| it.ready <= now);
        if self.step_ends.is_some() || (!ready && self.running.is_empty()) {
            return;
        }
        let chunk = f64::from(self.prefill_chunk(now));
        let ms =
            STEP_MS + chunk / PREFILL_TOKENS_PER_MS + STEP_MS_PER_RUN * self.running.len() as f64;
        self.step_ends = Some(now + Duration::from_secs_f64(ms / 1e3));
    }

    /// The earliest time at which a queued request is ready.
    pub(crate) fn next_ready(&self) -> Option<Time> {
        self.queue.iter().map(|it| it.ready).min()
    }

    /// Tokens of the first ready request that the step prefills.
    fn prefill_chunk(&self, now: Time) -> u32 {
        let job = self.queue.iter().find(|it| it.ready <= now);
        job.map_or(0, |it| {
            let parts = &it.prompt.parts;
            let left = it.prefill_left.unwrap_or_else(|| {
                it.prompt.tokens() - self.cache.peek_prefix(parts, self.weights)
            });
            left.min(PREFILL_CHUNK)
        })
    }

    /// Ends the current step and starts the next one.
    pub(crate) fn end_step(&mut self, now: Time) -> Vec<StepEvent> {
        self.step_ends = None;
        for run in &mut self.running {
            run.tokens_left -= 1;
            run.memory_tokens += 1;
        }
        self.running.retain(|it| 0 < it.tokens_left);
        let mut done = Vec::new();
        if let Some(at) = self.queue.iter().position(|it| it.ready <= now) {
            let weights = self.weights;
            let job = &mut self.queue[at];
            let all = job.prompt.tokens();
            let left = match job.prefill_left {
                Some(left) => left,
                None => {
                    let cached = self.cache.use_prefix(&job.prompt.parts, weights);
                    done.push(StepEvent::PrefillBegan { cached, parts: job.prompt.parts.clone() });
                    all - cached
                }
            };
            job.prefill_left = Some(left - left.min(PREFILL_CHUNK));
            if job.prefill_left == Some(0)
                && let Some(job) = self.queue.remove(at)
            {
                done.push(self.finish_prefill(job, all));
            }
        }
        let room = self.cache_capacity();
        self.cache.evict_to(room);
        self.start_step(now);
        done
    }

    fn finish_prefill(&mut self, job: Job, tokens: u32) -> StepEvent {
        let Job { index, prompt, is_saved, .. } = job;
        // The shared parts are counted in the cache; only the last part and the answer are the
        // run's own.
        let own = prompt.parts.last().map_or(0, |it| it.tokens);
        if 1 < prompt.answer {
            self.running
                .push(Run { tokens_left: prompt.answer - 1, memory_tokens: u64::from(own) });
        }
        debug_assert!(own <= tokens);
        let room = self.cache_capacity();
        self.cache.add(prompt.shared(), self.weights, room);
        StepEvent::FirstToken { index, prompt, is_saved }
    }

    /// Whether the engine has no work, so that it may begin to load weights.
    pub(crate) fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.running.is_empty()
    }
}
