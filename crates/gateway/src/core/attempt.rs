//! One try of a request at one backend server.

use std::time::Duration;

use shallotlead_base::time::Time;

use crate::{adapter::{ForwardOptions, ResponseInfo}, budget::Purpose, copies, core::{Core, Timer, copy, exchange::Exchange, refusal::Refusal}, cost::Sample, http::{body::Framing, head::Response}, net::Key, placement::Choice, pool::{Switch, self}, quarantine::Verdict, rollout};

/// Longest time for a connection to come about. A lost opening packet is sent again after a second;
/// another server is the shorter way.
const CONNECT: Duration = Duration::from_millis(150);
/// How much later than expected an answer may begin before its server is asked whether it lives.
const LATE: Duration = Duration::from_millis(250);
/// Retries that are kept back when streams leave a server that works, for those that are turned away
/// where they go.
const KEPT_BACK: f64 = 3.0;
/// How often a stream that has begun is sent again after it was turned away, and the pause before.
/// Without the bound, streams that every server turns away would be sent hundreds of times.
const MOST_RESENDS: u8 = 6;
const RESEND_PAUSE: Duration = Duration::from_millis(80);
/// Why a stream leaves a server that works: it may stay as well.
const LOADING: &str = "loading";
/// Why an attempt ends whose server says nothing.
pub(super) const SILENT: &str = "silent";
/// How long a server that turned away a request for its weights is left alone, unless its own word on
/// them comes before.
const OTHER_WEIGHTS: Duration = Duration::from_millis(400);

/// The head of an answer, as it came and as the dialect reads it.
pub(crate) struct Reply {
    pub(crate) head: Response,
    pub(crate) answer: ResponseInfo,
}

impl Reply {
    pub(crate) fn is_success(&self) -> bool {
        (200..300).contains(&self.head.status)
    }

    /// Whether it claims success without the server's signature: whoever sent it, it was not the server.
    pub(crate) fn is_unsigned(&self) -> bool {
        self.is_success() && !self.answer.is_signed
    }
}

/// One try of a request.
pub(crate) struct Attempt {
    pub(crate) server: pool::Id,
    pub(crate) connection: Key,
    pub(crate) sent: Time,
    pub(crate) connect_until: Time,
    /// When the head of the answer should have come; a server that is later is looked at.
    pub(crate) expected: Time,
    pub(crate) weights: Option<u64>,
    /// Prompt tokens that the server had to read.
    pub(crate) unread: u32,
    /// Expected time until it began to read, ms.
    wait_ms: f64,
    /// The head of the answer, once it came.
    pub(crate) reply: Option<Reply>,
    /// The run, once it has sent an event.
    pub(crate) run: Option<copies::Run>,
    /// It goes on from a copy of the run's memory.
    pub(crate) is_from_copy: bool,
    /// The answer is long and passed on as it comes.
    pub(crate) is_passed_on: bool,
}

impl Attempt {
    /// Notes that an event came.
    pub(crate) fn has_event(&mut self, now: Time) {
        match &mut self.run {
            Some(run) => run.record_event(now),
            None => self.run = Some(copies::Run::new(now)),
        }
    }

    /// What its first token, which comes now, tells of the service.
    pub(crate) fn sample(&self, now: Time) -> Sample {
        Sample {
            uncached_tokens: self.unread,
            wait_ms: self.wait_ms,
            elapsed: now.since(self.sent),
        }
    }
}

impl Core {
    /// Sends the request to the chosen server.
    pub(crate) fn send(&mut self, place: usize, choice: &Choice) {
        let Some(connection) = self.acquire(choice.server, place) else {
            if let Some(exchange) = self.exchanges.get_mut(place) {
                exchange.excluded.push(choice.server);
            }
            self.dispatch(place);
            return;
        };
        let now = self.now;
        let copy = self.copy_target(place, choice);
        let copy_to = copy.map(|it| self.pool.get(it).address);
        let Some(exchange) = self.exchanges.get_mut(place) else { return };
        exchange.copy = copy;
        let goes_on_from = exchange.goes_on_from.take();
        let server = self.pool.get_mut(choice.server);
        let scope = choice.weights.map(|it| cache_scope(it, exchange.wall()));
        let left = exchange.deadline.since(now);
        let sending = ForwardOptions {
            server: &server.name,
            organisation: exchange.organisation.as_ref().map(|it| &*it.name),
            time_left: Some(left),
            priority: choice.weights.map(|_| exchange.urgency()),
            cache_scope: scope.as_deref(),
            weights: choice.weights,
            fetch_from: choice.fetch_from,
            save_to: choice.save_to,
            copy_to,
            resume_from: goes_on_from,
            last_event: exchange.delivery.last_event.or(goes_on_from.map(|_| 0)),
            body_len: (exchange.head.framing != Framing::Empty).then_some(exchange.body.len()),
        };
        let expected = choice.first_token() + LATE;
        let look = now + expected;
        let mut bytes = Vec::with_capacity(1024 + exchange.body.len());
        self.dialect.write_request(&exchange.head, &sending, &mut bytes);
        bytes.extend_from_slice(&exchange.body);
        server.inflight += 1;
        exchange.runs += 1;
        exchange.sends += 1;
        exchange.attempt = Some(Attempt {
            server: choice.server,
            connection,
            sent: now,
            connect_until: now + CONNECT,
            expected: now + expected,
            weights: choice.weights,
            unread: choice.uncached_tokens,
            wait_ms: choice.wait_ms,
            reply: None,
            run: None,
            is_from_copy: goes_on_from.is_some(),
            is_passed_on: false,
        });
        let server = self.pool.get(choice.server);
        let replaced = self.pool.weight_versions(exchange.ask.model.as_deref().unwrap_or_default());
        let replaced = replaced.and_then(|it| it.replaced_since(choice.weights?));
        let load_age = server.load.map_or(Duration::ZERO, |it| now.since(it.1));
        self.journal
            .line(now, "sent")
            .text("request", exchange.id())
            .text("route", &exchange.route.name)
            .number("try", exchange.sends)
            .text("server", &server.name)
            .number("candidates", choice.candidates)
            .number("score_ms", format_args!("{:.1}", choice.score))
            .number("wait_ms", format_args!("{:.1}", choice.wait_ms))
            .number("expected_ms", format_args!("{:.1}", choice.first_token_ms))
            .number("unread", choice.uncached_tokens)
            .number("weights", choice.weights.unwrap_or(0))
            .ms("replaced_ms", replaced.map_or(Duration::ZERO, |it| now.since(it)))
            .number("fetches", choice.fetch_from.is_some())
            .number("is_copied", copy.is_some())
            .number("is_limited", server.limit.per_second().is_some())
            .ms("load_age_ms", load_age)
            .ms("left_ms", left)
            .ms("after_ms", now.since(exchange.arrived));
        if copy.is_some() {
            self.stats.copied();
        }
        // What goes on has been read already.
        if choice.weights.is_some() && goes_on_from.is_none() {
            let placement = choice.placement(server, &exchange.ask.parts, exchange.wall());
            let tokens = exchange.ask.parts.iter().map(|it| it.tokens).sum();
            self.stats.prompt(tokens, choice.uncached_tokens, choice.wait());
            self.memory.record(now, &mut self.pool, choice.server, &placement);
            self.peers.placed(placement);
        }
        let serial = exchange.serial;
        let is_connecting = self.is_connecting(connection);
        self.net.send(connection, &bytes);
        if is_connecting {
            self.at(now + CONNECT, Timer::Exchange(place, serial));
        }
        self.at(look, Timer::Exchange(place, serial));
    }

    /// Ends the attempt, if there is one. `closes`: its connection can't be used again.
    pub(crate) fn release_attempt(&mut self, place: usize, closes: bool) -> Option<Attempt> {
        let attempt = self.exchanges.get_mut(place)?.attempt.take()?;
        let server = self.pool.get_mut(attempt.server);
        server.inflight = server.inflight.saturating_sub(1);
        if closes {
            self.drop_backend(attempt.connection);
        }
        Some(attempt)
    }

    /// The server says that it didn't run the request.
    pub(crate) fn turned_away(&mut self, place: usize) {
        let now = self.now;
        let Some(exchange) = self.exchanges.get_mut(place) else { return };
        let Some(attempt) = &exchange.attempt else { return };
        let Some(Reply { head, answer }) = &attempt.reply else { return };
        exchange.delivery.pending.clear();
        let server = attempt.server;
        let weights = attempt.weights;
        let row = self.pool.get_mut(server);
        let reason = match head.status {
            421 if answer.server.as_deref().is_some_and(|it| it != &*row.name) => "other-server",
            421 => "other-weights",
            _ if attempt.is_from_copy => "no-copy",
            _ => "full",
        };
        match reason {
            "other-server" => self.pool.mark_replaced(server),
            "other-weights" => {
                let version = weights.unwrap_or(0) + 1;
                row.switch.get_or_insert(Switch { version, until: now + OTHER_WEIGHTS });
            }
            _ => {}
        }
        self.journal
            .line(now, "turned_away")
            .text("request", exchange.id())
            .text("server", &self.pool.get(server).name)
            .text("reason", reason)
            .number("status", head.status)
            .ms("after_ms", now.since(exchange.arrived));
        match reason {
            "other-server" => self.server_crashed(server),
            "other-weights" => self.look_at(server),
            _ => {}
        }
        self.attempt_not_run(place, reason, false);
    }

    /// The attempt certainly did not run: the request may be sent elsewhere. `is_failure`: the
    /// server is to blame. An attempt whose connection never came about arrived nowhere, so that
    /// it draws nothing from the budget.
    pub(crate) fn attempt_not_run(&mut self, place: usize, reason: &'static str, is_failure: bool) {
        let Some(attempt) = self.release_attempt(place, true) else { return };
        let Some(exchange) = self.exchanges.get_mut(place) else { return };
        exchange.runs -= 1;
        exchange.excluded.push(attempt.server);
        let is_spent = exchange.is_spent();
        self.stats.servers.at(self.pool.get(attempt.server).address).not_run();
        if is_failure {
            exchange.sends -= 1;
            self.journal
                .line(self.now, "not_sent")
                .text("request", exchange.id())
                .text("server", &self.pool.get(attempt.server).name)
                .text("reason", reason);
            if self.pool.get_mut(attempt.server).health.record_failure(self.now) {
                self.log_left_out(attempt.server, reason);
            }
            // Others may be about to send there: a probe finds out for all.
            self.look_at(attempt.server);
            self.dispatch(place);
            return;
        }
        if is_spent {
            self.fail(place, 502, "copy-gone");
            return;
        }
        if exchange.delivery.has_begun {
            if exchange.resends < MOST_RESENDS {
                exchange.resends += 1;
                self.await_retry(place, reason, RESEND_PAUSE);
            } else {
                self.give_up(place, Refusal::TurnedAway);
            }
            return;
        }
        self.stats.resent(reason);
        let instances = self.members.budget_sharers();
        let service = exchange.service.clone();
        if self.budget.withdraw(self.now, &service, instances, Purpose::Request) {
            self.dispatch(place);
        } else {
            self.no_budget(place, reason, Purpose::Request);
            self.give_up(place, Refusal::TurnedAway);
        }
    }

    /// The attempt may have run and brings no whole answer.
    pub(crate) fn attempt_broken(&mut self, place: usize, reason: &'static str) {
        let Some(exchange) = self.exchanges.get_mut(place) else { return };
        let Some(attempt) = &exchange.attempt else { return };
        let server = attempt.server;
        let first_event = attempt.run.map_or(attempt.sent, |it| it.first_event());
        let heard = attempt.run.map_or(attempt.sent, |it| it.last_event());
        exchange.delivery.pending.clear();
        self.journal
            .line(self.now, "broken")
            .text("request", exchange.id())
            .text("identity", &exchange.identity().to_string())
            .text("server", &self.pool.get(server).name)
            .text("reason", reason)
            .number("last_event", exchange.delivery.last_event.unwrap_or(0))
            .ms("sent_ms", self.now.since(attempt.sent))
            .ms("first_event_ms", first_event.since(attempt.sent))
            .ms("heard_ms", heard.since(attempt.sent));
        if self.pool.get_mut(server).health.record_failure(self.now) {
            self.log_left_out(server, reason);
        }
        self.stats.broken(reason);
        self.stats.servers.at(self.pool.get(server).address).broken();
        if copy::LOST.contains(&reason) || reason == SILENT {
            self.note_lost(place);
            // It may have been ended with the other tries of the same request.
            if !self.exchanges.contains(place) {
                return;
            }
        }
        // A suspect would take the server of its copy along as well.
        let goes_on = match self.standing(place) {
            Verdict::Clear => self.go_on(place, reason) || self.try_again(place, reason),
            Verdict::Suspect => self.try_again(place, reason),
            Verdict::Held | Verdict::Quarantined => {
                self.fail(place, 502, "quarantined");
                return;
            }
        };
        if !goes_on && !self.await_resumption(place, reason) {
            self.fail(place, 502, reason);
        }
    }

    /// Sends a request that may run again to another server, if attempts and budget allow.
    pub(crate) fn try_again(&mut self, place: usize, reason: &'static str) -> bool {
        let instances = self.members.budget_sharers();
        let Some(exchange) = self.exchanges.get(place) else { return false };
        if !exchange.is_repeatable() {
            return false;
        }
        if exchange.route.max_attempts <= exchange.runs {
            self.no_attempt(place, reason);
            return false;
        }
        let service = exchange.service.clone();
        let purpose = match exchange.delivery.has_begun && reason != LOADING {
            true => Purpose::Stream,
            false => Purpose::Request,
        };
        if !self.budget.withdraw(self.now, &service, instances, purpose) {
            self.no_budget(place, reason, purpose);
            return false;
        }
        self.stats.resent(reason);
        let attempt = self.release_attempt(place, true);
        let Some(exchange) = self.exchanges.get_mut(place) else { return false };
        exchange.delivery.pending.clear();
        exchange.excluded.extend(attempt.map(|it| it.server));
        self.dispatch(place);
        true
    }

    /// What is sent to the server and not ended.
    pub(crate) fn exchanges_at(
        &self,
        server: pool::Id,
    ) -> impl Iterator<Item = (usize, &Exchange)> {
        let is_there =
            move |it: &Exchange| it.attempt.as_ref().is_some_and(|it| it.server == server);
        self.exchanges.iter().filter(move |it| is_there(it.1))
    }

    /// The retry budget doesn't allow what would follow.
    pub(crate) fn no_budget(&mut self, place: usize, reason: &str, purpose: Purpose) {
        let instances = self.members.budget_sharers();
        let Some(exchange) = self.exchanges.get(place) else { return };
        let left = self.budget.remaining(self.now, &exchange.service, instances, purpose);
        let (requests, retries) = self.budget.counts(self.now, &exchange.service);
        self.journal
            .line(self.now, "no_budget")
            .text("request", exchange.id())
            .text("reason", reason)
            .number("has_begun", exchange.delivery.has_begun)
            .number("resends", exchange.resends)
            .number("requests", requests)
            .number("retries", retries)
            .number("instances", instances)
            .number("left", format_args!("{left:.2}"));
    }

    /// A request that may run again has been sent as often as its route allows.
    fn no_attempt(&mut self, place: usize, reason: &str) {
        let Some(exchange) = self.exchanges.get(place) else { return };
        self.journal
            .line(self.now, "no_attempt")
            .text("request", exchange.id())
            .text("reason", reason)
            .number("has_begun", exchange.delivery.has_begun)
            .number("runs", exchange.runs)
            .number("sends", exchange.sends)
            .number("attempts", exchange.route.max_attempts);
    }

    /// Lets streams that can be resumed leave a server that is about to load weights: the server
    /// waits for the last of its runs, which takes longer than loading.
    pub(crate) fn move_streams(&mut self, server: pool::Id) {
        let is_moved = |it: &Exchange| {
            let at_server =
                it.attempt.as_ref().is_some_and(|it| it.server == server && it.reply.is_some());
            let may_leave = it.is_repeatable() && it.runs < it.route.max_attempts;
            at_server && it.delivery.has_begun && may_leave && self.is_worth_leaving(it)
        };
        let places = self.exchanges.iter().filter(|it| is_moved(it.1)).map(|it| it.0);
        for place in places.collect::<Vec<_>>() {
            let instances = self.members.budget_sharers();
            let Some(service) = self.exchanges.get(place).map(|it| it.service.clone()) else {
                continue;
            };
            if self.budget.remaining(self.now, &service, instances, Purpose::Request) < KEPT_BACK {
                return;
            }
            if let Some(exchange) = self.exchanges.get(place) {
                self.journal
                    .line(self.now, "moved")
                    .text("request", exchange.id())
                    .text("server", &self.pool.get(server).name)
                    .number("last_event", exchange.delivery.last_event.unwrap_or(0));
            }
            self.try_again(place, LOADING);
        }
    }

    fn is_worth_leaving(&self, exchange: &Exchange) -> bool {
        let Some(begun) = exchange.delivery.first_piece else { return false };
        let tokens = exchange.ask.parts.iter().map(|it| it.tokens).sum();
        let again_ms = self.pool.cost(&exchange.service).occupancy_ms(tokens);
        rollout::should_move_stream(Duration::from_secs_f64(again_ms / 1e3), self.now.since(begun))
    }

    /// A server doesn't answer at all: no request is sent to it until a probe succeeds, and those that
    /// may run again go elsewhere.
    pub(crate) fn server_silent(&mut self, server: pool::Id) {
        if !self.pool.get_mut(server).health.mark_unresponsive(self.now) {
            return;
        }
        self.log_left_out(server, "silent");
        self.drop_idle(server);
        self.tell_silent(server);
        let places = self.exchanges_at(server).filter(|it| it.1.is_repeatable());
        for place in places.map(|it| it.0).collect::<Vec<_>>() {
            self.note_lost(place);
            if self.exchanges.contains(place) {
                self.try_again(place, SILENT);
            }
        }
    }

    pub(crate) fn log_left_out(&mut self, server: pool::Id, reason: &str) {
        self.journal
            .line(self.now, "server_left_out")
            .text("server", &self.pool.get(server).name)
            .text("reason", reason);
    }
}

/// The scope within which cached prompts are shared.
///
/// Guards against an answer that rests on another organisation's prompt or on older weights, which
/// nobody would notice from outside. It holds since servers find cached parts only under the same
/// text, and a request under one version's text runs on that version alone.
fn cache_scope(weights: u64, wall: Option<&str>) -> String {
    match wall {
        None => format!("w{weights}"),
        Some(organisation) => format!("w{weights}/{organisation}"),
    }
}
