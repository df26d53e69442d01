//! One try of a request at one backend server.

use std::time::Duration;

use shallotlead_base::time::Time;

use crate::{
    budget::Purpose,
    core::{
        Core, Timer,
        exchange::{Exchange, Refusal},
    },
    dialect::{Answer, Sending},
    events::{self, Cut},
    gossip::Placement,
    http::{body::Framing, head::Response, write},
    net::Key,
    placement::{self, Choice},
    pool::{self, Switch},
};

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
/// Bytes that a slow caller may leave unread here before its server is held up.
const MAX_UNSENT: usize = 64 * 1024;
/// Longest answer that is held until it is complete, so that a broken one can be asked for again.
const MAX_WHOLE: usize = 512 * 1024;
/// How long a server that turned away a request for its weights is left alone, unless its own word on
/// them comes before.
const OTHER_WEIGHTS: Duration = Duration::from_millis(400);

/// One try of a request.
pub(crate) struct Attempt {
    pub(crate) server: pool::Id,
    pub(crate) connection: Key,
    pub(crate) sent: Time,
    pub(crate) connect_until: Time,
    /// When the head of the answer should have come; a server that is later is looked at.
    pub(crate) expected: Time,
    /// The head of the answer came.
    pub(crate) has_head: bool,
    weights: Option<u64>,
    /// Prompt tokens that the server had to read.
    pub(crate) unread: u32,
    answer: Option<Response>,
    /// The answer is long and passed on as it comes.
    is_passed_on: bool,
}

impl Attempt {
    fn is_stream(&self, exchange: &Exchange) -> bool {
        let head = self.answer.as_ref();
        exchange.route.is_stream && head.is_some_and(|it| (200..300).contains(&it.status))
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
        let Some(exchange) = self.exchanges.get_mut(place) else { return };
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
            last_event: exchange.delivery.last_event,
            body: (exchange.head.framing != Framing::Empty).then_some(exchange.body.len()),
        };
        let expected = choice.expected() + LATE;
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
            connect_until: now + CONNECT,
            expected: now + expected,
            has_head: false,
            weights: choice.weights,
            unread: choice.unread,
            answer: None,
            is_passed_on: false,
        });
        let load_age = server.load.map_or(Duration::ZERO, |it| now.since(it.1));
        self.journal
            .line(now, "sent")
            .text("request", exchange.ask.id.as_deref().unwrap_or_default())
            .text("route", &exchange.route.name)
            .number("try", exchange.sends)
            .text("server", &server.name)
            .number("candidates", choice.candidates)
            .number("score_ms", format_args!("{:.1}", choice.score))
            .number("wait_ms", format_args!("{:.1}", choice.wait_ms))
            .number("unread", choice.unread)
            .number("weights", choice.weights.unwrap_or(0))
            .number("fetches", choice.fetch_from.is_some())
            .ms("load_age_ms", load_age)
            .ms("left_ms", left)
            .ms("after_ms", now.since(exchange.arrived));
        if choice.weights.is_some() {
            let placement = Placement {
                server: server.name.clone(),
                scope: placement::scope(choice.weights, exchange.wall()),
                parts: placement::shared(&exchange.ask.parts).to_vec(),
                added: choice.added,
                unread: choice.unread,
            };
            self.memory.placed(now, &mut self.pool, choice.server, &placement);
            self.peers.placed(placement);
        }
        let serial = exchange.serial;
        let is_connecting = self.net.get_mut(connection).is_some_and(|it| it.is_connecting());
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

    /// The head of the answer came.
    pub(crate) fn attempt_head(&mut self, place: usize, head: &Response, answer: &Answer) {
        let now = self.now;
        let Some(exchange) = self.exchanges.get_mut(place) else { return };
        let Some(attempt) = &mut exchange.attempt else { return };
        let server = self.pool.get_mut(attempt.server);
        if let Some(load) = answer.load {
            server.load = Some((load, now));
            self.peers.loaded(now, attempt.server, load);
        }
        if let (Some(version), Some(model)) = (answer.weights, &exchange.ask.model) {
            server.loaded(now, model, version);
        }
        attempt.has_head = true;
        attempt.answer = Some(head.clone());
        if head.status < 500 && !answer.is_not_run {
            server.health.succeeded();
        }
        if 500 <= head.status && !answer.is_not_run && server.health.erred(now) {
            let server = attempt.server;
            self.log_left_out(server, "errors");
        }
    }

    /// Part of the answer's body came; `done`: the last one. Says whether the attempt goes on.
    pub(crate) fn take_body(&mut self, place: usize, body: &[u8], done: bool) -> bool {
        let Some(exchange) = self.exchanges.get_mut(place) else { return false };
        let Some(attempt) = &exchange.attempt else { return false };
        if attempt.is_stream(exchange) {
            return self.relay(place, body, done);
        }
        exchange.delivery.pending.extend_from_slice(body);
        // Guards against taking a refusal for the rest of a stream: a stream that goes on at another
        // server may be turned away there, while its caller already has a head and some events. It
        // shows as streams that are broken off right after a 503. Only an answer that is being passed
        // on itself is passed on further.
        if attempt.is_passed_on || MAX_WHOLE < exchange.delivery.pending.len() {
            return self.pass_on(place);
        }
        if !done {
            return true;
        }
        self.judge(place)
    }

    /// A whole answer came: passes it on, or finds that the request wasn't run or may run again.
    /// Says whether the exchange is to be finished with it.
    fn judge(&mut self, place: usize) -> bool {
        let Some(exchange) = self.exchanges.get(place) else { return false };
        let Some(attempt) = &exchange.attempt else { return false };
        let Some(head) = attempt.answer.clone() else { return false };
        let answer = self.dialect.answer(&head);
        if answer.is_not_run {
            self.turned_away(place, &head, &answer);
            return false;
        }
        if (200..300).contains(&head.status) && !answer.is_signed {
            self.attempt_broken(place, "unsigned");
            return false;
        }
        if exchange.delivery.has_begun {
            // The caller has another answer's head already.
            self.attempt_broken(place, "server-error");
            return false;
        }
        let may_repeat = 500 <= head.status && exchange.is_repeatable();
        if may_repeat && self.try_again(place, "server-error") {
            return false;
        }
        let Some(exchange) = self.exchanges.get_mut(place) else { return false };
        let body = std::mem::take(&mut exchange.delivery.pending);
        let keeps = exchange.head.keeps_alive() && self.leaving_since.is_none();
        let mut bytes = Vec::with_capacity(512 + body.len());
        write::status_line(&mut bytes, head.status);
        self.dialect.give_back(&head.fields, &mut bytes);
        write::number(&mut bytes, "Content-Length", body.len() as u64);
        if !keeps {
            write::field(&mut bytes, "Connection", b"close");
        }
        write::end(&mut bytes);
        bytes.extend_from_slice(&body);
        exchange.delivery.first_piece.get_or_insert(self.now);
        let caller = exchange.caller;
        self.net.send(caller, &bytes);
        true
    }

    /// Passes on a long answer as it comes.
    fn pass_on(&mut self, place: usize) -> bool {
        let Some(exchange) = self.exchanges.get(place) else { return false };
        let Some(head) = exchange.attempt.as_ref().and_then(|it| it.answer.clone()) else {
            return false;
        };
        let answer = self.dialect.answer(&head);
        if answer.is_not_run || ((200..300).contains(&head.status) && !answer.is_signed) {
            self.attempt_broken(place, "unsigned");
            return false;
        }
        self.begin_stream(place, &head);
        let Some(exchange) = self.exchanges.get_mut(place) else { return false };
        if let Some(attempt) = &mut exchange.attempt {
            attempt.is_passed_on = true;
        }
        let body = std::mem::take(&mut exchange.delivery.pending);
        let caller = exchange.caller;
        let mut bytes = Vec::with_capacity(body.len() + 16);
        write::chunk(&mut bytes, &body);
        self.net.send(caller, &bytes);
        true
    }

    /// Passes on the events of a stream that are complete.
    fn relay(&mut self, place: usize, body: &[u8], done: bool) -> bool {
        let Some(exchange) = self.exchanges.get_mut(place) else { return false };
        let Some(attempt) = &exchange.attempt else { return false };
        let Some(head) = attempt.answer.clone() else { return false };
        let delivery = &mut exchange.delivery;
        delivery.pending.extend_from_slice(body);
        let cut = events::cut(&mut delivery.pending, delivery.last_event, done);
        let Cut { bytes, last_event, weights } = match cut {
            Ok(it) => it,
            Err(events::Gap) => {
                self.attempt_broken(place, "events-out-of-order");
                return false;
            }
        };
        let server = attempt.server;
        delivery.last_event = last_event;
        if let (Some(version), Some(model)) = (weights, &exchange.ask.model) {
            self.pool.get_mut(server).loaded(self.now, model, version);
        }
        if !exchange.delivery.has_begun {
            let answer = self.dialect.answer(&head);
            if bytes.is_empty() && !done {
                return true;
            }
            let waited = Choice::waited(attempt.unread, self.now.since(attempt.sent));
            self.pool.get_mut(server).has_waited(self.now, waited.as_millis() as u32);
            if !answer.is_signed {
                self.attempt_broken(place, "unsigned");
                return false;
            }
            self.begin_stream(place, &head);
        }
        let now = self.now;
        let Some(exchange) = self.exchanges.get_mut(place) else { return false };
        exchange.delivery.last_piece = now;
        let caller = exchange.caller;
        let mut out = Vec::with_capacity(bytes.len() + 24);
        write::chunk(&mut out, &bytes);
        self.net.send(caller, &out);
        true
    }

    fn begin_stream(&mut self, place: usize, head: &Response) {
        let keeps = self.leaving_since.is_none();
        let Some(exchange) = self.exchanges.get_mut(place) else { return };
        if exchange.delivery.has_begun {
            return;
        }
        exchange.delivery.has_begun = true;
        exchange.delivery.first_piece = Some(self.now);
        let mut bytes = Vec::with_capacity(512);
        write::status_line(&mut bytes, head.status);
        self.dialect.give_back(&head.fields, &mut bytes);
        write::field(&mut bytes, "Transfer-Encoding", b"chunked");
        if !keeps || !exchange.head.keeps_alive() {
            write::field(&mut bytes, "Connection", b"close");
        }
        write::end(&mut bytes);
        let caller = exchange.caller;
        self.net.send(caller, &bytes);
    }

    /// The answer is complete.
    pub(crate) fn finish(&mut self, place: usize) {
        self.release_attempt(place, false);
        let Some(exchange) = self.exchanges.try_remove(place) else { return };
        if exchange.delivery.has_begun {
            self.net.send(exchange.caller, write::LAST_CHUNK);
        }
        let now = self.now;
        let first = exchange.delivery.first_piece.unwrap_or(now).since(exchange.arrived);
        self.journal
            .line(now, "answered")
            .text("request", exchange.id())
            .text("route", &exchange.route.name)
            .number("tries", exchange.sends)
            .ms("first_ms", first)
            .ms("after_ms", now.since(exchange.arrived));
        self.stats.answered(&exchange.route, first, now.since(exchange.arrived));
        let keeps = exchange.head.keeps_alive() && self.leaving_since.is_none();
        self.caller_answered(exchange.caller, keeps);
    }

    /// The caller has taken what it was sent: reads on what its server sent meanwhile.
    pub(crate) fn relay_on(&mut self, place: usize) {
        let Some(exchange) = self.exchanges.get(place) else { return };
        if let Some(key) = exchange.attempt.as_ref().map(|it| it.connection) {
            self.net.resume(key);
            self.backend_readable(key);
        }
    }

    /// Whether the caller reads so slowly that its server must wait.
    pub(crate) fn is_choked(&mut self, place: usize) -> bool {
        let Some(caller) = self.exchanges.get(place).map(|it| it.caller) else { return false };
        self.net.get_mut(caller).is_some_and(|it| MAX_UNSENT < it.unsent())
    }

    /// The server says that it didn't run the request.
    fn turned_away(&mut self, place: usize, head: &Response, answer: &Answer) {
        let now = self.now;
        let Some(exchange) = self.exchanges.get_mut(place) else { return };
        let Some(attempt) = &exchange.attempt else { return };
        exchange.delivery.pending.clear();
        let server = attempt.server;
        let weights = attempt.weights;
        let row = self.pool.get_mut(server);
        let reason = match head.status {
            421 if answer.server.as_deref().is_some_and(|it| it != &*row.name) => "other-server",
            421 => "other-weights",
            _ => "full",
        };
        match reason {
            "other-server" => self.pool.replaced(server),
            "other-weights" => {
                let version = weights.unwrap_or(0) + 1;
                row.switch.get_or_insert(Switch { version, until: now + OTHER_WEIGHTS });
            }
            _ => {}
        }
        self.journal
            .line(now, "turned_away")
            .text("request", exchange.ask.id.as_deref().unwrap_or_default())
            .text("server", &self.pool.get(server).name)
            .text("reason", reason)
            .number("status", head.status)
            .ms("after_ms", now.since(exchange.arrived));
        if reason == "other-weights" {
            self.look_at(server);
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
        if is_failure {
            exchange.sends -= 1;
            self.journal
                .line(self.now, "not_sent")
                .text("request", exchange.ask.id.as_deref().unwrap_or_default())
                .text("server", &self.pool.get(attempt.server).name)
                .text("reason", reason);
            if self.pool.get_mut(attempt.server).health.failed(self.now) {
                self.log_left_out(attempt.server, reason);
            }
            // Others may be about to send there: a probe finds out for all.
            self.look_at(attempt.server);
            self.dispatch(place);
            return;
        }
        let instances = self.members.sharers();
        let service = exchange.service.clone();
        let has_begun = exchange.delivery.has_begun;
        if !has_begun && self.budget.withdraw(self.now, &service, instances, Purpose::Request) {
            self.dispatch(place);
        } else if has_begun
            && exchange.resends < MOST_RESENDS
            && self.budget.withdraw(self.now, &service, instances, Purpose::Stream)
        {
            exchange.resends += 1;
            let serial = exchange.serial;
            // Where it goes on is looked for after a pause: whatever turned it away is still there.
            self.at(self.now + RESEND_PAUSE, Timer::Exchange(place, serial));
        } else {
            self.give_up(place, Refusal::TurnedAway);
        }
    }

    /// The attempt may have run and brings no whole answer.
    pub(crate) fn attempt_broken(&mut self, place: usize, reason: &'static str) {
        let Some(exchange) = self.exchanges.get_mut(place) else { return };
        let Some(attempt) = &exchange.attempt else { return };
        let server = attempt.server;
        exchange.delivery.pending.clear();
        self.journal
            .line(self.now, "broken")
            .text("request", exchange.ask.id.as_deref().unwrap_or_default())
            .text("server", &self.pool.get(server).name)
            .text("reason", reason)
            .number("last_event", exchange.delivery.last_event.unwrap_or(0))
            .ms("sent_ms", self.now.since(attempt.sent));
        if self.pool.get_mut(server).health.failed(self.now) {
            self.log_left_out(server, reason);
        }
        self.stats.broken(reason);
        if !self.try_again(place, reason) {
            self.fail(place, 502, reason);
        }
    }

    /// Sends a request that may run again to another server, if attempts and budget allow.
    fn try_again(&mut self, place: usize, reason: &'static str) -> bool {
        let instances = self.members.sharers();
        let Some(exchange) = self.exchanges.get(place) else { return false };
        if !exchange.is_repeatable() || exchange.route.attempts <= exchange.runs {
            return false;
        }
        let service = exchange.service.clone();
        let purpose = match exchange.delivery.has_begun && reason != LOADING {
            true => Purpose::Stream,
            false => Purpose::Request,
        };
        if !self.budget.withdraw(self.now, &service, instances, purpose) {
            self.journal
                .line(self.now, "no_budget")
                .text("request", exchange.id())
                .text("reason", reason);
            return false;
        }
        let attempt = self.release_attempt(place, true);
        let Some(exchange) = self.exchanges.get_mut(place) else { return false };
        exchange.delivery.pending.clear();
        exchange.excluded.extend(attempt.map(|it| it.server));
        self.dispatch(place);
        true
    }

    /// Lets streams that can be resumed leave a server that is about to load weights: the server
    /// waits for the last of its runs, which takes longer than loading.
    pub(crate) fn move_streams(&mut self, server: pool::Id) {
        let is_moved = |it: &Exchange| {
            let at_server =
                it.attempt.as_ref().is_some_and(|it| it.server == server && it.has_head);
            at_server && it.delivery.has_begun && it.is_repeatable()
        };
        let places = self.exchanges.iter().filter(|it| is_moved(it.1)).map(|it| it.0);
        for place in places.collect::<Vec<_>>() {
            let instances = self.members.sharers();
            let Some(service) = self.exchanges.get(place).map(|it| it.service.clone()) else {
                continue;
            };
            if self.budget.left(self.now, &service, instances, Purpose::Request) < KEPT_BACK {
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

    /// A server doesn't answer at all: no request is sent to it until a probe succeeds, and those that
    /// may run again go elsewhere.
    pub(crate) fn server_silent(&mut self, server: pool::Id) {
        if !self.pool.get_mut(server).health.is_silent(self.now) {
            return;
        }
        self.log_left_out(server, "silent");
        self.drop_idle(server);
        self.tell_silent(server);
        let is_there = |it: &Exchange| it.attempt.as_ref().is_some_and(|it| it.server == server);
        let places = self.exchanges.iter().filter(|it| is_there(it.1) && it.1.is_repeatable());
        for place in places.map(|it| it.0).collect::<Vec<_>>() {
            self.try_again(place, "silent");
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
