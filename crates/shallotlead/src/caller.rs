//! A caller as a real one behaves: it asks which address to use and keeps the answer a while, comes
//! back when a refusal says when, repeats only what may be repeated, and resumes broken streams.

pub mod ask;
pub mod directory;
pub mod outcome;

mod sse;
mod wire;

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use shallotlead_base::code::Execution;
use ureq::{Agent, Body, http::Response};

use crate::caller::{
    ask::{Ask, Kind},
    directory::Directory,
    outcome::{End, Outcome, Refusal, Try, TryEnd},
    sse::Event,
    wire::{Chunk, Usage, Whole},
};

/// Longest that a caller stays with one request.
pub const PATIENCE: Duration = Duration::from_secs(60);
/// Most tries of one request that may have reached an instance. Those that reached nobody cost nobody
/// anything, and only patience bounds them.
const MAX_TRIES: usize = 24;
/// Shortest pause between two tries, so that a fast failure is no tight loop.
const PAUSE: Duration = Duration::from_millis(50);
/// Longest pause while nobody is reached. A fleet that is down is asked about once a second by each
/// caller, and a fleet that is back is found as soon.
const MAX_UNREACHED_PAUSE: Duration = Duration::from_secs(1);
/// Longest pause that a refusal can ask for.
const MAX_PAUSE: Duration = Duration::from_secs(5);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// End of a stream.
const DONE: &str = "[DONE]";

/// A caller.
#[derive(Debug)]
pub struct Caller {
    agent: Agent,
    directory: Directory,
    patience: Duration,
    events: Arc<AtomicUsize>,
}

impl Caller {
    /// A caller in `centre` that knows the entry instances `seeds` from its settings.
    pub fn new(centre: &str, seeds: Vec<SocketAddr>) -> Self {
        let agent = agent();
        let directory = Directory::new(agent.clone(), centre, seeds);
        Self { agent, directory, patience: PATIENCE, events: Arc::default() }
    }

    /// A caller that knows one address and asks for no other.
    pub fn fixed(address: SocketAddr) -> Self {
        let directory = Directory::fixed(address);
        Self { agent: agent(), directory, patience: PATIENCE, events: Arc::default() }
    }

    /// The caller, staying with one request for at most `patience`; zero allows one try.
    pub fn with_patience(mut self, patience: Duration) -> Self {
        self.patience = patience;
        self
    }

    /// Events of streams that the caller has received so far, for others to watch.
    pub fn events(&self) -> Arc<AtomicUsize> {
        Arc::clone(&self.events)
    }

    /// Sends a request until it is answered, refused for good, or nothing more can be done.
    pub fn call(&mut self, ask: &Ask) -> Outcome {
        let mut call = Call {
            ask,
            begin: Instant::now(),
            outcome: Outcome::new(),
            last_event: None,
            events: Arc::clone(&self.events),
        };
        let mut avoid = Vec::new();
        while let Some(address) = self.directory.pick(&avoid) {
            let begin = Instant::now();
            let resumed = call.last_event.is_some();
            let end = call.attempt(&self.agent, address);
            let next = call.next(&end);
            if matches!(end, TryEnd::Unreached | TryEnd::Broken) {
                avoid.push(address);
                self.directory.forget();
            }
            if let TryEnd::Refused(_) = end {
                // Another instance may know better, and one that leaves says so.
                self.directory.forget();
                avoid = vec![address];
            }
            let request = call.outcome.request.clone();
            let until = Instant::now();
            call.outcome.tries.push(Try { address, at: begin, until, request, resumed, end });
            match next {
                Next::End(end) => {
                    call.outcome.end = end;
                    break;
                }
                Next::Again(pause) if call.begin.elapsed() + pause <= self.patience => {
                    thread::sleep(pause);
                }
                Next::Again(_) => break,
            }
            if MAX_TRIES <= call.reached() {
                break;
            }
        }
        call.outcome.latency = call.begin.elapsed();
        call.outcome
    }
}

fn agent() -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .timeout_global(Some(PATIENCE))
        // A connection from a pool may be dead already, and a broken call on it could not be told
        // from one that ran.
        .max_idle_connections(0)
        .build();
    config.into()
}

/// One request under way.
struct Call<'a> {
    ask: &'a Ask,
    begin: Instant,
    outcome: Outcome,
    /// Id of the last event received.
    last_event: Option<String>,
    events: Arc<AtomicUsize>,
}

enum Next {
    End(End),
    Again(Duration),
}

impl Call<'_> {
    /// What follows a try.
    fn next(&self, end: &TryEnd) -> Next {
        match end {
            TryEnd::Answered => Next::End(End::Answered),
            TryEnd::Malformed(_) => Next::End(End::Malformed),
            // Nothing was sent, so that anybody may try again.
            TryEnd::Unreached => Next::Again(self.unreached_pause()),
            TryEnd::Broken if self.ask.may_repeat() => Next::Again(PAUSE),
            TryEnd::Broken => Next::End(End::Unknown),
            TryEnd::Refused(refusal) => self.after_refusal(refusal),
        }
    }

    /// Whether a try so far may have run the request.
    fn may_have_run(&self) -> bool {
        self.outcome.tries.iter().any(|it| match &it.end {
            TryEnd::Broken => true,
            TryEnd::Refused(refusal) => refusal.execution != Execution::NotRun,
            TryEnd::Answered | TryEnd::Unreached | TryEnd::Malformed(_) => false,
        })
    }

    /// Tries so far that may have reached an instance.
    fn reached(&self) -> usize {
        self.outcome.tries.iter().filter(|it| !matches!(it.end, TryEnd::Unreached)).count()
    }

    /// The pause after a try that reached nobody, which doubles with each such try before it.
    fn unreached_pause(&self) -> Duration {
        let tries = self.outcome.tries.iter().rev();
        let in_a_row = tries.take_while(|it| matches!(it.end, TryEnd::Unreached)).count();
        let factor = u32::try_from(in_a_row).map_or(u32::MAX, |it| 2_u32.saturating_pow(it));
        PAUSE.saturating_mul(factor).min(MAX_UNREACHED_PAUSE)
    }

    fn after_refusal(&self, refusal: &Refusal) -> Next {
        let pause = refusal.retry_after.map(|it| it.clamp(PAUSE, MAX_PAUSE));
        match (refusal.execution, pause) {
            (Execution::NotRun, Some(pause)) => Next::Again(pause),
            (Execution::NotRun, None) => Next::End(End::Refused),
            (Execution::Unknown | Execution::Ran, pause) if self.ask.may_repeat() => {
                Next::Again(pause.unwrap_or(PAUSE))
            }
            (Execution::Unknown | Execution::Ran, _) => Next::End(End::Unknown),
        }
    }

    fn attempt(&mut self, agent: &Agent, address: SocketAddr) -> TryEnd {
        let response = match self.send(agent, address) {
            Ok(response) => response,
            Err(error) if is_unreached(&error) => return TryEnd::Unreached,
            Err(_) => return TryEnd::Broken,
        };
        if let Some(request) = wire::text(response.headers(), "x-shallotlead-request") {
            self.outcome.request = Some(request.to_owned());
        }
        let is_stream = wire::text(response.headers(), "content-type")
            .is_some_and(|it| it.starts_with("text/event-stream"));
        match response.status().as_u16() {
            200..300 if is_stream => self.read_stream(response.into_body()),
            200..300 => self.read_whole(response),
            _ => wire::read_refusal(response),
        }
    }

    fn send(&self, agent: &Agent, address: SocketAddr) -> Result<Response<Body>, ureq::Error> {
        let url = format!("http://{address}{}", self.ask.path());
        let mut request = agent
            .post(url)
            .header("authorization", format!("Bearer {}", self.ask.key))
            .content_type("application/json");
        if let Some(key) = &self.ask.idempotency_key {
            request = request.header("idempotency-key", key);
            if self.may_have_run() {
                request = request.header("x-repeat", "true");
            }
        }
        if let Some(priority) = self.ask.priority {
            request = request.header("x-priority", priority.to_string());
        }
        if let Some(deadline) = self.ask.deadline {
            request = request.header("x-deadline-ms", deadline.as_millis().to_string());
        }
        if let Some(id) = &self.last_event {
            request = request.header("last-event-id", id);
        }
        request.send(self.ask.body.as_bytes())
    }

    fn read_stream(&mut self, body: Body) -> TryEnd {
        let mut lines = BufReader::new(body.into_reader()).lines();
        let mut events = sse::Parser::default();
        loop {
            let Some(Ok(line)) = lines.next() else { return TryEnd::Broken };
            let Some(event) = events.take(&line) else { continue };
            if event.data == DONE {
                return TryEnd::Answered;
            }
            if event.kind == "error" {
                return wire::parse_refusal(&event.data, None);
            }
            if let Err(reason) = self.take_event(event) {
                return TryEnd::Malformed(reason);
            }
        }
    }

    fn take_event(&mut self, event: Event) -> Result<(), String> {
        let chunk: Chunk =
            serde_json::from_str(&event.data).map_err(|it| format!("chunk: {it}"))?;
        let number = sse::token_number(&event.id).ok_or(format!("event id {}", event.id))?;
        let expected = self.outcome.tokens.len() + 1;
        if number as usize != expected {
            return Err(format!("token {number} came where {expected} was due"));
        }
        let choice = chunk.choices.into_iter().next().ok_or("no choice")?;
        let token = choice.delta.map_or(choice.text, |it| it.content).ok_or("no text")?;
        self.take_usage(chunk.usage);
        self.outcome.first_token.get_or_insert_with(|| self.begin.elapsed());
        self.outcome.tokens.push(token);
        self.last_event = Some(event.id);
        self.events.fetch_add(1, Ordering::SeqCst);
        Ok(())
    }

    fn take_usage(&mut self, usage: Option<Usage>) {
        // The first usage tells what the first attempt found cached.
        if let (None, Some(usage)) = (self.outcome.usage, usage) {
            self.outcome.usage = Some(outcome::Usage {
                prompt_tokens: usage.prompt_tokens,
                cached_tokens: usage.prompt_tokens_details.map_or(0, |it| it.cached_tokens),
            });
        }
    }

    fn read_whole(&mut self, response: Response<Body>) -> TryEnd {
        let Ok(body) = response.into_body().read_to_vec() else { return TryEnd::Broken };
        self.outcome.first_token.get_or_insert_with(|| self.begin.elapsed());
        if let Kind::Service { .. } = self.ask.kind {
            self.outcome.body = body;
            return TryEnd::Answered;
        }
        let Ok(whole) = serde_json::from_slice::<Whole>(&body) else {
            return TryEnd::Malformed("not an answer".to_owned());
        };
        let Some(choice) = whole.choices.into_iter().next() else {
            return TryEnd::Malformed("no choice".to_owned());
        };
        self.take_usage(whole.usage);
        let text = choice.message.map_or(choice.text, |it| it.content);
        self.outcome.tokens.extend(text);
        TryEnd::Answered
    }
}

/// Whether the request certainly never left.
fn is_unreached(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => true,
        ureq::Error::Timeout(it) => matches!(it, ureq::Timeout::Connect),
        ureq::Error::Io(it) => it.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}
