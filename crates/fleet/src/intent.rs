//! Records that prevent a request with an idempotency key from running twice, whichever instances
//! its repeats arrive at.
//!
//! Before the request is sent, an *intent* is recorded in the platform's object API; afterwards its
//! result is. Keys are divided over [`SHARDS`] shards. The owner of a shard, an instance chosen by
//! rendezvous hashing, batches the writes of all instances; if it doesn't respond, any instance
//! writes by itself. Safety rests on the conditional update of the shard's head alone, never on
//! which instance is the owner.
//!
//! How to use it: pass [`Input::Begin`] before a request with a key is sent, and send it only on
//! [`Outcome::Recorded`]; any other outcome is returned to the caller, as [`Outcome::code`] says.
//! Once the attempt has ended, pass [`Input::Finish`], with [`State::Void`] if it provably was
//! never sent. A graceful shutdown waits for [`Output::Finished`].
//!
//! Limits, for operators: a key is remembered for at least [`RETENTION`] of its shard's own clock,
//! which never runs ahead of true time; results up to [`MAX_RESPONSE_BYTES`] bytes are stored, of
//! larger ones only that they ran; a shard holds at most [`MAX_KEYS_PER_SHARD`] keys at a time and
//! refuses more as "not run".

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
    component::Component,
    context::Context,
    delivery::Delivery,
    intent::{
        entry::{Entry, Executor, Key, State, StoredResponse},
        shard::{Origin, PendingWrite, Shard},
    },
    node::Action,
    outbox::Outbox,
};

pub mod entry;
pub(crate) mod head;
pub(crate) mod shard;

#[cfg(test)]
mod tests;

/// Number of shards that keys are divided over.
pub const SHARDS: u64 = 64;
/// Shortest time that a key is remembered.
pub const RETENTION: Duration = Duration::from_secs(3600);
/// Largest response body that is stored, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 1024;
/// Longest idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 128;
/// Most keys that one shard remembers.
pub const MAX_KEYS_PER_SHARD: usize = 8192;
/// Most requests with a key that one instance has open at a time.
pub const MAX_OPEN_REQUESTS: usize = 4096;

/// How long the owner of a shard may take before this instance writes the record by itself.
const OWNER_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest time that a request waits for its intent to be recorded.
const RECORD_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay before a result is submitted again.
const FINISH_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Default delay before a caller may retry a refused request.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// How long an unused shard of another owner is kept in memory.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Messages between instances about intents.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// To the owner of the shard: write this record.
    Write(Entry),
    /// From the owner of the shard: the outcome.
    Outcome {
        /// The incarnation that submitted the record.
        incarnation: Incarnation,
        /// The attempt that the record is for.
        attempt: u64,
        /// The outcome.
        outcome: Outcome,
    },
}

/// Outcome of recording an intent or a result.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Outcome {
    /// The intent is recorded: the request may be sent, once.
    Recorded,
    /// The result was recorded.
    Finished,
    /// An earlier request with this key ran; this is its response.
    Ran(StoredResponse),
    /// An earlier request with this key is still running.
    Running,
    /// An earlier request with this key may have run.
    Unknown,
    /// The key was used with a different request.
    Reused,
    /// The intent could not be recorded, so the request must not run.
    Unrecorded {
        /// Delay before a retry, in milliseconds.
        retry_after_ms: u32,
        /// Whether no write of it was ever sent.
        is_unwritten: bool,
    },
}

impl Outcome {
    /// The result code for the caller; `None` if the request proceeds or its response is available.
    pub fn code(&self) -> Option<Code> {
        match self {
            Outcome::Recorded | Outcome::Finished | Outcome::Ran(_) => None,
            Outcome::Running => Some(Code::StillRunning),
            Outcome::Unknown => Some(Code::OutcomeUnknown),
            Outcome::Reused => Some(Code::KeyReused),
            Outcome::Unrecorded { .. } => Some(Code::IntentUnrecorded),
        }
    }

    fn unrecorded(retry_after: Duration, is_unwritten: bool) -> Self {
        let millis = retry_after.as_millis().max(1);
        Self::Unrecorded { retry_after_ms: u32::try_from(millis).unwrap_or(u32::MAX), is_unwritten }
    }
}

/// Inputs from the daemon.
#[derive(Clone, Debug)]
pub enum Input {
    /// A request with a key is about to be sent.
    Begin {
        /// The request.
        request: Request,
        /// The organisation that the key belongs to.
        organisation: name::Organisation,
        /// The idempotency key, at most [`MAX_KEY_BYTES`] bytes.
        key: Arc<str>,
        /// Hash of the request's path and body.
        body_hash: u128,
    },
    /// A request whose intent was recorded has ended.
    Finish {
        /// The request.
        request: Request,
        /// The state that it ended in.
        state: State,
    },
}

/// Outputs to the daemon.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// The outcome of [`Input::Begin`].
    Began {
        /// The request.
        request: Request,
        /// The outcome.
        outcome: Outcome,
    },
    /// The result of a request was recorded.
    Finished {
        /// The request.
        request: Request,
    },
}

/// A request with a key that this instance has open.
#[derive(Debug)]
struct OpenRequest {
    request: Request,
    entry: Entry,
    phase: Phase,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    /// The intent is being recorded, through the shard's owner or directly by this instance.
    Begin {
        since: Time,
        is_direct: bool,
        /// Both the shard's owner and this instance may write it.
        has_two_writers: bool,
    },
    /// The intent is recorded, and the request runs.
    Running,
    /// The result is being recorded.
    Finish { next: Time, is_direct: bool },
}

/// State of the open requests and shards on this instance.
#[derive(Debug, Default)]
pub struct Intent {
    last_attempt: u64,
    open: Map<u64, OpenRequest>,
    attempt_of: Map<Request, u64>,
    shards: Map<u64, Shard>,
    next_sweep: Time,
}

impl Component for Intent {
    type Input = Input;
    type Message = Message;

    fn handle(&mut self, ctx: &Context<'_>, input: Input, out: &mut Outbox<'_>) {
        match input {
            Input::Begin { request, organisation, key, body_hash } => {
                self.begin(ctx, request, Key { organisation, key }, body_hash, out);
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
                entry.state = entry.state.without_large_body();
                self.enqueue(ctx, PendingWrite::new(ctx.now, Origin::Peer, entry));
            }
            Message::Write(_) => {}
            Message::Outcome { incarnation, attempt, outcome } => {
                if ctx.incarnation() == Some(incarnation) {
                    self.handle_outcome(ctx, attempt, outcome, out);
                }
            }
        }
    }

    fn reply(&mut self, ctx: &Context<'_>, number: u64, reply: Reply, out: &mut Outbox<'_>) {
        if let Some(shard) = self.shards.values_mut().find(|it| it.is_waiting_for(number)) {
            shard.reply(ctx, reply);
        }
        self.deliver_outcomes(ctx, out);
    }

    fn tick(&mut self, ctx: &Context<'_>, out: &mut Outbox<'_>) -> Time {
        let mut next = self.handle_timeouts(ctx, out);
        for shard in self.shards.values_mut() {
            next = next.min(shard.tick(ctx, out));
        }
        self.deliver_outcomes(ctx, out);
        if self.next_sweep <= ctx.now {
            self.next_sweep = ctx.now + IDLE_TIMEOUT / 2;
            self.drop_idle_shards(ctx);
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
        body_hash: u128,
        out: &mut Outbox<'_>,
    ) {
        let executor = match Executor::of(ctx) {
            Some(it) if key.is_valid() && self.open.len() < MAX_OPEN_REQUESTS => it,
            _ => {
                let outcome = Outcome::unrecorded(DEFAULT_RETRY_AFTER, true);
                out.push(Action::Intent(Output::Began { request, outcome }));
                return;
            }
        };
        self.last_attempt += 1;
        let attempt = self.last_attempt;
        let entry = Entry { key, body_hash, executor, attempt, state: State::Intended };
        let is_direct = self.submit(ctx, &entry, false, out);
        let phase = Phase::Begin { since: ctx.now, is_direct, has_two_writers: false };
        self.open.insert(attempt, OpenRequest { request, entry, phase });
        self.attempt_of.insert(request, attempt);
    }

    fn finish(&mut self, ctx: &Context<'_>, request: Request, state: State, out: &mut Outbox<'_>) {
        let Some(attempt) = self.attempt_of.get(&request) else { return };
        let Some(open) = self.open.get_mut(attempt) else { return };
        if open.phase != Phase::Running {
            return;
        }
        open.entry.state = state.without_large_body();
        let entry = open.entry.clone();
        let is_direct = self.submit(ctx, &entry, false, out);
        if let Some(open) = self.open.get_mut(&entry.attempt) {
            open.phase = Phase::Finish { next: ctx.now + FINISH_RETRY_DELAY, is_direct };
        }
    }

    /// Submits `entry` to its shard's owner, or writes it directly if this instance is the owner or
    /// `is_direct` is set. Returns whether it is written directly.
    fn submit(
        &mut self,
        ctx: &Context<'_>,
        entry: &Entry,
        is_direct: bool,
        out: &mut Outbox<'_>,
    ) -> bool {
        match ctx.view.global_owner(entry.key.hash()) {
            Some(owner) if owner != ctx.me && !is_direct => {
                out.send(owner, Message::Write(entry.clone()), Delivery::Stream);
                false
            }
            _ => {
                self.enqueue(ctx, PendingWrite::new(ctx.now, Origin::Local, entry.clone()));
                true
            }
        }
    }

    fn enqueue(&mut self, ctx: &Context<'_>, write: PendingWrite) {
        let number = write.entry.key.shard();
        let shard = self.shards.entry(number).or_insert_with(|| Shard::new(number, ctx.now));
        shard.enqueue(ctx.now, write);
    }

    /// Bypasses an owner that doesn't respond, and gives up requests that waited too long.
    fn handle_timeouts(&mut self, ctx: &Context<'_>, out: &mut Outbox<'_>) -> Time {
        let mut next = Time::MAX;
        let mut due = Vec::new();
        for (attempt, open) in &mut self.open {
            match &mut open.phase {
                Phase::Begin { since, .. } if *since + RECORD_TIMEOUT <= ctx.now => {
                    due.push((*attempt, None));
                }
                Phase::Begin { since, is_direct: is_direct @ false, has_two_writers }
                    if *since + OWNER_TIMEOUT <= ctx.now =>
                {
                    *is_direct = true;
                    *has_two_writers = true;
                    next = next.min(*since + RECORD_TIMEOUT);
                    due.push((*attempt, Some(true)));
                }
                Phase::Begin { since, is_direct: false, .. } => {
                    next = next.min(*since + OWNER_TIMEOUT)
                }
                Phase::Begin { since, is_direct: true, .. } => {
                    next = next.min(*since + RECORD_TIMEOUT)
                }
                Phase::Finish { next: at, is_direct } if *at <= ctx.now => {
                    *at = ctx.now + FINISH_RETRY_DELAY;
                    next = next.min(*at);
                    *is_direct = !*is_direct;
                    due.push((*attempt, Some(*is_direct)));
                }
                Phase::Finish { next: at, .. } => next = next.min(*at),
                Phase::Running => {}
            }
        }
        due.sort_unstable();
        for (attempt, resubmit) in due {
            let Some(is_direct) = resubmit else {
                self.handle_outcome(
                    ctx,
                    attempt,
                    Outcome::unrecorded(DEFAULT_RETRY_AFTER, false),
                    out,
                );
                continue;
            };
            if let Some(entry) = self.open.get(&attempt).map(|it| it.entry.clone()) {
                self.submit(ctx, &entry, is_direct, out);
            }
        }
        next
    }

    /// Drops unused shards of other owners. The owner keeps its own shards, as a shard's clock
    /// counts only the time that a writer observes.
    fn drop_idle_shards(&mut self, ctx: &Context<'_>) {
        let is_owner = |number| ctx.view.global_owner(entry::owner_hash(number)) == Some(ctx.me);
        self.shards.retain(|number, it| !it.is_idle(ctx.now, IDLE_TIMEOUT) || is_owner(*number));
    }

    /// Delivers the outcomes that the local shards have determined.
    fn deliver_outcomes(&mut self, ctx: &Context<'_>, out: &mut Outbox<'_>) {
        let mut outcomes =
            self.shards.values_mut().flat_map(|it| mem::take(&mut it.outcomes)).collect::<Vec<_>>();
        outcomes.sort_by_key(|(write, _)| write.entry.attempt);
        for (write, outcome) in outcomes {
            let Entry { executor, attempt, .. } = write.entry;
            match write.origin {
                Origin::Local => self.handle_outcome(ctx, attempt, outcome, out),
                Origin::Peer => {
                    let incarnation = executor.incarnation;
                    let message = Message::Outcome { incarnation, attempt, outcome };
                    out.send(&executor.instance, message, Delivery::Stream);
                }
            }
        }
    }

    fn handle_outcome(
        &mut self,
        ctx: &Context<'_>,
        attempt: u64,
        outcome: Outcome,
        out: &mut Outbox<'_>,
    ) {
        let Some(open) = self.open.get_mut(&attempt) else { return };
        let request = open.request;
        match (open.phase, &outcome) {
            (Phase::Begin { .. }, Outcome::Recorded) => {
                open.phase = Phase::Running;
                out.push(Action::Intent(Output::Began { request, outcome }));
            }
            (Phase::Begin { has_two_writers, .. }, Outcome::Unrecorded { is_unwritten, .. })
                if has_two_writers || !is_unwritten =>
            {
                // Guards against an intent that is recorded after its request was refused, by a
                // write whose reply was lost or by the other writer: the key would count as "still
                // running" for an hour, though the caller was told that the request didn't run. The
                // void record is correct as this instance never sends a request that it has
                // refused.
                open.entry.state = State::Void;
                open.phase = Phase::Finish { next: ctx.now + FINISH_RETRY_DELAY, is_direct: true };
                self.attempt_of.remove(&request);
                let entry = open.entry.clone();
                self.submit(ctx, &entry, true, out);
                out.push(Action::Intent(Output::Began { request, outcome }));
            }
            (Phase::Begin { .. }, Outcome::Finished) => {}
            (Phase::Begin { .. }, _) => {
                self.open.remove(&attempt);
                self.attempt_of.remove(&request);
                out.push(Action::Intent(Output::Began { request, outcome }));
            }
            (Phase::Finish { .. }, Outcome::Finished) => {
                self.open.remove(&attempt);
                if self.attempt_of.remove(&request).is_some() {
                    out.push(Action::Intent(Output::Finished { request }));
                }
            }
            // A duplicate or late outcome.
            (Phase::Running | Phase::Finish { .. }, _) => {}
        }
    }
}
