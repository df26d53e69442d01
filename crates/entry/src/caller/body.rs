//! Bodies of answers.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use hyper::body::{Bytes, Frame, SizeHint};

use crate::caller::stream::{Cut, Stream};

/// An answer's body.
#[derive(Debug)]
pub(crate) enum Body {
    /// Known as a whole.
    Whole(Option<Bytes>),
    /// Comes piece by piece.
    Stream(Box<Stream>),
}

impl From<String> for Body {
    fn from(text: String) -> Self {
        Self::Whole(Some(Bytes::from(text)))
    }
}

impl From<Vec<u8>> for Body {
    fn from(bytes: Vec<u8>) -> Self {
        Self::Whole(Some(Bytes::from(bytes)))
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        match self.get_mut() {
            Body::Whole(bytes) => Poll::Ready(bytes.take().map(|it| Ok(Frame::data(it)))),
            Body::Stream(stream) => stream.poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Body::Whole(bytes) => bytes.is_none(),
            Body::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Body::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |it| it.len() as u64))
            }
            Body::Stream(_) => SizeHint::default(),
        }
    }
}
