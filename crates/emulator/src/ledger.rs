//! What requests went through, for checks and figures.

#[cfg(test)]
mod tests;

use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use shallotlead_base::time::Time;

use crate::journal::Journal;

/// How long prompts may begin on replaced weights.
pub(crate) const MAX_STALE_WEIGHTS: Duration = Duration::from_secs(8);
/// Time until an instance's decision has reached a server.
const TOLERANCE: Duration = Duration::from_millis(100);

/// Kinds of requests.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Kind {
    /// A prompt whose stream may go on at another server.
    Resumable,
    /// A prompt that may run once.
    Stream,
    /// A request that may be repeated.
    Safe,
    /// A request that may run once.
    Once,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 4] = [Self::Resumable, Self::Stream, Self::Safe, Self::Once];

    /// Its route.
    pub fn route(self) -> &'static str {
        match self {
            Self::Resumable => "resumable",
            Self::Stream => "stream",
            Self::Safe => "safe",
            Self::Once => "once",
        }
    }

    /// Whether it is a prompt, answered by a stream of events.
    pub(crate) fn is_stream(self) -> bool {
        matches!(self, Self::Resumable | Self::Stream)
    }

    /// Whether it may run more than once.
    pub(crate) fn is_repeatable(self) -> bool {
        matches!(self, Self::Resumable | Self::Safe)
    }

    pub(crate) fn service(self) -> &'static str {
        match self.is_stream() {
            true => "engines",
            false => "plain",
        }
    }

    pub(crate) fn of_path(path: &str) -> Option<(Self, u64)> {
        let (route, number) = path.trim_start_matches('/').split_once('/')?;
        let kind = Self::ALL.into_iter().find(|it| it.route() == route)?;
        Some((kind, number.parse().ok()?))
    }
}

/// How an attempt of a caller ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum End {
    /// With the whole answer.
    Answered,
    /// With a statement that the request was not run.
    Refused(u16),
    /// With another error, after which it may have run.
    Failed(u16),
    /// The answer broke off, or the connection failed.
    Broken,
    /// The instance accepted no connection.
    Unconnected,
    /// Without any answer in time.
    Silent,
    /// By the caller, as nothing had come for too long.
    Left,
}

/// A promise that didn't hold.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Violation {
    /// When it was noticed.
    pub at: Time,
    /// The promise.
    pub promise: &'static str,
    /// What was seen.
    pub seen: String,
}

/// A request that a server has received.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    pub(crate) at: Time,
    pub(crate) kind: Kind,
    /// Whether this attempt's id had been received before.
    pub(crate) is_repeated: bool,
}

/// What one attempt of a caller went through.
#[derive(Clone, Debug, Default)]
pub(crate) struct Attempt {
    pub(crate) arrivals: u32,
    pub(crate) runs: u32,
    pub(crate) is_refused: bool,
    /// The servers that have run it.
    servers: Vec<Box<str>>,
}

/// What was counted.
#[derive(Debug, Default)]
pub(crate) struct Records {
    /// By id of the attempt.
    pub(crate) attempts: BTreeMap<Box<str>, Attempt>,
    /// Runs by request.
    pub(crate) runs: BTreeMap<(Kind, u64), u32>,
    pub(crate) arrivals: Vec<Arrival>,
    /// When callers sent requests, by kind.
    pub(crate) sent: Vec<(Time, Kind)>,
    pub(crate) requests: u64,
    pub(crate) answered: u64,
    pub(crate) failed: u64,
    pub(crate) left: u64,
    pub(crate) refusals: u64,
    pub(crate) declined: u64,
    /// Times to the first event of prompts that were answered.
    pub(crate) first_events: Vec<Duration>,
    pub(crate) prompt_tokens: u64,
    pub(crate) prefilled_tokens: u64,
    pub(crate) violations: Vec<Violation>,
    /// When the versions of the weights were published, from version 1 on.
    pub(crate) published: Vec<Time>,
    /// The highest token of an order that a server has accepted.
    pub(crate) fence: u64,
    /// Times in which instances and the store were killed, frozen or cut off.
    pub(crate) disturbances: Vec<(IpAddr, Time, Time)>,
    /// Times in which servers were killed or cut off.
    pub(crate) outages: Vec<(String, Time, Time)>,
    /// Attempts whose streams were broken off while a server that had run them lived.
    pub(crate) broken_off: Vec<(Time, Box<str>)>,
}

impl Records {
    /// Requests that are neither answered nor given up.
    pub(crate) fn open(&self) -> u64 {
        self.requests - self.answered - self.failed
    }
}

/// The ledger, shared by callers and servers.
#[derive(Clone)]
pub(crate) struct Ledger {
    pub(crate) records: Rc<RefCell<Records>>,
    pub(crate) journal: Journal,
}

impl Ledger {
    pub(crate) fn new(journal: Journal) -> Self {
        Self { records: Rc::default(), journal }
    }

    pub(crate) fn violation(&self, at: Time, promise: &'static str, seen: String) {
        self.journal.line(at, "check", format_args!("broken promise={promise:?} {seen}"));
        self.records.borrow_mut().violations.push(Violation { at, promise, seen });
    }

    /// A server has received a request.
    pub(crate) fn arrived(&self, at: Time, server: &str, id: &str, kind: Kind) {
        let mut records = self.records.borrow_mut();
        let attempt = records.attempts.entry(id.into()).or_default();
        attempt.arrivals += 1;
        let is_repeated = 1 < attempt.arrivals;
        records.arrivals.push(Arrival { at, kind, is_repeated });
        self.journal.line(at, server, format_args!("arrived {id}"));
    }

    /// A server begins to run a request.
    pub(crate) fn ran(&self, at: Time, server: &str, id: &str, request: (Kind, u64)) {
        self.journal.line(at, server, format_args!("runs {id}"));
        let (runs, is_refused) = {
            let mut records = self.records.borrow_mut();
            let runs = records.runs.entry(request).or_default();
            *runs += 1;
            let runs = *runs;
            let attempt = records.attempts.entry(id.into()).or_default();
            attempt.runs += 1;
            attempt.servers.push(server.into());
            (runs, attempt.is_refused)
        };
        if !request.0.is_repeatable() && 1 < runs {
            let seen = format!("{id} is run {runs} of its request, at {server}");
            self.violation(at, "a request that may run once doesn't run twice", seen);
        }
        if is_refused {
            let seen = format!("{id} runs at {server} after it was refused");
            self.violation(at, "a request that was refused is not run", seen);
        }
    }

    /// Another version of the weights was published.
    pub(crate) fn published(&self, at: Time) {
        self.records.borrow_mut().published.push(at);
    }

    /// An engine with this version of the weights begins to run a prompt.
    pub(crate) fn began_on(&self, at: Time, server: &str, id: &str, version: u64) {
        let replaced = self.records.borrow().published.get(version as usize).copied();
        let Some(replaced) = replaced else { return };
        let age = at.since(replaced);
        let is_disturbed =
            self.records.borrow().disturbances.iter().any(|it| it.1 <= at && replaced <= it.2);
        if MAX_STALE_WEIGHTS + TOLERANCE < age && !is_disturbed {
            let seen =
                format!("{id} at {server}, {:.3} s after it was replaced", age.as_secs_f64());
            self.violation(at, "prompts begin on replaced weights no longer than the bound", seen);
        }
    }

    /// A server has accepted an order with this token.
    pub(crate) fn ordered(&self, at: Time, server: &str, fence: u64) {
        let newest = self.records.borrow().fence;
        self.records.borrow_mut().fence = newest.max(fence);
        if fence < newest {
            let seen =
                format!("{server} takes an order with token {fence} after one with {newest}");
            self.violation(at, "orders have one effective holder", seen);
        }
    }

    /// A caller has received a whole answer.
    pub(crate) fn answered(&self, kind: Kind, first_event: Option<Duration>) {
        let mut records = self.records.borrow_mut();
        records.answered += 1;
        if kind.is_stream() {
            records.first_events.extend(first_event);
        }
    }

    /// A caller has given up an attempt without any answer.
    pub(crate) fn unanswered(&self, at: Time, id: &str, instance: SocketAddr, sent: Time) {
        let overlaps =
            |it: &(IpAddr, Time, Time)| it.0 == instance.ip() && it.1 <= at && sent <= it.2;
        if !self.records.borrow().disturbances.iter().any(overlaps) {
            let seen = format!("{id} at {instance}");
            self.violation(at, "each request is answered", seen);
        }
    }

    /// An instance has ended a caller's connection in the middle of a stream.
    pub(crate) fn broken_off(&self, at: Time, id: &str, instance: SocketAddr, sent: Time) {
        let mut records = self.records.borrow_mut();
        let overlaps = |from: Time, to: Time| from <= at && sent <= to;
        let mut disturbances = records.disturbances.iter();
        let is_disturbed = disturbances.any(|it| it.0 == instance.ip() && overlaps(it.1, it.2));
        let has_lived =
            |server: &str| !records.outages.iter().any(|it| it.0 == server && overlaps(it.1, it.2));
        let servers = records.attempts.get(id).map_or(&[][..], |it| &it.servers);
        let survivor = servers.iter().find(|it| has_lived(it));
        if let Some(server) = survivor.filter(|_| !is_disturbed) {
            self.journal.line(at, "check", format_args!("broken off {id}, which {server} has run"));
            records.broken_off.push((at, id.into()));
        }
    }

    /// Reports the streams that were broken off, of a scenario without anything to which one may be lost.
    pub(crate) fn check_broken_off_streams(&self) {
        let broken_off = self.records.borrow().broken_off.clone();
        for (at, id) in broken_off {
            self.violation(
                at,
                "a stream that has begun is finished while its server lives",
                id.into(),
            );
        }
    }

    /// A caller's attempt has ended.
    pub(crate) fn ended(&self, at: Time, id: &str, end: End) {
        self.journal.line(at, "callers", format_args!("{id} {end:?}"));
        if !matches!(end, End::Refused(_)) {
            return;
        }
        let runs = {
            let mut records = self.records.borrow_mut();
            records.refusals += 1;
            let attempt = records.attempts.entry(id.into()).or_default();
            attempt.is_refused = true;
            attempt.runs
        };
        if 0 < runs {
            let seen = format!("{id} was run {runs} times and then refused");
            self.violation(at, "a request that was refused is not run", seen);
        }
    }
}
