//! Rows of requests.

use std::time::Duration;

use shallotlead_base::{id::Incarnation, name, time::Time};

use crate::{
    input::Scope,
    limit::Charge,
    queue::{Band, Item},
    request::{Arrival, Repeat},
};

/// One request, from its arrival to its final answer.
#[derive(Debug)]
pub(crate) struct Row {
    /// As it came.
    pub(crate) arrival: Arrival,
    /// When it came.
    pub(crate) arrived: Time,
    /// When its first token is no longer of use; [`Time::MAX`] if always.
    pub(crate) deadline: Time,
    /// Its place among equals in the queue.
    pub(crate) seq: u64,
    /// Work in tokens that is expected of it, charged to its organisation when it is sent.
    pub(crate) work: f64,
    /// Work that was charged.
    pub(crate) charged: f64,
    /// Prompt tokens to compute: expected, then as the server said.
    pub(crate) uncached: u32,
    /// What it holds of its limits, once it was accepted.
    pub(crate) charge: Option<Charge>,
    /// Whether it counts as running for limits on concurrency.
    pub(crate) running: bool,
    /// Whether its caller has the final answer or is gone: only the attempt's end is awaited.
    pub(crate) answered: bool,
    /// Attempts sent.
    pub(crate) sent: u8,
    /// Numbers of the attempts under way.
    pub(crate) live: Vec<u8>,
    /// Attempts in a row that brought the caller no token.
    pub(crate) fruitless: u8,
    /// Whether a first token came.
    pub(crate) started: bool,
    /// Tokens that the caller has.
    pub(crate) delivered: u32,
    /// Whether an attempt may have run.
    pub(crate) may_have_run: bool,
    /// Servers that failed it.
    pub(crate) failed: Vec<name::Server>,
    /// Where its stream broke: that life of the server still holds its blocks.
    pub(crate) resume: Option<(name::Server, Incarnation)>,
    /// Not to be sent before.
    pub(crate) not_before: Time,
    /// Time spent in the queue.
    pub(crate) queued: Duration,
}

impl Row {
    /// A request that came at `now`.
    pub(crate) fn new(now: Time, arrival: Arrival, seq: u64) -> Self {
        let deadline = arrival.deadline.map_or(Time::MAX, |it| now + it);
        let arrival_tokens = arrival.chain.tokens;
        Self {
            arrival,
            arrived: now,
            deadline,
            seq,
            work: 0.0,
            charged: 0.0,
            uncached: arrival_tokens,
            charge: None,
            running: false,
            answered: false,
            sent: 0,
            live: Vec::new(),
            fruitless: 0,
            started: false,
            delivered: 0,
            may_have_run: false,
            failed: Vec::new(),
            resume: None,
            not_before: Time::ZERO,
            queued: Duration::ZERO,
        }
    }

    /// Its band.
    pub(crate) fn band(&self) -> Band {
        Band::new(self.arrival.priority)
    }

    /// Whether it may run twice.
    pub(crate) fn repeatable(&self) -> bool {
        self.arrival.repeat == Repeat::Idempotent
    }

    /// The limits it falls under.
    pub(crate) fn scopes(&self) -> [Scope; 2] {
        scopes(&self.arrival)
    }

    /// Tokens that it used of its limits.
    pub(crate) fn used_tokens(&self, generated: u32) -> f64 {
        f64::from(self.arrival.chain.tokens) + f64::from(generated)
    }

    /// Its place in the queue.
    pub(crate) fn item(&self, latest: Time) -> Item {
        Item {
            request: self.arrival.id,
            organisation: self.arrival.organisation.clone(),
            priority: self.arrival.priority,
            deadline: self.deadline,
            latest,
            seq: self.seq,
            work: self.work,
        }
    }
}

/// The limits that a request falls under.
pub(crate) fn scopes(arrival: &Arrival) -> [Scope; 2] {
    [Scope::Organisation(arrival.organisation.clone()), Scope::Model(arrival.model.clone())]
}

/// Tokens that a request may use at most.
pub(crate) fn most_tokens(arrival: &Arrival) -> f64 {
    f64::from(arrival.chain.tokens) + f64::from(arrival.max_tokens)
}
