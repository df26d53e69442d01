//! Answers that reach the caller piece by piece.

use std::{
    sync::Arc,
    task::{Context, Poll},
};

use hyper::body::{Bytes, Frame};
use shallotlead_base::code::Code;
use thiserror::Error;

use crate::{
    caller::{failure::Failure, work::Work},
    cursor::{Cursor, Scope, Signer},
    exchange::Piece,
};

/// The answer broke off. The connection ends without the body's end, so that the caller sees it.
#[derive(Debug, Error)]
#[error("the answer broke off: {}", .0.message)]
pub(crate) struct Cut(Failure);

/// How pieces turn into bytes.
#[derive(Debug)]
pub(crate) enum Form {
    /// Server-sent events with signed ids.
    Events {
        /// Signs the ids.
        signer: Arc<Signer>,
        /// What the ids are bound to.
        scope: Scope,
    },
    /// Bytes as they come.
    Plain,
}

/// An answer's body that comes piece by piece. Nothing is read ahead: while the caller doesn't
/// read, pieces wait in the exchange's bounded channel.
#[derive(Debug)]
pub(crate) struct Stream {
    work: Work,
    form: Form,
    /// Pieces that came before the stream was started.
    first: Option<Bytes>,
    done: bool,
}

impl Stream {
    pub(crate) fn new(work: Work, form: Form, first: Option<Bytes>) -> Self {
        Self { work, form, first, done: false }
    }

    pub(crate) fn poll_frame(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        if self.done {
            return Poll::Ready(None);
        }
        let Poll::Ready(piece) = self.work.poll_next(cx) else {
            return Poll::Pending;
        };
        match piece {
            Some(Piece::Event { number, data }) => self.event(number, &data),
            Some(Piece::Body(bytes)) => data(Bytes::copy_from_slice(&bytes)),
            Some(Piece::End) => self.end(),
            Some(Piece::Refused(refusal)) => self.fail(refusal.into()),
            // A second head would cross two answers.
            Some(Piece::Head(_)) | None => self.fail(Code::OutcomeUnknown.into()),
        }
    }

    fn event(&mut self, number: u32, text: &str) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        let Form::Events { signer, scope } = &self.form else {
            return self.fail(Code::OutcomeUnknown.into());
        };
        let id = signer.sign(Cursor { request: self.work.request(), number }, scope);
        let mut event = format!("id: {id}\n");
        push_data(&mut event, text);
        data(Bytes::from(event))
    }

    fn end(&mut self) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        self.done = true;
        match self.form {
            Form::Events { .. } => data(Bytes::from_static(b"data: [DONE]\n\n")),
            Form::Plain => Poll::Ready(None),
        }
    }

    fn fail(&mut self, failure: Failure) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        self.done = true;
        let failure = failure.after_start();
        match self.form {
            Form::Events { .. } => {
                let mut event = "event: error\n".to_owned();
                push_data(&mut event, &failure.json(self.work.request()));
                data(Bytes::from(event))
            }
            Form::Plain => Poll::Ready(Some(Err(Cut(failure)))),
        }
    }
}

fn data(bytes: Bytes) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
    Poll::Ready(Some(Ok(Frame::data(bytes))))
}

fn push_data(event: &mut String, text: &str) {
    // A line break would end the field: each line becomes a field of its own, as the format has it.
    for line in text.split(['\n', '\r']) {
        event.push_str("data: ");
        event.push_str(line);
        event.push('\n');
    }
    event.push('\n');
}
