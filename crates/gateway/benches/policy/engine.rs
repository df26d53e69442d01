//! An engine: it reads prompts in chunks between the tokens of running answers, keeps what it read
//! while there is room, and loads weights once its last run has ended.

use std::{collections::VecDeque, time::Duration};

use shallotlead_base::time::Time;
use shallotlead_gateway::adapter::Part;

use crate::{
    cache::Cache,
    site::{CHUNK, Prompt, READ_PER_MS, RUNNING_STEP_MS, STEP_MS},
};

/// A request at an engine.
#[derive(Debug)]
pub(crate) struct Job {
    /// Its place in the tally.
    pub(crate) number: usize,
    pub(crate) prompt: Prompt,
    /// Not before then: what it fetches is on its way.
    pub(crate) ready: Time,
    /// Whether the store gets what is read for it.
    pub(crate) is_saved: bool,
    /// Tokens still to read, once reading has begun.
    left: Option<u32>,
}

impl Job {
    pub(crate) fn new(number: usize, prompt: Prompt, ready: Time, is_saved: bool) -> Self {
        Self { number, prompt, ready, is_saved, left: None }
    }
}

/// A running answer.
#[derive(Debug)]
struct Run {
    /// Tokens still to make.
    left: u32,
    /// Tokens that it takes in memory, besides cached parts.
    tokens: u64,
}

/// What a step has brought.
#[derive(Debug)]
pub(crate) enum Done {
    /// A prompt begins to be read; `cached` of its tokens were there.
    Began { cached: u32, parts: Vec<Part> },
    /// A prompt is read, and its first token made.
    First { number: usize, prompt: Prompt, is_saved: bool },
}

#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) weights: u64,
    pub(crate) cache: Cache,
    /// When its link is free again.
    pub(crate) link_free: Time,
    /// Orders that it accepted.
    pub(crate) orders: u64,
    /// The version that it is to load, and when it will have, once it has begun.
    pub(crate) order: Option<(u64, Option<Time>)>,
    memory: u64,
    queue: VecDeque<Job>,
    running: Vec<Run>,
    /// The end of the step under way.
    pub(crate) step_ends: Option<Time>,
}

impl Engine {
    pub(crate) fn new(memory: u64) -> Self {
        Self {
            weights: 1,
            cache: Cache::default(),
            link_free: Time::ZERO,
            orders: 0,
            order: None,
            memory,
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

    /// Tokens that cached parts may take.
    pub(crate) fn room(&self) -> u64 {
        self.memory.saturating_sub(self.running.iter().map(|it| it.tokens).sum())
    }

    /// Takes a request, unless an order holds it back.
    pub(crate) fn take(&mut self, job: Job) -> Result<(), Job> {
        if self.order.is_some() {
            return Err(job);
        }
        self.queue.push_back(job);
        Ok(())
    }

    /// Begins a step, if there is something to do.
    pub(crate) fn begin(&mut self, now: Time) {
        let ready = self.queue.iter().any(|it| it.ready <= now);
        if self.step_ends.is_some() || (!ready && self.running.is_empty()) {
            return;
        }
        let chunk = f64::from(self.chunk(now));
        let ms = STEP_MS + chunk / READ_PER_MS + RUNNING_STEP_MS * self.running.len() as f64;
        self.step_ends = Some(now + Duration::from_secs_f64(ms / 1e3));
    }

    /// When the next waiting request may begin, if no step is under way.
    pub(crate) fn next_ready(&self) -> Option<Time> {
        self.queue.iter().map(|it| it.ready).min()
    }

    /// Tokens that the step reads of the first request that is ready.
    fn chunk(&self, now: Time) -> u32 {
        let job = self.queue.iter().find(|it| it.ready <= now);
        job.map_or(0, |it| {
            let parts = &it.prompt.parts;
            let left = it
                .left
                .unwrap_or_else(|| it.prompt.tokens() - self.cache.look(parts, self.weights));
            left.min(CHUNK)
        })
    }

    /// Ends the step under way.
    pub(crate) fn end_step(&mut self, now: Time) -> Vec<Done> {
        self.step_ends = None;
        for run in &mut self.running {
            run.left -= 1;
            run.tokens += 1;
        }
        self.running.retain(|it| 0 < it.left);
        let mut done = Vec::new();
        if let Some(at) = self.queue.iter().position(|it| it.ready <= now) {
            let weights = self.weights;
            let job = &mut self.queue[at];
            let all = job.prompt.tokens();
            let left = match job.left {
                Some(left) => left,
                None => {
                    let cached = self.cache.take(&job.prompt.parts, weights);
                    done.push(Done::Began { cached, parts: job.prompt.parts.clone() });
                    all - cached
                }
            };
            job.left = Some(left - left.min(CHUNK));
            if job.left == Some(0)
                && let Some(job) = self.queue.remove(at)
            {
                done.push(self.first_token(job, all));
            }
        }
        let room = self.room();
        self.cache.shrink(room);
        self.begin(now);
        done
    }

    fn first_token(&mut self, job: Job, tokens: u32) -> Done {
        let Job { number, prompt, is_saved, .. } = job;
        // What runs is in memory once, as its cached parts; its answer comes on top.
        let own = prompt.parts.last().map_or(0, |it| it.tokens);
        if 1 < prompt.answer {
            self.running.push(Run { left: prompt.answer - 1, tokens: u64::from(own) });
        }
        debug_assert!(own <= tokens);
        let room = self.room();
        self.cache.put(prompt.shared(), self.weights, room);
        Done::First { number, prompt, is_saved }
    }

    /// Whether an order can begin to be carried out.
    pub(crate) fn is_empty(&self) -> bool {
        self.queue.is_empty() && self.running.is_empty()
    }
}
