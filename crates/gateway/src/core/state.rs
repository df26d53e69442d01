//! What one instance knows from the store, for another one that can't read it.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use shallotlead_base::time::Time;

use crate::{adapter::ControlRequest, catchup::Answer, core::{Core, control::{Outcome, Purpose}, storage::{Source, self}}, gossip::{Entries, Entry, Publication}, pool::Presence};

/// Path of the page with an instance's knowledge. The number tells its form apart from earlier ones, which
/// other instances may still speak while the fleet is being replaced.
pub(crate) const STATE_PATH: &str = "/state/4";
/// How long this instance may be without the store before it asks another instance, and others watch in its
/// place.
const AWAY: Duration = Duration::from_millis(200);
/// How often an instance that doesn't watch the store asks one that does for what it has missed.
const MAKE_UP: Duration = Duration::from_secs(4);
/// Time between two questions of an instance without the store.
const ASK_AGAIN: Duration = Duration::from_millis(400);
/// How long an answer may take to begin. Whoever lets one go sends it within a tenth of a second.
const ANSWER_BEGINS: Duration = Duration::from_millis(400);
/// Entries that are longer when packed wait for the link as the configuration does, bytes: those of a hundred
/// servers.
const LONG_ENTRIES: usize = 10_000;
/// Stands for a version or revision of which there is none newer: nothing of its kind is wanted.
const NOTHING: u64 = u64::MAX;

/// What one instance knows from the store.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct State {
    /// The configuration, packed; nothing also while the link is taken up by other answers.
    configuration: Option<Vec<u8>>,
    /// Servers' entries; nothing while the link is taken up by other answers.
    entries: Option<Entries>,
    /// The named weights.
    weights: Vec<Publication>,
}

/// A question to another instance for what this one has missed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Question {
    peer: SocketAddr,
    reason: Reason,
    asked: Time,
    /// The version of the configuration that is wanted, if one is.
    version: Option<u64>,
    /// The revision from which on entries are wanted.
    entries: u64,
}

/// Why another instance is asked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Reason {
    /// It has a newer configuration.
    Behind,
    /// The store doesn't answer this instance.
    StoreAway,
    /// News may have been lost on the way to an instance that doesn't watch the store.
    MakeUp,
}

impl Reason {
    /// Its name in logs.
    fn name(self) -> &'static str {
        match self {
            Self::Behind => "behind",
            Self::StoreAway => "store-away",
            Self::MakeUp => "make-up",
        }
    }
}

impl Core {
    /// Asks other instances for what this one has missed, or can't read from the store.
    ///
    /// Guards against an instance that the store turns away, or whose watch fell silent: it would go
    /// on with an old configuration and an old list of servers. It shows as requests handled by
    /// routes or keys that were removed. It holds as long as one reachable instance knows more.
    pub(crate) fn ask_peers(&mut self) {
        self.ask_holder();
        let now = self.now;
        // An answer may take a narrow link seconds. Asked for meanwhile, others would send the same.
        if self.peers.awaits_state || now.since(self.peers.asked) < ASK_AGAIN {
            return;
        }
        let is_away = self.is_cut_off();
        // One that doesn't watch itself makes up now and then for datagrams that got lost. Before it has read the
        // entries itself it would be told them all, while it reads the same: for 300 servers 44 KB in place of none.
        let is_due = self.storage.has_entries()
            && !self.members.me().is_watching
            && MAKE_UP <= now.since(self.peers.asked);
        let reason = match (is_away, is_due) {
            (true, _) => Reason::StoreAway,
            (false, true) => Reason::MakeUp,
            (false, false) => return,
        };
        let Some(peer) = self.informant(is_away) else { return };
        self.peers.asked = now;
        self.peers.awaits_state = true;
        let revision = self.storage.entries_until;
        // Newer versions are told of by all, and asked for by themselves; the first one is taken anyhow.
        let own = if self.catalog.is_some() { NOTHING } else { 0 };
        self.ask(Question { peer, reason, asked: now, version: None, entries: revision }, own);
    }

    /// Whether the store hasn't answered this instance for a while.
    pub(crate) fn is_cut_off(&self) -> bool {
        self.storage.connectivity.lost_since().is_some_and(|it| AWAY <= self.now.since(it))
    }

    /// An instance that knows what the store has: a watcher nearby or, where there is none, elsewhere. Whoever
    /// is without the store asks any one nearby if none says that it watches.
    fn informant(&mut self, is_away: bool) -> Option<SocketAddr> {
        let now = self.now;
        let watchers = self.members.presumed_alive(now).filter(|it| it.is_watching);
        let (near, far): (Vec<_>, Vec<_>) =
            watchers.partition(|it| it.centre == self.members.me().centre);
        let all = match (near.is_empty(), far.is_empty()) {
            (false, _) => near,
            (true, false) => far,
            (true, true) if is_away => self.members.neighbours(now).collect(),
            (true, true) => return None,
        };
        all.choose(&mut self.rng).map(|it| it.peers)
    }

    /// Asks an instance that has a newer configuration for it.
    fn ask_holder(&mut self) {
        let now = self.now;
        if !self.peers.catchup.is_due(now) {
            return;
        }
        let chance = self.random();
        let Some(holder) = self.peers.catchup.next_request(now, &self.settings.centre, chance)
        else {
            return;
        };
        let own = self.version_in_force();
        let (peer, version) = (holder.address, Some(holder.version));
        let reason = Reason::Behind;
        self.ask(Question { peer, reason, asked: now, version, entries: NOTHING }, own);
    }

    fn ask(&mut self, question: Question, configuration: u64) {
        let entries = question.entries;
        let target = format!("{STATE_PATH}?configuration={configuration}&entries={entries}");
        let errand = ControlRequest { method: "GET", target, fields: Vec::new(), body: Vec::new() };
        self.send_control(question.peer, &errand, ANSWER_BEGINS, Purpose::State(question));
    }

    /// What this instance knows beyond `configuration` and the revision `entries`.
    pub(crate) fn state(&mut self, configuration: u64, entries: u64) -> Vec<u8> {
        let packed = self.packed_configuration(configuration);
        let state = State {
            configuration: packed.map(|it| it.to_vec()),
            entries: self.packed_entries(entries),
            weights: self.namings(),
        };
        let bytes = postcard::to_stdvec(&state).unwrap_or_default();
        self.stats.state_told(bytes.len());
        if state.configuration.is_some() {
            let waiting = self.unsent_endpoint_bytes();
            self.journal
                .line(self.now, "state_told")
                .number("had", configuration)
                .number("bytes", bytes.len())
                .number("waiting_bytes", waiting);
        }
        bytes
    }

    /// The entries that are newer than revision `known`, if the link is free for them.
    fn packed_entries(&mut self, known: u64) -> Option<Entries> {
        // What is missing may come back, so that it isn't told as gone before it is.
        let is_told = |name: &str| {
            self.pool.find(name).is_none_or(|it| self.pool.get(it).presence == Presence::Gone)
        };
        let newer = self.storage.entries.iter().filter(|it| known < it.1.revision);
        let newer = newer.filter(|it| it.1.value.is_some() || is_told(it.0));
        let newer = newer.map(|it| Entry::new(it.0, it.1.revision, it.1.value.as_ref()));
        let newer: Vec<Entry> = newer.collect();
        match Entries::pack(&newer, known, self.storage.entries_until) {
            Ok(packed) => {
                let is_short = packed.packed_len() <= LONG_ENTRIES;
                (is_short || self.uplink.admit(self.now, packed.packed_len())).then_some(packed)
            }
            Err(err) => {
                let error = err.to_string();
                self.journal.line(self.now, "entries_unpackable").text("error", &error);
                None
            }
        }
    }

    /// The configuration for an instance that has version `known`, if it is newer and the link is free.
    fn packed_configuration(&mut self, known: u64) -> Option<Arc<[u8]>> {
        let document = self.storage.configuration.as_mut().filter(|it| known < it.version)?;
        match document.packed() {
            Ok(packed) => self.uplink.admit(self.now, packed.len()).then_some(packed),
            Err(err) => {
                let error = err.to_string();
                self.journal.line(self.now, "configuration_unpackable").text("error", &error);
                None
            }
        }
    }

    pub(crate) fn state_came(&mut self, question: &Question, outcome: &Outcome) {
        let result = self.take_state(question, outcome);
        self.note_answer(question, result, outcome);
        match question.reason {
            Reason::Behind => {
                let chance = self.random();
                self.peers.catchup.request_finished(self.now, question.peer, result, chance);
            }
            Reason::StoreAway | Reason::MakeUp => self.peers.awaits_state = false,
        }
    }

    fn take_state(&mut self, question: &Question, outcome: &Outcome) -> Answer {
        let Outcome::Answered { status: 200, body, .. } = outcome else { return Answer::Failed };
        let Ok(state) = postcard::from_bytes::<State>(body) else {
            self.journal.line(self.now, "state_unreadable").number("bytes", body.len());
            return Answer::Failed;
        };
        let has_entries = state.entries.is_some_and(|it| self.take_entries(&it));
        // Told at some time since the question.
        self.take_namings(question.asked, &state.weights);
        let is_busy = state.configuration.is_none();
        if let Some(packed) = state.configuration {
            self.take_packed(packed);
        }
        let own = self.version_in_force();
        match question.version {
            Some(wanted) if own < wanted && is_busy => Answer::Busy,
            // It can't be read here. Asked again, the holder would send the same.
            Some(wanted) if own < wanted => Answer::Failed,
            None if !has_entries => Answer::Busy,
            Some(_) | None => Answer::Received,
        }
    }

    fn take_packed(&mut self, packed: Vec<u8>) {
        match storage::unpack(&packed) {
            Ok(value) => self.take_configuration(&value, Some(packed.into()), Source::Instance),
            Err(err) => {
                let error = err.to_string();
                self.journal.line(self.now, "configuration_unreadable").text("error", &error);
            }
        }
    }

    fn note_answer(&mut self, question: &Question, answer: Answer, outcome: &Outcome) {
        let (result, bytes) = match outcome {
            Outcome::Answered { body, .. } if answer == Answer::Busy => ("busy", body.len()),
            Outcome::Answered { status: 200, body, .. } => ("answered", body.len()),
            Outcome::Answered { .. } => ("refused", 0),
            Outcome::NotSent | Outcome::Refused => ("not-sent", 0),
            Outcome::Reset => ("reset", 0),
            Outcome::Lost => ("lost", 0),
        };
        self.stats.state_asked(result);
        self.journal
            .line(self.now, "state_asked")
            .text("peer", &question.peer.to_string())
            .text("reason", question.reason.name())
            .text("result", result)
            .number("bytes", bytes)
            .ms("after_ms", self.now.since(question.asked));
    }
}
