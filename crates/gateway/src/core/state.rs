//! What one instance knows from the store, for another one that can't read it.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use shallotlead_base::time::Time;

use crate::{
    core::{
        Core,
        errand::{Outcome, Purpose},
        storage::{self, Source},
    },
    dialect::Errand,
    gossip::{Entry, Naming},
    pool::Presence,
};

/// Path of the page with an instance's knowledge.
pub(crate) const STATE_PATH: &str = "/state";
/// How long this instance may be behind another one's configuration, or without the store, before it
/// asks another instance. Its own watch is usually some milliseconds behind.
const BEHIND: Duration = Duration::from_millis(200);
/// How often an instance that doesn't watch the store asks one that does for what it has missed.
const MAKE_UP: Duration = Duration::from_secs(4);
/// Time between two such questions, and how long one may take.
const ASK_AGAIN: Duration = Duration::from_millis(400);

/// What one instance knows from the store.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct State {
    /// The configuration as it lies there.
    configuration: Option<Vec<u8>>,
    /// Servers' entries.
    entries: Vec<Entry>,
    /// The named weights.
    weights: Vec<Naming>,
}

/// A question to another instance for what this one has missed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Question {
    peer: SocketAddr,
    reason: Reason,
    asked: Time,
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
    /// Asks another instance for what this one can't read from the store.
    ///
    /// Guards against an instance that the store turns away, or whose watch fell silent: it would go
    /// on with an old configuration and an old list of servers. It shows as requests handled by
    /// routes or keys that were removed. It holds as long as one reachable instance knows more.
    pub(crate) fn ask_peer(&mut self) {
        let now = self.now;
        let own = self.catalog.as_ref().map_or(0, |it| it.version);
        let behind = self.peers.behind.filter(|it| BEHIND <= now.since(it.0)).map(|it| it.1);
        let is_away = self.storage.away_since().is_some_and(|it| BEHIND <= now.since(it));
        // One that doesn't watch itself makes up now and then for datagrams that got lost.
        let is_due = !self.members.me().is_watching && MAKE_UP <= now.since(self.peers.asked);
        if now.since(self.peers.asked) < ASK_AGAIN || (behind.is_none() && !is_away && !is_due) {
            return;
        }
        let near = self.members.neighbours(now).filter(|it| it.is_watching || !is_due);
        let alive: Vec<SocketAddr> = near.map(|it| it.peers).collect();
        let Some(target) = behind.or_else(|| alive.choose(&mut self.rng).copied()) else { return };
        self.peers.asked = now;
        let revision = self.storage.entries.values().map(|it| it.revision).max().unwrap_or(0);
        let entries = if is_away || is_due { revision } else { u64::MAX };
        let target_path = format!("{STATE_PATH}?configuration={own}&entries={entries}");
        let errand =
            Errand { method: "GET", target: target_path, fields: Vec::new(), body: Vec::new() };
        let reason = match (behind.is_some(), is_away) {
            (true, _) => Reason::Behind,
            (false, true) => Reason::StoreAway,
            (false, false) => Reason::MakeUp,
        };
        let question = Question { peer: target, reason, asked: now };
        self.run_errand(target, &errand, ASK_AGAIN, Purpose::State(question));
    }

    /// What this instance knows beyond `configuration` and the revision `entries`.
    pub(crate) fn state(&mut self, configuration: u64, entries: u64) -> Vec<u8> {
        let newer = self.storage.configuration.as_ref().filter(|it| configuration < it.0);
        // What is missing may come back, so that it isn't told as gone before it is.
        let is_told = |name: &str| {
            self.pool.find(name).is_none_or(|it| self.pool.get(it).presence == Presence::Gone)
        };
        let entries = self.storage.entries.iter().filter(|it| entries < it.1.revision);
        let entries = entries.filter(|it| it.1.value.is_some() || is_told(it.0));
        let state = State {
            configuration: newer.map(|it| it.1.to_vec()),
            entries: entries.map(told).collect(),
            weights: self.namings(),
        };
        let bytes = postcard::to_stdvec(&state).unwrap_or_default();
        self.stats.state_told(bytes.len());
        if state.configuration.is_some() {
            let waiting = self.unsent_pages();
            self.journal
                .line(self.now, "state_told")
                .number("had", configuration)
                .number("bytes", bytes.len())
                .number("waiting_bytes", waiting);
        }
        bytes
    }

    pub(crate) fn state_came(&mut self, question: &Question, outcome: &Outcome) {
        self.peers.behind = None;
        self.note_answer(question, outcome);
        let Outcome::Answered { status: 200, body, .. } = outcome else { return };
        let Ok(state) = postcard::from_bytes::<State>(body) else {
            self.journal.line(self.now, "state_unreadable").number("bytes", body.len());
            return;
        };
        if let Some(value) = state.configuration {
            self.take_configuration(&Arc::from(value), Source::Instance);
        }
        self.take_entries(state.entries);
        self.take_namings(&state.weights);
    }

    fn note_answer(&mut self, question: &Question, outcome: &Outcome) {
        let (result, bytes) = match outcome {
            Outcome::Answered { status: 200, body, .. } => ("answered", body.len()),
            Outcome::Answered { .. } => ("refused", 0),
            Outcome::NotSent => ("not-sent", 0),
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

fn told((name, entry): (&Arc<str>, &storage::Entry)) -> Entry {
    let value = entry.value.as_ref().map(|it| it.to_vec());
    Entry { server: name.clone(), revision: entry.revision, value }
}
