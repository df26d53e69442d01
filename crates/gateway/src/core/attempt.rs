//! Attempts: sending a request to one backend server.

use std::{io::ErrorKind, rc::Rc, time::Duration};

use shallotlead_base::time::Time;

use crate::{
    adapter::ForwardOptions,
    copies,
    core::{
        Core, Timer, build::Evidence, check::Check, exchange::Exchange, reply::Reply, unframed,
    },
    cost::Sample,
    http::body::Framing,
    net::{CONNECT_TIMEOUT, Key},
    placement::Choice,
    pool,
    rate_limit::Serial,
};

/// How much later than expected an answer may begin before its server is probed.
const LATE_MARGIN: Duration = Duration::from_millis(250);
/// Length from which on a body isn't copied to be sent. A shorter one leaves in one write with its head.
const MIN_SHARED_BYTES: usize = 32 * 1024;

/// One attempt to have a request answered.
pub(crate) struct Attempt {
    pub(crate) server: pool::Id,
    pub(crate) connection: Key,
    pub(crate) sent: Time,
    pub(crate) connect_deadline: Time,
    /// When the head of the answer is due; a server that is later is probed.
    pub(crate) answer_due: Time,
    pub(crate) weights: Option<u64>,
    /// How long ago these weights had been replaced when the request was sent; `None` if they were the newest.
    pub(crate) staleness: Option<Duration>,
    /// Prompt tokens that the server had to prefill.
    pub(crate) uncached_tokens: u32,
    /// Expected time until the prefill began, ms.
    wait_ms: f64,
    /// The factor by which work takes longer at its server than its service's estimate.
    pace: f64,
    /// Expected time to the first token.
    first_token: Duration,
    /// The head of the answer, once received.
    pub(crate) reply: Option<Reply>,
    /// The times of the run's events, once there is one.
    pub(crate) run: Option<copies::Run>,
    /// The server that holds a copy of the run's KV cache, to continue there if this attempt's server is lost.
    pub(crate) copy: Option<pool::Id>,
    /// Whether it continues from a copy of the run's KV cache.
    pub(crate) is_from_copy: bool,
    /// Set once its connection has ended with an answer that has neither a length nor chunks.
    pub(crate) end: Option<unframed::End>,
    /// Whether no answer has begun for so long that this counts as a failure of the server.
    pub(crate) is_overdue: bool,
    /// Whether a response is due.
    pub(crate) response_check: Check,
    /// Whether a second attempt is made, while its server doesn't respond.
    pub(crate) hedge_check: Check,
    /// The server that a second attempt would go to, once it responds.
    pub(crate) awaited: Option<pool::Id>,
    /// Whether it was logged that the request stays at a server that doesn't respond.
    pub(crate) is_kept: bool,
    /// Set where the server is at risk from rejections.
    pub(crate) unsettled: Option<Serial>,
    /// Whether the stream is considered for migration to another server.
    pub(crate) migration_check: Check,
    /// Whether input was held back that is still to be handled.
    pub(crate) is_held_back: bool,
    /// How its connection ended while it was held back.
    pub(crate) held_end: Option<Option<ErrorKind>>,
}

impl Attempt {
    /// An attempt that is sent now and of which nothing is expected yet.
    pub(super) fn new(server: pool::Id, connection: Key, now: Time) -> Self {
        Self {
            server,
            connection,
            sent: now,
            connect_deadline: now + CONNECT_TIMEOUT,
            answer_due: Time::MAX,
            weights: None,
            staleness: None,
            uncached_tokens: 0,
            wait_ms: 0.0,
            pace: 1.0,
            first_token: Duration::ZERO,
            reply: None,
            run: None,
            copy: None,
            is_from_copy: false,
            end: None,
            is_overdue: false,
            response_check: Check::AT_ONCE,
            hedge_check: Check::AT_ONCE,
            awaited: None,
            is_kept: false,
            unsettled: None,
            migration_check: Check::default(),
            is_held_back: false,
            held_end: None,
        }
    }

    /// Records that an event arrived.
    pub(crate) fn record_event(&mut self, now: Time) {
        self.awaited = None;
        match &mut self.run {
            Some(run) => run.record_event(now),
            None => self.run = Some(copies::Run::new(now)),
        }
    }

    /// Expected time to the first token, and the time since it was sent.
    pub(crate) fn start_times(&self, now: Time) -> (Duration, Duration) {
        (self.first_token, now.since(self.sent))
    }

    /// Whether its server has begun to run it, as far as its answer shows.
    pub(crate) fn has_started(&self, exchange: &Exchange) -> bool {
        // A run that goes on from a copy began at another server, and a stream's head may be sent while the request is
        // queued.
        self.is_from_copy
            || self.run.is_some()
            || (self.reply.is_some() && !exchange.route.is_stream)
    }

    /// Whether its server has taken over the run from a copy.
    pub(crate) fn has_taken_over(&self) -> bool {
        let reply = self.reply.as_ref().filter(|_| self.is_from_copy);
        reply.is_some_and(|it| it.is_success() && !it.answer.is_declined)
    }

    /// The measured latency of the first token, which arrives now.
    pub(crate) fn latency_sample(&self, now: Time) -> Sample {
        Sample {
            uncached_tokens: self.uncached_tokens,
            wait_ms: self.wait_ms / self.pace,
            elapsed: now.since(self.sent).div_f64(self.pace),
        }
    }

    /// The factor by which work was expected to take longer at its server than its service's estimate.
    pub(crate) fn pace(&self) -> f64 {
        self.pace
    }
}

impl Core {
    /// Sends the request to the chosen server.
    pub(crate) fn send_attempt(&mut self, index: usize, choice: &Choice) {
        let is_available = self.pool.get(choice.server).is_available(self.now);
        let connection =
            is_available.then(|| self.acquire_connection(choice.server, index)).flatten();
        let Some(connection) = connection else {
            self.return_permit(choice.server);
            if let Some(exchange) = self.exchanges.get_mut(index) {
                exchange.excluded.push(choice.server);
            }
            self.dispatch(index);
            return;
        };
        let now = self.now;
        let model = self.exchanges.get(index).and_then(|it| it.info.model.as_deref());
        let staleness = self.staleness(model, choice.weights);
        let copy = self.copy_target(index, choice);
        let copy_to = copy.map(|it| self.pool.get(it).address);
        let Some(exchange) = self.exchanges.get_mut(index) else { return };
        let resume_from = exchange.resume_from.take();
        let server = self.pool.get(choice.server);
        let scope = choice.weights.map(|it| cache_scope(it, exchange.cache_owner()));
        let time_left = exchange.deadline.since(now);
        let options = ForwardOptions {
            server: &server.name,
            organisation: exchange.organisation.as_ref().map(|it| &*it.name),
            time_left: Some(time_left),
            priority: choice.weights.map(|_| exchange.priority()),
            cache_scope: scope.as_deref(),
            weights: choice.weights,
            fetch_from: choice.fetch_from,
            save_to: choice.save_to,
            copy_to,
            resume_from,
            last_event: exchange.delivery.last_event.or(resume_from.map(|_| 0)),
            body_len: (exchange.head.framing != Framing::Empty).then_some(exchange.body.len()),
        };
        let answer_due = now + choice.work.first_token + LATE_MARGIN;
        let last_event = options.last_event;
        let mut head = Vec::with_capacity(1024);
        self.adapter.write_request(&exchange.head, &options, &mut head);
        let unsettled = self.track_unsettled(choice.server);
        let attempt = Attempt {
            answer_due,
            unsettled,
            weights: choice.weights,
            staleness,
            uncached_tokens: choice.uncached_tokens,
            wait_ms: choice.wait_ms,
            pace: choice.pace,
            first_token: choice.work.first_token,
            copy,
            is_from_copy: resume_from.is_some(),
            ..Attempt::new(choice.server, connection, now)
        };
        self.begin_attempt(index, attempt, head);
        self.announce_stream(index, choice.server);
        let Some(exchange) = self.exchanges.get(index) else { return };
        let server = self.pool.get(choice.server);
        let load_age = server.load.map_or(Duration::ZERO, |it| now.since(it.1));
        self.log
            .line(now, "sent")
            .text("request", exchange.id())
            .text("route", &exchange.route.name)
            .number("try", exchange.attempts_made)
            .text("server", &server.name)
            .text("build", server.build.as_deref().unwrap_or_default())
            .text("resumed", exchange.info.resumed_id.as_deref().unwrap_or_default())
            .text("evidence", exchange.evidence.map_or("", Evidence::name))
            .number("last_event", last_event.unwrap_or(0))
            .text("prefix", &exchange.prefix())
            .number("candidates", choice.candidates)
            .number("score_ms", format_args!("{:.1}", choice.score))
            .number("wait_ms", format_args!("{:.1}", choice.wait_ms))
            .ms("expected_ms", choice.work.first_token)
            .ms("generation_ms", choice.work.generation)
            .number("pace", format_args!("{:.2}", choice.pace))
            .number("unread", choice.uncached_tokens)
            .number("weights", choice.weights.unwrap_or(0))
            .ms("replaced_ms", staleness.unwrap_or_default())
            .number("fetches", choice.fetch_from.is_some())
            .number("is_copied", copy.is_some())
            .number("is_limited", server.limit.per_second().is_some())
            .ms("load_age_ms", load_age)
            .ms("heard_ms", server.last_heard().map_or(Duration::ZERO, |it| now.since(it)))
            .ms("left_ms", time_left)
            .ms("after_ms", now.since(exchange.arrived));
        if copy.is_some() {
            self.stats.count_copy();
        }
        // A continued run needs no prefill.
        if choice.weights.is_some() && resume_from.is_none() {
            let placement = choice.placement(server, &exchange.info.parts, exchange.cache_owner());
            let tokens = exchange.info.parts.iter().map(|it| it.tokens).sum();
            self.stats.record_prompt(tokens, choice.uncached_tokens, choice.wait());
            self.prefixes.record(now, &mut self.pool, choice.server, &placement);
            self.peers.add_placement(placement);
        }
        let serial = exchange.serial;
        self.set_timer(answer_due, Timer::Exchange(index, serial));
        self.watch_start(index);
    }

    /// Sends the request with the `head` and records the attempt.
    pub(super) fn begin_attempt(&mut self, index: usize, attempt: Attempt, mut head: Vec<u8>) {
        let Some(exchange) = self.exchanges.get_mut(index) else { return };
        let (connection, connect_deadline) = (attempt.connection, attempt.connect_deadline);
        self.pool.get_mut(attempt.server).inflight += 1;
        exchange.ran_at.push(attempt.server);
        exchange.attempts_made += 1;
        exchange.attempt = Some(attempt);
        let (serial, body) = (exchange.serial, Rc::clone(&exchange.body));
        let is_connecting = self.is_connecting(connection);
        if MIN_SHARED_BYTES <= body.len() {
            self.net.send_shared(connection, &head, body);
        } else {
            body.iter().for_each(|it| head.extend_from_slice(it));
            self.net.send(connection, &head);
        }
        if is_connecting {
            self.set_timer(connect_deadline, Timer::Exchange(index, serial));
        }
    }

    /// Ends the attempt, if there is one. `closes`: its connection can't be reused.
    pub(crate) fn release_attempt(&mut self, index: usize, closes: bool) -> Option<Attempt> {
        let attempt = self.exchanges.get_mut(index)?.attempt.take()?;
        if closes {
            self.close_attempt(&attempt);
        } else {
            self.uncount_attempt(&attempt);
        }
        Some(attempt)
    }

    /// Closes the connection of an attempt that has been taken from its exchange.
    pub(crate) fn close_attempt(&mut self, attempt: &Attempt) {
        self.uncount_attempt(attempt);
        self.close_backend(attempt.connection);
    }

    fn uncount_attempt(&mut self, attempt: &Attempt) {
        self.end_unsettled(attempt);
        let server = self.pool.get_mut(attempt.server);
        server.inflight = server.inflight.saturating_sub(1);
    }
}

/// The scope within which cached prompts are shared.
///
/// It keeps an answer from being computed from another organisation's cached prompt, or from one cached with
/// older weights, neither of which could be noticed from outside. Servers look up cached prompts only under
/// the same scope text, and a request with the text of one version of the weights runs on that version only.
fn cache_scope(weights: u64, owner: Option<&str>) -> String {
    match owner {
        None => format!("w{weights}"),
        Some(organisation) => format!("w{weights}/{organisation}"),
    }
}
