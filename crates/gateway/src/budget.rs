//! The retry budget that all instances share.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use shallotlead_base::{hash::Map, time::Time};

/// Width of the buckets in which requests and retries are counted.
const BUCKET_WIDTH: Duration = Duration::from_millis(500);
/// Fraction of the allowed retries that is used, so that requests at the edge of the window, or
/// instances that learn of each other late, can't exceed the limit.
const REQUEST_MARGIN: f64 = 0.75;
/// The same for streams that have begun: the rest is reserved for them.
const STREAM_MARGIN: f64 = 0.93;

/// What a retry is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Purpose {
    /// A request whose caller has received nothing yet.
    Request,
    /// A stream that has begun.
    Stream,
}

/// The operator's settings for retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// Retries allowed per request.
    pub ratio: f64,
    /// The window over which both are counted.
    pub window: Duration,
    /// Retries allowed beyond the ratio, over all instances.
    pub slack: f64,
}

#[derive(Debug, Default)]
struct Window {
    /// Start of each bucket, and its numbers of requests and retries, oldest first.
    buckets: VecDeque<(Time, u32, u32)>,
}

/// Counts of requests and retries by service.
///
/// Guards against retry storms, in which a service receives many more attempts than there are
/// requests, while fewer and fewer are answered. The limit holds over all instances without
/// coordination: each spends the ratio of its own requests and an equal part of the slack.
#[derive(Debug)]
pub struct Budget {
    policy: Policy,
    windows: Map<Arc<str>, Window>,
}

impl Budget {
    /// An unused budget under `policy`.
    pub fn new(policy: Policy) -> Self {
        Self { policy, windows: Map::default() }
    }

    /// Counts a request to `service`.
    pub fn count_request(&mut self, now: Time, service: &Arc<str>) {
        self.bucket(now, service).1 += 1;
    }

    /// Takes one retry at `service` from the budget, if one is left. `instances`: number of those
    /// that share the slack, rounded up when unsure.
    pub fn withdraw(
        &mut self,
        now: Time,
        service: &Arc<str>,
        instances: u32,
        purpose: Purpose,
    ) -> bool {
        if self.remaining(now, service, instances, purpose) < 1.0 {
            return false;
        }
        self.bucket(now, service).2 += 1;
        true
    }

    /// Requests and retries at `service` within the current window.
    pub fn counts(&mut self, now: Time, service: &Arc<str>) -> (u32, u32) {
        let counted = self.policy.window + BUCKET_WIDTH;
        self.bucket(now, service);
        let recent = self.windows[service].buckets.iter().filter(|it| now.since(it.0) <= counted);
        recent.fold((0, 0), |sum, it| (sum.0 + it.1, sum.1 + it.2))
    }

    /// Retries at `service` that are left now.
    pub fn remaining(
        &mut self,
        now: Time,
        service: &Arc<str>,
        instances: u32,
        purpose: Purpose,
    ) -> f64 {
        let margin = match purpose {
            Purpose::Request => REQUEST_MARGIN,
            Purpose::Stream => STREAM_MARGIN,
        };
        let Policy { ratio, slack, .. } = self.policy;
        let (requests, retries) = self.counts(now, service);
        let (requests, retries) = (f64::from(requests), f64::from(retries));
        margin * (ratio * requests + slack / f64::from(instances.max(1))) - retries
    }

    fn bucket(&mut self, now: Time, service: &Arc<str>) -> &mut (Time, u32, u32) {
        let counted = self.policy.window + BUCKET_WIDTH;
        let buckets = &mut self.windows.entry(service.clone()).or_default().buckets;
        while buckets.front().is_some_and(|it| counted < now.since(it.0)) {
            buckets.pop_front();
        }
        if buckets.back().is_none_or(|it| BUCKET_WIDTH <= now.since(it.0)) {
            buckets.push_back((now, 0, 0));
        }
        let last = buckets.len() - 1;
        &mut buckets[last]
    }
}
