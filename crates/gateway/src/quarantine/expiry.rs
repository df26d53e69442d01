//! The end of quarantines: trials, and what is forgotten.

use std::{mem, time::Duration};

use shallotlead_base::time::Time;

use super::{Identity, Quarantine};

/// After this many times the retention a request in quarantine runs on trial although it is retried
/// all the time: it may have been implicated wrongly, or the servers may have been fixed.
const MAX_RETENTION_FACTOR: u32 = 6;

/// Time for which each instance leaves the probe of a part to the one before it. Less than its result
/// takes to arrive would have several probe at once.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// What happens to a request whose time in quarantine is over.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Expiry {
    /// It may run once more; if it crashes another server, it is quarantined again at once. A part
    /// stays in quarantine but for one request, which claims the trial.
    OnTrial,
    /// It is no longer tracked.
    Forgotten,
}

impl Quarantine {
    /// Drops what has expired. Requests in quarantine run on trial first; of a part, one request that
    /// claims the trial.
    pub fn expire(&mut self, now: Time) -> Vec<(Identity, Expiry)> {
        self.starts.expire(now);
        let policy = self.policy;
        let mut over = Vec::new();
        self.tracked.retain(|identity, evidence| {
            let retention = policy.retention(identity, evidence.crashed.len());
            evidence.drop_unexplained(now);
            let is_forgotten = retention <= now.since(evidence.last_seen);
            let Some(since) = evidence.quarantined_at else {
                if is_forgotten && 1 < evidence.crashed.len() {
                    over.push((*identity, Expiry::Forgotten));
                }
                return !is_forgotten && !evidence.is_empty();
            };
            if identity.is_part() {
                if !evidence.has_open_trial && policy.next_trial_delay(evidence) <= now.since(since)
                {
                    evidence.has_open_trial = true;
                    over.push((*identity, Expiry::OnTrial));
                }
                if is_forgotten {
                    over.push((*identity, Expiry::Forgotten));
                }
                return !is_forgotten;
            }
            if is_forgotten || retention * MAX_RETENTION_FACTOR <= now.since(since) {
                evidence.put_on_trial(now, policy.crash_threshold);
                over.push((*identity, Expiry::OnTrial));
            }
            true
        });
        self.released.retain(|_, it| now.since(it.at) < policy.retention);
        over
    }

    /// Claims the trial of a part in quarantine for a prompt with these `parts`, if one is due. The
    /// instance whose `rank` is 0 may do so first, and the others once they may assume that no
    /// request comes to those before them.
    pub fn claim_trial(
        &mut self,
        now: Time,
        identity: &Identity,
        parts: &[Identity],
        rank: usize,
    ) -> bool {
        let policy = self.policy;
        let is_probe = self.is_probe(identity, parts);
        let Some(evidence) = self.tracked.get_mut(identity) else { return false };
        let since = evidence.quarantined_at.unwrap_or(now);
        if is_probe
            && PROBE_INTERVAL * rank as u32 <= now.since(since)
            && mem::take(&mut evidence.has_open_probe)
        {
            evidence.last_seen = now;
            return true;
        }
        let wait = policy.trial_delay(evidence.crashed.len()) * 2;
        let is_due = rank == 0 || wait <= now.since(since);
        if !is_due || !mem::take(&mut evidence.has_open_trial) {
            return false;
        }
        (evidence.quarantined_at, evidence.last_seen) = (Some(now), now);
        true
    }

    /// Whether a prompt with these `parts` shows whether a part in quarantine is the cause or one
    /// below it: it has no part below it that may be the cause itself, as it was in the crashes and
    /// nothing below that one was.
    fn is_probe(&self, identity: &Identity, parts: &[Identity]) -> bool {
        let evidence = self.tracked.get(identity).filter(|it| it.has_open_probe);
        let Some(evidence) = evidence else { return false };
        let position = parts.iter().position(|it| it == identity);
        let below = position.map_or(&[][..], |it| &parts[it + 1..]);
        let was_in_crashes = |it: &Identity| {
            let other = self.tracked.get(it);
            other.is_some_and(|it| evidence.crashed.iter().any(|id| it.includes(*id)))
        };
        let is_ancestor =
            |identity: &Identity| self.tracked.values().any(|it| it.ancestors.contains(identity));
        let is_suspect = |it: &Identity| was_in_crashes(it) && !is_ancestor(it);
        (!below.is_empty() || is_ancestor(identity)) && !below.iter().any(is_suspect)
    }
}
