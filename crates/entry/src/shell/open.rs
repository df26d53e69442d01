//! Requests that are not done.

use std::{sync::Arc, time::Duration};

use shallotlead_base::{
    hash,
    id::{Block, Weights},
    time::Time,
};
use shallotlead_fleet::{
    directory::{self, path::Path},
    intent::{
        self,
        entry::{State, StoredResponse},
    },
};
use shallotlead_policy::{
    action::Dispatch,
    chain::Chain,
    input::ANCHORS,
    request::{Arrival, Hint, Repeat},
};
use shallotlead_table::server::Server;

use crate::{
    backend::call::Call,
    exchange::{Exchange, Operation},
    shell::{delivery::Delivery, shared::Counted, stage::Stage, submission::Submission},
};

/// Fewest blocks of a prompt for which its prefix's home is asked: 256 tokens.
const WORTH_ASKING: usize = 4;

/// One request that is not done.
#[derive(Debug)]
pub(crate) struct Open {
    exchange: Arc<Exchange>,
    chain: Chain,
    weights: Option<Weights>,
    path: Path,
    delivery: Arc<Delivery>,
    since: Time,
    stage: Stage,
    /// Its idempotency key is recorded, and the result must be.
    recorded: bool,
    /// Nobody waits for the answer any more.
    abandoned: bool,
    sent: bool,
    may_have_run: bool,
    began: bool,
    _counted: Option<Counted>,
}

impl Open {
    /// A request that begins `now`.
    pub(crate) fn new(submission: Submission, now: Time) -> Self {
        let Submission { exchange, chain, weights, counted } = submission;
        let path = Path::new(&chain.blocks);
        let delivery = Arc::new(Delivery::new(exchange.pieces.clone(), exchange.resume_at));
        Self {
            exchange: Arc::new(exchange),
            chain,
            weights,
            path,
            delivery,
            since: now,
            stage: Stage::Recording,
            recorded: false,
            abandoned: false,
            sent: false,
            may_have_run: false,
            began: false,
            _counted: counted,
        }
    }

    /// What is to be recorded before the request may be sent, when it has an idempotency key.
    pub(crate) fn intent(&self) -> Option<intent::Input> {
        let key = self.exchange.idempotency_key.clone()?;
        Some(intent::Input::Begin {
            request: self.exchange.id,
            organisation: self.exchange.organisation.clone(),
            key,
            body_hash: self.fingerprint(),
        })
    }

    /// Tells one call from another under the same idempotency key.
    fn fingerprint(&self) -> u128 {
        let it = &self.exchange;
        let call = format!("{} {:?}", it.model, it.operation);
        let call = hash::stable(call.as_bytes());
        let halves = [call, call.wrapping_add(1)].map(|seed| hash::seeded(&it.body, seed));
        u128::from(halves[0]) << 64 | u128::from(halves[1])
    }

    /// What to ask of the home of the prompt's prefix. A short prompt is computed sooner than an
    /// answer comes.
    pub(crate) fn question(&mut self) -> Option<directory::Input> {
        if self.chain.blocks.len() < WORTH_ASKING {
            return None;
        }
        self.stage = Stage::Asking;
        Some(directory::Input::Lookup { request: self.exchange.id, path: self.path.clone() })
    }

    /// What the home should know of an attempt that is sent.
    pub(crate) fn placement(&self, dispatch: &Dispatch) -> Option<directory::Input> {
        let worth = WORTH_ASKING <= self.chain.blocks.len();
        worth.then(|| directory::Input::Placed {
            path: self.path.clone(),
            server: dispatch.server.clone(),
            incarnation: dispatch.incarnation,
        })
    }

    /// Some blocks that stand for the prompt.
    pub(crate) fn anchors(&self) -> Vec<Block> {
        self.chain.anchors(ANCHORS)
    }

    /// What the router needs to know at `now`.
    pub(crate) fn arrive(&mut self, now: Time, hints: Vec<directory::Hint>) -> Arrival {
        self.stage = Stage::Arrived;
        let it = &self.exchange;
        let waited = now.since(self.since);
        Arrival {
            id: it.id,
            organisation: it.organisation.clone(),
            model: it.model.clone(),
            chain: self.chain.clone(),
            max_tokens: it.max_tokens,
            priority: it.priority,
            deadline: it.deadline.map(|it| it.saturating_sub(waited)),
            repeat: it.repeat,
            hints: hints.into_iter().map(hint).collect(),
        }
    }

    /// How far it has come.
    pub(crate) fn stage(&self) -> Stage {
        self.stage
    }

    /// Notes that the idempotency key is recorded.
    pub(crate) fn recorded(&mut self) {
        self.recorded = true;
    }

    /// Notes that the caller went away. Says whether the request goes on without it: one that may
    /// run once only and may run now is left to its end, so that its result is known to a repeat.
    pub(crate) fn abandon(&mut self) -> bool {
        self.abandoned = true;
        self.stage == Stage::Recording || (self.exchange.repeat == Repeat::Once && self.sent)
    }

    /// Whether the caller went away.
    pub(crate) fn abandoned(&self) -> bool {
        self.abandoned
    }

    /// The end of the request, to be recorded if its key was. `kept` is its whole answer.
    pub(crate) fn settlement(&self, kept: Option<StoredResponse>) -> Option<intent::Input> {
        let state = match kept {
            Some(kept) => State::Done(kept),
            None if self.sent || self.may_have_run => State::Unknown,
            None => State::Void,
        };
        self.recorded.then_some(intent::Input::Finish { request: self.exchange.id, state })
    }

    /// Notes that the first token came. Gives the time since arrival, once.
    pub(crate) fn first_token(&mut self, now: Time) -> Option<Duration> {
        let first = !std::mem::replace(&mut self.began, true);
        first.then(|| now.since(self.since))
    }

    /// Tokens of the prompt.
    pub(crate) fn prompt_tokens(&self) -> u32 {
        self.chain.tokens
    }

    /// Where the answer goes.
    pub(crate) fn delivery(&self) -> &Arc<Delivery> {
        &self.delivery
    }

    /// What the caller asks.
    pub(crate) fn exchange(&self) -> &Arc<Exchange> {
        &self.exchange
    }

    /// Whether another attempt may be sent.
    ///
    /// Guards against a request that runs twice although it must not: an operator would see two
    /// crews at one fault. Whatever asks for an attempt, a request that may run once only is not
    /// sent while an attempt is out, nor after one that may have run.
    pub(crate) fn may_send(&self) -> bool {
        match self.exchange.repeat {
            Repeat::Idempotent => true,
            Repeat::Once => !self.sent && !self.may_have_run,
        }
    }

    /// Notes that an attempt goes out.
    pub(crate) fn sent(&mut self) {
        self.sent = true;
    }

    /// Notes that an attempt ended without running.
    pub(crate) fn not_run(&mut self) {
        self.sent = false;
    }

    /// Notes that an attempt ended and may have run.
    pub(crate) fn may_have_run(&mut self) {
        self.may_have_run = true;
    }

    /// The call of an attempt.
    pub(crate) fn call(&self, dispatch: &Dispatch, server: &Server) -> Call {
        let engine = !matches!(self.exchange.operation, Operation::Service { .. });
        Call {
            attempt: dispatch.attempt,
            address: server.address,
            incarnation: engine.then_some(dispatch.incarnation),
            operation: self.exchange.operation.clone(),
            body: self.exchange.body.clone(),
            chain: self.chain.clone(),
            weights: self.weights,
            priority: dispatch.priority,
            resume_at: self.delivery.delivered(),
            import: dispatch.import,
        }
    }
}

fn hint(it: directory::Hint) -> Hint {
    Hint {
        server: it.server,
        incarnation: it.incarnation,
        blocks: it.blocks,
        confidence: it.confidence,
        age: Duration::from_millis(it.age_ms.into()),
    }
}
