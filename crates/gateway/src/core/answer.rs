//! Forwards backend servers' answers to callers.

use std::{sync::Arc, time::Duration};

use shallotlead_base::time::Time;

use crate::{
    core::{
        Core,
        attempt::Attempt,
        exchange::Exchange,
        quarantine::is_exonerating,
        rate_limit::{advertised_limit, advertised_tolerance},
        reply::Reply,
        signals::requested_backoff,
    },
    cost::Sample,
    events::{self, Chunk},
    generation::End,
    http::{head::Response, write},
    pool::{self, Pool, Progress},
};

/// Bytes that may wait to be sent to a slow caller before reading from its server stops.
pub(crate) const MAX_UNSENT_BYTES: usize = 64 * 1024;
/// Longest answer, bytes, that is buffered until it is complete, so that a broken one can be requested again. While
/// memory is short, it is [`MAX_UNSENT_BYTES`].
const MAX_BUFFERED_BYTES: usize = 512 * 1024;

impl Core {
    /// Handles the head of an answer: updates what is known of the server.
    pub(crate) fn receive_head(&mut self, index: usize, reply: Reply) {
        let now = self.now;
        let Some(exchange) = self.exchanges.get_mut(index) else { return };
        let Some(attempt) = &mut exchange.attempt else { return };
        if self.pool.get(attempt.server).is_instance {
            let health = &mut self.pool.get_mut(attempt.server).health;
            health.record_success();
            health.finish_probe(now, true);
            attempt.reply = Some(reply);
            return;
        }
        let Reply { head, answer } = &reply;
        if let Some(load) = answer.load {
            if let Some(percent) = answer.pace {
                self.pool.get_mut(attempt.server).pace.state(now, percent);
            }
            self.pool.update_load(attempt.server, now, load);
            self.peers.add_load(now, attempt.server, load);
            self.peers.add_pace(attempt.server, answer.pace);
        }
        let (id, sent) = (attempt.server, attempt.sent);
        if let Some(serial) = attempt.unsettled.filter(|_| !answer.is_declined) {
            self.unsettled.confirm(serial);
        }
        let (limit, tolerance) = (advertised_limit(&reply), advertised_tolerance(&reply));
        let server = self.pool.get_mut(attempt.server);
        if let (Some(version), Some(model)) = (answer.weights, &exchange.info.model) {
            server.set_version(now, model, version);
        }
        if head.status < 500 && !answer.is_declined {
            server.health.record_success();
        }
        let asks_for_backoff = requested_backoff(head.status, answer).time().is_some();
        let is_error = 500 <= head.status && !answer.is_declined && !asks_for_backoff;
        let is_ejected = is_error && server.health.record_error(now);
        attempt.awaited = None;
        attempt.reply = Some(reply);
        self.record_sign_of_life(id);
        if self.exchanges.get(index).is_some_and(|it| !it.route.is_stream) {
            self.record_run_start(index);
        }
        self.apply_limit(id, sent, limit);
        self.apply_tolerance(id, sent, tolerance);
        self.record_reached(id, sent);
        if is_ejected {
            self.log_ejected(id, "errors");
        }
        let attempt = self.exchanges.get(index).and_then(|it| it.attempt.as_ref());
        if attempt.is_some_and(Attempt::has_taken_over) {
            self.settle_standby(index);
        }
    }

    /// Handles a part of the answer's body. `done`: it is the last one. Returns whether the attempt continues.
    pub(crate) fn receive_body(&mut self, index: usize, body: &[u8], done: bool) -> bool {
        let Some(exchange) = self.exchanges.get_mut(index) else { return false };
        if exchange.attempt.is_none() {
            return false;
        }
        if is_stream(exchange) {
            return self.relay(index, body) && (!done || self.finish_stream(index));
        }
        exchange.delivery.pending.extend_from_slice(body);
        exchange.delivery.measure(&self.memory);
        // Tests `is_passed_through` and not whether the caller already has a head: a stream that continues
        // at another server may be declined there, and that answer's body must not be forwarded as the rest
        // of the stream. Otherwise such streams would be aborted right after a 503.
        let max_buffered =
            if 0 < self.memory.excess() { MAX_UNSENT_BYTES } else { MAX_BUFFERED_BYTES };
        if exchange.delivery.is_passed_through || max_buffered < exchange.delivery.pending.len() {
            return self.pass_through(index);
        }
        if !done {
            return true;
        }
        self.finish_buffered(index)
    }

    /// Handles a complete buffered answer: forwards it, or starts another attempt if the request wasn't run or
    /// may run again. Returns whether the exchange is to be finished with this answer.
    fn finish_buffered(&mut self, index: usize) -> bool {
        let Some(exchange) = self.exchanges.get(index) else { return false };
        let Some(reply) = exchange.reply() else { return false };
        if self.is_handed_over(exchange) && reply.answer.refused_handover.is_some() {
            self.handle_refused_handover(index);
            return false;
        }
        if reply.answer.is_declined {
            self.handle_declined_attempt(index);
            return false;
        }
        if reply.is_unsigned() {
            self.handle_broken_attempt(index, "unsigned");
            return false;
        }
        if exchange.delivery.has_begun {
            // The caller already has the head of an earlier answer.
            self.handle_broken_attempt(index, "server-error");
            return false;
        }
        let may_repeat = 500 <= reply.head.status && exchange.is_repeatable();
        if may_repeat {
            self.keep_error(index);
            if self.retry_elsewhere(index, "server-error") {
                return false;
            }
        }
        let Some(exchange) = self.exchanges.get(index) else { return false };
        let Some(reply) = exchange.reply() else { return false };
        let bytes = self.buffered_answer(exchange, &reply.head, &exchange.delivery.pending);
        let caller = exchange.caller;
        if let Some(exchange) = self.exchanges.get_mut(index) {
            exchange.delivery.pending = Vec::new();
            exchange.delivery.measure(&self.memory);
            exchange.delivery.first_sent.get_or_insert(self.now);
        }
        self.net.send(caller, &bytes);
        true
    }

    /// A complete answer, as it is sent to the caller.
    pub(crate) fn buffered_answer(
        &self,
        exchange: &Exchange,
        head: &Response,
        body: &[u8],
    ) -> Vec<u8> {
        let mut bytes = self.answer_head(exchange, head, Some(body.len()));
        bytes.extend_from_slice(body);
        bytes
    }

    /// Keeps a server's error while the request is sent to another one.
    fn keep_error(&mut self, index: usize) {
        let Some(exchange) = self.exchanges.get_mut(index) else { return };
        let head = exchange.reply().map(|it| it.head.clone());
        exchange.kept_error = head.map(|it| (it, exchange.delivery.pending.clone()));
    }

    /// Forwards a long answer as it arrives. Returns whether the attempt continues.
    fn pass_through(&mut self, index: usize) -> bool {
        let Some(exchange) = self.exchanges.get(index) else { return false };
        let Some(reply) = exchange.reply() else { return false };
        if reply.answer.is_declined || reply.is_unsigned() {
            self.handle_broken_attempt(index, "unsigned");
            return false;
        }
        self.settle_standby(index);
        self.begin_stream(index);
        let Some(exchange) = self.exchanges.get_mut(index) else { return false };
        exchange.delivery.is_passed_through = true;
        let body = std::mem::take(&mut exchange.delivery.pending);
        exchange.delivery.measure(&self.memory);
        let caller = exchange.caller;
        let mut bytes = Vec::with_capacity(body.len() + 16);
        exchange.write_piece(&mut bytes, &body);
        self.net.send(caller, &bytes);
        true
    }

    /// Forwards the complete events of a stream. Returns whether the attempt continues.
    fn relay(&mut self, index: usize, body: &[u8]) -> bool {
        let Some(exchange) = self.exchanges.get_mut(index) else { return false };
        let Some(attempt) = &mut exchange.attempt else { return false };
        let delivery = &mut exchange.delivery;
        let chunk = events::extend(&mut delivery.pending, body, delivery.last_event);
        let Chunk { bytes, last_event, weights } = match chunk {
            Ok(it) => it,
            Err(invalid) => {
                self.handle_broken_attempt(index, invalid.name());
                return false;
            }
        };
        let is_unsigned = attempt.reply.as_ref().is_none_or(Reply::is_unsigned);
        if is_unsigned && !bytes.is_empty() {
            self.handle_broken_attempt(index, "unsigned");
            return false;
        }
        let server = attempt.server;
        let is_first = attempt.run.is_none() && !bytes.is_empty();
        if !bytes.is_empty() {
            attempt.record_event(self.now);
        }
        delivery.last_event = last_event;
        if !bytes.is_empty() {
            self.settle_standby(index);
        }
        if is_first {
            self.bind_to_attempt(index);
            self.record_start_delay(index);
            self.record_stale_start(index);
            self.record_run_start(index);
        }
        self.record_sign_of_life(server);
        let Some(exchange) = self.exchanges.get_mut(index) else { return false };
        let Some(attempt) = &mut exchange.attempt else { return false };
        if let (Some(version), Some(model)) = (weights, &exchange.info.model) {
            self.pool.get_mut(server).set_version(self.now, model, version);
        }
        if !exchange.delivery.has_begun {
            if bytes.is_empty() {
                return true;
            }
            let (sample, pace) = (attempt.latency_sample(self.now), attempt.pace());
            let service = exchange.service.clone();
            self.record_first_token(server, &service, &sample, pace);
            self.begin_stream(index);
        }
        let now = self.now;
        let Some(exchange) = self.exchanges.get_mut(index) else { return false };
        let delivery = &mut exchange.delivery;
        if delivery.last_sent != Time::ZERO {
            delivery.longest_pause = delivery.longest_pause.max(now.since(delivery.last_sent));
        }
        delivery.last_sent = now;
        let caller = exchange.caller;
        let mut out = Vec::with_capacity(bytes.len() + 24);
        exchange.write_piece(&mut out, &bytes);
        self.net.send(caller, &out);
        self.watch_stall(index);
        true
    }

    /// Forwards what follows the last event of a stream that has ended. Returns whether the exchange is to be
    /// finished with this answer.
    fn finish_stream(&mut self, index: usize) -> bool {
        let Some(exchange) = self.exchanges.get_mut(index) else { return false };
        if exchange.reply().is_none_or(Reply::is_unsigned) {
            self.handle_broken_attempt(index, "unsigned");
            return false;
        }
        let has_other_body = exchange.reply().is_some_and(Reply::has_framed_other_body);
        let rest = match events::take_rest(&mut exchange.delivery.pending) {
            Ok(rest) => rest,
            Err(events::BrokenOff) if has_other_body => {
                std::mem::take(&mut exchange.delivery.pending)
            }
            Err(events::BrokenOff) => {
                self.handle_broken_attempt(index, "inside-event");
                return false;
            }
        };
        let caller = exchange.caller;
        let mut out = Vec::new();
        exchange.write_piece(&mut out, &rest);
        self.begin_stream(index);
        self.net.send(caller, &out);
        true
    }

    /// Updates the cost estimate of the service's prompts, the server's pace and its measured wait when a first token
    /// arrives. `pace`: the factor by which the server was expected to take longer.
    fn record_first_token(
        &mut self,
        server: pool::Id,
        service: &Arc<str>,
        sample: &Sample,
        pace: f64,
    ) {
        if self.pool.get(server).is_instance {
            return;
        }
        let cost = self.pool.cost_mut(service);
        let queueing_time = cost.queueing_time(sample.uncached_tokens, sample.elapsed);
        let expected_ms = cost.observe_first_token(sample);
        let ratio = sample.elapsed.as_secs_f64() * 1e3 / expected_ms.max(1.0);
        let (is_queued, response_ms) = (cost.is_queued(sample.uncached_tokens), cost.response_ms());
        let known = self.pool.get_mut(server);
        known.record_wait(self.now, queueing_time.mul_f64(pace).as_millis() as u32);
        if is_queued {
            let response = Duration::from_secs_f64(pace * response_ms / 1e3);
            known.backlog.record_progress(Progress {
                sent: self.now - sample.elapsed.mul_f64(pace),
                prefilled: self.now - response,
            });
        }
        known.pace.observe(ratio);
        if let Some(stated) = known.pace.stated_percent() {
            self.peers.add_first_token(server, stated, ratio);
        }
        self.stats.record_prediction(pace * expected_ms, sample.elapsed.mul_f64(pace));
    }

    /// Sends the head of the answer to the caller, unless that was done before.
    fn begin_stream(&mut self, index: usize) {
        let Some(exchange) = self.exchanges.get(index) else { return };
        let Some(reply) = exchange.reply() else { return };
        if exchange.delivery.has_begun {
            return;
        }
        let bytes = self.answer_head(exchange, &reply.head, None);
        self.net.send(exchange.caller, &bytes);
        if let Some(exchange) = self.exchanges.get_mut(index) {
            exchange.delivery.has_begun = true;
            exchange.delivery.first_sent = Some(self.now);
        }
    }

    /// The head of the answer to the caller. `len`: the body's length; without it, the body is sent in chunks, or ends
    /// with the connection.
    fn answer_head(&self, exchange: &Exchange, head: &Response, len: Option<usize>) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(512 + len.unwrap_or(0));
        write::status_line(&mut bytes, head.status);
        self.adapter.write_response_fields(&head.fields, &mut bytes);
        match len {
            Some(len) => write::number_field(&mut bytes, "Content-Length", len as u64),
            None if exchange.is_chunked() => {
                write::field(&mut bytes, "Transfer-Encoding", b"chunked");
            }
            None => {}
        }
        if !self.keeps_connection(exchange) {
            write::field(&mut bytes, "Connection", b"close");
        }
        write::end_head(&mut bytes);
        bytes
    }

    /// Whether the caller's connection is kept for another request.
    pub(crate) fn keeps_connection(&self, exchange: &Exchange) -> bool {
        exchange.head.keeps_alive() && self.shutdown.is_none()
    }

    /// Ends an exchange whose answer is complete.
    pub(crate) fn finish_exchange(&mut self, index: usize) {
        let is_exonerated = self.exchanges.get(index).is_some_and(is_exonerating);
        let framing = self.exchanges.get(index).and_then(Exchange::reply);
        let framing = framing.map_or("", |it| it.head.framing.name());
        self.record_handover(index);
        self.settle_standby(index);
        let attempt = self.release_attempt(index, false);
        let Some(exchange) = self.exchanges.try_remove(index) else { return };
        if exchange.delivery.has_begun && exchange.is_chunked() && !exchange.head.is_head() {
            self.net.send(exchange.caller, write::LAST_CHUNK);
        }
        let now = self.now;
        record_answer_time(&mut self.pool, now, &exchange, End::Complete);
        self.storage.journal.open.finish(exchange.stream());
        self.clear_suspicion(&exchange, is_exonerated);
        let first_piece = exchange.delivery.first_sent.unwrap_or(now);
        let first = first_piece.since(exchange.arrived);
        let attempt = attempt.filter(|it| !self.pool.get(it.server).is_instance);
        if let Some(attempt) = attempt {
            let address = self.pool.get(attempt.server).address;
            let own = (attempt.sent <= first_piece).then(|| first_piece.since(attempt.sent));
            self.stats.servers.at(address).record_answer(own);
        }
        self.log
            .line(now, "answered")
            .text("request", exchange.id())
            .text("route", &exchange.route.name)
            .text("framing", framing)
            .number("tries", exchange.attempts_made)
            .ms("first_ms", first)
            .ms("pause_ms", exchange.delivery.longest_pause)
            .ms("after_ms", now.since(exchange.arrived));
        self.stats.record_answer(&exchange.route, first, now.since(exchange.arrived));
        self.answer_times.record(now, &exchange.route.name, now.since(exchange.arrived));
        if exchange.route.is_stream {
            self.stats.record_pause(exchange.delivery.longest_pause);
        }
        let keeps_alive = self.keeps_connection(&exchange);
        self.finish_caller_answer(exchange.caller, keeps_alive);
    }

    /// Resumes reading from the server after the caller has taken what it was sent.
    pub(crate) fn resume_relay(&mut self, index: usize) {
        let Some(exchange) = self.exchanges.get_mut(index) else { return };
        exchange.delivery.resumed = self.now;
        if let Some(key) = exchange.attempt.as_ref().map(|it| it.connection) {
            self.net.resume_reading(key);
            self.read_backend(key);
        }
    }

    /// Whether the caller reads so slowly that reading from its server stops.
    pub(crate) fn is_backpressured(&self, index: usize) -> bool {
        let Some(caller) = self.exchanges.get(index).map(|it| it.caller) else { return false };
        self.net.get(caller).is_some_and(|it| MAX_UNSENT_BYTES < it.unsent_bytes())
    }
}

/// Records how long the answer to a prompt took, complete or cut at its deadline, and how long it was allowed
/// to take. This shows whether such answers have enough time.
pub(crate) fn record_answer_time(pool: &mut Pool, now: Time, exchange: &Exchange, end: End) {
    let Some(first) = exchange.delivery.first_sent.filter(|_| exchange.info.model.is_some()) else {
        return;
    };
    let (elapsed, allowed) = (now.since(first), exchange.deadline.since(first));
    pool.cost_mut(&exchange.service).observe_end(elapsed, allowed);
    if exchange.info.last_event.is_none() {
        let max_tokens = exchange.info.max_answer_tokens;
        let routes = pool.generations_mut(&exchange.service);
        routes.get_mut(&exchange.route.name).observe(max_tokens, elapsed, end);
    }
}

/// Whether the answer is a stream of events that is forwarded as it arrives.
fn is_stream(exchange: &Exchange) -> bool {
    exchange.route.is_stream && exchange.reply().is_some_and(Reply::is_success)
}

impl Exchange {
    /// Where the received part of the current answer's body ends, for logs and metrics.
    pub(crate) fn body_position(&self) -> &'static str {
        let has_events = self.attempt.as_ref().is_some_and(|it| it.run.is_some());
        match is_stream(self) {
            false => "body",
            true if self.is_cut_inside_event() => "inside-event",
            true if has_events => "after-event",
            true => "no-event",
        }
    }

    /// Whether the received part of the current answer ends inside an event of a stream.
    pub(crate) fn is_cut_inside_event(&self) -> bool {
        is_stream(self) && events::is_inside_event(&self.delivery.pending)
    }
}
