//! Monitoring of one member that this instance observes.

#[cfg(test)]
mod tests;

use std::time::Duration;

use shallotlead_base::time::Time;

/// Silence after which the member is probed, directly and through others: two missed heartbeats.
const PROBE_AFTER: Duration = Duration::from_millis(750);
/// Silence after which the member is suspected.
const SUSPECT_AFTER: Duration = Duration::from_millis(1_150);
/// How long a member counts as new.
const NEW_FOR: Duration = Duration::from_secs(3);
/// Time that the links to a new member may take to open.
const CONNECT_ALLOWANCE: Duration = Duration::from_secs(2);
/// Time between probes of a silent member.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// When an observed member was last heard from and last probed.
#[derive(Debug)]
pub(crate) struct Monitor {
    last_contact: Time,
    last_probe: Time,
}

impl Monitor {
    /// Starts monitoring a member that is in its present state since `since`.
    pub(crate) fn new(now: Time, since: Time) -> Self {
        // A new member may be silent for longer at first: on a busy machine its links may not be open
        // yet, and it would be declared dead right after it joined. A known member that is newly
        // observed here, because its observers died, gets no such allowance.
        let last_contact = if now.since(since) < NEW_FOR { now + CONNECT_ALLOWANCE } else { now };
        Self { last_contact, last_probe: now }
    }

    /// Records that the member, or another that reached it, was heard from.
    pub(crate) fn record_contact(&mut self, now: Time) {
        self.last_contact = now;
    }

    /// Measures the silence from `now`.
    pub(crate) fn restart(&mut self, now: Time) {
        self.last_contact = now;
    }

    /// Whether the member was silent for so long that it is to be suspected.
    pub(crate) fn is_silent(&self, now: Time, health_penalty: u32) -> bool {
        self.last_contact + SUSPECT_AFTER * (1 + health_penalty) <= now
    }

    /// Whether a probe of the member is due; if so, it counts as sent.
    pub(crate) fn take_probe(&mut self, now: Time, health_penalty: u32) -> bool {
        let due = self.next_probe(health_penalty) <= now;
        if due {
            self.last_probe = now;
        }
        due
    }

    /// When the next check of the member is due.
    pub(crate) fn next(&self, health_penalty: u32) -> Time {
        self.next_probe(health_penalty)
    }

    fn next_probe(&self, health_penalty: u32) -> Time {
        (self.last_contact + PROBE_AFTER * (1 + health_penalty))
            .max(self.last_probe + PROBE_INTERVAL)
    }
}
