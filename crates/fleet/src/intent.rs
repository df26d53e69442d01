//! Records that keep a request with an idempotency key from running twice, through whichever
//! instances its repeats come.
//!
//! Before the request is sent, an *intent* is recorded in the platform's object API; afterwards its
//! result is. Keys are divided over [`SHARDS`] shards. The home instance of a shard batches the
//! writes of all instances; where it doesn't answer, any instance writes by itself. Safety rests on
//! the conditional update of the shard's head alone, never on who is the home.
//!
//! How to use it: hand [`Input::Begin`] over before a request with a key is sent, and send it only
//! on [`Answer::Recorded`]; every other answer goes to the caller, as [`Answer::code`] says. Once
//! the attempt ended, hand [`Input::Finish`] over, with [`State::Void`] when it provably never
//! left. A graceful shutdown waits for [`Output::Finished`].
//!
//! Limits, for operators: a key is remembered for at least [`RETAIN`] of its shard's own clock,
//! which never runs ahead of true time; results up to [`MAX_KEPT`] bytes are kept, of larger ones
//! only that they ran; a shard takes at most [`MAX_ROWS`] keys at a time and refuses more as "not
//! run".

use std::{mem, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use shallotlead_base::{
    code::Code,
    hash::Map,
    id::{Incarnation, Request},
    name,
    store::Reply,
    time::Time,
};

use crate::{
    class::Class,
    context::Context,
    intent::{
        entry::{Entry, Executor, Key, State, StoredResponse},
        shard::{Origin, Shard, Wish},
    },
    node::Action,
    outbox::Outbox,
    part::Part,
};

pub mod entry;
pub(crate) mod head;
pub(crate) mod shard;

#[cfg(test)]
mod tests;

/// Shards that keys are divided over.
pub const SHARDS: u64 = 64;
/// How long a key is remembered, at least.
pub const RETENTION: Duration = Duration::from_secs(3600);
/// Largest result that is kept, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 1024;
/// Longest idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 128;
/// Most keys that one shard remembers.
pub const MAX_KEYS_PER_SHARD: usize = 8192;
/// Most requests with a key that one instance has open.
pub const MAX_OPEN_REQUESTS: usize = 4096;

/// How long the home may take before this instance writes by itself.
const HOME_PATIENCE: Duration = Duration::from_millis(400);
/// How long a request waits for its record in all.
const PATIENCE: Duration = Duration::from_secs(2);
/// Pause before a result is handed over again.
const FINISH_RETRY: Duration = Duration::from_secs(2);
/// When a caller may come back after a refusal without a better time.
const COME_BACK: Duration = Duration::from_secs(1);
/// How long another instance's shard is remembered here.
const IDLE: Duration = Duration::from_secs(60);

/// What peers tell each other.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// To the home: write this.
    Write(Entry),
    /// From the home: what became of it.
    Outcome {
        /// The life that asked.
        incarnation: Incarnation,
        /// The attempt that it is about.
        attempt: u64,
        /// What became of it.
        outcome: Outcome,
    },
}

/// What became of a request to record an intent or a result.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Outcome {
    /// The intent is recorded: the request may be sent, once.
    Recorded,
    /// The result is recorded.
    Finished,
    /// An earlier request with this key ran: its result.
    Ran(StoredResponse),
    /// An earlier request with this key still runs.
    Running,
    /// An earlier request with this key may have run.
    Unknown,
    /// The key was used with a different request.
    Reused,
    /// The intent could not be recorded, so the request must not run.
    Unrecorded {
        /// When to come back, in milliseconds.
        retry_after_ms: u32,
        /// No write of it was ever sent.
        is_unwritten: bool,
    },
}

impl Outcome {
    /// The result code for the caller; `None` where the request goes on or its result is at hand.
    pub fn code(&self) -> Option<Code> {
        match self {
            Outcome::Recorded | Outcome::Finished | Outcome::Ran(_) => None,
            Outcome::Running => Some(Code::StillRunning),
            Outcome::Unknown => Some(Code::OutcomeUnknown),
            Outcome::Reused => Some(Code::KeyReused),
            Outcome::Unrecorded { .. } => Some(Code::IntentUnrecorded),
        }
    }

    fn unrecorded(retry_after: Duration, clean: bool) -> Self {
        let millis = retry_after.as_millis().max(1);
        Self::Unrecorded {
            retry_after_ms: u32::try_from(millis).unwrap_or(u32::MAX),
            is_unwritten: clean,
        }
    }
}

/// What the daemon tells.
#[derive(Clone, Debug)]
pub enum Input {
    /// A request with a key wants to run.
    Begin {
        /// The request.
        request: Request,
        /// Whose key it is.
        organisation: name::Organisation,
        /// The idempotency key, at most [`MAX_KEY`] bytes.
        key: Arc<str>,
        /// Hash of the request's path and body.
        body_hash: u128,
    },
    /// A recorded request ended.
    Finish {
        /// The request.
        request: Request,
        /// How.
        state: State,
    },
}

/// What the daemon is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// What became of [`Input::Begin`].
    Began {
        /// The request.
        request: Request,
        /// What became of it.
        outcome: Outcome,
    },
    /// The result of a request is recorded.
    Finished {
        /// The request.
        request: Request,
    },
}

/// A request with a key that this instance has open.
#[derive(Debug)]
struct Open {
    request: Request,
    entry: Entry,
    phase: Phase,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    /// The intent is to be recorded; asked of the home or written directly.
    Begin {
        since: Time,
        direct: bool,
        /// Both the home and this instance may write it.
        both: bool,
    },
    /// It is recorded, and the request runs.
    Running,
    /// The result is to be recorded.
    Finish { next: Time, direct: bool },
}

/// State of this part.
#[derive(Debug, Default)]
pub struct Intent {
    attempts: u64,
    open: Map<u64, Open>,
    requests: Map<Request, u64>,
    shards: Map<u64, Shard>,
    sweep: Time,
}

impl Part for Intent {
    type Input = Input;
    type Message = Message;

    fn handle(&mut self, ctx: &Context<'_>, input: Input, out: &mut Outbox<'_>) {
        match input {
            Input::Begin { request, organisation, key, body_hash: body } => {
                self.begin(ctx, request, Key { organisation, key }, body, out);
            }
            Input::Finish { request, state } => self.finish(ctx, request, state, out),
        }
    }

    fn message(
        &mut self,
        ctx: &Context<'_>,
        from: &name::Instance,
        message: Message,
        out: &mut Outbox<'_>,
    ) {
        match message {
            Message::Write(mut entry)
                if entry.executor.instance == *from && entry.key.is_valid() =>
            {
                entry.state = entry.state.bounded();
                self.push(ctx, Wish::new(ctx.now, Origin::Peer, entry));
            }
            Message::Write(_) => {}
            Message::Outcome { incarnation, attempt, outcome: answer } => {
                if ctx.incarnation() == Some(incarnation) {
                    self.answered(ctx, attempt, answer, out);
                }
            }
        }
    }

    fn reply(&mut self, ctx: &Context<'_>, number: u64, reply: Reply, out: &mut Outbox<'_>) {
        if let Some(shard) = self.shards.values_mut().find(|it| it.waits_for(number)) {
            shard.reply(ctx, reply);
        }
        self.settle(ctx, out);
    }

    fn tick(&mut self, ctx: &Context<'_>, out: &mut Outbox<'_>) -> Time {
        let mut next = self.hurry(ctx, out);
        for shard in self.shards.values_mut() {
            next = next.min(shard.tick(ctx, out));
        }
        self.settle(ctx, out);
        if self.sweep <= ctx.now {
            self.sweep = ctx.now + IDLE / 2;
            self.forget(ctx);
        }
        next
    }
}

impl Intent {
    fn begin(
        &mut self,
        ctx: &Context<'_>,
        request: Request,
        key: Key,
        body: u128,
        out: &mut Outbox<'_>,
    ) {
        let owner = match Executor::of(ctx) {
            Some(it) if key.is_valid() && self.open.len() < MAX_OPEN_REQUESTS => it,
            _ => {
                let answer = Outcome::unrecorded(COME_BACK, true);
                out.push(Action::Intent(Output::Began { request, outcome: answer }));
                return;
            }
        };
        self.attempts += 1;
        let attempt = self.attempts;
        let entry =
            Entry { key, body_hash: body, executor: owner, attempt, state: State::Intended };
        let direct = self.write(ctx, &entry, false, out);
        let phase = Phase::Begin { since: ctx.now, direct, both: false };
        self.open.insert(attempt, Open { request, entry, phase });
        self.requests.insert(request, attempt);
    }

    fn finish(&mut self, ctx: &Context<'_>, request: Request, state: State, out: &mut Outbox<'_>) {
        let Some(attempt) = self.requests.get(&request) else { return };
        let Some(open) = self.open.get_mut(attempt) else { return };
        if open.phase != Phase::Running {
            return;
        }
        open.entry.state = state.bounded();
        let entry = open.entry.clone();
        let direct = self.write(ctx, &entry, false, out);
        if let Some(open) = self.open.get_mut(&entry.attempt) {
            open.phase = Phase::Finish { next: ctx.now + FINISH_RETRY, direct };
        }
    }

    /// Hands `entry` to its home, or to the own shard where this instance is the home or `direct`
    /// says so. Returns whether it was the own shard.
    fn write(
        &mut self,
        ctx: &Context<'_>,
        entry: &Entry,
        direct: bool,
        out: &mut Outbox<'_>,
    ) -> bool {
        match ctx.view.global_home(entry.key.hash()) {
            Some(home) if home != ctx.me && !direct => {
                out.send(home, Message::Write(entry.clone()), Class::Stream);
                false
            }
            _ => {
                self.push(ctx, Wish::new(ctx.now, Origin::Own, entry.clone()));
                true
            }
        }
    }

    fn push(&mut self, ctx: &Context<'_>, wish: Wish) {
        let number = wish.entry.key.shard();
        let shard = self.shards.entry(number).or_insert_with(|| Shard::open(number, ctx.now));
        shard.push(ctx.now, wish);
    }

    /// Goes round a home that doesn't answer, and gives up what took too long.
    fn hurry(&mut self, ctx: &Context<'_>, out: &mut Outbox<'_>) -> Time {
        let mut next = Time::MAX;
        let mut late = Vec::new();
        for (attempt, open) in &mut self.open {
            match &mut open.phase {
                Phase::Begin { since, .. } if *since + PATIENCE <= ctx.now => {
                    late.push((*attempt, None));
                }
                Phase::Begin { since, direct: direct @ false, both }
                    if *since + HOME_PATIENCE <= ctx.now =>
                {
                    *direct = true;
                    *both = true;
                    next = next.min(*since + PATIENCE);
                    late.push((*attempt, Some(true)));
                }
                Phase::Begin { since, direct: false, .. } => {
                    next = next.min(*since + HOME_PATIENCE)
                }
                Phase::Begin { since, direct: true, .. } => next = next.min(*since + PATIENCE),
                Phase::Finish { next: at, direct } if *at <= ctx.now => {
                    *at = ctx.now + FINISH_RETRY;
                    next = next.min(*at);
                    *direct = !*direct;
                    late.push((*attempt, Some(*direct)));
                }
                Phase::Finish { next: at, .. } => next = next.min(*at),
                Phase::Running => {}
            }
        }
        late.sort_unstable();
        for (attempt, write) in late {
            let Some(direct) = write else {
                self.answered(ctx, attempt, Outcome::unrecorded(COME_BACK, false), out);
                continue;
            };
            if let Some(entry) = self.open.get(&attempt).map(|it| it.entry.clone()) {
                self.write(ctx, &entry, direct, out);
            }
        }
        next
    }

    /// Forgets other homes' shards that nobody asked for. The home keeps its own, as a shard's clock
    /// only counts the time that a writer sees pass.
    fn forget(&mut self, ctx: &Context<'_>) {
        let is_home = |number| ctx.view.global_home(entry::home_hash(number)) == Some(ctx.me);
        self.shards.retain(|number, it| !it.is_idle(ctx.now, IDLE) || is_home(*number));
    }

    /// Hands out the answers that the own shards found.
    fn settle(&mut self, ctx: &Context<'_>, out: &mut Outbox<'_>) {
        let mut answers =
            self.shards.values_mut().flat_map(|it| mem::take(&mut it.answers)).collect::<Vec<_>>();
        answers.sort_by_key(|(wish, _)| wish.entry.attempt);
        for (wish, answer) in answers {
            let Entry { executor: owner, attempt, .. } = wish.entry;
            match wish.origin {
                Origin::Own => self.answered(ctx, attempt, answer, out),
                Origin::Peer => {
                    let incarnation = owner.incarnation;
                    let message = Message::Outcome { incarnation, attempt, outcome: answer };
                    out.send(&owner.instance, message, Class::Stream);
                }
            }
        }
    }

    fn answered(&mut self, ctx: &Context<'_>, attempt: u64, answer: Outcome, out: &mut Outbox<'_>) {
        let Some(open) = self.open.get_mut(&attempt) else { return };
        let request = open.request;
        match (open.phase, &answer) {
            (Phase::Begin { .. }, Outcome::Recorded) => {
                open.phase = Phase::Running;
                out.push(Action::Intent(Output::Began { request, outcome: answer }));
            }
            (Phase::Begin { both, .. }, Outcome::Unrecorded { is_unwritten: clean, .. })
                if both || !clean =>
            {
                // Guards against a refused intent that is recorded after all, by a write whose
                // answer was lost or by the other writer. It shows as a key that is "still
                // running" for an hour, though its caller was told that it didn't run. The void
                // record holds because this instance never sends what it has refused.
                open.entry.state = State::Void;
                open.phase = Phase::Finish { next: ctx.now + FINISH_RETRY, direct: true };
                self.requests.remove(&request);
                let entry = open.entry.clone();
                self.write(ctx, &entry, true, out);
                out.push(Action::Intent(Output::Began { request, outcome: answer }));
            }
            (Phase::Begin { .. }, Outcome::Finished) => {}
            (Phase::Begin { .. }, _) => {
                self.open.remove(&attempt);
                self.requests.remove(&request);
                out.push(Action::Intent(Output::Began { request, outcome: answer }));
            }
            (Phase::Finish { .. }, Outcome::Finished) => {
                self.open.remove(&attempt);
                if self.requests.remove(&request).is_some() {
                    out.push(Action::Intent(Output::Finished { request }));
                }
            }
            // A doubled or late answer.
            (Phase::Running | Phase::Finish { .. }, _) => {}
        }
    }
}
