//! Metrics of each backend server.

use std::{net::SocketAddr, time::Duration};

use metrics::{Counter, Gauge, Histogram};
use shallotlead_base::hash::Map;

/// Servers with metrics of their own; the others share one set, as a fleet may have thousands.
const MAX_SERVERS: usize = 128;

/// Metrics by server address. Names change with each restart, so that they would accumulate.
pub(crate) struct Servers {
    by_address: Map<SocketAddr, Server>,
    overflow: Server,
}

/// Metrics of one server.
pub(crate) struct Server {
    first_piece: Histogram,
    answered: Counter,
    broken: Counter,
    not_run: Counter,
    open_requests: Gauge,
    pace: Gauge,
}

impl Server {
    fn open(server: &str) -> Self {
        let attempts = |result: &'static str| {
            let server = server.to_owned();
            metrics::counter!("shallotlead_server_attempts_total", "server" => server, "result" => result)
        };
        let label = server.to_owned();
        Self {
            first_piece: metrics::histogram!("shallotlead_server_first_piece_seconds", "server" => label.clone()),
            answered: attempts("answered"),
            broken: attempts("broken"),
            not_run: attempts("not-run"),
            open_requests: metrics::gauge!("shallotlead_server_requests_open", "server" => label.clone()),
            pace: metrics::gauge!("shallotlead_server_pace", "server" => label),
        }
    }

    /// Counts an attempt that ended with a whole answer. `first`: time to its first piece; `None`
    /// if that came from another attempt.
    pub(crate) fn record_answer(&self, first: Option<Duration>) {
        self.answered.increment(1);
        if let Some(first) = first {
            self.first_piece.record(first.as_secs_f64());
        }
    }

    /// Counts an attempt that may have run and brought no whole answer.
    pub(crate) fn count_broken(&self) {
        self.broken.increment(1);
    }

    /// Counts an attempt that certainly did not run.
    pub(crate) fn count_not_run(&self) {
        self.not_run.increment(1);
    }
}

impl Servers {
    pub(crate) fn open() -> Self {
        Self { by_address: Map::default(), overflow: Server::open("other") }
    }

    /// The metrics of the server at `address`.
    pub(crate) fn at(&mut self, address: SocketAddr) -> &Server {
        if self.by_address.contains_key(&address) || self.by_address.len() < MAX_SERVERS {
            let new_server = || Server::open(&address.to_string());
            return self.by_address.entry(address).or_insert_with(new_server);
        }
        &self.overflow
    }

    /// Sets how long work takes at each server, as a factor of its service's estimate.
    pub(crate) fn set_paces(&self, paces: impl Iterator<Item = (SocketAddr, f64)>) {
        for (address, pace) in paces {
            if let Some(it) = self.by_address.get(&address) {
                it.pace.set(pace);
            }
        }
    }

    /// Sets the number of this instance's open requests at each server.
    pub(crate) fn set_open(&mut self, open: impl Iterator<Item = (SocketAddr, u32)>) {
        self.by_address.values().for_each(|it| it.open_requests.set(0.0));
        let mut others = 0;
        for (address, requests) in open {
            match self.by_address.get(&address) {
                Some(it) => it.open_requests.set(f64::from(requests)),
                None => others += requests,
            }
        }
        self.overflow.open_requests.set(f64::from(others));
    }
}
