//! The prompts that one server has still to prefill, as far as instances tell each other.
//!
//! Answers the load of prompts that arrive faster than they are prefilled for a while. The expected times of all
//! prompts known to have been sent add up, and so do their errors: without correction, waits are expected that don't
//! exist for as long as the load lasts, and prompts are refused beside idle servers. Each first token shows how far the
//! server has come. Does no I/O.

use std::{collections::VecDeque, time::Duration};

use shallotlead_base::time::Time;

/// How long prompts that were sent are remembered: longer than callers wait for a first token.
const RECENT_WINDOW: Duration = Duration::from_secs(10);
/// A prompt that was sent this long before a load report may be missing from it: reports are a
/// tenth of a second old.
const REPORT_LAG: Duration = Duration::from_millis(150);

/// Prompts that are known to have been sent to a server and aren't known to have been prefilled.
#[derive(Clone, Debug)]
pub struct Backlog {
    /// When the server will have prefilled all of them.
    pub busy_until: Time,
    /// When it will have prefilled them with the fraction of its time that prefill may take.
    pub share_until: Time,
    /// That fraction.
    share: f64,
    /// Prompts that were sent recently: when, and how long each occupies the server.
    recent: VecDeque<(Time, Duration)>,
    /// How far the server is known to have come.
    progress: Option<Progress>,
}

/// The newest prompt that a server is known to have prefilled. Those that were sent before it come no later, but for
/// short ones, which may overtake.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Progress {
    /// When it was sent.
    pub sent: Time,
    /// When it had been prefilled.
    pub prefilled: Time,
}

impl Default for Backlog {
    fn default() -> Self {
        Self {
            busy_until: Time::ZERO,
            share_until: Time::ZERO,
            share: 1.0,
            recent: VecDeque::new(),
            progress: None,
        }
    }
}

impl Backlog {
    /// Records a prompt that occupies the server for `occupancy`, where prefill may take the fraction `share` of its
    /// time.
    pub fn enqueue(&mut self, now: Time, occupancy: Duration, share: f64) {
        self.busy_until = self.busy_until.max(now) + occupancy;
        self.share = share;
        self.share_until = self.share_until.max(now) + occupancy.div_f64(share);
        while self.recent.front().is_some_and(|it| it.0 + RECENT_WINDOW < now) {
            self.recent.pop_front();
        }
        self.recent.push_back((now, occupancy));
    }

    /// Records that nothing is left, as the server has dropped it all.
    pub(super) fn clear(&mut self, now: Time) {
        self.busy_until = now;
        self.share_until = now;
    }

    /// Applies a report made at `at` that nothing waits and that what runs occupies the server for `running`: it can
    /// have no more to prefill than that and what was sent since.
    pub(super) fn limit_to_running(&mut self, at: Time, running: Duration) {
        let until = at + running + self.sent_after(at - REPORT_LAG);
        self.busy_until = self.busy_until.min(until);
        self.share_until = self.share_until.min(until);
    }

    /// Applies that a prompt has been prefilled: the server can have no more to prefill than what was sent after it.
    pub fn record_progress(&mut self, progress: Progress) {
        let Progress { sent, prefilled } = progress;
        if self.progress.is_some_and(|it| sent <= it.sent) {
            return;
        }
        self.progress = Some(progress);
        if sent + RECENT_WINDOW < prefilled {
            return;
        }
        let queued = self.sent_after(sent);
        self.busy_until = self.busy_until.min(prefilled + queued);
        self.share_until = self.share_until.min(prefilled + queued.div_f64(self.share));
    }

    /// How far the server is known to have come.
    pub fn progress(&self) -> Option<Progress> {
        self.progress
    }

    /// How long the prompts that were sent after `sent` occupy the server.
    fn sent_after(&self, sent: Time) -> Duration {
        self.recent.iter().filter(|it| sent < it.0).map(|it| it.1).sum()
    }
}
