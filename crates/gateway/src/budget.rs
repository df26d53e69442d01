//! The retry budget that all instances share.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use shallotlead_base::{hash::Map, time::Time};

/// Width of the buckets in which the window is counted.
const BUCKET: Duration = Duration::from_millis(500);
/// Part of the allowed retries that is used, so that requests which cross a window's edge, or
/// instances that count each other late, can't exceed the whole.
const MARGIN: f64 = 0.75;
/// The same for streams of which callers have a part already: the rest is kept for these.
const STREAM_MARGIN: f64 = 0.93;

/// What a retry is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Purpose {
    /// A request of which the caller has nothing yet.
    Request,
    /// A stream that has begun.
    Stream,
}

/// What the operator allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// Retries for each request.
    pub ratio: f64,
    /// The window over which both are counted.
    pub window: Duration,
    /// Retries beyond the ratio, over all instances.
    pub slack: f64,
}

#[derive(Debug, Default)]
struct Count {
    buckets: VecDeque<(Time, u32, u32)>,
}

/// Counts of requests and retries by service.
///
/// Guards against a retry storm, which shows as many more arrivals at a service than there are
/// requests, while fewer and fewer are answered. It holds over all instances without any talk
/// between them: each spends the ratio of its own requests and an equal part of the slack.
#[derive(Debug)]
pub struct Budget {
    terms: Policy,
    counts: Map<Arc<str>, Count>,
}

impl Budget {
    /// A budget under `terms`.
    pub fn new(terms: Policy) -> Self {
        Self { terms, counts: Map::default() }
    }

    /// A request came for `service`.
    pub fn count_request(&mut self, now: Time, service: &Arc<str>) {
        self.bucket(now, service).1 += 1;
    }

    /// Takes one retry at `service` out, if there is one. `instances`: those that share the slack,
    /// counted high when unsure.
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

    /// Requests and retries at `service` that count now.
    pub fn counts(&mut self, now: Time, service: &Arc<str>) -> (u32, u32) {
        let window = self.terms.window + BUCKET;
        self.bucket(now, service);
        let recent = self.counts[service].buckets.iter().filter(|it| now.since(it.0) <= window);
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
            Purpose::Request => MARGIN,
            Purpose::Stream => STREAM_MARGIN,
        };
        let Policy { ratio, slack, .. } = self.terms;
        let (requests, retries) = self.counts(now, service);
        let (requests, retries) = (f64::from(requests), f64::from(retries));
        margin * (ratio * requests + slack / f64::from(instances.max(1))) - retries
    }

    fn bucket(&mut self, now: Time, service: &Arc<str>) -> &mut (Time, u32, u32) {
        let keep = self.terms.window + BUCKET;
        let buckets = &mut self.counts.entry(service.clone()).or_default().buckets;
        while buckets.front().is_some_and(|it| keep < now.since(it.0)) {
            buckets.pop_front();
        }
        if buckets.back().is_none_or(|it| BUCKET <= now.since(it.0)) {
            buckets.push_back((now, 0, 0));
        }
        let last = buckets.len() - 1;
        &mut buckets[last]
    }
}
