//! The head of an answer to a request.

use crate::{
    adapter::ResponseInfo,
    http::{body::Framing, head::Response},
};

/// Content type of streams of events.
const EVENT_STREAM: &str = "text/event-stream";

/// The head of an answer, as received and as the adapter interprets it.
pub(crate) struct Reply {
    pub(crate) head: Response,
    pub(crate) answer: ResponseInfo,
}

impl Reply {
    pub(crate) fn is_success(&self) -> bool {
        (200..300).contains(&self.head.status)
    }

    /// Whether its framing shows the end of a body that it declares to be no stream of events.
    pub(crate) fn has_framed_other_body(&self) -> bool {
        let content_type = self.head.fields.get("content-type");
        let is_other = content_type.is_some_and(|it| !it.trim().starts_with(EVENT_STREAM));
        is_other && self.head.framing != Framing::UntilClose
    }

    /// Whether it claims success without the server's signature, so that it can't come from the server.
    pub(crate) fn is_unsigned(&self) -> bool {
        self.is_success() && !self.answer.is_signed
    }
}
