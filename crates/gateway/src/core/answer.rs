//! What a backend server answers, on its way to the caller.

use std::sync::Arc;

use shallotlead_base::time::Time;

use crate::{core::{Core, attempt::Reply, exchange::Exchange, quarantine::is_proof, rate_limit::limit_said}, cost::Sample, events::{Chunk, self}, http::{head::Response, write}, pool::{Pool, self}};

/// Bytes that a slow caller may leave unread here before its server is held up.
const MAX_UNSENT: usize = 64 * 1024;
/// Longest answer that is held until it is complete, so that a broken one can be asked for again.
const MAX_WHOLE: usize = 512 * 1024;

impl Core {
    /// The head of the answer came.
    pub(crate) fn attempt_head(&mut self, place: usize, reply: Reply) {
        let now = self.now;
        let Some(exchange) = self.exchanges.get_mut(place) else { return };
        let Some(attempt) = &mut exchange.attempt else { return };
        let Reply { head, answer } = &reply;
        if let Some(load) = answer.load {
            self.pool.update_load(attempt.server, now, load);
            self.peers.loaded(now, attempt.server, load);
        }
        let (id, sent) = (attempt.server, attempt.sent);
        let said = limit_said(&reply);
        let server = self.pool.get_mut(attempt.server);
        if let (Some(version), Some(model)) = (answer.weights, &exchange.ask.model) {
            server.set_version(now, model, version);
        }
        if head.status < 500 && !answer.is_declined {
            server.health.record_success();
        }
        let is_left_out =
            500 <= head.status && !answer.is_declined && server.health.record_error(now);
        attempt.reply = Some(reply);
        self.take_limit(id, sent, said);
        if is_left_out {
            self.log_left_out(id, "errors");
        }
    }

    /// Part of the answer's body came; `done`: the last one. Says whether the attempt goes on.
    pub(crate) fn take_body(&mut self, place: usize, body: &[u8], done: bool) -> bool {
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
        let Some(reply) = exchange.reply() else { return false };
        if reply.answer.is_declined {
            self.turned_away(place);
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
        if may_repeat && self.try_again(place, "server-error") {
            return false;
        }
        let Some(exchange) = self.exchanges.get(place) else { return false };
        let Some(reply) = exchange.reply() else { return false };
        let body = &exchange.delivery.pending;
        let mut bytes = self.head_back(exchange, &reply.head, Some(body.len()));
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
    fn pass_on(&mut self, place: usize) -> bool {
        let Some(exchange) = self.exchanges.get(place) else { return false };
        let Some(reply) = exchange.reply() else { return false };
        if reply.answer.is_declined || reply.is_unsigned() {
            self.attempt_broken(place, "unsigned");
            return false;
        }
        self.begin_stream(place);
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
        let Some(attempt) = &mut exchange.attempt else { return false };
        let delivery = &mut exchange.delivery;
        delivery.pending.extend_from_slice(body);
        let cut = events::take_whole(&mut delivery.pending, delivery.last_event, done);
        let Chunk { bytes, last_event, weights } = match cut {
            Ok(it) => it,
            Err(events::OutOfOrder) => {
                self.attempt_broken(place, "events-out-of-order");
                return false;
            }
        };
        let server = attempt.server;
        if !bytes.is_empty() {
            attempt.has_event(self.now);
        }
        delivery.last_event = last_event;
        if let (Some(version), Some(model)) = (weights, &exchange.ask.model) {
            self.pool.get_mut(server).set_version(self.now, model, version);
        }
        if !exchange.delivery.has_begun {
            if bytes.is_empty() && !done {
                return true;
            }
            let is_unsigned = attempt.reply.as_ref().is_none_or(Reply::is_unsigned);
            let sample = attempt.sample(self.now);
            let service = exchange.service.clone();
            self.first_token(server, &service, &sample);
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
    fn first_token(&mut self, server: pool::Id, service: &Arc<str>, sample: &Sample) {
        let pace = self.pool.cost_mut(service);
        let waited = pace.queueing_time(sample.uncached_tokens, sample.elapsed);
        let expected_ms = pace.observe_first_token(sample);
        self.pool.get_mut(server).record_wait(self.now, waited.as_millis() as u32);
        self.stats.predicted(expected_ms, sample.elapsed);
    }

    fn begin_stream(&mut self, place: usize) {
        let Some(exchange) = self.exchanges.get(place) else { return };
        let Some(reply) = exchange.reply() else { return };
        if exchange.delivery.has_begun {
            return;
        }
        let bytes = self.head_back(exchange, &reply.head, None);
        self.net.send(exchange.caller, &bytes);
        if let Some(exchange) = self.exchanges.get_mut(place) {
            exchange.delivery.has_begun = true;
            exchange.delivery.first_piece = Some(self.now);
        }
    }

    /// The head that goes back to the caller. `len`: the body's length; without one it goes in chunks.
    fn head_back(&self, exchange: &Exchange, head: &Response, len: Option<usize>) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(512 + len.unwrap_or(0));
        write::status_line(&mut bytes, head.status);
        self.dialect.write_response_fields(&head.fields, &mut bytes);
        match len {
            Some(len) => write::number_field(&mut bytes, "Content-Length", len as u64),
            None => write::field(&mut bytes, "Transfer-Encoding", b"chunked"),
        }
        if !self.keeps(exchange) {
            write::field(&mut bytes, "Connection", b"close");
        }
        write::end_head(&mut bytes);
        bytes
    }

    /// Whether the caller's connection takes another request after this one.
    fn keeps(&self, exchange: &Exchange) -> bool {
        exchange.head.keeps_alive() && self.leaving_since.is_none()
    }

    /// The answer is complete.
    pub(crate) fn finish(&mut self, place: usize) {
        let is_proof = self.exchanges.get(place).is_some_and(is_proof);
        let attempt = self.release_attempt(place, false);
        let Some(exchange) = self.exchanges.try_remove(place) else { return };
        if exchange.delivery.has_begun {
            self.net.send(exchange.caller, write::LAST_CHUNK);
        }
        let now = self.now;
        note_end(&mut self.pool, now, &exchange);
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
        let keeps = self.keeps(&exchange);
        self.caller_answered(exchange.caller, keeps);
    }

    /// The caller has taken what it was sent: reads on what its server sent meanwhile.
    pub(crate) fn relay_on(&mut self, place: usize) {
        let Some(exchange) = self.exchanges.get(place) else { return };
        if let Some(key) = exchange.attempt.as_ref().map(|it| it.connection) {
            self.net.resume_reading(key);
            self.backend_readable(key);
        }
    }

    /// Whether the caller reads so slowly that its server must wait.
    pub(crate) fn is_choked(&self, place: usize) -> bool {
        let Some(caller) = self.exchanges.get(place).map(|it| it.caller) else { return false };
        self.net.get(caller).is_some_and(|it| MAX_UNSENT < it.unsent_bytes())
    }
}

/// The answer to a prompt has ended, or was cut at its deadline: learns whether such answers have time enough.
pub(crate) fn note_end(pool: &mut Pool, now: Time, exchange: &Exchange) {
    let Some(first) = exchange.delivery.first_piece.filter(|_| exchange.ask.model.is_some()) else {
        return;
    };
    let (took, had) = (now.since(first), exchange.deadline.since(first));
    pool.cost_mut(&exchange.service).observe_end(took, had);
}

/// Whether the answer is a stream of events that is passed on as it comes.
fn is_stream(exchange: &Exchange) -> bool {
    exchange.route.is_stream && exchange.reply().is_some_and(Reply::is_success)
}
