//! Continuous batching: what runs, what waits, and what one step computes.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::sync::mpsc;

use crate::engine::{
    Settings,
    cache::{Cache, Origin},
};

/// A request that the engine took.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) attempt: Arc<str>,
    pub(crate) priority: u8,
    pub(crate) chain: Vec<u64>,
    pub(crate) prompt_tokens: u32,
    /// Tokens of the whole answer.
    pub(crate) answer: u32,
    /// Tokens of the answer that exist already.
    pub(crate) done: u32,
    pub(crate) origin: Origin,
    pub(crate) out: mpsc::Sender<Out>,
}

/// What a job tells its connection. The channel's end is the job's end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Out {
    /// It runs.
    Started {
        /// Prompt tokens that the cache held.
        cached: u32,
    },
    /// The answer's token of this number.
    Token(u32),
    /// It will never run.
    Refused,
}

/// One request that ran, or began to.
#[derive(Clone, Debug)]
pub struct Run {
    /// The attempt that it carried, empty without one.
    pub attempt: Arc<str>,
    /// The life in which it ran.
    pub incarnation: u64,
    /// When it began.
    pub at: Instant,
    /// The prompt's blocks.
    pub chain: Vec<u64>,
    /// Leading blocks that came from the cache.
    pub cached_blocks: u32,
    /// Of these, blocks that another user's prompt, another model or other weights left.
    pub foreign_blocks: u32,
    /// Prompt tokens that were computed.
    pub computed_tokens: u32,
    /// Tokens that the caller held already.
    pub resumed_at: u32,
    /// Number of the last token generated.
    pub generated: u32,
    /// How it ended.
    pub end: End,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// It still runs, or the engine died.
    Open,
    /// All tokens were generated.
    Complete,
    /// It was cancelled, or its connection closed.
    Cancelled,
}

/// The engine's load.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Load {
    pub(crate) waiting: usize,
    pub(crate) running: usize,
    pub(crate) waiting_tokens: u64,
    pub(crate) used_blocks: u32,
    pub(crate) total_blocks: u32,
}

/// All jobs and the memory that they share.
#[derive(Debug)]
pub(crate) struct Batch {
    waiting: Vec<Job>,
    running: Vec<Running>,
    pub(crate) cache: Cache,
    pub(crate) runs: Vec<Run>,
}

#[derive(Debug)]
struct Running {
    job: Job,
    prefill_left: u32,
    /// Blocks that it pins.
    pinned: usize,
    /// Blocks of memory that it holds alone.
    private: u32,
    /// Whether this step computes its next token.
    is_due: bool,
    /// Its place in the run log.
    run: usize,
}

impl Batch {
    /// An engine without work.
    pub(crate) fn new(cache_blocks: u32) -> Self {
        Self {
            waiting: Vec::new(),
            running: Vec::new(),
            cache: Cache::new(cache_blocks),
            runs: Vec::new(),
        }
    }

    /// Queues a job. False when it can never fit into memory.
    pub(crate) fn submit(&mut self, job: Job, settings: &Settings) -> bool {
        if self.cache.capacity() < blocks_of(&job, settings) {
            return false;
        }
        let place = self.waiting.partition_point(|it| job.priority <= it.priority);
        self.waiting.insert(place, job);
        true
    }

    /// Ends the jobs of an attempt.
    pub(crate) fn cancel(&mut self, attempt: &str) {
        self.waiting.retain(|it| *it.attempt != *attempt);
        self.end_running(|it| *it.job.attempt == *attempt);
    }

    /// Refuses everything that waits.
    pub(crate) fn refuse_waiting(&mut self) {
        for job in self.waiting.drain(..) {
            let _ = job.out.try_send(Out::Refused);
        }
    }

    /// Loses all work and memory, as a crash does. The run log stays.
    pub(crate) fn crash(&mut self) {
        self.waiting.clear();
        self.running.clear();
        self.cache = Cache::new(self.cache.capacity());
    }

    /// Whether nothing runs.
    pub(crate) fn is_idle(&self) -> bool {
        self.running.is_empty()
    }

    /// The load now.
    pub(crate) fn load(&self, settings: &Settings) -> Load {
        let chains = self.waiting.iter().map(|it| {
            let cached = self.cache.matched(&it.chain) as u64 * u64::from(settings.block_tokens);
            u64::from(it.prompt_tokens).saturating_sub(cached)
        });
        let left = self.running.iter().map(|it| u64::from(it.prefill_left));
        Load {
            waiting: self.waiting.len(),
            running: self.running.len(),
            waiting_tokens: chains.chain(left).sum(),
            used_blocks: self.cache.used(),
            total_blocks: self.cache.capacity(),
        }
    }

    /// Begins a step: admits what fits and plans what to compute. Returns how long that takes;
    /// `None` when there is nothing to compute now.
    pub(crate) fn begin_step(&mut self, incarnation: u64, settings: &Settings) -> Option<Duration> {
        self.waiting.retain(|it| !it.out.is_closed());
        self.end_running(|it| it.job.out.is_closed());
        while self.admit(incarnation, settings) {}
        let prefilled = self.plan_prefill(settings.prefill_chunk);
        let decoding = self.plan_decode();
        if prefilled == 0 && decoding == 0 {
            return None;
        }
        let mut cost = settings.prefill_per_token * prefilled;
        if 0 < decoding {
            cost += settings.decode_step + settings.decode_per_stream * decoding;
        }
        Some(cost)
    }

    /// Ends a step: gives out the tokens and keeps the blocks that it computed. Returns the length of
    /// the longest answer that got a token.
    pub(crate) fn end_step(&mut self) -> u32 {
        let mut longest = 0;
        for running in self.running.iter_mut().filter(|it| it.is_due) {
            running.is_due = false;
            running.keep_prompt(&mut self.cache);
            let next = running.job.done + 1;
            if running.job.out.try_send(Out::Token(next)).is_ok() {
                running.job.done = next;
                self.runs[running.run].generated = next;
                longest = longest.max(next);
            }
        }
        self.end_running(|it| it.job.answer <= it.job.done);
        longest
    }

    /// Lets the first waiting job run, if there is room.
    fn admit(&mut self, incarnation: u64, settings: &Settings) -> bool {
        let Some(job) = self.waiting.first() else { return false };
        if settings.max_running <= self.running.len() || job.out.capacity() == 0 {
            return false;
        }
        // The last token of a prompt is always computed: it gives the answer's first token.
        let most = job.prompt_tokens.saturating_sub(1) / settings.block_tokens;
        let matched = self.cache.matched(&job.chain).min(most as usize);
        let private = blocks_of(job, settings) - count(matched);
        self.cache.pin(&job.chain[..matched]);
        if !self.cache.reserve(private) {
            self.cache.unpin(&job.chain[..matched]);
            return false;
        }
        let job = self.waiting.remove(0);
        let cached = count(matched) * settings.block_tokens;
        let prefill_left = job.prompt_tokens + job.done - cached;
        let _ = job.out.try_send(Out::Started { cached });
        self.runs.push(Run {
            attempt: Arc::clone(&job.attempt),
            incarnation,
            at: Instant::now(),
            chain: job.chain.clone(),
            cached_blocks: count(matched),
            foreign_blocks: count(self.cache.foreign(&job.chain[..matched], &job.origin)),
            computed_tokens: prefill_left,
            resumed_at: job.done,
            generated: job.done,
            end: End::Open,
        });
        let run = self.runs.len() - 1;
        let running = Running { job, prefill_left, pinned: matched, private, is_due: false, run };
        self.running.push(running);
        true
    }

    /// Spends up to `chunk` tokens of prefill, oldest jobs first.
    fn plan_prefill(&mut self, chunk: u32) -> u32 {
        let mut left = chunk;
        for running in self.running.iter_mut().filter(|it| 0 < it.prefill_left) {
            let spent = running.prefill_left.min(left);
            running.prefill_left -= spent;
            running.is_due = running.prefill_left == 0;
            left -= spent;
        }
        chunk - left
    }

    /// Marks the streams that get a token; one whose reader is slow waits without the others.
    fn plan_decode(&mut self) -> u32 {
        let ready = |it: &&mut Running| it.prefill_left == 0 && 0 < it.job.out.capacity();
        let mut count = 0;
        for running in self.running.iter_mut().filter(ready) {
            running.is_due = true;
            count += 1;
        }
        count
    }

    fn end_running(&mut self, is_over: impl Fn(&Running) -> bool) {
        let (over, left) = std::mem::take(&mut self.running).into_iter().partition(is_over);
        self.running = left;
        let over: Vec<Running> = over;
        for running in over {
            self.cache.unpin(&running.job.chain[..running.pinned]);
            self.cache.release(running.private);
            let is_complete = running.job.answer <= running.job.done;
            self.runs[running.run].end = if is_complete { End::Complete } else { End::Cancelled };
        }
    }
}

impl Running {
    /// Turns the computed prompt's full blocks into shared ones.
    fn keep_prompt(&mut self, cache: &mut Cache) {
        for index in self.pinned..self.job.chain.len() {
            if cache.store(self.job.chain[index], count(index + 1), &self.job.origin) {
                self.private -= 1;
            }
        }
        self.pinned = self.job.chain.len();
    }
}

/// Blocks of memory for a job's prompt and answer.
fn blocks_of(job: &Job, settings: &Settings) -> u32 {
    let tokens = (job.prompt_tokens + job.answer).div_ceil(settings.block_tokens);
    tokens.max(count(job.chain.len()))
}

fn count(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}
