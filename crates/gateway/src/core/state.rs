//! Exchange of state from the store with instances that can't read it themselves.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use shallotlead_base::time::Time;

use crate::{
    adapter::{ControlRequest, ObjectKind},
    catchup::Answer,
    core::{
        Core,
        control::{Outcome, Purpose},
        storage::{self, Source},
    },
    gossip::{Entries, Entry, Publication},
    pool::Presence,
};

/// Path of the endpoint. The number is the format's version, as instances with an older one may run
/// during an upgrade of the fleet.
pub(crate) const STATE_PATH: &str = "/state/4";
/// How long the store may fail to answer before this instance queries another one, and others watch
/// in its place.
const STORE_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval at which an instance that doesn't watch the store queries a watcher for missed changes.
const CATCH_UP_INTERVAL: Duration = Duration::from_secs(4);
/// Least interval of an instance's queries.
const QUERY_INTERVAL: Duration = Duration::from_millis(400);
/// Time until a response has to begin. An admitted response is sent within a tenth of a second.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);
/// Compressed size of entries from which they need admission by the uplink limiter, as
/// configurations do: that of a hundred servers.
const LARGE_ENTRIES_BYTES: usize = 10_000;
/// A version or revision beyond all others, for which nothing newer exists: the peer sends nothing
/// of that kind.
const NONE_WANTED: u64 = u64::MAX;

/// What an instance knows from the store.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct State {
    /// The compressed configuration; `None` if the peer needs none or the uplink is busy.
    configuration: Option<Vec<u8>>,
    /// Servers' entries; `None` if the uplink is busy.
    entries: Option<Entries>,
    /// The published weights, as in [`crate::gossip::Message::weights`].
    weights: Vec<Publication>,
}

/// A query to another instance for missed changes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Query {
    peer: SocketAddr,
    reason: Reason,
    sent_at: Time,
    /// The version of the configuration that is expected, if any.
    version: Option<u64>,
    /// The revision after which entries are requested.
    entries: u64,
}

/// Why another instance is queried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Reason {
    /// It has a newer configuration.
    Behind,
    /// The store doesn't answer this instance.
    StoreAway,
    /// The store's list of servers can't be read.
    Unlisted,
    /// Datagrams to this instance, which doesn't watch the store, may have been lost.
    CatchUp,
}

impl Reason {
    /// The name used in log lines.
    fn name(self) -> &'static str {
        match self {
            Self::Behind => "behind",
            Self::StoreAway => "store-away",
            Self::Unlisted => "unlisted",
            Self::CatchUp => "make-up",
        }
    }
}

impl Core {
    /// Queries other instances for changes that this one has missed or can't read from the store.
    ///
    /// An instance that the store declines, or whose watch has stalled, would otherwise keep an old
    /// configuration and an old list of servers, and use removed routes and keys. This works as
    /// long as one reachable instance knows more.
    pub(crate) fn query_peers(&mut self) {
        self.query_newer_peer();
        let now = self.now;
        // On a slow link a reply may take seconds; another one queried in the meantime would send
        // the same.
        if self.peers.awaits_reply || now.since(self.peers.last_query) < QUERY_INTERVAL {
            return;
        }
        let is_unreachable = self.is_store_unreachable();
        // An instance that doesn't watch catches up periodically on lost datagrams. Not before it
        // has read the entries itself: the reply would contain all of them, 44 KB for 300 servers,
        // which it is reading anyway.
        let is_due = self.storage.has_all_entries()
            && !self.members.me().is_watching
            && CATCH_UP_INTERVAL <= now.since(self.peers.last_query);
        let is_unlisted = self.storage.is_list_failing(ObjectKind::Servers);
        let reason = match (is_unreachable, is_unlisted, is_due) {
            (true, ..) => Reason::StoreAway,
            (false, true, _) => Reason::Unlisted,
            (false, false, true) => Reason::CatchUp,
            (false, false, false) => return,
        };
        let Some(peer) = self.choose_peer(is_unreachable || is_unlisted) else { return };
        self.peers.last_query = now;
        self.peers.awaits_reply = true;
        let revision = self.storage.entries_synced_to;
        // Newer versions are announced by all and queried separately; only the first one is
        // requested here.
        let own = if self.config.is_some() { NONE_WANTED } else { 0 };
        self.send_query(
            Query { peer, reason, sent_at: now, version: None, entries: revision },
            own,
        );
    }

    /// Whether the store hasn't answered this instance for [`STORE_TIMEOUT`].
    pub(crate) fn is_store_unreachable(&self) -> bool {
        self.storage.connectivity.lost_since().is_some_and(|it| STORE_TIMEOUT <= self.now.since(it))
    }

    /// Chooses an instance to query: a watcher in the same data centre, else one elsewhere. If no
    /// instance is known to watch and the store is unreachable, any neighbour.
    fn choose_peer(&mut self, is_unreachable: bool) -> Option<SocketAddr> {
        let now = self.now;
        let watchers = self.members.presumed_alive(now).filter(|it| it.is_watching);
        let (local, remote): (Vec<_>, Vec<_>) =
            watchers.partition(|it| it.centre == self.members.me().centre);
        let all = match (local.is_empty(), remote.is_empty()) {
            (false, _) => local,
            (true, false) => remote,
            (true, true) if is_unreachable => self.members.neighbours(now).collect(),
            (true, true) => return None,
        };
        all.choose(&mut self.rng).map(|it| it.peers)
    }

    /// Queries an instance that has a newer configuration.
    fn query_newer_peer(&mut self) {
        let now = self.now;
        if !self.peers.catchup.is_due(now) {
            return;
        }
        let random = self.random();
        let Some(newer_peer) = self.peers.catchup.next_request(now, &self.settings.centre, random)
        else {
            return;
        };
        let own = self.config_version();
        let (peer, version) = (newer_peer.address, Some(newer_peer.version));
        let reason = Reason::Behind;
        self.send_query(Query { peer, reason, sent_at: now, version, entries: NONE_WANTED }, own);
    }

    fn send_query(&mut self, query: Query, configuration: u64) {
        let entries = query.entries;
        let target = format!("{STATE_PATH}?configuration={configuration}&entries={entries}");
        let request =
            ControlRequest { method: "GET", target, fields: Vec::new(), body: Vec::new() };
        self.send_control(query.peer, &request, RESPONSE_TIMEOUT, Purpose::State(query));
    }

    /// Encodes what this instance knows beyond version `configuration` and revision `entries`.
    pub(crate) fn encode_state(&mut self, configuration: u64, entries: u64) -> Vec<u8> {
        let compressed = self.compressed_configuration(configuration);
        let state = State {
            configuration: compressed.map(|it| it.to_vec()),
            entries: self.compressed_entries(entries),
            weights: self.publications(),
        };
        let bytes = postcard::to_stdvec(&state).unwrap_or_default();
        self.stats.count_state_reply(bytes.len());
        if state.configuration.is_some() {
            let waiting = self.unsent_endpoint_bytes();
            self.log
                .line(self.now, "state_told")
                .number("had", configuration)
                .number("bytes", bytes.len())
                .number("waiting_bytes", waiting);
        }
        bytes
    }

    /// The entries newer than revision `known`, or the oldest of them, if the uplink has room for them.
    fn compressed_entries(&mut self, known: u64) -> Option<Entries> {
        // An entry that is missing after a restore may return, so a removal is sent only once the
        // server is gone.
        let is_gone = |name: &str| {
            self.pool.find(name).is_none_or(|it| self.pool.get(it).presence == Presence::Gone)
        };
        let newer = self.storage.entries.iter().filter(|it| known < it.1.revision);
        let newer = newer.filter(|it| it.1.value.is_some() || is_gone(it.0));
        let newer = newer.map(|it| Entry::new(it.0, it.1.revision, it.1.value.as_ref()));
        match Entries::pack_oldest(newer.collect(), known, self.storage.entries_synced_to) {
            Ok(compressed) => {
                let is_small = compressed.packed_len() <= LARGE_ENTRIES_BYTES;
                (is_small || self.uplink.admit(self.now, compressed.packed_len()))
                    .then_some(compressed)
            }
            Err(err) => {
                let error = err.to_string();
                self.log.line(self.now, "entries_unpackable").text("error", &error);
                None
            }
        }
    }

    /// The configuration for an instance that has version `known`, if it is newer and the uplink
    /// has room.
    fn compressed_configuration(&mut self, known: u64) -> Option<Arc<[u8]>> {
        let document = self.storage.configuration.as_mut().filter(|it| known < it.version)?;
        match document.compressed() {
            Ok(compressed) => self.uplink.admit(self.now, compressed.len()).then_some(compressed),
            Err(err) => {
                let error = err.to_string();
                self.log.line(self.now, "configuration_unpackable").text("error", &error);
                None
            }
        }
    }

    pub(crate) fn handle_state_reply(&mut self, query: &Query, outcome: &Outcome) {
        let result = self.apply_state(query, outcome);
        self.log_query(query, result, outcome);
        match query.reason {
            Reason::Behind => {
                let random = self.random();
                self.peers.catchup.finish_request(self.now, query.peer, result, random);
            }
            Reason::StoreAway | Reason::Unlisted | Reason::CatchUp => {
                self.peers.awaits_reply = false
            }
        }
    }

    fn apply_state(&mut self, query: &Query, outcome: &Outcome) -> Answer {
        let Outcome::Answered { status: 200, body, .. } = outcome else { return Answer::Failed };
        let Ok(state) = postcard::from_bytes::<State>(body) else {
            self.log.line(self.now, "state_unreadable").number("bytes", body.len());
            return Answer::Failed;
        };
        let has_entries = state.entries.is_some_and(|it| self.apply_peer_entries(&it));
        // The ages are relative to a time between the query and its reply; the earlier one is used.
        self.apply_publications(query.sent_at, &state.weights);
        let is_busy = state.configuration.is_none();
        if let Some(compressed) = state.configuration {
            self.apply_compressed_configuration(compressed);
        }
        let own = self.config_version();
        match query.version {
            Some(wanted) if own < wanted && is_busy => Answer::Busy,
            // The configuration can't be decoded here. The same peer would send it again.
            Some(wanted) if own < wanted => Answer::Failed,
            None if !has_entries => Answer::Busy,
            Some(_) | None => Answer::Received,
        }
    }

    fn apply_compressed_configuration(&mut self, compressed: Vec<u8>) {
        match storage::decompress(&compressed) {
            Ok(value) => {
                self.apply_configuration(&value, Some(compressed.into()), Source::Instance)
            }
            Err(err) => {
                let error = err.to_string();
                self.log.line(self.now, "configuration_unreadable").text("error", &error);
            }
        }
    }

    fn log_query(&mut self, query: &Query, answer: Answer, outcome: &Outcome) {
        let (result, bytes) = match outcome {
            Outcome::Answered { body, .. } if answer == Answer::Busy => ("busy", body.len()),
            Outcome::Answered { status: 200, body, .. } => ("answered", body.len()),
            Outcome::Answered { .. } => ("refused", 0),
            Outcome::NotSent | Outcome::Refused => ("not-sent", 0),
            Outcome::Reset => ("reset", 0),
            Outcome::TooLong => ("too-long", 0),
            Outcome::Lost => ("lost", 0),
        };
        self.stats.count_state_query(result);
        self.log
            .line(self.now, "state_asked")
            .text("peer", &query.peer.to_string())
            .text("reason", query.reason.name())
            .text("result", result)
            .number("bytes", bytes)
            .ms("after_ms", self.now.since(query.sent_at));
    }
}
