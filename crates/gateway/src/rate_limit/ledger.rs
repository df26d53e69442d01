//! The tokens for rejections that a server bears, as the limit's owner holds them.

use std::{collections::VecDeque, time::Duration};

use shallotlead_base::time::Time;

use super::{
    bucket::{Bucket, Flow},
    unsettled::{REJECTION_TIME, Report},
};

/// How long after a sign of life of the server its earlier rejections are known here.
const REPORT_TIME: Duration = Duration::from_millis(10);

/// Signs of life closer to each other count as one.
const MIN_SIGN_INTERVAL: Duration = Duration::from_millis(5);

/// A bucket to which tokens return once the server is known to have taken their requests.
///
/// A request counts as taken if its instance hasn't seen a rejection, although the server has responded to something
/// since. Time alone shows nothing: a suspended server rejects what it got once it goes on.
#[derive(Clone, Debug)]
pub(super) struct Ledger {
    pub(super) bucket: Bucket,
    /// Requests that weren't rejected so far: when they were sent, and how many.
    unrejected: VecDeque<(Time, u16)>,
    /// When instances heard of the server, and when that was known here.
    signs: VecDeque<(Time, Time)>,
    /// When any instance heard of the server last, as it was known [`REPORT_TIME`] ago.
    heard_at: Time,
}

impl Ledger {
    pub(super) fn new(bucket: Bucket) -> Self {
        Self { bucket, unrejected: VecDeque::new(), signs: VecDeque::new(), heard_at: Time::ZERO }
    }

    pub(super) fn refill(&mut self, now: Time, flow: Flow) {
        self.bucket.refill(now, flow);
        while let Some(it) = self.signs.pop_front_if(|it| REPORT_TIME <= now.since(it.1)) {
            self.heard_at = it.0;
        }
        while let Some((_, requests)) =
            self.unrejected.pop_front_if(|it| it.0 + REJECTION_TIME <= self.heard_at)
        {
            self.bucket.settle(f64::from(requests));
        }
    }

    /// Applies an instance's report.
    pub(super) fn apply(&mut self, now: Time, report: &Report) {
        if 0 < report.unrejected {
            self.unrejected.push_back((report.sent, report.unrejected));
        }
        self.remove_rejected(report.rejected);
        self.record_sign(now, report.heard_at);
    }

    /// Records that requests which had counted as not rejected were rejected after all.
    fn remove_rejected(&mut self, mut requests: u16) {
        while let Some(it) = self.unrejected.front_mut().filter(|_| 0 < requests) {
            let removed = requests.min(it.1);
            it.1 -= removed;
            requests -= removed;
            if it.1 == 0 {
                self.unrejected.pop_front();
            }
        }
        self.bucket.charge(f64::from(requests));
    }

    /// Records when an instance heard of the server.
    fn record_sign(&mut self, now: Time, heard_at: Time) {
        let last = self.signs.back().map_or(self.heard_at, |it| it.0);
        if last + MIN_SIGN_INTERVAL <= heard_at {
            self.signs.push_back((heard_at, now));
        }
    }
}
