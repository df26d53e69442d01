//! Systems that end requests.

use std::sync::Arc;

use shallotlead_base::{
    code::Execution,
    id::{Attempt, Request},
    time::Time,
};

use super::{Router, admit::Refusal};
use crate::{action::Action, input::Scope};

impl Router {
    /// Refuses a request that isn't queued and wasn't sent.
    pub(super) fn refuse(&mut self, now: Time, id: Request, refusal: Refusal) {
        self.give_up(now, id, refusal);
    }

    /// Gives a request up, taking it out of the queue if it waits there.
    pub(super) fn drop_waiting(&mut self, now: Time, id: Request, refusal: Refusal) {
        self.unqueue(id);
        self.give_up(now, id, refusal);
    }

    /// Gives a request its final answer, at once.
    pub(super) fn give_up(&mut self, now: Time, id: Request, refusal: Refusal) {
        let Some(row) = self.requests.get(&id) else { return };
        if row.answered {
            return;
        }
        let ran = row.may_have_run || !row.live.is_empty();
        debug_assert!(
            !ran || refusal.code.execution() != Execution::NotRun,
            "told not-run of a request that may have run"
        );
        let queued = if row.sent == 0 { now.since(row.arrived) } else { row.queued };
        let mut decision = self.decision(id, refusal.reason, queued);
        decision.candidates = refusal.candidates;
        self.actions.push(Action::Refuse {
            request: id,
            code: refusal.code,
            retry_after: refusal.retry_after,
            decision: Arc::new(decision),
        });
        self.part(now, id);
    }

    /// The caller went away.
    pub(super) fn abandoned(&mut self, now: Time, id: Request) {
        // It may not have been looked at yet.
        self.arrivals.retain(|it| it.id != id);
        if self.requests.get(&id).is_some_and(|it| !it.answered) {
            self.unqueue(id);
            self.part(now, id);
        }
    }

    /// The caller no longer waits. Attempts that may be cut short are; one that runs at most once
    /// is left to end, since half of it helps nobody and a second call may ask for its result.
    fn part(&mut self, now: Time, id: Request) {
        let Some(row) = self.requests.get_mut(&id) else { return };
        row.answered = true;
        let repeatable = row.repeatable();
        let mut used = row.may_have_run.then_some(row.delivered);
        if repeatable && !row.live.is_empty() {
            used = Some(row.delivered);
            for number in row.live.clone() {
                self.cancel(now, Attempt { request: id, number });
            }
        }
        if self.requests.get(&id).is_some_and(|it| it.live.is_empty()) {
            self.forget(now, id, used);
        }
    }

    /// Cancels an attempt at its server.
    pub(super) fn cancel(&mut self, now: Time, attempt: Attempt) {
        let Some(row) = self.attempts.remove(&attempt) else { return };
        if let Some(request) = self.requests.get_mut(&attempt.request) {
            request.live.retain(|it| *it != attempt.number);
            request.may_have_run = true;
        }
        if let Some(server) = self.servers.get_mut(&row.server) {
            server.breaker.void();
        }
        self.planner.ended(now, attempt, None);
        self.release(now, &row, Some(row.charge.tokens));
        self.actions.push(Action::Cancel { attempt, server: row.server });
    }

    /// Removes a request for good, settling its limits: it generated so many tokens, or didn't run.
    pub(super) fn forget(&mut self, now: Time, id: Request, generated: Option<u32>) {
        let Some(row) = self.requests.remove(&id) else { return };
        let scopes: [Scope; 2] = row.scopes();
        if row.running {
            self.ledger.stop(&scopes);
        }
        match (row.charge, generated) {
            (Some(charge), Some(it)) => {
                self.ledger.settle(now, &scopes, charge, row.used_tokens(it));
            }
            (Some(charge), None) => self.ledger.cancel(now, &scopes, charge),
            (None, _) => {}
        }
        if let Some(pool) = self.pools.get_mut(&row.arrival.model) {
            pool.dirty = true;
        }
    }

    fn unqueue(&mut self, id: Request) {
        let Some(row) = self.requests.get(&id) else { return };
        let scopes = row.scopes();
        let Some(pool) = self.pools.get_mut(&row.arrival.model) else { return };
        if pool.queue.remove(id).is_some() {
            self.ledger.leave(&scopes);
        }
    }
}
