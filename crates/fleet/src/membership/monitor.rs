//! A member that this instance observes.

#[cfg(test)]
mod tests;

use std::time::Duration;

use shallotlead_base::time::Time;

/// After this silence the member is asked, directly and through others: two heartbeats were missed.
const PROBE_AFTER: Duration = Duration::from_millis(750);
/// After this silence the member is suspected.
const SUSPECT_AFTER: Duration = Duration::from_millis(1_150);
/// A member is new for this long.
const NEW_FOR: Duration = Duration::from_secs(3);
/// Time that a new member's links may take to open.
const CONNECT_ALLOWANCE: Duration = Duration::from_secs(2);
/// Time between questions to a silent member.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// What one instance heard of a member that it observes.
#[derive(Debug)]
pub(crate) struct Monitor {
    last_contact: Time,
    asked: Time,
}

impl Monitor {
    /// A watch of a member whose state is known since `since`.
    pub(crate) fn new(now: Time, since: Time) -> Self {
        // Guards against taking a new member for dead before its links are open, as it would show on a
        // busy machine by members that die right after they came. The first silence of a new one may be
        // longer; one that is observed anew, because its observers died, gets no such time.
        let heard = if now.since(since) < NEW_FOR { now + CONNECT_ALLOWANCE } else { now };
        Self { last_contact: heard, asked: now }
    }

    /// The member, or one that reached it, was heard.
    pub(crate) fn record_contact(&mut self, now: Time) {
        self.last_contact = now;
    }

    /// The silence is measured from here.
    pub(crate) fn restart(&mut self, now: Time) {
        self.last_contact = now;
    }

    /// Whether the member was silent for so long that it is suspected.
    pub(crate) fn is_silent(&self, now: Time, strain: u32) -> bool {
        self.last_contact + SUSPECT_AFTER * (1 + strain) <= now
    }

    /// Whether the member is to be asked now; notes that it is.
    pub(crate) fn take_probe(&mut self, now: Time, strain: u32) -> bool {
        let due = self.next_probe(strain) <= now;
        if due {
            self.asked = now;
        }
        due
    }

    /// When the next look is due.
    pub(crate) fn next(&self, strain: u32) -> Time {
        self.next_probe(strain)
    }

    fn next_probe(&self, strain: u32) -> Time {
        (self.last_contact + PROBE_AFTER * (1 + strain)).max(self.asked + PROBE_INTERVAL)
    }
}
