//! Servers that are known to leave, or to be gone, though an older copy of the store says that they are ready.

use std::{sync::Arc, time::Duration};

use rand::seq::IteratorRandom;
use shallotlead_base::{hash::Map, time::Time};

use crate::{adapter::EntryVersion, core::Core, gossip::Withheld, pool::Presence};

/// How long a server is held back that doesn't write again. By then one that left has ended, and its entry lapsed.
const KEPT: Duration = Duration::from_secs(60);
/// Servers in one message to other instances: of about 30 bytes each.
const MOST_TOLD: usize = 16;

/// The servers that this instance holds back, by the last word that each wrote, and since when.
pub(crate) type Servers = Map<Arc<str>, (EntryVersion, Time)>;

impl Core {
    /// An older copy of a server's entry was read: it is held back if it isn't in use.
    pub(crate) fn withhold(&mut self, name: &Arc<str>, beat: EntryVersion) {
        let is_used =
            self.pool.find(name).is_some_and(|it| self.pool.get(it).presence == Presence::Ready);
        if !is_used {
            self.storage.withheld.entry(name.clone()).or_insert((beat, self.now));
        }
    }

    /// What the others are told of servers that are held back.
    pub(crate) fn told_withheld(&mut self) -> Vec<Withheld> {
        let all = self.storage.withheld.iter().choose_multiple(&mut self.rng, MOST_TOLD);
        all.into_iter()
            .map(|(server, (beat, since))| Withheld {
                server: server.clone(),
                beat: *beat,
                age_ms: self.now.since(*since).as_millis() as u64,
            })
            .collect()
    }

    /// Another instance holds servers back. Those of which nothing later was read here are held back as well.
    pub(crate) fn take_withheld(&mut self, came: Time, told: &[Withheld]) {
        for Withheld { server, beat, age_ms } in told {
            let since = came - Duration::from_millis(*age_ms);
            let known = self.storage.entries.get(server).and_then(|it| it.beat);
            let is_old = known.is_some_and(|it| it.is_not_newer_than(beat));
            if KEPT <= self.now.since(since)
                || !is_old
                || self.storage.withheld.contains_key(server)
            {
                continue;
            }
            self.storage.withheld.insert(server.clone(), (*beat, since));
            let revision = self.storage.entry_revision(server);
            self.journal
                .line(self.now, "withheld")
                .text("server", server)
                .number("beats", beat.sequence);
            if let Some(id) = self.pool.stop_using(server, revision) {
                self.close_idle(id);
            }
        }
    }

    /// Forgets servers that never wrote again.
    pub(crate) fn sweep_withheld(&mut self) {
        let now = self.now;
        let Self { storage, journal, .. } = self;
        storage.withheld.retain(|server, (_, since)| {
            let is_kept = now.since(*since) < KEPT;
            if !is_kept {
                journal.line(now, "withheld").text("server", server).text("change", "forgotten");
            }
            is_kept
        });
    }
}
