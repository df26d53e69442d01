//! System: decides on arrivals whether they may wait at all.

use std::time::Duration;

use rand::Rng;
use shallotlead_base::{code::Code, id::Request, time::Time};

use super::{
    Router,
    request::{self, Row},
    timer::Kind,
};
use crate::{
    explain::Candidate,
    input::State,
    limit::{LONGEST_RETRY, Verdict},
    placement::Ranking,
    request::Arrival,
};

/// How long a request may wait for an allowance before a limit refuses it.
const ALLOWANCE_WAIT: Duration = Duration::from_secs(1);
/// Time between two looks at a request that waits for an allowance.
const ALLOWANCE_POLL: Duration = Duration::from_millis(50);
/// How long a request without a deadline may wait to be sent.
const PATIENCE: Duration = Duration::from_secs(30);
/// How long a request waits for a server whose state isn't known yet.
const UNKNOWN_WAIT: Duration = Duration::from_secs(2);
/// Most work that may wait before a model's servers, in seconds of its drain rate.
const MAX_DELAY: f64 = 10.0;
/// Most requests that may wait for one model.
const MAX_WAITING: usize = 2_048;
/// Requests waiting from which on a queue is a backlog that the servers work off. A shorter one waits
/// for single servers while others are idle: how fast it drains says nothing of what they could do.
pub(super) const BACKLOG: usize = 8;
/// Time between two looks for requests that others overtook.
const PRUNE: Duration = Duration::from_millis(100);
/// When to come back where nothing better is known.
const COME_BACK: Duration = Duration::from_secs(1);

/// A refusal in the making.
#[derive(Clone, Debug)]
pub(super) struct Refusal {
    pub(super) code: Code,
    pub(super) reason: &'static str,
    pub(super) retry_after: Option<Duration>,
    pub(super) candidates: Vec<Candidate>,
}

impl Router {
    /// Queues a request, holds it until its limits are known, or refuses it.
    pub(super) fn admit(&mut self, now: Time, mut arrival: Arrival) {
        let id = arrival.id;
        if self.requests.contains_key(&id) {
            return;
        }
        if let Some(it) = self.table.organisations.get(&arrival.organisation) {
            arrival.priority = arrival.priority.min(it.max_priority);
        }
        if let Some(block) = arrival.chain.blocks.first() {
            self.heat.count(now, *block);
        }
        let tokens = request::most_tokens(&arrival);
        self.ledger.wanted(now, &request::scopes(&arrival), tokens);
        self.seq += 1;
        let row = Row::new(now, arrival, self.seq);
        self.timers.set(row.deadline, id, Kind::Deadline);
        self.requests.insert(id, row);
        if self.draining {
            self.refuse(now, id, refusal(Code::ShuttingDown, "draining", None));
            return;
        }
        self.limit(now, id);
    }

    /// Checks the limits of a request that isn't queued yet.
    pub(super) fn limit(&mut self, now: Time, id: Request) {
        let Some(row) = self.requests.get_mut(&id) else { return };
        let scopes = row.scopes();
        let tokens = request::most_tokens(&row.arrival);
        match self.ledger.check(now, &scopes, tokens) {
            Verdict::Fits => {
                row.charge = Some(self.ledger.charge(now, &scopes, tokens));
                self.enqueue(now, id);
            }
            Verdict::Later { code, reason, retry_after, shared } => {
                // An allowance may be under way: this instance's share isn't the whole limit.
                let held = shared && self.ledger.shared(now);
                let until = row.deadline.min(row.arrived + ALLOWANCE_WAIT);
                if held && now < until {
                    let next = (now + ALLOWANCE_POLL).min(until);
                    self.timers.set(next, id, Kind::Held);
                    return;
                }
                let retry_after = retry_after.or(held.then_some(COME_BACK));
                let retry_after = retry_after.map(|it| it.min(LONGEST_RETRY));
                self.refuse(now, id, refusal(code, reason, retry_after));
            }
        }
    }

    fn enqueue(&mut self, now: Time, id: Request) {
        if let Some(it) = self.no_server(id) {
            self.refuse(now, id, it);
            return;
        }
        let ranking = self.rank_open(now, id);
        let Some(row) = self.requests.get(&id) else { return };
        let Some(row_pool) = self.pools.get(&row.arrival.model) else { return };
        let expected = ranking
            .choice
            .as_ref()
            .map_or(Duration::ZERO, |it| row_pool.trust.correct(now, it.expected));
        let uncached =
            ranking.choice.as_ref().map_or(row.arrival.chain.tokens, |it| it.uncached_tokens);
        let organisation = row.arrival.organisation.clone();
        let work = row_pool.work(&organisation, uncached, row.arrival.max_tokens);
        let weight = self.weight(&organisation);
        let latest = match (row.arrival.deadline, &ranking.choice) {
            (Some(_), _) => row.deadline - least(&ranking, expected),
            (None, Some(_)) => now + PATIENCE,
            (None, None) => now + UNKNOWN_WAIT,
        };
        let Some(row) = self.requests.get_mut(&id) else { return };
        row.work = work;
        row.uncached = uncached;
        let item = row.item(latest);
        let deadline = row.deadline;
        let scopes = row.scopes();
        let model = row.arrival.model.clone();
        let Some(pool) = self.pools.get_mut(&model) else { return };
        let delay = match pool.meter.rate() {
            Some(rate) if BACKLOG <= pool.queue.len() => pool.queue.ahead(&item, weight) / rate,
            _ => 0.0,
        };
        let delay = Duration::from_secs_f64(delay.min(LONGEST_RETRY.as_secs_f64()));
        let first_token = now + delay + expected;
        if deadline < first_token {
            let idle = now + least(&ranking, expected);
            let over = first_token.since(deadline);
            // Coming back helps only if the wait is to blame, not the prompt's own length.
            let retry_after = (idle <= deadline).then(|| self.spread(over));
            let refusal = Refusal {
                candidates: ranking.candidates,
                ..refusal(Code::DeadlineUnreachable, "deadline", retry_after)
            };
            self.refuse(now, id, refusal);
            return;
        }
        pool.queue.push(item, weight);
        pool.dirty = true;
        self.ledger.wait(&scopes);
        self.shed(now, &model);
    }

    /// Refuses what is queued over the bound, the least worthy first.
    fn shed(&mut self, now: Time, model: &shallotlead_base::name::Model) {
        loop {
            let Some(pool) = self.pools.get(model) else { return };
            let rate = pool.meter.rate();
            let delay = match rate {
                Some(it) if BACKLOG <= pool.queue.len() => pool.queue.work() / it,
                _ => 0.0,
            };
            if pool.queue.len() <= MAX_WAITING && delay <= MAX_DELAY {
                return;
            }
            let Some(worst) = pool.queue.worst() else { return };
            let retry_after = Duration::from_secs_f64(delay.clamp(1.0, MAX_DELAY));
            let retry_after = Some(self.spread(retry_after));
            self.drop_waiting(now, worst, refusal(Code::Overloaded, "overload", retry_after));
        }
    }

    /// Refuses requests that waited until they couldn't be on time any more.
    pub(super) fn expire(&mut self, now: Time, model: &shallotlead_base::name::Model) {
        let Some(pool) = self.pools.get_mut(model) else { return };
        let mut late = pool.queue.expired(now);
        if let Some(rate) = pool.meter.rate()
            && BACKLOG <= pool.queue.len()
            && PRUNE <= now.since(pool.pruned)
        {
            pool.pruned = now;
            late.extend(pool.queue.overtaken(now, rate));
        }
        for item in late {
            let refusal = match self.requests.get(&item.request) {
                Some(row) if row.sent == 0 => match self.no_server(item.request) {
                    Some(it) => it,
                    None if row.arrival.deadline.is_some() => {
                        let retry_after = Some(self.spread(COME_BACK));
                        refusal(Code::DeadlineUnreachable, "deadline", retry_after)
                    }
                    None => {
                        let retry_after = Some(self.spread(COME_BACK));
                        refusal(Code::Overloaded, "overload", retry_after)
                    }
                },
                Some(row) if row.may_have_run => {
                    refusal(Code::RetriesExhausted, "no-retry-in-time", None)
                }
                Some(_) => refusal(Code::DeadlineUnreachable, "no-retry-in-time", None),
                None => continue,
            };
            self.leave_queue(&item);
            self.give_up(now, item.request, refusal);
        }
    }

    /// A refusal if no server of the model can take the request, and all are known not to.
    pub(super) fn no_server(&self, id: Request) -> Option<Refusal> {
        let row = self.requests.get(&id)?;
        let model = &row.arrival.model;
        let servers = self.pools.get(model).map_or(&[][..], |it| &it.servers);
        let usable = servers.iter().any(|it| {
            let weight = self.table.servers.get(it).map_or(0.0, |it| it.weight);
            let state = self.servers.get(it).map(|it| it.state);
            0.0 < weight && !matches!(state, Some(State::Down | State::Leaving))
        });
        let retry_after = (!servers.is_empty()).then_some(COME_BACK);
        (!usable).then(|| refusal(Code::NoServer, "no-server", retry_after))
    }

    /// Adds up to half to a delay, so that callers who were refused together don't come back
    /// together.
    pub(super) fn spread(&mut self, delay: Duration) -> Duration {
        delay.mul_f64(self.rng.random_range(1.0..1.5))
    }
}

/// Expected time to first token if nothing were queued at the best server.
fn least(ranking: &Ranking, expected: Duration) -> Duration {
    let best = ranking.choice.as_ref().and_then(|it| ranking.candidates.get(it.index));
    let Some(best) = best else { return expected };
    let prefill = Duration::from_secs_f64((best.prefill / 1e3).max(0.0));
    prefill.min(expected)
}

pub(super) fn refusal(code: Code, reason: &'static str, retry_after: Option<Duration>) -> Refusal {
    Refusal { code, reason, retry_after, candidates: Vec::new() }
}
