//! One request's answer on its way to the caller, over all of its attempts.

#[cfg(test)]
mod tests;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use shallotlead_base::{
    code::Refusal,
    id::{Attempt, Request},
};
use thiserror::Error;
use tokio::sync::mpsc;

use crate::exchange::{Head, Piece};

/// Named in place of a server when an answer comes from a record.
const RECORD: &str = "record";

/// What the caller has, and which attempt may add to it.
#[derive(Debug)]
pub(crate) struct Delivery {
    pieces: mpsc::Sender<Piece>,
    progress: Mutex<Progress>,
}

#[derive(Debug)]
struct Progress {
    owner: Option<Attempt>,
    head: bool,
    delivered: u32,
    whole: bool,
    over: bool,
    refusal: Option<Refusal>,
}

/// Why an attempt may not add to an answer.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub(crate) enum Closed {
    /// Another attempt answers, or this one would leave a gap or repeat tokens.
    #[error("another attempt answers")]
    Superseded,
    /// The answer is complete or refused.
    #[error("the answer is over")]
    Over,
    /// The caller went away.
    #[error("the caller went away")]
    Gone,
}

impl Delivery {
    /// An answer over `pieces` to a caller who already has `delivered` tokens.
    pub(crate) fn new(pieces: mpsc::Sender<Piece>, delivered: u32) -> Self {
        let progress = Progress {
            owner: None,
            head: false,
            delivered,
            whole: false,
            over: false,
            refusal: None,
        };
        Self { pieces, progress: Mutex::new(progress) }
    }

    /// Tokens that the caller has.
    pub(crate) fn delivered(&self) -> u32 {
        self.progress().delivered
    }

    /// Gives the answer to `attempt`, whose first token is the one after `resume_at`.
    ///
    /// Guards against crossed answers: with two attempts under way, each would send its own tokens,
    /// and the caller would read a mixture. The first to claim owns the answer until it ends, and
    /// an attempt that starts at another token than the caller needs next never gets it.
    pub(crate) fn claim(
        self: &Arc<Self>,
        attempt: Attempt,
        resume_at: u32,
    ) -> Result<Claim, Closed> {
        let mut progress = self.progress();
        if progress.over || progress.refusal.is_some() {
            return Err(Closed::Over);
        }
        if progress.owner.is_some() || progress.whole || progress.delivered != resume_at {
            return Err(Closed::Superseded);
        }
        progress.owner = Some(attempt);
        Ok(Claim { delivery: self.clone() })
    }

    /// Ends the answer with a refusal, after the owner's last piece if there is an owner. Never
    /// blocks. A second refusal is dropped.
    pub(crate) fn refuse(self: &Arc<Self>, refusal: Refusal) {
        let mut progress = self.progress();
        if progress.over || progress.refusal.is_some() {
            return;
        }
        progress.refusal = Some(refusal);
        if progress.owner.is_some() {
            return;
        }
        progress.over = true;
        drop(progress);
        let Err(mpsc::error::TrySendError::Full(piece)) =
            self.pieces.try_send(Piece::Refused(refusal))
        else {
            return;
        };
        // The reader is slow and the channel full: wait for it on a thread of its own, so that the
        // router's thread doesn't.
        let delivery = self.clone();
        let waiter = move || drop(delivery.pieces.blocking_send(piece));
        if let Err(error) = std::thread::Builder::new().name("refusal".to_owned()).spawn(waiter) {
            log::warn!("no thread for a slow caller's refusal: {error}");
        }
    }

    /// Gives the answer that an earlier request with the same idempotency key had. Never blocks:
    /// nothing was sent before, so that the channel has room.
    pub(crate) fn replay(
        &self,
        request: Request,
        status: u16,
        content_type: Arc<str>,
        body: Arc<[u8]>,
    ) {
        let attempt = Attempt { request, number: 0 };
        let head =
            Head { status, content_type, attempt, server: RECORD.into(), cached_tokens: None };
        self.progress().over = true;
        for piece in [Piece::Head(head), Piece::Body(body), Piece::End] {
            // An error means that the caller went away.
            let _ = self.pieces.try_send(piece);
        }
    }

    fn progress(&self) -> MutexGuard<'_, Progress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The right of one attempt to add to the answer. Dropping it lets another attempt go on.
#[derive(Debug)]
pub(crate) struct Claim {
    delivery: Arc<Delivery>,
}

impl Claim {
    /// Sends the head unless an earlier attempt did.
    pub(crate) fn head(&self, head: Head) -> Result<(), Closed> {
        {
            let mut progress = self.open()?;
            if progress.head {
                return Ok(());
            }
            progress.head = true;
        }
        self.send(Piece::Head(head))
    }

    /// Sends one event. `number` is the last token that the caller has after it.
    pub(crate) fn event(&self, number: u32, data: Arc<str>) -> Result<(), Closed> {
        drop(self.open()?);
        self.send(Piece::Event { number, data })?;
        self.delivery.progress().delivered = number;
        Ok(())
    }

    /// Sends bytes of a whole answer. From the first one on, no other attempt can go on.
    pub(crate) fn body(&self, bytes: Arc<[u8]>) -> Result<(), Closed> {
        self.open()?.whole = true;
        self.send(Piece::Body(bytes))
    }

    /// Ends the answer.
    pub(crate) fn end(self) -> Result<(), Closed> {
        self.open()?.over = true;
        self.send(Piece::End)
    }

    fn open(&self) -> Result<MutexGuard<'_, Progress>, Closed> {
        let progress = self.delivery.progress();
        if progress.over || progress.refusal.is_some() {
            return Err(Closed::Over);
        }
        Ok(progress)
    }

    fn send(&self, piece: Piece) -> Result<(), Closed> {
        self.delivery.pieces.blocking_send(piece).map_err(|_| Closed::Gone)
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        let refusal = {
            let mut progress = self.delivery.progress();
            progress.owner = None;
            if progress.over {
                return;
            }
            progress.over = progress.refusal.is_some();
            progress.refusal
        };
        if let Some(refusal) = refusal {
            // An error means that the caller went away.
            let _ = self.delivery.pieces.blocking_send(Piece::Refused(refusal));
        }
    }
}
