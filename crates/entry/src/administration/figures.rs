//! Figures of this instance, in the API's terms.

use shallotlead_admin::api::{Figures, Limit, Prefix, Quantiles, Server};
use shallotlead_policy::{
    input::{Scope, State},
    overview,
};
use shallotlead_table::{row::Kind, snapshot::Snapshot};

use crate::shell::Handle;

/// Reads the figures from the shell.
pub(super) fn read(shell: &Handle) -> Figures {
    let overview = shell.overview();
    let counts = shell.counts();
    let table = shell.table();
    let quantile = |q| counts.first_token(q).as_secs_f64() * 1e3;
    Figures {
        instance: shell.identity().instance.to_string(),
        open: shell.open_requests() as u64,
        queued: overview.waiting as u64,
        answered: counts.answered,
        refused: counts.refused,
        hit_rate: counts.hit_rate(),
        first_token_ms: Quantiles { p50: quantile(0.5), p95: quantile(0.95), p99: quantile(0.99) },
        servers: overview.servers.iter().map(|it| server(it, &table)).collect(),
        prefixes: overview.prefixes.iter().map(prefix).collect(),
        limits: overview.limits.iter().map(limit).collect(),
    }
}

fn server(it: &overview::Server, table: &Snapshot) -> Server {
    let row = table.servers.get(&it.name);
    let state = match it.state {
        Some(State::Up(_)) => "up",
        Some(State::Leaving) => "leaving",
        Some(State::Down) => "down",
        None => "unknown",
    };
    let age = it.seen.map(|it| u64::try_from(it.age.as_millis()).unwrap_or(u64::MAX));
    Server {
        name: it.name.to_string(),
        centre: row.map(|it| it.centre.to_string()).unwrap_or_default(),
        model: row.map(|it| it.model.to_string()).unwrap_or_default(),
        state: state.to_owned(),
        weight: row.map_or(0.0, |it| it.weight),
        inflight: it.inflight.into(),
        waiting: it.seen.map_or(0, |it| it.waiting.into()),
        running: it.seen.map_or(0, |it| it.running.into()),
        cache_used: it.seen.map_or(0.0, |it| it.cache_used),
        load_age_ms: age,
    }
}

fn prefix(it: &overview::Prefix) -> Prefix {
    Prefix {
        block: format!("{:016x}", it.block.0),
        requests_per_second: it.rate,
        replicas: it.replicas as u64,
    }
}

fn limit(it: &overview::Limit) -> Limit {
    let (kind, name) = match &it.scope {
        Scope::Organisation(it) => (Kind::Organisation, it.as_str()),
        Scope::Model(it) => (Kind::Model, it.as_str()),
        Scope::Server(it) => (Kind::Server, it.as_str()),
    };
    Limit {
        scope: format!("{kind}/{name}"),
        column: it.column.to_string(),
        limit: it.total,
        share: it.share,
        used: it.used,
    }
}
