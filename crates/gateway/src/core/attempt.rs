//! One try of a request at one backend server.

use std::time::Duration;

use shallotlead_base::time::Time;

use crate::{
    budget::Purpose,
    copies,
    core::{Core, Timer, copy, exchange::Exchange, refusal::Refusal},
    dialect::{Answer, Sending},
    http::{body::Framing, head::Response},
    net::Key,
    pace::Sample,
    placement::Choice,
    pool::{self, Switch},
    quarantine::Standing,
    rollout,
};

/// Longest time for a connection to come about. A lost opening packet is sent again after a second;
/// another server is the shorter way.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// How much later than expected an answer may begin before its server is asked whether it lives.
const LATE_MARGIN: Duration = Duration::from_millis(250);
/// Retries that are kept back when streams leave a server that works, for those that are turned away
/// where they go.
const RESERVED_RETRIES: f64 = 3.0;
/// How often a stream that has begun is sent again after it was turned away, and the pause before.
/// Without the bound, streams that every server turns away would be sent hundreds of times.
const MAX_RESENDS: u8 = 6;
const RESEND_PAUSE: Duration = Duration::from_millis(80);
/// Why a stream leaves a server that works: it may stay as well.
const REASON_LOADING: &str = "loading";
/// Why an attempt ends whose server says nothing.
pub(super) const REASON_SILENT: &str = "silent";
/// How long a server that turned away a request for its weights is left alone, unless its own word on
/// them comes before.
const WEIGHTS_MISMATCH_PAUSE: Duration = Duration::from_millis(400);

/// The head of an answer, as it came and as the dialect reads it.
pub(crate) struct Reply {
    pub(crate) head: Response,
    pub(crate) answer: Answer,
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
    pub(crate) connect_deadline: Time,
    /// When the head of the answer should have come; a server that is later is looked at.
    pub(crate) answer_due: Time,
    pub(crate) weights: Option<u64>,
    /// Prompt tokens that the server had to read.
    pub(crate) uncached_tokens: u32,
    /// Expected time until it began to read, ms.
    wait_ms: f64,
    /// The head of the answer, once it came.
    pub(crate) reply: Option<Reply>,
    /// The run, once it has sent an event.
    pub(crate) run: Option<copies::Run>,
    /// It goes on from a copy of the run's memory.
    pub(crate) is_from_copy: bool,
    /// The answer is long and passed on as it comes.
    pub(crate) is_passed_through: bool,
}

impl Attempt {
    /// Notes that an event came.
    pub(crate) fn record_event(&mut self, now: Time) {
        match &mut self.run {
            Some(run) => run.event(now),
            None => self.run = Some(copies::Run::open(now)),
        }
    }

    /// What its first token, which comes now, tells of the service.
    pub(crate) fn latency_sample(&self, now: Time) -> Sample {
        Sample { unread: self.uncached_tokens, wait_ms: self.wait_ms, took: now.since(self.sent) }
    }
}

impl Core {
    /// Sends the request to the chosen server.
    pub(crate) fn send_attempt(&mut self, place: usize, choice: &Choice) {
        let Some(connection) = self.acquire_connection(choice.server, place) else {
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
        let sending = Sending {
            server: &server.name,
            organisation: exchange.organisation.as_ref().map(|it| &*it.name),
            time_left: Some(left),
            urgency: choice.weights.map(|_| exchange.urgency()),
            cache_scope: scope.as_deref(),
            weights: choice.weights,
            fetch_from: choice.fetch_from,
            save_to: choice.save_to,
            copy_to,
            goes_on_from,
            last_event: exchange.delivery.last_event.or(goes_on_from.map(|_| 0)),
            body: (exchange.head.framing != Framing::Empty).then_some(exchange.body.len()),
        };
        let expected = choice.expected() + LATE_MARGIN;
        let look = now + expected;
        let mut bytes = Vec::with_capacity(1024 + exchange.body.len());
        self.dialect.forward(&exchange.head, &sending, &mut bytes);
        bytes.extend_from_slice(&exchange.body);
        server.inflight += 1;
        exchange.runs += 1;
        exchange.sends += 1;
        exchange.attempt = Some(Attempt {
            server: choice.server,
            connection,
            sent: now,
            connect_deadline: now + CONNECT_TIMEOUT,
            answer_due: now + expected,
            weights: choice.weights,
            uncached_tokens: choice.unread,
            wait_ms: choice.wait_ms,
            reply: None,
            run: None,
            is_from_copy: goes_on_from.is_some(),
            is_passed_through: false,
        });
        let server = self.pool.get(choice.server);
        let replaced = self.pool.named(exchange.ask.model.as_deref().unwrap_or_default());
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
            .number("expected_ms", format_args!("{:.1}", choice.expected_ms))
            .number("unread", choice.unread)
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
            self.stats.prompt(tokens, choice.unread, choice.wait());
            self.memory.placed(now, &mut self.pool, choice.server, &placement);
            self.peers.placed(placement);
        }
        let serial = exchange.serial;
        let is_connecting = self.is_connecting(connection);
        self.net.send(connection, &bytes);
        if is_connecting {
            self.set_timer(now + CONNECT_TIMEOUT, Timer::Exchange(place, serial));
        }
        self.set_timer(look, Timer::Exchange(place, serial));
    }

    /// Ends the attempt, if there is one. `closes`: its connection can't be used again.
    pub(crate) fn release_attempt(&mut self, place: usize, closes: bool) -> Option<Attempt> {
        let attempt = self.exchanges.get_mut(place)?.attempt.take()?;
        let server = self.pool.get_mut(attempt.server);
        server.inflight = server.inflight.saturating_sub(1);
        if closes {
            self.close_backend(attempt.connection);
        }
        Some(attempt)
    }

    /// The server says that it didn't run the request.
    pub(crate) fn attempt_declined(&mut self, place: usize) {
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
            "other-server" => self.pool.replaced(server),
            "other-weights" => {
                let version = weights.unwrap_or(0) + 1;
                row.switch.get_or_insert(Switch { version, until: now + WEIGHTS_MISMATCH_PAUSE });
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
            "other-weights" => self.probe_late(server),
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
            if self.pool.get_mut(attempt.server).health.failed(self.now) {
                self.log_ejected(attempt.server, reason);
            }
            // Others may be about to send there: a probe finds out for all.
            self.probe_late(attempt.server);
            self.dispatch(place);
            return;
        }
        if is_spent {
            self.fail_exchange(place, 502, "copy-gone");
            return;
        }
        if exchange.delivery.has_begun {
            if exchange.resends < MAX_RESENDS {
                exchange.resends += 1;
                self.retry_stream_later(place, reason, RESEND_PAUSE);
            } else {
                self.refuse_or_fail(place, Refusal::Declined);
            }
            return;
        }
        self.stats.resent(reason);
        let instances = self.members.sharers();
        let service = exchange.service.clone();
        if self.budget.withdraw(self.now, &service, instances, Purpose::Request) {
            self.dispatch(place);
        } else {
            self.log_no_budget(place, reason, Purpose::Request);
            self.refuse_or_fail(place, Refusal::Declined);
        }
    }

    /// The attempt may have run and brings no whole answer.
    pub(crate) fn attempt_broken(&mut self, place: usize, reason: &'static str) {
        let Some(exchange) = self.exchanges.get_mut(place) else { return };
        let Some(attempt) = &exchange.attempt else { return };
        let server = attempt.server;
        let first_event = attempt.run.map_or(attempt.sent, |it| it.first());
        let heard = attempt.run.map_or(attempt.sent, |it| it.last());
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
        if self.pool.get_mut(server).health.failed(self.now) {
            self.log_ejected(server, reason);
        }
        self.stats.broken(reason);
        self.stats.servers.at(self.pool.get(server).address).broken();
        if copy::LOST_REASONS.contains(&reason) || reason == REASON_SILENT {
            self.note_lost(place);
            // It may have been ended with the other tries of the same request.
            if !self.exchanges.contains(place) {
                return;
            }
        }
        // A suspect would take the server of its copy along as well.
        let goes_on = match self.standing(place) {
            Standing::Clear => {
                self.continue_at_copy(place, reason) || self.retry_elsewhere(place, reason)
            }
            Standing::Suspect => self.retry_elsewhere(place, reason),
            Standing::Held | Standing::Quarantined => {
                self.fail_exchange(place, 502, "quarantined");
                return;
            }
        };
        if !goes_on && !self.resume_later(place, reason) {
            self.fail_exchange(place, 502, reason);
        }
    }

    /// Sends a request that may run again to another server, if attempts and budget allow.
    pub(crate) fn retry_elsewhere(&mut self, place: usize, reason: &'static str) -> bool {
        let instances = self.members.sharers();
        let Some(exchange) = self.exchanges.get(place) else { return false };
        if !exchange.is_repeatable() {
            return false;
        }
        if exchange.route.attempts <= exchange.runs {
            self.log_no_attempt(place, reason);
            return false;
        }
        let service = exchange.service.clone();
        let purpose = match exchange.delivery.has_begun && reason != REASON_LOADING {
            true => Purpose::Stream,
            false => Purpose::Request,
        };
        if !self.budget.withdraw(self.now, &service, instances, purpose) {
            self.log_no_budget(place, reason, purpose);
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
    pub(crate) fn log_no_budget(&mut self, place: usize, reason: &str, purpose: Purpose) {
        let instances = self.members.sharers();
        let Some(exchange) = self.exchanges.get(place) else { return };
        let left = self.budget.left(self.now, &exchange.service, instances, purpose);
        let (requests, retries) = self.budget.counted(self.now, &exchange.service);
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
    fn log_no_attempt(&mut self, place: usize, reason: &str) {
        let Some(exchange) = self.exchanges.get(place) else { return };
        self.journal
            .line(self.now, "no_attempt")
            .text("request", exchange.id())
            .text("reason", reason)
            .number("has_begun", exchange.delivery.has_begun)
            .number("runs", exchange.runs)
            .number("sends", exchange.sends)
            .number("attempts", exchange.route.attempts);
    }

    /// Lets streams that can be resumed leave a server that is about to load weights: the server
    /// waits for the last of its runs, which takes longer than loading.
    pub(crate) fn migrate_streams(&mut self, server: pool::Id) {
        let is_moved = |it: &Exchange| {
            let at_server =
                it.attempt.as_ref().is_some_and(|it| it.server == server && it.reply.is_some());
            let may_leave = it.is_repeatable() && it.runs < it.route.attempts;
            at_server && it.delivery.has_begun && may_leave && self.is_worth_migrating(it)
        };
        let places = self.exchanges.iter().filter(|it| is_moved(it.1)).map(|it| it.0);
        for place in places.collect::<Vec<_>>() {
            let instances = self.members.sharers();
            let Some(service) = self.exchanges.get(place).map(|it| it.service.clone()) else {
                continue;
            };
            if self.budget.left(self.now, &service, instances, Purpose::Request) < RESERVED_RETRIES
            {
                return;
            }
            if let Some(exchange) = self.exchanges.get(place) {
                self.journal
                    .line(self.now, "moved")
                    .text("request", exchange.id())
                    .text("server", &self.pool.get(server).name)
                    .number("last_event", exchange.delivery.last_event.unwrap_or(0));
            }
            self.retry_elsewhere(place, REASON_LOADING);
        }
    }

    fn is_worth_migrating(&self, exchange: &Exchange) -> bool {
        let Some(begun) = exchange.delivery.first_piece else { return false };
        let tokens = exchange.ask.parts.iter().map(|it| it.tokens).sum();
        let again_ms = self.pool.pace(&exchange.service).occupies(tokens);
        rollout::leaves(Duration::from_secs_f64(again_ms / 1e3), self.now.since(begun))
    }

    /// A server doesn't answer at all: no request is sent to it until a probe succeeds, and those that
    /// may run again go elsewhere.
    pub(crate) fn server_unresponsive(&mut self, server: pool::Id) {
        if !self.pool.get_mut(server).health.is_silent(self.now) {
            return;
        }
        self.log_ejected(server, "silent");
        self.close_idle(server);
        self.tell_silent(server);
        let places = self.exchanges_at(server).filter(|it| it.1.is_repeatable());
        for place in places.map(|it| it.0).collect::<Vec<_>>() {
            self.note_lost(place);
            if self.exchanges.contains(place) {
                self.retry_elsewhere(place, REASON_SILENT);
            }
        }
    }

    pub(crate) fn log_ejected(&mut self, server: pool::Id, reason: &str) {
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
