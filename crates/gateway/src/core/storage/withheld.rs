//! Servers that are leaving or gone although a restored, older copy of the store lists them as
//! ready.

use std::{sync::Arc, time::Duration};

use rand::seq::IteratorRandom;
use shallotlead_base::{hash::Map, time::Time};

use crate::{adapter::EntryVersion, core::Core, gossip::Withheld, pool::Presence};

/// How long a server is withheld that doesn't write its entry again. By then a server that left has
/// ended, and its entry has expired.
const MAX_WITHHELD_AGE: Duration = Duration::from_secs(60);
/// Most servers in one message to other instances, at about 30 bytes each.
const MAX_SENT: usize = 16;

/// The withheld servers: the last entry version that each wrote, and since when it is withheld.
pub(crate) type Servers = Map<Arc<str>, (EntryVersion, Time)>;

impl Core {
    /// Withholds a server of which an older copy of its entry was read, unless it is in use.
    pub(crate) fn withhold(&mut self, name: &Arc<str>, version: EntryVersion) {
        let is_used =
            self.pool.find(name).is_some_and(|it| self.pool.get(it).presence == Presence::Ready);
        if !is_used {
            self.storage.withheld.entry(name.clone()).or_insert((version, self.now));
        }
    }

    /// A random sample of the withheld servers, to be sent to other instances.
    pub(crate) fn sample_withheld(&mut self) -> Vec<Withheld> {
        let all = self.storage.withheld.iter().choose_multiple(&mut self.rng, MAX_SENT);
        all.into_iter()
            .map(|(server, (version, since))| Withheld {
                server: server.clone(),
                beat: *version,
                age_ms: self.now.since(*since).as_millis() as u64,
            })
            .collect()
    }

    /// Withholds servers that another instance withholds, unless a later entry of theirs was read
    /// here.
    pub(crate) fn apply_withheld(&mut self, received_at: Time, received: &[Withheld]) {
        for Withheld { server, beat: version, age_ms } in received {
            let since = received_at - Duration::from_millis(*age_ms);
            let known = self.storage.entries.get(server).and_then(|it| it.written_version);
            let is_old = known.is_some_and(|it| it.is_not_newer_than(version));
            if MAX_WITHHELD_AGE <= self.now.since(since)
                || !is_old
                || self.storage.withheld.contains_key(server)
            {
                continue;
            }
            self.storage.withheld.insert(server.clone(), (*version, since));
            let revision = self.storage.entry_revision(server);
            self.log
                .line(self.now, "withheld")
                .text("server", server)
                .number("beats", version.sequence);
            if let Some(id) = self.pool.stop_using(server, revision) {
                self.close_idle(id);
            }
        }
    }

    /// Stops withholding servers that have not written for [`MAX_WITHHELD_AGE`].
    pub(crate) fn sweep_withheld(&mut self) {
        let now = self.now;
        let Self { storage, log, .. } = self;
        storage.withheld.retain(|server, (_, since)| {
            let is_kept = now.since(*since) < MAX_WITHHELD_AGE;
            if !is_kept {
                log.line(now, "withheld").text("server", server).text("change", "forgotten");
            }
            is_kept
        });
    }
}
