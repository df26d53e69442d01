//! Sends requests to the servers that are best for them.

use std::{sync::Arc, time::Duration};

use rand::Rng;
use shallotlead_base::time::Time;

use crate::{
    admission::Admission,
    core::{Core, Timer, exchange::Exchange, refusal::Refusal},
    generation,
    placement::{self, Candidates, Choice, Criteria, Reach, Shortage},
    quarantine::Verdict,
};

/// Least delay before a server is looked for again.
const DISPATCH_RETRY_DELAY: Duration = Duration::from_millis(15);
/// The delay as a share (1/n) of the time that the request has waited, so that those that wait for long cost little.
const DISPATCH_RETRY_DIVISOR: u32 = 8;

impl Admission {
    fn of(now: Time, exchange: &Exchange) -> Self {
        let is_started = !exchange.ran_at.is_empty() || exchange.delivery.has_begun;
        Self {
            now,
            deadline: exchange.caller_deadline(),
            is_new_prompt: exchange.info.model.is_some() && !is_started,
        }
    }
}

impl Core {
    /// Sends the request to the best server, retries later, or refuses it.
    pub(crate) fn dispatch(&mut self, index: usize) {
        if self.resume_standby(index) {
            return;
        }
        // A request that may run only once can get here a second time when the copy it was to
        // continue with is gone, or its server has become unreachable.
        if self.exchanges.get(index).is_some_and(Exchange::is_rerun_forbidden) {
            self.fail_exchange(index, 502, "may-have-run");
            return;
        }
        let verdict = self.sending_verdict(index);
        if matches!(verdict, Verdict::Held | Verdict::Quarantined) {
            self.refuse_or_fail(index, self.refuse_quarantined(verdict));
            return;
        }
        if let Some(exchange) = self.exchanges.get_mut(index) {
            // A further reply to either question must not dispatch it once more.
            exchange.permit_wait = None;
            exchange.quota_wait = None;
        }
        if self.hand_over_checked(index, verdict) {
            return;
        }
        let Some(exchange) = self.exchanges.get(index) else { return };
        let admission = Admission::of(self.now, exchange);
        let mut chosen = self.choose_server(index, verdict);
        if chosen.as_ref().map_or(true, |it| admission.refuses(it)) && self.unbind_stream(index) {
            chosen = self.choose_server(index, verdict);
        }
        match chosen {
            Ok(choice) if admission.refuses(&choice) => {
                let after = admission.retry_after(&choice, self.rng.random());
                self.log_overload(index, &admission, &choice);
                self.refuse_or_fail(index, Refusal::Overload { after, wait: choice.wait() });
            }
            Ok(choice) => {
                if self.has_quota(index) {
                    self.send_permitted(index, &choice);
                }
            }
            Err(shortage) => {
                let service = self.exchanges.get(index).map(|it| it.service.clone());
                let is_lost = shortage == Shortage::NoneReady
                    && service.is_some_and(|it| self.check_all_ejected(&it));
                if !is_lost || !self.hand_over_checked(index, verdict) {
                    self.wait_or_refuse(index, shortage);
                }
            }
        }
    }

    /// The best server for the request.
    pub(crate) fn choose_server(
        &mut self,
        index: usize,
        verdict: Verdict,
    ) -> Result<Choice, Shortage> {
        self.choose_among(index, verdict, Candidates::All)
    }

    /// The best of these servers for the request.
    pub(crate) fn choose_among(
        &mut self,
        index: usize,
        verdict: Verdict,
        candidates: Candidates,
    ) -> Result<Choice, Shortage> {
        let random = self.random();
        let exchange = self.exchanges.get(index).ok_or(Shortage::NoServer)?;
        let is_suspect = verdict == Verdict::Suspect;
        let criteria = Criteria { is_suspect, candidates, ..self.criteria(exchange) };
        let choose = |criteria: &Criteria<'_>| {
            placement::choose(&self.pool, &self.prefixes, self.now, criteria, random)
        };
        let is_large = self.members.is_large() && criteria.model.is_some();
        let local = if is_large { choose(&criteria).ok() } else { None };
        // Placements in other data centres aren't broadcast here, so servers there look idle. They
        // are used only if no local server is left.
        match local {
            Some(choice) => Ok(choice),
            None => {
                let reach = if is_large { Reach::Spillover } else { Reach::All };
                choose(&Criteria { reach, ..criteria })
            }
        }
    }

    /// The placement criteria of the request.
    pub(crate) fn criteria<'a>(&'a self, exchange: &'a Exchange) -> Criteria<'a> {
        let engine = self.service(&exchange.service).and_then(|it| it.engine.as_ref());
        // Few servers can go on with a stream that its caller takes up, and it can be taken up again after each event, so
        // that it is worth a try.
        let (shortest_patience, delay, generation) =
            match exchange.is_resumable() && exchange.is_taken_up() {
                true => (Duration::MAX, Duration::ZERO, Duration::ZERO),
                false => {
                    let service = &exchange.service;
                    let delay = self.pool.start_delay(service);
                    (self.shortest_patience(service), delay, self.generation(exchange))
                }
            };
        let prefix = placement::prefix_key(&exchange.info.parts);
        Criteria {
            fetch_ms_per_token: engine.map_or(0.0, |it| it.fetch_ms_per_token),
            store: prefix.and_then(|it| self.cache_stores.store_for(self.now, it)),
            capacity_tokens: engine.map_or(0.0, |it| f64::from(it.capacity_tokens)),
            service: &exchange.service,
            model: exchange.info.model.as_deref(),
            latency_target: exchange.route.latency_target,
            deadline: exchange.caller_deadline(),
            shortest_patience,
            delay,
            generation,
            parts: &exchange.info.parts,
            cache_owner: exchange.cache_owner(),
            centre: &self.settings.centre,
            reach: Reach::Local,
            is_suspect: false,
            max_stale_weights: self.settings.max_stale_weights,
            is_repeatable: exchange.is_repeatable(),
            build: exchange.binding.build(),
            recorded: self.required_record(exchange),
            excluded: &exchange.excluded,
            candidates: Candidates::All,
        }
    }

    /// Logs what the refusal of the request was decided from.
    fn log_overload(&mut self, index: usize, admission: &Admission, choice: &Choice) {
        let Admission { now, deadline, .. } = *admission;
        let Some(exchange) = self.exchanges.get(index) else { return };
        let kept_behind = self.criteria(exchange).shortest_patience;
        let is_kept = kept_behind < Duration::MAX;
        let first_event_left = deadline.next_event.map_or(Duration::ZERO, |it| it.since(now));
        self.log
            .line(now, "overload")
            .text("request", exchange.id())
            .text("route", &exchange.route.name)
            .number("priority", exchange.priority())
            .ms("wait_ms", choice.wait())
            .number("unread", choice.uncached_tokens)
            .ms("expected_ms", choice.work.first_token)
            .ms("delay_ms", choice.work.delay)
            .ms("generation_ms", choice.work.generation)
            .ms("left_ms", deadline.end.since(now))
            .ms("first_event_left_ms", first_event_left)
            .ms("kept_behind_ms", if is_kept { kept_behind } else { Duration::ZERO })
            .ms("excess_ms", choice.excess);
    }

    /// How long callers of any route to the service wait for a first token at least, if enough time is left for the
    /// rest of the answer.
    fn shortest_patience(&self, service: &str) -> Duration {
        let (Some(config), Some(routes)) = (&self.config, self.pool.generations(service)) else {
            return Duration::MAX;
        };
        let patience = |(name, estimate): (&Arc<str>, &generation::Estimate)| {
            Some(config.patience(name)?.first_token(estimate.slow()))
        };
        routes.iter().filter_map(patience).min().unwrap_or(Duration::MAX)
    }

    /// Expected time from the first token of the answer to its end.
    fn generation(&self, exchange: &Exchange) -> Duration {
        let routes = self.pool.generations(&exchange.service);
        let estimate = routes.map(|it| it.get(&exchange.route.name)).unwrap_or_default();
        estimate.typical(exchange.answer_tokens_left())
    }

    pub(crate) fn wait_or_refuse(&mut self, index: usize, shortage: Shortage) {
        let Some(exchange) = self.exchanges.get_mut(index) else { return };
        let give_up_at = exchange.give_up_at();
        let is_final = match shortage {
            Shortage::BackedOff { .. } | Shortage::Draining | Shortage::StaleWeights => {
                !exchange.delivery.has_begun
            }
            Shortage::Limited { .. } => {
                !exchange.delivery.has_begun && exchange.excluded.is_empty()
            }
            Shortage::Overloaded { after } => {
                !exchange.delivery.has_begun && give_up_at <= self.now + after
            }
            Shortage::NoServer | Shortage::NoBuild | Shortage::NoneReady => false,
        };
        // A server that was excluded for a failure may be the only one left.
        exchange.excluded.clear();
        if give_up_at <= self.now || is_final {
            let shortage = self.spread_retry(index, shortage);
            self.refuse_or_fail(index, Refusal::Shortage(shortage));
            return;
        }
        let serial = exchange.serial;
        let waited = self.now.since(exchange.arrived);
        let delay = DISPATCH_RETRY_DELAY.max(waited / DISPATCH_RETRY_DIVISOR);
        let retry_at = (self.now + delay).min(give_up_at);
        self.set_timer(retry_at, Timer::Exchange(index, serial));
    }
}
