//! One attempt of a caller.

use std::{net::SocketAddr, time::Duration};

use shallotlead_base::time::Time;
use shallotlead_gateway::http::{body::Framing, head::Response, write};

use crate::{
    backend,
    caller::{SILENCE_MARGIN, traffic::Request},
    format::{self, names},
    ledger::{End, Kind},
    scenario::MODEL,
};

/// Longest head of an answer.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// How long callers wait.
const STREAM_DEADLINE: Duration = Duration::from_secs(15);
const DEADLINE: Duration = Duration::from_secs(4);

/// An attempt whose answer is awaited.
pub(super) struct Flight {
    pub(super) request: Request,
    pub(super) id: Box<str>,
    pub(super) instance: SocketAddr,
    pub(super) sent: Time,
    pub(super) first_event: Option<Duration>,
    /// When bytes came last.
    heard: Time,
    /// The head of the answer, and what is left of its body.
    head: Option<(Response, Framing)>,
    /// Bytes of the body that weren't checked yet.
    body: Vec<u8>,
}

/// How far the answer has come.
pub(super) enum Progress {
    /// More is to come.
    Partial,
    /// It is whole.
    Whole(End),
    /// It breaks a promise.
    Violation(&'static str, String),
}

impl Flight {
    pub(super) fn new(request: Request, attempt: u64, instance: SocketAddr, now: Time) -> Self {
        let id = format!("{}-{}-{attempt}", request.kind.route(), request.number).into();
        Self {
            request,
            id,
            instance,
            sent: now,
            first_event: None,
            heard: now,
            head: None,
            body: Vec::new(),
        }
    }

    fn deadline(&self) -> Duration {
        match self.request.kind.is_stream() {
            true => STREAM_DEADLINE,
            false => DEADLINE,
        }
    }

    /// Whether it is a stream that has begun and whose deadline isn't over.
    pub(super) fn is_running(&self, now: Time) -> bool {
        self.request.kind.is_stream()
            && self.first_event.is_some()
            && now < self.sent + self.deadline()
    }

    /// When it counts as unanswered.
    pub(super) fn gives_up_at(&self) -> Time {
        self.sent + self.deadline() + SILENCE_MARGIN
    }

    /// When its caller leaves if nothing comes for `patience`.
    pub(super) fn leaves_at(&self, patience: Duration) -> Option<Time> {
        self.request.kind.is_stream().then_some(self.heard + patience)
    }

    pub(super) fn to_bytes(&self) -> Vec<u8> {
        let Request { kind, number, parts, events, received, first_id, .. } = &self.request;
        let mut out = Vec::new();
        write::request_line(&mut out, "POST", &format!("/{}/{number}", kind.route()));
        write::field(&mut out, "Host", names::HOST.as_bytes());
        write::field(&mut out, names::REQUEST, self.id.as_bytes());
        write::number_field(&mut out, names::DEADLINE, self.deadline().as_millis() as u64);
        if kind.is_stream() {
            write::field(&mut out, names::MODEL, MODEL.as_bytes());
            write::field(&mut out, names::PARTS, format::write_parts(parts).as_bytes());
            write::number_field(&mut out, names::EVENTS, *events);
        }
        if let Some(first_id) = first_id {
            write::number_field(&mut out, names::LAST_EVENT, *received);
            write::field(&mut out, names::RESUMES, first_id.as_bytes());
        }
        write::end_head(&mut out);
        out
    }

    /// Takes what has arrived.
    pub(super) fn read(&mut self, now: Time, input: &mut Vec<u8>) -> Progress {
        self.heard = now;
        if self.head.is_none() {
            match Response::decode(input, MAX_HEAD_BYTES, false) {
                Ok(None) => return Progress::Partial,
                Ok(Some(head)) => {
                    let framing = head.framing;
                    self.head = Some((head, framing));
                }
                Err(err) => return self.violation("answers are well-formed", &err.to_string()),
            }
        }
        let Some((head, framing)) = &mut self.head else { return Progress::Partial };
        let status = head.status;
        let is_whole = match framing.decode(input, &mut self.body) {
            Ok(it) => it,
            Err(err) => return self.violation("answers are well-formed", &err.to_string()),
        };
        if status == 200
            && self.request.kind.is_stream()
            && let Err(seen) = self.take_events(now)
        {
            return self.violation("streams arrive in order", &seen);
        }
        match is_whole {
            true => self.finish(status, input),
            false => Progress::Partial,
        }
    }

    fn violation(&self, promise: &'static str, seen: &str) -> Progress {
        Progress::Violation(promise, format!("{}: {seen}", self.id))
    }

    /// Takes the complete events of the body. Each must be the next one of the request's stream.
    fn take_events(&mut self, now: Time) -> Result<(), String> {
        while !self.body.is_empty() {
            let number = self.request.received + 1;
            let expected = backend::event_text(self.key(), number).into_bytes();
            let len = expected.len().min(self.body.len());
            if self.body[..len] != expected[..len] {
                let found = String::from_utf8_lossy(&self.body).into_owned();
                return Err(format!("event {number} expected, {found:?} received"));
            }
            if len < expected.len() {
                return Ok(());
            }
            self.body.drain(..len);
            self.request.received = number;
            self.request.first_id.get_or_insert_with(|| self.id.clone());
            self.first_event.get_or_insert(now.since(self.sent));
        }
        Ok(())
    }

    /// Checks a whole answer.
    fn finish(&mut self, status: u16, input: &[u8]) -> Progress {
        if !input.is_empty() {
            return self.violation("a request is answered once", "bytes after the answer");
        }
        let Request { kind, events, received, .. } = self.request;
        match status {
            200 if kind.is_stream() && received == events && self.body.is_empty() => {
                Progress::Whole(End::Answered)
            }
            200 if kind.is_stream() => {
                let seen = format!("{received} of {events} events in an answer framed as whole");
                self.violation("answers are whole", &seen)
            }
            200 if self.body == backend::body_text(self.key()).as_bytes() => {
                Progress::Whole(End::Answered)
            }
            200 => {
                let seen = String::from_utf8_lossy(&self.body).into_owned();
                self.violation("callers receive the answers to their own requests", &seen)
            }
            503 => Progress::Whole(End::Refused(status)),
            _ => Progress::Whole(End::Failed(status)),
        }
    }

    fn key(&self) -> (Kind, u64) {
        (self.request.kind, self.request.number)
    }

    /// Whether the connection stays open after the answer.
    pub(super) fn keeps_connection(&self) -> bool {
        self.head.as_ref().is_some_and(|it| !it.0.closes_connection)
    }

    /// After which time the caller is to return.
    pub(super) fn retry_after(&self) -> Option<Duration> {
        let text = self.head.as_ref()?.0.fields.get("retry-after")?;
        Duration::try_from_secs_f64(text.parse().ok()?).ok()
    }

    pub(super) fn into_request(self) -> Request {
        self.request
    }
}
