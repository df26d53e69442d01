//! Counters and histograms on the metrics address.

mod server;
mod traffic;

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use metrics::{Counter, Gauge, Histogram};
use metrics_exporter_prometheus::{BuildError, PrometheusBuilder, PrometheusHandle};
use shallotlead_base::hash::Map;

use crate::{budget::Purpose, config::Route, core::Core, pool};

use server::Servers;
use traffic::Traffic;

/// Bounds of the latency histograms, in seconds.
const BOUNDS: [f64; 12] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0, 15.0];
/// Routes that get histograms of their own; a configuration may have hundreds.
const MAX_ROUTES: usize = 32;

/// What is counted.
pub(crate) struct Stats {
    handle: PrometheusHandle,
    routes: Map<Arc<str>, RouteStats>,
    others: RouteStats,
    /// By backend server.
    pub(crate) servers: Servers,
    /// To and from other instances, and to the store.
    pub(crate) traffic: Traffic,
    abandoned: Counter,
    unreadable: Counter,
    copied: Counter,
    went_on: Counter,
    connections: Counter,
    state_bytes: Counter,
    dropped_lines: Gauge,
    configuration: Gauge,
    listed: Gauge,
    instances: Gauge,
    open: Gauge,
    is_store_away: Gauge,
    store_answer_age: Gauge,
    configuration_age: Gauge,
    left_out: Gauge,
    limited: Gauge,
    current: Gauge,
    is_watching: Gauge,
    lease: Gauge,
    quarantined: Gauge,
    suspected: Gauge,
    era: Gauge,
    prompt_tokens: Counter,
    unread_tokens: Counter,
    expected_wait: Histogram,
    first_error: Histogram,
    pause: Histogram,
}

#[derive(Clone)]
struct RouteStats {
    first: Histogram,
    whole: Histogram,
    answered: Counter,
    failed: Counter,
}

impl RouteStats {
    fn open(route: &str) -> Self {
        let route = route.to_owned();
        Self {
            first: metrics::histogram!("shallotlead_first_piece_seconds", "route" => route.clone()),
            whole: metrics::histogram!("shallotlead_answer_seconds", "route" => route.clone()),
            answered: metrics::counter!("shallotlead_answers_total", "route" => route.clone(), "result" => "answered"),
            failed: metrics::counter!("shallotlead_answers_total", "route" => route, "result" => "failed"),
        }
    }
}

/// The process's recorder. A second instance in one process, as in tests, goes on with the first
/// one's: the library knows one for the whole process.
fn recorder() -> Result<PrometheusHandle, BuildError> {
    static RECORDER: Mutex<Option<PrometheusHandle>> = Mutex::new(None);
    let mut known = RECORDER.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(handle) = &*known {
        return Ok(handle.clone());
    }
    let recorder = PrometheusBuilder::new().set_buckets(&BOUNDS)?.build_recorder();
    let handle = recorder.handle();
    if let Err(err) = metrics::set_global_recorder(recorder) {
        log::warn!("metrics are counted elsewhere: {err}");
    }
    *known = Some(handle.clone());
    Ok(handle)
}

impl Stats {
    pub(crate) fn open() -> Result<Self, BuildError> {
        let handle = recorder()?;
        Ok(Self {
            handle,
            routes: Map::default(),
            others: RouteStats::open("other"),
            servers: Servers::open(),
            traffic: Traffic::open(),
            abandoned: metrics::counter!("shallotlead_abandoned_total"),
            copied: metrics::counter!("shallotlead_copies_total", "step" => "begun"),
            went_on: metrics::counter!("shallotlead_copies_total", "step" => "used"),
            unreadable: metrics::counter!("shallotlead_entries_unreadable_total"),
            connections: metrics::counter!("shallotlead_server_connections_total"),
            state_bytes: metrics::counter!("shallotlead_state_bytes_total"),
            dropped_lines: metrics::gauge!("shallotlead_log_lines_dropped"),
            configuration: metrics::gauge!("shallotlead_configuration_version"),
            listed: metrics::gauge!("shallotlead_servers_ready"),
            instances: metrics::gauge!("shallotlead_instances_alive"),
            open: metrics::gauge!("shallotlead_requests_open"),
            is_store_away: metrics::gauge!("shallotlead_store_away"),
            store_answer_age: metrics::gauge!("shallotlead_store_answer_age_seconds"),
            configuration_age: metrics::gauge!("shallotlead_configuration_confirmed_age_seconds"),
            left_out: metrics::gauge!("shallotlead_servers_left_out"),
            limited: metrics::gauge!("shallotlead_servers_limited"),
            current: metrics::gauge!("shallotlead_servers_current"),
            is_watching: metrics::gauge!("shallotlead_watching"),
            lease: metrics::gauge!("shallotlead_lease_held"),
            quarantined: metrics::gauge!("shallotlead_quarantined_requests"),
            suspected: metrics::gauge!("shallotlead_suspected_requests"),
            era: metrics::gauge!("shallotlead_store_era"),
            prompt_tokens: metrics::counter!("shallotlead_prompt_tokens_total"),
            unread_tokens: metrics::counter!("shallotlead_unread_tokens_total"),
            expected_wait: metrics::histogram!("shallotlead_expected_wait_seconds"),
            first_error: metrics::histogram!("shallotlead_first_token_error_seconds"),
            pause: metrics::histogram!("shallotlead_pause_seconds"),
        })
    }

    fn route(&mut self, route: &Route) -> &RouteStats {
        if self.routes.contains_key(&route.name) || self.routes.len() < MAX_ROUTES {
            let name = &route.name;
            return self.routes.entry(name.clone()).or_insert_with(|| RouteStats::open(name));
        }
        &self.others
    }

    pub(crate) fn answered(&mut self, route: &Route, first: Duration, whole: Duration) {
        let route = self.route(route);
        route.first.record(first.as_secs_f64());
        route.whole.record(whole.as_secs_f64());
        route.answered.increment(1);
    }

    pub(crate) fn failed(&mut self, route: &Route) {
        self.route(route).failed.increment(1);
    }

    pub(crate) fn refused(&mut self, reason: &'static str) {
        metrics::counter!("shallotlead_refused_total", "reason" => reason).increment(1);
    }

    pub(crate) fn broken(&mut self, reason: &'static str) {
        metrics::counter!("shallotlead_attempts_broken_total", "reason" => reason).increment(1);
    }

    /// A first token came `took` after its prompt was sent, and was expected after `expected_ms`.
    pub(crate) fn predicted(&self, expected_ms: f64, took: Duration) {
        self.first_error.record((expected_ms / 1e3 - took.as_secs_f64()).abs());
    }

    /// A run gets a copy at another server.
    pub(crate) fn copied(&self) {
        self.copied.increment(1);
    }

    /// A run goes on at its copy.
    pub(crate) fn went_on(&self) {
        self.went_on.increment(1);
    }

    /// A server's entry in the store could not be read.
    pub(crate) fn unreadable(&self) {
        self.unreadable.increment(1);
    }

    pub(crate) fn abandoned(&mut self) {
        self.abandoned.increment(1);
    }

    pub(crate) fn connected(&mut self) {
        self.connections.increment(1);
    }

    pub(crate) fn store_call(&mut self, kind: &str, result: &'static str) {
        self.traffic.called(kind);
        let kind = kind.to_owned();
        metrics::counter!("shallotlead_store_calls_total", "kind" => kind, "result" => result)
            .increment(1);
    }

    /// Another instance is held to be something else than before.
    pub(crate) fn member_changed(&mut self, standing: &'static str) {
        metrics::counter!("shallotlead_member_changes_total", "standing" => standing).increment(1);
    }

    /// Another instance was asked for what this one has missed.
    pub(crate) fn state_asked(&self, result: &'static str) {
        metrics::counter!("shallotlead_state_asked_total", "result" => result).increment(1);
    }

    /// Another instance was told what it has missed.
    pub(crate) fn state_told(&self, bytes: usize) {
        self.state_bytes.increment(bytes as u64);
    }

    /// A server was asked for its state, or given an order.
    pub(crate) fn server_called(&mut self, purpose: &'static str) {
        metrics::counter!("shallotlead_server_calls_total", "purpose" => purpose).increment(1);
    }

    /// A permit for a limited server was used, denied or not answered.
    pub(crate) fn permit(&mut self, result: &'static str) {
        metrics::counter!("shallotlead_permits_total", "result" => result).increment(1);
    }

    /// A server named a limit that is no rate.
    pub(crate) fn rate_limit_unreadable(&mut self) {
        metrics::counter!("shallotlead_rate_limits_unreadable_total").increment(1);
    }

    /// A request is sent again.
    pub(crate) fn resent(&mut self, reason: &'static str) {
        metrics::counter!("shallotlead_resends_total", "reason" => reason).increment(1);
    }

    /// Something was decided on a request that crashes servers.
    pub(crate) fn quarantine(&mut self, step: &'static str) {
        metrics::counter!("shallotlead_quarantine_total", "step" => step).increment(1);
    }

    /// The store came back from an older copy.
    pub(crate) fn store_restored(&mut self) {
        metrics::counter!("shallotlead_store_restores_total").increment(1);
    }

    /// An answer of the store wasn't used for the era that it names.
    pub(crate) fn era_refused(&mut self, reason: &'static str) {
        metrics::counter!("shallotlead_store_era_refused_total", "reason" => reason).increment(1);
    }

    /// A prompt was sent; its server is expected to begin with it after `wait` and to read `unread` of
    /// its tokens.
    pub(crate) fn prompt(&mut self, tokens: u32, unread: u32, wait: Duration) {
        self.expected_wait.record(wait.as_secs_f64());
        self.prompt_tokens.increment(u64::from(tokens));
        self.unread_tokens.increment(u64::from(unread));
    }

    /// The longest time between two pieces of a stream.
    pub(crate) fn paused(&mut self, longest: Duration) {
        self.pause.record(longest.as_secs_f64());
    }

    /// The page as text.
    pub(crate) fn render(&self) -> String {
        self.handle.run_upkeep();
        self.handle.render()
    }
}

impl Core {
    pub(crate) fn refresh_gauges(&mut self) {
        let version = self.version_in_force();
        let servers = self.pool.listed().count();
        let alive = self.members.alive(self.now).count() + 1;
        let out = self.pool.listed().filter(|it| !it.1.health.is_in_rotation()).count();
        let limited = self.pool.listed().filter(|it| it.1.limit.per_second().is_some()).count();
        let is_current = |it: &pool::Server| {
            it.models
                .iter()
                .all(|it| self.pool.weight_versions(&it.0).is_none_or(|n| n.newest() <= it.1))
        };
        let current = self.pool.listed().filter(|it| is_current(it.1)).count();
        for (kind, age) in self.storage.watch_ages(self.now) {
            metrics::gauge!("shallotlead_watch_age_seconds", "kind" => kind.to_string())
                .set(age.as_secs_f64());
        }
        for (model, named) in self.pool.all_weight_versions() {
            metrics::gauge!("shallotlead_weights_named", "model" => model.to_string())
                .set(named.newest() as f64);
        }
        self.refresh_budget();
        let open = self.pool.listed().map(|it| (it.1.address, it.1.inflight));
        let stats = &mut self.stats;
        stats.servers.set_open(open);
        stats.is_watching.set(f64::from(u8::from(self.members.me().is_watching)));
        stats.left_out.set(out as f64);
        stats.limited.set(limited as f64);
        stats.current.set(current as f64);
        let (quarantined, suspected) = self.quarantine.counts();
        stats.quarantined.set(quarantined as f64);
        stats.suspected.set(suspected as f64);
        stats.era.set(self.storage.era.number() as f64);
        stats.lease.set(f64::from(u8::from(self.lease.is_held(self.now))));
        stats.dropped_lines.set(self.journal.dropped() as f64);
        stats.configuration.set(version as f64);
        stats.listed.set(servers as f64);
        stats.instances.set(alive as f64);
        stats.open.set(self.exchanges.len() as f64);
        stats.is_store_away.set(f64::from(u8::from(self.storage.is_away())));
        let confirmed = self.peers.freshness.age(self.now).unwrap_or_default();
        stats.configuration_age.set(confirmed.as_secs_f64());
        stats.store_answer_age.set(self.storage.connectivity.age(self.now).as_secs_f64());
    }
    fn refresh_budget(&mut self) {
        let Some(catalog) = self.catalog.clone() else { return };
        let instances = self.members.budget_sharers();
        for service in catalog.services.keys() {
            let left = self.budget.remaining(self.now, service, instances, Purpose::Request);
            metrics::gauge!("shallotlead_retry_budget_left", "service" => service.to_string())
                .set(left.max(0.0));
        }
    }
}
