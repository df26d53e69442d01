//! Exports the scheduler's counters as metrics.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use metrics::{counter, gauge};
use shallotlead_base::time::Time;

use crate::{client::Health, counts::Counts, scheduler::Scheduler};

/// Shortest time over which the rate of calls is averaged.
const WINDOW: Duration = Duration::from_secs(1);

/// Publishes metrics and the platform's [`Health`].
pub(super) struct Meter {
    window_start: Time,
    calls_at_window_start: u64,
    was_unavailable: bool,
    health: Arc<Mutex<Health>>,
}

impl Meter {
    pub(super) fn new(health: Arc<Mutex<Health>>) -> Self {
        Self { window_start: Time::ZERO, calls_at_window_start: 0, was_unavailable: false, health }
    }

    pub(super) fn record(&mut self, scheduler: &Scheduler, now: Time) {
        let counts = scheduler.counts();
        export(counts);
        self.record_rate(counts, now);
        self.record_outage(scheduler.is_unavailable());
    }

    fn record_rate(&mut self, counts: Counts, now: Time) {
        let passed = now.since(self.window_start);
        if passed < WINDOW {
            return;
        }
        let calls = counts.calls() - self.calls_at_window_start;
        let rate = calls as f64 / passed.as_secs_f64();
        gauge!("shallotlead_platform_calls_per_second").set(rate);
        self.publish(|it| it.calls_per_second = rate);
        self.window_start = now;
        self.calls_at_window_start = counts.calls();
    }

    fn record_outage(&mut self, is_unavailable: bool) {
        if is_unavailable != self.was_unavailable {
            let state = if is_unavailable { "begins" } else { "ended" };
            log::warn!("platform outage {state}");
        }
        self.was_unavailable = is_unavailable;
        gauge!("shallotlead_platform_out").set(f64::from(u8::from(is_unavailable)));
        self.publish(|it| it.available = !is_unavailable);
    }

    fn publish(&self, update: impl FnOnce(&mut Health)) {
        update(&mut self.health.lock().unwrap_or_else(PoisonError::into_inner));
    }
}

fn export(counts: Counts) {
    let calls = |family: &'static str, value| {
        counter!("shallotlead_platform_calls_total", "family" => family).absolute(value);
    };
    calls("read", counts.reads);
    calls("write", counts.writes);
    calls("watch", counts.watches);
    let settled = |result: &'static str, value| {
        counter!("shallotlead_platform_settled_total", "result" => result).absolute(value);
    };
    settled("applied", counts.settled_applied);
    settled("resent", counts.settled_resent);
    settled("unknown", counts.settled_unknown);
    counter!("shallotlead_platform_merged_total").absolute(counts.merged);
    counter!("shallotlead_platform_refused_total").absolute(counts.refused);
    counter!("shallotlead_platform_unanswered_total").absolute(counts.unanswered);
    counter!("shallotlead_platform_given_back_total").absolute(counts.given_back);
    counter!("shallotlead_platform_outages_total").absolute(counts.outages);
}
