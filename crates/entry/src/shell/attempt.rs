//! The life of one attempt: [`Ready`], then [`Answered`], then [`Matched`], then its outcome.
//!
//! The types hold the rule that decides whether a request may be sent again: only a [`Ready`]
//! attempt can end as not run on our own word; once it was sent, only the server's word counts.

mod relay;

use std::{
    sync::{Arc, OnceLock},
    time::Duration,
};

use shallotlead_base::{
    code::Code,
    id::{Attempt as Id, Incarnation, Weights},
    name,
    time::Time,
};
use shallotlead_fleet::intent::{MAX_RESPONSE_BYTES, entry::StoredResponse};
use shallotlead_policy::input::{Input, Outcome, State};

use crate::{
    backend::{Backend, answer::Answer, call::Call, control::Control, failure::Failure},
    exchange::{Exchange, Head, Operation},
    shell::{
        clock::Clock,
        delivery::{Claim, Closed, Delivery},
        inbox::Inbox,
        submission,
    },
};

/// Longest silence within a started answer.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time allowed for each token of an answer that comes whole.
const TOKEN_TIME: Duration = Duration::from_millis(250);

/// What every state of an attempt carries.
#[derive(Debug)]
pub(crate) struct Context {
    /// The server.
    pub(crate) server: name::Server,
    /// What is sent.
    pub(crate) call: Call,
    /// What the caller asks.
    pub(crate) exchange: Arc<Exchange>,
    /// The weights that the engine was last found to have, where others were meant.
    pub(crate) loaded: Option<Weights>,
    /// The attempt has failed if no first token has come by then.
    pub(crate) first_token_timeout: Duration,
    /// Ends the attempt from outside.
    pub(crate) control: Arc<Control>,
    /// Where the answer goes.
    pub(crate) delivery: Arc<Delivery>,
    /// The server's adapter.
    pub(crate) backend: Arc<dyn Backend>,
    /// The router.
    pub(crate) inbox: Inbox,
    /// The clock.
    pub(crate) clock: Clock,
    /// The whole answer, as kept for repeats.
    pub(crate) kept: Arc<OnceLock<StoredResponse>>,
}

/// An attempt in state `S`.
#[derive(Debug)]
pub(crate) struct Attempt<S> {
    context: Context,
    state: S,
}

/// Nothing was sent.
#[derive(Debug)]
pub(crate) struct Ready;

/// The server sent an answer's head.
#[derive(Debug)]
pub(crate) struct Answered {
    answer: Answer,
}

/// The answer belongs to this attempt.
#[derive(Debug)]
pub(crate) struct Matched {
    answer: Answer,
}

impl Attempt<Ready> {
    /// An attempt that is ready to be sent.
    pub(crate) fn new(context: Context) -> Self {
        Self { context, state: Ready }
    }

    /// Runs the attempt to its end.
    pub(crate) fn run(self) -> Outcome {
        match self.send().and_then(Attempt::matched).map(Attempt::relay) {
            Ok(outcome) | Err(outcome) => outcome,
        }
    }

    fn send(self) -> Result<Attempt<Answered>, Outcome> {
        let mut context = self.context;
        if let Some(weights) = context.loaded {
            context.salt(weights);
        }
        let answered = Attempt::send_once(context)?;
        match answered.other_weights() {
            None => Ok(answered),
            Some(weights) => {
                let mut context = answered.context;
                context.inbox.loaded(&context.server, weights);
                context.salt(weights);
                Attempt::send_once(context)
            }
        }
    }

    fn send_once(context: Context) -> Result<Attempt<Answered>, Outcome> {
        context.control.set_deadline(context.clock.now() + context.head_timeout());
        match context.backend.attempt(&context.call, &context.control) {
            Ok(answer) => Ok(Attempt { context, state: Answered { answer } }),
            Err(Failure::Unreachable) => {
                if !context.control.cancelled() {
                    context.tell_state(State::Down);
                }
                Err(Outcome::NotRun(Code::ServerUnreachable))
            }
            Err(Failure::Malformed) => Err(Outcome::NotRun(Code::RequestMalformed)),
            Err(Failure::Lost | Failure::Refused(_)) => Err(context.broken()),
        }
    }
}

impl Attempt<Answered> {
    /// The weights that the engine has loaded, when it refused for that reason.
    fn other_weights(&self) -> Option<Weights> {
        let answer = &self.state.answer;
        let own = answer.not_run && self.context.is_own(answer);
        answer.weights.filter(|it| own && self.context.call.weights != Some(*it))
    }

    /// Checks that the answer is this attempt's.
    fn matched(self) -> Result<Attempt<Matched>, Outcome> {
        let Self { context, state: Answered { answer } } = self;
        // Guards against crossed answers: a server or something before it answers with another
        // request's text, and a caller would read a stranger's answer. The attempt's id is unique
        // over all instances and must come back; nothing else is passed on.
        if !context.is_own(&answer) {
            log::warn!(
                "dropped a crossed answer: attempt={} server={} answers={}",
                context.call.attempt,
                context.server,
                answer.attempt.as_deref().unwrap_or("none"),
            );
            metrics::counter!("shallotlead_answers_crossed_total").increment(1);
            return Err(context.broken());
        }
        context.note_incarnation(answer.incarnation);
        if answer.not_run {
            return Err(Outcome::NotRun(Code::ServerRefused));
        }
        if context.is_engine() && context.is_fault(&answer) {
            return Err(context.broken());
        }
        Ok(Attempt { context, state: Matched { answer } })
    }
}

impl Attempt<Matched> {
    fn relay(self) -> Outcome {
        let Self { context, state: Matched { answer } } = self;
        let stream = answer.content_type.starts_with("text/event-stream");
        if stream && context.is_engine() {
            context.relay_stream(answer)
        } else {
            context.relay_whole(answer)
        }
    }
}

impl Context {
    /// Salts the prompt's blocks by the weights that the engine has loaded.
    ///
    /// Guards against cache entries of other weights: while new weights are rolled out, an engine
    /// that still has the old ones would cache its blocks under the new ones' hashes, and the KV
    /// store would carry them to engines with the new ones. It shows as text that no weights would
    /// generate. The engine refuses what was salted by other weights than it has loaded.
    fn salt(&mut self, weights: Weights) {
        if self.call.weights.is_some_and(|it| it != weights) {
            self.call.chain = submission::chain(&self.exchange, weights);
            self.call.weights = Some(weights);
            self.call.import = None;
        }
    }

    fn is_engine(&self) -> bool {
        !matches!(self.call.operation, Operation::Service { .. })
    }

    fn is_own(&self, answer: &Answer) -> bool {
        match &answer.attempt {
            Some(it) => **it == *self.call.attempt.to_string(),
            // Plain services need not know about attempts.
            None => !self.is_engine(),
        }
    }

    /// Whether an engine's answer says that the engine, not the request, is at fault.
    fn is_fault(&self, answer: &Answer) -> bool {
        500 <= answer.status || answer.status == 409 || answer.status == 429
    }

    /// An answer that streams begins with its first token; one that comes whole takes the time of
    /// all its tokens.
    fn head_timeout(&self) -> Duration {
        match self.call.operation {
            Operation::Chat { stream: false } | Operation::Completion { stream: false } => {
                self.first_token_timeout + TOKEN_TIME.saturating_mul(self.exchange.max_tokens)
            }
            _ => self.first_token_timeout,
        }
    }

    fn broken(&self) -> Outcome {
        Outcome::Broken { delivered: self.delivery.delivered() }
    }

    fn tell_state(&self, state: State) {
        self.inbox.found(&self.server, state, self.clock.now());
    }

    /// Tells the router of a life of the server that it didn't mean.
    fn note_incarnation(&self, answered: Option<Incarnation>) {
        if let (Some(meant), Some(lives)) = (self.call.incarnation, answered)
            && meant != lives
        {
            self.tell_state(State::Up(lives));
        }
    }

    fn claim(&self) -> Result<Claim, Closed> {
        self.delivery.claim(self.call.attempt, self.call.resume_at)
    }

    /// Runs `deliver`, which may block on a slow caller, outside of the server's time bounds.
    fn unhurried<T>(&self, deliver: impl FnOnce() -> T) -> T {
        self.control.set_deadline(Time::MAX);
        let res = deliver();
        self.control.set_deadline(self.clock.now() + IDLE_TIMEOUT);
        res
    }

    fn head(&self, answer: &Answer, cached_tokens: Option<u32>) -> Head {
        Head {
            status: answer.status,
            content_type: answer.content_type.clone(),
            attempt: self.call.attempt,
            server: self.server.clone(),
            cached_tokens,
        }
    }

    /// Keeps the answer for repeats of the request. A stream is not kept, only that it ran.
    fn keep(&self, answer: &Answer, body: Option<&[u8]>) {
        let body = body.filter(|it| it.len() <= MAX_RESPONSE_BYTES).map(Arc::from);
        let content_type = answer.content_type.clone();
        // Set once: an attempt has one answer.
        let _ = self.kept.set(StoredResponse { status: answer.status, content_type, body });
    }

    fn first_token(&self, cached_tokens: Option<u32>) {
        let attempt: Id = self.call.attempt;
        self.inbox.input(Input::FirstToken { attempt, cached_tokens });
    }
}
