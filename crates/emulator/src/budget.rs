//! Checks the retry budget, which all instances share.

use std::{collections::VecDeque, time::Duration};

use shallotlead_base::time::Time;
use shallotlead_gateway::budget::Policy;

use crate::ledger::{Kind, Ledger, Records};

/// By how much later an instance may count a request, or a server receive a retry.
const TOLERANCE: Duration = Duration::from_millis(100);

/// Checks that in each window servers receive no more retries than the slack and the ratio times the requests in that
/// window or the one before, whichever has more.
pub(crate) fn check(ledger: &Ledger, policy: Policy) {
    for service in [Kind::Stream, Kind::Once].map(Kind::service) {
        let broken = first_overrun(&ledger.records.borrow(), service, policy);
        if let Some((at, retries, allowed)) = broken {
            let seen = format!("{service}: {retries} retries in a window that allows {allowed:.1}");
            ledger.violation(at, "the retry budget holds", seen);
        }
    }
}

/// The end of the first window with too many retries, with their number and what was allowed.
fn first_overrun(records: &Records, service: &str, policy: Policy) -> Option<(Time, usize, f64)> {
    let is_of = |it: Kind| it.service() == service;
    let sent: Vec<Time> = records.sent.iter().filter(|it| is_of(it.1)).map(|it| it.0).collect();
    let between = |from: Time, until: Time| {
        let count = |time| sent.partition_point(|it| *it < time);
        count(until + TOLERANCE) - count(from - TOLERANCE)
    };
    let retries = records.arrivals.iter().filter(|it| it.is_repeated && is_of(it.kind));
    let mut window: VecDeque<Time> = VecDeque::new();
    for retry in retries {
        window.push_back(retry.at);
        let start = retry.at - policy.window;
        while window.front().is_some_and(|it| *it < start) {
            window.pop_front();
        }
        let requests = between(start, retry.at).max(between(start - policy.window, start));
        let allowed = policy.slack + policy.ratio * requests as f64;
        if allowed < window.len() as f64 {
            return Some((retry.at, window.len(), allowed));
        }
    }
    None
}
