//! Counts messages between instances and calls to the platform's store, by kind.

use std::{sync::Arc, time::Duration};

use metrics::Counter;
use shallotlead_base::{hash::Map, time::Time};

use crate::{core::Core, gossip::Datagram};

/// Interval at which the totals are logged.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Kinds of datagrams, in the order of [`kind_index`].
const DATAGRAM_KINDS: [&str; 7] =
    ["news", "placed", "entries", "permits", "confirmed", "builds", "quotas"];

/// Datagrams of one kind in one direction.
struct Flow {
    count: u64,
    bytes: u64,
    counter: Counter,
    byte_counter: Counter,
}

impl Flow {
    fn open(kind: &'static str, direction: &'static str) -> Self {
        Self {
            count: 0,
            bytes: 0,
            counter: metrics::counter!("shallotlead_datagrams_total", "kind" => kind, "direction" => direction),
            byte_counter: metrics::counter!("shallotlead_datagram_bytes_total", "kind" => kind, "direction" => direction),
        }
    }

    fn add(&mut self, count: usize, bytes: usize) {
        self.count += count as u64;
        self.bytes += bytes as u64;
        self.counter.increment(count as u64);
        self.byte_counter.increment(bytes as u64);
    }
}

/// Totals since the start of the instance.
pub(crate) struct Traffic {
    sent: [Flow; DATAGRAM_KINDS.len()],
    received: [Flow; DATAGRAM_KINDS.len()],
    /// Finished calls to the store, failed ones included, by kind of object.
    store_calls: Map<Arc<str>, u64>,
    last_logged: Time,
}

impl Traffic {
    pub(crate) fn open() -> Self {
        Self {
            sent: DATAGRAM_KINDS.map(|it| Flow::open(it, "sent")),
            received: DATAGRAM_KINDS.map(|it| Flow::open(it, "received")),
            store_calls: Map::default(),
            last_logged: Time::ZERO,
        }
    }

    /// Counts a datagram of `bytes` that was sent to `targets` instances.
    pub(crate) fn count_sent(&mut self, datagram: &Datagram, targets: usize, bytes: usize) {
        self.sent[kind_index(datagram)].add(targets, targets * bytes);
    }

    /// Counts a received datagram of `bytes`.
    pub(crate) fn count_received(&mut self, datagram: &Datagram, bytes: usize) {
        self.received[kind_index(datagram)].add(1, bytes);
    }

    /// Counts a finished call to the store for objects of `kind`.
    pub(crate) fn count_call(&mut self, kind: &str) {
        match self.store_calls.get_mut(kind) {
            Some(it) => *it += 1,
            None => {
                self.store_calls.insert(Arc::from(kind), 1);
            }
        }
    }
}

/// The name of a datagram's kind in logs and metrics.
pub(crate) fn kind_name(datagram: &Datagram) -> &'static str {
    DATAGRAM_KINDS[kind_index(datagram)]
}

fn kind_index(datagram: &Datagram) -> usize {
    match datagram {
        Datagram::News(_) => 0,
        Datagram::Placed(..) => 1,
        Datagram::Entries(_) => 2,
        Datagram::PermitRequest(_) | Datagram::PermitReply(_) | Datagram::Settlement(_) => 3,
        Datagram::QuotaRequest(_) | Datagram::QuotaReply(_) => 6,
        Datagram::Confirmation(_) => 4,
        Datagram::BuildQuery(_) | Datagram::BuildReply(_) | Datagram::RestoredStreams(_) => 5,
    }
}

impl Core {
    /// Logs the totals at most every [`LOG_INTERVAL`], and at the end.
    pub(crate) fn log_traffic(&mut self, is_last: bool) {
        let traffic = &mut self.stats.traffic;
        if self.now.since(traffic.last_logged) < LOG_INTERVAL && !is_last {
            return;
        }
        traffic.last_logged = self.now;
        let mut line = self.log.line(self.now, "traffic");
        for (kind, index) in DATAGRAM_KINDS.iter().zip(0..) {
            for (direction, flow) in
                [("sent", &traffic.sent[index]), ("received", &traffic.received[index])]
            {
                line = line
                    .number(&format!("{kind}_{direction}"), flow.count)
                    .number(&format!("{kind}_{direction}_bytes"), flow.bytes);
            }
        }
        for (kind, count) in &traffic.store_calls {
            line = line.number(&format!("calls_{kind}"), *count);
        }
    }
}
