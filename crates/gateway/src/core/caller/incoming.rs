//! A request whose body is arriving.

use shallotlead_base::time::Time;

use crate::{
    config::Limits,
    http::{
        Error,
        body::{Framing, max_received_bytes},
        head::Request,
    },
    limits::History,
    memory::{Account, Hold, Segments},
};

/// Number of bytes of a body that count as progress.
const PROGRESS_BYTES: usize = 16 * 1024;

/// A request whose body is incomplete.
pub(super) struct Incoming {
    pub(super) head: Request,
    framing: Framing,
    pub(super) body: Segments,
    /// Number of bytes that have arrived for it, with the chunks' sizes and extensions.
    received: usize,
    /// Covers the stated length once a part has arrived, otherwise the room for what has arrived.
    pub(super) hold: Hold,
    pub(super) arrived: Time,
    /// The limits for it when its head was complete.
    limits: Limits,
    /// When the last part arrived that is long enough to count as progress, and how much had arrived by then.
    progressed: (Time, usize),
}

impl Incoming {
    /// A request with this head, which was complete at `now` and began to arrive at `arrived`. `hold` covers nothing yet.
    pub(super) fn new(head: Request, hold: Hold, arrived: Time, limits: Limits, now: Time) -> Self {
        Self {
            framing: head.framing,
            head,
            body: Segments::default(),
            received: 0,
            hold,
            arrived,
            limits,
            progressed: (now, 0),
        }
    }

    /// When the last part arrived that counts as progress.
    pub(super) fn progressed(&self) -> Time {
        self.progressed.0
    }

    /// The limits for it: the most generous ones since it began to arrive.
    pub(super) fn limits(&self, history: &History) -> Limits {
        self.limits.most_generous(history.since(self.arrived))
    }

    /// Takes the memory for the next `arrived` bytes. Returns how much is missing, if it isn't left.
    pub(super) fn grow(&mut self, arrived: usize, memory: &mut Account) -> Result<(), usize> {
        if arrived == 0 {
            return Ok(());
        }
        let needed = match self.framing {
            Framing::Length(_) => self.total(),
            _ => self.body.capacity() + arrived + Segments::SEGMENT,
        };
        match memory.extend(&mut self.hold, needed) {
            true => Ok(()),
            false => Err(needed - self.hold.bytes()),
        }
    }

    /// Moves what has arrived to the body. Returns whether it is complete.
    pub(super) fn decode(&mut self, now: Time, input: &mut Vec<u8>) -> Result<bool, Error> {
        let arrived = input.len();
        let left = match self.framing {
            Framing::Length(_) => self.framing.least_left(),
            _ => usize::MAX,
        };
        let mut part = Vec::new();
        let is_complete = self.framing.decode(input, &mut part)?;
        self.body.push(&part, left);
        self.received += arrived - input.len();
        if !matches!(self.framing, Framing::Length(_)) {
            self.hold.record(self.body.capacity());
        }
        if self.progressed.1 + PROGRESS_BYTES <= self.body.len() {
            self.progressed = (now, self.body.len());
        }
        Ok(is_complete)
    }

    /// Whether it has more than `max_bytes`, or will have.
    pub(super) fn is_too_large(&self, max_bytes: usize) -> bool {
        max_bytes < self.total() || max_received_bytes(max_bytes) < self.received
    }

    /// Its length, as far as it has arrived or was stated.
    fn total(&self) -> usize {
        self.body.len().saturating_add(self.framing.least_left())
    }
}

/// A request that is refused before its body is complete.
pub(super) struct Partial {
    pub(super) head: Request,
    /// What is left of the body.
    pub(super) framing: Framing,
    pub(super) arrived: Time,
}

impl From<Incoming> for Partial {
    fn from(it: Incoming) -> Self {
        Self { head: it.head, framing: it.framing, arrived: it.arrived }
    }
}
