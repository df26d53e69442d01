//! Requests to the model: from an HTTP call to a job and its answer.

use std::sync::{Arc, atomic::Ordering};

use hyper::StatusCode;
use tokio::sync::{mpsc, oneshot};

use crate::{
    engine::{
        Cross, Cut, Engine, Phase,
        answer::Stream,
        batch::Job,
        cache::Origin,
        text::{Ask, Endpoint},
    },
    http::{self, Reply, Request},
};

/// Tokens that may wait for a slow reader.
const BUFFERED: usize = 32;

impl Engine {
    /// Exchanges the answers of two requests when that was asked for.
    pub(crate) async fn cross(&self, answer: impl Future<Output = Reply>) -> Reply {
        let cross = http::lock(&self.cross).take();
        let crossed = match cross {
            None => None,
            Some(Cross::Armed) => {
                let (give, other) = oneshot::channel();
                let (own, take) = oneshot::channel();
                *http::lock(&self.cross) = Some(Cross::First { give, take });
                Some((own, other))
            }
            Some(Cross::First { give, take }) => Some((give, take)),
        };
        let Some((own, other)) = crossed else { return answer.await };
        let _ = own.send(answer.await);
        other.await.unwrap_or(Reply::Cut)
    }

    /// Answers a call, refusals included, in the name of its attempt.
    pub(crate) async fn generate(self: &Arc<Self>, request: &Request, endpoint: Endpoint) -> Reply {
        let reply = self.generate_unnamed(request, endpoint).await;
        match request.header("x-attempt") {
            Some(attempt) if !attempt.is_empty() => reply.with("x-attempt", attempt),
            _ => reply,
        }
    }

    async fn generate_unnamed(self: &Arc<Self>, request: &Request, endpoint: Endpoint) -> Reply {
        let ask: Ask = match request.json() {
            Ok(ask) => ask,
            Err(reply) => return reply.with("x-not-run", 1),
        };
        if let Some(reply) = self.refusal(request, &ask) {
            return reply;
        }
        let Some(prompt) = ask.prompt(endpoint) else {
            return Reply::not_run(StatusCode::BAD_REQUEST, "there is no prompt");
        };
        let Some(chain) = parse_blocks(request.header("x-blocks").unwrap_or_default()) else {
            return Reply::not_run(StatusCode::BAD_REQUEST, "x-blocks is not valid");
        };
        let cut = http::lock(&self.cuts).pop_front();
        if cut == Some(Cut::BeforeRun) {
            return Reply::Cut;
        }
        let resume_at = request.number("x-resume-at").filter(|_| ask.stream).unwrap_or(0);
        let stream = Stream {
            endpoint,
            model: ask.model.clone(),
            prompt,
            prompt_tokens: number_or(request.number("x-prompt-tokens"), prompt.tokens),
            resume_at: number_or(Some(resume_at), 0),
            cut,
        };
        let attempt: Arc<str> = Arc::from(request.header("x-attempt").unwrap_or_default());
        if prompt.answer <= stream.resume_at {
            return Stream::reply_done();
        }
        let origin = self.origin(&ask.user);
        self.import(request, &chain, &origin).await;
        let (out, tokens) = mpsc::channel(BUFFERED);
        let job = Job {
            attempt: Arc::clone(&attempt),
            priority: u8::try_from(request.number("x-priority").unwrap_or(5).min(9)).unwrap_or(9),
            chain,
            prompt_tokens: stream.prompt_tokens,
            answer: prompt.answer,
            done: stream.resume_at,
            origin,
            out,
        };
        if !http::lock(&self.state).batch.submit(job, &self.settings) {
            return Reply::not_run(StatusCode::PAYLOAD_TOO_LARGE, "the prompt does not fit");
        }
        self.work.notify_one();
        stream.reply(tokens, ask.stream).await
    }

    /// Why nothing runs, if so.
    fn refusal(&self, request: &Request, ask: &Ask) -> Option<Reply> {
        let incarnation = self.incarnation.load(Ordering::SeqCst);
        if request.number("x-incarnation").is_some_and(|it| it != incarnation) {
            return Some(Reply::not_run(StatusCode::CONFLICT, "another incarnation was meant"));
        }
        let refused = self
            .refuse
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |it| it.checked_sub(1))
            .is_ok();
        let state = http::lock(&self.state);
        if request.number("x-weights").is_some_and(|it| it != state.weights) {
            let reply = Reply::not_run(StatusCode::CONFLICT, "other weights were meant");
            return Some(reply.with("x-weights", state.weights));
        }
        if refused || state.phase == Phase::Loading {
            let reply = Reply::not_run(StatusCode::SERVICE_UNAVAILABLE, "not ready");
            return Some(reply.with("retry-after", 1));
        }
        if ask.model != state.model && !state.adapters.contains(&ask.model) {
            return Some(Reply::not_run(StatusCode::NOT_FOUND, "the model is not loaded"));
        }
        if ask.n.is_some_and(|it| it != 1) {
            return Some(Reply::not_run(StatusCode::BAD_REQUEST, "only one choice is supported"));
        }
        None
    }

    fn origin(&self, user: &str) -> Origin {
        let state = http::lock(&self.state);
        Origin(Arc::from(format!("{user}@{}/{}", state.model, state.weights)))
    }
}

fn parse_blocks(text: &str) -> Option<Vec<u64>> {
    let blocks = text.split(',').filter(|it| !it.is_empty());
    blocks.map(|it| u64::from_str_radix(it.trim(), 16).ok()).collect()
}

fn number_or(number: Option<u64>, default: u32) -> u32 {
    number.map_or(default, |it| u32::try_from(it).unwrap_or(u32::MAX))
}
