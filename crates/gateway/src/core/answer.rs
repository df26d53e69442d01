//! What a backend server answers, on its way to the caller.

use std::sync::Arc;

use shallotlead_base::time::Time;

use crate::{
    core::{
        Core, attempt::Reply, exchange::Exchange, quarantine::is_proof, rate_limit::limit_said,
    },
    events::{self, Cut},
    http::{head::Response, write},
    pace::Sample,
    pool::{self, Pool},
};

/// Bytes that a slow caller may leave unread here before its server is held up.
const MAX_UNSENT_BYTES: usize = 64 * 1024;
/// Longest answer that is held until it is complete, so that a broken one can be asked for again.
const MAX_BUFFERED_BYTES: usize = 512 * 1024;

impl Core {
    /// The head of the answer came.
    pub(crate) fn receive_head(&mut self, place: usize, reply: Reply) {
        let now = self.now;
        let Some(exchange) = self.exchanges.get_mut(place) else { return };
        let Some(attempt) = &mut exchange.attempt else { return };
        let Reply { head, answer } = &reply;
        if let Some(load) = answer.load {
            self.pool.told_load(attempt.server, now, load);
            self.peers.loaded(now, attempt.server, load);
        }
        let (id, sent) = (attempt.server, attempt.sent);
        let said = limit_said(&reply);
        let server = self.pool.get_mut(attempt.server);
        if let (Some(version), Some(model)) = (answer.weights, &exchange.ask.model) {
            server.loaded(now, model, version);
        }
        if head.status < 500 && !answer.is_not_run {
            server.health.succeeded();
        }
        let is_left_out = 500 <= head.status && !answer.is_not_run && server.health.erred(now);
        attempt.reply = Some(reply);
        self.take_limit(id, sent, said);
        if is_left_out {
            self.log_ejected(id, "errors");
        }
    }

    /// Part of the answer's body came; `done`: the last one. Says whether the attempt goes on.
    pub(crate) fn receive_body(&mut self, place: usize, body: &[u8], done: bool) -> bool {
        let Some(exchange) = self.exchanges.get_mut(place) else { return false };
        let Some(attempt) = &exchange.attempt else { return false };
        if is_stream(exchange) {
            return self.relay(place, body, done);
        }
        exchange.delivery.pending.extend_from_slice(body);
        // Guards against taking a refusal for the rest of a stream: a stream that goes on at another
        // server may be turned away there, while its caller already has a head and some events. It
        // shows as streams that are broken off right after a 503. Only an answer that is being passed
        // on itself is passed on further.
        if attempt.is_passed_through || MAX_BUFFERED_BYTES < exchange.delivery.pending.len() {
            return self.pass_through(place);
        }
        if !done {
            return true;
        }
        self.finish_buffered(place)
    }

    /// A whole answer came: passes it on, or finds that the request wasn't run or may run again.
    /// Says whether the exchange is to be finished with it.
    fn finish_buffered(&mut self, place: usize) -> bool {
        let Some(exchange) = self.exchanges.get(place) else { return false };
        let Some(reply) = exchange.reply() else { return false };
        if reply.answer.is_not_run {
            self.attempt_declined(place);
            return false;
        }
        if reply.is_unsigned() {
            self.attempt_broken(place, "unsigned");
            return false;
        }
        if exchange.delivery.has_begun {
            // The caller has another answer's head already.
            self.attempt_broken(place, "server-error");
            return false;
        }
        let may_repeat = 500 <= reply.head.status && exchange.is_repeatable();
        if may_repeat && self.retry_elsewhere(place, "server-error") {
            return false;
        }
        let Some(exchange) = self.exchanges.get(place) else { return false };
        let Some(reply) = exchange.reply() else { return false };
        let body = &exchange.delivery.pending;
        let mut bytes = self.answer_head(exchange, &reply.head, Some(body.len()));
        bytes.extend_from_slice(body);
        let caller = exchange.caller;
        if let Some(exchange) = self.exchanges.get_mut(place) {
            exchange.delivery.pending.clear();
            exchange.delivery.first_piece.get_or_insert(self.now);
        }
        self.net.send(caller, &bytes);
        true
    }

    /// Passes on a long answer as it comes.
    fn pass_through(&mut self, place: usize) -> bool {
        let Some(exchange) = self.exchanges.get(place) else { return false };
        let Some(reply) = exchange.reply() else { return false };
        if reply.answer.is_not_run || reply.is_unsigned() {
            self.attempt_broken(place, "unsigned");
            return false;
        }
        self.begin_stream(place);
        let Some(exchange) = self.exchanges.get_mut(place) else { return false };
        if let Some(attempt) = &mut exchange.attempt {
            attempt.is_passed_through = true;
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
        let Some(attempt) = &mut exchange.attempt else { return false };
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
        if !bytes.is_empty() {
            attempt.record_event(self.now);
        }
        delivery.last_event = last_event;
        if let (Some(version), Some(model)) = (weights, &exchange.ask.model) {
            self.pool.get_mut(server).loaded(self.now, model, version);
        }
        if !exchange.delivery.has_begun {
            if bytes.is_empty() && !done {
                return true;
            }
            let is_unsigned = attempt.reply.as_ref().is_none_or(Reply::is_unsigned);
            let sample = attempt.latency_sample(self.now);
            let service = exchange.service.clone();
            self.record_first_token(server, &service, &sample);
            if is_unsigned {
                self.attempt_broken(place, "unsigned");
                return false;
            }
            self.begin_stream(place);
        }
        let now = self.now;
        let Some(exchange) = self.exchanges.get_mut(place) else { return false };
        let delivery = &mut exchange.delivery;
        if delivery.last_piece != Time::ZERO {
            delivery.longest_pause = delivery.longest_pause.max(now.since(delivery.last_piece));
        }
        delivery.last_piece = now;
        let caller = exchange.caller;
        let mut out = Vec::with_capacity(bytes.len() + 24);
        write::chunk(&mut out, &bytes);
        self.net.send(caller, &out);
        true
    }

    /// The first token of a prompt came: learns what prompts cost, and how long the last one waited.
    fn record_first_token(&mut self, server: pool::Id, service: &Arc<str>, sample: &Sample) {
        let pace = self.pool.pace_mut(service);
        let waited = pace.waited(sample.unread, sample.took);
        let expected_ms = pace.learn(sample);
        self.pool.get_mut(server).has_waited(self.now, waited.as_millis() as u32);
        self.stats.predicted(expected_ms, sample.took);
    }

    fn begin_stream(&mut self, place: usize) {
        let Some(exchange) = self.exchanges.get(place) else { return };
        let Some(reply) = exchange.reply() else { return };
        if exchange.delivery.has_begun {
            return;
        }
        let bytes = self.answer_head(exchange, &reply.head, None);
        self.net.send(exchange.caller, &bytes);
        if let Some(exchange) = self.exchanges.get_mut(place) {
            exchange.delivery.has_begun = true;
            exchange.delivery.first_piece = Some(self.now);
        }
    }

    /// The head that goes back to the caller. `len`: the body's length; without one it goes in chunks.
    fn answer_head(&self, exchange: &Exchange, head: &Response, len: Option<usize>) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(512 + len.unwrap_or(0));
        write::status_line(&mut bytes, head.status);
        self.dialect.give_back(&head.fields, &mut bytes);
        match len {
            Some(len) => write::number(&mut bytes, "Content-Length", len as u64),
            None => write::field(&mut bytes, "Transfer-Encoding", b"chunked"),
        }
        if !self.keeps_connection(exchange) {
            write::field(&mut bytes, "Connection", b"close");
        }
        write::end(&mut bytes);
        bytes
    }

    /// Whether the caller's connection takes another request after this one.
    fn keeps_connection(&self, exchange: &Exchange) -> bool {
        exchange.head.keeps_alive() && self.leaving_since.is_none()
    }

    /// The answer is complete.
    pub(crate) fn finish_exchange(&mut self, place: usize) {
        let is_proof = self.exchanges.get(place).is_some_and(is_proof);
        let attempt = self.release_attempt(place, false);
        let Some(exchange) = self.exchanges.try_remove(place) else { return };
        if exchange.delivery.has_begun {
            self.net.send(exchange.caller, write::LAST_CHUNK);
        }
        let now = self.now;
        record_answer_time(&mut self.pool, now, &exchange);
        self.clear_suspicion(&exchange, is_proof);
        let first_piece = exchange.delivery.first_piece.unwrap_or(now);
        let first = first_piece.since(exchange.arrived);
        if let Some(attempt) = attempt {
            let address = self.pool.get(attempt.server).address;
            let own = (attempt.sent <= first_piece).then(|| first_piece.since(attempt.sent));
            self.stats.servers.at(address).answered(own);
        }
        self.journal
            .line(now, "answered")
            .text("request", exchange.id())
            .text("route", &exchange.route.name)
            .number("tries", exchange.sends)
            .ms("first_ms", first)
            .ms("after_ms", now.since(exchange.arrived));
        self.stats.answered(&exchange.route, first, now.since(exchange.arrived));
        if exchange.route.is_stream {
            self.stats.paused(exchange.delivery.longest_pause);
        }
        let keeps = self.keeps_connection(&exchange);
        self.caller_answer_sent(exchange.caller, keeps);
    }

    /// The caller has taken what it was sent: reads on what its server sent meanwhile.
    pub(crate) fn resume_relay(&mut self, place: usize) {
        let Some(exchange) = self.exchanges.get(place) else { return };
        if let Some(key) = exchange.attempt.as_ref().map(|it| it.connection) {
            self.net.resume(key);
            self.backend_readable(key);
        }
    }

    /// Whether the caller reads so slowly that its server must wait.
    pub(crate) fn is_backpressured(&self, place: usize) -> bool {
        let Some(caller) = self.exchanges.get(place).map(|it| it.caller) else { return false };
        self.net.get(caller).is_some_and(|it| MAX_UNSENT_BYTES < it.unsent())
    }
}

/// The answer to a prompt has ended, or was cut at its deadline: learns whether such answers have time enough.
pub(crate) fn record_answer_time(pool: &mut Pool, now: Time, exchange: &Exchange) {
    let Some(first) = exchange.delivery.first_piece.filter(|_| exchange.ask.model.is_some()) else {
        return;
    };
    let (took, had) = (now.since(first), exchange.deadline.since(first));
    pool.pace_mut(&exchange.service).ended(took, had);
}

/// Whether the answer is a stream of events that is passed on as it comes.
fn is_stream(exchange: &Exchange) -> bool {
    exchange.route.is_stream && exchange.reply().is_some_and(Reply::is_success)
}
