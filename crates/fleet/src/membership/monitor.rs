//! A member that this instance observes.

#[cfg(test)]
mod tests;

use std::time::Duration;

use shallotlead_base::time::Time;

/// After this silence the member is asked, directly and through others: two heartbeats were missed.
const ASK: Duration = Duration::from_millis(750);
/// After this silence the member is suspected.
const SILENT: Duration = Duration::from_millis(1_150);
/// A member is new for this long.
const NEW: Duration = Duration::from_secs(3);
/// Time that a new member's links may take to open.
const LINKS: Duration = Duration::from_secs(2);
/// Time between questions to a silent member.
const AGAIN: Duration = Duration::from_millis(200);

/// What one instance heard of a member that it observes.
#[derive(Debug)]
pub(crate) struct Watch {
    heard: Time,
    asked: Time,
}

impl Watch {
    /// A watch of a member whose state is known since `since`.
    pub(crate) fn new(now: Time, since: Time) -> Self {
        // Guards against taking a new member for dead before its links are open, as it would show on a
        // busy machine by members that die right after they came. The first silence of a new one may be
        // longer; one that is observed anew, because its observers died, gets no such time.
        let heard = if now.since(since) < NEW { now + LINKS } else { now };
        Self { heard, asked: now }
    }

    /// The member, or one that reached it, was heard.
    pub(crate) fn hear(&mut self, now: Time) {
        self.heard = now;
    }

    /// The silence is measured from here.
    pub(crate) fn restart(&mut self, now: Time) {
        self.heard = now;
    }

    /// Whether the member was silent for so long that it is suspected.
    pub(crate) fn is_silent(&self, now: Time, strain: u32) -> bool {
        self.heard + SILENT * (1 + strain) <= now
    }

    /// Whether the member is to be asked now; notes that it is.
    pub(crate) fn ask(&mut self, now: Time, strain: u32) -> bool {
        let due = self.next_question(strain) <= now;
        if due {
            self.asked = now;
        }
        due
    }

    /// When the next look is due.
    pub(crate) fn next(&self, strain: u32) -> Time {
        self.next_question(strain)
    }

    fn next_question(&self, strain: u32) -> Time {
        (self.heard + ASK * (1 + strain)).max(self.asked + AGAIN)
    }
}
