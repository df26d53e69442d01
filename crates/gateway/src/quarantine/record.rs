//! What instances announce to each other about requests in quarantine.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use shallotlead_base::time::Time;

use super::{Identity, IncarnationId, Quarantine};

/// How long all messages to other instances carry what was put in quarantine.
const ANNOUNCED_FOR: Duration = Duration::from_secs(2);

/// A request that is in quarantine, or was released.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// The request.
    pub identity: Identity,
    /// The incarnations of the servers that crashed while running it.
    pub incarnations: Vec<IncarnationId>,
    /// How long ago it last arrived, or was released, ms.
    pub age_ms: u64,
    /// Whether these incarnations no longer count as evidence against it.
    pub is_released: bool,
}

impl Quarantine {
    /// The requests in quarantine, those that arrived last first.
    pub fn records(&self, now: Time) -> Vec<Record> {
        let age_ms = |at: Time| now.since(at).as_millis() as u64;
        let quarantined = self.tracked.iter().filter(|it| it.1.quarantined_at.is_some());
        let mut all: Vec<Record> = quarantined
            .map(|(identity, evidence)| Record {
                identity: *identity,
                incarnations: evidence.crashed.clone(),
                age_ms: age_ms(evidence.last_seen),
                is_released: false,
            })
            .collect();
        all.sort_by_key(|it| (it.age_ms, it.identity));
        all
    }

    /// What was put in quarantine a moment ago, parts first, at most `max`.
    pub fn recent_records(&self, now: Time, max: usize) -> Vec<Record> {
        let is_recent = |it: &Record| {
            let since = self.tracked.get(&it.identity).and_then(|it| it.quarantined_at);
            since.is_some_and(|it| now.since(it) < ANNOUNCED_FOR)
        };
        let mut recent = self.records(now);
        recent.retain(is_recent);
        recent.sort_by_key(|it| !it.identity.is_part());
        recent.truncate(max);
        recent
    }

    /// Some of the requests in quarantine and of the released ones, to announce to another
    /// instance: each time the next ones, at most `max`.
    pub fn next_records(&mut self, now: Time, max: usize) -> Vec<Record> {
        let mut all = self.records(now);
        let released = self.released.iter().filter(|it| it.1.is_announced);
        all.extend(released.map(|(identity, it)| Record {
            identity: *identity,
            incarnations: it.incarnations.clone(),
            age_ms: now.since(it.at).as_millis() as u64,
            is_released: true,
        }));
        if all.is_empty() {
            return all;
        }
        all.sort_by_key(|it| it.identity);
        let start = self.announced_records % all.len();
        all.rotate_left(start);
        all.truncate(max);
        self.announced_records += all.len();
        all
    }
}
