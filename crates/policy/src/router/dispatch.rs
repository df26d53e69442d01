//! System: sends what waits, in fair order, to servers that have room.

use std::{cell::RefCell, sync::Arc, time::Duration};

use shallotlead_base::{
    code::Code,
    hash::Set,
    id::{Attempt, Request},
    name,
    time::Time,
};

use super::{
    Router,
    admit::{BACKLOG, refusal},
    attempt,
    request::Row,
    timer::Kind,
};
use crate::{
    action::{Action, Dispatch},
    input::{Scope, State},
    placement::{Choice, Ranking},
    queue::{Band, Item},
};

/// Requests of one organisation that are tried before the next organisation's: one, so that an expensive one gains nothing by a cheap one waiting for its server.
const DEPTH: usize = 1;
/// Requests tried in one tick without finding a server.
const MAX_MISSES: usize = 16;
/// Expected wait at a server, in milliseconds, over which it has no room.
const MAX_WAIT: f64 = 500.0;
/// Back-off before the server that failed a request is tried again.
const BACKOFF: Duration = Duration::from_millis(100);
/// Times the expected time to first token after which a hedge may be sent.
const HEDGE_AFTER: f64 = 4.0;
/// Least time before a hedge.
const HEDGE_MIN: Duration = Duration::from_secs(1);
/// Times the expected time to first token after which an attempt has failed.
const TIMEOUT_AFTER: f64 = 8.0;
/// Bounds of that time.
const TIMEOUT_MIN: Duration = Duration::from_secs(5);
const TIMEOUT_MAX: Duration = Duration::from_secs(30);
/// That time for a request that can't be sent twice: cutting it short gains nothing.
const TIMEOUT_ONCE: Duration = Duration::from_secs(60);

/// Which servers may be chosen.
#[derive(Clone, Copy, Debug)]
enum Among<'a> {
    /// Those whose circuit and limits allow it.
    Open,
    /// Of those, the ones with room.
    Room,
    /// Only this one.
    One(&'a name::Server),
}

impl Router {
    /// Runs over all queues.
    pub(super) fn dispatch(&mut self, now: Time) {
        let models = self.pools.keys().cloned().collect::<Vec<_>>();
        for model in models {
            self.expire(now, &model);
            self.drain_queue(now, &model);
            let Some(pool) = self.pools.get_mut(&model) else { continue };
            pool.meter.observe(now, BACKLOG <= pool.queue.len());
        }
    }

    fn drain_queue(&mut self, now: Time, model: &name::Model) {
        let Some(pool) = self.pools.get_mut(model) else { return };
        let due = pool.dirty || super::BUSY <= now.since(pool.tried);
        if pool.queue.is_empty() || !due {
            return;
        }
        pool.dirty = false;
        pool.tried = now;
        let mut missed = Set::default();
        while self.pass(now, model, &mut missed) {}
    }

    /// Tries the heads of the queue in turn until one leaves it, which changes the order. False when
    /// none does, or enough were tried.
    fn pass(&mut self, now: Time, model: &name::Model, missed: &mut Set<Request>) -> bool {
        let Some(pool) = self.pools.get(model) else { return false };
        let heads = Band::ALL.into_iter().flat_map(|it| pool.queue.heads(it, DEPTH));
        let heads = heads.filter(|it| !missed.contains(it)).collect::<Vec<_>>();
        for id in heads {
            if MAX_MISSES <= missed.len() {
                return false;
            }
            let sent = self.place(now, id);
            // It may have been refused instead.
            if sent || !self.requests.contains_key(&id) {
                return true;
            }
            missed.insert(id);
        }
        false
    }

    /// Tries to send a waiting request. False when it stays: it waits for the server that is best for
    /// it, since running it elsewhere now would recompute its prefix and take the time of others.
    fn place(&mut self, now: Time, id: Request) -> bool {
        let Some(row) = self.requests.get(&id) else { return false };
        if now < row.not_before {
            return false;
        }
        if !row.running && !self.ledger.has_slot(now, &row.scopes()) {
            return false;
        }
        if let Some((ranking, choice)) = self.rank_resume(now, id) {
            self.send(now, id, ranking, choice, "resume-same");
            return true;
        }
        let ranking = self.rank(now, id, Among::Open);
        let Some(choice) = ranking.choice.clone() else {
            self.back_off(now, id);
            return false;
        };
        let Some(row) = self.requests.get(&id) else { return false };
        let trust = self.pools.get(&row.arrival.model).map(|it| it.trust).unwrap_or_default();
        if !row.started && row.deadline < now + trust.cautious(now, choice.expected) {
            // Guards against work for nothing: under overload all that is sent would have waited
            // until just before its deadline, come too late, and kept others waiting. It shows as
            // busy servers and few answers in time.
            if row.sent == 0
                && row.deadline < now + trust.cautious(now, least_expected(&ranking, &choice))
            {
                let retry_after = Some(self.spread(Duration::from_secs(1)));
                let refusal = refusal(Code::DeadlineUnreachable, "deadline", retry_after);
                self.drop_waiting(now, id, refusal);
            }
            return false;
        }
        let hurried = row.band() == Band::Urgent || row.started;
        if hurried || self.has_room(now, &ranking, &choice) {
            let reason = choice.reason;
            self.send(now, id, ranking, choice, reason);
            return true;
        }
        false
    }

    fn has_room(&self, now: Time, ranking: &Ranking, choice: &Choice) -> bool {
        let wait = ranking.candidates.get(choice.index).map_or(0.0, |it| it.wait);
        wait <= MAX_WAIT && self.servers.get(&choice.server).is_some_and(|it| it.has_room(now))
    }

    /// Weighs the servers that may take a request at all.
    pub(super) fn rank_open(&mut self, now: Time, id: Request) -> Ranking {
        self.rank(now, id, Among::Open)
    }

    fn rank_resume(&mut self, now: Time, id: Request) -> Option<(Ranking, Choice)> {
        let (server, incarnation) = self.requests.get(&id)?.resume.clone()?;
        let row = self.servers.get(&server)?;
        if row.state != State::Up(incarnation) {
            return None;
        }
        let ranking = self.rank(now, id, Among::One(&server));
        let choice = ranking.choice.clone().filter(|it| it.incarnation == incarnation)?;
        Some((ranking, choice))
    }

    fn rank(&mut self, now: Time, id: Request, among: Among<'_>) -> Ranking {
        let none = Ranking { candidates: Vec::new(), choice: None };
        let Some(row) = self.requests.get(&id) else { return none };
        let probe = row.repeatable() && row.band() < Band::Urgent;
        let ledger = RefCell::new(&mut self.ledger);
        let servers = &self.servers;
        let tokens = super::request::most_tokens(&row.arrival);
        let allowed = |name: &name::Server| {
            let Some(server) = servers.get(name) else { return false };
            let chosen = match among {
                Among::Open => server.breaker.allows(now, probe),
                Among::Room => server.breaker.allows(now, probe) && server.has_room(now),
                Among::One(it) => it == name,
            };
            chosen && ledger.borrow_mut().admits(now, &Scope::Server(name.clone()), tokens)
        };
        let exclude: &[name::Server] = match among {
            Among::One(_) => &[],
            _ => &row.failed,
        };
        self.planner.rank(now, &row.arrival, exclude, allowed, &mut self.rng)
    }

    /// No server may take the request now. When those that failed it are all there is, they get
    /// another chance after a while.
    fn back_off(&mut self, now: Time, id: Request) {
        let Some(row) = self.requests.get_mut(&id) else { return };
        if row.failed.is_empty() {
            return;
        }
        row.failed.clear();
        row.not_before = now + BACKOFF * u32::from(row.fruitless.max(1));
        self.timers.set(row.not_before, id, Kind::Ready);
    }

    /// Sends an attempt of a waiting request.
    fn send(
        &mut self,
        now: Time,
        id: Request,
        ranking: Ranking,
        choice: Choice,
        reason: &'static str,
    ) {
        let Some(row) = self.requests.get_mut(&id) else { return };
        row.queued = now.since(row.arrived);
        row.resume = None;
        let first = row.sent == 0;
        let scopes = row.scopes();
        let hedge = row.repeatable() && !row.started;
        if !std::mem::replace(&mut row.running, true) {
            self.ledger.start(&scopes);
        }
        self.ledger.leave(&scopes);
        if let Some(pool) = self.pools.get_mut(&row.arrival.model) {
            if let Some(item) = pool.queue.serve(id) {
                pool.meter.served(item.work);
                row.charged += item.work;
            }
            if first {
                pool.retries.deposit();
                pool.hedges.deposit();
            }
        }
        let expected = self.launch(now, id, ranking, choice, reason);
        if hedge {
            self.timers.set(now + hedge_after(expected), id, Kind::Hedge);
        }
    }

    /// Records and sends an attempt. Returns its expected time to first token.
    fn launch(
        &mut self,
        now: Time,
        id: Request,
        ranking: Ranking,
        choice: Choice,
        reason: &'static str,
    ) -> Duration {
        let Some(row) = self.requests.get_mut(&id) else { return Duration::ZERO };
        row.sent += 1;
        row.live.push(row.sent);
        let attempt = Attempt { request: id, number: row.sent };
        let trust = self.pools.get(&row.arrival.model).map(|it| it.trust).unwrap_or_default();
        let expected = trust.correct(now, choice.expected);
        let scope = Scope::Server(choice.server.clone());
        let tokens = super::request::most_tokens(&row.arrival);
        let charge = self.ledger.charge(now, std::slice::from_ref(&scope), tokens);
        self.ledger.start(&[scope]);
        if let Some(server) = self.servers.get_mut(&choice.server) {
            server.send(now);
        }
        self.planner.sent(now, &row.arrival, attempt, &choice.server);
        let first_token_timeout = timeout(row, expected);
        let priority = row.arrival.priority;
        let (resume_at, queued) = (row.delivered, row.queued);
        self.attempts.insert(
            attempt,
            attempt::Row {
                server: choice.server.clone(),
                incarnation: choice.incarnation,
                sent: now,
                expected,
                planned: choice.expected,
                started: false,
                prompt: row.arrival.chain.tokens,
                charge,
            },
        );
        let mut decision = self.decision(id, reason, queued);
        decision.chosen = Some(choice.server.clone());
        decision.candidates = ranking.candidates;
        self.actions.push(Action::Send(Box::new(Dispatch {
            attempt,
            server: choice.server,
            incarnation: choice.incarnation,
            priority,
            resume_at,
            import: choice.import,
            first_token_timeout,
            decision: Arc::new(decision),
        })));
        expected
    }

    /// A timer fired.
    pub(super) fn fire(&mut self, now: Time, id: Request, kind: Kind) {
        let Some(row) = self.requests.get(&id) else { return };
        if row.answered {
            return;
        }
        match kind {
            Kind::Held => self.held(now, id),
            Kind::Deadline if !row.started => self.too_late(now, id),
            Kind::Hedge => self.hedge(now, id),
            Kind::Ready => self.ready(id),
            Kind::Deadline => {}
        }
    }

    fn ready(&mut self, id: Request) {
        let Some(row) = self.requests.get(&id) else { return };
        if let Some(pool) = self.pools.get_mut(&row.arrival.model) {
            pool.dirty = true;
        }
    }

    fn held(&mut self, now: Time, id: Request) {
        let Some(row) = self.requests.get(&id) else { return };
        let queued = self.pools.get(&row.arrival.model).is_some_and(|it| it.queue.contains(id));
        if row.sent == 0 && !queued {
            self.limit(now, id);
        }
    }

    /// The first token is no longer of use.
    fn too_late(&mut self, now: Time, id: Request) {
        let Some(row) = self.requests.get(&id) else { return };
        let refusal = if row.sent == 0 || (row.live.is_empty() && !row.may_have_run) {
            let retry_after = Some(self.spread(Duration::from_secs(1)));
            refusal(Code::DeadlineUnreachable, "deadline", retry_after)
        } else {
            refusal(Code::DeadlinePassed, "deadline", None)
        };
        self.drop_waiting(now, id, refusal);
    }

    /// Sends a second attempt of a request whose first one is slow, if that can't hurt others.
    fn hedge(&mut self, now: Time, id: Request) {
        let Some(row) = self.requests.get_mut(&id) else { return };
        if row.started || row.live.len() != 1 || !row.repeatable() {
            return;
        }
        let attempt = Attempt { request: id, number: row.sent };
        let Some(slow) = self.attempts.get(&attempt) else { return };
        // The timer may be an earlier attempt's.
        if now.since(slow.sent) < hedge_after(slow.expected) {
            return;
        }
        let server = slow.server.clone();
        // A queue means that the servers are full: a second attempt would take another's place.
        if self.pools.get(&row.arrival.model).is_none_or(|it| !it.queue.is_empty()) {
            return;
        }
        row.failed.push(server);
        let ranking = self.rank(now, id, Among::Room);
        if let Some(row) = self.requests.get_mut(&id) {
            row.failed.pop();
        }
        let Some(choice) = ranking.choice.clone() else { return };
        if !self.has_room(now, &ranking, &choice) {
            return;
        }
        let Some(row) = self.requests.get(&id) else { return };
        let Some(pool) = self.pools.get_mut(&row.arrival.model) else { return };
        if pool.hedges.withdraw(now) {
            self.launch(now, id, ranking, choice, "hedge");
        }
    }

    /// A queued request is no longer queued, and won't be sent.
    pub(super) fn leave_queue(&mut self, item: &Item) {
        let Some(row) = self.requests.get(&item.request) else { return };
        self.ledger.leave(&row.scopes());
    }
}

fn least_expected(ranking: &Ranking, choice: &Choice) -> Duration {
    ranking.candidates.get(choice.index).map_or(choice.expected, |it| {
        Duration::from_secs_f64((it.prefill / 1e3).max(0.0)).min(choice.expected)
    })
}

fn hedge_after(expected: Duration) -> Duration {
    expected.mul_f64(HEDGE_AFTER).max(HEDGE_MIN)
}

fn timeout(row: &Row, expected: Duration) -> Duration {
    if row.repeatable() {
        expected.mul_f64(TIMEOUT_AFTER).clamp(TIMEOUT_MIN, TIMEOUT_MAX)
    } else {
        TIMEOUT_ONCE
    }
}
