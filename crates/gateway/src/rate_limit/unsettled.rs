//! Requests of which it isn't known yet whether their servers take or reject them.

use std::{collections::VecDeque, time::Duration};

use shallotlead_base::time::Time;

use crate::pool;

/// How long after it was sent a request would have been rejected by a server that responds: servers reject on arrival.
pub(super) const REJECTION_TIME: Duration = Duration::from_millis(30);
/// How long a request is tracked; the owner's tokens have accrued again by then.
const MAX_AGE: Duration = Duration::from_secs(10);

/// One request among those that an instance tracks.
pub type Serial = u64;

/// What an instance tells the owner of a server's limit of the requests that it sent there.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Report {
    /// The server.
    pub server: pool::Id,
    /// Requests that were not rejected in time.
    pub unrejected: u16,
    /// When the last of them was sent.
    pub sent: Time,
    /// Requests of earlier reports that were rejected or lost after all.
    pub rejected: u16,
    /// When anything came from the server last.
    pub heard_at: Time,
}

/// The requests that one instance has sent with permits.
#[derive(Debug, Default)]
pub struct Unsettled {
    /// Oldest first.
    entries: VecDeque<Entry>,
    next: Serial,
}

#[derive(Debug)]
struct Entry {
    serial: Serial,
    server: pool::Id,
    sent: Time,
    state: State,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Sent,
    /// Not rejected in time. It is reported the next time, as after a suspension a rejection may still be unread.
    Due,
    Reported,
    /// The server answers it.
    Taken,
    /// The same, after it was reported.
    Confirmed,
    /// Rejected or lost, after it was reported.
    Rejected,
}

impl Unsettled {
    /// Adds a request that is sent now.
    pub fn add(&mut self, now: Time, server: pool::Id) -> Serial {
        self.next += 1;
        let entry = Entry { serial: self.next, server, sent: now, state: State::Sent };
        self.entries.push_back(entry);
        self.next
    }

    /// Records that the server answers the request, and so has taken it.
    pub fn confirm(&mut self, serial: Serial) {
        if let Some(it) = self.entries.iter_mut().find(|it| it.serial == serial) {
            it.state = match it.state {
                State::Sent | State::Due => State::Taken,
                State::Reported => State::Confirmed,
                it => it,
            };
        }
    }

    /// Records that the request was rejected or lost.
    pub fn withdraw(&mut self, serial: Serial) {
        let Some(index) = self.entries.iter().position(|it| it.serial == serial) else { return };
        match self.entries[index].state {
            State::Reported => self.entries[index].state = State::Rejected,
            State::Sent | State::Due => drop(self.entries.remove(index)),
            State::Taken | State::Confirmed | State::Rejected => {}
        }
    }

    /// Whether no request is tracked.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Takes what the owners are to be told now, by server. `heard_at`: when anything came from a server last.
    pub fn take_reports(&mut self, now: Time, heard_at: impl Fn(pool::Id) -> Time) -> Vec<Report> {
        let mut reports = Vec::new();
        self.entries.retain_mut(|it| {
            let before = it.state;
            match before {
                State::Sent if REJECTION_TIME <= now.since(it.sent) => it.state = State::Due,
                State::Due => it.state = State::Reported,
                _ => {}
            }
            if !matches!(before, State::Sent | State::Reported) {
                report_on(&mut reports, it.server, heard_at(it.server)).add(it.sent, before);
            }
            let is_open = matches!(before, State::Sent | State::Due | State::Reported);
            is_open && now.since(it.sent) < MAX_AGE
        });
        reports
    }
}

impl Report {
    fn add(&mut self, sent: Time, state: State) {
        match state {
            State::Due => self.add_unrejected(sent),
            // What was answered has been taken, however fast that was.
            State::Taken => self.add_unrejected(sent.min(self.heard_at - REJECTION_TIME)),
            State::Rejected => self.rejected = self.rejected.saturating_add(1),
            State::Sent | State::Reported | State::Confirmed => {}
        }
    }

    fn add_unrejected(&mut self, sent: Time) {
        self.unrejected = self.unrejected.saturating_add(1);
        self.sent = self.sent.max(sent);
    }
}

fn report_on(reports: &mut Vec<Report>, server: pool::Id, heard_at: Time) -> &mut Report {
    let index = reports.iter().position(|it| it.server == server).unwrap_or(reports.len());
    if index == reports.len() {
        let sent = Time::ZERO;
        reports.push(Report { server, unrejected: 0, sent, rejected: 0, heard_at });
    }
    &mut reports[index]
}
