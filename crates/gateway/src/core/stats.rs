//! Prometheus metrics of this instance.

mod server;
pub(crate) mod traffic;

use std::{sync::Arc, time::Duration};

use metrics::{Counter, Gauge, Histogram};
use metrics_exporter_prometheus::PrometheusHandle;
use shallotlead_base::hash::Map;

use crate::{
    budget::Purpose,
    config::Route,
    core::Core,
    pool::{self, Unavailability, Versions},
};

use server::Servers;
use traffic::Traffic;

/// Routes with metrics of their own; the others share one set, as a configuration may have
/// hundreds.
const MAX_ROUTES: usize = 32;
/// Models with metrics of their own, half of them at most before a server has them.
const MAX_MODELS: usize = 32;

/// Handles of the metrics; those with variable labels are looked up on each use.
pub(crate) struct Stats {
    handle: PrometheusHandle,
    routes: Map<Arc<str>, RouteStats>,
    overflow: RouteStats,
    /// The newest published weights, by model.
    models: Map<Arc<str>, Gauge>,
    /// Per backend server.
    pub(crate) servers: Servers,
    /// Messages to and from other instances, and calls to the store.
    pub(crate) traffic: Traffic,
    abandoned: Counter,
    unreadable_entries: Counter,
    stale_starts: Counter,
    copies_begun: Counter,
    copies_used: Counter,
    connections: Counter,
    state_bytes: Counter,
    dropped_lines: Gauge,
    configuration: Gauge,
    servers_listed: Gauge,
    instances: Gauge,
    open_requests: Gauge,
    memory_held: Gauge,
    memory_limit: Gauge,
    store_unreachable: Gauge,
    store_answer_age: Gauge,
    configuration_age: Gauge,
    ejected: Gauge,
    out_of_reach: Gauge,
    servers_limited: Gauge,
    servers_at_risk: Gauge,
    servers_current: Gauge,
    is_watching: Gauge,
    lease: Gauge,
    quarantined: Gauge,
    suspected: Gauge,
    era: Gauge,
    prompt_tokens: Counter,
    uncached_tokens: Counter,
    expected_wait: Histogram,
    first_token_error: Histogram,
    pause: Histogram,
}

#[derive(Clone)]
struct RouteStats {
    first_piece: Histogram,
    total: Histogram,
    answers: Counter,
    failures: Counter,
}

impl RouteStats {
    fn open(route: &str) -> Self {
        let route = route.to_owned();
        Self {
            first_piece: metrics::histogram!("shallotlead_first_piece_seconds", "route" => route.clone()),
            total: metrics::histogram!("shallotlead_answer_seconds", "route" => route.clone()),
            answers: metrics::counter!("shallotlead_answers_total", "route" => route.clone(), "result" => "answered"),
            failures: metrics::counter!("shallotlead_answers_total", "route" => route, "result" => "failed"),
        }
    }
}

impl Stats {
    /// The metrics, which `handle` renders.
    pub(crate) fn open(handle: PrometheusHandle) -> Self {
        Self {
            handle,
            routes: Map::default(),
            overflow: RouteStats::open("other"),
            models: Map::default(),
            servers: Servers::open(),
            traffic: Traffic::open(),
            abandoned: metrics::counter!("shallotlead_abandoned_total"),
            copies_begun: metrics::counter!("shallotlead_copies_total", "step" => "begun"),
            copies_used: metrics::counter!("shallotlead_copies_total", "step" => "used"),
            unreadable_entries: metrics::counter!("shallotlead_entries_unreadable_total"),
            stale_starts: metrics::counter!("shallotlead_stale_starts_total"),
            connections: metrics::counter!("shallotlead_server_connections_total"),
            state_bytes: metrics::counter!("shallotlead_state_bytes_total"),
            dropped_lines: metrics::gauge!("shallotlead_log_lines_dropped"),
            configuration: metrics::gauge!("shallotlead_configuration_version"),
            servers_listed: metrics::gauge!("shallotlead_servers_ready"),
            instances: metrics::gauge!("shallotlead_instances_alive"),
            open_requests: metrics::gauge!("shallotlead_requests_open"),
            memory_held: metrics::gauge!("shallotlead_memory_held_bytes"),
            memory_limit: metrics::gauge!("shallotlead_memory_limit_bytes"),
            store_unreachable: metrics::gauge!("shallotlead_store_away"),
            store_answer_age: metrics::gauge!("shallotlead_store_answer_age_seconds"),
            configuration_age: metrics::gauge!("shallotlead_configuration_confirmed_age_seconds"),
            ejected: metrics::gauge!("shallotlead_servers_left_out"),
            out_of_reach: metrics::gauge!("shallotlead_services_out_of_reach"),
            servers_limited: metrics::gauge!("shallotlead_servers_limited"),
            servers_at_risk: metrics::gauge!("shallotlead_servers_at_risk"),
            servers_current: metrics::gauge!("shallotlead_servers_current"),
            is_watching: metrics::gauge!("shallotlead_watching"),
            lease: metrics::gauge!("shallotlead_lease_held"),
            quarantined: metrics::gauge!("shallotlead_quarantined_requests"),
            suspected: metrics::gauge!("shallotlead_suspected_requests"),
            era: metrics::gauge!("shallotlead_store_era"),
            prompt_tokens: metrics::counter!("shallotlead_prompt_tokens_total"),
            uncached_tokens: metrics::counter!("shallotlead_unread_tokens_total"),
            expected_wait: metrics::histogram!("shallotlead_expected_wait_seconds"),
            first_token_error: metrics::histogram!("shallotlead_first_token_error_seconds"),
            pause: metrics::histogram!("shallotlead_pause_seconds"),
        }
    }

    fn route(&mut self, route: &Route) -> &RouteStats {
        if self.routes.contains_key(&route.name) || self.routes.len() < MAX_ROUTES {
            let name = &route.name;
            return self.routes.entry(name.clone()).or_insert_with(|| RouteStats::open(name));
        }
        &self.overflow
    }

    pub(crate) fn record_answer(&mut self, route: &Route, first_piece: Duration, total: Duration) {
        let route = self.route(route);
        route.first_piece.record(first_piece.as_secs_f64());
        route.total.record(total.as_secs_f64());
        route.answers.increment(1);
    }

    pub(crate) fn count_failure(&mut self, route: &Route) {
        self.route(route).failures.increment(1);
    }

    pub(crate) fn count_refusal(&mut self, reason: &'static str) {
        metrics::counter!("shallotlead_refused_total", "reason" => reason).increment(1);
    }

    pub(crate) fn count_broken(&mut self, reason: &'static str) {
        metrics::counter!("shallotlead_attempts_broken_total", "reason" => reason).increment(1);
    }

    /// Counts a step of a request's handover to another instance.
    pub(crate) fn count_handover(&mut self, step: &'static str) {
        metrics::counter!("shallotlead_handovers_total", "step" => step).increment(1);
    }

    /// Counts a change of a service's reach.
    pub(crate) fn count_reach_change(&mut self, change: &'static str) {
        metrics::counter!("shallotlead_reach_changes_total", "change" => change).increment(1);
    }

    /// Counts the end of an answer that has neither a length nor chunks: how its connection ended, and where in
    /// the body.
    pub(crate) fn count_unframed_end(&mut self, end: &'static str, position: &'static str) {
        metrics::counter!("shallotlead_unframed_ends_total", "end" => end, "position" => position)
            .increment(1);
    }

    /// Counts a caller's idle connection that the instance closed, and whether it had unread input.
    pub(crate) fn count_closed_caller(&mut self, reason: &'static str, has_unread: bool) {
        let unread = if has_unread { "yes" } else { "no" };
        metrics::counter!("shallotlead_idle_callers_closed_total", "reason" => reason, "unread" => unread)
            .increment(1);
    }

    /// Counts a step of a hedged request.
    pub(crate) fn count_hedge(&mut self, step: &'static str) {
        metrics::counter!("shallotlead_hedges_total", "step" => step).increment(1);
    }

    /// Counts a step of a stream's migration from a working server.
    pub(crate) fn count_migration(&mut self, step: &'static str) {
        metrics::counter!("shallotlead_migrations_total", "step" => step).increment(1);
    }

    /// Records the error of the predicted time to the first token, which arrived after `took`.
    pub(crate) fn record_prediction(&self, expected_ms: f64, took: Duration) {
        self.first_token_error.record((expected_ms / 1e3 - took.as_secs_f64()).abs());
    }

    /// Counts a run whose KV cache is being copied to another server.
    pub(crate) fn count_copy(&self) {
        self.copies_begun.increment(1);
    }

    /// Counts a run that continued at its copy.
    pub(crate) fn count_copy_used(&self) {
        self.copies_used.increment(1);
    }

    /// Counts a server's entry that could not be parsed.
    pub(crate) fn count_unreadable_entry(&self) {
        self.unreadable_entries.increment(1);
    }

    /// Counts a prompt that began on weights that were replaced longer ago than allowed.
    pub(crate) fn count_stale_start(&self) {
        self.stale_starts.increment(1);
    }

    pub(crate) fn count_abandoned(&mut self) {
        self.abandoned.increment(1);
    }

    pub(crate) fn count_connection(&mut self) {
        self.connections.increment(1);
    }

    pub(crate) fn count_store_call(&mut self, kind: &str, result: &'static str) {
        self.traffic.count_call(kind);
        let kind = kind.to_owned();
        metrics::counter!("shallotlead_store_calls_total", "kind" => kind, "result" => result)
            .increment(1);
    }

    /// Counts a page of a list that has further ones.
    pub(crate) fn count_list_page(&mut self, kind: &str) {
        metrics::counter!("shallotlead_list_pages_total", "kind" => kind.to_owned()).increment(1);
    }

    /// Counts a list that was given up.
    pub(crate) fn count_failed_list(&mut self, kind: &str, reason: &'static str) {
        let kind = kind.to_owned();
        metrics::counter!("shallotlead_lists_failed_total", "kind" => kind, "reason" => reason)
            .increment(1);
    }

    /// Counts a change of another instance's status.
    pub(crate) fn count_member_change(&mut self, status: &'static str) {
        metrics::counter!("shallotlead_member_changes_total", "standing" => status).increment(1);
    }

    /// Counts a query for another instance's state.
    pub(crate) fn count_state_query(&self, result: &'static str) {
        metrics::counter!("shallotlead_state_asked_total", "result" => result).increment(1);
    }

    /// Counts the bytes of a reply to another instance's query.
    pub(crate) fn count_state_reply(&self, bytes: usize) {
        self.state_bytes.increment(bytes as u64);
    }

    /// Counts a report request or an order to a server.
    pub(crate) fn count_server_call(&mut self, purpose: &'static str) {
        metrics::counter!("shallotlead_server_calls_total", "purpose" => purpose).increment(1);
    }

    /// Counts a time for which a server wants no requests that can't be meant.
    pub(crate) fn count_unreadable_backoff(&mut self) {
        metrics::counter!("shallotlead_backoffs_unreadable_total").increment(1);
    }

    /// Counts an answer in which a server says something of itself, by the kind of answer.
    pub(crate) fn count_server_signal(&mut self, signal: &'static str, source: &'static str) {
        metrics::counter!("shallotlead_server_signals_total", "signal" => signal, "source" => source)
            .increment(1);
    }

    /// Counts a permit that was used, denied or unanswered.
    pub(crate) fn count_permit(&mut self, result: &'static str) {
        metrics::counter!("shallotlead_permits_total", "result" => result).increment(1);
    }

    /// Counts a request under a quota that was admitted, denied, or that asked an owner in vain.
    pub(crate) fn count_quota(&mut self, result: &'static str) {
        metrics::counter!("shallotlead_quota_requests_total", "result" => result).increment(1);
    }

    /// Counts a rate limit that could not be parsed.
    pub(crate) fn count_unreadable_rate_limit(&mut self) {
        metrics::counter!("shallotlead_rate_limits_unreadable_total").increment(1);
    }

    /// Counts a tolerance of rejections that could not be parsed.
    pub(crate) fn count_unreadable_tolerance(&mut self) {
        metrics::counter!("shallotlead_tolerances_unreadable_total").increment(1);
    }

    /// Counts a request that is sent again.
    pub(crate) fn count_resend(&mut self, reason: &'static str) {
        metrics::counter!("shallotlead_resends_total", "reason" => reason).increment(1);
    }

    /// Counts a retry that was taken from the service's budget.
    pub(crate) fn count_retry(&mut self, service: &Arc<str>) {
        metrics::counter!("shallotlead_retries_drawn_total", "service" => service.to_string())
            .increment(1);
    }

    /// Counts a stream that its caller takes up, by how its build was found.
    pub(crate) fn count_resumed_stream(&mut self, evidence: &'static str) {
        metrics::counter!("shallotlead_resumed_streams_total", "evidence" => evidence).increment(1);
    }

    /// Counts a step of the search for the build that began a stream.
    pub(crate) fn count_build_query(&mut self, step: &'static str) {
        metrics::counter!("shallotlead_build_queries_total", "step" => step).increment(1);
    }

    /// Counts a step of the quarantine.
    pub(crate) fn count_quarantine_step(&mut self, step: &'static str) {
        metrics::counter!("shallotlead_quarantine_total", "step" => step).increment(1);
    }

    /// Counts a restore of the store from an older copy.
    pub(crate) fn count_store_restore(&mut self) {
        metrics::counter!("shallotlead_store_restores_total").increment(1);
    }

    /// Counts an answer of the store that was rejected because of its era.
    pub(crate) fn count_refused_era(&mut self, reason: &'static str) {
        metrics::counter!("shallotlead_store_era_refused_total", "reason" => reason).increment(1);
    }

    /// Records a prompt that was sent: `wait` is the expected time until prefill begins, `uncached`
    /// the number of tokens to prefill.
    pub(crate) fn record_prompt(&mut self, tokens: u32, uncached: u32, wait: Duration) {
        self.expected_wait.record(wait.as_secs_f64());
        self.prompt_tokens.increment(u64::from(tokens));
        self.uncached_tokens.increment(u64::from(uncached));
    }

    /// Records the longest time between two pieces of a stream.
    pub(crate) fn record_pause(&mut self, longest: Duration) {
        self.pause.record(longest.as_secs_f64());
    }

    /// Renders the metrics in the Prometheus text format.
    pub(crate) fn render(&self) -> String {
        self.handle.run_upkeep();
        self.handle.render()
    }
}

impl Core {
    pub(crate) fn refresh_gauges(&mut self) {
        let version = self.config_version();
        let servers = self.pool.listed().count();
        let alive = self.members.alive(self.now).count() + 1;
        let ejected = self.pool.listed().filter(|it| !it.1.health.is_in_rotation()).count();
        let limited = self.pool.listed().filter(|it| it.1.limit.per_second().is_some()).count();
        let at_risk = self.pool.listed().filter(|it| it.1.limit.tolerance().is_some()).count();
        let is_current = |it: &pool::Server| {
            it.models
                .iter()
                .all(|it| self.pool.weight_versions(&it.0).is_none_or(|n| n.newest() <= it.1))
        };
        let current = self.pool.listed().filter(|it| is_current(it.1)).count();
        for reason in Unavailability::LISTED {
            let is_counted = |it: &pool::Server| {
                it.check(self.now).err().map(Unavailability::name) == Some(reason)
            };
            let count = self.pool.listed().filter(|it| is_counted(it.1)).count();
            metrics::gauge!("shallotlead_servers_unavailable", "reason" => reason)
                .set(count as f64);
        }
        for (kind, age) in self.storage.watch_ages(self.now) {
            metrics::gauge!("shallotlead_watch_age_seconds", "kind" => kind.to_string())
                .set(age.as_secs_f64());
        }
        self.refresh_weights();
        self.refresh_budget();
        let open_requests = self.pool.listed().map(|it| (it.1.address, it.1.inflight));
        let paces = self.pool.listed().map(|it| (it.1.address, it.1.pace.factor(self.now)));
        let out_of_reach = self.services_out_of_reach();
        let stats = &mut self.stats;
        stats.out_of_reach.set(out_of_reach as f64);
        stats.servers.set_open(open_requests);
        stats.servers.set_paces(paces);
        stats.is_watching.set(f64::from(u8::from(self.members.me().is_watching)));
        stats.ejected.set(ejected as f64);
        stats.servers_limited.set(limited as f64);
        stats.servers_at_risk.set(at_risk as f64);
        stats.servers_current.set(current as f64);
        let (quarantined, suspected) = self.quarantine.counts();
        stats.quarantined.set(quarantined as f64);
        stats.suspected.set(suspected as f64);
        stats.era.set(self.storage.era.number() as f64);
        stats.lease.set(f64::from(u8::from(self.lease.is_held(self.now))));
        stats.dropped_lines.set(self.log.dropped() as f64);
        stats.configuration.set(version as f64);
        stats.servers_listed.set(servers as f64);
        stats.instances.set(alive as f64);
        stats.open_requests.set(self.exchanges.len() as f64);
        stats.memory_held.set(self.memory.held() as f64);
        stats.memory_limit.set(self.memory.limit() as f64);
        stats.store_unreachable.set(f64::from(u8::from(self.storage.is_unreachable())));
        let confirmed = self.peers.freshness.age(self.now).unwrap_or_default();
        stats.configuration_age.set(confirmed.as_secs_f64());
        stats.store_answer_age.set(self.storage.connectivity.age(self.now).as_secs_f64());
    }

    /// Shows the weights of models, first of those that servers have: others may only be names in the store.
    fn refresh_weights(&mut self) {
        let of_servers = self.pool.listed().flat_map(|it| &it.1.models);
        let served = of_servers.map(|it| (&it.0, MAX_MODELS));
        let named = self.pool.all_weight_versions().map(|it| (it.0, MAX_MODELS / 2));
        for (model, max) in served.chain(named) {
            let models = &mut self.stats.models;
            let is_new = models.len() < max && !models.contains_key(model);
            if is_new && self.pool.weight_versions(model).is_some() {
                let label = model.to_string();
                let gauge = metrics::gauge!("shallotlead_weights_named", "model" => label);
                models.insert(model.clone(), gauge);
            }
        }
        for (model, gauge) in &self.stats.models {
            gauge.set(self.pool.weight_versions(model).map_or(0, Versions::newest) as f64);
        }
    }

    fn refresh_budget(&mut self) {
        let Some(config) = self.config.clone() else { return };
        let share = self.retry_share();
        for service in config.services.keys() {
            let left = self.budget.remaining(self.now, service, share, Purpose::Request);
            metrics::gauge!("shallotlead_retry_budget_left", "service" => service.to_string())
                .set(left.max(0.0));
        }
    }
}
