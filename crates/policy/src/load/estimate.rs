//! One server's queue, estimated between its reports.

use std::time::Duration;

use shallotlead_base::{id::Attempt, time::Time};

use super::Report;

/// Most placements remembered between two reports; the oldest goes first.
const MAX_SENT: usize = 64;

/// An attempt of this instance that has no first token yet.
#[derive(Clone, Copy, Debug)]
struct Own {
    attempt: Attempt,
    tokens: f64,
}

/// Work that was sent to a server.
#[derive(Clone, Copy, Debug)]
struct Sent {
    at: Time,
    tokens: f64,
}

/// What is known of a server's queue.
#[derive(Clone, Debug, Default)]
pub(crate) struct Estimate {
    taken: Option<Time>,
    /// Tokens that waited when the report was taken.
    tokens: f64,
    own: Vec<Own>,
    /// What is known to have been sent since then, by any instance.
    since: Vec<Sent>,
}

impl Estimate {
    /// Takes a report that arrived at `now`; an older one than the last is left out.
    pub(crate) fn report(&mut self, now: Time, report: &Report) {
        let taken = now - report.age;
        if self.taken.is_some_and(|it| taken < it) {
            return;
        }
        self.taken = Some(taken);
        self.tokens = f64::from(report.waiting_tokens);
        self.since.retain(|it| taken < it.at);
    }

    /// An attempt with this many uncached tokens was sent by this instance.
    pub(crate) fn sent(&mut self, now: Time, attempt: Attempt, tokens: f64) {
        self.own.push(Own { attempt, tokens });
        self.heard(now, tokens);
    }

    /// Another instance sent an attempt with this many uncached tokens at `at`.
    pub(crate) fn heard(&mut self, at: Time, tokens: f64) {
        if self.taken.is_some_and(|it| at <= it) {
            return;
        }
        if self.since.len() == MAX_SENT {
            self.since.remove(0);
        }
        let place = self.since.partition_point(|it| it.at <= at);
        self.since.insert(place, Sent { at, tokens });
    }

    /// An attempt has its first token, or ended without one.
    pub(crate) fn done(&mut self, attempt: Attempt) {
        self.own.retain(|it| it.attempt != attempt);
    }

    /// Prompt tokens ahead of a new request, for a server that computes `speed` tokens a second and
    /// gets `inflow` tokens a second that nobody told of.
    pub(crate) fn ahead(&self, now: Time, speed: f64, inflow: f64) -> f64 {
        let mut at = self.taken.or(self.since.first().map(|it| it.at)).unwrap_or(now);
        let mut ahead = self.tokens;
        let drain = |ahead: f64, from: Time, to: Time| {
            (ahead + (inflow - speed) * to.since(from).as_secs_f64()).max(0.0)
        };
        for it in &self.since {
            ahead = drain(ahead, at, it.at) + it.tokens;
            at = it.at.max(at);
        }
        let own: f64 = self.own.iter().map(|it| it.tokens).sum();
        // What this instance still waits for is ahead at least in part, whatever the report says.
        drain(ahead, at, now).max(0.5 * own)
    }

    /// Age of the last report.
    pub(crate) fn age(&self, now: Time) -> Option<Duration> {
        self.taken.map(|it| now.since(it))
    }

    /// Forgets everything: the server lives anew.
    pub(crate) fn reset(&mut self) {
        *self = Self::default();
    }
}
