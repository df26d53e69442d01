//! What instances tell each other and ask of the platform's store, counted by kind.

use std::{sync::Arc, time::Duration};

use metrics::Counter;
use shallotlead_base::{hash::Map, time::Time};

use crate::{core::Core, gossip::Datagram};

/// How often an instance logs what it has told, heard and called so far.
const LOGGED: Duration = Duration::from_secs(10);

/// Kinds of datagrams, in the order in which they are counted.
const KINDS: [&str; 5] = ["news", "placed", "entries", "permits", "confirmed"];

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

/// The counts of one instance since its start.
pub(crate) struct Traffic {
    sent: [Flow; KINDS.len()],
    received: [Flow; KINDS.len()],
    /// Calls to the store that were answered or failed, by kind of object.
    calls: Map<Arc<str>, u64>,
    logged: Time,
}

impl Traffic {
    pub(crate) fn open() -> Self {
        Self {
            sent: KINDS.map(|it| Flow::open(it, "sent")),
            received: KINDS.map(|it| Flow::open(it, "received")),
            calls: Map::default(),
            logged: Time::ZERO,
        }
    }

    /// A datagram of `bytes` went to `targets` instances.
    pub(crate) fn sent(&mut self, datagram: &Datagram, targets: usize, bytes: usize) {
        self.sent[place(datagram)].add(targets, targets * bytes);
    }

    /// A datagram of `bytes` came.
    pub(crate) fn received(&mut self, datagram: &Datagram, bytes: usize) {
        self.received[place(datagram)].add(1, bytes);
    }

    /// A call to the store for objects of `kind` has ended.
    pub(crate) fn called(&mut self, kind: &str) {
        match self.calls.get_mut(kind) {
            Some(it) => *it += 1,
            None => {
                self.calls.insert(Arc::from(kind), 1);
            }
        }
    }
}

fn place(datagram: &Datagram) -> usize {
    match datagram {
        Datagram::News(_) => 0,
        Datagram::Placed(..) => 1,
        Datagram::Entries(_) => 2,
        Datagram::PermitRequest(_) | Datagram::PermitReply(_) => 3,
        Datagram::Confirmation(_) => 4,
    }
}

impl Core {
    /// Logs now and then what this instance has told, heard and called since its start.
    pub(crate) fn log_traffic(&mut self, is_last: bool) {
        let traffic = &mut self.stats.traffic;
        if self.now.since(traffic.logged) < LOGGED && !is_last {
            return;
        }
        traffic.logged = self.now;
        let mut line = self.journal.line(self.now, "traffic");
        for (kind, place) in KINDS.iter().zip(0..) {
            for (direction, flow) in
                [("sent", &traffic.sent[place]), ("received", &traffic.received[place])]
            {
                line = line
                    .number(&format!("{kind}_{direction}"), flow.count)
                    .number(&format!("{kind}_{direction}_bytes"), flow.bytes);
            }
        }
        for (kind, count) in &traffic.calls {
            line = line.number(&format!("calls_{kind}"), *count);
        }
    }
}
