//! System: takes in how attempts went, and decides whether to go on.

use shallotlead_base::{
    code::{Code, Execution},
    id::{Attempt, Request},
    name,
    time::Time,
};

use super::{
    Router,
    admit::{Refusal, refusal},
    attempt, request,
};
use crate::{breaker::Sample, input::Outcome, input::Scope, queue::DECODE_WORK};

/// Attempts in a row that may bring the caller nothing.
const MAX_FRUITLESS: u8 = 3;
/// Attempts of one request in all. A stream that breaks again and again ends here.
const MAX_ATTEMPTS: u8 = 16;
/// How long a broken stream waits for a server to resume on.
const RESUME_WAIT: std::time::Duration = std::time::Duration::from_secs(10);
/// Priority of a broken stream: its caller is in the middle of the answer.
const RESUME_PRIORITY: u8 = 9;

impl Router {
    /// An attempt's first token came.
    pub(super) fn first_token(&mut self, now: Time, attempt: Attempt, cached: Option<u32>) {
        let Some(row) = self.attempts.get_mut(&attempt) else { return };
        if std::mem::replace(&mut row.started, true) {
            return;
        }
        self.planner.first_token(now, attempt, cached);
        let measured = now.since(row.sent);
        let (server, expected, planned) = (row.server.clone(), row.expected, row.planned);
        if let Some(it) = self.servers.get_mut(&server) {
            it.start();
        }
        self.stir_server(&server);
        let Some(request) = self.requests.get_mut(&attempt.request) else { return };
        request.started = true;
        request.fruitless = 0;
        if let Some(cached) = cached {
            request.uncached = request.arrival.chain.tokens.saturating_sub(cached);
        }
        let model = request.arrival.model.clone();
        let losers = request.live.iter().copied().filter(|it| *it != attempt.number);
        for number in losers.collect::<Vec<_>>() {
            self.cancel(now, Attempt { request: attempt.request, number });
        }
        self.learn_latency(now, &model, &server, expected, planned, measured);
    }

    fn learn_latency(
        &mut self,
        now: Time,
        model: &name::Model,
        server: &name::Server,
        expected: std::time::Duration,
        planned: std::time::Duration,
        measured: std::time::Duration,
    ) {
        let Some(pool) = self.pools.get_mut(model) else { return };
        pool.trust.learn(now, planned, measured);
        let Some(row) = self.servers.get_mut(server) else { return };
        row.breaker.latency(expected, measured);
        pool.learn_slowness(row.breaker.slowness());
        if row.breaker.outlier(pool.slowness()) {
            self.eject(now, model, server);
        }
    }

    /// An attempt ended. One that isn't in the table ended before, or was cancelled: late and
    /// doubled reports change nothing.
    pub(super) fn ended(&mut self, now: Time, attempt: Attempt, outcome: Outcome) {
        let Some(row) = self.attempts.remove(&attempt) else { return };
        self.planner.ended(now, attempt, Some(outcome));
        self.release(now, &row, used(&row, outcome));
        self.blame(now, attempt, &row, outcome);
        let Some(request) = self.requests.get_mut(&attempt.request) else { return };
        request.live.retain(|it| *it != attempt.number);
        if request.answered {
            if request.live.is_empty() {
                self.forget(now, attempt.request, Some(0));
            }
            return;
        }
        match outcome {
            Outcome::Complete { tokens } => self.complete(now, attempt.request, tokens),
            Outcome::Failed(code) => self.failed(now, attempt.request, code),
            Outcome::NotRun(code) => self.not_run(now, attempt.request, row, code),
            Outcome::Broken { delivered } => self.broken(now, attempt.request, row, delivered),
        }
    }

    /// Frees what an attempt held of its server.
    pub(super) fn release(&mut self, now: Time, row: &attempt::Row, used: Option<f64>) {
        let scope = [Scope::Server(row.server.clone())];
        self.ledger.stop(&scope);
        match used {
            Some(it) => self.ledger.settle(now, &scope, row.charge, it),
            None => self.ledger.cancel(now, &scope, row.charge),
        }
        if let Some(server) = self.servers.get_mut(&row.server) {
            server.end(row.started);
        }
        self.stir_server(&row.server);
    }

    fn blame(&mut self, now: Time, attempt: Attempt, row: &attempt::Row, outcome: Outcome) {
        let Some(server) = self.servers.get_mut(&row.server) else { return };
        if server.state != crate::input::State::Up(row.incarnation) {
            return;
        }
        let sample = match outcome {
            Outcome::Complete { .. } => Sample::Good,
            Outcome::Broken { .. } => Sample::Bad,
            Outcome::NotRun(code) => {
                if code == Code::ServerRefused {
                    server.window.refused();
                }
                Sample::Bad
            }
            // The request is as likely to blame as the server: were this held against servers, one
            // caller's malformed requests could open every circuit.
            Outcome::Failed(_) => {
                server.breaker.void();
                return;
            }
        };
        let opens = server.breaker.sample(now, sample);
        let closed = server.breaker.closed();
        let Some(request) = self.requests.get(&attempt.request) else { return };
        let model = request.arrival.model.clone();
        if opens {
            self.eject(now, &model, &row.server);
        } else if closed && let Some(pool) = self.pools.get_mut(&model) {
            pool.ejected.remove(&row.server);
        }
    }

    /// Opens a server's circuit, if enough others are left.
    fn eject(&mut self, now: Time, model: &name::Model, server: &name::Server) {
        let Some(pool) = self.pools.get_mut(model) else { return };
        if !pool.may_eject(server) {
            return;
        }
        let Some(row) = self.servers.get_mut(server) else { return };
        row.breaker.open(now);
        row.window = crate::window::Window::open(now, true);
        pool.ejected.insert(server.clone());
    }

    fn complete(&mut self, now: Time, id: Request, tokens: u32) {
        let Some(row) = self.requests.get(&id) else { return };
        let organisation = row.arrival.organisation.clone();
        let priority = row.arrival.priority;
        let work = f64::from(row.uncached) + DECODE_WORK * f64::from(tokens) + 1.0;
        let correction = work - row.charged;
        if let Some(pool) = self.pools.get_mut(&row.arrival.model) {
            pool.queue.charge(priority, &organisation, correction);
            pool.generated(&organisation, tokens);
        }
        self.forget(now, id, Some(tokens));
    }

    fn failed(&mut self, now: Time, id: Request, code: Code) {
        let Some(row) = self.requests.get_mut(&id) else { return };
        // The answer is this attempt's, but an earlier or a parallel one may have run.
        let others = row.may_have_run || !row.live.is_empty();
        row.may_have_run = others || code.execution() != Execution::NotRun;
        let code = if others && code.execution() == Execution::NotRun {
            Code::OutcomeUnknown
        } else {
            code
        };
        self.give_up(now, id, refusal(code, "server-failed", None));
    }

    fn not_run(&mut self, now: Time, id: Request, attempt: attempt::Row, code: Code) {
        let Some(row) = self.requests.get_mut(&id) else { return };
        row.fruitless += 1;
        row.failed.push(attempt.server);
        if !row.live.is_empty() {
            return;
        }
        // Guards against a second run of a request that must not have one: a server's word that it
        // did not run is good enough for an answer, but a byte has left, and a doubled dispatch
        // can't be taken back. Only what certainly never left is sent again.
        let resend = row.repeatable() || code == Code::ServerUnreachable;
        let answer = truthful(row, code);
        self.again(now, id, resend, refusal(answer, "attempts-failed", None));
    }

    fn broken(&mut self, now: Time, id: Request, attempt: attempt::Row, delivered: u32) {
        let Some(row) = self.requests.get_mut(&id) else { return };
        row.may_have_run = true;
        let progress = row.delivered < delivered;
        if progress {
            row.delivered = delivered;
            row.fruitless = 0;
        }
        row.fruitless += 1;
        // A stream goes on where its blocks are, once; if it breaks there again, elsewhere.
        if progress {
            row.resume = Some((attempt.server, attempt.incarnation));
        } else {
            row.failed.push(attempt.server);
        }
        if !row.live.is_empty() {
            return;
        }
        let resend = row.repeatable();
        self.again(now, id, resend, refusal(Code::OutcomeUnknown, "attempts-failed", None));
    }

    /// Queues a request again if it may be sent again, or gives it its final answer.
    fn again(&mut self, now: Time, id: Request, resend: bool, last: Refusal) {
        let Some(row) = self.requests.get(&id) else { return };
        if !resend {
            self.give_up(now, id, last);
            return;
        }
        let spent = MAX_FRUITLESS <= row.fruitless || MAX_ATTEMPTS <= row.sent;
        if spent || (!row.started && row.deadline <= now) {
            self.give_up(now, id, last);
            return;
        }
        // A stream under way isn't charged to the budget: an engine's crash breaks many at once, and
        // each must be completed. What bounds them is that they must make progress.
        let resumes = row.started && row.resume.is_some();
        let Some(pool) = self.pools.get_mut(&row.arrival.model) else { return };
        if !resumes && !pool.retries.withdraw(now) {
            let last = Refusal { reason: "retry-budget", ..last };
            self.give_up(now, id, last);
            return;
        }
        self.requeue(now, id);
    }

    fn requeue(&mut self, now: Time, id: Request) {
        let Some(row) = self.requests.get_mut(&id) else { return };
        // The work was charged when it was first sent; its organisation isn't to blame for the rest.
        row.work = 0.0;
        let latest = if row.started { Time::MAX } else { row.deadline };
        let mut item = row.item(latest.min(now + RESUME_WAIT));
        if row.started {
            item.priority = RESUME_PRIORITY;
        }
        let scopes = row.scopes();
        let model = row.arrival.model.clone();
        let weight = self.weight(&item.organisation);
        let Some(pool) = self.pools.get_mut(&model) else { return };
        pool.queue.push(item, weight);
        pool.dirty = true;
        self.ledger.wait(&scopes);
    }
}

/// Tokens that an attempt used of its server's limits; `None` when it didn't run.
fn used(row: &attempt::Row, outcome: Outcome) -> Option<f64> {
    let generated = match outcome {
        Outcome::NotRun(_) => return None,
        Outcome::Complete { tokens } | Outcome::Broken { delivered: tokens } => tokens,
        Outcome::Failed(_) => 0,
    };
    Some(f64::from(row.prompt) + f64::from(generated))
}

/// The code that may be told to the caller: "not run" only if no attempt may have run.
fn truthful(row: &request::Row, code: Code) -> Code {
    if row.may_have_run {
        return Code::RetriesExhausted;
    }
    if code.execution() == Execution::NotRun { code } else { Code::ServerRefused }
}
