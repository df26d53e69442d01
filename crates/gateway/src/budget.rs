//! The retry budget that all instances share.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use shallotlead_base::{hash::Map, time::Time};

/// Width of the buckets in which requests and retries are counted.
const BUCKET_WIDTH: Duration = Duration::from_millis(100);
/// How long a retry that was drawn may wait for a server.
pub const DRAW_VALIDITY: Duration = Duration::from_millis(700);
/// Longest time from a draw until the retry reaches a server that is covered: its wait, and then until a connection is
/// established.
const ARRIVAL_DELAY: Duration = Duration::from_secs(1);
/// Weights of the requests within a window, and of those within the window before it. They add up to one and are the
/// same at all instances, so that what all instances draw adds up to at most what the busier window allows.
const WINDOW_WEIGHT: f64 = 0.6;
const EARLIER_WEIGHT: f64 = 1.0 - WINDOW_WEIGHT;
/// Fraction of the budget for requests whose callers have received nothing yet. The rest is reserved for streams that
/// have lost their server.
const REQUEST_FRACTION: f64 = 0.8;
/// Fraction of the budget for streams that could also stay where they are.
const MIGRATION_FRACTION: f64 = 0.4;

/// What a retry is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Purpose {
    /// A request whose caller has received nothing yet.
    Request,
    /// A stream that has begun, and whose server is lost or doesn't respond.
    Stream,
    /// A stream that has begun, and whose server works.
    Migration,
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

/// A retry that the budget has offered.
#[derive(Debug)]
pub struct Draw {
    service: Arc<str>,
    at: Time,
    left: f64,
}

impl Draw {
    /// Retries that are left once it is taken.
    pub fn left(&self) -> f64 {
        self.left
    }
}

/// What was counted during [`BUCKET_WIDTH`].
#[derive(Clone, Copy, Debug)]
struct Bucket {
    start: Time,
    requests: u32,
    retries: u32,
}

/// Counts of requests and retries by service.
///
/// Guards against retry storms, in which a service receives many more attempts than there are requests, while fewer
/// and fewer are answered. The limit holds for all instances together, however often they restart, without
/// coordination: each process spends the ratio of the requests that it has received itself, and a share of the slack.
///
/// Let `W` be any window, and `V` the one before it. A process draws a retry only if, for each `W` that the retry may
/// reach a server in, its retries in `W` stay within a share of the slack and `ratio` times the weighted sum of its
/// requests in `V` and `W`, by what it has counted so far. Summed over all processes that is at most the slack and
/// `ratio` times the requests in `V` or `W`, whichever has more.
#[derive(Debug)]
pub struct Budget {
    policy: Policy,
    buckets: Map<Arc<str>, VecDeque<Bucket>>,
}

impl Budget {
    /// An unused budget under `policy`.
    pub fn new(policy: Policy) -> Self {
        Self { policy, buckets: Map::default() }
    }

    /// The time within which retries may reach a server in the same window.
    pub fn span(&self) -> Duration {
        self.policy.window + ARRIVAL_DELAY + BUCKET_WIDTH
    }

    /// Counts a request to `service`.
    pub fn count_request(&mut self, now: Time, service: &Arc<str>) {
        self.bucket(now, service).requests += 1;
    }

    /// A retry at `service` that the budget allows now, or else what is left of less than one. `share`: the fraction of
    /// the slack that this process may spend.
    pub fn offer(
        &mut self,
        now: Time,
        service: &Arc<str>,
        share: f64,
        purpose: Purpose,
    ) -> Result<Draw, f64> {
        let left = self.remaining(now, service, share, purpose);
        match 1.0 <= left {
            true => Ok(Draw { service: service.clone(), at: now, left: left - 1.0 }),
            false => Err(left),
        }
    }

    /// Takes a retry that was offered.
    pub fn withdraw(&mut self, draw: &Draw) {
        self.bucket(draw.at, &draw.service).retries += 1;
    }

    /// Requests and retries at `service` within the current window.
    pub fn counts(&mut self, now: Time, service: &Arc<str>) -> (u32, u32) {
        self.bucket(now, service);
        let window = self.policy.window;
        let recent = self.buckets[service].iter().filter(|it| now.since(it.start) <= window);
        recent.fold((0, 0), |sum, it| (sum.0 + it.requests, sum.1 + it.retries))
    }

    /// Retries at `service` that are left now.
    pub fn remaining(
        &mut self,
        now: Time,
        service: &Arc<str>,
        share: f64,
        purpose: Purpose,
    ) -> f64 {
        let fraction = match purpose {
            Purpose::Request => REQUEST_FRACTION,
            Purpose::Stream => 1.0,
            Purpose::Migration => MIGRATION_FRACTION,
        };
        let (span, Policy { ratio, window, slack }) = (self.span(), self.policy);
        self.bucket(now, service);
        let buckets = &self.buckets[service];
        // Buckets from these indices on lie in the window, and in it or the one before.
        let (mut within, mut before) = (buckets.len(), buckets.len());
        let (mut requests, mut earlier, mut retries) = (0, 0, 0);
        let mut left = f64::INFINITY;
        // The latest window that a bucket's retries may still count in holds those of all later buckets as well.
        for bucket in buckets.iter().rev().take_while(|it| now.since(it.start) <= span) {
            retries += bucket.retries;
            let start = bucket.start + BUCKET_WIDTH + ARRIVAL_DELAY;
            while 0 < before && start <= buckets[before - 1].start + window {
                before -= 1;
                earlier += buckets[before].requests;
            }
            while before < within && start <= buckets[within - 1].start {
                within -= 1;
                requests += buckets[within].requests;
                earlier -= buckets[within].requests;
            }
            let weighted =
                WINDOW_WEIGHT * f64::from(requests) + EARLIER_WEIGHT * f64::from(earlier);
            let allowed = fraction * (ratio * weighted + share * slack);
            left = left.min(allowed - f64::from(retries));
        }
        left
    }

    /// The current bucket.
    fn bucket(&mut self, now: Time, service: &Arc<str>) -> &mut Bucket {
        let kept = self.span() + self.policy.window;
        let buckets = self.buckets.entry(service.clone()).or_default();
        while buckets.front().is_some_and(|it| kept < now.since(it.start)) {
            buckets.pop_front();
        }
        if buckets.back().is_none_or(|it| BUCKET_WIDTH <= now.since(it.start)) {
            buckets.push_back(Bucket { start: now, requests: 0, retries: 0 });
        }
        let last = buckets.len() - 1;
        &mut buckets[last]
    }
}
