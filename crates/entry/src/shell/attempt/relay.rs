//! From a server's answer to the caller.

use std::{io::Read, sync::Arc};

use shallotlead_base::code::Code;
use shallotlead_policy::input::Outcome;

use crate::{
    backend::{
        answer::Answer,
        chunk::{Chunk, DONE},
        event::{Event, Reader},
    },
    shell::{
        attempt::{Context, IDLE_TIMEOUT},
        delivery::{Claim, Closed},
    },
};

/// Bytes of a whole answer that are held back until it is complete, so that a broken one can be
/// tried again. A larger one is passed on as it comes.
const HELD_BYTES: usize = 1 << 20;
/// Bytes read at once from a whole answer.
const READ_BYTES: usize = 64 << 10;
/// Largest answer of a model engine that comes whole, in bytes.
const MAX_WHOLE: usize = 16 << 20;

impl Context {
    /// Passes a stream on, token by token.
    pub(super) fn relay_stream(&self, mut answer: Answer) -> Outcome {
        let body = std::mem::replace(&mut answer.body, Box::new(std::io::empty()));
        let mut reader = Reader::new(body);
        let mut stream = Stream { claim: None, last: self.call.resume_at, finished: false };
        loop {
            let event = match reader.next() {
                Ok(Some(event)) if !self.control.cancelled() => event,
                // Guards against an engine that dies after the last token and before the end
                // marker: resuming would send the finish reason twice. The chunk with the finish
                // reason says that nothing is left to generate, so the answer is whole.
                Ok(_) | Err(_) if stream.finished => return self.finish(stream, &answer),
                Ok(_) | Err(_) => return self.broken(),
            };
            if &*event.data == DONE {
                if stream.claim.is_none() && self.begin(&mut stream, &answer, None).is_err() {
                    return self.broken();
                }
                return self.finish(stream, &answer);
            }
            if let Err(outcome) = self.relay_event(&mut stream, &answer, event) {
                return outcome;
            }
        }
    }

    fn begin(
        &self,
        stream: &mut Stream,
        answer: &Answer,
        cached_tokens: Option<u32>,
    ) -> Result<(), Closed> {
        let claim = self.claim()?;
        self.first_token(cached_tokens);
        self.unhurried(|| claim.head(self.head(answer, cached_tokens)))?;
        stream.claim = Some(claim);
        Ok(())
    }

    fn relay_event(
        &self,
        stream: &mut Stream,
        answer: &Answer,
        event: Event,
    ) -> Result<(), Outcome> {
        let chunk = Chunk::parse(event.data.as_bytes()).ok_or_else(|| self.broken())?;
        if chunk.failed() {
            return Err(self.broken());
        }
        let number = stream.number(&event, &chunk).ok_or_else(|| self.broken())?;
        if stream.claim.is_none() {
            self.begin(stream, answer, chunk.cached_tokens()).map_err(|_| self.broken())?;
        }
        if let Some(claim) = &stream.claim {
            self.unhurried(|| claim.event(number, event.data)).map_err(|_| self.broken())?;
        }
        stream.last = number;
        stream.finished |= chunk.finished();
        Ok(())
    }

    fn finish(&self, stream: Stream, answer: &Answer) -> Outcome {
        self.keep(answer, None);
        let Some(claim) = stream.claim else { return self.broken() };
        match self.unhurried(|| claim.end()) {
            Ok(()) => Outcome::Complete { tokens: stream.last },
            Err(_) => self.broken(),
        }
    }

    /// Passes an answer on that comes whole.
    pub(super) fn relay_whole(&self, mut answer: Answer) -> Outcome {
        let mut body = std::mem::replace(&mut answer.body, Box::new(std::io::empty()));
        let mut held = Vec::new();
        let complete = match self.read(&mut body, &mut held, HELD_BYTES) {
            Ok(complete) => complete,
            Err(outcome) => return outcome,
        };
        if !complete && !self.is_engine() {
            return self.relay_large(&answer, body, held);
        }
        if !complete && !matches!(self.read(&mut body, &mut held, MAX_WHOLE), Ok(true)) {
            return self.broken();
        }
        let chunk = Chunk::parse(&held);
        if self.is_engine() && chunk.is_none() {
            return self.broken();
        }
        let chunk = chunk.unwrap_or_default();
        self.keep(&answer, Some(&held));
        let Ok(claim) = self.claim() else { return self.broken() };
        self.first_token(chunk.cached_tokens());
        let sent = self.unhurried(|| {
            claim.head(self.head(&answer, chunk.cached_tokens()))?;
            claim.body(Arc::from(held))?;
            claim.end()
        });
        match sent {
            // A caller who is gone doesn't change that the request ran to its end.
            Ok(()) | Err(Closed::Gone) => {
                Outcome::Complete { tokens: chunk.completion_tokens().unwrap_or(0) }
            }
            Err(_) => self.broken(),
        }
    }

    /// Passes a large answer on as it comes. It can't be tried again once it began.
    fn relay_large(
        &self,
        answer: &Answer,
        mut body: Box<dyn Read + Send>,
        held: Vec<u8>,
    ) -> Outcome {
        let Ok(claim) = self.claim() else { return self.broken() };
        self.first_token(None);
        let mut sent = self.unhurried(|| {
            claim.head(self.head(answer, None))?;
            claim.body(Arc::from(held))
        });
        while sent.is_ok() {
            let mut piece = Vec::new();
            match self.read(&mut body, &mut piece, READ_BYTES) {
                Ok(complete) => {
                    sent = self.unhurried(|| claim.body(Arc::from(piece)));
                    if complete && sent.is_ok() {
                        self.keep(answer, None);
                        return match claim.end() {
                            Ok(()) => Outcome::Complete { tokens: 0 },
                            Err(_) => self.broken(),
                        };
                    }
                }
                Err(_) => return Outcome::Failed(Code::OutcomeUnknown),
            }
        }
        self.broken()
    }

    /// Reads until `held` has `limit` bytes or the body ends; says whether it ended.
    fn read(
        &self,
        body: &mut Box<dyn Read + Send>,
        held: &mut Vec<u8>,
        limit: usize,
    ) -> Result<bool, Outcome> {
        let mut buf = vec![0; READ_BYTES];
        while held.len() < limit {
            let room = buf.len().min(limit - held.len());
            let count = body.read(&mut buf[..room]).map_err(|_| self.broken())?;
            if self.control.cancelled() {
                // A connection that was shut may look like a body's end.
                return Err(self.broken());
            }
            if count == 0 {
                return Ok(true);
            }
            held.extend_from_slice(&buf[..count]);
            self.control.set_deadline(self.clock.now() + IDLE_TIMEOUT);
        }
        Ok(false)
    }
}

/// How far a stream has come.
#[derive(Debug)]
struct Stream {
    claim: Option<Claim>,
    last: u32,
    finished: bool,
}

impl Stream {
    /// Number of the last token after `event`; `None` when the stream has a gap or a repeat.
    fn number(&self, event: &Event, chunk: &Chunk) -> Option<u32> {
        match event.number {
            // The role at the start and the finish reason at the end carry no token.
            None => Some(self.last),
            Some(it) if it == self.last + 1 && !self.finished => Some(it),
            Some(it) if it == self.last && chunk.finished() && !self.finished => Some(it),
            Some(_) => None,
        }
    }
}
