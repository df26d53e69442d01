//! Sends calls to the platform's store, collects paged replies, and tracks whether the store
//! answers.

use std::time::Duration;

use shallotlead_base::store::{Call, Failure, Reply};
use shallotlead_platform::{outcome::Outcome, scheduler::CallId};

use crate::{
    adapter::StoreReply,
    core::{
        Core,
        control::{self, Purpose},
        storage::{Pages, RETRY_DELAY},
    },
};

/// Timeout of a call. The store usually answers in 4 ms, and in 250 ms when it is slow.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time beyond the wait in which a watch has to be answered in a large fleet, where other instances
/// depend on those that watch.
const LARGE_FLEET_WATCH_TIMEOUT: Duration = Duration::from_millis(600);

impl Core {
    pub(super) fn send_call(&mut self, sent: CallId, mut call: Call) {
        if let Some(outcome) = self.reply_if_outdated(&call) {
            self.storage.scheduler.handle_outcome(sent, outcome, self.now);
            return;
        }
        let timeout = match &mut call {
            Call::Watch { kind, wait, .. } => {
                *wait = self.storage.watch_timeout(kind, *wait);
                let answer_time =
                    if self.members.is_large() { LARGE_FLEET_WATCH_TIMEOUT } else { CALL_TIMEOUT };
                *wait + answer_time
            }
            Call::Get(_) | Call::Put { .. } | Call::Delete { .. } | Call::List { .. } => {
                CALL_TIMEOUT
            }
        };
        let after = self.storage.pages(&call).and_then(Pages::after);
        let request = self.adapter.store_request(&call, after);
        let purpose = Purpose::Store { sent, call };
        self.send_control(self.storage.address, &request, timeout, purpose);
    }

    pub(crate) fn handle_store_answer(
        &mut self,
        sent: CallId,
        call: Call,
        answer: control::Outcome,
    ) {
        let status = answer.status();
        let outcome = match answer {
            control::Outcome::NotSent | control::Outcome::Refused => {
                Outcome::Unavailable { retry_after: None }
            }
            control::Outcome::TooLong => self.handle_long_answer(&call),
            control::Outcome::Reset | control::Outcome::Lost => Outcome::Lost,
            control::Outcome::Answered { fields, body, .. } => {
                // A refusal only says that the call had no effect; it may lack the era.
                let is_refusal = matches!(status, 429 | 503);
                let is_usable = self.accept_era(&fields, is_refusal);
                match self.adapter.parse_store_reply(&call, status, &fields, &body) {
                    _ if !is_usable || self.is_list_outdated(&call) => {
                        self.storage.discard_pages(&call);
                        Outcome::Lost
                    }
                    StoreReply::Page { objects, last, version } => {
                        let version = self.apply_page(&call, &objects, version);
                        if self.storage.advance_list(&call, &last) {
                            self.record_page(&call);
                            Outcome::Answered(Reply::Listed { objects: Vec::new(), version })
                        } else {
                            self.reject_list(&call, "repeated", status)
                        }
                    }
                    StoreReply::Done(Outcome::Answered(Reply::Listed { objects, version })) => {
                        let version = self.apply_page(&call, &objects, version);
                        Outcome::Answered(Reply::Listed { objects: Vec::new(), version })
                    }
                    StoreReply::Done(outcome) => self.discard_if_outdated(&call, outcome),
                    StoreReply::Rejected => self.reject_list(&call, "rejected", status),
                }
            }
        };
        if matches!(call, Call::List { .. }) && !matches!(outcome, Outcome::Answered(_)) {
            self.record_failed_list(&call, outcome_name(&outcome), status);
        }
        self.stats.count_store_call(call_kind(&call), outcome_name(&outcome));
        self.update_connectivity(&call, &outcome);
        self.storage.scheduler.handle_outcome(sent, outcome, self.now);
    }

    /// Whether pages of the list were read in an earlier era of the store: they don't form a consistent list with later
    /// ones.
    fn is_list_outdated(&self, call: &Call) -> bool {
        let era = self.storage.era.number();
        let version = self.storage.pages(call).and_then(Pages::version);
        version.is_some_and(|it| it.era() != era)
    }

    /// Handles an answer that is longer than any that is read. The changes that a watch waits for are read page by page
    /// instead.
    fn handle_long_answer(&mut self, call: &Call) -> Outcome {
        match call {
            Call::Watch { .. } => Outcome::Answered(Reply::Failed(Failure::Compacted)),
            Call::List { .. } => self.reject_list(call, "too-long", 0),
            Call::Get(_) | Call::Put { .. } | Call::Delete { .. } => Outcome::Lost,
        }
    }

    /// Gives up a list that the store answers, but that can't be read to its end. Other kinds aren't affected.
    fn reject_list(&mut self, call: &Call, reason: &'static str, status: u16) -> Outcome {
        self.record_failed_list(call, reason, status);
        self.storage.reject_list(call);
        let failure = Failure::NotApplied { retry_after: RETRY_DELAY };
        Outcome::Answered(Reply::Failed(failure))
    }

    /// Counts a page of a list with further pages, and logs the list if it is long.
    fn record_page(&mut self, call: &Call) {
        let (kind, Some(pages)) = (call_kind(call), self.storage.pages(call)) else { return };
        self.stats.count_list_page(kind);
        if pages.is_logged() {
            self.log
                .line(self.now, "list_long")
                .text("kind", kind)
                .number("pages", pages.count())
                .number("objects", pages.object_count())
                .text("after", pages.after().unwrap_or_default());
        }
    }

    /// Logs and counts a list that was given up.
    fn record_failed_list(&mut self, call: &Call, reason: &'static str, status: u16) {
        let (kind, Some(pages)) = (call_kind(call), self.storage.pages(call)) else { return };
        self.stats.count_failed_list(kind, reason);
        self.log
            .line(self.now, "list_failed")
            .text("kind", kind)
            .text("reason", reason)
            .number("status", status)
            .number("pages", pages.count())
            .number("objects", pages.object_count())
            .text("after", pages.after().unwrap_or_default());
    }

    /// Cancels the open watches, as the changes that they wait for may have been lost. The
    /// scheduler sends them again.
    pub(super) fn cancel_watches(&mut self) {
        for connection in self.store_watches() {
            self.end_control(connection, control::End::TimedOut);
        }
    }

    /// Records whether the store answers this instance.
    fn update_connectivity(&mut self, call: &Call, outcome: &Outcome) {
        let now = self.now;
        if !matches!(outcome, Outcome::Answered(_)) {
            self.storage.mark_interrupted(call_kind(call));
        }
        let connectivity = &mut self.storage.connectivity;
        let is_lost = match (outcome, call) {
            (Outcome::Answered(_), _) => {
                if let Some(outage) = connectivity.record_answer(now) {
                    self.handle_store_return(outage);
                }
                false
            }
            (Outcome::Lost, Call::Watch { kind, wait, .. }) => {
                let is_lost = connectivity.record_broken_watch(now, *wait);
                self.log_broken_watch(kind);
                is_lost
            }
            (Outcome::Lost | Outcome::Refused { .. } | Outcome::Unavailable { .. }, _) => {
                connectivity.record_failure(now)
            }
        };
        if is_lost {
            self.log
                .line(now, "store_lost")
                .text("outcome", outcome_name(outcome))
                .text("call", call_kind(call));
        }
    }

    fn handle_store_return(&mut self, outage: Duration) {
        self.pool.record_store_recovery(self.now, outage);
        self.log.line(self.now, "store_regained").ms("away_ms", outage);
        // A watch that was open while the store didn't answer may never be answered, and changes
        // would be missed until it times out.
        self.cancel_watches();
    }

    /// Logs a broken watch; of several in a row only the first, second, fourth and so on.
    fn log_broken_watch(&mut self, kind: &str) {
        let connectivity = &self.storage.connectivity;
        if connectivity.broken_watches().is_power_of_two() {
            self.log
                .line(self.now, "watch_broken")
                .text("kind", kind)
                .number("in_a_row", connectivity.broken_watches())
                .ms("answered_before_ms", connectivity.age(self.now));
        }
    }
}

fn outcome_name(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Answered(_) => "answered",
        Outcome::Refused { .. } => "refused",
        Outcome::Unavailable { .. } => "unavailable",
        Outcome::Lost => "lost",
    }
}

fn call_kind(call: &Call) -> &str {
    match call {
        Call::Get(key) | Call::Put { key, .. } | Call::Delete { key, .. } => &key.kind,
        Call::List { kind } | Call::Watch { kind, .. } => kind,
    }
}
