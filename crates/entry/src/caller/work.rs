//! A submitted request, from the caller's side.

use std::task::{Context as TaskContext, Poll};

use shallotlead_base::id::Request;
use tokio::sync::mpsc;

use crate::{
    caller::budget::Share,
    exchange::{Exchange, Piece},
    shell::Handle,
};

/// A submitted request. Dropping it before its end tells the shell that the caller went away.
#[derive(Debug)]
pub(crate) struct Work {
    request: Request,
    shell: Handle,
    pieces: mpsc::Receiver<Piece>,
    ended: bool,
    /// Memory that its body takes meanwhile.
    _share: Share,
}

impl Work {
    /// Submits `exchange`, whose answer comes over `pieces`.
    pub(crate) fn submit(
        shell: &Handle,
        exchange: Exchange,
        pieces: mpsc::Receiver<Piece>,
        share: Share,
    ) -> Self {
        let request = exchange.id;
        shell.submit(exchange);
        Self { request, shell: shell.clone(), pieces, ended: false, _share: share }
    }

    /// The request's id.
    pub(crate) fn request(&self) -> Request {
        self.request
    }

    /// The next piece; `None` when the shell gave the request up without a word.
    pub(crate) async fn next(&mut self) -> Option<Piece> {
        let piece = self.pieces.recv().await;
        self.note(piece.as_ref());
        piece
    }

    /// As [`Work::next`], for bodies.
    pub(crate) fn poll_next(&mut self, cx: &mut TaskContext<'_>) -> Poll<Option<Piece>> {
        let piece = self.pieces.poll_recv(cx);
        if let Poll::Ready(piece) = &piece {
            self.note(piece.as_ref());
        }
        piece
    }

    fn note(&mut self, piece: Option<&Piece>) {
        self.ended |= matches!(piece, None | Some(Piece::End | Piece::Refused(_)));
    }
}

impl Drop for Work {
    fn drop(&mut self) {
        if !self.ended {
            self.shell.abandon(self.request);
        }
    }
}
